//! Decides which requests get an engine's room, and where, if the engines of a service have too
//! little of it for all requests.
//!
//! Why: what a box knows of an endpoint's queue is outdated. If all boxes sent to the endpoints that
//! seem to have room, these would be overloaded before any box received an update. While room is
//! scarce, a box therefore uses no more than its share of it, and draws an endpoint with a
//! probability proportional to the endpoint's room.
//!
//! Data flow: [`rooms`] works out the room of each candidate; [`filter`] decides, once for a request,
//! whether it is sent and where to. Whatever else bears on the decision (urgency, the share of an
//! organisation) is part of [`Standing`], so that a request is never refused twice for different
//! reasons.

use std::time::Duration;
use std::time::Instant;

use crate::Endpoint;
use crate::EndpointId;
use crate::Pool;
use crate::ServiceId;
use crate::expected;
use crate::policy::Chooser;
use crate::standing::Standing;

/// Decides whether an engine's queue is short enough for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueLimit {
    /// Seconds that an engine takes to process one prompt token.
    pub seconds_per_token: f64,
    /// Maximum time for the work queued before the request. The request's own prompt does not
    /// count, because it takes as long at any endpoint.
    pub max_wait: Duration,
    /// Prompt tokens that all boxes together send before they receive each other's load updates.
    pub unreported_tokens: f64,
    /// How the request stands among those that compete with it; none if all are equal.
    pub standing: Option<Standing>,
}

/// Minimum ratio of the room of all endpoints to [`QueueLimit::unreported_tokens`] for each box to
/// choose the endpoint that is best for its request. Below it, boxes draw at random.
pub(crate) const AMPLE_CAPACITY_RATIO: f64 = 4.0;

/// Result of [`filter`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum QueueFilter {
    /// These candidates meet the limit, and any of them may be chosen.
    Filtered(Vec<EndpointId>),
    /// Room is scarce, and this endpoint was drawn.
    Drawn(EndpointId),
    /// No candidate meets the limit, or room is scarce and the draw rejected the request.
    Rejected,
}

/// The room of each candidate in prompt tokens: how much more work its queue takes until a request
/// would wait too long. Negative if the queue is too long already.
pub(crate) fn rooms(
    endpoints: &[Endpoint],
    candidates: &[EndpointId],
    now: Instant,
    limit: QueueLimit,
) -> Vec<(EndpointId, f64)> {
    let max_tokens = limit.max_wait.as_secs_f64() / limit.seconds_per_token;
    let queued = |id: EndpointId| expected::outstanding_tokens(&endpoints[id as usize], now);
    candidates.iter().map(|id| (*id, max_tokens - queued(*id) as f64)).collect()
}

impl Pool {
    /// Room of all endpoints of a service that accept work, in prompt tokens, for the log.
    pub fn queue_room(&self, now: Instant, service: ServiceId, limit: QueueLimit) -> f64 {
        let accepts = |id: &EndpointId| self.get(*id).takes_work(now) && self.get(*id).has_room();
        let candidates: Vec<EndpointId> = self.usable(service).filter(accepts).collect();
        let rooms = rooms(self.endpoints(), &candidates, now, limit);
        rooms.into_iter().map(|(_, room)| room.max(0.0)).sum()
    }
}

/// Removes candidates whose queues are too long for the request. If their room is scarce compared
/// with the unreported tokens, decides by a random draw instead.
///
/// A box's share of an advertised limit is used by no other box, so endpoints with a limit need no
/// draw.
pub(crate) fn filter(
    rooms: Vec<(EndpointId, f64)>,
    limit: QueueLimit,
    is_limited: impl Fn(EndpointId) -> bool,
    chooser: &mut Chooser,
) -> QueueFilter {
    let with_room: Vec<(EndpointId, f64)> =
        rooms.into_iter().filter(|(_, room)| *room > 0.0).collect();
    let total: f64 = with_room.iter().map(|(_, room)| room).sum();
    if total > AMPLE_CAPACITY_RATIO * limit.unreported_tokens {
        return QueueFilter::Filtered(with_room.into_iter().map(|(id, _)| id).collect());
    }
    let limited: Vec<EndpointId> =
        with_room.iter().map(|(id, _)| *id).filter(|id| is_limited(*id)).collect();
    if !limited.is_empty() {
        return QueueFilter::Filtered(limited);
    }
    let drawn = chooser.random_fraction();
    let is_admitted = match limit.standing {
        Some(standing) => drawn < standing.admission(total / limit.unreported_tokens),
        None => drawn * limit.unreported_tokens.max(total) < total,
    };
    if !is_admitted || total <= 0.0 {
        return QueueFilter::Rejected;
    }
    let left = chooser.random_fraction() * total;
    draw(&with_room, left).map_or(QueueFilter::Rejected, QueueFilter::Drawn)
}

/// The endpoint at which the room, added up in order, exceeds `left`.
fn draw(with_room: &[(EndpointId, f64)], mut left: f64) -> Option<EndpointId> {
    for (id, room) in with_room {
        left -= room;
        if left <= 0.0 {
            return Some(*id);
        }
    }
    with_room.last().map(|(id, _)| *id)
}

//! Who is admitted first in a shortage: the decisions by rank and organisation at one entry box.
//!
//! Data flow: each arriving request is counted ([`Competition::count`]). For each request to be sent,
//! [`Competition::apply`] adds its standing to its [`QueueLimit`]: the ranks of its organisation's
//! demand at this box, and the share of the organisation by the demand that all boxes report for
//! quotas ([`crate::core::quotas::Quotas::claims`]). The decisions are made in [`vaneway_route`].
//!
//! While no recent demand is known, and for organisations without a quota, all are served alike: a
//! box receives too few requests of a small organisation to estimate its demand.
//! Each refusal is logged with its inputs ([`choose`]).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_relay::Event;
use vaneway_route::Arrival;
use vaneway_route::Competitors;
use vaneway_route::FairShares;
use vaneway_route::Query;
use vaneway_route::QueueLimit;
use vaneway_route::Rank;
use vaneway_route::ServiceId;
use vaneway_route::Standing;

use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::core::queue_limit::MAX_QUEUE_SHARE;
use crate::core::settings::ShortageDecisions;
use crate::util::clock;
use crate::util::logline::Line;

/// Rank of a request without a priority: the one that engines assume.
const DEFAULT_RANK: Rank = 5;

/// Ranks from which on requests share one label in metrics.
const OTHER_RANKS: Rank = 10;

/// Interval at which shares are computed again: demand is reported as often.
const SHARES_INTERVAL: Duration = Duration::from_millis(100);

/// The demand at this box by service, rank and organisation.
#[derive(Debug)]
pub struct Competition {
    decisions: ShortageDecisions,
    services: RefCell<BTreeMap<ServiceId, Competed>>,
}

/// The demand for one service.
#[derive(Debug, Default)]
struct Competed {
    competitors: Competitors,
    shares: Option<Shares>,
}

/// The shares of the organisations that demand a service.
#[derive(Debug)]
struct Shares {
    computed_at: Instant,
    levels: FairShares,
    /// Age of the reported demand; none if it is unknown.
    age: Option<Duration>,
}

impl Competition {
    /// No demand yet.
    pub fn new(decisions: ShortageDecisions) -> Self {
        Self { decisions, services: RefCell::default() }
    }

    /// Counts an arriving request of `tokens` that it doesn't share with others, whose first event
    /// is due at `by`.
    pub fn count(&self, now: Instant, request: &CallRequest, tokens: u32, by: Instant) {
        if !self.decisions.order && !self.decisions.shares {
            return;
        }
        let arrival = Arrival {
            rank: self.rank(request),
            organisation: &request.organisation,
            tokens: tokens.into(),
            objective: by.saturating_duration_since(now),
        };
        let mut services = self.services.borrow_mut();
        services.entry(request.service).or_default().competitors.count(now, arrival);
    }

    /// The request's rank; the same for all if requests are not served by rank.
    fn rank(&self, request: &CallRequest) -> Rank {
        if self.decisions.order { request.priority.unwrap_or(DEFAULT_RANK) } else { 0 }
    }

    /// Adds the standing of a request to its limit, if it competes with others of another rank or
    /// organisation.
    pub fn apply(
        &self,
        now: Instant,
        entry: &Entry,
        request: &CallRequest,
        limit: QueueLimit,
    ) -> QueueLimit {
        let mut services = self.services.borrow_mut();
        let Some(competed) = services.get_mut(&request.service) else { return limit };
        if self.decisions.shares {
            competed.update_shares(now, entry);
        }
        let shares = competed.shares.as_ref().map(|shares| &shares.levels);
        let sender = (self.rank(request), request.organisation.as_str());
        competed.competitors.limit(now, sender, shares, MAX_QUEUE_SHARE, limit)
    }

    /// Age of the demand from which a service's shares were computed; none if it is unknown.
    fn demand_age(&self, service: ServiceId) -> Option<Duration> {
        self.services.borrow().get(&service)?.shares.as_ref()?.age
    }
}

impl Competed {
    /// Computes the shares again if they are outdated.
    fn update_shares(&mut self, now: Instant, entry: &Entry) {
        let is_recent = |shares: &Shares| now < shares.computed_at + SHARES_INTERVAL;
        if self.shares.as_ref().is_some_and(is_recent) {
            return;
        }
        let tokens_per_request = self.competitors.tokens_per_request(now);
        let claims = entry.quotas.claims(entry.cluster_time(), tokens_per_request);
        let (claims, age) =
            claims.map_or_else(Default::default, |(claims, age)| (claims, Some(age)));
        let levels = FairShares::new(claims);
        self.shares = Some(Shares { computed_at: now, levels, age });
    }
}

/// Admission of a refused request, for the log.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Room of the endpoints, in prompt tokens.
    room: f64,
    /// Ratio of room to unreported demand.
    ratio: f64,
    standing: Standing,
}

impl Refusal {
    /// Which decision refused the request.
    fn reason(&self) -> &'static str {
        let share = self.standing.share(self.ratio);
        if self.room <= 0.0 {
            "room"
        } else if self.standing.admission(self.ratio) < share {
            "order"
        } else if share < self.ratio.min(1.0) {
            "share"
        } else {
            "room"
        }
    }
}

/// Chooses an endpoint for a request; logs if a queue limit refuses it.
pub fn choose(entry: &Entry, request: &CallRequest, query: Query<'_>) -> Event {
    let limit = query.queue_limit;
    let event = entry.choose_for(&request.id, &request.service_name, query);
    if let (Event::Unavailable { full: true, .. }, Some(limit)) = (&event, limit) {
        log_refusal(entry, request, limit);
    }
    event
}

/// Logs and counts a request that was refused because its queue limit left no room for it.
fn log_refusal(entry: &Entry, request: &CallRequest, limit: QueueLimit) {
    let Some(standing) = limit.standing else { return };
    let now = clock::now();
    let room = entry.pool.borrow().queue_room(now, request.service, limit);
    let ratio = room / limit.unreported_tokens.max(f64::MIN_POSITIVE);
    let refusal = Refusal { room, ratio, standing };
    let rank = request.priority.unwrap_or(DEFAULT_RANK);
    let label = if rank < OTHER_RANKS { rank.to_string() } else { "other".to_owned() };
    entry.metrics.room_refused.with_label_values(&[refusal.reason(), &label]).inc();
    let age = entry.inflow.competition().demand_age(request.service);
    let reserved = standing.ranks().more_urgent * limit.unreported_tokens;
    Line::new("room_refused")
        .with("request", &request.id)
        .with("reason", refusal.reason())
        .with("rank", rank)
        .with("organisation", &request.organisation)
        .with("room", room.round())
        .with("unreported", limit.unreported_tokens.round())
        .with("reserved", reserved.round())
        .with("share", format!("{:.3}", standing.share(ratio)))
        .with("admission", format!("{:.3}", standing.admission(ratio)))
        .with("max_wait_ms", limit.max_wait.as_millis())
        .with("age_ms", age.map_or_else(|| "unknown".to_owned(), |age| age.as_millis().to_string()))
        .info();
}

//! Limits the engine queue in front of a request, as far as an entry box knows the queues.
//!
//! An engine processes every prompt that it is sent, also those that have waited until they are too
//! late. In a shortage hardly any response would be in time then, although the engines are never
//! idle. A request that can't be in time is therefore refused at once, while its caller still has
//! the time to retry.
//!
//! Data flow: the engines' speed is measured on this box's own runs; the queues are those that
//! boxes report to each other; the arrivals at all boxes that are not reported yet are estimated
//! from the arrivals here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_relay::WaitPolicy;
use vaneway_route::DecayingSum;
use vaneway_route::QueueLimit;
use vaneway_route::ServiceId;
use vaneway_route::Work;

use crate::core::calls::call_limits::CallLimits;
use crate::core::cluster::wire::LOAD_REPORT_INTERVAL;
use crate::core::competition::Competition;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::core::settings::ShortageDecisions;
use crate::util::clock;

/// Share of the time to a request's latency objective that the work queued before it may take.
///
/// The rest is for its own prompt and the network delay. In a simulation (50 of 60 engines vanish
/// within 8 s, 69 boxes), the value delivered in time, relative to what any scheduler could have
/// delivered, was 0.10 without a limit, 0.86 with 1.0, 0.92 with 0.8, 0.89 with 0.6 and 0.78 with
/// 0.25.
pub const MAX_QUEUE_SHARE: f64 = 0.8;

/// Age of what boxes know of each other's work: one report interval to a control box, one from it,
/// and network delay.
const LOAD_UPDATE_AGE: Duration = LOAD_REPORT_INTERVAL.saturating_mul(2);

/// Prompt tokens of arriving requests, by service.
#[derive(Debug)]
pub struct Inflow {
    by_service: RefCell<BTreeMap<ServiceId, DecayingSum>>,
    competition: Competition,
}

impl Inflow {
    /// Nothing has arrived yet.
    pub fn new(decisions: ShortageDecisions) -> Self {
        Self { by_service: RefCell::default(), competition: Competition::new(decisions) }
    }

    /// Counts the prompt tokens of an arriving request that it doesn't share with others.
    pub fn count(&self, request: &CallRequest, work: &Work, limits: &CallLimits) {
        let now = clock::now();
        let shared: u32 = work.shared().iter().map(|part| part.tokens).sum();
        let own = work.prompt_tokens.saturating_sub(shared);
        self.by_service.borrow_mut().entry(request.service).or_default().add(now, own.into());
        if let WaitPolicy::IfExpectedBy { deadline } = limits.wait_policy {
            self.competition.count(now, request, own, deadline);
        }
    }

    /// Recent arrival rate, in tokens per second.
    fn rate(&self, now: Instant, service: ServiceId) -> f64 {
        self.by_service.borrow().get(&service).map_or(0.0, |inflow| inflow.rate(now))
    }

    /// The demand by rank and organisation.
    pub fn competition(&self) -> &Competition {
        &self.competition
    }
}

/// The limit on the queue in front of a request that is sent if its first event is expected in time;
/// none while the speed of its service's engines is unknown.
pub fn queue_limit(
    entry: &Entry,
    request: &CallRequest,
    wait_policy: WaitPolicy,
) -> Option<QueueLimit> {
    let WaitPolicy::IfExpectedBy { deadline } = wait_policy else { return None };
    let speeds = entry.usage.borrow_mut().speeds(&request.service_name);
    let seconds_per_token = speeds.prompt_token_s;
    if seconds_per_token <= 0.0 {
        return None;
    }
    let now = clock::now();
    let boxes = f64::from(entry.quotas.known_entry_boxes().max(1));
    let inflow = entry.inflow.rate(now, request.service);
    let limit = QueueLimit {
        seconds_per_token,
        max_wait: deadline.saturating_duration_since(now).mul_f64(MAX_QUEUE_SHARE),
        unreported_tokens: inflow * boxes * LOAD_UPDATE_AGE.as_secs_f64(),
        standing: None,
    };
    Some(entry.inflow.competition().apply(now, entry, request, limit))
}

//! When an engine's queue is too long for a request, as an entry box knows it.
//!
//! Why: what is sent to an engine beyond what it can read in time waits there until it is too late, and is read all
//! the same. In a shortage hardly anything is in time then, although the engines are never idle. A request that
//! can't be in time is better refused at once, while its caller has the time to come again.
//!
//! Data flow: the engines' speed is learned from this box's own runs; the queues are those that boxes tell each
//! other; what all boxes bring before they hear of each other is taken to be like what comes here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_route::DecayingSum;
use vaneway_route::QueueLimit;
use vaneway_route::ServiceId;
use vaneway_route::Work;

use crate::core::cluster::wire::LOAD_REPORT_INTERVAL;
use crate::core::entry::Entry;
use crate::util::clock;

/// Part of the time to a request's objective that the work before it may take.
///
/// The rest is for its own prompt and the way. Simulated (50 of 60 engines vanish within 8 s under 69 boxes), the worth in time of
/// what any scheduler could have brought: 0.10 without a limit, 0.86 with 1.0, 0.92 with 0.8, 0.89 with 0.6, 0.78 with 0.25.
pub const MAX_QUEUE_SHARE: f64 = 0.8;

/// Age of what boxes know of each other's work: one telling to a control box, one from it, and the ways.
const NEWS_AGE: Duration = LOAD_REPORT_INTERVAL.saturating_mul(2);

/// Prompt tokens that callers ask to be read, by service.
#[derive(Debug, Default)]
pub struct Inflow(RefCell<BTreeMap<ServiceId, DecayingSum>>);

impl Inflow {
    /// Counts a request that comes.
    pub fn count(&self, now: Instant, service: ServiceId, work: &Work) {
        let shared: u32 = work.shared().iter().map(|part| part.tokens).sum();
        let own = work.prompt_tokens.saturating_sub(shared);
        self.0.borrow_mut().entry(service).or_default().add(now, own.into());
    }

    /// Tokens a second, of late.
    fn rate(&self, now: Instant, service: ServiceId) -> f64 {
        self.0.borrow().get(&service).map_or(0.0, |inflow| inflow.rate(now))
    }
}

/// When the first event of a request has to come that is to be in time until `by`; none if the speed of its
/// service's engines is not known.
pub fn queue_limit(
    entry: &Entry,
    service: ServiceId,
    service_name: &str,
    by: Instant,
) -> Option<QueueLimit> {
    let seconds_per_token = entry.usage.borrow_mut().speeds(service_name).prompt_token_s;
    if seconds_per_token <= 0.0 {
        return None;
    }
    let now = clock::now();
    let boxes = f64::from(entry.quotas.known_entry_boxes().max(1));
    Some(QueueLimit {
        seconds_per_token,
        max_wait: by.saturating_duration_since(now).mul_f64(MAX_QUEUE_SHARE),
        unreported_tokens: entry.inflow.rate(now, service) * boxes * NEWS_AGE.as_secs_f64(),
    })
}

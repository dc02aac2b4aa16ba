//! Forecast of the share of requests that are late, by the size of the fleet.
//!
//! Why: prompts differ in length by two orders of magnitude. A replica that is busy for half of its
//! time may keep a request with a tight objective waiting behind one long prompt, while another
//! service is in time at the same utilisation, because its prompts are alike or its objectives are
//! loose. Utilisation alone therefore says nothing about what callers get.
//!
//! A request finds a replica busy with the probability of its utilisation, and then waits for the
//! rest of the prompt that is being processed and for those queued before it. The tail of this wait
//! is close to exponential, with the mean rest of a prompt, `E[s²] / 2E[s]`, divided by the idle
//! share of time (Kingman's bound for heavy traffic; exact for prompts with exponential lengths).

use std::time::Duration;

/// Share of the time to an objective that a request can wait in the queue. The rest is for its own
/// prompt and the network delay.
const MAX_WAIT_SHARE: f64 = 0.8;

/// Utilisation below which the fleet is not enlarged by the forecast: four of five requests find
/// their replica idle then, so the others are late for other reasons.
const MIN_UTILISATION: f64 = 0.2;

/// A latency objective of requests for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objective {
    /// Time within which the first event should arrive.
    pub within: Duration,
    /// Number of recent requests with this objective.
    pub requests: u64,
}

/// What callers ask of a service's replicas, and what they get.
#[derive(Debug, Clone, PartialEq)]
pub struct Callers {
    /// Mean time for which a replica that is processing a prompt goes on with it, in seconds.
    pub prompt_rest_s: f64,
    /// The objectives of recent requests.
    pub objectives: Vec<Objective>,
    /// Share of the latest requests that were in time; none if there were too few.
    pub in_time: Option<f64>,
}

impl Callers {
    /// Share of the requests that are expected to be late with replicas that are busy for
    /// `utilisation` of their time.
    pub fn late_share(&self, utilisation: f64) -> f64 {
        let requests: u64 = self.objectives.iter().map(|objective| objective.requests).sum();
        if requests == 0 || self.prompt_rest_s <= 0.0 {
            return 0.0;
        }
        if utilisation >= 1.0 {
            return 1.0;
        }
        let mean_wait_s = self.prompt_rest_s / (1.0 - utilisation);
        let late = self.objectives.iter().map(|objective| {
            let wait_s = objective.within.as_secs_f64() * MAX_WAIT_SHARE;
            objective.requests as f64 * utilisation * (-wait_s / mean_wait_s).exp()
        });
        late.sum::<f64>() / requests as f64
    }

    /// The smallest number of replicas, not below `least`, with which the target share of requests
    /// is expected to be in time. Not above the number at which waits no longer matter.
    pub fn replicas(&self, demand: f64, target: f64, least: u32) -> u32 {
        let most = least.max((demand / MIN_UTILISATION).ceil() as u32);
        let is_enough = |count: &u32| self.late_share(demand / f64::from(*count)) <= 1.0 - target;
        (least..most).find(is_enough).unwrap_or(most)
    }
}

//! What callers ask of a service's engines and what they get, as an entry box counts it for sizing
//! the fleet.
//!
//! The counts only grow while the box runs, so a control box subtracts successive reports.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of different objectives for which requests of a service are counted.
const MAX_OBJECTIVES: usize = 16;

/// Requests with one latency objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveCounts {
    /// The objective for the first event, in milliseconds.
    pub within_ms: u32,
    /// Requests that got their first event, were refused for lack of capacity, or were abandoned by
    /// their caller after the objective.
    pub requests: u64,
    /// Those that got their first event within the objective.
    pub in_time: u64,
}

/// Requests for one service since the entry box started.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerTimes {
    /// Runs sent to engines.
    pub runs: u64,
    /// Uncached prompt tokens of these runs.
    pub uncached_tokens: u64,
    /// Sum of the squares of each run's uncached prompt tokens.
    pub squared_tokens: f64,
    /// Requests by objective.
    pub objectives: Vec<ObjectiveCounts>,
}

impl CallerTimes {
    /// Counts a run that is sent to an engine.
    pub fn begin_run(&mut self, uncached_tokens: u64) {
        self.runs += 1;
        self.uncached_tokens += uncached_tokens;
        self.squared_tokens += (uncached_tokens as f64).powi(2);
    }

    /// Counts a request that has ended or yielded its first event.
    pub fn record(&mut self, objective: Duration, in_time: bool) {
        let within_ms = u32::try_from(objective.as_millis()).unwrap_or(u32::MAX);
        let in_time = u64::from(in_time);
        self.add_counts(ObjectiveCounts { within_ms, requests: 1, in_time });
    }

    fn add_counts(&mut self, counts: ObjectiveCounts) {
        let same = |known: &&mut ObjectiveCounts| known.within_ms == counts.within_ms;
        if let Some(known) = self.objectives.iter_mut().find(same) {
            known.requests += counts.requests;
            known.in_time += counts.in_time;
        } else if self.objectives.len() < MAX_OBJECTIVES {
            self.objectives.push(counts);
        }
    }

    /// Returns the requests counted since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let objectives = self.objectives.iter().map(|now| {
            let of_objective = |known: &&ObjectiveCounts| known.within_ms == now.within_ms;
            let then = before.objectives.iter().find(of_objective).copied().unwrap_or_default();
            ObjectiveCounts {
                within_ms: now.within_ms,
                requests: now.requests.saturating_sub(then.requests),
                in_time: now.in_time.saturating_sub(then.in_time),
            }
        });
        Self {
            runs: self.runs.saturating_sub(before.runs),
            uncached_tokens: self.uncached_tokens.saturating_sub(before.uncached_tokens),
            squared_tokens: (self.squared_tokens - before.squared_tokens).max(0.0),
            objectives: objectives.filter(|counts| counts.requests > 0).collect(),
        }
    }

    /// Adds other requests.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.uncached_tokens += other.uncached_tokens;
        self.squared_tokens += other.squared_tokens;
        other.objectives.iter().for_each(|counts| self.add_counts(*counts));
    }

    /// Mean number of tokens that are left of the prompt that a busy engine is processing.
    pub fn prompt_rest_tokens(&self) -> f64 {
        self.squared_tokens / (2 * self.uncached_tokens).max(1) as f64
    }

    /// Share of the requests that were in time; none if there were fewer than `least`.
    pub fn in_time(&self, least: u64) -> Option<f64> {
        let requests: u64 = self.objectives.iter().map(|counts| counts.requests).sum();
        let in_time: u64 = self.objectives.iter().map(|counts| counts.in_time).sum();
        (requests >= least.max(1)).then(|| in_time as f64 / requests as f64)
    }
}

//! Usage by the requests of one entry box: requests started in each accounting window, and work
//! sent to each service's engines.
//!
//! The usage reported for a window must be accurate to a few requests, so a request is counted in
//! the window, by cluster time, in which its work was seen to start.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_engine::Observer;
use vaneway_engine::Run;
use vaneway_engine::Speeds;

use crate::caller_times::CallerTimes;
use crate::cluster_time::ClusterTime;
use crate::cluster_time::Window;
use crate::usage_report::Counts;
use crate::usage_report::EngineUsage;

/// Number of windows that an entry box retains: together longer than a report may be late.
pub const RETAINED_WINDOWS: usize = 8;

/// Usage by the requests of one entry box.
#[derive(Debug, Default)]
pub struct LocalUsage {
    /// Cluster time and the length of a window, once a control box has sent the time.
    clock: Option<(ClusterTime, Duration)>,
    windows: BTreeMap<Window, Counts>,
    /// Requests started before the cluster time was known.
    early: Vec<(Instant, String)>,
    /// Measurements of each service's engines.
    engines: BTreeMap<String, Observer>,
    /// What callers of each service's engines get.
    callers: BTreeMap<String, CallerTimes>,
}

/// Most requests that are held in [`LocalUsage::early`].
const MAX_EARLY_REQUESTS: usize = 10_000;

impl LocalUsage {
    /// Sets the cluster time, and counts the requests that were started before it was known.
    pub fn set_clock(&mut self, clock: ClusterTime, length: Duration) {
        self.clock = Some((clock, length));
        for (at, organisation) in std::mem::take(&mut self.early) {
            self.begin(at, &organisation);
        }
    }

    /// The cluster time, once known.
    pub fn clock(&self) -> Option<ClusterTime> {
        self.clock.map(|(clock, _)| clock)
    }

    /// Counts a request whose work started at `now`.
    pub fn begin(&mut self, now: Instant, organisation: &str) {
        let Some((clock, length)) = self.clock else {
            if self.early.len() < MAX_EARLY_REQUESTS {
                self.early.push((now, organisation.to_owned()));
            }
            return;
        };
        let counts = self.windows.entry(clock.window(now, length)).or_default();
        *counts.entry(organisation.to_owned()).or_default() += 1;
        while self.windows.len() > RETAINED_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Counts a run that is sent to an engine of a service.
    pub fn begin_run(&mut self, service: &str, prompt_tokens: u64, uncached_tokens: u64) {
        self.engine(service).begin(prompt_tokens, uncached_tokens);
        self.callers.entry(service.to_owned()).or_default().begin_run(uncached_tokens);
    }

    /// Counts a request for a service's engines that has ended or yielded its first event.
    pub fn record_caller(&mut self, service: &str, objective: Duration, in_time: bool) {
        self.callers.entry(service.to_owned()).or_default().record(objective, in_time);
    }

    /// What callers of each service's engines get, for the report to control boxes.
    pub fn callers(&self) -> Vec<(String, CallerTimes)> {
        self.callers.iter().map(|(service, times)| (service.clone(), times.clone())).collect()
    }

    /// Records the measurements of a run.
    pub fn observe_run(&mut self, service: &str, run: &Run) {
        self.engine(service).observe(run);
    }

    /// The measured speeds of a service's engines.
    pub fn speeds(&mut self, service: &str) -> Speeds {
        self.engines.get_mut(service).map(Observer::speeds).unwrap_or_default()
    }

    fn engine(&mut self, service: &str) -> &mut Observer {
        self.engines.entry(service.to_owned()).or_default()
    }

    /// Work sent to each service's engines and their measured speeds, for the report to control
    /// boxes.
    pub fn work(&mut self) -> Vec<(String, EngineUsage)> {
        let engines = self.engines.iter_mut().map(|(service, observer)| {
            let engine_usage = EngineUsage { totals: observer.totals(), speeds: observer.speeds() };
            (service.clone(), engine_usage)
        });
        engines.collect()
    }

    /// Requests started in the latest `count` windows that have any, for the report to control
    /// boxes.
    pub fn windows(&self, count: usize) -> Vec<(Window, Counts)> {
        let before = self.windows.len().saturating_sub(count);
        let latest = self.windows.iter().skip(before);
        latest.map(|(window, counts)| (*window, counts.clone())).collect()
    }
}

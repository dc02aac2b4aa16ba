//! What organisations use: requests begun in each accounting window, and quota units taken.
//!
//! Why windows at the entry box: a report of a window must be true to a few requests, so each
//! request is counted where its work was seen to begin, by the cluster's time. What an entry box
//! counted for a window only grows, so control boxes may hear it any number of times, late, or
//! from each other, and keep the highest count of each entry's start.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use vaneway_engine::Observer;
use vaneway_engine::Rates;
use vaneway_engine::Run;
use vaneway_engine::Speeds;
use vaneway_engine::Totals;
use vaneway_quota::Slot;

use crate::core::cluster_time::AHEAD_MOST;
use crate::core::cluster_time::ClusterNow;
use crate::core::cluster_time::ClusterTime;
use crate::core::cluster_time::Window;
use crate::core::entry_incarnation::EntryIncarnation;
use crate::core::loads::LoadLedger;
use crate::core::loads::Loads;
use crate::core::quota_ledger::QuotaLedger;
use crate::core::quota_usage::OwnQuotaUsage;
use crate::core::report_tracker::ReportCoverage;
use crate::core::report_tracker::ReportTracker;

/// Requests of each organisation.
pub type Counts = BTreeMap<String, u64>;

/// Windows that an entry box remembers: longer than a report may be late.
pub const RETAINED_WINDOWS: usize = 8;

/// What the requests of one entry box used.
#[derive(Debug, Default)]
pub struct LocalUsage {
    /// The cluster's time and the length of a window, once a control box told.
    clock: Option<(ClusterTime, Duration)>,
    windows: BTreeMap<Window, Counts>,
    /// Requests begun before the cluster's time was known.
    early: Vec<(Instant, String)>,
    /// What was seen of the engines of each service.
    engines: BTreeMap<String, Observer>,
}

/// Most requests that wait for the cluster's time.
const EARLY_MOST: usize = 10_000;

impl LocalUsage {
    /// Learns the cluster's time.
    pub fn set_clock(&mut self, clock: ClusterTime, length: Duration) {
        self.clock = Some((clock, length));
        for (at, organisation) in std::mem::take(&mut self.early) {
            self.begin(at, &organisation);
        }
    }

    /// The cluster's time, once known.
    pub fn clock(&self) -> Option<ClusterTime> {
        self.clock.map(|(clock, _)| clock)
    }

    /// Counts a request whose work began at `now`.
    pub fn begin(&mut self, now: Instant, organisation: &str) {
        let Some((clock, length)) = self.clock else {
            if self.early.len() < EARLY_MOST {
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

    /// Counts a run that begins at an engine of a service.
    pub fn begin_run(&mut self, service: &str, prompt: u64, unread: u64) {
        self.engine(service).begin(prompt, unread);
    }

    /// Takes in what was seen of a run.
    pub fn observe_run(&mut self, service: &str, run: &Run) {
        self.engine(service).observe(run);
    }

    /// How fast the engines of a service were seen to be.
    pub fn speeds(&mut self, service: &str) -> Speeds {
        self.engines.get_mut(service).map(Observer::speeds).unwrap_or_default()
    }

    fn engine(&mut self, service: &str) -> &mut Observer {
        self.engines.entry(service.to_owned()).or_default()
    }

    /// Work given to the engines of each service, and how fast they were seen to be, as it travels.
    pub fn work(&mut self) -> Vec<(String, EngineUsage)> {
        let engines = self.engines.iter_mut().map(|(service, observer)| {
            let seen = EngineUsage { totals: observer.totals(), speeds: observer.speeds() };
            (service.clone(), seen)
        });
        engines.collect()
    }

    /// Requests begun in the latest `count` windows that have any, as they travel.
    pub fn windows(&self, count: usize) -> Vec<(Window, Counts)> {
        let before = self.windows.len().saturating_sub(count);
        let latest = self.windows.iter().skip(before);
        latest.map(|(window, counts)| (*window, counts.clone())).collect()
    }
}

/// What one entry box tells of the engines of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Work given to them since the box started.
    pub totals: Totals,
    /// How fast they were seen to be.
    pub speeds: Speeds,
}

/// What one entry box tells of its requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The cluster's time of this report; none while the entry box doesn't know it.
    pub at: Option<Duration>,
    /// Requests begun in the latest windows.
    pub windows: Vec<(Window, Counts)>,
    /// Quota units taken in the latest slots, and asked for.
    pub quotas: Vec<(String, OwnQuotaUsage)>,
    /// All that is open at endpoints now, where it is told whole.
    pub loads: Option<Loads>,
    /// What was seen of the engines of each service.
    pub work: Vec<(String, EngineUsage)>,
}

/// What all entry boxes told one control box.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<Window, BTreeMap<EntryIncarnation, Counts>>,
    quotas: QuotaLedger,
    loads: LoadLedger,
    /// When each entry box told anything.
    report_tracker: ReportTracker,
    /// The slot in which starts were last forgotten.
    forgot_in: Slot,
    /// What each entry box last told of the engines of each service.
    work: BTreeMap<EntryIncarnation, BTreeMap<String, EngineUsage>>,
    /// Work told in the latest slots, by service.
    arrived: BTreeMap<Slot, BTreeMap<String, Totals>>,
}

/// Windows that a control box remembers.
const LEDGER_WINDOWS: usize = 16;

/// Slots over which the demand is measured: a few seconds.
const DEMAND_SLOTS: u64 = 8;

/// Slots of work that are remembered.
const DEMAND_SLOTS_KEPT: usize = 16;

impl UsageLedger {
    /// Takes a report in; `now` is the cluster's time, beyond which nothing can have been used.
    pub fn merge(&mut self, now: ClusterNow, entry: &EntryIncarnation, report: &UsageReport) {
        for (window, counts) in &report.windows {
            if *window > now.window + AHEAD_MOST {
                continue;
            }
            let known = self.windows.entry(*window).or_default().entry(entry.clone()).or_default();
            for (organisation, count) in counts {
                let known = known.entry(organisation.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        while self.windows.len() > LEDGER_WINDOWS {
            self.windows.pop_first();
        }
        self.quotas.merge(now, entry, &report.quotas);
        self.report_tracker.learn(now, entry, report.at);
        self.forget_starts(now);
        if let Some(loads) = &report.loads {
            self.loads.replace(entry, loads);
        }
        self.merge_work(now, entry, &report.work);
    }

    /// Forgets the starts of entry boxes that have been silent for long: what they saw of engines must
    /// not outweigh what is seen now. Once in a slot: with each report it would cost the square of the boxes.
    fn forget_starts(&mut self, now: ClusterNow) {
        if std::mem::replace(&mut self.forgot_in, now.slot) == now.slot {
            return;
        }
        let Self { report_tracker, work, quotas, .. } = self;
        report_tracker.forget(now.slot);
        work.retain(|entry, _| report_tracker.has(entry));
        quotas.forget(|entry| report_tracker.has(entry));
    }

    /// Learns that a start of an entry box has told all that it ever will.
    pub fn mark_done(&mut self, entry: &EntryIncarnation) {
        self.report_tracker.end(entry);
    }

    /// When the last report of an entry box was made that is recent at `now`; none if there is none, or if
    /// the box's idea of the cluster's time is another.
    pub fn last_report_at(&self, now: Duration, entry: &EntryIncarnation) -> Option<Duration> {
        self.report_tracker.last_report_at(now, entry)
    }

    /// Starts of entry boxes that are remembered.
    pub fn incarnations(&self) -> usize {
        self.report_tracker.incarnations()
    }

    fn merge_work(
        &mut self,
        now: ClusterNow,
        entry: &EntryIncarnation,
        work: &[(String, EngineUsage)],
    ) {
        let told = self.work.insert(entry.clone(), work.iter().cloned().collect());
        // What was done before this box heard of the entry for the first time says nothing of now.
        let Some(told) = told else { return };
        for (service, seen) in work {
            let before = told.get(service).copied().unwrap_or_default();
            let slot = self.arrived.entry(now.slot).or_default();
            *slot.entry(service.clone()).or_default() += seen.totals.since(before.totals);
        }
        // After a step back, slots that the time has not reached would take the place of those of now.
        drop(self.arrived.split_off(&(now.slot + 1)));
        while self.arrived.len() > DEMAND_SLOTS_KEPT {
            self.arrived.pop_first();
        }
    }

    /// Work that arrived lately for the engines of a service.
    pub fn rates(&self, now: ClusterNow, service: &str) -> Rates {
        let mut sum = Totals::default();
        let slots = self.arrived.range(now.slot.saturating_sub(DEMAND_SLOTS)..now.slot);
        for totals in slots.filter_map(|(_, services)| services.get(service)) {
            sum += *totals;
        }
        let seconds = DEMAND_SLOTS as f64 * vaneway_quota::SLOT.as_secs_f64();
        Rates {
            runs: sum.runs as f64 / seconds,
            prompt_tokens: sum.prompt_tokens as f64 / seconds,
            uncached_tokens: sum.uncached_tokens as f64 / seconds,
        }
    }

    /// How fast all entry boxes together have seen the engines of a service.
    pub fn speeds(&self, service: &str) -> Speeds {
        let told = self.work.values().filter_map(|services| services.get(service));
        vaneway_engine::merge(&told.map(|seen| seen.speeds).collect::<Vec<_>>())
    }

    /// What entry boxes have open at endpoints.
    pub fn loads(&mut self) -> &mut LoadLedger {
        &mut self.loads
    }

    /// Whether an entry box told something in a window, from the slot `begin` on, and nothing since its
    /// end: it may have more to tell of it.
    pub fn awaits_reports(&self, begin: Slot, end: Slot) -> bool {
        self.report_tracker.misses(begin, end)
    }

    /// Entry boxes that told something after the slot `end`, and so all that they had used until then.
    pub fn reporters_since(&self, end: Slot) -> u32 {
        self.report_tracker.reporters_since(end)
    }

    /// What the rates of work rest on, where `known` entry boxes may be there.
    pub fn work_coverage(&self, now: ClusterNow, known: u32) -> ReportCoverage {
        self.report_tracker.news(now, DEMAND_SLOTS, known)
    }

    /// Whether any entry box told of requests in a window.
    pub fn has_window(&self, window: Window) -> bool {
        self.windows.contains_key(&window)
    }

    /// Requests of each organisation in a window, over all entry boxes.
    pub fn counts(&self, window: Window) -> Counts {
        let mut sum = Counts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (organisation, count) in counts {
                *sum.entry(organisation.clone()).or_default() += count;
            }
        }
        sum
    }

    /// What entry boxes took of quotas.
    pub fn quotas(&mut self) -> &mut QuotaLedger {
        &mut self.quotas
    }
}

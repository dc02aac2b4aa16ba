//! The usage reports of all entry boxes at one control box.
//!
//! The counts of an entry box for a window only grow, so control boxes may receive them repeatedly,
//! late or from each other, and keep the highest count of each incarnation of an entry box.

use std::collections::BTreeMap;
use std::time::Duration;

use vaneway_engine::Rates;
use vaneway_engine::Speeds;
use vaneway_engine::Totals;
use vaneway_quota::Slot;

use crate::caller_ledger::CallerLedger;
use crate::cluster_time::ClusterNow;
use crate::cluster_time::MAX_AHEAD;
use crate::cluster_time::Window;
use crate::entry_incarnation::EntryIncarnation;
use crate::load_ledger::LoadLedger;
use crate::quota_ledger::QuotaLedger;
use crate::report_tracker::ReportCoverage;
use crate::report_tracker::ReportTracker;
use crate::usage_report::Counts;
use crate::usage_report::EngineUsage;
use crate::usage_report::UsageReport;

/// The reports of all entry boxes to one control box.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<Window, BTreeMap<EntryIncarnation, Counts>>,
    quotas: QuotaLedger,
    loads: LoadLedger,
    /// Which entry boxes report, and when they last did.
    report_tracker: ReportTracker,
    /// The slot in which stale incarnations were last removed.
    expired_in: Slot,
    /// The latest report of each incarnation on each service's engines.
    work: BTreeMap<EntryIncarnation, BTreeMap<String, EngineUsage>>,
    /// Work reported in the latest slots, by service.
    arrived_work: BTreeMap<Slot, BTreeMap<String, Totals>>,
    /// What callers get.
    callers: CallerLedger,
}

/// Number of windows that a control box retains.
const RETAINED_LEDGER_WINDOWS: usize = 16;

/// Number of slots over which the demand is measured: 4 s.
const DEMAND_SLOTS: u64 = 8;

/// Number of slots for which reported work is retained.
const RETAINED_DEMAND_SLOTS: usize = 16;

impl UsageLedger {
    /// Merges a report. Windows that begin after the cluster time `now` by more than the allowed
    /// clock difference are ignored, since nothing can have been used in them yet.
    pub fn merge(&mut self, now: ClusterNow, entry: &EntryIncarnation, report: &UsageReport) {
        for (window, counts) in &report.windows {
            if *window > now.window + MAX_AHEAD {
                continue;
            }
            let known = self.windows.entry(*window).or_default().entry(entry.clone()).or_default();
            for (organisation, count) in counts {
                let known = known.entry(organisation.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        while self.windows.len() > RETAINED_LEDGER_WINDOWS {
            self.windows.pop_first();
        }
        self.quotas.merge(now, entry, &report.quotas);
        self.report_tracker.record(now, entry, report.at);
        self.expire_incarnations(now);
        if let Some(loads) = &report.loads {
            self.loads.replace(entry, loads);
        }
        self.merge_work(now, entry, &report.work);
    }

    /// Removes the incarnations of entry boxes that have not reported for long: their engine
    /// measurements must not outweigh the present ones. Runs once per slot, since running it with
    /// each report would cost quadratic time in the number of boxes.
    fn expire_incarnations(&mut self, now: ClusterNow) {
        if std::mem::replace(&mut self.expired_in, now.slot) == now.slot {
            return;
        }
        let Self { report_tracker, work, quotas, callers, .. } = self;
        report_tracker.expire(now.slot);
        work.retain(|entry, _| report_tracker.contains(entry));
        quotas.expire(|entry| report_tracker.contains(entry));
        callers.expire(|entry| report_tracker.contains(entry));
    }

    /// Records that an incarnation of an entry box has sent its final report.
    pub fn mark_done(&mut self, entry: &EntryIncarnation) {
        self.report_tracker.mark_done(entry);
    }

    /// When the last report of an entry box was made. None if there is no report that is recent at
    /// `now`, or if the entry box's cluster time differs from this box's.
    pub fn last_report_at(&self, now: Duration, entry: &EntryIncarnation) -> Option<Duration> {
        self.report_tracker.last_report_at(now, entry)
    }

    /// Number of incarnations of entry boxes that are tracked.
    pub fn incarnations(&self) -> usize {
        self.report_tracker.incarnations()
    }

    fn merge_work(
        &mut self,
        now: ClusterNow,
        entry: &EntryIncarnation,
        work: &[(String, EngineUsage)],
    ) {
        let previous = self.work.insert(entry.clone(), work.iter().cloned().collect());
        // The totals are cumulative, so the first ones of an entry box cover an unknown period and
        // are not counted as present work.
        let Some(previous) = previous else { return };
        for (service, engine_usage) in work {
            let before = previous.get(service).copied().unwrap_or_default();
            let slot = self.arrived_work.entry(now.slot).or_default();
            *slot.entry(service.clone()).or_default() += engine_usage.totals.since(before.totals);
        }
        // After a backward clock step, slots that are still in the future would displace the
        // present ones.
        drop(self.arrived_work.split_off(&(now.slot + 1)));
        while self.arrived_work.len() > RETAINED_DEMAND_SLOTS {
            self.arrived_work.pop_first();
        }
    }

    /// Rate at which work for a service's engines has arrived recently.
    pub fn rates(&self, now: ClusterNow, service: &str) -> Rates {
        let mut sum = Totals::default();
        let slots = self.arrived_work.range(now.slot.saturating_sub(DEMAND_SLOTS)..now.slot);
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

    /// Speeds of a service's engines by the measurements of all entry boxes.
    pub fn speeds(&self, service: &str) -> Speeds {
        let reports = self.work.values().filter_map(|services| services.get(service));
        vaneway_engine::merge(&reports.map(|engine_usage| engine_usage.speeds).collect::<Vec<_>>())
    }

    /// What callers of the entry boxes get.
    pub fn callers(&mut self) -> &mut CallerLedger {
        &mut self.callers
    }

    /// What entry boxes have open at endpoints.
    pub fn loads(&mut self) -> &mut LoadLedger {
        &mut self.loads
    }

    /// Whether the last report of any entry box falls into a window, which begins with the slot
    /// `begin` and ends with `end`: that box may have more usage to report for it.
    pub fn awaits_reports(&self, begin: Slot, end: Slot) -> bool {
        self.report_tracker.awaits_reports(begin, end)
    }

    /// Number of entry boxes that reported after the slot `end`, and so have reported all usage
    /// until then.
    pub fn reporters_since(&self, end: Slot) -> u32 {
        self.report_tracker.reporters_since(end)
    }

    /// How many of the `known` entry boxes the work rates are based on.
    pub fn work_coverage(&self, now: ClusterNow, known: u32) -> ReportCoverage {
        self.report_tracker.coverage(now, DEMAND_SLOTS, known)
    }

    /// Whether any entry box reported requests for a window.
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

    /// Quota usage of the entry boxes.
    pub fn quotas(&mut self) -> &mut QuotaLedger {
        &mut self.quotas
    }
}

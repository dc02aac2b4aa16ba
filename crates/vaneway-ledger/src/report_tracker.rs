//! Tracks which entry boxes report to a control box and how old their last reports are, without
//! I/O.
//!
//! An entry box that is connected may still not be reporting, and what an entry box has not
//! reported is unknown rather than zero. A decision for the whole deployment is therefore based on
//! [`ReportCoverage`]: how many entry boxes are reporting, since when, and how many there should
//! be.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use vaneway_quota::Slot;

use crate::cluster_time::ClusterNow;
use crate::entry_incarnation::EntryIncarnation;

/// Age up to which the last report of an entry box lets it count among those that share quotas: two
/// report intervals and the network delay. An entry box whose report is older keeps its share of
/// each quota, so that none of the others takes that share.
const SHARER_REPORT_MAX_AGE: Duration = Duration::from_millis(250);

/// Age of the last report from which on an entry box counts as not reporting: many report
/// intervals.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Number of slots by which cluster time may advance between two consecutive reports of any entry
/// boxes. If it advances by more, or goes back, the clock has stepped or this box was stalled, and
/// the usage that was counted by slot is not assigned to the right slots.
const MAX_SLOT_ADVANCE: u64 = 2;

/// Number of slots without a report after which an incarnation of an entry box is removed: half a
/// minute, which is longer than a window can still be reported after its end, and longer than an
/// entry box can be cut off and still deliver its report.
const INCARNATION_RETENTION_SLOTS: u64 = 60;

/// The reports received from each incarnation of an entry box.
#[derive(Debug, Default)]
pub struct ReportTracker {
    by_incarnation: BTreeMap<EntryIncarnation, Reports>,
    /// Entry boxes that have sent their final report, with the slot of that report.
    done: BTreeMap<String, Slot>,
    /// The slot of the latest report of any entry box.
    latest_slot: Slot,
    /// The slot since which reports have arrived without a gap.
    continuous_since: Slot,
}

/// The reports received from one incarnation of an entry box.
#[derive(Debug, Clone, Copy)]
struct Reports {
    /// The slot of its first report.
    first_slot: Slot,
    /// The slot of its last report.
    last_slot: Slot,
    /// Cluster time at which its last report arrived.
    received_at: Duration,
    /// Cluster time at which its last report was made, if the entry box knew the cluster time.
    made_at: Option<Duration>,
}

/// How many entry boxes a decision's data comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportCoverage {
    /// Entry boxes that are reporting.
    pub reporting: u32,
    /// Those of them that were reporting over the whole period in question.
    pub reporting_throughout: u32,
    /// Entry boxes that may be running.
    pub known: u32,
    /// Age of the oldest among the last reports of the boxes that are reporting.
    pub oldest_age: Duration,
}

impl ReportCoverage {
    /// Whether all entry boxes reported over the whole period. False if none did, since nothing is
    /// known then.
    pub fn is_complete(&self) -> bool {
        self.reporting_throughout > 0 && self.reporting_throughout >= self.known
    }
}

impl ReportTracker {
    /// Records a report that arrived at `now`; the entry box states that it was made at `made_at`.
    pub fn record(&mut self, now: ClusterNow, entry: &EntryIncarnation, made_at: Option<Duration>) {
        if now.slot < self.latest_slot || now.slot > self.latest_slot + MAX_SLOT_ADVANCE {
            self.continuous_since = now.slot;
        }
        self.latest_slot = now.slot;
        let first_slot =
            self.by_incarnation.get(entry).map_or(now.slot, |reports| reports.first_slot);
        let reports = Reports { first_slot, last_slot: now.slot, received_at: now.time, made_at };
        self.by_incarnation.insert(entry.clone(), reports);
    }

    /// Records that an incarnation of an entry box has sent its final report.
    pub fn mark_done(&mut self, entry: &EntryIncarnation) {
        if let Some(reports) = self.by_incarnation.remove(entry) {
            self.done.insert(entry.0.clone(), reports.last_slot);
        }
    }

    /// Removes the incarnations that have not reported for `INCARNATION_RETENTION_SLOTS` slots.
    pub fn expire(&mut self, now: Slot) {
        self.by_incarnation
            .retain(|_, reports| reports.last_slot + INCARNATION_RETENTION_SLOTS >= now);
        self.done.retain(|_, slot| *slot + INCARNATION_RETENTION_SLOTS >= now);
    }

    /// Whether an incarnation is tracked.
    pub fn contains(&self, entry: &EntryIncarnation) -> bool {
        self.by_incarnation.contains_key(entry)
    }

    /// Number of incarnations that are tracked.
    pub fn incarnations(&self) -> usize {
        self.by_incarnation.len()
    }

    /// When the last report of an entry box was made. None if there is no report that is recent at
    /// `now`, or if the entry box's cluster time differs from this box's.
    pub fn last_report_at(&self, now: Duration, entry: &EntryIncarnation) -> Option<Duration> {
        let made_at = self.by_incarnation.get(entry)?.made_at?;
        (now.abs_diff(made_at) <= SHARER_REPORT_MAX_AGE).then_some(made_at)
    }

    /// Whether any entry box sent its last report in the slots `begin` to `end`.
    pub fn awaits_reports(&self, begin: Slot, end: Slot) -> bool {
        self.by_incarnation.values().any(|reports| (begin..=end).contains(&reports.last_slot))
    }

    /// Number of entry boxes that reported after the slot `end` or have sent their final report.
    pub fn reporters_since(&self, end: Slot) -> u32 {
        let since = self.by_incarnation.iter().filter(|(_, reports)| reports.last_slot > end);
        let since: BTreeSet<&String> = since.map(|((name, _), _)| name).collect();
        since.into_iter().chain(self.done.keys()).collect::<BTreeSet<_>>().len() as u32
    }

    /// Which of the `known` entry boxes are reporting at `now`, and which of them were reporting
    /// over all of the last `slots` slots.
    pub fn coverage(&self, now: ClusterNow, slots: u64, known: u32) -> ReportCoverage {
        let is_reporting =
            |reports: &&Reports| now.time.abs_diff(reports.received_at) <= REPORT_MAX_AGE;
        let last = self.by_incarnation.iter().map(|((name, _), reports)| (name, reports));
        let reporting: BTreeMap<&String, &Reports> =
            last.filter(|(_, reports)| is_reporting(reports)).collect();
        let reporting_throughout = reporting
            .values()
            .filter(|reports| reports.first_slot.max(self.continuous_since) + slots < now.slot);
        let ages = reporting.values().map(|reports| now.time.abs_diff(reports.received_at));
        ReportCoverage {
            reporting: reporting.len() as u32,
            reporting_throughout: reporting_throughout.count() as u32,
            known,
            oldest_age: ages.max().unwrap_or_default(),
        }
    }
}

//! Whose news a control box has and how old they are, without I/O.
//!
//! Why: who is connected need not be heard, and what isn't heard is unknown, never nothing. A decision for the whole
//! deployment goes by [`ReportCoverage`]: how many entry boxes were heard, for how long, and how many should have been.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use vaneway_quota::Slot;

use crate::core::cluster_time::ClusterNow;
use crate::core::entry_incarnation::EntryIncarnation;

/// Age of a report up to which an entry box counts as heard by those that share quotas: two tellings and the way. Who
/// isn't heard keeps its part of each quota, so that none of the others takes it.
const SHARES_WITHIN: Duration = Duration::from_millis(250);

/// Age of the last report from which on an entry box isn't heard: many tellings.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

/// Slots by which the cluster's time may go on between two reports of any entry box. By more, or back, the time
/// stepped or the box was held up, and what it counted by slots doesn't stand where it belongs.
const SLOTS_BETWEEN: u64 = 2;

/// Slots of silence after which a start of an entry box is forgotten: half a minute, longer than a
/// window may still be reported, and than a box that was cut off may come back with.
const STARTS_KEPT: u64 = 60;

/// When each start of an entry box told anything.
#[derive(Debug, Default)]
pub struct ReportTracker {
    told: BTreeMap<EntryIncarnation, Told>,
    /// Entry boxes that have told all that they ever will, and when they last told.
    done: BTreeMap<String, Slot>,
    /// The slot of the last report of any.
    latest: Slot,
    /// The slot from which on reports came without a break.
    unbroken_since: Slot,
}

/// When a start of an entry box told anything.
#[derive(Debug, Clone, Copy)]
struct Told {
    /// The slot of its first report.
    first: Slot,
    /// The slot of its last report.
    slot: Slot,
    /// When its last report came.
    came: Duration,
    /// When that was made, if the entry box knew the cluster's time.
    made: Option<Duration>,
}

/// What a decision that goes by reports of the entry boxes rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportCoverage {
    /// Entry boxes that are heard.
    pub reporting: u32,
    /// Those of them that were heard over all of the time in question.
    pub reporting_throughout: u32,
    /// Entry boxes that may be there.
    pub known: u32,
    /// Age of the oldest of the last reports of those that are heard.
    pub oldest_age: Duration,
}

impl ReportCoverage {
    /// Whether all were heard over all of the time; not if there are none, since nothing is known then.
    pub fn is_complete(&self) -> bool {
        self.reporting_throughout > 0 && self.reporting_throughout >= self.known
    }
}

impl ReportTracker {
    /// Learns that a report came at `now` that was `made` when the entry box says.
    pub fn learn(&mut self, now: ClusterNow, entry: &EntryIncarnation, made: Option<Duration>) {
        if now.slot < self.latest || now.slot > self.latest + SLOTS_BETWEEN {
            self.unbroken_since = now.slot;
        }
        self.latest = now.slot;
        let first = self.told.get(entry).map_or(now.slot, |told| told.first);
        let told = Told { first, slot: now.slot, came: now.time, made };
        self.told.insert(entry.clone(), told);
    }

    /// Learns that a start of an entry box has told all that it ever will.
    pub fn end(&mut self, entry: &EntryIncarnation) {
        if let Some(told) = self.told.remove(entry) {
            self.done.insert(entry.0.clone(), told.slot);
        }
    }

    /// Forgets the starts that have been silent for long.
    pub fn forget(&mut self, now: Slot) {
        self.told.retain(|_, told| told.slot + STARTS_KEPT >= now);
        self.done.retain(|_, slot| *slot + STARTS_KEPT >= now);
    }

    /// Whether a start is remembered.
    pub fn has(&self, entry: &EntryIncarnation) -> bool {
        self.told.contains_key(entry)
    }

    /// Starts that are remembered.
    pub fn incarnations(&self) -> usize {
        self.told.len()
    }

    /// When the last report of an entry box was made that is recent at `now`; none if there is none, or if
    /// the box's idea of the cluster's time is another.
    pub fn last_report_at(&self, now: Duration, entry: &EntryIncarnation) -> Option<Duration> {
        let made = self.told.get(entry)?.made?;
        (now.abs_diff(made) <= SHARES_WITHIN).then_some(made)
    }

    /// Whether an entry box told something from the slot `begin` to `end`, and nothing since.
    pub fn misses(&self, begin: Slot, end: Slot) -> bool {
        self.told.values().any(|told| (begin..=end).contains(&told.slot))
    }

    /// Entry boxes that told something after the slot `end`, or had told all that they ever will.
    pub fn reporters_since(&self, end: Slot) -> u32 {
        let since = self.told.iter().filter(|(_, told)| told.slot > end);
        let since: BTreeSet<&String> = since.map(|((name, _), _)| name).collect();
        since.into_iter().chain(self.done.keys()).collect::<BTreeSet<_>>().len() as u32
    }

    /// What is heard at `now` of `known` entry boxes; throughout is over the last `slots`.
    pub fn news(&self, now: ClusterNow, slots: u64, known: u32) -> ReportCoverage {
        let is_heard = |told: &&Told| now.time.abs_diff(told.came) <= HEARD_WITHIN;
        let last = self.told.iter().map(|((name, _), told)| (name, told));
        let reporting: BTreeMap<&String, &Told> = last.filter(|(_, told)| is_heard(told)).collect();
        let reporting_throughout = reporting
            .values()
            .filter(|told| told.first.max(self.unbroken_since) + slots < now.slot);
        let ages = reporting.values().map(|told| now.time.abs_diff(told.came));
        ReportCoverage {
            reporting: reporting.len() as u32,
            reporting_throughout: reporting_throughout.count() as u32,
            known,
            oldest_age: ages.max().unwrap_or_default(),
        }
    }
}

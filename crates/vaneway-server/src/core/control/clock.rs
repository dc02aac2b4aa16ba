//! The cluster's time: true time as the control boxes agree on it, without I/O.
//!
//! Why: the time of day of a single box may jump. Each control box tells the others its time of
//! day; the median of what it heard lately and its own is the cluster's time, so that one wrong
//! clock among three changes nothing. Between two tellings the steady clock goes on.
//!
//! A box that starts takes the cluster's time from those that know it: most times of day may have jumped
//! just then, which the others know from what they kept and this box can't.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_agreement::NodeId;

use crate::core::cluster_time::ClusterTime;

/// How long another box's time counts after it was told.
const KEPT: Duration = Duration::from_secs(5);

/// Largest difference that is taken for drift and not for a step of some clock.
const DRIFT_MOST: Duration = Duration::from_millis(100);

/// Steps must last so long before the cluster follows them; the clocks of most boxes cannot all
/// be wrong for long.
const STEP_AFTER: Duration = Duration::from_secs(30);

/// The times that one control box knows.
#[derive(Debug, Default)]
pub struct Clock {
    others: BTreeMap<NodeId, ClusterTime>,
    heard: BTreeMap<NodeId, Instant>,
    /// The cluster's time as other boxes keep it, needed only until this box knows it.
    kept_by_others: BTreeMap<NodeId, ClusterTime>,
    kept: Option<ClusterTime>,
    /// Since when the median differs from what is kept.
    differs_since: Option<Instant>,
}

impl Clock {
    /// Learns the time of day of another control box.
    pub fn learn(&mut self, now: Instant, node: NodeId, since_epoch: Duration) {
        self.others.insert(node, ClusterTime::new(now, since_epoch));
        self.heard.insert(node, now);
    }

    /// Learns the cluster's time as another control box keeps it.
    pub fn learn_kept(&mut self, now: Instant, node: NodeId, since_epoch: Duration) {
        if self.kept.is_none() {
            self.kept_by_others.insert(node, ClusterTime::new(now, since_epoch));
        }
    }

    /// The cluster's time as this box keeps it; none while it can't tell whether it is right.
    pub fn kept(&self, now: Instant) -> Option<Duration> {
        self.kept.map(|kept| kept.since_epoch(now))
    }

    /// The cluster's time; `own` is this box's time of day.
    pub fn read(&mut self, now: Instant, own: Duration) -> Duration {
        self.heard.retain(|_, heard| now.saturating_duration_since(*heard) < KEPT);
        self.others.retain(|node, _| self.heard.contains_key(node));
        let mut times: Vec<Duration> = self.others.values().map(|t| t.since_epoch(now)).collect();
        times.push(own);
        let median = median(&mut times);
        let Some(kept) = self.kept else {
            let mut others: Vec<Duration> =
                self.kept_by_others.values().map(|kept| kept.since_epoch(now)).collect();
            let time = if others.is_empty() { median } else { self::median(&mut others) };
            // Alone, a box can't tell whether its own clock is right.
            if times.len() >= 3 || !others.is_empty() {
                self.kept = Some(ClusterTime::new(now, time));
                self.kept_by_others.clear();
            }
            return time;
        };
        let expected = kept.since_epoch(now);
        if median.abs_diff(expected) <= DRIFT_MOST {
            self.differs_since = None;
            return expected;
        }
        let since = *self.differs_since.get_or_insert(now);
        if times.len() >= 3 && now.saturating_duration_since(since) > STEP_AFTER {
            self.kept = Some(ClusterTime::new(now, median));
            self.differs_since = None;
            return median;
        }
        expected
    }
}

/// The middle one of some times, of two the earlier; there must be one at least.
fn median(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    times[(times.len() - 1) / 2]
}

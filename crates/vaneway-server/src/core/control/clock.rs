//! The cluster time: the time of day that the control boxes agree on, without I/O.
//!
//! The time of day of a single box may jump. Each control box sends the others its time of day; the
//! cluster time is the median of its own and those received recently, so that one wrong clock among
//! three has no effect. Between two updates, the monotonic clock is used.
//!
//! A box that starts adopts the cluster time of boxes that know it. The time of day of most boxes
//! may have jumped at that moment, which the other boxes can tell by the cluster time that they
//! keep, but this box cannot.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_agreement::NodeId;
use vaneway_ledger::ClusterTime;

/// Maximum age of another box's time of day.
const MAX_PEER_TIME_AGE: Duration = Duration::from_secs(5);

/// Maximum difference that counts as drift and not as a clock step.
const MAX_DRIFT: Duration = Duration::from_millis(100);

/// Time for which a step must last before the cluster time follows it: the clocks of most boxes
/// cannot all be wrong for long.
const STEP_DELAY: Duration = Duration::from_secs(30);

/// The times known to one control box.
#[derive(Debug, Default)]
pub struct ClusterClock {
    others: BTreeMap<NodeId, ClusterTime>,
    received_at: BTreeMap<NodeId, Instant>,
    /// The cluster time as other boxes keep it; only used until this box has one.
    others_cluster_time: BTreeMap<NodeId, ClusterTime>,
    established: Option<ClusterTime>,
    /// Since when the median has differed from the cluster time.
    differs_since: Option<Instant>,
}

impl ClusterClock {
    /// Records the time of day of another control box.
    pub fn record_peer_time(&mut self, now: Instant, node: NodeId, since_epoch: Duration) {
        self.others.insert(node, ClusterTime::new(now, since_epoch));
        self.received_at.insert(node, now);
    }

    /// Records the cluster time of another control box.
    pub fn record_peer_cluster_time(&mut self, now: Instant, node: NodeId, since_epoch: Duration) {
        if self.established.is_none() {
            self.others_cluster_time.insert(node, ClusterTime::new(now, since_epoch));
        }
    }

    /// The cluster time of this box; none while it cannot tell whether its time is right.
    pub fn established_time(&self, now: Instant) -> Option<Duration> {
        self.established.map(|established| established.since_epoch(now))
    }

    /// The cluster time; `own` is this box's time of day.
    pub fn read(&mut self, now: Instant, own: Duration) -> Duration {
        self.received_at.retain(|_, received_at| {
            now.saturating_duration_since(*received_at) < MAX_PEER_TIME_AGE
        });
        self.others.retain(|node, _| self.received_at.contains_key(node));
        let mut times: Vec<Duration> = self.others.values().map(|t| t.since_epoch(now)).collect();
        times.push(own);
        let median = median(&mut times);
        let Some(established) = self.established else {
            let mut others: Vec<Duration> =
                self.others_cluster_time.values().map(|time| time.since_epoch(now)).collect();
            let time = if others.is_empty() { median } else { self::median(&mut others) };
            // A box alone cannot tell whether its own clock is right.
            if times.len() >= 3 || !others.is_empty() {
                self.established = Some(ClusterTime::new(now, time));
                self.others_cluster_time.clear();
            }
            return time;
        };
        let expected = established.since_epoch(now);
        if median.abs_diff(expected) <= MAX_DRIFT {
            self.differs_since = None;
            return expected;
        }
        let since = *self.differs_since.get_or_insert(now);
        if times.len() >= 3 && now.saturating_duration_since(since) > STEP_DELAY {
            self.established = Some(ClusterTime::new(now, median));
            self.differs_since = None;
            return median;
        }
        expected
    }
}

/// The median, for an even number the earlier of the two middle times; there must be at least one.
fn median(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    times[(times.len() - 1) / 2]
}

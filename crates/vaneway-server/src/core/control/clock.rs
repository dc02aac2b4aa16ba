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
const MAX_PEER_TIME_AGE: Duration = Duration::from_secs(5);

/// Largest difference that is taken for drift and not for a step of some clock.
const MAX_DRIFT: Duration = Duration::from_millis(100);

/// Steps must last so long before the cluster follows them; the clocks of most boxes cannot all
/// be wrong for long.
const STEP_DELAY: Duration = Duration::from_secs(30);

/// The times that one control box knows.
#[derive(Debug, Default)]
pub struct ClusterClock {
    others: BTreeMap<NodeId, ClusterTime>,
    received_at: BTreeMap<NodeId, Instant>,
    /// The cluster's time as other boxes keep it, needed only until this box knows it.
    others_cluster_time: BTreeMap<NodeId, ClusterTime>,
    established: Option<ClusterTime>,
    /// Since when the median differs from what is kept.
    differs_since: Option<Instant>,
}

impl ClusterClock {
    /// Learns the time of day of another control box.
    pub fn record_peer_time(&mut self, now: Instant, node: NodeId, since_epoch: Duration) {
        self.others.insert(node, ClusterTime::new(now, since_epoch));
        self.received_at.insert(node, now);
    }

    /// Learns the cluster's time as another control box keeps it.
    pub fn record_peer_cluster_time(&mut self, now: Instant, node: NodeId, since_epoch: Duration) {
        if self.established.is_none() {
            self.others_cluster_time.insert(node, ClusterTime::new(now, since_epoch));
        }
    }

    /// The cluster's time as this box keeps it; none while it can't tell whether it is right.
    pub fn established_time(&self, now: Instant) -> Option<Duration> {
        self.established.map(|established| established.since_epoch(now))
    }

    /// The cluster's time; `own` is this box's time of day.
    pub fn read(&mut self, now: Instant, own: Duration) -> Duration {
        self.received_at.retain(|_, received_at| {
            now.saturating_duration_since(*received_at) < MAX_PEER_TIME_AGE
        });
        self.others.retain(|node, _| self.received_at.contains_key(node));
        let mut times: Vec<Duration> = self.others.values().map(|t| t.since_epoch(now)).collect();
        times.push(own);
        let median = median(&mut times);
        let Some(established) = self.established else {
            let mut others: Vec<Duration> = self
                .others_cluster_time
                .values()
                .map(|established| established.since_epoch(now))
                .collect();
            let time = if others.is_empty() { median } else { self::median(&mut others) };
            // Alone, a box can't tell whether its own clock is right.
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

/// The middle one of some times, of two the earlier; there must be one at least.
fn median(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    times[(times.len() - 1) / 2]
}

//! A queue of deadlines that parts subscribe to, without a clock of its own.
//!
//! Why: every part needs deadlines, and a part that reads the clock or sleeps by itself cannot be
//! replayed. Parts subscribe with a deadline and a key; whoever owns the clock asks for the next
//! deadline, sleeps until then, and hands the keys that are due back to the parts.
//!
//! Deadlines that are equal come due in the order of subscription.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use vaneway_timer::TimerQueue;
//!
//! let start = Instant::now();
//! let mut timers = TimerQueue::new();
//! let id = timers.subscribe(start + Duration::from_secs(1), "lease");
//! timers.subscribe(start + Duration::from_secs(2), "heartbeat");
//! assert!(timers.cancel(id));
//! assert_eq!(timers.pop_due(start + Duration::from_secs(3)), Some("heartbeat"));
//! assert_eq!(timers.next_deadline(), None);
//! ```

use std::collections::BTreeMap;
use std::time::Instant;

/// Names one subscription; never used twice by one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId {
    at: Instant,
    sequence: u64,
}

/// The queue of deadlines.
#[derive(Debug)]
pub struct TimerQueue<K> {
    entries: BTreeMap<TimerId, K>,
    sequence: u64,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K> TimerQueue<K> {
    /// An empty queue.
    pub fn new() -> Self {
        Self { entries: BTreeMap::new(), sequence: 0 }
    }

    /// Asks for `key` to come due at `at`.
    pub fn subscribe(&mut self, at: Instant, key: K) -> TimerId {
        let id = TimerId { at, sequence: self.sequence };
        self.sequence += 1;
        self.entries.insert(id, key);
        id
    }

    /// Takes a subscription back; false if it came due already.
    pub fn cancel(&mut self, id: TimerId) -> bool {
        self.entries.remove(&id).is_some()
    }

    /// The key of a subscription that has not come due.
    pub fn get_mut(&mut self, id: TimerId) -> Option<&mut K> {
        self.entries.get_mut(&id)
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.entries.keys().next().map(|id| id.at)
    }

    /// Removes and returns the earliest key that is due at `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<K> {
        let first = self.entries.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }

    /// How many subscriptions are waiting.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is waiting.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

//! Queue of deadlines with keys, independent of any clock.
//!
//! A component that reads the clock or sleeps can't be replayed in a test, yet most components need
//! deadlines. With this queue a component subscribes with a deadline and a key; the owner of the
//! clock queries the next deadline, sleeps until then and hands the due keys back to the
//! components.
//!
//! Equal deadlines become due in the order of subscription.
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

/// Identifies a subscription; a queue never reuses an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId {
    at: Instant,
    sequence: u64,
}

/// Queue of deadlines, each with a key of type `K`.
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
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { entries: BTreeMap::new(), sequence: 0 }
    }

    /// Adds a subscription: `key` becomes due at `at`.
    pub fn subscribe(&mut self, at: Instant, key: K) -> TimerId {
        let id = TimerId { at, sequence: self.sequence };
        self.sequence += 1;
        self.entries.insert(id, key);
        id
    }

    /// Cancels a subscription; returns false if it was already removed or cancelled.
    pub fn cancel(&mut self, id: TimerId) -> bool {
        self.entries.remove(&id).is_some()
    }

    /// Returns the key of a subscription that is still in the queue.
    pub fn get_mut(&mut self, id: TimerId) -> Option<&mut K> {
        self.entries.get_mut(&id)
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.entries.keys().next().map(|id| id.at)
    }

    /// Removes and returns the earliest key that is due at `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<K> {
        let first = self.entries.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }

    /// Number of pending subscriptions.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no subscription is pending.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

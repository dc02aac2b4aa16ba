//! The cluster's time, and the windows and slots into which it is cut.

use std::time::Duration;
use std::time::Instant;

use vaneway_quota::Slot;

/// Number of an accounting window since 1970.
pub type Window = u64;

/// Windows and slots that another box's time may be ahead.
pub(super) const AHEAD_MOST: u64 = 1;

/// The cluster's time: true time as the control boxes agree on it, against this box's steady
/// clock, which no step of the time of day changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterTime {
    at: Instant,
    since_epoch: Duration,
}

impl ClusterTime {
    /// At `at` it was `since_epoch` since 1970.
    pub fn new(at: Instant, since_epoch: Duration) -> Self {
        Self { at, since_epoch }
    }

    /// The time since 1970 at `now`.
    pub fn since_epoch(&self, now: Instant) -> Duration {
        if now >= self.at {
            self.since_epoch + (now - self.at)
        } else {
            self.since_epoch.saturating_sub(self.at - now)
        }
    }

    /// The window that `now` falls into.
    pub fn window(&self, now: Instant, length: Duration) -> Window {
        (self.since_epoch(now).as_millis() / length.as_millis().max(1)) as Window
    }
}

/// Where the cluster's time stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterNow {
    /// The time since 1970.
    pub time: Duration,
    /// The accounting window.
    pub window: Window,
    /// The slot of quotas.
    pub slot: Slot,
}

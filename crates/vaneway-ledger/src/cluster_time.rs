//! Cluster time, and the accounting windows and quota slots into which it is divided.

use std::time::Duration;
use std::time::Instant;

use vaneway_quota::Slot;

/// Number of an accounting window since 1970.
pub type Window = u64;

/// Number of windows or slots by which another box's time may be ahead.
pub(crate) const MAX_AHEAD: u64 = 1;

/// Cluster time: the time of day that the control boxes agree on, relative to this box's monotonic
/// clock, which no step of the time of day changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterTime {
    at: Instant,
    since_epoch: Duration,
}

impl ClusterTime {
    /// A clock that shows the time `since_epoch` since 1970 at `at`.
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

    /// The window that contains `now`, for windows of the given length.
    pub fn window(&self, now: Instant, length: Duration) -> Window {
        (self.since_epoch(now).as_millis() / length.as_millis().max(1)) as Window
    }
}

/// A cluster time, with the window and the slot that contain it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterNow {
    /// The time since 1970.
    pub time: Duration,
    /// The accounting window.
    pub window: Window,
    /// The quota slot.
    pub slot: Slot,
}

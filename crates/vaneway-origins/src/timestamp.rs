//! Times in few bytes.

use std::time::Duration;
use std::time::Instant;

use crate::ORIGIN_RETENTION;

/// A time to the millisecond, counted from [`ORIGIN_RETENTION`] before an epoch so that the times
/// of all records that haven't expired at the epoch can be represented.
///
/// It is packed so that no bytes of [`crate::Stream`] are padding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(Rust, packed(2))]
pub struct Timestamp {
    second: u32,
    millisecond: u16,
}

impl Timestamp {
    /// The time `now`; the epoch if that is later.
    pub fn new(epoch: Instant, now: Instant) -> Self {
        Self::from_duration(now.saturating_duration_since(epoch) + ORIGIN_RETENTION)
    }

    /// The whole second in which it is.
    pub fn second(self) -> u32 {
        self.second
    }

    /// Time since `earlier`; zero if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.to_duration().saturating_sub(earlier.to_duration())
    }

    /// The time `age` earlier.
    pub fn before(self, age: Duration) -> Self {
        Self::from_duration(self.to_duration().saturating_sub(age))
    }

    /// Whether everything that was recorded in a second has expired.
    pub fn is_expired_second(self, second: u32) -> bool {
        let end = Duration::from_secs(u64::from(second) + 1);
        self.to_duration() >= end + ORIGIN_RETENTION
    }

    fn from_duration(time: Duration) -> Self {
        Self { second: time.as_secs() as u32, millisecond: time.subsec_millis() as u16 }
    }

    fn to_duration(self) -> Duration {
        Duration::from_secs(self.second.into()) + Duration::from_millis(self.millisecond.into())
    }
}

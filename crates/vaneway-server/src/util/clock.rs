//! The clocks of the process: wall-clock time and a monotonic clock that includes suspended time.
//!
//! `Instant::now` is not used, because a box may be suspended for seconds and the standard
//! library's monotonic clock does not count them. After a suspension, a leader's lease, a caller's
//! deadline or the age of data from other boxes would seem as fresh as before it.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Wall-clock time since the Unix epoch.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Monotonic time, including the time during which the box was suspended.
pub fn now() -> Instant {
    static CLOCK: OnceLock<SteadyClock<fn() -> Duration>> = OnceLock::new();
    CLOCK.get_or_init(|| SteadyClock::new(since_boot)).now()
}

/// Monotonic time since `at`, including the time during which the box was suspended.
pub fn elapsed(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Time since the operating system started, including the time during which it was suspended.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// A monotonic clock whose time is read by a function and returned as [`Instant`]s, so that it can
/// replace the standard library's clock.
#[derive(Debug)]
pub struct SteadyClock<F> {
    /// Time of creation by the standard library's clock and by this one.
    created: (Instant, Duration),
    read: F,
}

impl<F: Fn() -> Duration> SteadyClock<F> {
    /// Creates a clock whose time is read by `read`, which must never go backwards.
    pub fn new(read: F) -> Self {
        Self { created: (Instant::now(), read()), read }
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        let (at, read_at_creation) = self.created;
        at + (self.read)().saturating_sub(read_at_creation)
    }
}

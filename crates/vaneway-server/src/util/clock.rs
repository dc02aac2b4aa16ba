//! Where the process reads the time of day and the steady time.
//!
//! Why not `Instant::now`: a box may be suspended for seconds, and the standard library's steady clock does not count
//! them. A leader's lease, a caller's deadline or the age of what others told would seem as fresh afterwards as before.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Time since 1970.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The steady time, with all time in which the box was suspended.
pub fn now() -> Instant {
    static CLOCK: OnceLock<SteadyClock<fn() -> Duration>> = OnceLock::new();
    CLOCK.get_or_init(|| SteadyClock::new(since_boot)).now()
}

/// Steady time since `at`, with all time in which the box was suspended.
pub fn elapsed(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Time since the system started, with all time in which it was suspended.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Tells a clock of its own as [`Instant`]s, so that all that reckons with these can go by it.
#[derive(Debug)]
pub struct SteadyClock<F> {
    /// When it was made, by the standard library's clock and by its own.
    made: (Instant, Duration),
    read: F,
}

impl<F: Fn() -> Duration> SteadyClock<F> {
    /// A clock whose time `read` tells; it must never go back.
    pub fn new(read: F) -> Self {
        Self { made: (Instant::now(), read()), read }
    }

    /// Its time.
    pub fn now(&self) -> Instant {
        let (at, told) = self.made;
        at + (self.read)().saturating_sub(told)
    }
}

//! Where the process reads the time of day.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Time since 1970.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

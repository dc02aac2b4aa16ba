//! Demand of an organisation, as a rate.

use std::time::Duration;

/// Time constant of the moving average: long enough that a few large requests of a small
/// organisation do not look like a load spike, and short compared with the seconds in which a spike
/// empties a bucket.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Exponentially decaying sum of the units requested recently, admitted or not.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    units: f64,
    at: Duration,
}

impl Demand {
    /// Adds units requested at `now`.
    pub fn add(&mut self, now: Duration, units: f64) {
        self.units = self.left(now) + units;
        self.at = self.at.max(now);
    }

    /// Units requested per second.
    pub fn rate(&self, now: Duration) -> f64 {
        self.left(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// When units were last requested.
    pub fn latest(&self) -> Duration {
        self.at
    }

    fn left(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.units * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

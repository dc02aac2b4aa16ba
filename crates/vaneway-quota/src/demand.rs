//! What an organisation asks for, as a rate.

use std::time::Duration;

/// Time over which a demand is averaged: long enough that a few large requests of a small organisation are no
/// flood, and short against the seconds in which a flood empties a bucket.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Units asked for lately, admitted or not; older ones count less and less.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    units: f64,
    at: Duration,
}

impl Demand {
    /// Counts units that were asked for at `now`.
    pub fn add(&mut self, now: Duration, units: f64) {
        self.units = self.left(now) + units;
        self.at = self.at.max(now);
    }

    /// Units asked for in a second.
    pub fn rate(&self, now: Duration) -> f64 {
        self.left(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// When units were last asked for.
    pub fn latest(&self) -> Duration {
        self.at
    }

    fn left(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.units * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

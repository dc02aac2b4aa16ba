//! Quotas of organisations that many entry boxes share, without I/O.
//!
//! Why: an organisation's limit holds over all entry boxes together, and no entry box may ask
//! another before it admits a request. So each box keeps a token bucket for the whole limit: it
//! takes what it admits itself at once, and what the others admitted as soon as it is told, some
//! times a second. Between two such reports boxes may admit too much together, by what arrives in
//! that time; a bucket in debt then admits nothing until the limit has paid it off, so over any
//! longer time the limit holds. A box that is told nothing for a while falls back to its share.

use std::time::Duration;
use std::time::Instant;

/// A limit, in units (requests or tokens).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be taken on top at once.
    pub burst: f64,
}

/// Silence after which the others' use counts as unknown.
const TOLD_WITHIN: Duration = Duration::from_secs(2);

/// One organisation's bucket at one entry box.
#[derive(Debug, Clone)]
pub struct Bucket {
    limit: Limit,
    /// Units that may be taken now; below zero while in debt.
    level: f64,
    updated: Instant,
    /// When the others' use was last told.
    told: Instant,
    /// Entry boxes that share the limit.
    sharers: u32,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: Instant, limit: Limit) -> Self {
        Self { limit, level: limit.burst, updated: now, told: now, sharers: 1 }
    }

    /// Changes the limit; what was taken stays taken.
    pub fn set_limit(&mut self, now: Instant, limit: Limit) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Takes `units` for a request of this box.
    ///
    /// # Errors
    ///
    /// The time after which the bucket will hold enough.
    pub fn take(&mut self, now: Instant, units: f64) -> Result<(), Duration> {
        self.refill(now);
        // A request larger than the burst can only ever start from a full bucket.
        let needed = units.min(self.limit.burst);
        if self.level >= needed {
            self.level -= units;
            return Ok(());
        }
        let rate = self.rate(now).max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64((needed - self.level) / rate).unwrap_or(Duration::MAX))
    }

    /// Gives back what a request took that was not run.
    pub fn give_back(&mut self, now: Instant, units: f64) {
        self.refill(now);
        self.level = (self.level + units).min(self.limit.burst);
    }

    /// Learns that the other boxes took `units` since they were last told of, and how many boxes
    /// share the limit.
    pub fn told(&mut self, now: Instant, units: f64, sharers: u32) {
        self.refill(now);
        self.level -= units;
        self.told = now;
        self.sharers = sharers.max(1);
    }

    /// Units that may be taken now.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units a second that this box may count on.
    fn rate(&self, now: Instant) -> f64 {
        if now.saturating_duration_since(self.told) <= TOLD_WITHIN {
            self.limit.rate
        } else {
            self.limit.rate / f64::from(self.sharers)
        }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.level = self.rate(now).mul_add(passed, self.level).min(self.limit.burst);
        self.updated = self.updated.max(now);
    }
}

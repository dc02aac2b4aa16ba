//! Enforces an endpoint's advertised limit on the requests of one box.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::AdvertisedLimit;
use crate::EpochTime;

/// Length of an interval. It is long enough that a box with a few requests per second has one in
/// most of the intervals in which it may send, and short compared with the seconds over which
/// operators measure rates.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Minimum rate that an endpoint receives, in requests per second. Only a response shows that a
/// limit was lifted, so an endpoint that accepts next to nothing must still receive a request now
/// and then.
const MIN_RATE: f64 = 0.1;

/// Time after the end of a limit during which the allowed rate doubles in each interval, so that
/// the requests that all boxes held back don't arrive at once.
const RAMP_UP_TIME: Duration = Duration::from_secs(5);

/// Fractional part of the golden ratio in units of 2^-64, added once per interval. Where a limit
/// allows a fractional number of requests per interval, the sum decides which intervals get an
/// additional one; the golden ratio spreads these as evenly as possible.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Number of a box among those that share the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxNumber {
    /// The box's number, from 0 to `of` - 1.
    pub number: u32,
    /// Number of boxes that may be running.
    pub of: u32,
}

/// State of the sending box on which [`Gate::is_open`] depends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sender {
    /// The cluster's time.
    pub now: EpochTime,
    /// Number of the box; none while unknown, in which case it sends nothing to an endpoint with a
    /// limit.
    pub number: Option<BoxNumber>,
}

/// Admits a box's requests to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    /// Hash of the endpoint's name, the same at every box.
    key: u64,
    limit: Option<AdvertisedLimit>,
    /// Interval of the latest request, and the number of requests sent in it.
    sent: (u64, u32),
}

impl Gate {
    /// Creates a gate to an endpoint that has advertised no limit.
    pub fn new(key: u64) -> Self {
        Self { key, ..Self::default() }
    }

    /// Applies a limit that the endpoint advertised.
    pub fn set_limit(&mut self, limit: AdvertisedLimit) {
        self.limit = Some(limit);
    }

    /// The limit that the endpoint advertised last; it may have been lifted since.
    pub fn limit(&self) -> Option<&AdvertisedLimit> {
        self.limit.as_ref()
    }

    /// Whether a limit is in force.
    pub fn is_limited(&self, now: EpochTime) -> bool {
        self.limit_at(now).is_some()
    }

    /// Time since the limit ended, while the allowed rate still rises.
    pub fn ramping_up_for(&self, now: EpochTime) -> Option<Duration> {
        let ended = self.limit.filter(|limit| limit.lifted && self.is_limited(now))?;
        Some(now.saturating_sub(ended.seen_at))
    }

    /// Whether the box may send a request now.
    pub fn is_open(&self, sender: Sender) -> bool {
        let Some((interval, rate)) = self.limit_at(sender.now) else { return true };
        let Some(number) = sender.number else { return false };
        let (sent_in, sent) = self.sent;
        let sent = if sent_in == interval { sent } else { 0 };
        sent < self.share(interval, rate, number)
    }

    /// Counts a request that is sent now.
    pub fn record_sent(&mut self, sender: Sender) {
        let interval = self.interval(sender.now);
        let (sent_in, sent) = self.sent;
        self.sent = (interval, if sent_in == interval { sent + 1 } else { 1 });
    }

    /// Returns the number of the interval that contains `now`. Intervals of different endpoints
    /// start at different times, so that boxes don't send to all of them at once.
    fn interval(&self, now: EpochTime) -> u64 {
        let offset = self.key % INTERVAL.as_nanos() as u64;
        ((now.as_nanos() + u128::from(offset)) / INTERVAL.as_nanos()) as u64
    }

    /// Returns the interval that contains `now`, and the requests per second that all boxes
    /// together may send in it; none if no limit is in force. This is called for every endpoint at
    /// each choice, and most endpoints have no limit, so it computes nothing for these.
    fn limit_at(&self, now: EpochTime) -> Option<(u64, f64)> {
        let limit = self.limit?;
        let rate = limit.rate.per_second().max(MIN_RATE);
        let interval = self.interval(now);
        if !limit.lifted {
            return Some((interval, rate));
        }
        let since = interval.saturating_sub(self.interval(limit.seen_at));
        let is_unlimited = INTERVAL.as_secs_f64() * since as f64 >= RAMP_UP_TIME.as_secs_f64();
        (!is_unlimited).then(|| (interval, rate * (since as f64).exp2()))
    }

    /// Returns how many requests of an interval belong to a box. They are assigned to boxes in
    /// turn, starting at a box that differs from interval to interval.
    fn share(&self, interval: u64, rate: f64, BoxNumber { number, of }: BoxNumber) -> u32 {
        let all = self.requests_in(interval, rate);
        let boxes = u64::from(of.max(1));
        let first = mix(self.key ^ interval.wrapping_mul(GOLDEN_RATIO)) % boxes;
        let position = (u64::from(number) % boxes + boxes - first) % boxes;
        all.saturating_sub(position).div_ceil(boxes).min(u32::MAX.into()) as u32
    }

    /// Returns how many requests all boxes together may send in an interval. A fraction is rounded
    /// up in the corresponding share of intervals and down in the others, the same at every box.
    fn requests_in(&self, interval: u64, rate: f64) -> u64 {
        let phase =
            self.key.wrapping_add(interval.wrapping_mul(GOLDEN_RATIO)) as f64 / u64::MAX as f64;
        (rate * INTERVAL.as_secs_f64() + phase) as u64
    }
}

/// Mixes the bits of a number, so that similar numbers give unrelated results (the finalizer of
/// Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

//! What one box may send to an endpoint that has named a limit.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::AdvertisedLimit;
use crate::EpochTime;

/// Length of an interval. Long enough that a box with a few requests a second has one in most intervals that are its
/// own; short against the seconds over which operators count.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Fewest requests a second that an endpoint gets. Only an answer says that a limit has ended, so one that takes
/// next to nothing must still be asked now and then.
const RATE_LEAST: f64 = 0.1;

/// How long a limit that has ended is lifted step by step, to twice as much in each interval: what all boxes kept away
/// must not come at once.
const LIFTED_OVER: Duration = Duration::from_secs(5);

/// What is added from one interval to the next to tell which of them has a request more where the limit gives a fraction:
/// the golden ratio's part of all numbers, which spreads these as evenly as can be.
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// Which of the boxes that share the limits a box is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxNumber {
    /// Its number among them, from 0.
    pub number: u32,
    /// How many there may be.
    pub of: u32,
}

/// What a box goes by when it asks whether it may send.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sender {
    /// The cluster's time.
    pub now: EpochTime,
    /// Which box it is; none while it doesn't know, and then it sends nothing to an endpoint with a limit.
    pub number: Option<BoxNumber>,
}

/// Admits a box's requests to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    /// Number of the endpoint, the same at every box.
    key: u64,
    limit: Option<AdvertisedLimit>,
    /// Interval of the latest request, and how many were sent in it.
    sent: (u64, u32),
}

impl Gate {
    /// A gate to an endpoint that has named nothing.
    pub fn new(key: u64) -> Self {
        Self { key, ..Self::default() }
    }

    /// Puts in force what the endpoint named.
    pub fn set_limit(&mut self, limit: AdvertisedLimit) {
        self.limit = Some(limit);
    }

    /// What the endpoint named last.
    pub fn limit(&self) -> Option<&AdvertisedLimit> {
        self.limit.as_ref()
    }

    /// Whether there is a limit now.
    pub fn is_limited(&self, now: EpochTime) -> bool {
        self.limit_at(now).is_some()
    }

    /// Whether a request may be sent.
    pub fn is_open(&self, sender: Sender) -> bool {
        let Some((interval, rate)) = self.limit_at(sender.now) else { return true };
        let Some(number) = sender.number else { return false };
        let (sent_in, sent) = self.sent;
        let sent = if sent_in == interval { sent } else { 0 };
        sent < self.share(interval, rate, number)
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, sender: Sender) {
        let interval = self.interval(sender.now);
        let (sent_in, sent) = self.sent;
        self.sent = (interval, if sent_in == interval { sent + 1 } else { 1 });
    }

    /// The interval of a time. Those of different endpoints begin at different times, so that boxes don't turn to all
    /// of them at once.
    fn interval(&self, now: EpochTime) -> u64 {
        let offset = self.key % INTERVAL.as_nanos() as u64;
        ((now.as_nanos() + u128::from(offset)) / INTERVAL.as_nanos()) as u64
    }

    /// The interval of a time, and the requests a second from all boxes together in it; none if there is no limit. Most
    /// endpoints have none, and every choice among endpoints asks, so nothing is worked out for these.
    fn limit_at(&self, now: EpochTime) -> Option<(u64, f64)> {
        let limit = self.limit?;
        let rate = limit.rate.per_second().max(RATE_LEAST);
        let interval = self.interval(now);
        if !limit.lifted {
            return Some((interval, rate));
        }
        let since = interval.saturating_sub(self.interval(limit.seen_at));
        let is_lifted = INTERVAL.as_secs_f64() * since as f64 >= LIFTED_OVER.as_secs_f64();
        (!is_lifted).then(|| (interval, rate * (since as f64).exp2()))
    }

    /// Requests of an interval that belong to a box. They are dealt out one by one, from a box on that differs from
    /// interval to interval.
    fn share(&self, interval: u64, rate: f64, BoxNumber { number, of }: BoxNumber) -> u32 {
        let all = self.requests_in(interval, rate);
        let boxes = u64::from(of.max(1));
        let first = mixed(self.key ^ interval.wrapping_mul(GOLDEN)) % boxes;
        let before = (u64::from(number) % boxes + boxes - first) % boxes;
        all.saturating_sub(before).div_ceil(boxes).min(u32::MAX.into()) as u32
    }

    /// Requests of an interval for all boxes: what the limit gives, where a fraction becomes a whole one in as many
    /// intervals as it says, the same at every box.
    fn requests_in(&self, interval: u64, rate: f64) -> u64 {
        let phase = self.key.wrapping_add(interval.wrapping_mul(GOLDEN)) as f64 / u64::MAX as f64;
        (rate * INTERVAL.as_secs_f64() + phase) as u64
    }
}

/// Mixes the bits of a number, so that similar numbers become unlike ones (the finalizer of Steele, Lea and Flood,
/// "Fast Splittable Pseudorandom Number Generators", 2014).
fn mixed(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

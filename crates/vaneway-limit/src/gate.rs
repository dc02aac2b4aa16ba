//! What one box may send to an endpoint that has named a limit.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Named;
use crate::Time;

/// Length of a slot: a box with a few requests a second has one for most slots that are its own, and what operators count
/// over seconds can't hold much more than the slots within.
pub const SLOT: Duration = Duration::from_secs(1);

/// Fewest requests a second that an endpoint gets. Only an answer says that a limit has ended, so one that takes
/// next to nothing must still be asked now and then.
const RATE_LEAST: f64 = 0.1;

/// How long a limit that has ended is lifted step by step, to twice as much in each slot. What all boxes kept away must
/// not come at once.
const LIFTED_OVER: Duration = Duration::from_secs(5);

/// Part of a slot's length by which the fractions of requests of two slots in a row differ: the golden ratio's, which
/// spreads the slots that have one more as evenly as can be.
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// Which of the boxes that share all limits a box is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its number among them, from 0.
    pub number: u32,
    /// How many there may be.
    pub of: u32,
}

/// What a box goes by when it asks whether it may send.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Turn {
    /// The cluster's time.
    pub now: Time,
    /// Which box it is; none while it doesn't know, and then it sends nothing to an endpoint with a limit.
    pub place: Option<Place>,
}

/// Admits a box's requests to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    /// Number of the endpoint, the same at every box.
    key: u64,
    named: Option<Named>,
    /// Slot of the latest request, and how many were sent in it.
    sent: (u64, u32),
}

impl Gate {
    /// A gate to an endpoint that has named nothing.
    pub fn new(key: u64) -> Self {
        Self { key, ..Self::default() }
    }

    /// Puts in force what the endpoint named.
    pub fn put(&mut self, named: Named) {
        self.named = Some(named);
    }

    /// What the endpoint named last.
    pub fn named(&self) -> Option<&Named> {
        self.named.as_ref()
    }

    /// Whether there is a limit now.
    pub fn is_limited(&self, now: Time) -> bool {
        self.rate_in(self.slot(now)).is_some()
    }

    /// Whether a request may be sent.
    pub fn is_open(&self, turn: Turn) -> bool {
        let slot = self.slot(turn.now);
        let Some(rate) = self.rate_in(slot) else { return true };
        let Some(place) = turn.place else { return false };
        let (sent_in, sent) = self.sent;
        let sent = if sent_in == slot { sent } else { 0 };
        sent < self.share(slot, rate, place)
    }

    /// Counts a request that is sent.
    pub fn count(&mut self, turn: Turn) {
        let slot = self.slot(turn.now);
        let (sent_in, sent) = self.sent;
        self.sent = (slot, if sent_in == slot { sent + 1 } else { 1 });
    }

    /// The slot of a time. Slots of different endpoints begin at different times, so that boxes don't turn to all of
    /// them at once.
    fn slot(&self, now: Time) -> u64 {
        let offset = self.key % SLOT.as_nanos() as u64;
        ((now.as_nanos() + u128::from(offset)) / SLOT.as_nanos()) as u64
    }

    /// Requests a second from all boxes together in a slot; none if there is no limit.
    fn rate_in(&self, slot: u64) -> Option<f64> {
        let named = self.named?;
        let rate = named.rate.per_second().max(RATE_LEAST);
        if !named.ended {
            return Some(rate);
        }
        let since = slot.saturating_sub(self.slot(named.at));
        let is_lifted = SLOT.as_secs_f64() * since as f64 >= LIFTED_OVER.as_secs_f64();
        (!is_lifted).then(|| rate * (since as f64).exp2())
    }

    /// Requests of a slot that belong to a box.
    fn share(&self, slot: u64, rate: f64, place: Place) -> u32 {
        let all = self.requests_in(slot, rate);
        let boxes = u64::from(place.of.max(1));
        let first = mixed(self.key ^ slot.wrapping_mul(GOLDEN)) % boxes;
        let number = (u64::from(place.number) % boxes + boxes - first) % boxes;
        (all.saturating_sub(number).div_ceil(boxes)).min(u32::MAX.into()) as u32
    }

    /// Requests of a slot that belong to all boxes: as many as the limit gives, where a fraction becomes one in as many slots as
    /// it says, the same at every box.
    fn requests_in(&self, slot: u64, rate: f64) -> u64 {
        let phase = self.key.wrapping_add(slot.wrapping_mul(GOLDEN)) as f64 / u64::MAX as f64;
        (rate * SLOT.as_secs_f64() + phase) as u64
    }
}

/// Mixes the bits of a number, so that those of similar numbers have nothing in common.
fn mixed(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

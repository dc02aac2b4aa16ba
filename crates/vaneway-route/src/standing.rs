//! The probability with which a request is admitted in a shortage, by its rank and organisation.
//!
//! Why: without an order, all requests are admitted with the same probability, the ratio of room to
//! demand. With it, an organisation's share of the room ([`FairShares`]) goes to its most urgent
//! requests first. Room that these are expected to need before boxes receive each other's load is
//! kept for them.
//!
//! The sum of what is admitted is the same as without an order, so that the room is used in full.
//! Of each rank at least [`MIN_RANK_SHARE`] of the share is served, whatever the others demand.

use crate::fair_share::FairShares;
use crate::fair_share::RATIOS;
use crate::fair_share::ServedFractions;
use crate::fair_share::served_alike;

/// Fraction of its organisation's share that each rank gets at least, in proportion to its demand.
///
/// A kind of request that is served less than a quarter as often as all counts as starved. A third
/// leaves a margin for errors of the estimated demand.
pub const MIN_RANK_SHARE: f64 = 1.0 / 3.0;

/// Fractions of the demand of one organisation, or of all, that a request competes with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankDemand {
    /// Fraction of the more urgent requests.
    pub more_urgent: f64,
    /// Fraction of requests of the same rank.
    pub same: f64,
}

impl RankDemand {
    /// All requests are of the same rank.
    pub const EQUAL: Self = Self { more_urgent: 0.0, same: 1.0 };

    /// Probability of admitting a request if `served` of all demand is served.
    fn admission(self, served: f64) -> f64 {
        let floor = served * MIN_RANK_SHARE;
        if self.same <= 0.0 || floor >= 1.0 {
            return served;
        }
        let in_order = (served - floor) / (1.0 - floor) - self.more_urgent;
        floor + (1.0 - floor) * (in_order / self.same).clamp(0.0, 1.0)
    }
}

/// How a request stands among those that compete with it for the same room: the probability of
/// admitting it, by the ratio of room to demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Fraction of its organisation's demand that is served, at each ratio.
    shares: ServedFractions,
    ranks: RankDemand,
}

impl Standing {
    /// The standing of a request among `ranks`, by the share of its organisation if shares are in use.
    pub fn new(ranks: RankDemand, organisation: &str, shares: Option<&FairShares>) -> Self {
        let shares = shares.map_or_else(served_alike, |shares| shares.served(organisation));
        Self { shares, ranks }
    }

    /// Fraction of the organisation's demand that is served at a ratio of room to demand.
    pub fn share(&self, room_ratio: f64) -> f64 {
        let position = room_ratio.clamp(0.0, 1.0) * (RATIOS - 1) as f64;
        let below = (position as usize).min(RATIOS - 2);
        let [low, high] = [below, below + 1].map(|i| f64::from(self.shares[i]));
        (high - low).mul_add(position - below as f64, low)
    }

    /// Probability of admitting the request at a ratio of room to demand.
    pub fn admission(&self, room_ratio: f64) -> f64 {
        self.ranks.admission(self.share(room_ratio))
    }

    /// The fractions of demand that it competes with.
    pub fn ranks(&self) -> RankDemand {
        self.ranks
    }
}

//! Weighted max-min shares of organisations in a shortage, by water-filling.
//!
//! Why: in a shortage, requests compete by number. An organisation that sends six times its usual
//! would get six times its usual part of the room, at the expense of all others. With max-min
//! shares, each organisation gets what it demands up to a level that is the same for all in
//! proportion to their weights. What one leaves is used by the others, and a lone organisation gets
//! all.
//!
//! Data flow: the demands are those that boxes report for quotas ([`Claim`]). [`FairShares`] computes
//! the level for several ratios of room to demand in advance, because the room is only known when an
//! endpoint is chosen.

use std::collections::BTreeMap;

/// Number of ratios of room to demand, from 0 to 1 in equal steps, for which shares and admissions
/// are computed; between them they are interpolated.
pub(crate) const RATIOS: usize = 9;

/// The served fraction of an organisation's demand at each ratio of room to demand; in single
/// precision, because it is passed along with each request.
pub(crate) type ServedFractions = [f32; RATIOS];

/// The served fractions if all organisations are served alike.
pub(crate) fn served_alike() -> ServedFractions {
    std::array::from_fn(|i| ratio(i) as f32)
}

/// The ratio of room to demand with index `i`.
fn ratio(i: usize) -> f64 {
    i as f64 / (RATIOS - 1) as f64
}

/// What an organisation demands, and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Demand over all boxes, in any unit that is the same for all claims.
    pub demand: f64,
    /// Weight of the organisation; more than 0.
    pub weight: f64,
}

impl Claim {
    /// Demand by weight: who is to be served in full first.
    fn pressure(self) -> f64 {
        self.demand / self.weight
    }

    fn competes(self) -> bool {
        self.demand > 0.0 && self.weight > 0.0 && self.pressure().is_finite()
    }
}

/// The shares of organisations that compete for the same room.
#[derive(Debug, Clone, PartialEq)]
pub struct FairShares {
    claims: BTreeMap<String, Claim>,
    /// Water levels, which are served demand by weight, at each ratio of room to demand.
    levels: [f64; RATIOS],
}

impl FairShares {
    /// Computes the shares of claims by organisation.
    pub fn new(claims: BTreeMap<String, Claim>) -> Self {
        let competing = claims.values().copied().filter(|claim| claim.competes());
        let mut sorted: Vec<Claim> = competing.collect();
        sorted.sort_by(|a, b| a.pressure().total_cmp(&b.pressure()));
        let demand: f64 = sorted.iter().map(|claim| claim.demand).sum();
        let levels = std::array::from_fn(|i| level(&sorted, ratio(i) * demand));
        Self { claims, levels }
    }

    /// Whether several organisations compete.
    pub(crate) fn is_contended(&self) -> bool {
        self.claims.values().filter(|claim| claim.competes()).nth(1).is_some()
    }

    /// The served fraction of an organisation's demand at each ratio of room to demand. Without
    /// demand so far it is served in full; without a claim it gets what all would get without shares.
    pub(crate) fn served(&self, organisation: &str) -> ServedFractions {
        let Some(claim) = self.claims.get(organisation) else { return served_alike() };
        if claim.demand <= 0.0 {
            return [1.0; RATIOS];
        }
        if !claim.competes() {
            return served_alike();
        }
        self.levels.map(|level| (level / claim.pressure()).min(1.0) as f32)
    }
}

/// The level at which claims, sorted by pressure, get `room` together.
fn level(claims: &[Claim], room: f64) -> f64 {
    let mut left = room;
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        let level = left / weight;
        if claim.pressure() > level {
            return level;
        }
        left = (left - claim.demand).max(0.0);
        weight -= claim.weight;
    }
    claims.last().map_or(0.0, |claim| claim.pressure())
}

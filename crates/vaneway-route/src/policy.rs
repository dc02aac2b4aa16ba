//! Policies for the choice among endpoints that can accept a request.
//!
//! The simple policies remain available as baselines for measurements.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Instant;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::Endpoint;
use crate::EndpointId;
use crate::PartId;
use crate::Query;
use crate::expected;
use crate::expected::Distance;
use crate::zones::Zones;

/// How an endpoint is chosen among the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Any of them.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest outstanding tokens.
    LeastOutstanding,
    /// The less loaded of two random ones (Mitzenmacher, "The Power of Two Choices in
    /// Randomized Load Balancing", 2001).
    #[default]
    TwoChoices,
    /// Always the same one for the same prefix (rendezvous hashing; Thaler and Ravishankar,
    /// 1998).
    PrefixHash,
    /// The one that is expected to complete first, based on its open work, the prompt parts that it
    /// has cached, its availability zone and its recent failures.
    ExpectedWork,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the part.
    pub id: PartId,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// The cost of a request to an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Tokens of the prompt; 0 for a request to a plain service.
    pub prompt_tokens: u32,
    /// Maximum tokens to generate.
    pub max_tokens: u32,
    /// The prompt's parts in order; the last one is unique to the request.
    pub parts: Vec<PromptPart>,
}

impl Work {
    /// The parts that other requests may share.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::TwoChoices,
        Self::PrefixHash,
        Self::ExpectedWork,
    ];

    /// The policy's name in settings and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastOutstanding => "least_outstanding",
            Self::TwoChoices => "two_choices",
            Self::PrefixHash => "prefix_hash",
            Self::ExpectedWork => "expected_work",
        }
    }

    /// Finds a policy by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}

/// A policy with the state that it keeps between choices.
#[derive(Debug)]
pub(crate) struct Chooser {
    policy: Policy,
    rng: Pcg64Mcg,
    /// Number of choices made, for [`Policy::RoundRobin`].
    turn: usize,
    /// Decides whether requests leave the availability zone; none if the policy does.
    pub(crate) zones: Option<Zones>,
}

impl Chooser {
    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    pub(crate) fn new(policy: Policy, rng: Pcg64Mcg) -> Self {
        Self { policy, rng, turn: 0, zones: None }
    }

    /// Picks one of `candidates`; none if there are none.
    pub(crate) fn pick(
        &mut self,
        endpoints: &[Endpoint],
        candidates: &[EndpointId],
        now: Instant,
        query: &Query<'_>,
    ) -> Option<EndpointId> {
        if let Some(hash) = query.isolation_hash {
            return expected::pick_isolated(endpoints, candidates, now, hash);
        }
        let prefix = query.prefix;
        let load = |id: &EndpointId| {
            let endpoint = &endpoints[*id as usize];
            (endpoint.open_tokens, endpoint.open, *id)
        };
        match self.policy {
            Policy::Random => self.random(candidates),
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                (!candidates.is_empty()).then(|| candidates[self.turn % candidates.len()])
            }
            Policy::LeastOutstanding => candidates.iter().copied().min_by_key(load),
            Policy::TwoChoices => {
                let first = self.random(candidates)?;
                let second = self.random(candidates)?;
                [first, second].into_iter().min_by_key(load)
            }
            Policy::PrefixHash => candidates
                .iter()
                .copied()
                .max_by_key(|id| rendezvous_weight(prefix, &endpoints[*id as usize])),
            Policy::ExpectedWork => {
                let cost = |endpoint: &Endpoint| match &self.zones {
                    Some(zones) => zones.distance(endpoint, query),
                    None => expected::fixed_distance(endpoint, query),
                };
                let is_zone_chosen = self.zones.as_ref().is_some_and(Zones::has_decided);
                let distance = Distance { cost, is_zone_chosen };
                expected::pick(endpoints, candidates, now, query, &distance, &mut self.rng)
            }
        }
    }

    /// Whether the zone of a request is decided by [`Zones`].
    pub(crate) fn begin_zone(
        &mut self,
        endpoints: &[Endpoint],
        now: Instant,
        query: &Query<'_>,
    ) -> bool {
        self.zones.as_mut().is_some_and(|zones| zones.begin(endpoints, now, query))
    }

    /// See [`Zones::limit_stay`]; nothing without rooms.
    pub(crate) fn limit_stay(
        &mut self,
        endpoints: &[Endpoint],
        rooms: &[(EndpointId, f64)],
        query: &Query<'_>,
    ) {
        let Some((zones, limit)) = self.zones.as_mut().zip(query.queue_limit) else { return };
        if !rooms.is_empty() {
            zones.limit_stay(endpoints, rooms, query, limit);
        }
    }

    /// See [`Zones::redraw`]; the endpoint that was drawn without rooms.
    pub(crate) fn redraw(
        &mut self,
        endpoints: &[Endpoint],
        rooms: &[(EndpointId, f64)],
        drawn: EndpointId,
        now: Instant,
        query: &Query<'_>,
    ) -> EndpointId {
        if rooms.is_empty() {
            return drawn;
        }
        let random = [self.random_fraction(), self.random_fraction()];
        let zones = self.zones.as_mut();
        zones.map_or(drawn, |zones| zones.redraw(endpoints, rooms, drawn, now, query, random))
    }

    /// See [`Zones::narrow`]; prompt parts count where the policy compares them.
    pub(crate) fn narrow(
        &mut self,
        endpoints: &[Endpoint],
        candidates: &mut Vec<EndpointId>,
        now: Instant,
        query: &Query<'_>,
    ) {
        let random = self.random_fraction();
        let keep_parts = self.policy == Policy::ExpectedWork;
        if let Some(zones) = &mut self.zones {
            zones.narrow(endpoints, candidates, now, query, keep_parts, random);
        }
    }

    /// See [`Zones::settle`].
    pub(crate) fn settle_zone(&mut self, chosen: &Endpoint, query: &Query<'_>) {
        if let Some(zones) = &mut self.zones {
            zones.settle(chosen, query);
        }
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    fn random(&mut self, candidates: &[EndpointId]) -> Option<EndpointId> {
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }
}

/// Rendezvous weight of an endpoint for `prefix`, the same at every box: the endpoint with the
/// highest weight is preferred.
pub(crate) fn rendezvous_weight(prefix: u64, endpoint: &Endpoint) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, endpoint.key).hash(&mut hasher);
    hasher.finish()
}

//! Chooses the endpoint with the lowest expected cost of a request.
//!
//! All costs are in prompt tokens, as a unit of an engine's time. The cost of an endpoint is the
//! sum of
//!
//! - the outstanding tokens there, of this box and the others;
//! - a small cost for each open request, because it makes every step of a batch longer;
//! - the request's own prompt, less the parts that the endpoint has probably cached;
//! - the way to another availability zone;
//! - its recent failures;
//! - a penalty if its responses have stopped arriving.
//!
//! A prompt part that a request of any box has recently used there counts as cached; boxes send
//! each other updates of these parts. Any other part is assumed to be cached at the endpoint with
//! the highest rendezvous weight, because every entry box prefers that endpoint for the part. Boxes
//! thus place prompts alike before they receive each other's updates. If that endpoint's
//! outstanding tokens exceed the cost of the part, the request goes elsewhere, and the part is then
//! cached there too: parts in high demand spread over more endpoints.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::Endpoint;
use crate::EndpointId;
use crate::Load;
use crate::PartId;
use crate::Query;
use crate::Work;
use crate::policy::rendezvous_weight;
use crate::silence::UnresponsiveZones;

/// Cost of each open request, in tokens.
const REQUEST_COST_TOKENS: f64 = 150.0;

/// Cost of an endpoint in another availability zone, in tokens.
const CROSS_ZONE_COST_TOKENS: f64 = 100.0;

/// Cost of one recent failure, in tokens.
const FAILURE_COST_TOKENS: f64 = 4_000.0;

/// Cost of an unresponsive endpoint, in tokens: more than any queue that is worth waiting in.
const UNRESPONSIVE_COST_TOKENS: f64 = 40_000.0;

/// Age up to which a prompt part counts as cached: in this time, an endpoint under load processes
/// more tokens than its memory holds.
pub const CACHED_PART_MAX_AGE: Duration = Duration::from_secs(20);

/// Assumed probability that the endpoint with the highest rendezvous weight has cached a part that
/// no known request has used there.
const PLACED_PROBABILITY: f64 = 0.8;

/// Age up to which the load from the other boxes counts as known.
const OTHERS_LOAD_MAX_AGE: Duration = Duration::from_secs(2);

/// Number of endpoints sampled at random for one choice, once in the home availability zone and
/// once in all zones.
///
/// Load updates between boxes are outdated when they arrive. If each box chose the least loaded of
/// all endpoints, all would send to the same few until the next updates (Mitzenmacher, "How Useful
/// Is Old Information?", 2000): the best of a small random sample is better.
const SAMPLE_SIZE: usize = 3;

/// The way to endpoints in other availability zones, for [`pick`].
pub(crate) struct Distance<F> {
    /// Cost of the way to an endpoint, in tokens.
    pub(crate) cost: F,
    /// Whether the candidates are those of one zone already, so that the home zone needs no sample of
    /// its own.
    pub(crate) is_zone_chosen: bool,
}

/// Picks the candidate with the lowest expected cost among those that have probably cached parts of
/// the prompt and a random sample.
pub(crate) fn pick(
    endpoints: &[Endpoint],
    candidates: &[EndpointId],
    now: Instant,
    query: &Query<'_>,
    distance: &Distance<impl Fn(&Endpoint) -> f64>,
    rng: &mut Pcg64Mcg,
) -> Option<EndpointId> {
    let shared = query.work.map_or(&[][..], Work::shared);
    let weight = |part: PartId, id: EndpointId| rendezvous_weight(part, &endpoints[id as usize]);
    let place = |part: PartId| candidates.iter().copied().max_by_key(|id| weight(part, *id));
    let placed: Vec<Option<EndpointId>> = shared.iter().map(|part| place(part.id)).collect();
    let unresponsive_zones = UnresponsiveZones::of(endpoints, now);
    let cost = |id: EndpointId| {
        let endpoint = &endpoints[id as usize];
        let prompt = query.work.map_or(0.0, |work| f64::from(work.prompt_tokens));
        let mut cached = 0.0;
        for (part, place) in shared.iter().zip(&placed) {
            let probability = match (is_cached(endpoint, part.id, now), *place == Some(id)) {
                (true, _) => 1.0,
                (false, true) => PLACED_PROBABILITY,
                (false, false) => 0.0,
            };
            cached += probability * f64::from(part.tokens);
        }
        let own = (prompt - cached).max(0.0);
        let trouble = trouble(endpoint, now, &unresponsive_zones);
        open_work(endpoint, now) + own + (distance.cost)(endpoint) + trouble
    };
    let at_home = |id: &&EndpointId| endpoints[**id as usize].spec.availability_zone == query.home;
    let is_zone_chosen = distance.is_zone_chosen;
    let home = candidates.iter().filter(|id| !is_zone_chosen && at_home(id)).copied();
    let home: Vec<EndpointId> = home.collect();
    let mut sampled: Vec<EndpointId> = Vec::with_capacity(2 * SAMPLE_SIZE);
    for from in [&*home, candidates] {
        let sample = |_| from[rng.random_range(0..from.len())];
        sampled.extend((0..SAMPLE_SIZE.min(from.len())).map(sample));
    }
    let last_shared = shared.last().map(|part| part.id);
    let has_cached = |id: EndpointId| {
        let cached = |part| is_cached(&endpoints[id as usize], part, now);
        placed.contains(&Some(id)) || last_shared.is_some_and(cached)
    };
    let few = candidates.len() <= 2 * SAMPLE_SIZE;
    let considered = candidates.iter().filter(|id| few || sampled.contains(id) || has_cached(**id));
    // Equal costs are ordered at random: without loads most are equal, and the first endpoints
    // would get far more than their share.
    let mut tie_break = || if is_zone_chosen { rng.random_range(0.0..1.0) } else { 0.0 };
    let costs = considered.map(|id| (*id, cost(*id) + tie_break()));
    costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(id, _)| id)
}

/// Cost of the network delay to an endpoint, in tokens, where the settings state no cost of leaving
/// the availability zone.
pub(crate) fn fixed_distance(endpoint: &Endpoint, query: &Query<'_>) -> f64 {
    if endpoint.spec.availability_zone == query.home { 0.0 } else { CROSS_ZONE_COST_TOKENS }
}

/// Cost of an endpoint's recent failures, or of stopped responses, in tokens.
pub(crate) fn trouble(endpoint: &Endpoint, now: Instant, zones: &UnresponsiveZones<'_>) -> f64 {
    let unresponsive = if zones.covers(endpoint, now) { UNRESPONSIVE_COST_TOKENS } else { 0.0 };
    endpoint.recent_failures.value(now) * FAILURE_COST_TOKENS + unresponsive
}

/// The candidates that have probably cached a part of a prompt.
pub(crate) fn with_parts(
    endpoints: &[Endpoint],
    candidates: &[EndpointId],
    now: Instant,
    query: &Query<'_>,
) -> Vec<EndpointId> {
    let shared = query.work.map_or(&[][..], Work::shared);
    let weight = |part: PartId, id: EndpointId| rendezvous_weight(part, &endpoints[id as usize]);
    let place = |part: PartId| candidates.iter().copied().max_by_key(|id| weight(part, *id));
    let mut ids: Vec<EndpointId> = shared.iter().filter_map(|part| place(part.id)).collect();
    if let Some(last) = shared.last() {
        let cached = |id: &&EndpointId| is_cached(&endpoints[**id as usize], last.id, now);
        ids.extend(candidates.iter().filter(cached));
    }
    ids
}

/// Work of a request that it shares with no other, in tokens.
pub(crate) fn request_work(work: Option<&Work>) -> f64 {
    let own = work.and_then(|work| work.parts.last()).map_or(0, |part| part.tokens);
    REQUEST_COST_TOKENS + f64::from(own)
}

/// Number of endpoints among which an isolated request goes to the one with the least open work.
const ISOLATION_CANDIDATES: usize = 3;

/// Picks a candidate for a request that is isolated from others: the one with the least open work
/// among the few with the highest rendezvous weight for `hash`.
pub(crate) fn pick_isolated(
    endpoints: &[Endpoint],
    candidates: &[EndpointId],
    now: Instant,
    hash: u64,
) -> Option<EndpointId> {
    let weight = |id: &EndpointId| rendezvous_weight(hash, &endpoints[*id as usize]);
    let mut ordered = candidates.to_vec();
    ordered.sort_by_key(|id| std::cmp::Reverse(weight(id)));
    let open = |id: &EndpointId| open_work(&endpoints[*id as usize], now);
    let few = ordered.into_iter().take(ISOLATION_CANDIDATES);
    few.min_by(|a, b| open(a).total_cmp(&open(b)))
}

/// Returns the tokens of a prompt that the endpoint has not cached.
pub(crate) fn uncached_tokens(endpoint: &Endpoint, work: &Work, now: Instant) -> u64 {
    let cached = work.shared().iter().filter(|part| is_cached(endpoint, part.id, now));
    let cached: u32 = cached.map(|part| part.tokens).sum();
    u64::from(work.prompt_tokens.saturating_sub(cached))
}

/// Whether a request used a part at an endpoint so recently that it counts as cached there.
fn is_cached(endpoint: &Endpoint, part: PartId, now: Instant) -> bool {
    endpoint.cached_parts.get(&part).is_some_and(|at| now < *at + CACHED_PART_MAX_AGE)
}

/// Outstanding tokens of all boxes at an endpoint.
pub(crate) fn outstanding_tokens(endpoint: &Endpoint, now: Instant) -> u64 {
    endpoint.open_tokens + others_load(endpoint, now).tokens
}

/// Whether the load of the other boxes at an endpoint is known well enough.
pub(crate) fn is_others_load_known(endpoint: &Endpoint, now: Instant) -> bool {
    endpoint.others_load_at.is_some_and(|at| now < at + OTHERS_LOAD_MAX_AGE)
}

/// Load of the other boxes at an endpoint; zero if it is not known well enough.
fn others_load(endpoint: &Endpoint, now: Instant) -> Load {
    if is_others_load_known(endpoint, now) { endpoint.others_load } else { Load::default() }
}

/// Cost of the open requests and outstanding tokens of all boxes at an endpoint, in tokens.
pub(crate) fn open_work(endpoint: &Endpoint, now: Instant) -> f64 {
    let others = others_load(endpoint, now);
    let requests = f64::from(endpoint.open + others.requests);
    requests * REQUEST_COST_TOKENS + endpoint.open_tokens as f64 + others.tokens as f64
}

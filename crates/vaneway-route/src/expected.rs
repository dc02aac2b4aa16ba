//! Choosing by the work that is expected before a request is done.
//!
//! Everything is counted in tokens of a prompt, the unit of an engine's time. An endpoint's cost
//! is the sum of
//!
//! - the work open there that has not begun, of this box and the others;
//! - a little for each open request, which makes every step of a batch longer;
//! - the request's own prompt, less the parts that the endpoint has probably kept;
//! - the way to another availability zone;
//! - its recent failures;
//! - whether its answers have stopped arriving.
//!
//! Parts that any box has brought there lately are taken as kept, as the boxes tell each other. Of
//! others the endpoint with the highest rendezvous weight is taken to have them, since every entry box,
//! asked for the same part, turns there first; so boxes place prompts alike before they have heard of each
//! other. When that endpoint has more work open than the part costs, the request goes elsewhere, where
//! the part is then known too: a part in demand spreads by itself.

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
use crate::silence::SilentZones;

/// What each open request adds.
const REQUEST_TOKENS: f64 = 150.0;

/// What the way to another availability zone costs.
const DISTANCE_TOKENS: f64 = 100.0;

/// What one recent failure costs.
const FAILURE_TOKENS: f64 = 4_000.0;

/// What an endpoint costs that seems to be out of reach: more than any queue that is worth waiting
/// in.
const SILENCE_TOKENS: f64 = 40_000.0;

/// Time after which a part is no longer taken as kept: in it an endpoint under load reads more than
/// its memory holds.
pub const CACHED_PART_MAX_AGE: Duration = Duration::from_secs(20);

/// How sure it is that the endpoint with the highest weight has a part that no box is known to have brought
/// there.
const PLACED_BELIEF: f64 = 0.8;

/// Age after which the others' load counts as unknown.
const OTHERS_KNOWN: Duration = Duration::from_secs(2);

/// Endpoints that are drawn at random for one choice, once in the home availability zone and once in all.
///
/// What boxes tell each other of their load is old when it arrives, so if each took the least loaded of
/// all, they would all turn to the same few until they hear of each other again (Mitzenmacher, "How
/// Useful Is Old Information?", 2000): the best of a few drawn at random is better.
const DRAWN: usize = 3;

/// Picks the candidate with the least expected work among those that probably keep parts of the prompt
/// and some that are drawn at random.
pub(crate) fn pick(
    endpoints: &[Endpoint],
    candidates: &[EndpointId],
    now: Instant,
    query: &Query<'_>,
    rng: &mut Pcg64Mcg,
) -> Option<EndpointId> {
    let shared = query.work.map_or(&[][..], Work::shared);
    let weight = |part: PartId, id: EndpointId| rendezvous_weight(part, &endpoints[id as usize]);
    let place = |part: PartId| candidates.iter().copied().max_by_key(|id| weight(part, *id));
    let placed: Vec<Option<EndpointId>> = shared.iter().map(|part| place(part.id)).collect();
    let silent_zones = SilentZones::of(endpoints, now);
    let cost = |id: EndpointId| {
        let endpoint = &endpoints[id as usize];
        let prompt = query.work.map_or(0.0, |work| f64::from(work.prompt_tokens));
        let mut kept = 0.0;
        for (part, place) in shared.iter().zip(&placed) {
            let belief = match (is_kept(endpoint, part.id, now), *place == Some(id)) {
                (true, _) => 1.0,
                (false, true) => PLACED_BELIEF,
                (false, false) => 0.0,
            };
            kept += belief * f64::from(part.tokens);
        }
        let distance =
            if endpoint.spec.availability_zone == query.home { 0.0 } else { DISTANCE_TOKENS };
        let failures = endpoint.recent_failures.value(now) * FAILURE_TOKENS;
        let silence = if silent_zones.covers(endpoint, now) { SILENCE_TOKENS } else { 0.0 };
        open_work(endpoint, now) + (prompt - kept).max(0.0) + distance + failures + silence
    };
    let at_home = |id: &&EndpointId| endpoints[**id as usize].spec.availability_zone == query.home;
    let home: Vec<EndpointId> = candidates.iter().filter(at_home).copied().collect();
    let mut drawn: Vec<EndpointId> = Vec::with_capacity(2 * DRAWN);
    for from in [&*home, candidates] {
        let draw = |_| from[rng.random_range(0..from.len())];
        drawn.extend((0..DRAWN.min(from.len())).map(draw));
    }
    let last_shared = shared.last().map(|part| part.id);
    let keeps = |id: EndpointId| {
        let kept = |part| is_kept(&endpoints[id as usize], part, now);
        placed.contains(&Some(id)) || last_shared.is_some_and(kept)
    };
    let few = candidates.len() <= 2 * DRAWN;
    let considered = candidates.iter().filter(|id| few || drawn.contains(id) || keeps(**id));
    let costs = considered.map(|id| (*id, cost(*id)));
    costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(id, _)| id)
}

/// Endpoints among which a request that is placed apart goes to the one with the least work open.
const APART_AMONG: usize = 3;

/// Picks a candidate for a request that is placed apart from others: of the few with the highest rendezvous weight
/// for `hash` the one with the least work open.
pub(crate) fn pick_apart(
    endpoints: &[Endpoint],
    candidates: &[EndpointId],
    now: Instant,
    hash: u64,
) -> Option<EndpointId> {
    let weight = |id: &EndpointId| rendezvous_weight(hash, &endpoints[*id as usize]);
    let mut ordered = candidates.to_vec();
    ordered.sort_by_key(|id| std::cmp::Reverse(weight(id)));
    let open = |id: &EndpointId| open_work(&endpoints[*id as usize], now);
    let few = ordered.into_iter().take(APART_AMONG);
    few.min_by(|a, b| open(a).total_cmp(&open(b)))
}

/// Tokens of a prompt that an endpoint has yet to read.
pub(crate) fn unread(endpoint: &Endpoint, work: &Work, now: Instant) -> u64 {
    let kept = work.shared().iter().filter(|part| is_kept(endpoint, part.id, now));
    let kept: u32 = kept.map(|part| part.tokens).sum();
    u64::from(work.prompt_tokens.saturating_sub(kept))
}

/// Whether a part was brought to an endpoint so lately that it is taken as kept.
fn is_kept(endpoint: &Endpoint, part: PartId, now: Instant) -> bool {
    endpoint.cached_parts.get(&part).is_some_and(|at| now < *at + CACHED_PART_MAX_AGE)
}

/// Tokens that have yet to be read at an endpoint, of all boxes.
pub(crate) fn tokens_ahead(endpoint: &Endpoint, now: Instant) -> u64 {
    endpoint.open_tokens + others(endpoint, now).tokens
}

/// What the other boxes have open at an endpoint, as far as that is known.
fn others(endpoint: &Endpoint, now: Instant) -> Load {
    let known = endpoint.others_load_at.is_some_and(|told| now < told + OTHERS_KNOWN);
    if known { endpoint.others_load } else { Load::default() }
}

/// The work open at an endpoint.
fn open_work(endpoint: &Endpoint, now: Instant) -> f64 {
    let others = others(endpoint, now);
    let requests = f64::from(endpoint.open + others.requests);
    requests * REQUEST_TOKENS + endpoint.open_tokens as f64 + others.tokens as f64
}

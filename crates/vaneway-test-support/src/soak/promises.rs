//! The promises, held against what callers and endpoints saw.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::limits;
use crate::limits::COUNTING_WINDOW;
use crate::soak::callers::CallerRequest;
use crate::soak::callers::Kind;
use crate::soak::world::BackOff;
use crate::soak::world::LimitedEndpoint;
use crate::soak::world::World;

/// Statuses that say that the request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Endpoints that one request may reach, as the routes say.
const ATTEMPTS_MOST: u32 = 2;

/// Time after which an endpoint that said that it leaves gets nothing new, for entry boxes that were paused.
const MARK_WITHIN: Duration = Duration::from_secs(3);

/// Time after an endpoint asked for rest in which what was on its way may still arrive.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// Requests that operators allow from one entry box while an endpoint rests.
const IN_REST_MOST: usize = 2;

/// Longest time for which a proxy holds a request up.
const HELD_UP_MOST: Duration = Duration::from_millis(1_300);

/// What callers saw, and what the deployment knows.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// All requests.
    pub calls: &'a [CallerRequest],
    /// The deployment after its faults.
    pub world: &'a World,
}

/// Every broken promise, in words.
pub fn violations(evidence: &Evidence<'_>) -> Vec<String> {
    let world = evidence.world;
    let mut broken = Vec::new();
    for call in evidence.calls {
        let runs = world.runs(&call.id);
        let found = [
            whole_answer(call),
            runs_in_bounds(call, runs),
            refusal(call, runs),
            answered(call, world),
        ];
        broken.extend(
            found.into_iter().flatten().map(|what| format!("{} {:?}: {what}", call.id, call.kind)),
        );
    }
    broken.extend(marks(world));
    broken.extend(named_limits(evidence));
    broken.extend(rests(evidence));
    broken.extend(configuration(world));
    broken
}

/// Whoever gets success gets the whole answer to its own request.
fn whole_answer(call: &CallerRequest) -> Option<String> {
    let answer = call.answer.as_ref().filter(|answer| answer.status == 200)?;
    let body = String::from_utf8_lossy(&answer.body);
    (body != call.expected_body()).then(|| format!("success with another body: {body:?}"))
}

/// What may not be repeated runs once at most, and nothing reaches more endpoints than its route says.
fn runs_in_bounds(call: &CallerRequest, runs: u32) -> Option<String> {
    let most = if call.kind.may_repeat() { ATTEMPTS_MOST } else { 1 };
    (runs > most).then(|| format!("ran {runs} times"))
}

/// A refusal that says that the request did not run is true.
fn refusal(call: &CallerRequest, runs: u32) -> Option<String> {
    let status = call.answer.as_ref()?.status;
    (NOT_RUN.contains(&status) && runs > 0)
        .then(|| format!("refused with {status}, but ran {runs} times"))
}

/// An entry box that is not killed answers what it takes, also while it stops as planned.
fn answered(call: &CallerRequest, world: &World) -> Option<String> {
    let owed = matches!(call.kind, Kind::Repeatable | Kind::Once);
    if !owed || call.answer.is_some() {
        return None;
    }
    let up = world.was_up(call.entry, call.sent, call.ended);
    up.then(|| format!("no answer of entry box {}, which was up", call.entry))
}

/// Endpoints that said that they leave get nothing new after a while.
fn marks(world: &World) -> Vec<String> {
    let late = world.drained().filter_map(|(name, acknowledged, arrived)| {
        let after = arrived?.checked_duration_since(acknowledged)?;
        (after > MARK_WITHIN)
            .then(|| format!("{name} got a request {after:?} after it said that it leaves"))
    });
    late.collect()
}

/// The entry box that each request was sent to, by its id.
fn entry_of_each<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a str, usize> {
    evidence.calls.iter().map(|call| (call.id.as_str(), call.entry)).collect()
}

/// Endpoints that name limits get what operators allow, from entry boxes that nothing was done to of late.
fn named_limits(evidence: &Evidence<'_>) -> Vec<String> {
    let entry_of = entry_of_each(evidence);
    let over = evidence.world.limited().into_iter().filter_map(|limited| {
        let counts = |(at, id): &&(Instant, String)| {
            let entry = entry_of.get(id.as_str());
            let calm = |entry| !evidence.world.was_disturbed(entry, *at, limits::BINDING_DELAY);
            *at >= limited.since + limits::BINDING_DELAY && entry.is_some_and(|entry| calm(*entry))
        };
        let counted: Vec<Instant> =
            limited.arrivals.iter().filter(counts).map(|(at, _)| *at).collect();
        let most = limits::max_in_window(&counted);
        let LimitedEndpoint { name, rate, .. } = limited;
        (most as f64 > limits::max_allowed(rate)).then(|| {
            format!("{name} named {rate} requests a second and got {most} in {COUNTING_WINDOW:?}")
        })
    });
    over.collect()
}

/// Endpoints that ask an entry box for rest get what operators allow from it meanwhile, unless something was done to it since.
fn rests(evidence: &Evidence<'_>) -> Vec<String> {
    let entry_of = entry_of_each(evidence);
    let over = evidence.world.back_offs(HELD_UP_MOST).into_iter().filter_map(|rested| {
        let BackOff { name, from, rest, id, arrivals } = rested;
        let entry = *entry_of.get(id.as_str())?;
        if evidence.world.was_disturbed(entry, from + rest, rest + HELD_UP_MOST) {
            return None;
        }
        let of_entry = |(at, id): &&(Instant, String)| {
            *at > from + ON_ITS_WAY && entry_of.get(id.as_str()) == Some(&entry)
        };
        let got = arrivals.iter().filter(of_entry).count();
        (got > IN_REST_MOST).then(|| {
            format!("{name} asked entry box {entry} for {rest:?} of rest and got {got} requests")
        })
    });
    over.collect()
}

/// An acknowledged configuration is kept, none older takes its place, and it is what was sent.
fn configuration(world: &World) -> Option<String> {
    let (read, acknowledged) = (world.current_version(), world.acknowledged_version());
    if read < acknowledged {
        return Some(format!("configuration {acknowledged} was acknowledged, {read} is read"));
    }
    (!world.is_configuration_as_sent())
        .then(|| format!("configuration {read} is not as it was sent"))
}

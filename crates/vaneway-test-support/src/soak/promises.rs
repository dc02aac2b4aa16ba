//! The promises, held against what callers and endpoints saw.

use std::time::Duration;

use crate::soak::callers::Call;
use crate::soak::callers::Kind;
use crate::soak::world::World;

/// Statuses that say that the request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Endpoints that one request may reach, as the routes say.
const ATTEMPTS_MOST: u32 = 2;

/// Time after which an endpoint that said that it leaves gets nothing new, for entry boxes that were paused.
const MARK_WITHIN: Duration = Duration::from_secs(3);

/// What callers saw, and what the deployment knows.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// All requests.
    pub calls: &'a [Call],
    /// The deployment after its faults.
    pub world: &'a World,
}

/// Every broken promise, in words.
pub fn broken(evidence: &Evidence<'_>) -> Vec<String> {
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
    broken.extend(configuration(world));
    broken
}

/// Whoever gets success gets the whole answer to its own request.
fn whole_answer(call: &Call) -> Option<String> {
    let answer = call.answer.as_ref().filter(|answer| answer.status == 200)?;
    let body = String::from_utf8_lossy(&answer.body);
    (body != call.expected_body()).then(|| format!("success with another body: {body:?}"))
}

/// What may not be repeated runs once at most, and nothing reaches more endpoints than its route says.
fn runs_in_bounds(call: &Call, runs: u32) -> Option<String> {
    let most = if call.kind.may_repeat() { ATTEMPTS_MOST } else { 1 };
    (runs > most).then(|| format!("ran {runs} times"))
}

/// A refusal that says that the request did not run is true.
fn refusal(call: &Call, runs: u32) -> Option<String> {
    let status = call.answer.as_ref()?.status;
    (NOT_RUN.contains(&status) && runs > 0)
        .then(|| format!("refused with {status}, but ran {runs} times"))
}

/// An entry box that is not killed answers what it takes, also while it stops as planned.
fn answered(call: &Call, world: &World) -> Option<String> {
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

/// An acknowledged configuration is kept, and none older takes its place.
fn configuration(world: &World) -> Option<String> {
    let (read, acknowledged) = (world.configuration_read(), world.configuration_acknowledged());
    (read < acknowledged)
        .then(|| format!("configuration {acknowledged} was acknowledged, {read} is read"))
}

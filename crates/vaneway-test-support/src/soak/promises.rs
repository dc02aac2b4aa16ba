//! Checks the requests seen by callers and endpoints against the guarantees of the system.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::limits;
use crate::limits::COUNTING_WINDOW;
use crate::soak::callers::CallerRequest;
use crate::soak::callers::Kind;
use crate::soak::world::BackOff;
use crate::soak::world::LimitedEndpoint;
use crate::soak::world::World;
use crate::stream_caller::StreamEvent;
use crate::wire_endpoint::EVENTS_PER_STREAM;
use crate::wire_endpoint::events;

/// Statuses that state that the request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Maximum number of endpoints that may run one request: `max_attempts` of the routes.
const MAX_ATTEMPTS: u32 = 2;

/// Time after its acknowledged announcement after which a leaving endpoint must not receive new
/// requests; it covers entry boxes that were paused meanwhile.
const MARK_DEADLINE: Duration = Duration::from_secs(3);

/// Time after a back-off request in which requests in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests that operators accept from one entry box during a back-off.
const MAX_IN_BACK_OFF: usize = 2;

/// Upper bound of the time for which a proxy delays a request.
const MAX_PROXY_DELAY: Duration = Duration::from_millis(1_300);

/// The requests of callers, and the deployment with the requests of endpoints.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// All requests of callers.
    pub requests: &'a [CallerRequest],
    /// The deployment after the faults.
    pub world: &'a World,
}

/// Every violation of a guarantee, as a message.
pub fn violations(evidence: &Evidence<'_>) -> Vec<String> {
    let world = evidence.world;
    let mut violations = Vec::new();
    for request in evidence.requests {
        let runs = world.runs(&request.id);
        let found = [
            complete_response(request),
            events_in_order(request),
            runs_in_bounds(request, runs),
            refusal(request, runs),
            responded(request, world),
        ];
        violations.extend(
            found
                .into_iter()
                .flatten()
                .map(|what| format!("{} {:?}: {what}", request.id, request.kind)),
        );
    }
    violations.extend(one_version(evidence));
    violations.extend(marks(world));
    violations.extend(advertised_limits(evidence));
    violations.extend(back_offs(evidence));
    violations.extend(configuration(world));
    violations
}

/// A response with status 200 is the complete response to its own request.
fn complete_response(request: &CallerRequest) -> Option<String> {
    let response = request.response.as_ref().filter(|response| response.status == 200)?;
    let body = String::from_utf8_lossy(&response.body);
    let is_expected = match request.kind {
        Kind::Repeatable | Kind::Once => body == request.body(),
        Kind::Unframed | Kind::Parts => body == events(0),
        Kind::Resumable | Kind::Fixed => {
            let received: String = request.events.iter().flatten().map(StreamEvent::text).collect();
            let expected = EVENTS_PER_STREAM.saturating_sub(request.after);
            body == received && request.events.len() == expected as usize
        }
    };
    (!is_expected).then(|| format!("status 200 with another body: {body:?}"))
}

/// The events of a response follow each other without gap, from the one after which it was asked to
/// go on, also if it is incomplete.
fn events_in_order(request: &CallerRequest) -> Option<String> {
    let numbers = request.events.iter().map(|event| event.as_ref().map(|event| event.number));
    let numbers: Vec<_> = numbers.collect();
    let is_expected =
        numbers.iter().copied().eq((request.after + 1..).map(Some).take(numbers.len()));
    (!is_expected).then(|| format!("events {numbers:?} after event {}", request.after))
}

/// A stream holds events of one software version, in one response and over the requests with which
/// its caller takes it up.
fn one_version(evidence: &Evidence<'_>) -> Vec<String> {
    let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for request in evidence.requests {
        let of_request = request.events.iter().flatten().map(|event| &*event.version);
        versions.entry(&request.first).or_default().extend(of_request);
    }
    let mixed = versions.into_iter().filter(|(_first, versions)| versions.len() > 1);
    mixed
        .map(|(first, versions)| format!("{first}: the stream holds events of {versions:?}"))
        .collect()
}

/// A request that is not repeatable runs at most once, and no request runs at more endpoints than
/// its route allows.
fn runs_in_bounds(request: &CallerRequest, runs: u32) -> Option<String> {
    let max_runs = if request.kind.may_repeat() { MAX_ATTEMPTS } else { 1 };
    (runs > max_runs).then(|| format!("ran {runs} times, at most {max_runs} allowed"))
}

/// A request whose refusal states that it did not run has not run.
fn refusal(request: &CallerRequest, runs: u32) -> Option<String> {
    let status = request.response.as_ref()?.status;
    (NOT_RUN.contains(&status) && runs > 0)
        .then(|| format!("refused with {status}, but ran {runs} times"))
}

/// An entry box that is not killed responds to every request that it accepts, also during a
/// graceful stop.
fn responded(request: &CallerRequest, world: &World) -> Option<String> {
    let expected = matches!(request.kind, Kind::Repeatable | Kind::Once);
    if !expected || request.response.is_some() {
        return None;
    }
    let up = world.was_up(request.entry, request.sent, request.ended);
    up.then(|| format!("no response from entry box {}, which was running", request.entry))
}

/// Leaving endpoints receive no new requests after `MARK_DEADLINE`.
fn marks(world: &World) -> Vec<String> {
    let late = world.drained().filter_map(|(name, acknowledged, arrived)| {
        let after = arrived?.checked_duration_since(acknowledged)?;
        (after > MARK_DEADLINE)
            .then(|| format!("{name} received a request {after:?} after it announced leaving"))
    });
    late.collect()
}

/// The entry box to which each request was sent, by request id.
fn entry_of_each<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a str, usize> {
    evidence.requests.iter().map(|request| (request.id.as_str(), request.entry)).collect()
}

/// Endpoints that advertise limits receive no more than operators accept. Requests from entry boxes
/// that were disturbed recently do not count.
fn advertised_limits(evidence: &Evidence<'_>) -> Vec<String> {
    let entry_of = entry_of_each(evidence);
    let over = evidence.world.limited().into_iter().filter_map(|limited| {
        let counts = |(at, id): &&(Instant, String)| {
            let entry = entry_of.get(id.as_str());
            let undisturbed =
                |entry| !evidence.world.was_disturbed(entry, *at, limits::BINDING_DELAY);
            *at >= limited.since + limits::BINDING_DELAY
                && entry.is_some_and(|entry| undisturbed(*entry))
        };
        let counted: Vec<Instant> =
            limited.arrivals.iter().filter(counts).map(|(at, _)| *at).collect();
        let max_received = limits::max_in_window(&counted);
        let LimitedEndpoint { name, rate, .. } = limited;
        (max_received as f64 > limits::max_allowed(rate)).then(|| {
            format!(
                "{name} advertised {rate} requests per second and received {max_received} \
                 in {COUNTING_WINDOW:?}"
            )
        })
    });
    over.collect()
}

/// Endpoints that request a back-off of an entry box receive no more from it during the back-off
/// than operators accept, unless the entry box was disturbed during the back-off or shortly before.
fn back_offs(evidence: &Evidence<'_>) -> Vec<String> {
    let entry_of = entry_of_each(evidence);
    let over = evidence.world.back_offs(MAX_PROXY_DELAY).into_iter().filter_map(|back_off| {
        let BackOff { name, from, duration, id, arrivals } = back_off;
        let entry = *entry_of.get(id.as_str())?;
        if evidence.world.was_disturbed(entry, from + duration, duration + MAX_PROXY_DELAY) {
            return None;
        }
        let of_entry = |(at, id): &&(Instant, String)| {
            *at > from + IN_FLIGHT_TIME && entry_of.get(id.as_str()) == Some(&entry)
        };
        let received = arrivals.iter().filter(of_entry).count();
        (received > MAX_IN_BACK_OFF).then(|| {
            format!(
                "{name} requested {duration:?} of back-off from entry box {entry} \
                 and received {received} requests"
            )
        })
    });
    over.collect()
}

/// An acknowledged configuration is not lost or replaced by an older one, and it is read as it was
/// sent.
fn configuration(world: &World) -> Option<String> {
    let (read, acknowledged) = (world.current_version(), world.acknowledged_version());
    if read < acknowledged {
        return Some(format!("configuration {acknowledged} was acknowledged, but {read} is read"));
    }
    (!world.is_configuration_as_sent())
        .then(|| format!("configuration {read} is read with other content than was sent"))
}

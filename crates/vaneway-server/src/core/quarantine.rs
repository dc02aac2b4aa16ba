//! Requests under which endpoints end, as this entry box treats them.
//!
//! Data flow: an attempt that breaks off asks whether its endpoint has ended ([`endpoint_has_exited`]). If so, the
//! call counts it against its request ([`record_crash`]) and ends there if the request is condemned. What is
//! answered with success is cleared ([`clear_request`]), and a request that is condemned is refused wherever it is sent
//! again ([`check`]). What is found is told to the other boxes, and what they found is learned ([`merge`]).

use std::collections::BTreeSet;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use vaneway_quarantine::Fingerprint;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::Progress;
use vaneway_quarantine::QuarantineRecord;
use vaneway_quarantine::Verdict;
use vaneway_registry::StartMillis;
use vaneway_relay::Event;
use vaneway_relay::FailureKind;
use vaneway_route::EndpointId;
use vaneway_route::EndpointState;

use crate::core::callers::api_error::ApiError;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::util::clock;
use crate::util::hash;
use crate::util::logline::Line;
use crate::util::socket;

/// How long an attempt that broke off waits to learn whether its endpoint has ended: several round trips between
/// availability zones. Without an answer it counts as reached no more, which is no evidence.
const CONFIRM_WITHIN: Duration = Duration::from_millis(50);

/// Connections that are opened to learn it: an endpoint that has too many resets them too, and must not get many more.
const CONFIRM_TRIES: usize = 3;

/// Pause between two of them.
const CONFIRM_PAUSE: Duration = Duration::from_millis(5);

/// How long a connection that opens must last for its endpoint to count as alive: the system of a process that dies closes
/// its connections and its listening socket one after another.
const LASTS: Duration = Duration::from_millis(20);

/// What makes a request the same when its caller sends it again, under another id and to any box: who sent it, where
/// to, and its body. Nobody can get another organisation's request condemned.
///
/// Left out is what a copy may come with anew: the service, since a route may be split or move, and what the caller says
/// of the prompt, which follows from the body.
pub fn fingerprint(request: &CallRequest) -> Fingerprint {
    let method = request.method.as_str();
    let CallRequest { organisation, addressed_to, path, body, .. } = request;
    hash::of((organisation, addressed_to, method, path, body))
}

/// Whether an endpoint has ended and not by plan: nothing listens at its address, and it had not said that it leaves.
/// What speaks against it is logged, since nothing is held then against the request that it ran.
pub async fn endpoint_has_exited(
    entry: &Entry,
    request: &CallRequest,
    endpoint: EndpointId,
) -> bool {
    let (name, address, state) = {
        let pool = entry.pool.borrow();
        let endpoint = pool.get(endpoint);
        (endpoint.spec.name.clone(), endpoint.spec.address, endpoint.state)
    };
    let Some(why) = why_not_ended(entry, address, state).await else { return true };
    Line::new("endpoint_end_not_confirmed")
        .with("request", &request.id)
        .with("replica", name)
        .with("why", why)
        .info();
    false
}

/// Why an endpoint at which a connection broke has not ended, as far as can be seen; none if it has.
async fn why_not_ended(
    entry: &Entry,
    address: SocketAddr,
    state: EndpointState,
) -> Option<&'static str> {
    if matches!(state, EndpointState::Leaving | EndpointState::Gone) {
        return Some("it had said that it leaves");
    }
    for _ in 0..CONFIRM_TRIES {
        let stream = match socket::connect_timeout(&entry.timers, address, CONFIRM_WITHIN).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return None,
            Err(_) => return Some("its address can't be reached"),
        };
        // Nothing was asked of it, so whatever comes is its end.
        let ends = poll_fn(|cx| stream.poll_recv_ready(cx));
        if entry.timers.timeout_at(clock::now() + LASTS, ends).await.is_none() {
            return Some("it takes connections");
        }
        entry.timers.sleep(CONFIRM_PAUSE).await;
    }
    Some("it ends new connections at once")
}

/// When an endpoint that runs now was born, as this box knows it.
pub fn born(entry: &Entry, endpoint: EndpointId) -> StartMillis {
    entry.registry.borrow().born(&entry.pool.borrow().get(endpoint).spec.name)
}

/// Gives an endpoint that has ended no more work for a while, and tells the other boxes.
///
/// Of many boxes each would find it for itself, at the cost of a request's time, of an arrival at another endpoint and
/// of the budget of retries: 900 times after two waves of 23 crashes of 60 endpoints under 69 boxes, as simulated.
pub fn record_exit(entry: &Entry, endpoint: EndpointId, ended: &Incarnation) {
    if !entry.registered.borrow().contains_key(ended.name()) {
        // One that the settings name starts again as the same endpoint, without anyone saying so.
        return;
    }
    let now = entry.cluster_time();
    entry.quarantine.borrow_mut().record_exit(now, ended);
    entry.update_pool(|pool, now, out| pool.record_exit(now, endpoint, out));
}

/// Counts that an endpoint ended under a request, the last of `ends`; the others ended under it before.
pub fn record_crash(
    entry: &Entry,
    request: &CallRequest,
    ends: &[(Incarnation, Progress)],
) -> Verdict {
    let fingerprint = fingerprint(request);
    let now = entry.cluster_time();
    let verdict = entry.quarantine.borrow_mut().record_crash(now, fingerprint, ends);
    entry.metrics.quarantine.with_label_values(&[&request.service_name, verdict.name()]).inc();
    Line::new("endpoint_ended_under_request")
        .with("request", &request.id)
        .with("fingerprint", format!("{fingerprint:016x}"))
        .with("organisation", &request.organisation)
        .with("service", &request.service_name)
        .with("replica", ends.last().map_or_else(String::new, |(endpoint, _)| endpoint.to_string()))
        .with("progress", ends.last().map_or("", |(_, progress)| progress.name()))
        .with("verdict", verdict.name())
        .with("ended_here", ends.len())
        .with("ended_in_all", known_ends(entry, fingerprint))
        .warn();
    verdict
}

fn known_ends(entry: &Entry, fingerprint: Fingerprint) -> usize {
    let quarantine = entry.quarantine.borrow();
    quarantine.cases().get(&fingerprint).map_or(0, |case| case.ends.len())
}

/// Clears a request that was answered whole and with success, if anything was held against it.
pub fn clear_request(entry: &Entry, request: &CallRequest) {
    if entry.quarantine.borrow().is_empty() {
        return;
    }
    let fingerprint = fingerprint(request);
    let now = entry.cluster_time();
    let ends = known_ends(entry, fingerprint);
    if entry.quarantine.borrow_mut().clear(now, fingerprint) {
        let cleared = Verdict::Cleared.name();
        entry.metrics.quarantine.with_label_values(&[&request.service_name, cleared]).inc();
        Line::new("request_cleared")
            .with("request", &request.id)
            .with("fingerprint", format!("{fingerprint:016x}"))
            .with("ended_in_all", ends)
            .info();
    }
}

/// Clears a request at an operator's word, here and at all other boxes; whether anything was held against it.
pub fn release(entry: &Entry, fingerprint: Fingerprint) -> bool {
    let now = entry.cluster_time();
    let released = entry.quarantine.borrow_mut().clear(now, fingerprint);
    Line::new("request_released")
        .with("fingerprint", format!("{fingerprint:016x}"))
        .with("was_held", released)
        .info();
    released
}

/// Where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// At any endpoint.
    Anywhere,
    /// Apart from others, by its fingerprint: an endpoint ended under it.
    Isolated(Fingerprint),
    /// At none: it is condemned.
    Forbidden,
}

/// Where a request may run; `ended_here` if an endpoint ended under it at this box.
pub fn placement(entry: &Entry, request: &CallRequest, ended_here: bool) -> Placement {
    let quarantine = entry.quarantine.borrow();
    if quarantine.is_empty() {
        return Placement::Anywhere;
    }
    let fingerprint = fingerprint(request);
    match quarantine.verdict(fingerprint) {
        Some(Verdict::Condemned) => Placement::Forbidden,
        Some(Verdict::Suspected) => Placement::Isolated(fingerprint),
        _ if ended_here => Placement::Isolated(fingerprint),
        _ => Placement::Anywhere,
    }
}

/// Refuses a request that is condemned.
///
/// # Errors
///
/// If it is.
pub fn check(entry: &Entry, request: &CallRequest) -> Result<(), ApiError> {
    if placement(entry, request, false) != Placement::Forbidden {
        return Ok(());
    }
    let fingerprint = fingerprint(request);
    let quarantine = entry.quarantine.borrow();
    let ends = quarantine.cases().get(&fingerprint).map_or(0, |case| case.ends.len());
    let message = format!(
        "{ends} endpoints that ran this request ended under it, so it is run no more; send it in another form, or \
         ask an operator to release {fingerprint:016x}"
    );
    let code = FailureKind::CrashesEndpoints.code();
    Err(ApiError::rejected(StatusCode::UNPROCESSABLE_ENTITY, code, message))
}

/// Learns what other boxes found. What runs here and is condemned now is taken back before its endpoint ends too.
pub fn merge(entry: &Entry, findings: &[QuarantineRecord]) {
    let now = entry.cluster_time();
    let news = entry.quarantine.borrow_mut().merge(now, findings);
    let changed = |finding: &QuarantineRecord| match finding {
        QuarantineRecord::Case { fingerprint, .. } => Some(*fingerprint),
        QuarantineRecord::EndpointEnded { .. } => None,
    };
    let is_condemned = |fingerprint: &Fingerprint| {
        entry.quarantine.borrow().verdict(*fingerprint) == Some(Verdict::Condemned)
    };
    let condemned: BTreeSet<Fingerprint> =
        news.iter().filter_map(changed).filter(is_condemned).collect();
    if !condemned.is_empty() {
        entry
            .open
            .send_to_matching(&Event::Condemned, |call| condemned.contains(&fingerprint(call)));
    }
    for finding in news {
        match finding {
            QuarantineRecord::Case { fingerprint, case } => Line::new("request_case_told")
                .with("fingerprint", format!("{fingerprint:016x}"))
                .with("verdict", case.verdict.name())
                .with("ended", case.ends.len())
                .info(),
            QuarantineRecord::EndpointEnded { endpoint, .. } => learn_ended(entry, &endpoint),
        }
    }
}

fn learn_ended(entry: &Entry, ended: &Incarnation) {
    let born = entry.registry.borrow().born(ended.name());
    let has_started_again = ended.born() > 0 && born > ended.born();
    if has_started_again {
        return;
    }
    let endpoint = entry.registered.borrow().get(ended.name()).copied();
    if let Some(endpoint) = endpoint {
        Line::new("endpoint_ended_told").with("replica", ended).info();
        entry.update_pool(|pool, now, out| pool.record_exit(now, endpoint, out));
    }
}

//! Requests that crash endpoints, as one entry box handles them.
//!
//! Data flow: an attempt that breaks off determines whether its endpoint has exited
//! ([`exit_check`]). If so, the crash is recorded against the request ([`record_crash`]),
//! which is not retried if that condemns it. A request that is answered successfully is cleared
//! ([`clear_request`]); a condemned one is refused whenever it is sent again ([`check`]).
//! Quarantine records are sent to the other boxes, and theirs are merged here ([`merge`]). The
//! evidence against parts of prompts is recorded beside it ([`prompt_parts`]).

use std::collections::BTreeSet;
use std::rc::Rc;

use hyper::StatusCode;
use vaneway_quarantine::Fingerprint;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::PartVerdict;
use vaneway_quarantine::Progress;
use vaneway_quarantine::QuarantineRecord;
use vaneway_quarantine::Verdict;
use vaneway_registry::StartMillis;
use vaneway_relay::Event;
use vaneway_relay::FailureKind;
use vaneway_route::EndpointId;

use crate::core::callers::api_error::ApiError;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::core::exit_check;
use crate::core::prompt_parts;
use crate::util::hash;
use crate::util::logline::Line;

/// Identifies a request by its content, so that it is recognised when its caller sends it again,
/// under another id and to any box: by its organisation, its destination and its body. With the
/// organisation included, nobody can get another organisation's request condemned.
///
/// Excluded is what may differ when the request is sent again: the service, since a route may be
/// split or moved, and the caller's hints on the prompt, which follows from the body.
pub fn fingerprint(request: &CallRequest) -> Fingerprint {
    let method = request.method.as_str();
    let CallRequest { organisation, addressed_to, path, body, .. } = request;
    hash::of((organisation, addressed_to, method, path, body))
}

/// Finds out whether an endpoint that refuses connections has exited, and if so records that.
pub fn confirm_exit(entry: &Rc<Entry>, endpoint: EndpointId, incarnation: Incarnation) {
    if !entry.unconfirmed_exits.borrow_mut().insert(endpoint) {
        return;
    }
    let entry = Rc::clone(entry);
    compio::runtime::spawn(async move {
        let has_exited = exit_check::endpoint_has_exited(&entry, "", endpoint).await;
        entry.unconfirmed_exits.borrow_mut().remove(&endpoint);
        if has_exited {
            record_exit(&entry, endpoint, &incarnation);
        }
    })
    .detach();
}

/// The start time of the incarnation of an endpoint that is running now, as this box knows it.
pub fn born(entry: &Entry, endpoint: EndpointId) -> StartMillis {
    entry.registry.borrow().born(&entry.pool.borrow().get(endpoint).spec.name)
}

/// Stops sending requests to an endpoint that has exited, for a while, and reports the exit to the
/// other boxes.
///
/// Otherwise each box would have to detect the exit by itself, at the cost of a request's time, of
/// an additional request at another endpoint and of retry budget: 900 times in a simulation with 69
/// boxes and two waves of 23 crashes among 60 endpoints.
pub fn record_exit(entry: &Entry, endpoint: EndpointId, incarnation: &Incarnation) {
    if !entry.registered.borrow().contains_key(incarnation.name()) {
        // An endpoint that is listed in the settings restarts as the same endpoint, without any
        // report of it.
        return;
    }
    let now = entry.cluster_time();
    entry.quarantine.borrow_mut().record_exit(now, incarnation);
    entry.update_pool(|pool, now, out| pool.record_exit(now, endpoint, out));
}

/// Records against a request that an endpoint crashed while running it: the last of `crashes`; the
/// others crashed while running it before.
pub fn record_crash(
    entry: &Entry,
    request: &CallRequest,
    crashes: &[(Incarnation, Progress)],
) -> Verdict {
    let fingerprint = fingerprint(request);
    let now = entry.cluster_time();
    let verdict = entry.quarantine.borrow_mut().record_crash(now, fingerprint, crashes);
    entry.metrics.quarantine.with_label_values(&[&request.service_name, verdict.name()]).inc();
    Line::new("endpoint_ended_under_request")
        .with("request", &request.id)
        .with("fingerprint", format!("{fingerprint:016x}"))
        .with("organisation", &request.organisation)
        .with("service", &request.service_name)
        .with("place", place(request))
        .with("parts", prompt_parts::list(request))
        .with(
            "replica",
            crashes.last().map_or_else(String::new, |(endpoint, _)| endpoint.to_string()),
        )
        .with("progress", crashes.last().map_or("", |(_, progress)| progress.name()))
        .with("verdict", verdict.name())
        .with("ended_here", crashes.len())
        .with("ended_in_all", crash_count(entry, fingerprint))
        .with("common_cause", entry.quarantine.borrow().common_cause_crashes(fingerprint))
        .warn();
    verdict
}

/// Maximum length of a path in a log line, in characters.
const MAX_LOGGED_PATH: usize = 80;

/// Where a request was sent, for logs: host and path, without the query.
fn place(request: &CallRequest) -> String {
    let path = request.path.split('?').next().unwrap_or_default();
    let path: String = path.chars().take(MAX_LOGGED_PATH).collect();
    format!("{}{path}", request.addressed_to)
}

fn crash_count(entry: &Entry, fingerprint: Fingerprint) -> usize {
    let quarantine = entry.quarantine.borrow();
    quarantine.cases().get(&fingerprint).map_or(0, |case| case.crashes.len())
}

/// Clears a request that was answered completely and successfully, if anything was recorded against
/// it.
pub fn clear_request(entry: &Entry, request: &CallRequest) {
    if entry.quarantine.borrow().is_empty() {
        return;
    }
    let fingerprint = fingerprint(request);
    let now = entry.cluster_time();
    let crashes = crash_count(entry, fingerprint);
    if entry.quarantine.borrow_mut().clear(now, fingerprint) {
        let cleared = Verdict::Cleared.name();
        entry.metrics.quarantine.with_label_values(&[&request.service_name, cleared]).inc();
        Line::new("request_cleared")
            .with("request", &request.id)
            .with("fingerprint", format!("{fingerprint:016x}"))
            .with("parts", prompt_parts::list(request))
            .with("ended_in_all", crashes)
            .info();
    }
}

/// Clears a request, or a part of prompts, for an operator, here and at all other boxes; returns
/// whether anything was recorded against it.
pub fn release(entry: &Entry, fingerprint: Fingerprint) -> bool {
    let now = entry.cluster_time();
    let released = {
        let mut quarantine = entry.quarantine.borrow_mut();
        let is_request = quarantine.clear(now, fingerprint);
        quarantine.release_part(now, fingerprint) || is_request
    };
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
    /// Apart from other suspected requests, as chosen by its fingerprint: an endpoint crashed while
    /// running it.
    Isolated(Fingerprint),
    /// At no endpoint: it is condemned.
    Forbidden,
}

/// Where a request may run; `ended_here` if an endpoint crashed while running it for this box.
pub fn placement(entry: &Entry, request: &CallRequest, ended_here: bool) -> Placement {
    let quarantine = entry.quarantine.borrow();
    if quarantine.is_empty() && quarantine.has_no_parts() {
        return Placement::Anywhere;
    }
    let fingerprint = fingerprint(request);
    match (quarantine.verdict(fingerprint), prompt_parts::verdict(entry, request)) {
        (Some(Verdict::Condemned), _) | (_, PartVerdict::Condemned(_)) => Placement::Forbidden,
        (Some(Verdict::Suspected), _) => Placement::Isolated(fingerprint),
        _ if ended_here => Placement::Isolated(fingerprint),
        _ => Placement::Anywhere,
    }
}

/// What is recorded against a request and the parts of its prompt.
pub fn cases_of(entry: &Entry, request: &CallRequest) -> Vec<QuarantineRecord> {
    let quarantine = entry.quarantine.borrow();
    if quarantine.is_empty() && quarantine.has_no_parts() {
        return Vec::new();
    }
    let fingerprint = fingerprint(request);
    let case = quarantine.cases().get(&fingerprint).cloned();
    let case = case.map(|case| QuarantineRecord::Case { fingerprint, case });
    case.into_iter().chain(prompt_parts::cases_of(entry, request)).collect()
}

/// Refuses a request that is condemned.
///
/// # Errors
///
/// Fails if the request is condemned.
pub fn check(entry: &Entry, request: &CallRequest) -> Result<(), ApiError> {
    if placement(entry, request, false) != Placement::Forbidden {
        return Ok(());
    }
    if let PartVerdict::Condemned(key) = prompt_parts::verdict(entry, request) {
        return Err(rejected(prompt_parts::refusal(entry, key)));
    }
    let fingerprint = fingerprint(request);
    let quarantine = entry.quarantine.borrow();
    let crashes = quarantine.cases().get(&fingerprint).map_or(0, |case| case.crashes.len());
    let message = format!(
        "{crashes} endpoints crashed while running this request, so it is not run again; change \
         it, or ask an operator to release {fingerprint:016x}"
    );
    Err(rejected(message))
}

/// The error for a request that would crash its endpoint.
fn rejected(message: String) -> ApiError {
    let code = FailureKind::CrashesEndpoints.code();
    ApiError::rejected(StatusCode::UNPROCESSABLE_ENTITY, code, message)
}

/// Merges quarantine records of other boxes. Running requests that are condemned now are cancelled
/// before they crash further endpoints.
pub fn merge(entry: &Entry, records: &[QuarantineRecord]) {
    let now = entry.cluster_time();
    let updates = entry.quarantine.borrow_mut().merge(now, records);
    let changed = |record: &QuarantineRecord| match record {
        QuarantineRecord::Case { fingerprint, .. } => Some(*fingerprint),
        QuarantineRecord::EndpointExited { .. } | QuarantineRecord::Part { .. } => None,
    };
    let is_condemned = |fingerprint: &Fingerprint| {
        entry.quarantine.borrow().verdict(*fingerprint) == Some(Verdict::Condemned)
    };
    let condemned: BTreeSet<Fingerprint> =
        updates.iter().filter_map(changed).filter(is_condemned).collect();
    if !condemned.is_empty() {
        entry
            .open
            .send_to_matching(&Event::Condemned, |_, call| condemned.contains(&fingerprint(call)));
    }
    if updates.iter().any(|record| matches!(record, QuarantineRecord::Part { .. })) {
        prompt_parts::cancel_condemned(entry);
    }
    for record in updates {
        match record {
            QuarantineRecord::Case { fingerprint, case } => Line::new("request_case_told")
                .with("fingerprint", format!("{fingerprint:016x}"))
                .with("verdict", case.verdict.name())
                .with("ended", case.crashes.len())
                .info(),
            QuarantineRecord::EndpointExited { endpoint, .. } => merge_exit(entry, &endpoint),
            QuarantineRecord::Part { key, .. } => prompt_parts::log_told(entry, key),
        }
    }
}

fn merge_exit(entry: &Entry, incarnation: &Incarnation) {
    let born = entry.registry.borrow().born(incarnation.name());
    if exit_check::has_restarted(incarnation.born(), born) {
        return;
    }
    let endpoint = entry.registered.borrow().get(incarnation.name()).copied();
    if let Some(endpoint) = endpoint {
        Line::new("endpoint_ended_told").with("replica", incarnation).info();
        entry.update_pool(|pool, now, out| pool.record_exit(now, endpoint, out));
    }
}

//! Parts of prompts that crash endpoints, as one entry box handles them.
//!
//! Data flow: if an endpoint crashes before it has responded to a request for a while, the parts
//! that the request shares with others are suspected ([`record_crash`]); responses clear them
//! ([`record_answer`]). A request with a condemned part is refused, and cancelled where it runs
//! ([`cancel_condemned`]). Records travel with those of requests
//! ([`quarantine`]).

use std::collections::BTreeMap;
use std::time::Duration;

use vaneway_quarantine::Incarnation;
use vaneway_quarantine::PartId;
use vaneway_quarantine::PartKey;
use vaneway_quarantine::PartVerdict;
use vaneway_quarantine::QuarantineRecord;
use vaneway_quarantine::ServiceHash;
use vaneway_relay::Event;
use vaneway_route::Work;

use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::core::quarantine;
use crate::util::hash;
use crate::util::logline::Line;

/// How long an endpoint must have been responding for the response to show that it survives the
/// prompt: it crashes when it begins to write, and its crash is noticed a little later.
pub const MIN_RESPONSE_TIME: Duration = Duration::from_millis(250);

/// Maximum number of parts named in a log line.
const MAX_LOGGED: usize = 8;

/// Name in metrics of a verdict on a part.
const CONDEMNED: &str = "part_condemned";

/// Name in metrics of a response that disproves crashes held against a part.
const CLEARED: &str = "part_cleared";

fn service_hash(service_name: &str) -> ServiceHash {
    hash::of(service_name)
}

/// The parts of the prompt that a request shares with others.
fn shared(request: &CallRequest) -> Vec<PartId> {
    let parts = request.work.as_ref().map_or(&[][..], Work::shared);
    parts.iter().map(|part| part.id).collect()
}

/// The parts that a request shares with others, for logs.
pub fn list(request: &CallRequest) -> String {
    let ids = shared(request).into_iter().take(MAX_LOGGED).map(|part| format!("{part:x}"));
    ids.collect::<Vec<_>>().join(",")
}

/// What is held against the parts of a request.
pub fn verdict(entry: &Entry, request: &CallRequest) -> PartVerdict {
    let quarantine = entry.quarantine.borrow();
    if quarantine.has_no_parts() {
        return PartVerdict::Sound;
    }
    let service = service_hash(&request.service_name);
    quarantine.part_verdict(entry.cluster_time(), service, &shared(request))
}

/// The evidence against the parts of a request.
pub fn cases_of(entry: &Entry, request: &CallRequest) -> Vec<QuarantineRecord> {
    let quarantine = entry.quarantine.borrow();
    let service = service_hash(&request.service_name);
    let keys = shared(request).into_iter().map(|part| PartKey { part, service });
    keys.filter_map(|key| {
        let case = quarantine.part_cases().get(&key)?.clone();
        Some(QuarantineRecord::Part { key, case })
    })
    .collect()
}

/// Records that an endpoint crashed while it ran a request that it had not responded to for long.
pub fn record_crash(entry: &Entry, request: &CallRequest, endpoint: &Incarnation) {
    let parts = shared(request);
    if parts.is_empty() {
        return;
    }
    let now = entry.cluster_time();
    let fingerprint = quarantine::fingerprint(request);
    let service = service_hash(&request.service_name);
    entry.quarantine.borrow_mut().record_crash_with_parts(
        now,
        endpoint,
        fingerprint,
        service,
        &parts,
    );
    if let PartVerdict::Condemned(key) = verdict(entry, request) {
        entry.metrics.quarantine.with_label_values(&[&request.service_name, CONDEMNED]).inc();
        Line::new("prompt_part_condemned")
            .with("request", &request.id)
            .with("service", &request.service_name)
            .with("part", format!("{:x}", key.part))
            .with("ended", crash_count(entry, key))
            .warn();
        cancel_condemned(entry);
    }
}

/// Records that an endpoint responds to a request, and has survived beginning to.
pub fn record_answer(entry: &Entry, request: &CallRequest) {
    let parts = shared(request);
    if parts.is_empty() {
        return;
    }
    let now = entry.cluster_time();
    let service = service_hash(&request.service_name);
    let cleared = entry.quarantine.borrow_mut().record_answer(now, service, &parts);
    for key in cleared {
        entry.metrics.quarantine.with_label_values(&[&request.service_name, CLEARED]).inc();
        Line::new("prompt_part_cleared")
            .with("request", &request.id)
            .with("service", &request.service_name)
            .with("part", format!("{:x}", key.part))
            .info();
    }
}

/// Cancels the open requests that have a condemned part, before they crash further endpoints. One
/// that has received a part of its response has not crashed its endpoint.
pub fn cancel_condemned(entry: &Entry) {
    entry.open.send_to_matching(&Event::Condemned, |open, call| {
        !open.has_response() && matches!(verdict(entry, call), PartVerdict::Condemned(_))
    });
}

/// The message for the caller of a request that is refused because of a part.
pub fn refusal(entry: &Entry, key: PartKey) -> String {
    let (part, crashes) = (key.part, crash_count(entry, key));
    format!(
        "{crashes} endpoints crashed while running requests with part {part:x} of this prompt, so it \
         is not run; leave that part out, or ask an operator to release {part:016x}"
    )
}

/// A part against which something is held, for operators.
#[derive(Debug)]
pub struct HeldPart {
    /// The part.
    pub part: PartId,
    /// The service; empty if this box doesn't know it.
    pub service: String,
    /// The verdict if no other part explains the crashes.
    pub verdict: PartVerdict,
    /// Endpoints that crashed while they ran requests with it.
    pub crashed: Vec<Incarnation>,
}

/// The parts against which something is held.
pub fn list_held(entry: &Entry) -> Vec<HeldPart> {
    let quarantine = entry.quarantine.borrow();
    let now = entry.cluster_time();
    let names = entry.services().into_iter().map(|id| entry.service_name(id));
    let names: BTreeMap<_, _> = names.map(|name| (service_hash(&name), name)).collect();
    let held = quarantine.part_cases().iter().filter(|(_, case)| !case.crashes.is_empty());
    held.map(|(key, case)| HeldPart {
        part: key.part,
        service: names.get(&key.service).cloned().unwrap_or_default(),
        verdict: quarantine.verdict_on_part(now, *key),
        crashed: case.crashes.keys().cloned().collect(),
    })
    .collect()
}

/// Logs what another box has reported on a part.
pub fn log_told(entry: &Entry, key: PartKey) {
    let quarantine = entry.quarantine.borrow();
    let case = quarantine.part_cases().get(&key);
    let verdict = quarantine.verdict_on_part(entry.cluster_time(), key);
    Line::new("prompt_part_told")
        .with("part", format!("{:x}", key.part))
        .with("verdict", verdict.name())
        .with("ended", case.map_or(0, |case| case.crashes.len()))
        .with("answered", case.is_some_and(|case| case.answered_at.is_some()))
        .info();
}

fn crash_count(entry: &Entry, key: PartKey) -> usize {
    let quarantine = entry.quarantine.borrow();
    quarantine.part_cases().get(&key).map_or(0, |case| case.crashes.len())
}

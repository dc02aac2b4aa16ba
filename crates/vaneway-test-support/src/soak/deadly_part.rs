//! Checks the requests to endpoints that crash on a part of prompts against what operators accept.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::soak::callers::CallerRequest;
use crate::soak::callers::Kind;
use crate::soak::promises::Evidence;

/// Number of crashes after which requests with the part must not be sent any more.
const CRASHES: usize = 5;

/// Time after that crash in which boxes find out, and time without disturbance after which a box is
/// in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests with the part that operators accept later, from boxes in touch.
const MAX_SENT_LATE: usize = 3;

/// Number of sound requests from which their share is judged.
const MIN_SOUND: usize = 20;

/// Number of endpoints with which sound requests must be served.
const MIN_LEFT: usize = 2;

/// Every violation, as a message.
pub fn violations(evidence: &Evidence<'_>) -> Vec<String> {
    let Some(contained_by) = contained_by(evidence) else { return Vec::new() };
    let late = sent_late(evidence, contained_by);
    let unserved = share_unserved(evidence, contained_by + CONTACT_TIME);
    late.into_iter().chain(unserved).collect()
}

/// When boxes in touch must know of the part; none if it crashed few endpoints.
fn contained_by(evidence: &Evidence<'_>) -> Option<Instant> {
    let deadly = deadly_requests(evidence);
    let mut crashes: Vec<Instant> = evidence
        .world
        .received_by_mortal()
        .iter()
        .filter_map(|received| received.iter().find(|(_, id)| deadly.contains_key(&**id)))
        .map(|(at, _)| *at)
        .collect();
    crashes.sort_unstable();
    crashes.get(CRASHES - 1).map(|at| *at + CONTACT_TIME)
}

fn deadly_requests<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a str, &'a CallerRequest> {
    let deadly = evidence.requests.iter().filter(|request| request.is_deadly);
    deadly.map(|request| (&*request.id, request)).collect()
}

/// Requests with the part reach endpoints of boxes in touch later than `contained_by`.
fn sent_late(evidence: &Evidence<'_>, contained_by: Instant) -> Option<String> {
    let deadly = deadly_requests(evidence);
    let received = evidence.world.received_by_mortal();
    let late = received.iter().flatten().filter(|(at, id)| {
        let in_touch = deadly.get(&**id).is_some_and(|request| {
            evidence.world.was_in_touch(request.entry, request.sent, *at, CONTACT_TIME)
        });
        *at > contained_by && in_touch
    });
    let late = late.count();
    (late > MAX_SENT_LATE).then(|| {
        format!(
            "{late} requests with a part that had crashed {CRASHES} endpoints reached endpoints"
        )
    })
}

/// Fewer than half of the sound requests of the same kind are served at boxes in touch from `from` on.
fn share_unserved(evidence: &Evidence<'_>, from: Instant) -> Option<String> {
    let is_judged = |request: &&CallerRequest| {
        let CallerRequest { entry, sent, ended, .. } = **request;
        let is_sound = request.kind == Kind::Parts && !request.is_deadly && sent > from;
        is_sound && evidence.world.was_in_touch(entry, sent, ended, CONTACT_TIME)
    };
    let sound: Vec<_> = evidence.requests.iter().filter(is_judged).collect();
    let served = sound.iter().filter(|request| request.is_served()).count();
    let is_enough = sound.len() >= MIN_SOUND && evidence.world.mortal_left() >= MIN_LEFT;
    (is_enough && 2 * served < sound.len()).then(|| {
        format!("{served} of {} requests beside those with a deadly part were served", sound.len())
    })
}

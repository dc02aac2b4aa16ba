//! Streams that callers take up again: whether each goes on, and if not, why, with what held then.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::soak::callers::CallerRequest;
use crate::soak::callers::Kind;
use crate::soak::promises::Evidence;

/// Time for which nothing must have been done to a box for it to count as in touch.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of endpoints of a stream's version that must serve for it to count.
const MIN_SERVING: usize = 2;

/// Minimum number of streams taken up to be judged.
const MIN_TAKEN_UP: usize = 12;

/// A request that takes a stream up.
#[derive(Debug, Clone)]
pub struct TakenUp {
    /// Its id.
    pub id: String,
    /// Whether it brought events, or ended as complete.
    pub went_on: bool,
    /// Whether its box was in touch.
    pub in_touch: bool,
    /// Number of endpoints of the stream's software version that served throughout the request.
    pub serving: usize,
    /// What the caller received and what its box logged of it.
    pub reason: String,
}

impl TakenUp {
    /// Whether it counts among those of which enough must go on.
    pub fn is_judged(&self) -> bool {
        self.in_touch && self.serving >= MIN_SERVING
    }
}

/// The requests that take a stream up.
pub fn taken_up(evidence: &Evidence<'_>) -> Vec<TakenUp> {
    let logs = logged(evidence);
    let versions = versions(evidence);
    let world = evidence.world;
    let taken_up = evidence.requests.iter().filter(|request| request.after > 0);
    let describe = |request: &CallerRequest| {
        let (from, until) = (request.sent, request.ended);
        let version = versions.get(&*request.first).copied().unwrap_or_default();
        let went_on = goes_on(request);
        TakenUp {
            id: request.id.clone(),
            went_on,
            in_touch: world.was_in_touch(request.entry, from, until, CONTACT_TIME),
            serving: world.serving(version, from, until),
            reason: reason(request, logs.get(&*request.id).map_or(&[], Vec::as_slice)),
        }
    };
    taken_up.map(describe).collect()
}

/// Streams taken up at boxes in touch while two endpoints of their version serve, and
/// new ones at boxes in touch.
#[derive(Debug, Clone, Copy)]
pub struct Shares {
    /// Number of requests that take streams up.
    pub taken_up: usize,
    /// Number of these that go on.
    pub went_on: usize,
    /// Number of requests for new streams that may be taken up.
    pub new: usize,
    /// Number of these that begin.
    pub began: usize,
}

impl Shares {
    /// Counts the requests of a run.
    pub fn of(evidence: &Evidence<'_>, taken_up: &[TakenUp]) -> Self {
        let judged = || taken_up.iter().filter(|request| request.is_judged());
        let world = evidence.world;
        let is_new = |request: &&CallerRequest| {
            let is_new = request.kind == Kind::Resumable && request.after == 0;
            is_new && world.was_in_touch(request.entry, request.sent, request.ended, CONTACT_TIME)
        };
        let new = || evidence.requests.iter().filter(is_new);
        Self {
            taken_up: judged().count(),
            went_on: judged().filter(|request| request.went_on).count(),
            new: new().count(),
            began: new().filter(|request| goes_on(request)).count(),
        }
    }

    /// The share of the streams taken up that go on is at least half of the share of new ones that
    /// begin, and there are enough of them to be judged.
    pub fn violation(&self) -> Option<String> {
        let Self { taken_up, went_on, new, began } = *self;
        if taken_up < MIN_TAKEN_UP {
            return Some(format!("{taken_up} streams taken up are too few to be judged"));
        }
        let is_violated = 2 * went_on * new < began * taken_up;
        is_violated.then(|| {
            format!(
                "{went_on} of {taken_up} streams taken up went on, {began} of {new} new ones began"
            )
        })
    }
}

fn goes_on(request: &CallerRequest) -> bool {
    !request.events.is_empty() || request.is_served()
}

/// The software version that began each stream, by the id of its first request.
fn versions<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a str, &'a str> {
    let first_event = |request: &'a CallerRequest| {
        let event = request.events.iter().flatten().next()?;
        Some((&*request.first, &*event.version))
    };
    evidence.requests.iter().rev().filter_map(first_event).collect()
}

/// The fields of log lines that say why a request that takes a stream up didn't go on, by its id.
fn logged(evidence: &Evidence<'_>) -> BTreeMap<String, Vec<String>> {
    let mut logged: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (_name, log) in evidence.world.logs() {
        for line in log.lines() {
            let is_event = |event: &str| line.contains(&format!("event={event} "));
            let is_relevant = is_event("stream_taken_up") || is_event("stream_not_resumed");
            let id = line.split(" request=").nth(1).and_then(|rest| rest.split(' ').next());
            if let Some(id) = id.filter(|_| is_relevant) {
                let fields = line.split(" request=").nth(1).unwrap_or_default();
                let fields = fields.split_once(' ').map_or("", |(_id, fields)| fields);
                logged.entry(id.to_owned()).or_default().push(fields.to_owned());
            }
        }
    }
    logged
}

fn reason(request: &CallerRequest, logged: &[String]) -> String {
    let answer = match &request.response {
        None => "broken off".to_owned(),
        Some(response) if response.status == 200 => "200".to_owned(),
        Some(response) => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            let code = body.split("\"code\":\"").nth(1).and_then(|rest| rest.split('"').next());
            format!("{} {}", response.status, code.unwrap_or(&body))
        }
    };
    let is_kept =
        |field: &&str| !field.starts_with("first_request=") && !field.starts_with("request=");
    let fields = logged.iter().flat_map(|line| line.split(' ')).filter(is_kept);
    let fields: Vec<&str> = fields.collect();
    format!("{answer} after {:?}: {}", request.ended - request.sent, fields.join(" "))
}

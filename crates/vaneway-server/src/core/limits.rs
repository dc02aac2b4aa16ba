//! Limits that endpoints name in their answers, as this entry box treats them.
//!
//! Data flow: the head of each answer says what its endpoint takes ([`observe_response`]); what is news goes to the control boxes and
//! from them to the other entry boxes ([`merge`]). The pool's gates decide by it, each time that an endpoint is chosen.

use vaneway_limit::EndpointLimit;
use vaneway_limit::NumberError;
use vaneway_limit::Rate;
use vaneway_registry::Lifecycle;
use vaneway_registry::Registry;
use vaneway_registry::StartMillis;
use vaneway_route::EndpointId;
use vaneway_route::EndpointState;

use crate::core::entry::Entry;
use crate::util::logline::Line;

/// What the head of an answer says of the requests that its endpoint takes.
#[derive(Debug, Clone, Copy)]
pub struct LimitObservation<'a> {
    /// The endpoint that answered.
    pub endpoint: EndpointId,
    /// Id of the request, for logs.
    pub request: &'a str,
    /// The endpoint's service, for metrics.
    pub service: &'a str,
    /// Whether the endpoint ran the request with success.
    pub succeeded: bool,
    /// The limit that it names, if any.
    pub named: Result<Option<Rate>, NumberError>,
}

/// Learns what the head of an answer says.
///
/// A success that names no limit ends the one before. A refusal or a failure may come from a part of the endpoint that
/// doesn't know of it, so there silence changes nothing.
pub fn observe_response(entry: &Entry, heard: &LimitObservation<'_>) {
    let LimitObservation { endpoint, request, service, succeeded, named } = *heard;
    if named == Ok(None) && (!succeeded || entry.limits.borrow().is_empty()) {
        return;
    }
    let name = entry.pool.borrow().get(endpoint).spec.name.clone();
    let rate = match named {
        Ok(rate) => rate,
        Err(error) => return log_unreadable(entry, &name, heard, error),
    };
    let Some(born) = incarnation(entry, &name, endpoint) else { return };
    let now = entry.cluster_time();
    let news = entry.limits.borrow_mut().record_response(now, &name, born, rate);
    let Some(named) = news else { return };
    entry.pool.borrow_mut().set_limit(endpoint, named);
    let change = if rate.is_some() { "named" } else { "ended" };
    entry.metrics.limits.with_label_values(&[service, change]).inc();
    Line::new("endpoint_limit")
        .with("replica", name)
        .with("born", born)
        .with("request", request)
        .with("a_second", rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()))
        .info();
}

/// Learns what endpoints named in answers to other boxes.
pub fn merge(entry: &Entry, told: &[EndpointLimit]) {
    let now = entry.cluster_time();
    let news = entry.limits.borrow_mut().merge(now, told);
    for EndpointLimit { endpoint, limit } in news {
        apply(entry, &endpoint);
        Line::new("endpoint_limit_told")
            .with("replica", endpoint)
            .with("born", limit.born)
            .with("a_second", limit.rate)
            .with("ended", limit.lifted)
            .with("age_ms", now.saturating_sub(limit.seen_at).as_millis())
            .info();
    }
}

/// Puts in force what is known of a registered endpoint's limit, if it is of the incarnation that runs.
pub fn apply(entry: &Entry, name: &str) {
    let Some(endpoint) = entry.registered.borrow().get(name).copied() else { return };
    let named = entry.limits.borrow().get(name).copied();
    let born = entry.registry.borrow().born(name);
    if let Some(named) = named.filter(|named| named.matches_incarnation(born)) {
        entry.pool.borrow_mut().set_limit(endpoint, named);
    }
}

/// What this box has to tell of limits since it was last asked.
pub fn take_updates(entry: &Entry) -> Vec<EndpointLimit> {
    let mut limits = entry.limits.borrow_mut();
    // As long as its gate goes by it: only what is known here can be ended by an answer.
    limits.remove_expired(entry.cluster_time(), |name, _| is_in_use(entry, name));
    limits.take_updates()
}

fn is_in_use(entry: &Entry, name: &str) -> bool {
    let registered = entry.registered.borrow().get(name).copied();
    let is_set = || entry.settings.replicas.iter().any(|replica| replica.name == name);
    let pool = entry.pool.borrow();
    registered.map_or_else(is_set, |endpoint| pool.get(endpoint).state != EndpointState::Gone)
}

/// Whether this incarnation of an endpoint may still answer, as a control box knows it.
pub fn may_answer(registry: &Registry, name: &str, born: StartMillis) -> bool {
    registry.get(name).is_some_and(|known| known.born <= born && known.lifecycle < Lifecycle::Gone)
}

/// The incarnation that an endpoint of the pool stands for; none if another has taken its place. One that the
/// settings name has no other.
fn incarnation(entry: &Entry, name: &str, endpoint: EndpointId) -> Option<StartMillis> {
    let registered = entry.registered.borrow().get(name).copied();
    let born = || entry.registry.borrow().born(name);
    registered.is_none_or(|current| current == endpoint).then(born)
}

fn log_unreadable(entry: &Entry, name: &str, heard: &LimitObservation<'_>, error: NumberError) {
    entry.metrics.limits.with_label_values(&[heard.service, "unreadable"]).inc();
    Line::new("endpoint_limit_unreadable")
        .with("replica", name)
        .with("request", heard.request)
        .with("why", error.name())
        .warn();
}

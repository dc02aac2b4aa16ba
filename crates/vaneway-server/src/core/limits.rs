//! Request rate limits that endpoints advertise in their responses, as one entry box handles them.
//!
//! Data flow: the head of each response states its endpoint's limit, if any ([`observe_response`]).
//! Changes are sent to the control boxes, which forward them to the other entry boxes ([`merge`]).
//! The pool's gates apply the limits whenever an endpoint is chosen.

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

/// What the head of a response states about its endpoint's limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitObservation<'a> {
    /// The endpoint that responded.
    pub endpoint: EndpointId,
    /// Id of the request, for logs.
    pub request: &'a str,
    /// The endpoint's service, for metrics.
    pub service: &'a str,
    /// Whether the endpoint ran the request successfully.
    pub succeeded: bool,
    /// The limit that it advertises, if any.
    pub advertised: Result<Option<Rate>, NumberError>,
}

/// Records what the head of a response states.
///
/// A successful response without a limit lifts the previous one. A refusal or a failure may come
/// from a component of the endpoint that doesn't know the limit, so its absence there changes
/// nothing.
pub fn observe_response(entry: &Entry, observation: &LimitObservation<'_>) {
    let LimitObservation { endpoint, request, service, succeeded, advertised } = *observation;
    if advertised == Ok(None) && (!succeeded || entry.limits.borrow().is_empty()) {
        return;
    }
    let name = entry.pool.borrow().get(endpoint).spec.name.clone();
    let rate = match advertised {
        Ok(rate) => rate,
        Err(error) => return log_unreadable(entry, &name, observation, error),
    };
    let Some(born) = incarnation(entry, &name, endpoint) else { return };
    let now = entry.cluster_time();
    let changed = entry.limits.borrow_mut().record_response(now, &name, born, rate);
    let Some(limit) = changed else { return };
    entry.pool.borrow_mut().set_limit(endpoint, limit);
    let change = if rate.is_some() { "named" } else { "ended" };
    entry.metrics.limits.with_label_values(&[service, change]).inc();
    Line::new("endpoint_limit")
        .with("replica", name)
        .with("born", born)
        .with("request", request)
        .with("a_second", rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()))
        .info();
}

/// Merges limits that endpoints advertised in responses to other boxes.
pub fn merge(entry: &Entry, others: &[EndpointLimit]) {
    let now = entry.cluster_time();
    let changed = entry.limits.borrow_mut().merge(now, others);
    for EndpointLimit { endpoint, limit } in changed {
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

/// Applies the known limit of a registered endpoint, if it is of the incarnation that is running.
pub fn apply(entry: &Entry, name: &str) {
    let Some(endpoint) = entry.registered.borrow().get(name).copied() else { return };
    let limit = entry.limits.borrow().get(name).copied();
    let born = entry.registry.borrow().born(name);
    if let Some(limit) = limit.filter(|limit| limit.matches_incarnation(born)) {
        entry.pool.borrow_mut().set_limit(endpoint, limit);
    }
}

/// Returns the limits to send to the control boxes that changed since the last call.
pub fn take_updates(entry: &Entry) -> Vec<EndpointLimit> {
    let mut limits = entry.limits.borrow_mut();
    // A limit is kept as long as an endpoint's gate applies it: a response can only lift a limit
    // that is known here.
    limits.remove_expired(entry.cluster_time(), |name, _| is_in_use(entry, name));
    limits.take_updates()
}

fn is_in_use(entry: &Entry, name: &str) -> bool {
    let registered = entry.registered.borrow().get(name).copied();
    let in_settings = || entry.settings.replicas.iter().any(|replica| replica.name == name);
    let pool = entry.pool.borrow();
    registered.map_or_else(in_settings, |endpoint| pool.get(endpoint).state != EndpointState::Gone)
}

/// Whether this incarnation of an endpoint may still respond, as far as a control box knows.
pub fn may_answer(registry: &Registry, name: &str, born: StartMillis) -> bool {
    registry
        .get(name)
        .is_some_and(|record| record.born <= born && record.lifecycle < Lifecycle::Gone)
}

/// The incarnation that an endpoint of the pool represents; none if a newer one has replaced it. An
/// endpoint that is listed in the settings is never replaced.
fn incarnation(entry: &Entry, name: &str, endpoint: EndpointId) -> Option<StartMillis> {
    let registered = entry.registered.borrow().get(name).copied();
    let born = || entry.registry.borrow().born(name);
    registered.is_none_or(|current| current == endpoint).then(born)
}

fn log_unreadable(
    entry: &Entry,
    name: &str,
    observation: &LimitObservation<'_>,
    error: NumberError,
) {
    entry.metrics.limits.with_label_values(&[observation.service, "unreadable"]).inc();
    Line::new("endpoint_limit_unreadable")
        .with("replica", name)
        .with("request", observation.request)
        .with("why", error.name())
        .warn();
}

//! Request rate limits that endpoints advertise in their responses, as one entry box handles them.
//!
//! Data flow: the head of each response states its endpoint's limit, if any ([`observe_response`]).
//! Changes are sent to the control boxes, which forward them to the other entry boxes ([`merge`]).
//! The pool's gates apply the limits whenever an endpoint is chosen.
//!
//! An endpoint may also state how many refusals a second make it fail. It is then sent only requests
//! for which it has a place ([`vaneway_limit::has_place`]). After one that it refuses nevertheless,
//! all boxes start again from a quarter as many requests a second as it may refuse, as if it had
//! advertised that as a limit and lifted it; soon after, each box uses its share of all places.

use vaneway_limit::BoxNumber;
use vaneway_limit::EndpointLimit;
use vaneway_limit::NumberError;
use vaneway_limit::Rate;
use vaneway_registry::Lifecycle;
use vaneway_registry::Registry;
use vaneway_registry::StartMillis;
use vaneway_route::EndpointId;
use vaneway_route::EndpointState;

use crate::core::entry::Entry;
use crate::core::settings::Settings;
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
    /// Whether it refused the request.
    pub refused: bool,
    /// The limit that it advertises, if any.
    pub advertised: Result<Option<Rate>, NumberError>,
    /// How many refusals a second make it fail, if it states that.
    pub max_refusals: Result<Option<Rate>, NumberError>,
}

/// Records what the head of a response states.
///
/// A successful response without a limit lifts the previous one. A refusal or a failure may come
/// from a component of the endpoint that doesn't know the limit, so its absence there changes
/// nothing; a refusal of a brittle endpoint then makes all boxes start again from a low rate.
pub fn observe_response(entry: &Entry, observation: &LimitObservation<'_>) {
    let LimitObservation { endpoint, succeeded, advertised, .. } = *observation;
    observe_brittleness(entry, observation);
    let name = || entry.pool.borrow().get(endpoint).spec.name.clone();
    let rate = match advertised {
        Ok(rate) => rate,
        Err(error) => return log_unreadable(entry, &name(), observation, error),
    };
    let lifts = succeeded && !entry.limits.borrow().is_empty();
    let refusal_rate = rate_after_refusal(observation).filter(|_| rate.is_none());
    if rate.is_none() && !lifts && refusal_rate.is_none() {
        return;
    }
    let name = name();
    let Some(born) = incarnation(entry, &name, endpoint) else { return };
    let now = entry.cluster_time();
    let changed = match refusal_rate {
        Some(rate) => entry.limits.borrow_mut().record_refusal(now, &name, born, rate),
        None => entry.limits.borrow_mut().record_response(now, &name, born, rate),
    };
    let Some(limit) = changed else { return };
    entry.pool.borrow_mut().set_limit(endpoint, limit);
    let (change, given) = match (refusal_rate, rate) {
        (Some(_), _) => ("refused", refusal_rate),
        (None, Some(_)) => ("named", rate),
        (None, None) => ("ended", None),
    };
    entry.metrics.limits.with_label_values(&[observation.service, change]).inc();
    Line::new("endpoint_limit")
        .with("replica", name)
        .with("born", born)
        .with("request", observation.request)
        .with("change", change)
        .with("a_second", given.map_or_else(|| "none".to_owned(), |rate| rate.to_string()))
        .info();
}

/// Records whether refusals can make the endpoint fail. A value that can't be read changes nothing.
fn observe_brittleness(entry: &Entry, observation: &LimitObservation<'_>) {
    let LimitObservation { endpoint, max_refusals, .. } = *observation;
    let name = || entry.pool.borrow().get(endpoint).spec.name.clone();
    let places = match max_refusals {
        Ok(None) => None,
        Ok(Some(_)) => places(entry, &name()),
        Err(error) => return log_unreadable(entry, &name(), observation, error),
    };
    let before = entry.pool.borrow().get(endpoint).brittle_places;
    if before != places {
        entry.pool.borrow_mut().set_brittle(endpoint, places);
        Line::new("endpoint_brittle")
            .with("replica", name())
            .with("request", observation.request)
            .with("places", places.map_or_else(|| "any".to_owned(), |places| places.to_string()))
            .info();
    }
}

/// Number of requests that a registered endpoint runs at once.
fn places(entry: &Entry, name: &str) -> Option<u32> {
    let registry = entry.registry.borrow();
    Some(registry.get(name)?.details.as_ref()?.slots)
}

/// The rate from which the boxes start again after a response that is a refusal of a brittle
/// endpoint: a quarter of what it may refuse in a second, since the rate doubles in the next
/// interval, and a second covers parts of two intervals.
fn rate_after_refusal(observation: &LimitObservation<'_>) -> Option<Rate> {
    let LimitObservation { max_refusals, refused, .. } = *observation;
    max_refusals.ok().flatten().filter(|_| refused).map(Rate::quarter)
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

/// The number of this box among the entry boxes in its settings; none where control boxes assign
/// it.
pub(super) fn box_number_by_settings(settings: &Settings) -> Option<BoxNumber> {
    if settings.follow.is_some() {
        return None;
    }
    let number = settings.peers.iter().filter(|peer| peer.name < settings.name).count() as u32;
    Some(BoxNumber { number, of: settings.peers.len() as u32 + 1 })
}

//! Limits that endpoints name in their answers, as this entry box treats them.
//!
//! Data flow: the head of each answer says what its endpoint takes ([`answered`]); what is news goes to the control boxes and
//! from them to the other entry boxes ([`learn`]). The pool's gates decide by it, each time that an endpoint is chosen.

use hyper::StatusCode;
use vaneway_limit::Born;
use vaneway_limit::NamedLimit;
use vaneway_limit::Rate;
use vaneway_limit::RateError;
use vaneway_registry::Registry;
use vaneway_registry::Standing;
use vaneway_route::EndpointId;

use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::protocol::Verdict;
use crate::core::entry::Entry;
use crate::util::logline::Line;

/// Learns what the head of an answer says of the requests that its endpoint takes.
///
/// A success that names no limit ends the one before. A refusal or a failure may come from a part of the endpoint that
/// doesn't know of it, so there silence changes nothing.
pub fn answered(
    entry: &Entry,
    endpoint: EndpointId,
    request: &CallRequest,
    verdict: Verdict,
    status: StatusCode,
    named: Result<Option<Rate>, RateError>,
) {
    let names_nothing = named == Ok(None) && entry.limits.borrow().is_empty();
    if names_nothing || matches!(verdict, Verdict::Replaced | Verdict::Foreign) {
        return;
    }
    let name = entry.pool.borrow().get(endpoint).spec.name.clone();
    let rate = match named {
        Ok(Some(rate)) => Some(rate),
        Ok(None) if verdict == Verdict::Answer && status.is_success() => None,
        Ok(None) => return,
        Err(error) => return log_unreadable(entry, &name, request, error),
    };
    let Some(born) = incarnation(entry, &name, endpoint) else { return };
    let now = entry.cluster_time();
    let news = entry.limits.borrow_mut().answered(now, &name, born, rate);
    let Some(named) = news else { return };
    entry.pool.borrow_mut().limit(endpoint, named);
    let change = if rate.is_some() { "named" } else { "ended" };
    entry.metrics.limits.with_label_values(&[&request.service_name, change]).inc();
    Line::new("endpoint_limit")
        .with("replica", name)
        .with("born", born)
        .with("request", &request.id)
        .with("a_second", rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()))
        .info();
}

/// Learns what endpoints named in answers to other boxes.
pub fn learn(entry: &Entry, told: &[NamedLimit]) {
    let now = entry.cluster_time();
    let news = entry.limits.borrow_mut().merge(now, told);
    for NamedLimit { endpoint, named } in news {
        put(entry, &endpoint);
        Line::new("endpoint_limit_told")
            .with("replica", endpoint)
            .with("born", named.born)
            .with("a_second", named.rate)
            .with("ended", named.ended)
            .with("age_ms", now.saturating_sub(named.at).as_millis())
            .info();
    }
}

/// Puts in force what is known of a registered endpoint's limit, if it is of the incarnation that runs.
pub fn put(entry: &Entry, name: &str) {
    let Some(endpoint) = entry.registered.borrow().get(name).copied() else { return };
    let named = entry.limits.borrow().get(name).copied();
    let born = entry.registry.borrow().get(name).map_or(0, |known| known.born);
    if let Some(named) = named.filter(|named| named.is_of(born)) {
        entry.pool.borrow_mut().limit(endpoint, named);
    }
}

/// What this box has to tell of limits since it was last asked.
pub fn take_news(entry: &Entry) -> Vec<NamedLimit> {
    let mut limits = entry.limits.borrow_mut();
    let registry = entry.registry.borrow();
    limits.forget(entry.cluster_time(), |name, born| is_there(&registry, name, born));
    limits.take_news()
}

/// Whether this incarnation of an endpoint may still answer.
pub fn is_there(registry: &Registry, name: &str, born: Born) -> bool {
    registry.get(name).is_some_and(|known| known.born <= born && known.standing < Standing::Gone)
}

/// The incarnation that an endpoint of the pool stands for; none if another has taken its place. One that the
/// settings name has no other.
fn incarnation(entry: &Entry, name: &str, endpoint: EndpointId) -> Option<Born> {
    let registered = entry.registered.borrow().get(name).copied();
    let born = || entry.registry.borrow().get(name).map_or(0, |known| known.born);
    registered.is_none_or(|current| current == endpoint).then(born)
}

fn log_unreadable(entry: &Entry, name: &str, request: &CallRequest, error: RateError) {
    entry.metrics.limits.with_label_values(&[&request.service_name, "unreadable"]).inc();
    Line::new("endpoint_limit_unreadable")
        .with("replica", name)
        .with("request", &request.id)
        .with("why", error.name())
        .warn();
}

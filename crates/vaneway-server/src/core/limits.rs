//! Limits that endpoints name in their answers, as this entry box treats them.
//!
//! Data flow: the head of each answer says what its endpoint takes ([`answered`]).

use hyper::StatusCode;
use vaneway_limit::Rate;
use vaneway_limit::RateError;
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
    if matches!(verdict, Verdict::Replaced | Verdict::Foreign) {
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
    if !entry.limits.borrow_mut().answered(now, &name, born, rate) {
        return;
    }
    let change = if rate.is_some() { "named" } else { "ended" };
    entry.metrics.limits.with_label_values(&[&request.service_name, change]).inc();
    Line::new("endpoint_limit")
        .with("replica", name)
        .with("born", born)
        .with("request", &request.id)
        .with("a_second", rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()))
        .info();
}

/// The incarnation that an endpoint of the pool stands for; none if another has taken its place. One that the
/// settings name has no other.
fn incarnation(entry: &Entry, name: &str, endpoint: EndpointId) -> Option<u64> {
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

//! Rest that endpoints ask for when they turn a request away.
//!
//! Why: an endpoint that is overloaded says for how long it wants nothing from the box that it has turned away. What is
//! sent there meanwhile costs it work and the caller time, and is turned away as well.
//!
//! Data flow: each refusal's head is read here ([`apply_refusal`]), and the pool keeps the endpoint out of every choice until its
//! rest is over. The rest is between the endpoint and this box, so no other box is told.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::header::RETRY_AFTER;
use vaneway_limit::NumberError;
use vaneway_limit::parse_number;
use vaneway_route::EndpointId;

use crate::core::endpoints::protocol::parse_each;
use crate::core::entry::Entry;
use crate::util::clock;
use crate::util::logline::Line;

/// Longest rest that an endpoint gets: one that asks for more is asked again, or nobody would learn that it is well.
pub const MAX_BACKOFF: Duration = Duration::from_hours(1);

/// Reads the rest that a refusal asks for, in seconds with or without a fraction; none if it asks for nothing. Of
/// several the longest counts, and one over [`MAX_BACKOFF`] becomes that.
///
/// # Errors
///
/// If one of them is no number of seconds. A date is none: it would need clocks that agree.
pub fn read_retry_after(headers: &HeaderMap) -> Result<Option<Duration>, NumberError> {
    let longest = parse_each(headers, &RETRY_AFTER, read_seconds)?.into_iter().max();
    Ok(longest.filter(|rest| !rest.is_zero()))
}

fn read_seconds(text: &str) -> Result<Duration, NumberError> {
    Ok(Duration::from_secs_f64(parse_number(text)?.min(MAX_BACKOFF.as_secs_f64())))
}

/// An endpoint's refusal of a request.
#[derive(Debug, Clone, Copy)]
pub struct Refusal<'a> {
    /// The endpoint that refused it.
    pub endpoint: EndpointId,
    /// Id of the request, for logs.
    pub request: &'a str,
    /// The endpoint's service, for metrics.
    pub service: &'a str,
    /// The answer's status.
    pub status: StatusCode,
    /// The answer's headers.
    pub headers: &'a HeaderMap,
}

/// Learns from a refusal which rest its endpoint wants from this box. Only a 503 speaks of the endpoint as a whole.
pub fn apply_refusal(entry: &Entry, refusal: &Refusal<'_>) {
    if refusal.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    match read_retry_after(refusal.headers) {
        Ok(None) => {}
        Ok(Some(rest)) => {
            entry.pool.borrow_mut().back_off(refusal.endpoint, clock::now() + rest);
            count(entry, refusal, "asked");
            line(entry, "endpoint_asks_rest", refusal).with("rest_ms", rest.as_millis()).info();
        }
        Err(error) => {
            count(entry, refusal, "unreadable");
            line(entry, "endpoint_rest_unreadable", refusal).with("why", error.name()).warn();
        }
    }
}

fn count(entry: &Entry, refusal: &Refusal<'_>, what: &str) {
    entry.metrics.rests.with_label_values(&[refusal.service, what]).inc();
}

fn line(entry: &Entry, event: &str, refusal: &Refusal<'_>) -> Line {
    let pool = entry.pool.borrow();
    Line::new(event)
        .with("replica", &pool.get(refusal.endpoint).spec.name)
        .with("request", refusal.request)
}

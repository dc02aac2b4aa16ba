//! Back-off that endpoints request when they refuse a request.
//!
//! An overloaded endpoint states for how long it wants no requests from the box that it refused.
//! Requests sent there meanwhile would cost the endpoint work and the caller time, and would be
//! refused as well.
//!
//! Data flow: the head of each refusal is read here ([`apply_refusal`]), and the pool doesn't
//! choose the endpoint until the back-off is over. It holds between the endpoint and this box only,
//! so it is not sent to other boxes.

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

/// Longest back-off that is applied. An endpoint that requests more is tried again after it, or
/// nobody would notice that it has recovered.
pub const MAX_BACKOFF: Duration = Duration::from_hours(1);

/// Reads the back-off from a refusal's `Retry-After` headers, in seconds with or without a
/// fraction; none if it requests none. Of several values the longest counts, up to [`MAX_BACKOFF`].
///
/// # Errors
///
/// Fails if a value is not a number of seconds. Dates are not accepted, since they would need
/// synchronised clocks.
pub fn read_retry_after(headers: &HeaderMap) -> Result<Option<Duration>, NumberError> {
    let longest = parse_each(headers, &RETRY_AFTER, read_seconds)?.into_iter().max();
    Ok(longest.filter(|back_off| !back_off.is_zero()))
}

fn read_seconds(text: &str) -> Result<Duration, NumberError> {
    Ok(Duration::from_secs_f64(parse_number(text)?.min(MAX_BACKOFF.as_secs_f64())))
}

/// A response by which an endpoint refuses a request.
#[derive(Debug, Clone, Copy)]
pub struct Refusal<'a> {
    /// The endpoint that refused it.
    pub endpoint: EndpointId,
    /// Id of the request, for logs.
    pub request: &'a str,
    /// The endpoint's service, for metrics.
    pub service: &'a str,
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: &'a HeaderMap,
}

/// Applies the back-off that a refusal requests. Only a 503 applies to the endpoint as a whole.
pub fn apply_refusal(entry: &Entry, refusal: &Refusal<'_>) {
    if refusal.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    match read_retry_after(refusal.headers) {
        Ok(None) => {}
        Ok(Some(back_off)) => {
            entry.pool.borrow_mut().back_off(refusal.endpoint, clock::now() + back_off);
            count(entry, refusal, "asked");
            line(entry, "endpoint_asks_rest", refusal).with("rest_ms", back_off.as_millis()).info();
        }
        Err(error) => {
            count(entry, refusal, "unreadable");
            line(entry, "endpoint_rest_unreadable", refusal).with("why", error.name()).warn();
        }
    }
}

fn count(entry: &Entry, refusal: &Refusal<'_>, kind: &str) {
    entry.metrics.backoffs.with_label_values(&[refusal.service, kind]).inc();
}

fn line(entry: &Entry, event: &str, refusal: &Refusal<'_>) -> Line {
    let pool = entry.pool.borrow();
    Line::new(event)
        .with("replica", &pool.get(refusal.endpoint).spec.name)
        .with("request", refusal.request)
}

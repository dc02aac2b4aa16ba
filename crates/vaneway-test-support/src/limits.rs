//! The request rate that operators accept at an endpoint that advertises a limit.

use std::time::Duration;
use std::time::Instant;

/// Time after which an advertised limit must be kept, also by an entry box that was disturbed.
pub const BINDING_DELAY: Duration = Duration::from_secs(4);

/// Time window over which operators count the requests to such an endpoint.
pub const COUNTING_WINDOW: Duration = Duration::from_secs(4);

/// Multiple of the limit that operators accept.
const TOLERANCE: f64 = 1.5;

/// Requests per window that operators accept on top.
const SLACK: f64 = 5.0;

/// Maximum number of requests in any `COUNTING_WINDOW` at an endpoint that advertises `rate`
/// requests per second.
pub fn max_allowed(rate: f64) -> f64 {
    (TOLERANCE * rate).mul_add(COUNTING_WINDOW.as_secs_f64(), SLACK)
}

/// The greatest number of `arrivals` in any `COUNTING_WINDOW`.
pub fn max_in_window(arrivals: &[Instant]) -> usize {
    let from = |first: &Instant| {
        arrivals.iter().filter(|at| *at >= first && **at < *first + COUNTING_WINDOW).count()
    };
    arrivals.iter().map(from).max().unwrap_or_default()
}

//! What operators allow an endpoint to get that names a limit.

use std::time::Duration;
use std::time::Instant;

/// Time after which a limit that an endpoint names binds, and a box that was disturbed keeps it again.
pub const BINDING_DELAY: Duration = Duration::from_secs(4);

/// Time over which operators count what such an endpoint gets.
pub const COUNTING_WINDOW: Duration = Duration::from_secs(4);

/// How many times a limit operators allow.
const TOLERANCE: f64 = 1.5;

/// Requests beyond that which they allow.
const SLACK: f64 = 5.0;

/// Most requests that an endpoint may get in any `COUNTING_WINDOW` that names `rate` requests a second.
pub fn max_allowed(rate: f64) -> f64 {
    (TOLERANCE * rate).mul_add(COUNTING_WINDOW.as_secs_f64(), SLACK)
}

/// The most of `arrivals` in any `COUNTING_WINDOW`.
pub fn max_in_window(arrivals: &[Instant]) -> usize {
    let from = |first: &Instant| {
        arrivals.iter().filter(|at| *at >= first && **at < *first + COUNTING_WINDOW).count()
    };
    arrivals.iter().map(from).max().unwrap_or_default()
}

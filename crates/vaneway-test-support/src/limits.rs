//! What operators allow an endpoint to get that names a limit.

use std::time::Duration;
use std::time::Instant;

/// Time after which a limit that an endpoint names binds, and a box that was disturbed keeps it again.
pub const BINDS_AFTER: Duration = Duration::from_secs(4);

/// Time over which operators count what such an endpoint gets.
pub const COUNTED_OVER: Duration = Duration::from_secs(4);

/// How many times a limit operators allow.
const TOLERANCE: f64 = 1.5;

/// Requests beyond that which they allow.
const SLACK: f64 = 5.0;

/// Most requests that an endpoint may get in any `COUNTED_OVER` that names `rate` requests a second.
pub fn allowed(rate: f64) -> f64 {
    (TOLERANCE * rate).mul_add(COUNTED_OVER.as_secs_f64(), SLACK)
}

/// The most of `arrivals` in any `COUNTED_OVER`.
pub fn most(arrivals: &[Instant]) -> usize {
    let from = |first: &Instant| {
        arrivals.iter().filter(|at| *at >= first && **at < *first + COUNTED_OVER).count()
    };
    arrivals.iter().map(from).max().unwrap_or_default()
}

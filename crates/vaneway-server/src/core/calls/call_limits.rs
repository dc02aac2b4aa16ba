//! Limits of one call.

use std::time::Duration;
use std::time::Instant;

use vaneway_relay::WaitPolicy;

/// Limits of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Maximum number of attempts that reach an endpoint.
    pub max_attempts: u32,
    /// When the call fails if it isn't complete.
    pub deadline: Instant,
    /// When it waits for an endpoint.
    pub wait_policy: WaitPolicy,
    /// Maximum wait for a response to begin, and for the first event of a stream.
    pub head_timeout: Duration,
    /// Maximum gap between two events of a stream.
    pub gap_timeout: Duration,
}

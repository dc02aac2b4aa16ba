//! What bounds one call.

use std::time::Duration;
use std::time::Instant;

use vaneway_relay::WaitPolicy;

/// Limits of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Most endpoints that it may reach.
    pub max_attempts: u32,
    /// When the caller is given up.
    pub deadline: Instant,
    /// When it waits for an endpoint.
    pub wait_policy: WaitPolicy,
    /// Longest wait for an answer to begin, and for the first event of a stream.
    pub head_within: Duration,
    /// Longest pause between two events of a stream.
    pub pause_within: Duration,
}

//! Calls of the leader to the cloud, and whether this box may make them.
//!
//! Without a valid lease nothing is sent, and a new leader waits until all calls of the previous
//! one must have arrived.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HOST;
use hyper::header::HeaderValue;

use crate::core::control::state::Control;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::settings::CloudSettings;
use crate::util::clock;
use crate::util::logline::Line;

/// Maximum duration of a call. Its connection is then reset, so that nothing of the call can still
/// arrive.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a new leader acts: by then the lease of the previous leader has expired, and any
/// call that it began within its lease has ended.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_600);

/// Maximum size of a response of the cloud in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Whether this box may act for the deployment now.
pub(super) fn holds_duty(control: &Control) -> bool {
    let settled =
        control.leader_since.get().is_some_and(|since| clock::elapsed(since) > TAKEOVER_DELAY);
    settled && control.has_valid_lease() && !control.stopping.get()
}

/// Result of a call to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallResult {
    /// The cloud responded with this status.
    Answered(StatusCode),
    /// No response: the cloud may or may not have processed the call.
    Unknown,
}

impl CallResult {
    /// Whether the cloud accepted the call.
    pub(super) fn is_success(self) -> bool {
        matches!(self, Self::Answered(status) if status.is_success())
    }
}

/// Makes a call to the cloud, with a time-out.
pub(super) async fn call(
    control: &Control,
    cloud: &CloudSettings,
    mut req: EndpointRequest,
) -> CallResult {
    let host = cloud.address.to_string();
    if let Ok(host) = HeaderValue::from_str(&host) {
        req.headers_mut().insert(HOST, host);
    }
    let path = req.uri().path().to_owned();
    let until = clock::now() + CALL_TIMEOUT;
    let (connections, timers) = (&control.connections, &control.timers);
    let exchange = connections.exchange(timers, cloud.address, req, MAX_RESPONSE_BYTES, until);
    match exchange.await {
        Ok((status, _body)) => {
            if !status.is_success() {
                Line::new("cloud_refused").with("path", path).with("status", status).info();
            }
            CallResult::Answered(status)
        }
        Err(error) => {
            Line::new("cloud_call_failed").with("path", path).with("cause", &error.cause).info();
            CallResult::Unknown
        }
    }
}

//! The error format of responses to callers.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::json;
use vaneway_relay::Failure;
use vaneway_relay::FailureKind;
pub use vaneway_relay::RunState;

use crate::util::body::ResponseBody;

/// Header with whether the request was run: `not_run`, `ran` or `unknown`.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("x-vaneway-run");

/// Delay before a retry that is returned to a caller refused for lack of capacity: about the time
/// that endpoints need to complete the requests that occupy them.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay before a retry that is returned to a caller refused because no endpoint is known to accept
/// requests. The suspension of an endpoint after its first failure is shorter than this, and
/// endpoints send heartbeats about every second.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Least value of `Retry-After`, in seconds.
const MIN_RETRY_AFTER_SECONDS: u64 = 1;

/// An error returned to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code for programs.
    pub code: &'static str,
    /// Text for people, which says what to do.
    pub message: String,
    /// Whether the request was run.
    pub run: RunState,
    /// Delay before a retry, where a retry helps.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// An error in the request itself, which was not run.
    pub fn rejected(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), run: RunState::NotRun, retry_after: None }
    }

    /// An invalid request.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::rejected(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// A temporary refusal: the request was not run and may be sent again later.
    pub fn temporarily_refused(code: &'static str, message: impl Into<String>) -> Self {
        let mut error = Self::rejected(StatusCode::SERVICE_UNAVAILABLE, code, message);
        error.retry_after = Some(RETRY_DELAY);
        error
    }

    /// The error for a request that was accepted and failed.
    pub fn failed(failure: Failure) -> Self {
        let (status, message) = match failure.kind {
            FailureKind::NoEndpoint => {
                (StatusCode::SERVICE_UNAVAILABLE, "no endpoint of the service accepts requests now")
            }
            FailureKind::SoftwareGone => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no endpoint of the software version that began this stream accepts requests now",
            ),
            FailureKind::Overloaded => (
                StatusCode::SERVICE_UNAVAILABLE,
                "every endpoint of the service is full or at its rate limit",
            ),
            FailureKind::DeadlineExceeded => {
                (StatusCode::GATEWAY_TIMEOUT, "the request was not completed before its deadline")
            }
            FailureKind::AttemptsExhausted => {
                (StatusCode::BAD_GATEWAY, "all attempts failed, and no more are allowed")
            }
            FailureKind::OutcomeUnknown => (
                StatusCode::BAD_GATEWAY,
                "the call was sent and its response was lost; it may not be repeated, so check \
                 whether it took effect before sending another",
            ),
            FailureKind::CrashesEndpoints => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "endpoints crashed while running this request, so it is not run again; change it, \
                 or ask an operator to release it",
            ),
        };
        let is_final =
            matches!(failure.kind, FailureKind::OutcomeUnknown | FailureKind::CrashesEndpoints);
        let may_retry = failure.run == RunState::NotRun && !is_final;
        let after = if failure.kind == FailureKind::NoEndpoint {
            NO_ENDPOINT_RETRY_DELAY
        } else {
            RETRY_DELAY
        };
        Self {
            status,
            code: failure.kind.code(),
            message: message.to_owned(),
            run: failure.run,
            retry_after: may_retry.then_some(after),
        }
    }

    /// The JSON body of the error.
    pub fn to_json(&self) -> String {
        json!({
            "error": { "code": self.code, "message": self.message, "run": self.run.name() }
        })
        .to_string()
    }

    /// The response with the error.
    pub fn into_response(self) -> Response<ResponseBody> {
        let body = ResponseBody::full(Bytes::from(self.to_json()));
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(RUN_HEADER, HeaderValue::from_static(self.run.name()));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, retry_after_seconds(after).into());
        }
        response
    }
}

/// Returns the value of `Retry-After`, which HTTP defines in whole seconds. A fraction is rounded
/// up, so that the caller doesn't retry before the delay is over.
fn retry_after_seconds(delay: Duration) -> u64 {
    let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
    seconds.max(MIN_RETRY_AFTER_SECONDS)
}

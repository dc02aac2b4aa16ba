//! The one form of error that callers see.

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

/// Header that says whether the request was run: `not_run`, `ran` or `unknown`.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("x-vaneway-run");

/// When a caller that was refused for want of capacity should come back: about the time in which
/// the requests that keep endpoints full are worked off.
const COME_BACK: Duration = Duration::from_secs(1);

/// When a caller should come back that was refused since no endpoint is known to take work: a pause
/// after a failure is shorter than this, and endpoints say about every second that they serve.
const COME_BACK_SOON: Duration = Duration::from_millis(300);

/// An error as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code for programs.
    pub code: &'static str,
    /// Text for people: what to do.
    pub message: String,
    /// Whether the request was run.
    pub run: RunState,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// An error about the request itself, which was not run.
    pub fn rejected(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), run: RunState::NotRun, retry_after: None }
    }

    /// A request in a form that can't be served.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::rejected(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// A refusal for now: the request was not run and may be sent again later.
    pub fn not_now(code: &'static str, message: impl Into<String>) -> Self {
        let mut error = Self::rejected(StatusCode::SERVICE_UNAVAILABLE, code, message);
        error.retry_after = Some(COME_BACK);
        error
    }

    /// The error for a request that was accepted and failed.
    pub fn failed(failure: Failure) -> Self {
        let (status, message) = match failure.kind {
            FailureKind::NoEndpoint => {
                (StatusCode::SERVICE_UNAVAILABLE, "no endpoint of the service takes work now")
            }
            FailureKind::Overloaded => (
                StatusCode::SERVICE_UNAVAILABLE,
                "every endpoint of the service is full, or has got as much as it takes now",
            ),
            FailureKind::DeadlineExceeded => {
                (StatusCode::GATEWAY_TIMEOUT, "the service's deadline passed")
            }
            FailureKind::AttemptsExhausted => {
                (StatusCode::BAD_GATEWAY, "attempts failed and no more are allowed")
            }
            FailureKind::OutcomeUnknown => (
                StatusCode::BAD_GATEWAY,
                "the call was sent and its answer was lost; it may not be repeated, so find out \
                 whether it took effect before sending another",
            ),
            FailureKind::CrashesEndpoints => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "endpoints that ran this request ended under it, so it is run no more; send it in another \
                 form, or ask an operator to release it",
            ),
        };
        let is_final =
            matches!(failure.kind, FailureKind::OutcomeUnknown | FailureKind::CrashesEndpoints);
        let again = failure.run == RunState::NotRun && !is_final;
        let after =
            if failure.kind == FailureKind::NoEndpoint { COME_BACK_SOON } else { COME_BACK };
        Self {
            status,
            code: failure.kind.code(),
            message: message.to_owned(),
            run: failure.run,
            retry_after: again.then_some(after),
        }
    }

    /// The error's JSON text.
    pub fn to_json(&self) -> String {
        json!({
            "error": { "code": self.code, "message": self.message, "run": self.run.name() }
        })
        .to_string()
    }

    /// The error as a response.
    pub fn into_response(self) -> Response<ResponseBody> {
        let body = ResponseBody::full(Bytes::from(self.to_json()));
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(RUN_HEADER, HeaderValue::from_static(self.run.name()));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, after.as_secs().max(1).into());
        }
        response
    }
}

//! The messages between an entry box and the neighbour that it forwards a call through.
//!
//! A call is the body of an HTTP request: a `postcard` frame with everything but the body of the
//! caller's request, and then that body. The response is the endpoint's, with a header that says
//! what became of the attempt.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::AUTHORIZATION;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::response;
use serde::Deserialize;
use serde::Serialize;
use vaneway_quarantine::QuarantineRecord;
use vaneway_registry::SoftwareVersion;
use vaneway_relay::AnswerForm;
use vaneway_relay::FailureKind;
use vaneway_relay::RunState;
use vaneway_relay::WaitPolicy;
use vaneway_route::EndpointSpec;
use vaneway_route::Work;

use crate::core::callers::api_error::ApiError;
use crate::core::calls::call_limits::CallLimits;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::response_owner::REQUEST_ID;
use crate::core::entry::Entry;
use crate::core::quarantine;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::frames;
use crate::util::frames::EncodedFrame;

/// Path of forwarded calls at a neighbour.
const PATH: &str = "/v1/forwarded";

/// Response header with the [`AttemptResult`].
const RESULT_HEADER: HeaderName = HeaderName::from_static("x-vaneway-forwarded");

/// Response header with the software version of the endpoint whose response it is.
const SOFTWARE_HEADER: HeaderName = HeaderName::from_static("x-vaneway-software");

/// What became of a neighbour's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The response is that of an endpoint.
    Answer,
    /// Nothing was run, since endpoints had no room or refused.
    Refused,
    /// The neighbour is cut off from the service as well, or is stopping.
    Unreachable,
    /// Nothing was run, since no endpoint accepts requests of the neighbour at present.
    NoEndpoint,
    /// Nothing was run, since no endpoint is left of the required software version.
    NoneLeft,
    /// An endpoint may have run the call.
    Unknown,
    /// The call is condemned, since endpoints crashed while running it.
    Condemned,
}

impl AttemptResult {
    const ALL: [Self; 7] = [
        Self::Answer,
        Self::Refused,
        Self::Unreachable,
        Self::NoEndpoint,
        Self::NoneLeft,
        Self::Unknown,
        Self::Condemned,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::NoEndpoint => "no_endpoint",
            Self::NoneLeft => "none_left",
            Self::Unknown => "unknown",
            Self::Condemned => "condemned",
        }
    }

    /// The result of an attempt that ended with `error`, at a box that is cut off from the service
    /// or not.
    fn of_error(error: &ApiError, is_cut_off: bool) -> Self {
        if error.code == FailureKind::CrashesEndpoints.code() {
            return Self::Condemned;
        }
        match error.run {
            RunState::NotRun if error.code == FailureKind::NoEndpoint.code() => {
                if is_cut_off {
                    Self::Unreachable
                } else {
                    Self::NoEndpoint
                }
            }
            RunState::NotRun if error.code == FailureKind::SoftwareGone.code() => Self::NoneLeft,
            RunState::NotRun => Self::Refused,
            RunState::Ran | RunState::Unknown => Self::Unknown,
        }
    }

    /// Takes the result from the head of a neighbour's response; unknown if it has none.
    pub fn take(head: &mut response::Parts) -> Self {
        let Some(value) = head.headers.remove(RESULT_HEADER) else { return Self::Unknown };
        let named = Self::ALL.into_iter().find(|result| value == result.name());
        named.unwrap_or(Self::Unknown)
    }

    /// Whether a neighbour's response has this result.
    pub fn is_of(self, response: &Response<ResponseBody>) -> bool {
        response.headers().get(RESULT_HEADER).is_some_and(|value| value == self.name())
    }

    /// Adds the result to a neighbour's response.
    fn add_to(self, response: &mut Response<ResponseBody>) {
        let value = HeaderValue::from_static(self.name());
        response.headers_mut().insert(RESULT_HEADER, value);
    }

    /// A response with this result in place of an endpoint's.
    pub fn into_response(self, body: Bytes) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(body));
        self.add_to(&mut response);
        response
    }
}

/// The response to a forwarded call that ended with `result`. Without an endpoint's response, it has
/// what is recorded against the call, `cases`: the accepting box may hear of a crash later than it
/// retries.
pub fn response(
    result: Result<Response<ResponseBody>, ApiError>,
    is_cut_off: bool,
    cases: impl FnOnce() -> Vec<QuarantineRecord>,
) -> Response<ResponseBody> {
    match result {
        Ok(mut response) => {
            AttemptResult::Answer.add_to(&mut response);
            response
        }
        Err(error) => {
            let mut body = BytesMut::new();
            for case in cases() {
                body.extend_from_slice(EncodedFrame::new(&case).frame());
            }
            AttemptResult::of_error(&error, is_cut_off).into_response(body.freeze())
        }
    }
}

/// Adds the software version of the endpoint to the head of its response.
pub fn add_software(headers: &mut HeaderMap, software: &str) {
    if let Ok(value) = HeaderValue::from_str(software) {
        headers.insert(SOFTWARE_HEADER, value);
    }
}

/// Takes the software version of the endpoint from the head of a neighbour's response.
pub fn take_software(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    let value = headers.remove(SOFTWARE_HEADER)?;
    value.to_str().ok().map(str::to_owned)
}

/// Takes in what a neighbour has recorded against a call, from the body of its response.
pub fn merge_cases(entry: &Entry, mut body: BytesMut) {
    while let Some(case) = frames::take_message::<QuarantineRecord>(&mut body) {
        quarantine::merge(entry, &[case]);
    }
}

/// Where an attempt at a stream goes on.
#[derive(Debug, Clone, Copy)]
pub struct Resumption<'a> {
    /// Number of the last event that the caller has; none if the attempt begins the stream.
    pub after: Option<u32>,
    /// The software version that began the stream, once an event of it was sent.
    pub software: Option<&'a str>,
}

/// A call as it is forwarded, without the body of the caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCall {
    id: String,
    service_name: String,
    organisation: String,
    addressed_to: String,
    method: String,
    path: String,
    /// The caller's headers, without its key.
    headers: Vec<(String, Vec<u8>)>,
    form: AnswerForm,
    repeatable: bool,
    priority: Option<u32>,
    prefix: u64,
    work: Option<Work>,
    resume_after: Option<u32>,
    software: Option<SoftwareVersion>,
    /// What the accepting box has recorded against it.
    cases: Vec<QuarantineRecord>,
    /// Time until the call must be complete.
    time_left: Duration,
    /// Time until the response should begin.
    objective_left: Duration,
    head_timeout: Duration,
    gap_timeout: Duration,
}

impl ForwardedCall {
    /// The call to forward. A stream of tokens, whose state the accepting box moves between
    /// engines, is not forwarded.
    fn new(
        entry: &Entry,
        call: &CallRequest,
        limits: &CallLimits,
        resumption: Resumption<'_>,
    ) -> Self {
        let now = clock::now();
        let left = |at: Instant| at.saturating_duration_since(now);
        let headers = call.headers.iter().filter(|(name, _)| *name != AUTHORIZATION);
        Self {
            id: call.id.clone(),
            service_name: call.service_name.clone(),
            organisation: call.organisation.clone(),
            addressed_to: call.addressed_to.clone(),
            method: call.method.to_string(),
            path: call.path.clone(),
            headers: headers
                .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                .collect(),
            form: call.form,
            repeatable: call.repeatable,
            priority: call.priority,
            prefix: call.prefix,
            work: call.work.clone(),
            resume_after: resumption.after,
            software: resumption.software.map(str::to_owned),
            cases: quarantine::cases_of(entry, call),
            time_left: left(limits.deadline),
            objective_left: match limits.wait_policy {
                WaitPolicy::IfExpectedBy { deadline } => left(deadline),
                WaitPolicy::AtMost(longest) => longest,
            },
            head_timeout: limits.head_timeout,
            gap_timeout: limits.gap_timeout,
        }
    }

    /// The call as this box, the neighbour, handles it; none if a part of it is invalid.
    fn into_call(self, entry: &Entry, body: Bytes) -> Option<(CallRequest, CallLimits)> {
        quarantine::merge(entry, &self.cases);
        let now = clock::now();
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let limits = CallLimits {
            max_attempts: 1,
            deadline: now + self.time_left,
            wait_policy: WaitPolicy::IfExpectedBy { deadline: now + self.objective_left },
            head_timeout: self.head_timeout,
            gap_timeout: self.gap_timeout,
        };
        let request = CallRequest {
            id: self.id,
            service: entry.service_id(&self.service_name),
            service_name: self.service_name,
            organisation: self.organisation,
            addressed_to: self.addressed_to,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            headers,
            body,
            form: self.form,
            repeatable: self.repeatable,
            priority: self.priority,
            work: self.work,
            prefix: self.prefix,
            resume_after: self.resume_after,
            software: self.software,
            stream: None,
            is_forwarded: true,
        };
        Some((request, limits))
    }
}

/// Builds the request that forwards `call` to `neighbour`.
///
/// # Panics
///
/// Never: the parts of the request are valid.
pub fn request(
    entry: &Entry,
    call: &CallRequest,
    limits: &CallLimits,
    neighbour: &EndpointSpec,
    resumption: Resumption<'_>,
) -> EndpointRequest {
    let head = EncodedFrame::new(&ForwardedCall::new(entry, call, limits, resumption));
    let mut body = BytesMut::with_capacity(head.frame().len() + call.body.len());
    body.extend_from_slice(head.frame());
    body.extend_from_slice(&call.body);
    Request::post(PATH)
        .header(HOST, neighbour.address.to_string())
        .header(REQUEST_ID, &call.id)
        .body(Full::new(body.freeze()))
        .expect("the parts of the request are valid")
}

/// Decodes the body of a request that forwards a call; none if it is invalid.
pub fn decode(entry: &Entry, body: Bytes) -> Option<(CallRequest, CallLimits)> {
    let mut body = BytesMut::from(body);
    let head: ForwardedCall = frames::take_message(&mut body)?;
    head.into_call(entry, body.freeze())
}

//! Builds requests to endpoints and interprets their responses.
//!
//! Why a trait: the handling of a request does not depend on the protocol of its endpoint. Only the
//! headers differ, and the way in which an endpoint reports that it did not run a request.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::http::request::Builder;
use hyper::http::response;
use vaneway_limit::NumberError;
use vaneway_limit::Rate;
use vaneway_origins::StreamKey;
use vaneway_registry::SoftwareVersion;
use vaneway_relay::AnswerForm;
use vaneway_relay::RunState;
use vaneway_route::EndpointSpec;
use vaneway_route::ServiceId;
use vaneway_route::Work;

use crate::core::callers::api_error::RUN_HEADER;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::endpoints::response_owner::REQUEST_ID;
use crate::core::endpoints::response_owner::ResponseOwner;

/// Response header in which an endpoint advertises how many requests per second it accepts from all
/// entry boxes together. The limit is in force until a response no longer has the header.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-vaneway-limit");

/// Response header in which an endpoint states how many refusals a second make it fail.
pub const MAX_REFUSALS_HEADER: HeaderName = HeaderName::from_static("x-vaneway-max-refusals");

/// Response header in which an endpoint announces that it is leaving, with the value `1`.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-vaneway-leaving");

/// Headers that apply to a single connection and are not forwarded.
pub const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// A validated request from a caller to a service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The request's id.
    pub id: String,
    /// The service that must respond.
    pub service: ServiceId,
    /// The service's name, for logs and metrics.
    pub service_name: String,
    /// The organisation that sent it; empty where callers need no key.
    pub organisation: String,
    /// The host or service to which the caller addressed the request. It stays the same when routes
    /// move to other services.
    pub addressed_to: String,
    /// The method.
    pub method: Method,
    /// Path and query as sent to the endpoint.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The form of its response.
    pub form: AnswerForm,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its priority at the engine, 0 being the highest, if it has one.
    pub priority: Option<u32>,
    /// Its estimated cost to an endpoint, if it is a request to a model.
    pub work: Option<Work>,
    /// Hash of the prompt's shared beginning; 0 if there is none.
    pub prefix: u64,
    /// Number of the event after which another box resumes the stream; none if it begins here.
    pub resume_after: Option<u32>,
    /// The software version that began the stream, if the request continues one. No other may
    /// respond: what two versions write does not fit together.
    pub software: Option<SoftwareVersion>,
    /// The stream to which its response belongs, if it may be resumed.
    pub stream: Option<StreamKey>,
    /// Whether another entry box accepted it and forwards it through this one. That box counts it
    /// and decides on retries.
    pub is_forwarded: bool,
}

/// Parameters of one attempt at a request.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'a> {
    /// The endpoint that gets the request.
    pub endpoint: &'a EndpointSpec,
    /// Time that the endpoint may use.
    pub time_left: Duration,
    /// Number of the last event that the caller has received, if a stream is resumed.
    pub resume_after: Option<u32>,
}

/// Meaning of the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It is the head of the response to this request.
    Answer,
    /// The endpoint did not run the request.
    Refused,
    /// Another endpoint has the address now; it did not run the request.
    Replaced,
    /// It is not a response to this request, or may be one to another.
    Mismatched,
}

/// A protocol between entry boxes and endpoints.
pub trait EndpointProtocol: 'static {
    /// Builds the request to send to the endpoint.
    fn request(&self, call: &CallRequest, dispatch: Dispatch<'_>) -> EndpointRequest;

    /// Determines the meaning of the head of a response that belongs to `owner`.
    fn classify(
        &self,
        call: &CallRequest,
        head: &response::Parts,
        owner: ResponseOwner,
    ) -> ResponseKind;

    /// Parses the limit that the head of a response advertises, if any.
    ///
    /// # Errors
    ///
    /// If the limit is not a valid number.
    fn advertised_limit(&self, headers: &HeaderMap) -> Result<Option<Rate>, NumberError>;

    /// Parses how many refusals a second make the endpoint fail, if the head of a response states
    /// that.
    ///
    /// # Errors
    ///
    /// If it is not a valid number.
    fn max_refusals(&self, headers: &HeaderMap) -> Result<Option<Rate>, NumberError>;

    /// Whether the head of a response announces that its endpoint is leaving.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Prepares the headers of a response for the caller.
    fn prepare_headers(&self, headers: &mut HeaderMap);
}

/// Parses a limit from the header `name`. Of several values, the lowest applies.
///
/// # Errors
///
/// If one of the values is not a valid number.
pub fn parse_limit(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Rate>, NumberError> {
    Ok(parse_each(headers, name, str::parse)?.into_iter().min())
}

/// Parses all values of the headers `name`, each of which may contain several separated by commas.
///
/// # Errors
///
/// If one of the values can't be parsed.
pub fn parse_each<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    parse: fn(&str) -> Result<T, NumberError>,
) -> Result<Vec<T>, NumberError> {
    let mut all = Vec::new();
    for value in headers.get_all(name) {
        let text = value.to_str().ok().ok_or(NumberError::NotANumber)?;
        for part in text.split(',') {
            all.push(parse(part)?);
        }
    }
    Ok(all)
}

/// Whether the header `name` has the value `1`.
pub fn has_flag(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get_all(name).iter().any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Copies the headers to forward: all but those of one connection and those in `own`, which this
/// box sets itself.
pub fn copy_headers(builder: Builder, headers: &HeaderMap, own: &[HeaderName]) -> Builder {
    let connection_headers: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &&HeaderName| {
        !own.iter().any(|own| is_same_name(own, name))
            && !HOP_HEADERS.contains(name)
            && !connection_headers.iter().any(|listed| listed == name.as_str())
    };
    let add = |builder: Builder, name| {
        let values = headers.get_all(name).iter();
        values.fold(builder, |builder, value| builder.header(name, value))
    };
    headers.keys().filter(is_forwarded).fold(builder, add)
}

/// Whether a server may treat two names as the same header: some read an underscore as a hyphen.
fn is_same_name(a: &HeaderName, b: &HeaderName) -> bool {
    let folded = |name: &HeaderName| name.as_str().replace('_', "-");
    a == b || (b.as_str().contains('_') && folded(a) == folded(b))
}

/// Removes the headers of one connection from a response.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// The native protocol for plain services.
#[derive(Debug, Clone)]
pub struct PlainEndpoints {
    /// Header by which an endpoint reports that it did not run a request to which it responds 503.
    pub not_run_header: Option<String>,
}

impl EndpointProtocol for PlainEndpoints {
    fn request(&self, call: &CallRequest, dispatch: Dispatch<'_>) -> EndpointRequest {
        let builder = Request::builder().method(call.method.clone()).uri(&call.path);
        copy_headers(builder, &call.headers, &[HOST, AUTHORIZATION])
            .header(HOST, dispatch.endpoint.address.to_string())
            .header(REQUEST_ID, &call.id)
            .header("x-organisation", &call.organisation)
            .body(Full::new(call.body.clone()))
            .expect("the parts of the request are valid")
    }

    fn classify(
        &self,
        call: &CallRequest,
        head: &response::Parts,
        owner: ResponseOwner,
    ) -> ResponseKind {
        let not_run = self.not_run_header.as_ref();
        let not_run = not_run.is_some_and(|name| head.headers.contains_key(name));
        let is_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE && not_run;
        match owner {
            ResponseOwner::Earlier => ResponseKind::Mismatched,
            ResponseOwner::Unknown if is_refusal && !call.repeatable => ResponseKind::Mismatched,
            _ if is_refusal => ResponseKind::Refused,
            _ => ResponseKind::Answer,
        }
    }

    fn advertised_limit(&self, headers: &HeaderMap) -> Result<Option<Rate>, NumberError> {
        parse_limit(headers, &LIMIT_HEADER)
    }

    fn max_refusals(&self, headers: &HeaderMap) -> Result<Option<Rate>, NumberError> {
        parse_limit(headers, &MAX_REFUSALS_HEADER)
    }

    fn is_leaving(&self, headers: &HeaderMap) -> bool {
        has_flag(headers, &LEAVING_HEADER)
    }

    fn prepare_headers(&self, headers: &mut HeaderMap) {
        remove_hop_headers(headers);
        headers.insert(RUN_HEADER, HeaderValue::from_static(RunState::Ran.name()));
    }
}

//! How requests are put to endpoints and what their answers mean.
//!
//! Why a trait: the decisions over a request are the same whatever its endpoint speaks. What
//! differs are the headers, and how an endpoint says that it did not run a request.

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
use vaneway_relay::AnswerForm;
use vaneway_relay::RunState;
use vaneway_route::EndpointSpec;
use vaneway_route::ServiceId;
use vaneway_route::Work;

use crate::core::callers::api_error::RUN_HEADER;
use crate::core::endpoints::link::EndpointRequest;

/// Header of an answer in which an endpoint names the requests a second that it takes from all entry boxes together, for as
/// long as it says so.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-vaneway-limit");

/// Header of an answer in which an endpoint says that it leaves: `1`.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-vaneway-leaving");

/// Headers that belong to one connection and do not pass through.
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

/// A checked request to a service, as the caller sent it.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Its id.
    pub id: String,
    /// The service that must answer.
    pub service: ServiceId,
    /// The service's name, for logs and metrics.
    pub service_name: String,
    /// The organisation that sent it; empty where callers need no key.
    pub organisation: String,
    /// The host or the service that the caller named, which stays the same while routes move to other services.
    pub addressed_to: String,
    /// The method.
    pub method: Method,
    /// Path and query as the endpoint gets them.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What its answer looks like.
    pub form: AnswerForm,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its rank at the engine, 0 first, if it has one.
    pub priority: Option<u32>,
    /// What it will cost an endpoint, if it is for a model.
    pub work: Option<Work>,
    /// Hash of the prompt's shared beginning; 0 if there is none.
    pub prefix: u64,
}

/// One sending of a request.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'a> {
    /// Where to.
    pub endpoint: &'a EndpointSpec,
    /// Time that the endpoint may use.
    pub time_left: Duration,
    /// Number of the last event that the caller has, if a stream goes on.
    pub resume_after: Option<u32>,
}

/// What the head of an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It begins the answer to this request.
    Answer,
    /// The endpoint did not run the request.
    Refused,
    /// Another endpoint has the address now; it did not run the request.
    Replaced,
    /// It is no answer to this request.
    Mismatched,
}

/// What endpoints speak.
pub trait EndpointProtocol: 'static {
    /// The request as the endpoint gets it.
    fn request(&self, call: &CallRequest, dispatch: Dispatch<'_>) -> EndpointRequest;

    /// What the head of an answer means.
    fn classify(&self, call: &CallRequest, head: &response::Parts) -> ResponseKind;

    /// Requests a second that the endpoint takes from all entry boxes together, if the head of an answer names that.
    fn advertised_limit(&self, headers: &HeaderMap) -> Result<Option<Rate>, NumberError>;

    /// Whether the head of an answer says that its endpoint leaves.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Prepares the headers of an answer for the caller.
    fn prepare_headers(&self, headers: &mut HeaderMap);
}

/// Reads a limit from the header `name`. Of several the lowest counts; if one of them can't be read, none does.
pub fn parse_limit(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Rate>, NumberError> {
    Ok(parse_each(headers, name, str::parse)?.into_iter().min())
}

/// Reads all that the headers `name` hold, each of which may hold several with commas between them.
///
/// # Errors
///
/// If one of them can't be read.
pub fn parse_each<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    read: fn(&str) -> Result<T, NumberError>,
) -> Result<Vec<T>, NumberError> {
    let mut all = Vec::new();
    for value in headers.get_all(name) {
        let text = value.to_str().ok().ok_or(NumberError::NotANumber)?;
        for part in text.split(',') {
            all.push(read(part)?);
        }
    }
    Ok(all)
}

/// Whether the header `name` says yes: `1`.
pub fn has_flag(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get_all(name).iter().any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Copies the headers that pass through: all but those of one connection and those in `own`,
/// which this box sets itself.
pub fn copy_headers(builder: Builder, headers: &HeaderMap, own: &[HeaderName]) -> Builder {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let passes = |name: &&HeaderName| {
        !own.iter().any(|own| is_same_name(own, name))
            && !HOP_HEADERS.contains(name)
            && !named.iter().any(|listed| listed == name.as_str())
    };
    let add = |builder: Builder, name| {
        let values = headers.get_all(name).iter();
        values.fold(builder, |builder, value| builder.header(name, value))
    };
    headers.keys().filter(passes).fold(builder, add)
}

/// Whether two names may be taken for the same header: some servers read an underscore as a hyphen.
fn is_same_name(a: &HeaderName, b: &HeaderName) -> bool {
    let folded = |name: &HeaderName| name.as_str().replace('_', "-");
    a == b || (b.as_str().contains('_') && folded(a) == folded(b))
}

/// Takes the headers of one connection out of an answer.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// The product's own way to speak to plain services.
#[derive(Debug, Clone)]
pub struct PlainEndpoints {
    /// Header with which an endpoint says that it did not run a call it answers with 503.
    pub not_run_header: Option<String>,
}

impl EndpointProtocol for PlainEndpoints {
    fn request(&self, call: &CallRequest, dispatch: Dispatch<'_>) -> EndpointRequest {
        let builder = Request::builder().method(call.method.clone()).uri(&call.path);
        copy_headers(builder, &call.headers, &[HOST, AUTHORIZATION])
            .header(HOST, dispatch.endpoint.address.to_string())
            .header("x-request-id", &call.id)
            .header("x-organisation", &call.organisation)
            .body(Full::new(call.body.clone()))
            .expect("the parts of the request are valid")
    }

    fn classify(&self, _call: &CallRequest, head: &response::Parts) -> ResponseKind {
        let not_run = self.not_run_header.as_ref();
        let not_run = not_run.is_some_and(|name| head.headers.contains_key(name));
        if head.status == StatusCode::SERVICE_UNAVAILABLE && not_run {
            ResponseKind::Refused
        } else {
            ResponseKind::Answer
        }
    }

    fn advertised_limit(&self, headers: &HeaderMap) -> Result<Option<Rate>, NumberError> {
        parse_limit(headers, &LIMIT_HEADER)
    }

    fn is_leaving(&self, headers: &HeaderMap) -> bool {
        has_flag(headers, &LEAVING_HEADER)
    }

    fn prepare_headers(&self, headers: &mut HeaderMap) {
        remove_hop_headers(headers);
        headers.insert(RUN_HEADER, HeaderValue::from_static(RunState::Ran.name()));
    }
}

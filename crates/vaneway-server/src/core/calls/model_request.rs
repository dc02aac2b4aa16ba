//! The body of a request to a model: what it asks for, and what engines are sent for it.
//!
//! [`read`] checks the body and finds the service. Engines are always asked for a stream; a response
//! in one piece is put together from it.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use vaneway_relay::AttemptId;
use vaneway_relay::Start;

use crate::core::callers::answer::Interface;
use crate::core::callers::api_error::ApiError;
use crate::core::calls::events::LAST_EVENT_ID;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::endpoints::response_owner::REQUEST_ID;
use crate::core::entry::Entry;
use crate::util::hash;

/// Bytes of a prompt per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Number of leading bytes of a prompt that routing by prefix hashes.
const HASHED_PREFIX_BYTES: usize = 1_024;

/// Tokens assumed for the response to a request without a maximum.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// A checked request to a model.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Index of the service in the settings.
    pub service: usize,
    /// The interface over which it came.
    pub interface: Interface,
    /// Whether the caller wants the response as a stream.
    pub stream: bool,
    /// Whether the response is to contain the numbers of tokens.
    pub wants_usage: bool,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response in tokens.
    pub max_tokens: u32,
    /// The maximum that the request states.
    pub stated_tokens: Option<u32>,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
    /// The body sent to engines, always with streaming turned on.
    body: Bytes,
}

#[derive(Deserialize)]
struct RequestView<'a> {
    model: Option<String>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Parses and checks the body of a request to a model.
///
/// # Errors
///
/// An [`ApiError`] that says what to send instead.
pub fn read(entry: &Entry, interface: Interface, body: Bytes) -> Result<ModelRequest, ApiError> {
    let view: RequestView<'_> = serde_json::from_slice(&body)
        .map_err(|error| ApiError::bad_request(format!("invalid request body: {error}")))?;
    let model = view
        .model
        .ok_or_else(|| ApiError::bad_request("the body must have a `model`, see /v1/models"))?;
    let service = entry.settings.service_of_model(&model).ok_or_else(|| {
        let message = format!("no service provides the model `{model}`, see /v1/models");
        ApiError::rejected(StatusCode::NOT_FOUND, "unknown_model", message)
    })?;
    let prompt = match interface {
        Interface::Chat => view.messages.ok_or("`messages`"),
        Interface::Text => view.prompt.ok_or("a `prompt`"),
    };
    let prompt =
        prompt.map_err(|name| ApiError::bad_request(format!("the body must have {name}")))?.get();
    if view.n.is_some_and(|n| n != 1) {
        return Err(ApiError::bad_request(
            "only one choice per request is supported; leave out `n`",
        ));
    }
    let hashed_prefix = &prompt.as_bytes()[..prompt.len().min(HASHED_PREFIX_BYTES)];
    let max_tokens = view.max_completion_tokens.or(view.max_tokens);
    let mut request = ModelRequest {
        service,
        interface,
        stream: view.stream,
        wants_usage: !view.stream || view.stream_options.is_some_and(|o| o.include_usage),
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
        max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        stated_tokens: max_tokens,
        prefix: hash::of(hashed_prefix),
        body: Bytes::new(),
    };
    request.body = if view.stream { body } else { with_streaming(&body)? };
    Ok(request)
}

fn parse_object(body: &[u8]) -> Result<Map<String, Value>, ApiError> {
    let parsed = serde_json::from_slice(body);
    parsed
        .map_err(|error| ApiError::bad_request(format!("the body must be a JSON object: {error}")))
}

/// The body with streaming turned on, for callers that want the response in one piece.
fn with_streaming(body: &[u8]) -> Result<Bytes, ApiError> {
    let mut map = parse_object(body)?;
    map.insert("stream".to_owned(), true.into());
    map.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    Ok(Bytes::from(Value::Object(map).to_string()))
}

impl ModelRequest {
    /// The HTTP request to an engine, for an attempt that begins as `how` says; `text` is what the
    /// caller has of the response.
    pub(super) fn to_engine_request(
        &self,
        id: &str,
        attempt: AttemptId,
        how: Start,
        text: &str,
    ) -> EndpointRequest {
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(self.interface.path())
            .header("content-type", "application/json")
            .header(REQUEST_ID, id)
            .header("x-attempt", attempt);
        let mut body = self.body.clone();
        match how {
            Start::Fresh => {}
            Start::Resume { after } => builder = builder.header(LAST_EVENT_ID, after),
            Start::Continue { after } => body = self.with_continuation(after, text),
        }
        builder.body(Full::new(body)).expect("the parts of the request are valid")
    }

    /// The body with the part of the response that the caller has.
    fn with_continuation(&self, after: u32, text: &str) -> Bytes {
        let Ok(mut map) = parse_object(&self.body) else { return self.body.clone() };
        map.insert("continuation".to_owned(), json!({ "tokens": after, "text": text }));
        Bytes::from(Value::Object(map).to_string())
    }

    /// Estimated length of the prompt and the response together, in tokens.
    pub(super) fn expected_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_tokens)
    }
}

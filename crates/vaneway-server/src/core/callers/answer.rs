//! The caller's side of one request to a model: builds the response from chunks.
//!
//! A streaming caller gets each chunk as a server-sent event. Any other caller gets one JSON object
//! that is assembled from the same chunks, so that both survive the loss of an endpoint in the same
//! way. Until the first chunk the status is not sent, and a failure becomes an error response;
//! after it, a failure becomes an error event followed by a truncated body.

use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_channel::oneshot;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use vaneway_relay::Chunk;

use crate::core::callers::api_error::ApiError;
use crate::util::body::ResponseBody;
use crate::util::outbox::Outbox;
use crate::util::outbox::QueueLimits;
use crate::util::outbox::outbox_within;

/// Receives the response once its status is known.
pub type ReplyReceiver = oneshot::Receiver<Response<ResponseBody>>;

/// The API that the caller used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Interface {
    /// The path, which is the same at the entry box and at the engines.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

#[derive(Debug, Default)]
struct CollectedChunks {
    first: Option<String>,
    finish: Option<String>,
    usage: Option<String>,
}

#[derive(Debug)]
enum ResponseForm {
    Stream { queue: QueueLimits, outbox: Option<Outbox> },
    Buffered { interface: Interface, collected: CollectedChunks },
}

/// The response to one caller while it is produced.
#[derive(Debug)]
pub struct CallerResponse {
    reply: Option<oneshot::Sender<Response<ResponseBody>>>,
    form: ResponseForm,
}

impl CallerResponse {
    /// A streamed response that buffers as much for a slow caller as `queue` allows.
    pub fn stream(queue: QueueLimits) -> (Self, ReplyReceiver) {
        Self::with(ResponseForm::Stream { queue, outbox: None })
    }

    /// A response in one piece.
    pub fn buffered(interface: Interface) -> (Self, ReplyReceiver) {
        Self::with(ResponseForm::Buffered { interface, collected: CollectedChunks::default() })
    }

    fn with(form: ResponseForm) -> (Self, ReplyReceiver) {
        let (tx, rx) = oneshot::channel();
        (Self { reply: Some(tx), form }, rx)
    }

    /// Ready once the caller has disconnected.
    pub fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match (&mut self.reply, &self.form) {
            (Some(reply), _) => reply.poll_canceled(cx),
            (None, ResponseForm::Stream { outbox: Some(outbox), .. }) => outbox.poll_closed(cx),
            (None, _) => Poll::Pending,
        }
    }

    /// Ready while the buffer for the caller has capacity.
    pub fn poll_capacity(&self, cx: &mut Context<'_>) -> Poll<()> {
        match &self.form {
            ResponseForm::Stream { outbox: Some(outbox), .. } => outbox.poll_capacity(cx),
            _ => Poll::Ready(()),
        }
    }

    /// Adds the next chunk.
    pub fn chunk(&mut self, chunk: Chunk) {
        match &mut self.form {
            ResponseForm::Stream { .. } => self.send_event(&chunk.data),
            ResponseForm::Buffered { collected, .. } => {
                if chunk.usage_only {
                    collected.usage = Some(chunk.data);
                } else if chunk.finishes {
                    collected.finish = Some(chunk.data);
                } else {
                    collected.first.get_or_insert(chunk.data);
                }
            }
        }
    }

    /// Completes the response; `text` is its complete text.
    pub fn complete(mut self, text: &str) {
        match &mut self.form {
            ResponseForm::Stream { .. } => {
                self.send_event("[DONE]");
                if let Some(outbox) = self.take_outbox() {
                    outbox.finish();
                }
            }
            ResponseForm::Buffered { interface, collected } => {
                let body = assemble(*interface, collected, text).to_string();
                self.respond(json_response(StatusCode::OK, Bytes::from(body)));
            }
        }
    }

    /// Ends with a response of the endpoint.
    pub fn forward(mut self, status: StatusCode, body: Bytes) {
        self.respond(json_response(status, body));
    }

    /// Ends with an error.
    pub fn fail(mut self, error: ApiError) {
        if self.reply.is_some() {
            self.respond(error.into_response());
            return;
        }
        // The outbox is dropped unfinished, which truncates the body.
        if let Some(outbox) = self.take_outbox() {
            push_event(&outbox, &error.to_json());
        }
    }

    fn take_outbox(&mut self) -> Option<Outbox> {
        match &mut self.form {
            ResponseForm::Stream { outbox, .. } => outbox.take(),
            ResponseForm::Buffered { .. } => None,
        }
    }

    fn respond(&mut self, response: Response<ResponseBody>) {
        if let Some(reply) = self.reply.take() {
            // A caller that disconnected needs no response.
            let _gone = reply.send(response);
        }
    }

    fn send_event(&mut self, data: &str) {
        if let ResponseForm::Stream { queue, outbox: slot @ None } = &mut self.form {
            let (outbox, body) = outbox_within(queue);
            *slot = Some(outbox);
            self.respond(event_stream(ResponseBody::Streamed(body)));
        }
        if let ResponseForm::Stream { outbox: Some(outbox), .. } = &self.form {
            push_event(outbox, data);
        }
    }
}

fn push_event(outbox: &Outbox, data: &str) {
    outbox.push(b"data: ");
    outbox.push(data.as_bytes());
    outbox.push(b"\n\n");
}

fn event_stream(body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn object(data: Option<&String>) -> Map<String, Value> {
    match data.map(|data| serde_json::from_str(data)) {
        Some(Ok(Value::Object(map))) => map,
        _ => Map::new(),
    }
}

/// Assembles a response in one piece from its chunks.
fn assemble(interface: Interface, collected: &CollectedChunks, text: &str) -> Value {
    let finish = object(collected.finish.as_ref());
    let first = object(collected.first.as_ref().or(collected.finish.as_ref()));
    let usage = object(collected.usage.as_ref().or(collected.finish.as_ref()));
    let reason = finish.get("choices").and_then(|c| c.get(0)).and_then(|c| c.get("finish_reason"));
    let reason = reason.cloned().unwrap_or_default();
    let (kind, choice) = match interface {
        Interface::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason
            }),
        ),
        Interface::Text => {
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": reason }))
        }
    };
    let mut response = Map::new();
    response.insert("id".to_owned(), first.get("id").cloned().unwrap_or_default());
    response.insert("object".to_owned(), kind.into());
    for name in ["created", "model"] {
        response.insert(name.to_owned(), first.get(name).cloned().unwrap_or_default());
    }
    response.insert("choices".to_owned(), Value::Array(vec![choice]));
    if let Some(usage) = usage.get("usage").filter(|usage| usage.is_object()) {
        response.insert("usage".to_owned(), usage.clone());
    }
    Value::Object(response)
}

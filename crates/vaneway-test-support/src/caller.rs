//! A caller, as tests use it: each call on a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use serde_json::Value;
use serde_json::json;
use vaneway_server::util::socket;

/// A caller of one entry with one organisation's token.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    token: String,
    host: String,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the header that says whether the request was run.
    pub run: Option<String>,
    /// Value of `Retry-After`.
    pub retry_after: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether the body ended as it should.
    pub complete: bool,
}

impl ReceivedResponse {
    /// The body as JSON.
    ///
    /// # Panics
    ///
    /// If the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| {
            panic!("{error}: {}", String::from_utf8_lossy(&self.body));
        })
    }

    /// The error's code, if the body is an error.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// The text of a streamed answer.
    pub fn streamed_text(&self) -> String {
        let body = String::from_utf8_lossy(&self.body);
        let chunks = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks = chunks.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        let text = |chunk: Value| {
            let choice = &chunk["choices"][0];
            let text = choice["delta"]["content"].as_str().or(choice["text"].as_str());
            text.unwrap_or_default().to_owned()
        };
        chunks.map(text).collect()
    }
}

/// An answer that arrives.
#[derive(Debug)]
pub struct OpenResponse {
    response: Response<Incoming>,
    received: Vec<u8>,
    complete: Option<bool>,
}

impl Caller {
    /// A caller of the entry at `address`.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Self { address, token: token.to_owned(), host: address.to_string() }
    }

    /// The same caller, naming another host.
    #[must_use]
    pub fn with_host(mut self, host: &str) -> Self {
        host.clone_into(&mut self.host);
        self
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Panics
    ///
    /// If the entry can't be reached or breaks the connection.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> OpenResponse {
        self.try_open(method, path, headers, body).await.expect("an answer")
    }

    /// Sends a request and reads the whole answer; none if the entry dies meanwhile.
    pub async fn try_send_with(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<ReceivedResponse> {
        let answer = self.try_open(method, path, headers, body.to_owned()).await?.finish().await;
        answer.complete.then_some(answer)
    }

    async fn try_open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<OpenResponse> {
        let stream = socket::connect(self.address).await.ok()?;
        let (mut tx, connection) = http1::handshake(stream).await.ok()?;
        compio::runtime::spawn(async move {
            // A connection that breaks is part of the tests.
            let _broken = connection.await;
        })
        .detach();
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.host)
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req = builder.body(Full::new(Bytes::from(body))).expect("a valid request");
        let response = tx.send_request(req).await.ok()?;
        Some(OpenResponse { response, received: Vec::new(), complete: None })
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&self, method: Method, path: &str, body: &str) -> ReceivedResponse {
        self.send_with(method, path, &[], body).await
    }

    /// Sends a request with headers and reads the whole answer.
    pub async fn send_with(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ReceivedResponse {
        self.open(method, path, headers, body.to_owned()).await.finish().await
    }

    /// Asks for a chat answer in one piece.
    pub async fn chat(&self, model: &str, prompt: &str, tokens: u32) -> ReceivedResponse {
        self.send(Method::POST, "/v1/chat/completions", &chat(model, prompt, tokens, false)).await
    }

    /// Asks for a streamed chat answer.
    pub async fn stream(&self, model: &str, prompt: &str, tokens: u32) -> OpenResponse {
        let body = chat(model, prompt, tokens, true);
        self.open(Method::POST, "/v1/chat/completions", &[], body).await
    }
}

/// The body of a chat request.
pub fn chat(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
}

impl OpenResponse {
    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// A header of the answer.
    pub fn header(&self, name: &str) -> Option<String> {
        let value = self.response.headers().get(name);
        value.and_then(|value| value.to_str().ok()).map(str::to_owned)
    }

    /// The body, to be read by other means than this type's.
    pub fn body_mut(&mut self) -> &mut Incoming {
        self.response.body_mut()
    }

    /// Reads until `count` events of the stream have arrived, or all of it.
    pub async fn events(&mut self, count: usize) {
        while self.complete.is_none() && self.event_count() < count {
            self.more().await;
        }
    }

    fn event_count(&self) -> usize {
        self.received.windows(2).filter(|pair| pair == b"\n\n").count()
    }

    async fn more(&mut self) {
        match self.response.body_mut().into_data_stream().next().await {
            Some(Ok(data)) => self.received.extend_from_slice(&data),
            Some(Err(_)) => self.complete = Some(false),
            None => self.complete = Some(true),
        }
    }

    /// Reads the rest.
    pub async fn finish(mut self) -> ReceivedResponse {
        while self.complete.is_none() {
            self.more().await;
        }
        ReceivedResponse {
            status: self.status(),
            run: self.header("x-vaneway-run"),
            retry_after: self.header("retry-after"),
            complete: self.complete == Some(true),
            body: Bytes::from(self.received),
        }
    }
}

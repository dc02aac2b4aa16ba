//! An HTTP client for tests that opens a new connection for each request.

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

/// A client of one entry box with one organisation's token.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    token: String,
    /// Value of the `Host` header.
    host: String,
}

/// A response read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `x-vaneway-run`, which states whether the request was run.
    pub run: Option<String>,
    /// Value of `Retry-After`.
    pub retry_after: Option<String>,
    /// The body, as far as it was received.
    pub body: Bytes,
    /// Whether the body ended as HTTP frames it; false if the connection broke before.
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

    /// The error code in the body; empty if the body is JSON without one.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// The concatenated text of a streamed response.
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

/// A response whose head has arrived and whose body is still being read.
#[derive(Debug)]
pub struct OpenResponse {
    response: Response<Incoming>,
    /// Bytes of the body read so far.
    received: Vec<u8>,
    /// Whether the body is complete; none until it has ended.
    complete: Option<bool>,
}

impl Caller {
    /// A client of the entry box at `address`, which is also the `Host` header.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Self { address, token: token.to_owned(), host: address.to_string() }
    }

    /// Sets the `Host` header.
    #[must_use]
    pub fn with_host(mut self, host: &str) -> Self {
        host.clone_into(&mut self.host);
        self
    }

    /// Sends a request and returns once the head of the response has arrived.
    ///
    /// # Panics
    ///
    /// If the entry box can't be reached or closes the connection before the response's head.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> OpenResponse {
        self.try_open(method, path, headers, body).await.expect("a response")
    }

    /// Sends a request and reads the complete response; none if it can't be sent or the connection
    /// breaks before the response is complete.
    pub async fn try_send_with(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<ReceivedResponse> {
        let response = self.try_open(method, path, headers, body.to_owned()).await?.finish().await;
        response.complete.then_some(response)
    }

    /// Sends a request and returns once the head of the response has arrived; none if the entry box
    /// can't be reached or closes the connection before.
    ///
    /// # Panics
    ///
    /// If the path or a header is not valid.
    pub async fn try_open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<OpenResponse> {
        let stream = socket::connect(self.address).await.ok()?;
        let (mut tx, connection) = http1::handshake(stream).await.ok()?;
        compio::runtime::spawn(async move {
            // Tests break connections on purpose.
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

    /// Sends a request and reads the response to its end.
    pub async fn send(&self, method: Method, path: &str, body: &str) -> ReceivedResponse {
        self.send_with(method, path, &[], body).await
    }

    /// Sends a request with headers and reads the response to its end.
    pub async fn send_with(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ReceivedResponse {
        self.open(method, path, headers, body.to_owned()).await.finish().await
    }

    /// Requests a chat completion without streaming.
    pub async fn chat(&self, model: &str, prompt: &str, tokens: u32) -> ReceivedResponse {
        self.send(Method::POST, "/v1/chat/completions", &chat(model, prompt, tokens, false)).await
    }

    /// Requests a streamed chat completion.
    pub async fn stream(&self, model: &str, prompt: &str, tokens: u32) -> OpenResponse {
        let body = chat(model, prompt, tokens, true);
        self.open(Method::POST, "/v1/chat/completions", &[], body).await
    }
}

/// The JSON body of a chat completion request.
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

    /// A header of the response; none if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<String> {
        let value = self.response.headers().get(name);
        value.and_then(|value| value.to_str().ok()).map(str::to_owned)
    }

    /// The body, for tests that read it directly. Bytes read here are missing in
    /// [`Self::events`] and [`Self::finish`].
    pub fn body_mut(&mut self) -> &mut Incoming {
        self.response.body_mut()
    }

    /// The bytes of the body that were read by [`Self::events`].
    pub fn received(&self) -> &[u8] {
        &self.received
    }

    /// Whether the body is complete; none until it has ended.
    pub fn is_complete(&self) -> Option<bool> {
        self.complete
    }

    /// Reads until `count` events of the stream have arrived since its start, or the stream ends.
    pub async fn events(&mut self, count: usize) {
        while self.complete.is_none() && self.event_count() < count {
            self.read_chunk().await;
        }
    }

    fn event_count(&self) -> usize {
        self.received.windows(2).filter(|pair| pair == b"\n\n").count()
    }

    async fn read_chunk(&mut self) {
        match self.response.body_mut().into_data_stream().next().await {
            Some(Ok(data)) => self.received.extend_from_slice(&data),
            Some(Err(_)) => self.complete = Some(false),
            None => self.complete = Some(true),
        }
    }

    /// Reads the body to its end.
    pub async fn finish(mut self) -> ReceivedResponse {
        while self.complete.is_none() {
            self.read_chunk().await;
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

//! A stand-in for a plain service that counts every execution.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use vaneway_server::util::body::ResponseBody;

use crate::server;
use crate::standin::Standin;

/// Response header that states that the service did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

#[derive(Debug, Default)]
struct State {
    /// Number of executions by `Idempotency-Key`.
    executions: BTreeMap<String, u32>,
    total: u32,
    refuse: bool,
    fail_after_run: bool,
    delay: Duration,
    leaving: bool,
}

/// A running plain service. It executes a request with any method and path, and responds with JSON
/// that echoes method, path, body and organisation; the path `/bytes/N` responds with N bytes.
#[derive(Debug)]
pub struct PlainService {
    standin: Standin,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl PlainService {
    /// Starts the service.
    pub fn spawn() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let for_thread = Arc::clone(&state);
        let standin = Standin::spawn("plain-service", move |listener| {
            server::serve(listener, move |req| handle(Arc::clone(&for_thread), req))
        });
        Self { standin, state }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Number of executions of requests with this `Idempotency-Key`.
    pub fn executions(&self, key: &str) -> u32 {
        lock(&self.state).executions.get(key).copied().unwrap_or_default()
    }

    /// Number of executions of all requests.
    pub fn total(&self) -> u32 {
        lock(&self.state).total
    }

    /// Refuses requests with 503 and [`NOT_RUN_HEADER`] without running them, or ceases to.
    pub fn refuse(&self, refuse: bool) {
        lock(&self.state).refuse = refuse;
    }

    /// Executes requests and then responds with 503 without [`NOT_RUN_HEADER`], or ceases to.
    pub fn fail_after_run(&self, fail: bool) {
        lock(&self.state).fail_after_run = fail;
    }

    /// Announces in its responses that the endpoint is leaving, or ceases to.
    pub fn announce_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// Waits for `delay` between the execution and the response.
    pub fn delay_responses(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }
}

async fn handle(state: Arc<Mutex<State>>, req: Request<Incoming>) -> Response<ResponseBody> {
    let method = req.method().to_string();
    let path = req.uri().to_string();
    let text = |name| req.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let key = text("idempotency-key");
    let organisation = text("x-organisation");
    let body = server::read(req.into_body()).await;
    if lock(&state).refuse {
        let mut response = server::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        let yes = "1".parse().expect("valid header value");
        response.headers_mut().insert(NOT_RUN_HEADER, yes);
        return response;
    }
    let (fail, delay) = {
        let mut state = lock(&state);
        state.total += 1;
        if let Some(key) = key {
            *state.executions.entry(key).or_default() += 1;
        }
        (state.fail_after_run, state.delay)
    };
    if !delay.is_zero() {
        compio::time::sleep(delay).await;
    }
    if fail {
        return server::json(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "overloaded" }));
    }
    if let Some(count) = path.strip_prefix("/bytes/").and_then(|count| count.parse().ok()) {
        let mut response = Response::new(ResponseBody::full(Bytes::from(vec![b'x'; count])));
        let kind = "application/octet-stream".parse().expect("valid header value");
        response.headers_mut().insert("content-type", kind);
        return response;
    }
    let body = String::from_utf8_lossy(&body);
    let echo =
        json!({ "method": method, "path": path, "body": body, "organisation": organisation });
    let mut response = server::json(StatusCode::OK, &echo);
    if lock(&state).leaving {
        let yes = "1".parse().expect("valid header value");
        response.headers_mut().insert("x-vaneway-leaving", yes);
    }
    response
}

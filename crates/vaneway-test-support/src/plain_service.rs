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

/// Header with which the service says that it did not run a call.
pub const NOT_RUN_HEADER: &str = "x-not-run";

#[derive(Debug, Default)]
struct State {
    executions: BTreeMap<String, u32>,
    total: u32,
    refuse: bool,
    fail_after_run: bool,
    pause: Duration,
    leaving: bool,
}

/// A running plain service. `POST` and `GET` at any path execute the call and answer with JSON
/// that repeats method, path and body; `GET /bytes/N` answers with N bytes.
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
        let theirs = Arc::clone(&state);
        let standin = Standin::spawn("plain-service", move |listener| {
            server::serve(listener, move |req| handle(Arc::clone(&theirs), req))
        });
        Self { standin, state }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// How often calls with this `Idempotency-Key` were executed.
    pub fn executions(&self, key: &str) -> u32 {
        lock(&self.state).executions.get(key).copied().unwrap_or_default()
    }

    /// How often any call was executed.
    pub fn total(&self) -> u32 {
        lock(&self.state).total
    }

    /// Refuses calls, saying that they were not run.
    pub fn refuse(&self, refuse: bool) {
        lock(&self.state).refuse = refuse;
    }

    /// Executes calls and then answers 503 without saying that they were not run.
    pub fn fail_after_run(&self, fail: bool) {
        lock(&self.state).fail_after_run = fail;
    }

    /// Says in its answers that it leaves, or no more.
    pub fn announce_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// Waits before each answer.
    pub fn delay_responses(&self, pause: Duration) {
        lock(&self.state).pause = pause;
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
    let (fail, pause) = {
        let mut state = lock(&state);
        state.total += 1;
        if let Some(key) = key {
            *state.executions.entry(key).or_default() += 1;
        }
        (state.fail_after_run, state.pause)
    };
    if !pause.is_zero() {
        compio::time::sleep(pause).await;
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
    let answer =
        json!({ "method": method, "path": path, "body": body, "organisation": organisation });
    let mut response = server::json(StatusCode::OK, &answer);
    if lock(&state).leaving {
        let yes = "1".parse().expect("valid header value");
        response.headers_mut().insert("x-vaneway-leaving", yes);
    }
    response
}

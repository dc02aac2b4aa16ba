//! A stand-in for the cloud platform: its delayed list of boxes, its reclaim notices, and the API
//! that starts boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use vaneway_server::util::body::ResponseBody;

use crate::server;
use crate::standin::Standin;

/// Interval at which a request that waits for notices checks for new ones.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone)]
struct Listed {
    instance: String,
    state: &'static str,
}

#[derive(Debug)]
struct Notice {
    name: String,
    instance: String,
    /// When the box is reclaimed.
    gone_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    boxes: BTreeMap<String, Listed>,
    /// Earlier states of the list, each with the time until which it was current.
    history: Vec<(Instant, BTreeMap<String, Listed>)>,
    /// Age of the published list.
    lag: Duration,
    notices: Vec<Notice>,
    lose_notices: bool,
    starts_refused: bool,
    /// Boxes started so far, by which instances are numbered.
    started: u32,
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<String, Listed>)) {
        self.history.push((Instant::now(), self.boxes.clone()));
        change(&mut self.boxes);
    }

    /// The list as it was `lag` ago.
    fn lagged(&self) -> &BTreeMap<String, Listed> {
        let old = self.history.iter().find(|(until, _)| until.elapsed() < self.lag);
        old.map_or(&self.boxes, |(_, boxes)| boxes)
    }
}

/// A running platform.
#[derive(Debug)]
pub struct CloudPlatform {
    standin: Standin,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl CloudPlatform {
    /// Starts a platform whose published list is `lag` old.
    pub fn spawn(lag: Duration) -> Self {
        let state = Arc::new(Mutex::new(State { lag, ..State::default() }));
        let for_thread = Arc::clone(&state);
        let standin = Standin::spawn("platform", move |listener| {
            server::serve(listener, move |req| handle(Arc::clone(&for_thread), req))
        });
        Self { standin, state }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Lists a box as `live`; a box of this name that is listed already is replaced by a new
    /// instance.
    pub fn start_box(&self, name: &str) {
        let mut state = lock(&self.state);
        state.started += 1;
        let instance = format!("i-{}", state.started);
        state.change(|boxes| {
            boxes.insert(name.to_owned(), Listed { instance, state: "live" });
        });
    }

    /// Publishes a notice that a box is reclaimed after `within`, and lists it as `leaving`.
    ///
    /// # Panics
    ///
    /// If the box was never started.
    pub fn reclaim(&self, name: &str, within: Duration) {
        let mut state = lock(&self.state);
        let instance = state.boxes[name].instance.clone();
        state.change(|boxes| {
            boxes.insert(name.to_owned(), Listed { instance: instance.clone(), state: "leaving" });
        });
        if !state.lose_notices {
            let gone_at = Instant::now() + within;
            state.notices.push(Notice { name: name.to_owned(), instance, gone_at });
        }
    }

    /// Drops notices from now on, so that only the list shows reclaimed boxes, or ceases to.
    pub fn lose_notices(&self, lose: bool) {
        lock(&self.state).lose_notices = lose;
    }

    /// Refuses to start boxes from now on, or ceases to.
    pub fn refuse_starts(&self, refuse: bool) {
        lock(&self.state).starts_refused = refuse;
    }
}

async fn handle(state: Arc<Mutex<State>>, req: Request<Incoming>) -> Response<ResponseBody> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/v1/boxes") => server::json(StatusCode::OK, &list(&lock(&state))),
        (&Method::GET, "/v1/notices") => notices(&state, &req).await,
        (&Method::POST, "/v1/boxes") => start(&state, req).await,
        _ => server::json(StatusCode::NOT_FOUND, &json!({ "error": "unknown_path" })),
    }
}

fn list(state: &State) -> Value {
    let boxes: Vec<_> = state
        .lagged()
        .iter()
        .map(|(name, l)| json!({ "box": name, "instance": l.instance, "state": l.state }))
        .collect();
    json!({ "boxes": boxes })
}

async fn notices(state: &Mutex<State>, req: &Request<Incoming>) -> Response<ResponseBody> {
    let after = server::parameter(req, "after").unwrap_or_default() as usize;
    let wait = Duration::from_millis(server::parameter(req, "wait_ms").unwrap_or_default());
    let until = Instant::now() + wait;
    while lock(state).notices.len() <= after && Instant::now() < until {
        compio::time::sleep(POLL_INTERVAL).await;
    }
    let state = lock(state);
    let now = Instant::now();
    let new: Vec<_> = state
        .notices
        .iter()
        .skip(after)
        .map(|notice| {
            let left = notice.gone_at.saturating_duration_since(now).as_millis() as u64;
            json!({ "box": notice.name, "instance": notice.instance, "gone_in_ms": left })
        })
        .collect();
    server::json(StatusCode::OK, &json!({ "next": state.notices.len(), "notices": new }))
}

async fn start(state: &Mutex<State>, req: Request<Incoming>) -> Response<ResponseBody> {
    let body: Value =
        serde_json::from_slice(&server::read(req.into_body()).await).unwrap_or_default();
    let mut state = lock(state);
    if state.starts_refused {
        return server::json(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "no_capacity" }));
    }
    state.started += 1;
    let instance = format!("i-{}", state.started);
    let name = body["box"].as_str().map_or_else(|| format!("box-{instance}"), str::to_owned);
    let listed = Listed { instance: instance.clone(), state: "live" };
    state.change(|boxes| {
        boxes.insert(name.clone(), listed);
    });
    server::json(StatusCode::OK, &json!({ "box": name, "instance": instance }))
}

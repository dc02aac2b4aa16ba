//! A stand-in for a model engine.
//!
//! It batches requests continuously in steps of fixed length, caches prompt prefixes in limited
//! memory, schedules by priority, resumes and cancels streams, exports and imports KV cache,
//! publishes cache events late and with gaps and its load with a lag, and accepts fenced orders.
//! Its tokens depend on the prompt alone, so that any mistake in joining the parts of a stream
//! changes the text.
//!
//! `batch` holds the engine's state and its steps, `cache` the prefix cache, `text` the
//! tokens and chunks; this file implements the HTTP interface.

mod batch;
mod cache;
mod text;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use vaneway_server::util::body::ResponseBody;
use vaneway_server::util::outbox::outbox;

use self::batch::Batch;
use self::batch::Sequence;
use self::text::Prompt;
use crate::server;
use crate::standin::Standin;

/// Bytes of a stream that may be buffered for its reader.
const STREAM_BYTES: usize = 16 << 10;

/// Parameters of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Length of a step, in which each running request gets one token.
    pub step: Duration,
    /// Maximum number of prompt tokens computed in one step.
    pub prefill: u32,
    /// Maximum number of running requests.
    pub max_batch: usize,
    /// Maximum number of queued requests.
    pub max_waiting: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// How long the state of a stream without a reader is kept.
    pub linger: Duration,
    /// Tokens whose KV cache is transferred per millisecond.
    pub transfer: u32,
    /// Age of the reported load.
    pub load_lag: Duration,
    /// One of this many cache events is lost; none if zero.
    pub event_gap: u64,
    /// Whether orders with an epoch lower than a previous one are refused.
    pub checks_fence: bool,
    /// Determines which cache events are lost.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(5),
            prefill: 512,
            max_batch: 64,
            max_waiting: 1_024,
            cache_blocks: 4_096,
            linger: Duration::from_secs(5),
            transfer: 200,
            load_lag: Duration::from_millis(200),
            event_gap: 7,
            checks_fence: true,
            seed: 1,
        }
    }
}

/// Counters of an engine since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Requests started from their prompt alone.
    pub fresh: u64,
    /// Requests resumed from state held by this engine.
    pub resumed: u64,
    /// Requests continued from the text generated so far, which is computed again.
    pub continued: u64,
    /// States imported from other engines.
    pub imported: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// States removed because no reader resumed them within `linger`.
    pub expired: u64,
    /// Requests whose state is held now.
    pub open: u64,
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Accepted orders, as JSON text.
    pub orders: Vec<String>,
    /// Requests refused without running them.
    pub refused: u64,
    /// Orders refused because of an old epoch.
    pub orders_refused: u64,
}

/// Faults that tests inject while the engine runs.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    frozen: bool,
    refusing: bool,
    steps_per_token: u32,
}

#[derive(Debug, Default)]
struct Shared {
    stats: Mutex<EngineStats>,
    faults: Mutex<Faults>,
    /// Limit in requests per second that its responses advertise.
    limit: Mutex<Option<String>>,
    /// Back-off in seconds that its refusals request by `Retry-After`.
    back_off: Mutex<Option<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    standin: Standin,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    pub fn spawn(options: EngineOptions) -> Self {
        let shared = Arc::new(Shared::default());
        let for_thread = Arc::clone(&shared);
        let standin = Standin::spawn("engine", move |listener| run(listener, options, for_thread));
        Self { standin, shared }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Its counters.
    pub fn stats(&self) -> EngineStats {
        lock(&self.shared.stats).clone()
    }

    /// Stops or resumes generating tokens; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        lock(&self.shared.faults).frozen = frozen;
    }

    /// Refuses new requests with 503 without running them, or ceases to.
    pub fn refuse(&self, refusing: bool) {
        lock(&self.shared.faults).refusing = refusing;
    }

    /// Sets the limit that all further responses advertise, or none.
    pub fn advertise_limit(&self, limit: Option<&str>) {
        *lock(&self.shared.limit) = limit.map(str::to_owned);
    }

    /// Sets the back-off that all further refusals request, or none.
    pub fn request_back_off(&self, seconds: Option<&str>) {
        *lock(&self.shared.back_off) = seconds.map(str::to_owned);
    }

    /// Generates a token for each request only in every `steps_per_token`th step.
    pub fn set_steps_per_token(&self, steps_per_token: u32) {
        lock(&self.shared.faults).steps_per_token = steps_per_token;
    }

    /// Crashes the engine: every connection is closed at once.
    pub fn kill(self) {
        drop(self);
    }
}

struct Local {
    batch: RefCell<Batch>,
    options: EngineOptions,
    shared: Arc<Shared>,
    epoch: std::cell::Cell<u64>,
}

async fn run(listener: TcpListener, options: EngineOptions, shared: Arc<Shared>) {
    let local = Rc::new(Local {
        batch: RefCell::new(Batch::new(options.clone())),
        options,
        shared,
        epoch: std::cell::Cell::new(0),
    });
    compio::runtime::spawn(run_steps(Rc::clone(&local))).detach();
    server::serve(listener, move |req| handle(Rc::clone(&local), req)).await;
}

async fn run_steps(local: Rc<Local>) {
    let mut steps = 0_u32;
    let mut next = std::time::Instant::now();
    loop {
        // Steps follow a fixed schedule, so that a late step does not delay the next one; missed
        // steps are not made up.
        next = (next + local.options.step).max(std::time::Instant::now());
        compio::time::sleep_until(next).await;
        steps = steps.wrapping_add(1);
        let faults = *lock(&local.shared.faults);
        let skipped = faults.steps_per_token > 1 && !steps.is_multiple_of(faults.steps_per_token);
        if !faults.frozen && !skipped {
            let mut stats = lock(&local.shared.stats);
            local.batch.borrow_mut().step(&mut stats);
        }
    }
}

async fn handle(local: Rc<Local>, req: Request<Incoming>) -> Response<ResponseBody> {
    let path = req.uri().path().to_owned();
    let segments: Vec<_> = path.split('/').skip(1).collect();
    match (req.method(), segments.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => complete(&local, req, true).await,
        (&Method::POST, ["v1", "completions"]) => complete(&local, req, false).await,
        (&Method::POST, ["v1", "requests", id, "cancel"]) => cancel(&local, id),
        (&Method::POST, ["v1", "kv", "import"]) => import(&local, req).await,
        (&Method::GET, ["v1", "kv", id]) => export(&local, id),
        (&Method::GET, ["v1", "load"]) => {
            server::json(StatusCode::OK, &local.batch.borrow().lagged_load())
        }
        (&Method::GET, ["v1", "cache", "events"]) => {
            let after = server::parameter(&req, "after").unwrap_or_default();
            server::json(StatusCode::OK, &local.batch.borrow().cache.events(after))
        }
        (&Method::POST, ["v1", "orders"]) => order(&local, req).await,
        _ => error(StatusCode::NOT_FOUND, "unknown_path"),
    }
}

fn error(status: StatusCode, code: &str) -> Response<ResponseBody> {
    server::json(status, &json!({ "error": { "code": code, "message": code } }))
}

fn header<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

async fn complete(local: &Rc<Local>, req: Request<Incoming>, chat: bool) -> Response<ResponseBody> {
    if lock(&local.shared.faults).refusing {
        lock(&local.shared.stats).refused += 1;
        let mut response = error(StatusCode::SERVICE_UNAVAILABLE, "refusing");
        if let Some(seconds) = &*lock(&local.shared.back_off) {
            let seconds = seconds.parse().expect("valid header value");
            response.headers_mut().insert("retry-after", seconds);
        }
        return response;
    }
    let id = header(&req, "x-request-id").unwrap_or("anonymous").to_owned();
    let priority = header(&req, "x-priority").and_then(|p| p.parse().ok()).unwrap_or(5);
    let resume = header(&req, "last-event-id").and_then(|after| after.parse::<u32>().ok());
    let body = server::read(req.into_body()).await;
    let prompt = match Prompt::read(&body, chat) {
        Ok(prompt) => prompt,
        Err(code) => return error(StatusCode::BAD_REQUEST, code),
    };
    let (tx, rx) = outbox(STREAM_BYTES);
    let mut batch = local.batch.borrow_mut();
    let mut stats = lock(&local.shared.stats);
    if let Some(after) = resume {
        if !batch.resume(&id, after, tx) {
            return error(StatusCode::CONFLICT, "no_state");
        }
        stats.resumed += 1;
    } else {
        if batch.is_full() {
            return error(StatusCode::TOO_MANY_REQUESTS, "full");
        }
        match prompt.continued {
            0 => stats.fresh += 1,
            _ => stats.continued += 1,
        }
        batch.enqueue(Sequence::new(id, prompt, priority, tx), &mut stats);
    }
    drop(stats);
    let mut response = Response::new(ResponseBody::Streamed(rx));
    let kind = "text/event-stream".parse().expect("valid header value");
    response.headers_mut().insert("content-type", kind);
    if let Some(limit) = &*lock(&local.shared.limit) {
        let limit = limit.parse().expect("valid header value");
        response.headers_mut().insert("x-vaneway-limit", limit);
    }
    response
}

fn cancel(local: &Local, id: &str) -> Response<ResponseBody> {
    let mut stats = lock(&local.shared.stats);
    if local.batch.borrow_mut().cancel(id, &mut stats) {
        return server::json(StatusCode::OK, &json!({}));
    }
    error(StatusCode::NOT_FOUND, "no_state")
}

#[derive(Deserialize)]
struct ImportOrder {
    request: String,
    from: SocketAddr,
    tokens: u32,
}

/// Fetches a request's state from another engine; nothing is kept unless the state is complete.
async fn import(local: &Rc<Local>, req: Request<Incoming>) -> Response<ResponseBody> {
    let body = server::read(req.into_body()).await;
    let Ok(order) = serde_json::from_slice::<ImportOrder>(&body) else {
        return error(StatusCode::BAD_REQUEST, "bad_order");
    };
    let state = server::get_json(order.from, &format!("/v1/kv/{}", order.request)).await;
    let state = state.and_then(|state| Sequence::from_json(&state));
    let Some(state) = state.filter(|state| state.generated >= order.tokens) else {
        return error(StatusCode::CONFLICT, "no_state");
    };
    let tokens = state.prompt.tokens + order.tokens;
    compio::time::sleep(Duration::from_millis(u64::from(tokens / local.options.transfer.max(1))))
        .await;
    let mut stats = lock(&local.shared.stats);
    stats.imported += 1;
    local.batch.borrow_mut().adopt(state, &mut stats);
    server::json(StatusCode::OK, &json!({ "tokens": tokens }))
}

fn export(local: &Local, id: &str) -> Response<ResponseBody> {
    match local.batch.borrow().export(id) {
        Some(state) => server::json(StatusCode::OK, &state),
        None => error(StatusCode::NOT_FOUND, "no_state"),
    }
}

/// Accepts an order to load a model, adapter or version, or to change role, under a lease's epoch.
async fn order(local: &Local, req: Request<Incoming>) -> Response<ResponseBody> {
    let body: Bytes = server::read(req.into_body()).await;
    let Ok(Value::Object(order)) = serde_json::from_slice(&body) else {
        return error(StatusCode::BAD_REQUEST, "bad_order");
    };
    let epoch = order.get("epoch").and_then(Value::as_u64).unwrap_or_default();
    let mut stats = lock(&local.shared.stats);
    if local.options.checks_fence && epoch < local.epoch.get() {
        stats.orders_refused += 1;
        return error(StatusCode::PRECONDITION_FAILED, "old_epoch");
    }
    local.epoch.set(epoch.max(local.epoch.get()));
    stats.orders.push(Value::Object(order).to_string());
    server::json(StatusCode::OK, &json!({ "epoch": local.epoch.get() }))
}

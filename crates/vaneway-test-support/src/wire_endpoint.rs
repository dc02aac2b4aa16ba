//! A stand-in for an endpoint that uses the published protocol of the users' platform.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::Either;
use futures_util::future::select;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use vaneway_server::util::body::ResponseBody;
use vaneway_server::util::outbox::outbox;

use crate::server;
use crate::standin::Standin;

/// How the endpoint handles requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs requests and responds.
    #[default]
    Respond,
    /// Refuses requests with 503 and states that it did not run them.
    Refuse,
    /// Runs requests and responds with 500.
    Fail,
    /// Runs requests and breaks the connection instead of sending the response.
    LoseResponse,
    /// Runs requests and responds with the id of another request.
    RespondToAnother,
    /// Truncates streams in the middle of the event that follows this one.
    TruncateAfter(u32),
    /// Sends the first event of streams and then nothing, with the connection left open.
    Hang,
    /// Sends the events of streams up to this one, and the others after
    /// [`WireEndpoint::send_paused`], with the connection left open between.
    PauseAfter(u32),
    /// Runs streams and responds with 500 and a chunked body.
    FailStream,
    /// Begins streams and breaks the connection before the first event is complete.
    CloseBeforeEvent,
    /// Sends streams event by event, at a fixed interval.
    Steady,
}

/// A request as the endpoint received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// When it arrived.
    pub at: Instant,
    /// Method and path.
    pub line: String,
    /// Headers by name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: String,
    /// The back-off that its refusal requested, if it was refused with one.
    pub back_off: Option<Duration>,
}

/// What the endpoint's responses announce.
#[derive(Debug, Clone, Default)]
struct Announcements {
    /// Limit in requests per second for all entry boxes together.
    limit: Option<String>,
    /// Back-off in seconds that refusals request from the entry box that they go to.
    back_off: Option<String>,
    /// Whether the endpoint is leaving.
    leaving: bool,
    /// Refusals a second that make it fail.
    max_refusals: Option<u32>,
}

impl Announcements {
    fn add_to(&self, response: &mut Response<ResponseBody>) {
        let refused = response.headers().contains_key("x-not-run");
        let max_refusals = self.max_refusals.map(|max| max.to_string());
        let headers = [
            ("server-brittle", max_refusals.as_deref()),
            ("server-limit", self.limit.as_deref()),
            ("retry-after", self.back_off.as_deref().filter(|_| refused)),
            ("server-leaving", self.leaving.then_some("1")),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                let value = value.parse().expect("valid header value");
                response.headers_mut().insert(name, value);
            }
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Version of its software; none if it is [`DEFAULT_VERSION`] and events don't contain it.
    version: Option<String>,
    behaviour: Behaviour,
    /// Whether paused streams go on.
    sends_paused: bool,
    announcements: Announcements,
    received: Vec<ReceivedRequest>,
    /// Number of requests that it runs at once; any number if none.
    places: Option<u32>,
    /// Number of streams that it is running.
    running: u32,
    /// When it refused requests for want of a place.
    refusals: Vec<Instant>,
    /// Number of runs by request id.
    runs: BTreeMap<String, u32>,
    /// Crashes the endpoint when dropped; none once it has crashed.
    crash: Option<oneshot::Sender<()>>,
    /// When it began to crash: the connection of the request breaks now.
    broke_at: Option<Instant>,
    /// The part of a prompt that makes it crash, in hexadecimal digits.
    deadly_part: Option<String>,
}

impl State {
    /// What the events of a stream end with.
    fn author(&self, instance: &str) -> String {
        let version = self.version.as_ref();
        version.map(|version| format!(" by {version} at {instance}")).unwrap_or_default()
    }
}

/// Software version that heartbeats contain unless another one is given.
pub(crate) const DEFAULT_VERSION: &str = "v1";

/// Header of a request that makes the endpoint that runs it crash. With the value `late`, the
/// request's connection breaks first and the endpoint listens for 5 ms more.
pub const CRASH_HEADER: &str = "x-ends-endpoint";

/// Time between the close of a connection and that of the listening socket when a process crashes:
/// the operating system closes its sockets one after the other.
pub(crate) const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(5);

/// A running endpoint. The response to a request with `x-token-usage` is a stream of ten numbered
/// events; other requests are echoed.
#[derive(Debug)]
pub struct WireEndpoint {
    standin: Standin,
    instance: String,
    state: Arc<Mutex<State>>,
}

/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u32 = 10;

/// Interval between the events of a steady stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Interval at which a paused stream checks whether it goes on.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Bytes of a stream that may be buffered for its reader.
const STREAM_BYTES: usize = 64 << 10;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl WireEndpoint {
    /// Starts an endpoint with the given instance id.
    pub fn spawn(instance: &str) -> Self {
        let (crash, crashed) = oneshot::channel();
        let state = Arc::new(Mutex::new(State { crash: Some(crash), ..State::default() }));
        let (shared, id) = (Arc::clone(&state), instance.to_owned());
        let standin = Standin::spawn("wire-endpoint", move |listener| {
            let serving =
                server::serve(listener, move |req| handle(Arc::clone(&shared), id.clone(), req));
            async move {
                futures_util::pin_mut!(serving);
                select(serving, crashed).await;
            }
        });
        Self { standin, instance: instance.to_owned(), state }
    }

    /// Starts an endpoint with the given instance id and software version. Its heartbeats contain
    /// the version, and each of its events contains the version and the instance id.
    pub fn spawn_with_version(instance: &str, version: &str) -> Self {
        let endpoint = Self::spawn(instance);
        endpoint.set_version(version);
        endpoint
    }

    /// Sets the software version of further heartbeats and of the events of further responses.
    pub fn set_version(&self, version: &str) {
        lock(&self.state).version = Some(version.to_owned());
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Its instance id.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Sets how further requests are handled.
    pub fn behave(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Sends the other events of all streams that have paused ([`Behaviour::PauseAfter`]).
    pub fn send_paused(&self) {
        lock(&self.state).sends_paused = true;
    }

    /// Sets the limit that all further responses advertise, or none.
    pub fn advertise_limit(&self, limit: Option<&str>) {
        lock(&self.state).announcements.limit = limit.map(str::to_owned);
    }

    /// Sets the back-off that all further refusals request, or none.
    pub fn request_back_off(&self, seconds: Option<&str>) {
        lock(&self.state).announcements.back_off = seconds.map(str::to_owned);
    }

    /// Announces in all further responses that the endpoint is leaving.
    pub fn announce_leaving(&self) {
        lock(&self.state).announcements.leaving = true;
    }

    /// Runs at most `places` streams at once, refuses further requests, and states that more than
    /// `max_refusals` in a second make it fail.
    pub fn be_brittle(&self, places: u32, max_refusals: u32) {
        let mut state = lock(&self.state);
        state.places = Some(places);
        state.announcements.max_refusals = Some(max_refusals);
    }

    /// Number of streams that it is running.
    pub fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// When it refused requests for want of a place.
    pub fn refusals(&self) -> Vec<Instant> {
        lock(&self.state).refusals.clone()
    }

    /// The requests received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).received.clone()
    }

    /// Crashes as soon as it begins to respond to a request with this part, given in hexadecimal
    /// digits, in its prompt; the part that is a request's own doesn't count.
    pub fn crash_on_part(&self, part: &str) {
        lock(&self.state).deadly_part = Some(part.to_owned());
    }

    /// No longer crashes on any part of a prompt.
    pub fn survive_part(&self) {
        lock(&self.state).deadly_part = None;
    }

    /// Whether a request has made it crash.
    pub fn has_crashed(&self) -> bool {
        lock(&self.state).crash.is_none()
    }

    /// How long it listened after a request with [`CRASH_HEADER`] had made its connection break:
    /// about 5 ms in the mode `late`, and more if its thread does not run in time. Waits until its
    /// sockets are closed; none if it got no such request.
    pub fn listened_on(&self) -> Option<Duration> {
        let broke_at = lock(&self.state).broke_at?;
        Some(self.standin.wait_for_end().saturating_duration_since(broke_at))
    }

    /// When the last request arrived; none if none has.
    pub fn last_arrival(&self) -> Option<Instant> {
        lock(&self.state).received.last().map(|received| received.at)
    }

    /// Number of runs of the request with this id.
    pub fn runs(&self, id: &str) -> u32 {
        lock(&self.state).runs.get(id).copied().unwrap_or_default()
    }

    /// Path and body of a heartbeat.
    pub fn heartbeat(&self, service: &str, state: &str, seq: u64) -> (String, String) {
        self.heartbeat_with_address(self.address(), service, state, seq)
    }

    /// Path and body of a heartbeat with the start time of this incarnation (`born`) in Unix
    /// milliseconds.
    pub fn heartbeat_with_start(&self, service: &str, born: u64, seq: u64) -> (String, String) {
        let (path, body) = self.heartbeat(service, "ready", seq);
        (path, body.replacen('{', &format!(r#"{{"born":{born},"#), 1))
    }

    /// Path and body of a heartbeat with the address of a proxy in front of the endpoint.
    pub fn heartbeat_with_address(
        &self,
        address: SocketAddr,
        service: &str,
        state: &str,
        seq: u64,
    ) -> (String, String) {
        let version = lock(&self.state).version.clone();
        let version = version.as_deref().unwrap_or(DEFAULT_VERSION);
        self::heartbeat(&self.instance, address, service, state, seq, version)
    }
}

/// Path and body of the heartbeat of an endpoint.
pub(crate) fn heartbeat(
    instance: &str,
    address: SocketAddr,
    service: &str,
    state: &str,
    seq: u64,
    version: &str,
) -> (String, String) {
    let body = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"a","version":"{version}","slots":8,"state":"{state}","cold_left_ms":0,"seq":{seq}}}"#
    );
    (format!("/instances/{instance}/heartbeat"), body)
}

/// A request that is running, until dropped.
#[derive(Debug)]
struct Run(Arc<Mutex<State>>);

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

/// The events of a complete stream that follow event `after`, from an endpoint without a given
/// software version.
pub fn events(after: u32) -> String {
    events_by(after, "")
}

/// The events of a complete stream that follow event `after`; each ends with `author`.
fn events_by(after: u32, author: &str) -> String {
    (after + 1..=EVENTS_PER_STREAM).fold(String::new(), |mut events, i| {
        write!(events, "id: {i}\ndata: piece {i}{author}\n\n")
            .expect("writing to a string does not fail");
        events
    })
}

async fn handle(
    state: Arc<Mutex<State>>,
    instance: String,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let line = format!("{} {}", req.method(), req.uri());
    let headers: BTreeMap<String, String> = req
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into()))
        .collect();
    let body = server::read(req.into_body()).await;
    let id = headers.get("x-request-id").cloned().unwrap_or_default();
    let expected = headers.get("x-expect-instance").is_none_or(|expected| *expected == instance);
    let is_stream = headers.contains_key("x-token-usage");
    let after = headers.get("last-event-id").and_then(|after| after.parse().ok()).unwrap_or(0);
    let crash_mode = headers.get(CRASH_HEADER).cloned();
    let prompt = headers.get("x-prompt-prefix").cloned().unwrap_or_default();
    let (behaviour, announcements, author, run) = {
        let shared = &state;
        let mut state = lock(shared);
        let body = String::from_utf8_lossy(&body).into_owned();
        let is_full = expected && state.places.is_some_and(|places| state.running >= places);
        if is_full {
            state.refusals.push(Instant::now());
        }
        let behaviour = if is_full { Behaviour::Refuse } else { state.behaviour };
        let refuses = expected && behaviour == Behaviour::Refuse;
        let back_off = state.announcements.back_off.as_ref().filter(|_| refuses);
        let back_off =
            back_off.and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs_f64);
        state.received.push(ReceivedRequest { at: Instant::now(), line, headers, body, back_off });
        if expected && !refuses {
            *state.runs.entry(id.clone()).or_default() += 1;
        }
        state.running += 1;
        let author = state.author(&instance);
        (behaviour, state.announcements.clone(), author, Run(Arc::clone(shared)))
    };
    if !expected {
        return respond(
            StatusCode::MISDIRECTED_REQUEST,
            &id,
            &instance,
            ResponseBody::full(Bytes::new()),
        );
    }
    if let Some(mode) = crash_mode {
        crash(state, &mode).await;
        return break_connection();
    }
    if lock(&state).deadly_part.as_ref().is_some_and(|part| has_shared_part(&prompt, part)) {
        return respond(StatusCode::OK, &id, &instance, crash_in_first_event(state));
    }
    let mut response = match behaviour {
        Behaviour::Refuse => {
            let body = ResponseBody::full(Bytes::new());
            let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, &id, &instance, body);
            response.headers_mut().insert("x-not-run", "1".parse().expect("valid header value"));
            response
        }
        Behaviour::Fail => {
            respond(StatusCode::INTERNAL_SERVER_ERROR, &id, &instance, ResponseBody::full(body))
        }
        Behaviour::FailStream => {
            let (tx, rx) = outbox(STREAM_BYTES);
            tx.push(&body);
            tx.finish();
            respond(StatusCode::INTERNAL_SERVER_ERROR, &id, &instance, ResponseBody::Streamed(rx))
        }
        Behaviour::CloseBeforeEvent => {
            let (tx, rx) = outbox(STREAM_BYTES);
            tx.push(b"id: 1\n");
            // Time for the response's head and a part of the event to arrive.
            compio::runtime::spawn(async move {
                compio::time::sleep(std::time::Duration::from_millis(50)).await;
                drop(tx);
            })
            .detach();
            respond(StatusCode::OK, &id, &instance, ResponseBody::Streamed(rx))
        }
        Behaviour::LoseResponse => break_connection(),
        Behaviour::RespondToAnother => {
            respond(StatusCode::OK, "another", &instance, ResponseBody::full(body))
        }
        Behaviour::Respond
        | Behaviour::TruncateAfter(_)
        | Behaviour::Hang
        | Behaviour::PauseAfter(_)
        | Behaviour::Steady
            if is_stream =>
        {
            respond(StatusCode::OK, &id, &instance, stream(behaviour, after, &author, run))
        }
        Behaviour::Respond
        | Behaviour::TruncateAfter(_)
        | Behaviour::Hang
        | Behaviour::PauseAfter(_)
        | Behaviour::Steady => respond(StatusCode::OK, &id, &instance, ResponseBody::full(body)),
    };
    announcements.add_to(&mut response);
    response
}

/// A response in place of which the connection breaks.
fn break_connection() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    response.extensions_mut().insert(server::BreakConnection);
    response
}

/// Whether a prompt has this part, other than as its last one.
fn has_shared_part(prompt: &str, part: &str) -> bool {
    let mut ids = prompt.split(',').filter_map(|part| part.split(':').next());
    let _own = ids.next_back();
    ids.any(|id| id.trim() == part)
}

/// A stream that begins its first event, whereupon the endpoint crashes.
fn crash_in_first_event(state: Arc<Mutex<State>>) -> ResponseBody {
    let (tx, rx) = outbox(STREAM_BYTES);
    tx.push(b"id: 1\n");
    compio::runtime::spawn(async move {
        // Time for the response's head to arrive.
        compio::time::sleep(EVENT_INTERVAL).await;
        drop(lock(&state).crash.take());
        drop(tx);
    })
    .detach();
    ResponseBody::Streamed(rx)
}

/// Crashes the endpoint. Returns in the mode `late`, in which the request's connection breaks first.
async fn crash(state: Arc<Mutex<State>>, mode: &str) {
    lock(&state).broke_at = Some(Instant::now());
    if mode != "late" {
        drop(lock(&state).crash.take());
        return std::future::pending().await;
    }
    compio::runtime::spawn(async move {
        compio::time::sleep(LISTENER_CLOSE_DELAY).await;
        drop(lock(&state).crash.take());
    })
    .detach();
}

/// A stream of the events that follow event `after`, sent according to `behaviour`.
fn stream(behaviour: Behaviour, after: u32, author: &str, run: Run) -> ResponseBody {
    let (tx, rx) = outbox(STREAM_BYTES);
    let events = events_by(after, author);
    match behaviour {
        Behaviour::TruncateAfter(last) if after < last => {
            let end = format!("id: {}\n", last + 1);
            let cut = events.find(&end).map_or(events.len(), |at| at + end.len());
            tx.push(&events.as_bytes()[..cut]);
            // Time for the written bytes to arrive before the connection breaks.
            compio::runtime::spawn(async move {
                compio::time::sleep(std::time::Duration::from_millis(50)).await;
                drop(tx);
            })
            .detach();
        }
        Behaviour::PauseAfter(last) => {
            let end = format!("id: {}\n", last.max(after) + 1);
            let paused_at = events.find(&end).unwrap_or(events.len());
            tx.push(&events.as_bytes()[..paused_at]);
            compio::runtime::spawn(async move {
                while !lock(&run.0).sends_paused {
                    let mut closed = std::future::poll_fn(|cx| tx.poll_closed(cx));
                    let mut pause = std::pin::pin!(compio::time::sleep(POLL_INTERVAL));
                    if let Either::Left(_) = select(&mut closed, &mut pause).await {
                        return;
                    }
                }
                tx.push(&events.as_bytes()[paused_at..]);
                tx.finish();
            })
            .detach();
        }
        Behaviour::Hang => {
            tx.push(events.split_inclusive("\n\n").next().unwrap_or("").as_bytes());
            compio::runtime::spawn(async move {
                std::future::poll_fn(|cx| tx.poll_closed(cx)).await;
                drop(run);
            })
            .detach();
        }
        Behaviour::Steady => {
            compio::runtime::spawn(async move {
                for event in events.split_inclusive("\n\n") {
                    compio::time::sleep(EVENT_INTERVAL).await;
                    tx.push(event.as_bytes());
                }
                tx.finish();
                drop(run);
            })
            .detach();
        }
        _ => {
            tx.push(events.as_bytes());
            tx.finish();
        }
    }
    ResponseBody::Streamed(rx)
}

fn respond(
    status: StatusCode,
    id: &str,
    instance: &str,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert("x-request-id", id.parse().expect("valid header value"));
    let stamp = format!("stamp-{instance}");
    headers.insert("x-response-stamp", stamp.parse().expect("valid header value"));
    response
}

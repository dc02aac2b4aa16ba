//! A stand-in for an endpoint of the users' platform, by its published protocol.

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
use futures_util::future::select;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use vaneway_server::util::body::ResponseBody;
use vaneway_server::util::outbox::outbox;

use crate::server;
use crate::standin::Standin;

/// What the endpoint does with requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs and answers them.
    #[default]
    Respond,
    /// Says that it did not run them.
    Refuse,
    /// Runs them and answers with 500.
    Fail,
    /// Runs them and breaks the connection in place of an answer.
    LoseResponse,
    /// Runs them and answers as if to another request.
    RespondToAnother,
    /// Breaks streams off in the middle of the event after this one.
    TruncateAfter(u32),
    /// Begins streams and never goes on.
    Hang,
    /// Runs streams and answers with 500 and a body that comes piece by piece.
    FailStream,
    /// Begins streams and breaks the connection before the first event.
    CloseBeforeEvent,
    /// Answers streams event by event, with a pause before each.
    Steady,
}

/// A request as the endpoint got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// When it came.
    pub at: Instant,
    /// Method and path.
    pub line: String,
    /// Headers by name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: String,
    /// The rest that its refusal asked for, if it was refused so.
    pub rest: Option<Duration>,
}

/// What its answers say of itself.
#[derive(Debug, Clone, Default)]
struct Says {
    /// Requests a second that it takes from all entry boxes together.
    limit: Option<String>,
    /// Seconds for which it wants nothing from the box that it refuses.
    rest: Option<String>,
    /// That it leaves.
    leaving: bool,
}

impl Says {
    fn add_to(&self, response: &mut Response<ResponseBody>) {
        let refused = response.headers().contains_key("x-not-run");
        let words = [
            ("server-limit", self.limit.as_deref()),
            ("retry-after", self.rest.as_deref().filter(|_| refused)),
            ("server-leaving", self.leaving.then_some("1")),
        ];
        for (name, value) in words {
            if let Some(value) = value {
                let value = value.parse().expect("valid header value");
                response.headers_mut().insert(name, value);
            }
        }
    }
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    says: Says,
    seen: Vec<ReceivedRequest>,
    runs: BTreeMap<String, u32>,
    /// Ends it; none once it has ended.
    end: Option<oneshot::Sender<()>>,
}

/// Header of a request that ends the endpoint which runs it, as the crash of its process would; with the value `late`
/// its connection breaks first and the endpoint listens 5 ms more.
pub const CRASH_HEADER: &str = "x-ends-endpoint";

/// Time between a connection's end and the listening socket's where a process dies: its system closes one after another.
const LISTENS_FOR: Duration = Duration::from_millis(5);

/// A running endpoint. Requests with `x-token-usage` are answered with a stream of ten numbered
/// events, others with their own body.
#[derive(Debug)]
pub struct WireEndpoint {
    standin: Standin,
    instance: String,
    state: Arc<Mutex<State>>,
}

/// Events of a whole stream.
pub const EVENTS: u32 = 10;

/// Pause before each event of a steady stream.
const EVENT_EVERY: Duration = Duration::from_millis(40);

/// Bytes that wait for a slow reader.
const STREAM_BYTES: usize = 64 << 10;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl WireEndpoint {
    /// Starts an endpoint with this id.
    pub fn spawn(instance: &str) -> Self {
        let (end, ended) = oneshot::channel();
        let state = Arc::new(Mutex::new(State { end: Some(end), ..State::default() }));
        let (theirs, id) = (Arc::clone(&state), instance.to_owned());
        let standin = Standin::spawn("wire-endpoint", move |listener| {
            let serving =
                server::serve(listener, move |req| handle(Arc::clone(&theirs), id.clone(), req));
            async move {
                futures_util::pin_mut!(serving);
                select(serving, ended).await;
            }
        });
        Self { standin, instance: instance.to_owned(), state }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Changes what it does.
    pub fn behave(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Names a limit in all further answers, or none.
    pub fn advertise_limit(&self, limit: Option<&str>) {
        lock(&self.state).says.limit = limit.map(str::to_owned);
    }

    /// Asks for rest in all further refusals, or for none.
    pub fn request_back_off(&self, seconds: Option<&str>) {
        lock(&self.state).says.rest = seconds.map(str::to_owned);
    }

    /// Says in all further answers that it leaves.
    pub fn announce_leaving(&self) {
        lock(&self.state).says.leaving = true;
    }

    /// The requests that it got.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).seen.clone()
    }

    /// Whether a request has ended it.
    pub fn has_crashed(&self) -> bool {
        lock(&self.state).end.is_none()
    }

    /// When a request last arrived, if one ever did.
    pub fn last_arrival(&self) -> Option<Instant> {
        lock(&self.state).seen.last().map(|seen| seen.at)
    }

    /// How often it ran the request with this id.
    pub fn runs(&self, id: &str) -> u32 {
        lock(&self.state).runs.get(id).copied().unwrap_or_default()
    }

    /// A heartbeat's path and body.
    pub fn heartbeat(&self, service: &str, state: &str, seq: u64) -> (String, String) {
        self.heartbeat_with_address(self.address(), service, state, seq)
    }

    /// The same with the Unix millisecond in which this incarnation was born.
    pub fn heartbeat_with_start(&self, service: &str, born: u64, seq: u64) -> (String, String) {
        let (path, body) = self.heartbeat(service, "ready", seq);
        (path, body.replacen('{', &format!(r#"{{"born":{born},"#), 1))
    }

    /// The same with the address of a proxy before it.
    pub fn heartbeat_with_address(
        &self,
        address: SocketAddr,
        service: &str,
        state: &str,
        seq: u64,
    ) -> (String, String) {
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":8,"state":"{state}","cold_left_ms":0,"seq":{seq}}}"#
        );
        (format!("/instances/{}/heartbeat", self.instance), body)
    }
}

/// The whole stream behind `after`.
pub fn events(after: u32) -> String {
    (after + 1..=EVENTS).fold(String::new(), |mut events, i| {
        write!(events, "id: {i}\ndata: piece {i}\n\n").expect("writing to a string does not fail");
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
    let streamed = headers.contains_key("x-token-usage");
    let after = headers.get("last-event-id").and_then(|after| after.parse().ok()).unwrap_or(0);
    let ends_by = headers.get(CRASH_HEADER).cloned();
    let (behaviour, says) = {
        let mut state = lock(&state);
        let body = String::from_utf8_lossy(&body).into_owned();
        let refuses = expected && state.behaviour == Behaviour::Refuse;
        let rest = state.says.rest.as_ref().filter(|_| refuses);
        let rest = rest.and_then(|rest| rest.parse().ok()).map(Duration::from_secs_f64);
        state.seen.push(ReceivedRequest { at: Instant::now(), line, headers, body, rest });
        if expected && state.behaviour != Behaviour::Refuse {
            *state.runs.entry(id.clone()).or_default() += 1;
        }
        (state.behaviour, state.says.clone())
    };
    if !expected {
        return answer(
            StatusCode::MISDIRECTED_REQUEST,
            &id,
            &instance,
            ResponseBody::full(Bytes::new()),
        );
    }
    match ends_by.as_deref() {
        None => {}
        Some("late") => {
            compio::runtime::spawn(async move {
                compio::time::sleep(LISTENS_FOR).await;
                drop(lock(&state).end.take());
            })
            .detach();
            let (tx, rx) = outbox(STREAM_BYTES);
            drop(tx);
            return answer(StatusCode::OK, &id, &instance, ResponseBody::Streamed(rx));
        }
        Some(_) => {
            drop(lock(&state).end.take());
            return std::future::pending().await;
        }
    }
    let mut response = match behaviour {
        Behaviour::Refuse => {
            let body = ResponseBody::full(Bytes::new());
            let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, &id, &instance, body);
            response.headers_mut().insert("x-not-run", "1".parse().expect("valid header value"));
            response
        }
        Behaviour::Fail => {
            answer(StatusCode::INTERNAL_SERVER_ERROR, &id, &instance, ResponseBody::full(body))
        }
        Behaviour::FailStream => {
            let (tx, rx) = outbox(STREAM_BYTES);
            tx.push(&body);
            tx.finish();
            answer(StatusCode::INTERNAL_SERVER_ERROR, &id, &instance, ResponseBody::Streamed(rx))
        }
        Behaviour::CloseBeforeEvent => {
            let (tx, rx) = outbox(STREAM_BYTES);
            tx.push(b"id: 1\n");
            // Time for the head and a part of the event to arrive.
            compio::runtime::spawn(async move {
                compio::time::sleep(std::time::Duration::from_millis(50)).await;
                drop(tx);
            })
            .detach();
            answer(StatusCode::OK, &id, &instance, ResponseBody::Streamed(rx))
        }
        Behaviour::LoseResponse => {
            let (tx, rx) = outbox(STREAM_BYTES);
            drop(tx);
            answer(StatusCode::OK, &id, &instance, ResponseBody::Streamed(rx))
        }
        Behaviour::RespondToAnother => {
            answer(StatusCode::OK, "another", &instance, ResponseBody::full(body))
        }
        Behaviour::Respond | Behaviour::TruncateAfter(_) | Behaviour::Hang | Behaviour::Steady
            if streamed =>
        {
            answer(StatusCode::OK, &id, &instance, stream(behaviour, after))
        }
        Behaviour::Respond | Behaviour::TruncateAfter(_) | Behaviour::Hang | Behaviour::Steady => {
            answer(StatusCode::OK, &id, &instance, ResponseBody::full(body))
        }
    };
    says.add_to(&mut response);
    response
}

/// The stream behind `after` of an endpoint that behaves so.
fn stream(behaviour: Behaviour, after: u32) -> ResponseBody {
    let (tx, rx) = outbox(STREAM_BYTES);
    match behaviour {
        Behaviour::TruncateAfter(last) if after < last => {
            let whole = events(after);
            let end = format!("id: {}\n", last + 1);
            let cut = whole.find(&end).map_or(whole.len(), |at| at + end.len());
            tx.push(&whole.as_bytes()[..cut]);
            // Time for what was written to arrive; then the stream breaks off.
            compio::runtime::spawn(async move {
                compio::time::sleep(std::time::Duration::from_millis(50)).await;
                drop(tx);
            })
            .detach();
        }
        Behaviour::Hang => {
            tx.push(events(after).split_inclusive("\n\n").next().unwrap_or("").as_bytes());
            compio::runtime::spawn(async move {
                std::future::poll_fn(|cx| tx.poll_closed(cx)).await;
            })
            .detach();
        }
        Behaviour::Steady => {
            compio::runtime::spawn(async move {
                for event in events(after).split_inclusive("\n\n") {
                    compio::time::sleep(EVENT_EVERY).await;
                    tx.push(event.as_bytes());
                }
                tx.finish();
            })
            .detach();
        }
        _ => {
            tx.push(events(after).as_bytes());
            tx.finish();
        }
    }
    ResponseBody::Streamed(rx)
}

fn answer(
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

//! Callers that continuously send requests of every kind, and the responses that they received.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use rand::RngExt;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_server::util::hash;

use crate::Caller;
use crate::caller::ReceivedResponse;
use crate::soak::world::HOST;
use crate::soak::world::KEY;
use crate::stream_caller::StreamEvent;

/// Number of concurrent callers.
const CALLERS: u64 = 6;

/// Number of concurrent callers that send only streams that may be resumed.
const STREAM_CALLERS: u64 = 8;

/// Time between a caller's response and its next request.
const THINK_TIME: Duration = Duration::from_millis(12);

/// Maximum number of requests for one stream.
const MAX_TRIES: u32 = 4;

/// Addresses of the entry boxes for callers, by number; none while a box is stopped.
pub type EntryAddresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request that may run more than once.
    Repeatable,
    /// A request that may run at most once.
    Once,
    /// A stream that may be resumed at another endpoint.
    Resumable,
    /// A stream that may run at most once.
    Fixed,
    /// The same, from endpoints that convey the end of a stream only by closing the connection.
    Unframed,
    /// A stream that may be repeated, from endpoints that crash on [`DEADLY_PART`] of a prompt.
    Parts,
}

/// The part of prompts on which some endpoints crash.
pub const DEADLY_PART: &str = "0badcafe";

/// Share of the requests to these endpoints that have the part.
const DEADLY_SHARE: f64 = 0.2;

/// Number of concurrent callers that send to these endpoints.
const PARTS_CALLERS: u64 = 3;

impl Kind {
    const ALL: [Self; 5] =
        [Self::Repeatable, Self::Once, Self::Resumable, Self::Fixed, Self::Unframed];

    fn path(self) -> &'static str {
        match self {
            Self::Repeatable => "/safe/x",
            Self::Once => "/once/x",
            Self::Resumable => "/stream/x",
            Self::Fixed => "/fixed/x",
            Self::Unframed => "/unframed/x",
            Self::Parts => "/parts/x",
        }
    }

    /// Whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Fixed | Self::Unframed | Self::Parts)
    }

    /// Whether the request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Resumable | Self::Parts)
    }
}

/// One request with its response.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Value of `x-request-id`.
    pub id: String,
    /// Whether it may be repeated, and whether it is a stream.
    pub kind: Kind,
    /// Whether its prompt has [`DEADLY_PART`].
    pub is_deadly: bool,
    /// The request that brought the first event of the stream: this one, unless it takes a stream
    /// up.
    pub first: String,
    /// Number of the event after which it takes a stream up; 0 if it doesn't.
    pub after: u32,
    /// The whole events received, also of an incomplete response; none in place of one of another
    /// form.
    pub events: Vec<Option<StreamEvent>>,
    /// The entry box that it was sent to.
    pub entry: usize,
    /// When the caller began to send it.
    pub sent: Instant,
    /// When the response was complete or the connection had failed.
    pub ended: Instant,
    /// The complete response; none if the connection failed before.
    pub response: Option<ReceivedResponse>,
}

impl CallerRequest {
    /// Whether it received a complete response with status 200.
    pub fn is_served(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.status == 200)
    }

    /// The body of the request, which a response that is no stream repeats.
    pub fn body(&self) -> String {
        body_of(&self.id)
    }

    /// The stream that its caller has after it and may take up.
    fn interrupted(&self, tries: u32) -> Option<Interrupted> {
        let last = self.events.iter().flatten().last().map_or(self.after, |event| event.number);
        let may_go_on = self.kind == Kind::Resumable && !self.is_served() && tries < MAX_TRIES;
        (may_go_on && last > 0).then(|| Interrupted { first: self.first.clone(), last, tries })
    }
}

/// A stream that a caller has received in part.
#[derive(Debug)]
struct Interrupted {
    /// Id of the request that brought the first event.
    first: String,
    /// Number of the last event received.
    last: u32,
    /// Number of requests for it.
    tries: u32,
}

fn body_of(id: &str) -> String {
    format!("body of {id}")
}

/// The parts of a request's prompt. Those for endpoints that crash on a part are never alike.
fn prompt_of(kind: Kind, id: &str, is_deadly: bool) -> String {
    if kind != Kind::Parts {
        return "5c1e07a2:800,91bd3f06:410,e4402b7d:250".to_owned();
    }
    let own = hash::of(id);
    let deadly = if is_deadly { format!("{DEADLY_PART}:300,") } else { String::new() };
    format!("5c1e07a2:800,91bd3f06:410,{deadly}{own:x}:250")
}

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<CallerRequest>>>,
}

impl Callers {
    /// Starts the callers, which send to the entry boxes that have an address in `entries`.
    ///
    /// # Panics
    ///
    /// If a caller's event loop can't be started.
    pub fn start(seed: u64, entries: &EntryAddresses) -> Self {
        Self::start_with(seed, entries, 0..CALLERS, &Kind::ALL)
    }

    /// Starts callers that send only streams that may be resumed, beside the others.
    ///
    /// # Panics
    ///
    /// If a caller's event loop can't be started.
    pub fn start_streams(seed: u64, entries: &EntryAddresses) -> Self {
        let numbers = CALLERS..CALLERS + STREAM_CALLERS;
        Self::start_with(seed, entries, numbers, &[Kind::Resumable])
    }

    /// Starts callers that send requests which are never alike, some of them with a part on which
    /// endpoints crash.
    ///
    /// # Panics
    ///
    /// If a caller's event loop can't be started.
    pub fn start_parts(seed: u64, entries: &EntryAddresses) -> Self {
        let first = CALLERS + STREAM_CALLERS;
        Self::start_with(seed, entries, first..first + PARTS_CALLERS, &[Kind::Parts])
    }

    fn start_with(
        seed: u64,
        entries: &EntryAddresses,
        numbers: Range<u64>,
        kinds: &'static [Kind],
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let (stop, entries) = (Arc::clone(&stop), Arc::clone(entries));
            std::thread::spawn(move || {
                let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
                runtime.block_on(send_all(seed, number, kinds, &stop, &entries))
            })
        };
        let threads = numbers.map(start).collect();
        Self { stop, threads }
    }

    /// Waits until each caller has finished its last request, and returns all requests.
    ///
    /// # Panics
    ///
    /// If a caller panicked.
    pub fn finish(self) -> Vec<CallerRequest> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("no caller panicked"))
            .collect()
    }
}

async fn send_all(
    seed: u64,
    number: u64,
    kinds: &[Kind],
    stop: &AtomicBool,
    entries: &Mutex<Vec<Option<SocketAddr>>>,
) -> Vec<CallerRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number + 1));
    let mut requests = Vec::new();
    let mut interrupted: Option<Interrupted> = None;
    while !stop.load(Ordering::Relaxed) {
        compio::time::sleep(THINK_TIME).await;
        let (entry, address) = {
            let entries = entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            let entry = rng.random_range(0..entries.len());
            (entry, entries[entry])
        };
        let Some(address) = address else { continue };
        let kind = match interrupted {
            Some(_) => Kind::Resumable,
            None => kinds[rng.random_range(0..kinds.len())],
        };
        let id = format!("{seed:x}-{number}-{}", requests.len());
        let is_deadly = kind == Kind::Parts && rng.random_bool(DEADLY_SHARE);
        let request = send(address, entry, kind, id, is_deadly, interrupted.as_ref()).await;
        interrupted = request.interrupted(interrupted.map_or(1, |stream| stream.tries + 1));
        requests.push(request);
    }
    requests
}

/// Sends a request, which takes up the stream `interrupted` if there is one.
async fn send(
    address: SocketAddr,
    entry: usize,
    kind: Kind,
    id: String,
    is_deadly: bool,
    interrupted: Option<&Interrupted>,
) -> CallerRequest {
    let prompt = prompt_of(kind, &id, is_deadly);
    let after = interrupted.map_or(0, |stream| stream.last);
    let last = after.to_string();
    let mut headers = vec![("x-request-id", id.as_str()), ("x-deadline-ms", "3000")];
    if kind.is_stream() {
        headers.extend([
            ("x-model", "m"),
            ("x-token-usage", "1460,80"),
            ("x-prompt-prefix", &*prompt),
        ]);
    }
    if let Some(stream) = interrupted {
        headers.extend([("last-event-id", &*last), ("resumes", &*stream.first)]);
    }
    let caller = Caller::new(address, KEY).with_host(HOST);
    let sent = Instant::now();
    let response = match caller.try_open(Method::POST, kind.path(), &headers, body_of(&id)).await {
        Some(response) => Some(response.finish().await),
        None => None,
    };
    let is_versioned = matches!(kind, Kind::Resumable | Kind::Fixed);
    let received = response.as_ref().filter(|response| is_versioned && response.status == 200);
    CallerRequest {
        first: interrupted.map_or_else(|| id.clone(), |stream| stream.first.clone()),
        after,
        events: received.map(|response| StreamEvent::all_in(&response.body)).unwrap_or_default(),
        kind,
        is_deadly,
        entry,
        sent,
        ended: Instant::now(),
        response: response.filter(|response| response.complete),
        id,
    }
}

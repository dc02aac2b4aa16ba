//! Callers that send requests of every kind all the time, and what they saw.

use std::net::SocketAddr;
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

use crate::Caller;
use crate::caller::ReceivedResponse;
use crate::soak::world::HOST;
use crate::soak::world::KEY;
use crate::wire_endpoint::events;

/// Callers that send at the same time.
const CALLERS: u64 = 6;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(12);

/// Where entry boxes take requests now, by their number; none while they are down.
pub type EntryAddresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May be repeated.
    Repeatable,
    /// May run once.
    Once,
    /// A stream that may be taken up elsewhere.
    Resumable,
    /// A stream that may run once.
    Fixed,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Repeatable, Self::Once, Self::Resumable, Self::Fixed];

    fn path(self) -> &'static str {
        match self {
            Self::Repeatable => "/safe/x",
            Self::Once => "/once/x",
            Self::Resumable => "/stream/x",
            Self::Fixed => "/fixed/x",
        }
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Fixed)
    }

    /// Whether it may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Resumable)
    }
}

/// One request with what its caller saw.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The entry box that it was sent to.
    pub entry: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// The whole answer; none if the connection ended without one.
    pub answer: Option<ReceivedResponse>,
}

impl CallerRequest {
    /// Whether it got a whole answer of success.
    pub fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status == 200)
    }

    /// The body that success must have.
    pub fn expected_body(&self) -> String {
        if self.kind.is_stream() { events(0) } else { body_of(&self.id) }
    }
}

fn body_of(id: &str) -> String {
    format!("body of {id}")
}

/// Callers at work.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<CallerRequest>>>,
}

impl Callers {
    /// Starts them.
    ///
    /// # Panics
    ///
    /// If a caller's event loop can't be started.
    pub fn start(seed: u64, entries: &EntryAddresses) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let (stop, entries) = (Arc::clone(&stop), Arc::clone(entries));
            std::thread::spawn(move || {
                let runtime = compio::runtime::Runtime::new().expect("the loop starts");
                runtime.block_on(send_all(seed, number, &stop, &entries))
            })
        };
        let threads = (0..CALLERS).map(start).collect();
        Self { stop, threads }
    }

    /// Lets them end their last request and returns what they saw.
    ///
    /// # Panics
    ///
    /// If a caller panicked.
    pub fn finish(self) -> Vec<CallerRequest> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a caller ends")).collect()
    }
}

async fn send_all(
    seed: u64,
    number: u64,
    stop: &AtomicBool,
    entries: &Mutex<Vec<Option<SocketAddr>>>,
) -> Vec<CallerRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number + 1));
    let mut calls = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        compio::time::sleep(PAUSE).await;
        let (entry, address) = {
            let entries = entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            let entry = rng.random_range(0..entries.len());
            (entry, entries[entry])
        };
        let Some(address) = address else { continue };
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let id = format!("{seed:x}-{number}-{}", calls.len());
        calls.push(send(address, entry, kind, id).await);
    }
    calls
}

async fn send(address: SocketAddr, entry: usize, kind: Kind, id: String) -> CallerRequest {
    let mut headers = vec![("x-request-id", id.as_str()), ("x-deadline-ms", "3000")];
    if kind.is_stream() {
        headers.extend([
            ("x-model", "m"),
            ("x-token-usage", "1460,80"),
            ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ]);
    }
    let caller = Caller::new(address, KEY).with_host(HOST);
    let sent = Instant::now();
    let answer = caller.try_send_with(Method::POST, kind.path(), &headers, &body_of(&id)).await;
    CallerRequest { kind, entry, sent, ended: Instant::now(), answer, id }
}

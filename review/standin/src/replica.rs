//! A replica of a plain service, as `PROTOCOL.md` describes replicas: it works on `slots` requests
//! at a time, queues a few more, and rejects the rest with 503 and `X-Not-Run`.
//!
//! One that is faulty sends a second copy of a small share of its answers, as `PROTOCOL.md` says of
//! surplus answers: late, in the place where the next one is due, on the same connection.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::random::Random;
use crate::record::Record;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// How a replica works.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Time for one request.
    pub work: Duration,
    /// Share of its answers of which a second copy follows.
    pub surplus: f64,
}

/// What a replica saw and sent.
#[derive(Debug, Default)]
pub struct Counts {
    /// Answers sent, refusals among them.
    pub answers: AtomicU64,
    /// Refusals sent.
    pub refusals: AtomicU64,
    /// Answers drawn of which a second copy was to follow.
    pub drawn: AtomicU64,
    /// Second copies sent.
    pub surplus: AtomicU64,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    queued: usize,
}

/// Called with a request's id when a replica begins to work on it.
pub type Runs = Arc<dyn Fn(&str, &str) + Send + Sync>;

/// A running replica.
pub struct Replica {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// What it saw and sent.
    pub counts: Arc<Counts>,
}

struct Shared {
    id: String,
    behaviour: Behaviour,
    load: Mutex<Load>,
    freed: Condvar,
    random: Mutex<Random>,
    counts: Arc<Counts>,
    runs: Runs,
    record: Arc<Record>,
    faulty: Arc<AtomicBool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The answer to a request.
struct Answer {
    status: &'static str,
    id: String,
    not_run: bool,
    body: String,
}

impl Answer {
    fn bytes(&self, replica: &str) -> Vec<u8> {
        let Self { status, id, not_run, body } = self;
        let not_run = if *not_run { "X-Not-Run: 1\r\n" } else { "" };
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Stamp: {replica}.{id}\r\n\
             {not_run}Content-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

impl Replica {
    /// Starts a replica. While `faulty` is set, second copies of its answers follow.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn spawn(
        id: &str,
        seed: u64,
        behaviour: Behaviour,
        runs: Runs,
        record: Arc<Record>,
        faulty: Arc<AtomicBool>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            behaviour,
            load: Mutex::default(),
            freed: Condvar::new(),
            random: Mutex::new(Random::new(seed)),
            counts: Arc::clone(&counts),
            runs,
            record,
            faulty,
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(&shared, Connection::new(stream)));
            }
        });
        Ok(Self { id: id.to_owned(), address, counts })
    }
}

/// Sends the heartbeats of a replica, each to one of the machines that serve control, and to the next
/// one if that doesn't acknowledge it, until the replica `leaves`.
pub fn register(
    id: &str,
    address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    controls: Vec<SocketAddr>,
    leaves: Arc<AtomicBool>,
) {
    let id = id.to_owned();
    thread::spawn(move || {
        let mut n = usize::from(address.port());
        for seq in 1_u64.. {
            let body = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":{seq}}}"#
            );
            let path = format!("/instances/{id}/heartbeat");
            for _ in 0..controls.len() {
                if leaves.load(Ordering::Relaxed) {
                    return;
                }
                n += 1;
                let control = controls[n % controls.len()];
                let wait = Duration::from_secs(1);
                let response = http::call(control, "POST", &path, &body, wait);
                if response.is_ok_and(|head| head.status() / 100 == 2) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}

/// Answers the requests of one connection, one at a time.
fn serve(shared: &Shared, mut connection: Connection) {
    let mut surplus: Option<(Vec<u8>, String, bool)> = None;
    while let Ok(head) = connection.read_head(None) {
        if connection.read_body(&head, None).is_err() {
            return;
        }
        if let Some((bytes, of, refused)) = surplus.take() {
            let kind = if refused { "refusal" } else { "answer" };
            let due = head.get("x-request-id").unwrap_or_default();
            let id = &shared.id;
            shared.record.line(format!("{id} sends the {kind} to {of} again, where {due} is due"));
            shared.counts.surplus.fetch_add(1, Ordering::Relaxed);
            if connection.write(&bytes).is_err() {
                return;
            }
        }
        let answer = shared.answer(&head);
        let bytes = answer.bytes(&shared.id);
        shared.counts.answers.fetch_add(1, Ordering::Relaxed);
        if answer.not_run {
            shared.counts.refusals.fetch_add(1, Ordering::Relaxed);
        }
        let follows = shared.faulty.load(Ordering::Relaxed)
            && lock(&shared.random).fraction() < shared.behaviour.surplus;
        if follows {
            shared.counts.drawn.fetch_add(1, Ordering::Relaxed);
            surplus = Some((bytes.clone(), answer.id, answer.not_run));
        }
        if connection.write(&bytes).is_err() {
            return;
        }
    }
}

impl Shared {
    fn answer(&self, head: &Head) -> Answer {
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        let refuse = |status: &'static str| {
            self.record.line(format!("{} refuses {id} ({status})", self.id));
            Answer { status, id: id.clone(), not_run: true, body: String::new() }
        };
        if head.get("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return refuse("421 Misdirected Request");
        }
        let left = head.get("x-deadline-ms").and_then(|left| left.parse().ok()).unwrap_or(600);
        let until = Instant::now() + Duration::from_millis(left);
        if !self.begin(until) {
            return refuse("503 Service Unavailable");
        }
        (self.runs)(&id, &self.id);
        self.record.line(format!("{} runs {id}", self.id));
        thread::sleep(self.behaviour.work);
        lock(&self.load).running -= 1;
        self.freed.notify_one();
        Answer { status: "200 OK", body: format!("done {id}"), id, not_run: false }
    }

    /// Waits for a slot; false if the queue is full, or the deadline passes in it.
    fn begin(&self, until: Instant) -> bool {
        let mut load = lock(&self.load);
        if load.running >= self.behaviour.slots {
            if load.queued >= self.behaviour.queue {
                return false;
            }
            load.queued += 1;
            while load.running >= self.behaviour.slots {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.queued -= 1;
                    return false;
                }
                let waited = self.freed.wait_timeout(load, left);
                load = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
            load.queued -= 1;
        }
        load.running += 1;
        true
    }
}

//! A stand-in for an endpoint that writes the bytes of its responses itself: framed in any way that
//! HTTP allows, ended at any place, with or without the end of its process.

use std::collections::VecDeque;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::SockRef;

use crate::ports;
use crate::wire_endpoint;
use crate::wire_endpoint::DEFAULT_VERSION;

/// How the length of a response's body is conveyed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// In chunks, the last of which is sent after the body.
    Chunks,
    /// With a `Content-Length` that is the body's.
    Length,
    /// With a `Content-Length` of which the last bytes are never sent.
    CutLength,
    /// Not at all: the body ends with the connection.
    UntilClose,
}

/// What happens after the last byte of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The connection is closed in order.
    Close,
    /// The connection is closed in order. Next, the endpoint has too many connections: it resets the
    /// first ones that are opened.
    CloseWhileFull,
    /// The connection is reset.
    Reset,
    /// The endpoint's process ends, and the operating system closes its sockets in order, that which
    /// listens first.
    Crash,
    /// The same, but the request's connection is closed some milliseconds before the other sockets.
    SlowCrash,
    /// Nothing: the connection stays open.
    Open,
}

/// A scripted response to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status and its phrase.
    pub status: &'static str,
    /// The type of the body; no header if none.
    pub content_type: Option<&'static str>,
    /// How the body is framed.
    pub framing: Framing,
    /// The body.
    pub body: String,
    /// What follows the body.
    pub end: End,
}

impl Answer {
    /// A successful event stream with this body.
    pub fn stream(framing: Framing, body: impl Into<String>, end: End) -> Self {
        let content_type = Some("text/event-stream");
        Self { status: "200 OK", content_type, framing, body: body.into(), end }
    }

    /// A successful response of another type with this body.
    pub fn buffered(framing: Framing, body: impl Into<String>, end: End) -> Self {
        let content_type = Some("application/json");
        Self { status: "200 OK", content_type, framing, body: body.into(), end }
    }

    fn write_to(&self, connection: &mut TcpStream, instance: &str, id: &str) {
        let content_type = self.content_type.map(|value| format!("content-type: {value}\r\n"));
        let head = format!(
            "HTTP/1.1 {}\r\nconnection: close\r\nx-request-id: {id}\r\n\
             x-response-stamp: stamp-{instance}\r\n{}",
            self.status,
            content_type.unwrap_or_default()
        );
        let body = &self.body;
        let length = body.len();
        let bytes = match self.framing {
            Framing::Chunks if length == 0 => {
                format!("{head}transfer-encoding: chunked\r\n\r\n0\r\n\r\n")
            }
            Framing::Chunks => {
                format!("{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
            Framing::Length => format!("{head}content-length: {length}\r\n\r\n{body}"),
            Framing::CutLength => {
                format!("{head}content-length: {}\r\n\r\n{body}", length + MISSING_BYTES)
            }
            Framing::UntilClose => format!("{head}\r\n{body}"),
        };
        // Tests break connections on purpose.
        let _broken = connection.write_all(bytes.as_bytes());
    }
}

/// The scripted responses of one or several endpoints: each request takes the next one, and the last
/// one is repeated.
#[derive(Debug, Clone)]
pub struct Script(Arc<Mutex<VecDeque<Answer>>>);

impl Script {
    /// A script with these responses.
    pub fn new(answers: impl IntoIterator<Item = Answer>) -> Self {
        Self(Arc::new(Mutex::new(answers.into_iter().collect())))
    }

    /// Replaces the responses that have not been sent.
    pub fn replace(&self, answers: impl IntoIterator<Item = Answer>) {
        *lock(&self.0) = answers.into_iter().collect();
    }

    fn next(&self) -> Answer {
        let mut answers = lock(&self.0);
        let last = answers.front().cloned();
        match answers.len() {
            0 | 1 => last.expect("a script has a response"),
            _ => answers.pop_front().expect("the script has responses"),
        }
    }
}

/// A request as the endpoint received it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawRequest {
    /// Method, path and protocol version.
    pub line: String,
    /// Value of `x-request-id`.
    pub id: String,
    /// Value of `last-event-id`.
    pub after: Option<String>,
    /// Value of `x-expect-instance`.
    expected: Option<String>,
    /// Length of the body.
    length: u64,
}

#[derive(Debug, Default)]
struct State {
    received: Vec<RawRequest>,
    /// The open connections, which end with the process.
    open: Vec<TcpStream>,
    has_crashed: bool,
}

/// What the threads of one endpoint share.
#[derive(Debug)]
struct Shared {
    instance: String,
    listener: TcpListener,
    script: Script,
    state: Mutex<State>,
    /// How many of the next connections are reset.
    resets: AtomicUsize,
}

/// A running endpoint, which serves each connection in a thread of its own. It crashes as its script
/// says, or when it is dropped.
#[derive(Debug)]
pub struct RawEndpoint {
    shared: Arc<Shared>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

/// Bytes that are announced and never sent.
const MISSING_BYTES: usize = 8;

/// Connections that an endpoint with too many of them resets: those of one check.
const RESETS_WHILE_FULL: usize = 3;

/// Time for written bytes to arrive before a reset overtakes them.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RawEndpoint {
    /// Starts an endpoint with the given instance id, whose responses are those of `script`.
    ///
    /// # Panics
    ///
    /// If the port can't be bound or the thread can't be started.
    pub fn spawn(instance: &str, script: &Script) -> Self {
        let listener = ports::listen();
        let address = listener.local_addr().expect("a bound socket");
        let shared = Arc::new(Shared {
            instance: instance.to_owned(),
            listener,
            script: script.clone(),
            state: Mutex::default(),
            resets: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::Builder::new().name(format!("raw-endpoint-{instance}"));
        let thread = thread.spawn(move || accept(&accepting)).expect("a thread starts");
        Self { shared, address, thread: Some(thread) }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests received that were meant for this endpoint.
    pub fn received(&self) -> Vec<RawRequest> {
        lock(&self.shared.state).received.clone()
    }

    /// Whether it has crashed, as its script says.
    pub fn has_crashed(&self) -> bool {
        lock(&self.shared.state).has_crashed
    }

    /// Path and body of a heartbeat.
    pub fn heartbeat(&self, service: &str, state: &str, seq: u64) -> (String, String) {
        let Shared { instance, .. } = &*self.shared;
        wire_endpoint::heartbeat(instance, self.address, service, state, seq, DEFAULT_VERSION)
    }
}

impl Drop for RawEndpoint {
    fn drop(&mut self) {
        self.shared.crash();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("a stand-in's thread panicked");
        }
    }
}

impl Shared {
    /// Whether a new connection is to be reset.
    fn takes_reset(&self) -> bool {
        let one_less = |resets: usize| resets.checked_sub(1);
        self.resets.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less).is_ok()
    }

    /// Ends the listening socket and all connections. The port stays bound, so that no other process
    /// gets it.
    fn crash(&self) {
        // A socket that has ended already can't be shut down.
        let _ended = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        let mut state = lock(&self.state);
        state.has_crashed = true;
        for connection in state.open.drain(..) {
            let _ended = connection.shutdown(Shutdown::Both);
        }
    }
}

fn accept(shared: &Arc<Shared>) {
    // Fails once the listening socket has been shut down.
    while let Ok((connection, _)) = shared.listener.accept() {
        if shared.takes_reset() {
            let lingers = SockRef::from(&connection).set_linger(Some(Duration::ZERO));
            lingers.expect("the connection can be reset");
            continue;
        }
        if let Ok(connection) = connection.try_clone() {
            lock(&shared.state).open.push(connection);
        }
        let shared = Arc::clone(shared);
        std::thread::spawn(move || serve(&shared, connection));
    }
}

/// Serves the first request of a connection, which ends as the script says.
fn serve(shared: &Shared, connection: TcpStream) {
    let mut connection = connection;
    let Some(request) = read_request(&connection) else { return };
    let id = request.id.clone();
    if request.expected.as_ref().is_some_and(|expected| *expected != shared.instance) {
        let answer = Answer {
            status: "421 Misdirected Request",
            ..Answer::buffered(Framing::Length, "", End::Close)
        };
        answer.write_to(&mut connection, &shared.instance, &id);
        return end(&connection);
    }
    lock(&shared.state).received.push(request);
    let answer = shared.script.next();
    answer.write_to(&mut connection, &shared.instance, &id);
    match answer.end {
        End::Close => end(&connection),
        // The endpoint keeps a reference to the connection.
        End::Open => {}
        End::CloseWhileFull => {
            shared.resets.store(RESETS_WHILE_FULL, Ordering::SeqCst);
            end(&connection);
        }
        End::Crash => shared.crash(),
        End::SlowCrash => {
            end(&connection);
            std::thread::sleep(wire_endpoint::LISTENER_CLOSE_DELAY);
            shared.crash();
        }
        End::Reset => {
            std::thread::sleep(ARRIVAL_TIME);
            reset_on_close(shared, &connection);
        }
    }
}

/// Closes a connection in order.
fn end(connection: &TcpStream) {
    let _ended = connection.shutdown(Shutdown::Both);
}

/// Makes a connection be reset when it is closed, and keeps no other reference to it.
fn reset_on_close(shared: &Shared, connection: &TcpStream) {
    let peer = connection.peer_addr().ok();
    lock(&shared.state).open.retain(|open| open.peer_addr().ok() != peer);
    let lingers = SockRef::from(connection).set_linger(Some(Duration::ZERO));
    lingers.expect("the connection can be reset");
}

/// Reads a request with its body; none if the connection ends before.
pub(crate) fn read_request(connection: &TcpStream) -> Option<RawRequest> {
    let mut reader = BufReader::new(connection);
    let mut request = RawRequest::default();
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.trim_end().clone_into(&mut request.line);
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        let value = value.trim().to_owned();
        match &*name.to_ascii_lowercase() {
            "x-request-id" => request.id = value,
            "last-event-id" => request.after = Some(value),
            "x-expect-instance" => request.expected = Some(value),
            "content-length" => request.length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = Vec::new();
    reader.take(request.length).read_to_end(&mut body).ok()?;
    Some(request)
}

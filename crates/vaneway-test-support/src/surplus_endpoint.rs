//! A stand-in for an endpoint that sends more responses than it got requests: a surplus one arrives on
//! its connection late, in the place where the response to the next request is due.

use std::collections::VecDeque;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::ports;
use crate::raw_endpoint::read_request;
use crate::wire_endpoint;
use crate::wire_endpoint::DEFAULT_VERSION;

/// Header of refusals: the request was not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// What a response says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Says {
    /// The request has run; the body names it.
    Ran,
    /// The request has not run: status 503 with [`NOT_RUN_HEADER`].
    Refused,
    /// Another endpoint has the address: status 421 with [`NOT_RUN_HEADER`].
    Misdirected,
}

/// How the endpoint handles one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Its response. The request runs if the response says so.
    pub response: Says,
    /// A second response to it, which is sent once the next request on its connection has arrived.
    pub surplus: Option<Says>,
}

impl Turn {
    /// A response that is sent once.
    pub fn once(response: Says) -> Self {
        Self { response, surplus: None }
    }

    /// A response of which a second copy follows.
    pub fn twice(response: Says) -> Self {
        Self { response, surplus: Some(response) }
    }
}

/// A request that the endpoint received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handled {
    /// Its id.
    pub id: String,
    /// Number of its connection, in the order in which they were opened.
    pub connection: usize,
    /// Whether it ran.
    pub ran: bool,
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Turn>,
    handled: Vec<Handled>,
    /// Number of surplus responses sent.
    surplus: u32,
}

#[derive(Debug)]
struct Shared {
    instance: String,
    returns_ids: bool,
    state: Mutex<State>,
}

/// A running endpoint, which serves each connection in a thread of its own until the test ends.
#[derive(Debug)]
pub struct SurplusEndpoint {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl SurplusEndpoint {
    /// Starts an endpoint that returns the ids of requests. It handles requests as `script` says, and
    /// further ones with [`Says::Ran`].
    ///
    /// # Panics
    ///
    /// If the port can't be bound or the thread can't be started.
    pub fn spawn(instance: &str, script: impl IntoIterator<Item = Turn>) -> Self {
        Self::start(instance, true, script)
    }

    /// Starts an endpoint whose responses have no ids.
    ///
    /// # Panics
    ///
    /// As [`SurplusEndpoint::spawn`].
    pub fn spawn_without_ids(instance: &str, script: impl IntoIterator<Item = Turn>) -> Self {
        Self::start(instance, false, script)
    }

    fn start(instance: &str, returns_ids: bool, script: impl IntoIterator<Item = Turn>) -> Self {
        let listener = ports::listen();
        let address = listener.local_addr().expect("a bound socket");
        let state = State { script: script.into_iter().collect(), ..State::default() };
        let instance = instance.to_owned();
        let shared = Arc::new(Shared { instance, returns_ids, state: Mutex::new(state) });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::Builder::new().name("surplus-endpoint".to_owned());
        thread.spawn(move || accept(&accepting, &listener)).expect("a thread starts");
        Self { shared, address }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests received, in order.
    pub fn handled(&self) -> Vec<Handled> {
        self.shared.state().handled.clone()
    }

    /// Number of runs of the request with this id.
    pub fn runs(&self, id: &str) -> usize {
        self.handled().iter().filter(|handled| handled.id == id && handled.ran).count()
    }

    /// Number of surplus responses sent.
    pub fn surplus(&self) -> u32 {
        self.shared.state().surplus
    }

    /// Path and body of a heartbeat.
    pub fn heartbeat(&self, service: &str, seq: u64) -> (String, String) {
        let Shared { instance, .. } = &*self.shared;
        wire_endpoint::heartbeat(instance, self.address, service, "ready", seq, DEFAULT_VERSION)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The bytes of a response to the request with this id.
    fn response(&self, says: Says, id: &str) -> String {
        let (status, not_run, body) = match says {
            Says::Ran => ("200 OK", "", format!("ran {id}")),
            Says::Refused => ("503 Service Unavailable", NOT_RUN_HEADER, String::new()),
            Says::Misdirected => ("421 Misdirected Request", NOT_RUN_HEADER, String::new()),
        };
        let not_run = if not_run.is_empty() { String::new() } else { format!("{not_run}: 1\r\n") };
        let id = if self.returns_ids { format!("x-request-id: {id}\r\n") } else { String::new() };
        let Self { instance, .. } = self;
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\n{id}{not_run}x-response-stamp: stamp-{instance}\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
    }

    /// Handles a request on a connection and returns how.
    fn handle(&self, id: &str, connection: usize) -> Turn {
        let mut state = self.state();
        let turn = state.script.pop_front().unwrap_or(Turn::once(Says::Ran));
        let ran = turn.response == Says::Ran;
        state.handled.push(Handled { id: id.to_owned(), connection, ran });
        turn
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for (connection, stream) in listener.incoming().flatten().enumerate() {
        let shared = Arc::clone(shared);
        std::thread::spawn(move || serve(&shared, connection, stream));
    }
}

/// Serves the requests of a connection, one after the other.
fn serve(shared: &Shared, connection: usize, stream: TcpStream) {
    let mut stream = stream;
    let mut surplus: Option<String> = None;
    while let Some(request) = read_request(&stream) {
        let mut bytes = String::new();
        if let Some(surplus) = surplus.take() {
            shared.state().surplus += 1;
            bytes += &surplus;
        }
        let turn = shared.handle(&request.id, connection);
        bytes += &shared.response(turn.response, &request.id);
        surplus = turn.surplus.map(|says| shared.response(says, &request.id));
        if stream.write_all(bytes.as_bytes()).is_err() {
            return;
        }
    }
}

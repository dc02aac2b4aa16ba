//! A stand-in for an endpoint in trouble: it answers each request with bytes that never end, until its
//! caller closes the connection.

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
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use crate::ports;
use crate::wire_endpoint;
use crate::wire_endpoint::DEFAULT_VERSION;

/// Bytes of one write of an endpoint that sends as fast as it can.
const WRITE_BYTES: usize = 64 << 10;

/// Timeout of every wait for connections to close; far longer than any should take.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at them.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What an endpoint answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unending {
    /// The bytes that come first; `{id}` is replaced by the request's id.
    pub first: String,
    /// The bytes that are repeated without end.
    pub unit: String,
    /// Time between two bytes; none for as many as the connection takes.
    pub pause: Option<Duration>,
}

#[derive(Debug, Default)]
struct State {
    received: Vec<String>,
    open: Vec<TcpStream>,
    stopped: bool,
}

#[derive(Debug)]
struct Shared {
    instance: String,
    listener: TcpListener,
    answer: Unending,
    state: Mutex<State>,
}

/// A running endpoint, which serves each connection in a thread of its own until dropped.
#[derive(Debug)]
pub struct UnendingEndpoint {
    shared: Arc<Shared>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl UnendingEndpoint {
    /// Starts an endpoint with the given instance id.
    ///
    /// # Panics
    ///
    /// If the port can't be bound or the thread can't be started.
    pub fn spawn(instance: &str, answer: &Unending) -> Self {
        let listener = ports::listen();
        let address = listener.local_addr().expect("a bound socket");
        let shared = Arc::new(Shared {
            instance: instance.to_owned(),
            listener,
            answer: answer.clone(),
            state: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::Builder::new().name(format!("unending-{instance}"));
        let thread = thread.spawn(move || accept(&accepting)).expect("a thread starts");
        Self { shared, address, thread: Some(thread) }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The ids of the requests received.
    pub fn received(&self) -> Vec<String> {
        self.shared.lock().received.clone()
    }

    /// Waits until its callers have closed all connections with an unending answer; false if they
    /// don't.
    pub fn is_left(&self) -> bool {
        let until = Instant::now() + CLOSE_TIMEOUT;
        while !self.shared.lock().open.is_empty() {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        true
    }

    /// Path and body of a heartbeat.
    pub fn heartbeat(&self, service: &str, state: &str, seq: u64) -> (String, String) {
        let instance = &self.shared.instance;
        wire_endpoint::heartbeat(instance, self.address, service, state, seq, DEFAULT_VERSION)
    }
}

impl Drop for UnendingEndpoint {
    fn drop(&mut self) {
        self.shared.stop();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("a stand-in's thread panicked");
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stop(&self) {
        // A socket that has ended already can't be shut down.
        let _ended = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        let mut state = self.lock();
        state.stopped = true;
        for connection in state.open.drain(..) {
            let _ended = connection.shutdown(Shutdown::Both);
        }
    }

    /// Notes an unending answer that begins; false if the endpoint has stopped.
    fn begin(&self, connection: &TcpStream, id: &str) -> bool {
        let mut state = self.lock();
        state.received.push(id.to_owned());
        let open = connection.try_clone().ok().filter(|_| !state.stopped);
        let begins = open.is_some();
        state.open.extend(open);
        begins
    }

    fn end(&self, connection: &TcpStream) {
        let peer = connection.peer_addr().ok();
        self.lock().open.retain(|open| open.peer_addr().ok().is_some_and(|p| Some(p) != peer));
    }
}

fn accept(shared: &Arc<Shared>) {
    // Fails once the listening socket has been shut down.
    while let Ok((connection, _)) = shared.listener.accept() {
        let shared = Arc::clone(shared);
        std::thread::spawn(move || serve(&shared, &connection));
    }
}

fn serve(shared: &Shared, connection: &TcpStream) {
    let Some(id) = read_request(connection) else { return };
    if shared.begin(connection, &id) {
        // It ends when the caller closes.
        let _closed = write_without_end(&shared.answer, connection, &id);
        shared.end(connection);
    }
}

fn write_without_end(
    answer: &Unending,
    mut connection: &TcpStream,
    id: &str,
) -> std::io::Result<()> {
    connection.set_nodelay(true)?;
    connection.write_all(answer.first.replace("{id}", id).as_bytes())?;
    let Some(pause) = answer.pause else {
        let bytes = answer.unit.repeat(WRITE_BYTES.div_ceil(answer.unit.len()));
        loop {
            connection.write_all(bytes.as_bytes())?;
        }
    };
    for byte in answer.unit.bytes().cycle() {
        connection.write_all(&[byte])?;
        std::thread::sleep(pause);
    }
    Ok(())
}

/// Reads a request with its body and returns its id; none if the connection ends before.
fn read_request(connection: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(connection);
    let (mut id, mut length) = (String::new(), 0);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        match line.split_once(": ") {
            Some(("x-request-id", value)) => value.clone_into(&mut id),
            Some(("content-length", value)) => length = value.parse().ok()?,
            _ if line.is_empty() => break,
            _ => {}
        }
    }
    let mut body = Vec::new();
    reader.take(length).read_to_end(&mut body).ok()?;
    Some(id)
}

//! A simulated entry box that sends only the messages given by the test and queues those it
//! receives.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use vaneway_server::core::cluster::wire::FromEntry;
use vaneway_server::core::cluster::wire::ToControl;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::util::frames;
use vaneway_server::util::frames::EncodedFrame;

/// Interval between two heartbeats (pings), and timeout of reads, after which a due heartbeat is
/// sent.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Number in the heartbeats' pings; the pings of a test have higher numbers.
const HEARTBEAT_NUMBER: u64 = 0;

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 64 << 10;

/// Timeout of every wait for the control box; far longer than any should take.
const MESSAGE_TIMEOUT: Duration = Duration::from_mins(1);

/// A connection to a control box until dropped. Received messages are read at once and queued for
/// the test.
#[derive(Debug)]
pub struct WireEntry {
    stream: Arc<Mutex<TcpStream>>,
    messages: Receiver<ToEntry>,
    /// Messages received while the test waited for another one.
    queued: VecDeque<ToEntry>,
    /// Number in the last ping of the test.
    pings: u64,
    thread: Option<JoinHandle<()>>,
}

impl WireEntry {
    /// Connects to a control box at its address for other boxes, and waits until it is admitted.
    ///
    /// # Panics
    ///
    /// If it can't connect or is not admitted in time.
    pub fn connect(control: SocketAddr, name: &str) -> Self {
        let stream = TcpStream::connect(control).expect("the control box accepts connections");
        stream.set_read_timeout(Some(PING_INTERVAL)).expect("the read timeout can be set");
        let reader = stream.try_clone().expect("the socket can be cloned");
        let stream = Arc::new(Mutex::new(stream));
        let writer = Arc::clone(&stream);
        let (tx, messages) = mpsc::channel();
        let thread = std::thread::spawn(move || read_all(reader, &writer, &tx));
        let queued = VecDeque::new();
        let mut entry =
            Self { stream, messages, queued, pings: HEARTBEAT_NUMBER, thread: Some(thread) };
        entry.send(FromEntry::Hello { name: name.to_owned(), boot: 1, configuration: 0, known: 0 });
        entry.wait("it is admitted", |msg| matches!(msg, ToEntry::Hello { .. }).then_some(()));
        entry.send(FromEntry::OfferConfigurations);
        entry
    }

    /// Sends a message.
    pub fn send(&self, message: FromEntry) {
        send(&self.stream, message);
    }

    /// Sends a ping, whose pong shows that the control box has handled all earlier messages;
    /// returns the pong's `sent_us`.
    pub fn send_ping(&mut self) -> u64 {
        self.pings += 1;
        self.send(FromEntry::Ping { sent_us: self.pings });
        self.pings
    }

    /// Waits until the control box has handled all messages sent before, and returns the cluster
    /// time if the control box knows it.
    ///
    /// # Panics
    ///
    /// If there is no pong in time.
    pub fn ping(&mut self) -> Option<Duration> {
        let number = self.send_ping();
        let time_us = self.wait("a ping is answered", |message| match message {
            ToEntry::Pong { sent_us, time_us } if *sent_us == number => Some(*time_us),
            _ => None,
        });
        time_us.map(Duration::from_micros)
    }

    /// The next message, in the order of arrival.
    ///
    /// # Panics
    ///
    /// If none arrives in time.
    pub fn next_message(&mut self) -> ToEntry {
        if let Some(message) = self.queued.pop_front() {
            return message;
        }
        self.messages.recv_timeout(MESSAGE_TIMEOUT).expect("a message from the control box")
    }

    /// Waits for a message for which `find` returns a value; those before it are queued for
    /// [`Self::next_message`]. `what` names the condition in the panic message.
    fn wait<T>(&mut self, what: &str, find: impl Fn(&ToEntry) -> Option<T>) -> T {
        let deadline = Instant::now() + MESSAGE_TIMEOUT;
        while let Ok(message) =
            self.messages.recv_timeout(deadline.saturating_duration_since(Instant::now()))
        {
            if let Some(found) = find(&message) {
                return found;
            }
            self.queued.push_back(message);
        }
        panic!(
            "timed out after {MESSAGE_TIMEOUT:?} waiting until {what}, \
             or the connection was closed"
        );
    }
}

impl Drop for WireEntry {
    fn drop(&mut self) {
        // The control box may have closed it already.
        let _closed = self.stream.lock().map(|stream| stream.shutdown(Shutdown::Both));
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "the reader's thread panicked");
        }
    }
}

fn send(stream: &Mutex<TcpStream>, message: FromEntry) {
    let message = EncodedFrame::new(&ToControl::Entry(message));
    // If the connection is closed, the reader's next read reports it.
    let _sent = stream.lock().expect("no writer panicked").write_all(message.frame());
}

/// Sends received messages to `messages` and heartbeats to the control box, until the connection is
/// closed.
fn read_all(mut reader: TcpStream, writer: &Mutex<TcpStream>, messages: &Sender<ToEntry>) {
    let mut partial = BytesMut::new();
    let mut buf = vec![0; READ_BYTES];
    let mut pinged = Instant::now();
    loop {
        match reader.read(&mut buf) {
            Ok(0) => return,
            Ok(count) => partial.extend_from_slice(&buf[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        while let Some(frame) = frames::take_frame(&mut partial).expect("a valid frame") {
            let message = frames::decode(&frame).expect("a valid message");
            if messages.send(message).is_err() {
                return;
            }
        }
        if pinged.elapsed() >= PING_INTERVAL {
            pinged = Instant::now();
            send(writer, FromEntry::Ping { sent_us: HEARTBEAT_NUMBER });
        }
    }
}

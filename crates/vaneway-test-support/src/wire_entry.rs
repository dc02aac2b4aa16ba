//! An entry box, as a control box sees it, that says and is told only what a test looks at.

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

/// Time between two signs of life, and between two looks whether one is due.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// What the signs of life carry; the pings of a test carry higher numbers.
const SIGN_OF_LIFE: u64 = 0;

/// Bytes read at once.
const READ_BYTES: usize = 64 << 10;

/// How long the control box may take for anything that a test waits for; far beyond what it needs.
const WITHIN: Duration = Duration::from_mins(1);

/// A connection to a control box until dropped. All that it is told is read at once, and waits for the test.
#[derive(Debug)]
pub struct WireEntry {
    stream: Arc<Mutex<TcpStream>>,
    told: Receiver<ToEntry>,
    /// What it was told while the test waited for something else.
    left: VecDeque<ToEntry>,
    pings: u64,
    thread: Option<JoinHandle<()>>,
}

impl WireEntry {
    /// Connects to a control box by its address for other boxes, and waits until it is taken in.
    ///
    /// # Panics
    ///
    /// If it can't connect, or is not taken in in time.
    pub fn connect(control: SocketAddr, name: &str) -> Self {
        let stream = TcpStream::connect(control).expect("the control box takes connections");
        stream.set_read_timeout(Some(PING_INTERVAL)).expect("a time for reads");
        let reader = stream.try_clone().expect("a second handle");
        let stream = Arc::new(Mutex::new(stream));
        let writer = Arc::clone(&stream);
        let (tx, told) = mpsc::channel();
        let thread = std::thread::spawn(move || read_all(reader, &writer, &tx));
        let left = VecDeque::new();
        let mut entry = Self { stream, told, left, pings: SIGN_OF_LIFE, thread: Some(thread) };
        entry.send(FromEntry::Hello { name: name.to_owned(), boot: 1, configuration: 0, known: 0 });
        entry.wait("it is taken in", |told| matches!(told, ToEntry::Hello { .. }).then_some(()));
        entry.send(FromEntry::OfferConfigurations);
        entry
    }

    /// Tells the control box something.
    pub fn send(&self, message: FromEntry) {
        send(&self.stream, message);
    }

    /// Asks the control box for a sign that it has taken in all that it was told; returns what its answer carries
    /// as `sent_us`.
    pub fn send_ping(&mut self) -> u64 {
        self.pings += 1;
        self.send(FromEntry::Ping { sent_us: self.pings });
        self.pings
    }

    /// Waits until the control box has taken in all that it was told, and returns the cluster's time if it knows it.
    ///
    /// # Panics
    ///
    /// If it does not answer in time.
    pub fn ping(&mut self) -> Option<Duration> {
        let number = self.send_ping();
        let time_us = self.wait("a ping is answered", |told| match told {
            ToEntry::Pong { sent_us, time_us } if *sent_us == number => Some(*time_us),
            _ => None,
        });
        time_us.map(Duration::from_micros)
    }

    /// The next message that it was told, in the order in which they came.
    ///
    /// # Panics
    ///
    /// If none comes in time.
    pub fn next_message(&mut self) -> ToEntry {
        if let Some(told) = self.left.pop_front() {
            return told;
        }
        self.told.recv_timeout(WITHIN).expect("the control box tells something")
    }

    /// Waits for a message of which `found` makes something; those before it are left for [`Self::next_message`].
    fn wait<T>(&mut self, what: &str, found: impl Fn(&ToEntry) -> Option<T>) -> T {
        let end = Instant::now() + WITHIN;
        while let Ok(told) = self.told.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let Some(found) = found(&told) {
                return found;
            }
            self.left.push_back(told);
        }
        panic!("waited in vain until {what}");
    }
}

impl Drop for WireEntry {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _closed = self.stream.lock().map(|stream| stream.shutdown(Shutdown::Both));
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "the reader's thread panicked");
        }
    }
}

fn send(stream: &Mutex<TcpStream>, message: FromEntry) {
    let message = EncodedFrame::new(&ToControl::Entry(message));
    // If the connection has ended, the reader finds out.
    let _sent = stream.lock().expect("no writer panicked").write_all(message.frame());
}

/// Hands on all that comes until the connection ends, and gives signs of life meanwhile.
fn read_all(mut reader: TcpStream, writer: &Mutex<TcpStream>, told: &Sender<ToEntry>) {
    let mut arrived = BytesMut::new();
    let mut buf = vec![0; READ_BYTES];
    let mut pinged = Instant::now();
    loop {
        match reader.read(&mut buf) {
            Ok(0) => return,
            Ok(count) => arrived.extend_from_slice(&buf[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        while let Some(frame) = frames::take_frame(&mut arrived).expect("a frame") {
            let message = frames::decode(&frame).expect("a message in a known form");
            if told.send(message).is_err() {
                return;
            }
        }
        if pinged.elapsed() >= PING_INTERVAL {
            pinged = Instant::now();
            send(writer, FromEntry::Ping { sent_us: SIGN_OF_LIFE });
        }
    }
}

//! Simulated entry boxes that read the messages of a control box slowly.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use vaneway_registry::InstanceId;
use vaneway_registry::Report;
use vaneway_server::core::cluster::wire::FromEntry;
use vaneway_server::core::cluster::wire::ToControl;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::util::frames;
use vaneway_server::util::frames::EncodedFrame;

/// Time between two reads of a slow reader.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two heartbeats (pings).
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Receive buffer of a slow reader in the operating system; small, so that the rest is queued at
/// the sender.
const RECEIVE_BYTES: usize = 64 << 10;

/// Timeout of every wait for the readers; far longer than any should take.
const READERS_TIMEOUT: Duration = Duration::from_mins(1);

/// The program version whose protocol the readers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxVersion {
    /// The present one: configurations are offered and the readers request them.
    Present,
    /// An earlier one: configurations are sent unrequested.
    Earlier,
}

/// Readers that stay connected until dropped.
#[derive(Debug)]
pub struct SlowReaders {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// The lowest configuration version that any reader has.
    version: AtomicU64,
    /// Readers that the control box has admitted.
    admitted: AtomicUsize,
    /// The lowest of the highest heartbeat numbers that the readers know.
    sequence: AtomicU64,
    /// The lowest number of endpoints of which any reader knows its highest heartbeat number.
    endpoints: AtomicUsize,
    /// Bytes that each reads at most in a `READ_INTERVAL`.
    read_bytes: AtomicUsize,
    stop: AtomicBool,
}

impl SlowReaders {
    /// Connects `count` readers to a control box, each with version `known_version` of the
    /// configuration and reading `bytes_a_second`, and waits until all are admitted.
    ///
    /// # Panics
    ///
    /// If a reader can't connect or is not admitted in time.
    pub fn connect(
        control: SocketAddr,
        count: usize,
        bytes_a_second: usize,
        version: BoxVersion,
        known_version: u64,
    ) -> Self {
        let shared = Arc::new(Shared::default());
        let for_thread = Arc::clone(&shared);
        let mut readers = Self { shared, thread: None };
        readers.set_rate(bytes_a_second);
        let run = move || {
            let mut readers: Vec<_> =
                (0..count).map(|i| Reader::connect(control, i, version, known_version)).collect();
            while !for_thread.stop.load(Ordering::Relaxed) {
                read_all(&mut readers, control, &for_thread);
                std::thread::sleep(READ_INTERVAL);
            }
        };
        readers.thread = Some(std::thread::spawn(run));
        let admitted = || readers.shared.admitted.load(Ordering::Relaxed);
        wait("all readers are admitted", || admitted() == count);
        readers
    }

    /// Sets the bytes per second that each reader reads from now on.
    pub fn set_rate(&self, bytes_a_second: usize) {
        let read_bytes = bytes_a_second as f64 * READ_INTERVAL.as_secs_f64();
        self.shared.read_bytes.store(read_bytes as usize, Ordering::Relaxed);
    }

    /// Waits until each reader has received `version` of the configuration or a later one.
    ///
    /// # Panics
    ///
    /// If that takes longer than the timeout.
    pub fn wait_for_version(&self, version: u64) {
        let lowest = || self.shared.version.load(Ordering::Relaxed);
        wait(&format!("all readers have received version {version}"), || lowest() >= version);
    }

    /// Waits until each reader knows the heartbeat `sequence`, which is the latest, of `endpoints`
    /// endpoints.
    ///
    /// # Panics
    ///
    /// If that takes longer than the timeout.
    pub fn wait_for_endpoints(&self, endpoints: usize, sequence: u64) {
        let known = || {
            (
                self.shared.endpoints.load(Ordering::Relaxed),
                self.shared.sequence.load(Ordering::Relaxed),
            )
        };
        let what = format!("all readers know heartbeat {sequence} of {endpoints} endpoints");
        wait(&what, || known() == (endpoints, sequence));
    }
}

impl Drop for SlowReaders {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "the readers' thread panicked");
        }
    }
}

fn wait(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + READERS_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out after {READERS_TIMEOUT:?} waiting until {what}"
        );
        std::thread::sleep(READ_INTERVAL);
    }
}

fn read_all(readers: &mut [Reader], control: SocketAddr, shared: &Shared) {
    let read_bytes = shared.read_bytes.load(Ordering::Relaxed);
    for (i, reader) in readers.iter_mut().enumerate() {
        if !reader.read(read_bytes) {
            *reader = Reader::connect(control, i, reader.box_version, reader.version);
        }
    }
    let versions = readers.iter().map(|reader| reader.version);
    shared.version.store(versions.min().unwrap_or_default(), Ordering::Relaxed);
    let admitted = readers.iter().filter(|reader| reader.admitted).count();
    shared.admitted.store(admitted, Ordering::Relaxed);
    let sequences = readers.iter().map(|reader| reader.latest);
    let endpoints = readers.iter().map(|reader| reader.endpoints_at_latest);
    shared.sequence.store(sequences.min().unwrap_or_default(), Ordering::Relaxed);
    shared.endpoints.store(endpoints.min().unwrap_or_default(), Ordering::Relaxed);
}

#[derive(Debug)]
struct Reader {
    stream: TcpStream,
    /// Bytes of incomplete frames.
    partial: BytesMut,
    box_version: BoxVersion,
    /// The configuration version that it has.
    version: u64,
    /// Number of the latest heartbeat known of each endpoint.
    sequences: BTreeMap<InstanceId, u64>,
    /// The highest of these numbers.
    latest: u64,
    /// Number of endpoints with that number.
    endpoints_at_latest: usize,
    admitted: bool,
    pinged: Instant,
}

impl Reader {
    fn connect(control: SocketAddr, i: usize, box_version: BoxVersion, known_version: u64) -> Self {
        let socket = Socket::new(Domain::for_address(control), Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BYTES).expect("the receive buffer size can be set");
        socket.connect(&control.into()).expect("the control box accepts connections");
        socket.set_nonblocking(true).expect("the socket can be made non-blocking");
        let mut reader = Self {
            stream: socket.into(),
            partial: BytesMut::new(),
            box_version,
            version: known_version,
            sequences: BTreeMap::new(),
            latest: 0,
            endpoints_at_latest: 0,
            admitted: false,
            pinged: Instant::now(),
        };
        let name = format!("reader-{i}");
        reader.send(FromEntry::Hello { name, boot: 1, configuration: known_version, known: 0 });
        reader
    }

    fn send(&mut self, message: FromEntry) {
        let message = EncodedFrame::new(&ToControl::Entry(message));
        // If the connection is closed, the next read reports it.
        let _sent = self.stream.write_all(message.frame());
    }

    /// Reads at most `max_bytes` and handles the frames received; returns whether the connection is
    /// still open.
    fn read(&mut self, max_bytes: usize) -> bool {
        if self.pinged.elapsed() > PING_INTERVAL {
            self.pinged = Instant::now();
            self.send(FromEntry::Ping { sent_us: 0 });
        }
        let mut buf = vec![0; max_bytes];
        match self.stream.read(&mut buf) {
            Ok(0) => return false,
            Ok(count) => self.partial.extend_from_slice(&buf[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        while let Some(frame) = frames::take_frame(&mut self.partial).expect("a valid frame") {
            self.handle(&frame);
        }
        true
    }

    fn handle(&mut self, frame: &[u8]) {
        match frames::decode::<ToEntry>(frame).expect("a valid message") {
            ToEntry::Hello { .. } => {
                self.admitted = true;
                if self.box_version == BoxVersion::Present {
                    self.send(FromEntry::OfferConfigurations);
                }
            }
            // Requests the full configuration each time, as a box that has just started does.
            ToEntry::ConfigurationAgreed { version } if version > self.version => {
                self.send(FromEntry::RequestConfiguration { have: 0 });
            }
            ToEntry::Configuration(configuration) => {
                self.version = self.version.max(configuration.version);
            }
            ToEntry::Registry(reports) => {
                for report in reports {
                    self.record(report);
                }
            }
            _ => {}
        }
    }

    fn record(&mut self, report: Report) {
        let known = self.sequences.entry(report.instance).or_default();
        if report.sequence <= *known {
            return;
        }
        *known = report.sequence;
        if report.sequence > self.latest {
            self.latest = report.sequence;
            self.endpoints_at_latest = 0;
        }
        if report.sequence == self.latest {
            self.endpoints_at_latest += 1;
        }
    }
}

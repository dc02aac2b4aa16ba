//! Entry boxes, as a control box sees them, that take what they are told slowly.

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
use vaneway_server::core::cluster::wire::FromEntry;
use vaneway_server::core::cluster::wire::ToControl;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::util::frames;
use vaneway_server::util::frames::EncodedFrame;

/// Time between two reads of a slow reader.
const READ_EVERY: Duration = Duration::from_millis(20);

/// Time between two signs of life.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Bytes that the operating system takes in for a slow reader, so that the rest waits at the sender.
const RECEIVE_BYTES: usize = 64 << 10;

/// How long the readers may take for anything that a test waits for; far beyond what it needs.
const WITHIN: Duration = Duration::from_mins(1);

/// Of which version of this program readers are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxVersion {
    /// They are offered configurations and ask for them.
    Present,
    /// They are sent configurations.
    Earlier,
}

/// Readers that are connected until dropped.
#[derive(Debug)]
pub struct SlowReaders {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// The oldest of the versions that the readers were told last.
    version: AtomicU64,
    /// Readers that were taken in.
    taken_in: AtomicUsize,
    /// Bytes that each takes at a time.
    take: AtomicUsize,
    stop: AtomicBool,
}

impl SlowReaders {
    /// Connects readers to a control box, each of which has the version `had` of the configuration and takes
    /// `bytes_a_second`, and waits until all are taken in.
    ///
    /// # Panics
    ///
    /// If a reader can't connect, or is not taken in in time.
    pub fn connect(
        control: SocketAddr,
        count: usize,
        bytes_a_second: usize,
        version: BoxVersion,
        had: u64,
    ) -> Self {
        let shared = Arc::new(Shared::default());
        let theirs = Arc::clone(&shared);
        let mut readers = Self { shared, thread: None };
        readers.set_rate(bytes_a_second);
        let run = move || {
            let mut readers: Vec<_> =
                (0..count).map(|i| Reader::connect(control, i, version, had)).collect();
            while !theirs.stop.load(Ordering::Relaxed) {
                read_all(&mut readers, control, &theirs);
                std::thread::sleep(READ_EVERY);
            }
        };
        readers.thread = Some(std::thread::spawn(run));
        let taken_in = || readers.shared.taken_in.load(Ordering::Relaxed);
        wait("readers are taken in", || taken_in() == count);
        readers
    }

    /// Lets each reader take so many bytes a second from now on.
    pub fn set_rate(&self, bytes_a_second: usize) {
        let take = bytes_a_second as f64 * READ_EVERY.as_secs_f64();
        self.shared.take.store(take as usize, Ordering::Relaxed);
    }

    /// Waits until each reader was told of a version of the configuration, or a later one.
    ///
    /// # Panics
    ///
    /// If that does not come about in time.
    pub fn wait_for_version(&self, version: u64) {
        let told = || self.shared.version.load(Ordering::Relaxed);
        wait(&format!("all are told of version {version}"), || told() >= version);
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
    let end = Instant::now() + WITHIN;
    while !condition() {
        assert!(Instant::now() < end, "waited in vain until {what}");
        std::thread::sleep(READ_EVERY);
    }
}

fn read_all(readers: &mut [Reader], control: SocketAddr, shared: &Shared) {
    let take = shared.take.load(Ordering::Relaxed);
    for (i, reader) in readers.iter_mut().enumerate() {
        if !reader.read(take) {
            *reader = Reader::connect(control, i, reader.of, reader.version);
        }
    }
    let versions = readers.iter().map(|reader| reader.version);
    shared.version.store(versions.min().unwrap_or_default(), Ordering::Relaxed);
    let taken_in = readers.iter().filter(|reader| reader.taken_in).count();
    shared.taken_in.store(taken_in, Ordering::Relaxed);
}

#[derive(Debug)]
struct Reader {
    stream: TcpStream,
    arrived: BytesMut,
    of: BoxVersion,
    /// The version that it was told last.
    version: u64,
    taken_in: bool,
    pinged: Instant,
}

impl Reader {
    fn connect(control: SocketAddr, i: usize, of: BoxVersion, had: u64) -> Self {
        let socket = Socket::new(Domain::for_address(control), Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a size of the buffer");
        socket.connect(&control.into()).expect("the control box takes connections");
        socket.set_nonblocking(true).expect("a socket that doesn't block");
        let mut reader = Self {
            stream: socket.into(),
            arrived: BytesMut::new(),
            of,
            version: had,
            taken_in: false,
            pinged: Instant::now(),
        };
        let name = format!("reader-{i}");
        reader.send(FromEntry::Hello { name, boot: 1, configuration: had, known: 0 });
        reader
    }

    fn send(&mut self, message: FromEntry) {
        let message = EncodedFrame::new(&ToControl::Entry(message));
        // If the connection has ended, the next read says so.
        let _sent = self.stream.write_all(message.frame());
    }

    /// Takes at most `take` bytes; returns whether the connection lasts.
    fn read(&mut self, take: usize) -> bool {
        if self.pinged.elapsed() > PING_INTERVAL {
            self.pinged = Instant::now();
            self.send(FromEntry::Ping { sent_us: 0 });
        }
        let mut buf = vec![0; take];
        match self.stream.read(&mut buf) {
            Ok(0) => return false,
            Ok(count) => self.arrived.extend_from_slice(&buf[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        while let Some(frame) = frames::take_frame(&mut self.arrived).expect("a frame") {
            self.take_in(&frame);
        }
        true
    }

    fn take_in(&mut self, frame: &[u8]) {
        match frames::decode::<ToEntry>(frame).expect("a message in a known form") {
            ToEntry::Hello { .. } => {
                self.taken_in = true;
                if self.of == BoxVersion::Present {
                    self.send(FromEntry::OfferConfigurations);
                }
            }
            // It asks for the whole each time, as one that has just started would.
            ToEntry::ConfigurationAgreed { version } if version > self.version => {
                self.send(FromEntry::RequestConfiguration { have: 0 });
            }
            ToEntry::Configuration(configuration) => {
                self.version = self.version.max(configuration.version);
            }
            _ => {}
        }
    }
}

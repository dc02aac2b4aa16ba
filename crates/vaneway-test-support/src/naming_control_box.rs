//! Simulated control boxes that advertise a list of control boxes chosen by the test.

use std::io::Read as _;
use std::io::Write as _;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use vaneway_server::core::cluster::wire::FromEntry;
use vaneway_server::core::cluster::wire::ToControl;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::util::clock;
use vaneway_server::util::frames;
use vaneway_server::util::frames::EncodedFrame;

use crate::control_group::next_network;

/// Interval at which connections and counters are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of every wait for the entry box; far longer than any should take.
const REPORT_TIMEOUT: Duration = Duration::from_secs(40);

/// A control box that admits entry boxes, advertises control boxes to them, and counts their usage
/// reports, until dropped.
#[derive(Debug)]
pub struct AdvertisingControlBox {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Usage reports received.
    reports: AtomicUsize,
    /// Connections closed by entry boxes.
    closed: AtomicUsize,
    stop: AtomicBool,
}

/// Binds one address for each control box, all with the same port.
///
/// # Panics
///
/// If no port is free at all addresses.
pub fn bind<const COUNT: usize>() -> [TcpListener; COUNT] {
    let [a, b, c] = next_network();
    let address = |i: usize| IpAddr::V4(Ipv4Addr::new(a, b, c, i as u8 + 1));
    let free = TcpListener::bind((address(0), 0)).expect("a free port");
    let port = free.local_addr().expect("the port is bound").port();
    drop(free);
    std::array::from_fn(|i| TcpListener::bind((address(i), port)).expect("a free address"))
}

impl AdvertisingControlBox {
    /// Admits every entry box that connects, and advertises the control boxes `advertised` to it.
    ///
    /// # Panics
    ///
    /// If the listener can't be used.
    pub fn spawn(listener: TcpListener, advertised: Vec<SocketAddr>) -> Self {
        listener.set_nonblocking(true).expect("the listener can be made non-blocking");
        let shared = Arc::new(Shared::default());
        let for_thread = Arc::clone(&shared);
        std::thread::spawn(move || serve(&listener, &advertised, &for_thread));
        Self { shared }
    }

    /// Waits until `count` usage reports have been received over the first connection.
    ///
    /// # Panics
    ///
    /// If they are not received in time, or the entry box closes its connection before.
    pub fn wait_for_reports(&self, count: usize) {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        while self.shared.reports.load(Ordering::Relaxed) < count {
            let closed = self.shared.closed.load(Ordering::Relaxed);
            assert_eq!(closed, 0, "the entry box closed its connection");
            assert!(Instant::now() < deadline, "timed out waiting for {count} usage reports");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for AdvertisingControlBox {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

fn serve(listener: &TcpListener, advertised: &[SocketAddr], shared: &Shared) {
    let mut connections = Vec::new();
    while !shared.stop.load(Ordering::Relaxed) {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).expect("the connection can be made non-blocking");
            connections.push(Connection { stream, partial: BytesMut::new() });
        }
        connections.retain_mut(|connection| {
            let is_open = connection.read(advertised, shared);
            shared.closed.fetch_add(usize::from(!is_open), Ordering::Relaxed);
            is_open
        });
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    /// Bytes of incomplete frames.
    partial: BytesMut,
}

impl Connection {
    /// Reads and handles the frames received; returns whether the connection is still open.
    fn read(&mut self, advertised: &[SocketAddr], shared: &Shared) -> bool {
        let mut buf = [0; 16 << 10];
        match self.stream.read(&mut buf) {
            Ok(0) => return false,
            Ok(count) => self.partial.extend_from_slice(&buf[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        while let Some(frame) = frames::take_frame(&mut self.partial).expect("a valid frame") {
            self.handle(&frame, advertised, shared);
        }
        true
    }

    fn handle(&mut self, frame: &[u8], advertised: &[SocketAddr], shared: &Shared) {
        match frames::decode::<ToControl>(frame).expect("a valid message") {
            ToControl::Entry(FromEntry::Hello { .. }) => {
                self.send(&ToEntry::Hello { availability_zone: "a".to_owned() });
                self.send(&ToEntry::ControlBoxes(advertised.to_vec()));
            }
            ToControl::Entry(FromEntry::Ping { sent_us }) => {
                let time_us = Some(clock::since_epoch().as_micros() as u64);
                self.send(&ToEntry::Pong { sent_us, time_us });
            }
            ToControl::Entry(FromEntry::Usage(_)) => {
                shared.reports.fetch_add(1, Ordering::Relaxed);
            }
            _ => {}
        }
    }

    fn send(&mut self, message: &ToEntry) {
        // If the connection is closed, the next read reports it.
        let _sent = self.stream.write_all(EncodedFrame::new(message).frame());
    }
}

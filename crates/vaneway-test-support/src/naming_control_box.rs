//! Control boxes, as an entry box sees them, that name whichever control boxes a test says.

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

/// Time between two looks at what came.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// How long the entry box may take for anything that a test waits for; far beyond what it needs.
const WITHIN: Duration = Duration::from_secs(40);

/// A control box that takes entry boxes in, names control boxes to them, and takes their reports until dropped.
#[derive(Debug)]
pub struct AdvertisingControlBox {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Reports that came.
    reports: AtomicUsize,
    /// Connections that entry boxes ended.
    ended: AtomicUsize,
    stop: AtomicBool,
}

/// Binds as many addresses as there are control boxes, all at one port.
///
/// # Panics
///
/// If there is no such port.
pub fn bind<const COUNT: usize>() -> [TcpListener; COUNT] {
    let [a, b, c] = next_network();
    let address = |i: usize| IpAddr::V4(Ipv4Addr::new(a, b, c, i as u8 + 1));
    let free = TcpListener::bind((address(0), 0)).expect("a free port");
    let port = free.local_addr().expect("the port is bound").port();
    drop(free);
    std::array::from_fn(|i| TcpListener::bind((address(i), port)).expect("a free address"))
}

impl AdvertisingControlBox {
    /// Takes in whoever connects, and names the control boxes `named`.
    ///
    /// # Panics
    ///
    /// If the listener can't be used.
    pub fn spawn(listener: TcpListener, named: Vec<SocketAddr>) -> Self {
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let shared = Arc::new(Shared::default());
        let theirs = Arc::clone(&shared);
        std::thread::spawn(move || serve(&listener, &named, &theirs));
        Self { shared }
    }

    /// Waits until so many reports came over the first connection.
    ///
    /// # Panics
    ///
    /// If they don't come in time, or the entry box ends its connection first.
    pub fn wait_for_reports(&self, count: usize) {
        let end = Instant::now() + WITHIN;
        while self.shared.reports.load(Ordering::Relaxed) < count {
            let ended = self.shared.ended.load(Ordering::Relaxed);
            assert_eq!(ended, 0, "the entry box ended its connection");
            assert!(Instant::now() < end, "waited in vain for reports");
            std::thread::sleep(LOOK_EVERY);
        }
    }
}

impl Drop for AdvertisingControlBox {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

fn serve(listener: &TcpListener, named: &[SocketAddr], shared: &Shared) {
    let mut connections = Vec::new();
    while !shared.stop.load(Ordering::Relaxed) {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).expect("a connection that doesn't block");
            connections.push(Connection { stream, arrived: BytesMut::new() });
        }
        connections.retain_mut(|connection| {
            let lasts = connection.read(named, shared);
            shared.ended.fetch_add(usize::from(!lasts), Ordering::Relaxed);
            lasts
        });
        std::thread::sleep(LOOK_EVERY);
    }
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    arrived: BytesMut,
}

impl Connection {
    /// Takes in what came; returns whether the connection lasts.
    fn read(&mut self, named: &[SocketAddr], shared: &Shared) -> bool {
        let mut buf = [0; 16 << 10];
        match self.stream.read(&mut buf) {
            Ok(0) => return false,
            Ok(count) => self.arrived.extend_from_slice(&buf[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        while let Some(frame) = frames::take_frame(&mut self.arrived).expect("a frame") {
            self.take_in(&frame, named, shared);
        }
        true
    }

    fn take_in(&mut self, frame: &[u8], named: &[SocketAddr], shared: &Shared) {
        match frames::decode::<ToControl>(frame).expect("a message in a known form") {
            ToControl::Entry(FromEntry::Hello { .. }) => {
                self.send(&ToEntry::Hello { availability_zone: "a".to_owned() });
                self.send(&ToEntry::ControlBoxes(named.to_vec()));
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
        // If the connection has ended, the next read says so.
        let _sent = self.stream.write_all(EncodedFrame::new(message).frame());
    }
}

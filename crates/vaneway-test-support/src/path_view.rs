//! A connection between one entry box and a control box in which endpoints have other addresses, so
//! that this entry box alone reaches them by other paths.

use std::collections::BTreeMap;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;

use bytes::BytesMut;
use vaneway_registry::Report;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::util::frames;
use vaneway_server::util::frames::EncodedFrame;

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 64 << 10;

/// The address at which an entry box reaches each endpoint, by the address that it registered.
pub type Paths = BTreeMap<SocketAddr, SocketAddr>;

/// Listens for an entry box and connects it to the control box at `control`; returns the address to
/// use as its seed. Runs until the process ends.
///
/// # Panics
///
/// If no port is free.
pub fn spawn(control: SocketAddr, paths: Paths) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the port is bound");
    let paths = Arc::new(paths);
    std::thread::spawn(move || {
        while let Ok((entry, _peer)) = listener.accept() {
            let paths = Arc::clone(&paths);
            std::thread::spawn(move || connect(&entry, control, &paths));
        }
    });
    address
}

fn connect(entry: &TcpStream, control: SocketAddr, paths: &Paths) {
    let Ok(control) = TcpStream::connect(control) else { return };
    let (from_entry, to_control) = (entry.try_clone(), control.try_clone());
    let (Ok(from_entry), Ok(to_control)) = (from_entry, to_control) else { return };
    std::thread::spawn(move || {
        let (mut from, mut to) = (from_entry, to_control);
        // Either end may close the connection.
        let _copied = std::io::copy(&mut from, &mut to);
        let _closed = to.shutdown(Shutdown::Both);
    });
    forward_to_entry(&control, entry, paths);
    let _closed = entry.shutdown(Shutdown::Both);
}

fn forward_to_entry(mut control: &TcpStream, mut entry: &TcpStream, paths: &Paths) {
    let mut partial = BytesMut::new();
    let mut buf = vec![0; READ_BYTES];
    while let Ok(count @ 1..) = control.read(&mut buf) {
        partial.extend_from_slice(&buf[..count]);
        while let Some(frame) = frames::take_frame(&mut partial).expect("a valid frame") {
            let message = frames::decode(&frame).expect("a valid message");
            let Some(message) = translate(message, paths) else { continue };
            if entry.write_all(EncodedFrame::new(&message).frame()).is_err() {
                return;
            }
        }
    }
}

/// The message as this entry box gets it. It isn't told the addresses of control boxes, so that all
/// it hears comes this way.
fn translate(message: ToEntry, paths: &Paths) -> Option<ToEntry> {
    let translated = |reports: Vec<Report>| {
        let each = reports.into_iter().map(|mut report| {
            if let Some(details) = &mut report.details
                && let Some(path) = paths.get(&details.address)
            {
                details.address = *path;
            }
            report
        });
        each.collect()
    };
    match message {
        ToEntry::ControlBoxes(_) => None,
        ToEntry::Registry(reports) => Some(ToEntry::Registry(translated(reports))),
        ToEntry::Remembered { endpoints, left_ms } => {
            Some(ToEntry::Remembered { endpoints: translated(endpoints), left_ms })
        }
        message => Some(message),
    }
}

//! The socket between entry boxes and the form of its datagrams.
//!
//! A datagram is an [`Envelope`] in `postcard`, followed by a tag: the first bytes of an
//! HMAC-SHA-256 over it with the deployment's key.

use std::cell::RefCell;

use compio::net::UdpSocket;
use futures_channel::oneshot;
use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;
use vaneway_marks::Marks;
use vaneway_marks::Message;

use crate::core::settings;

/// Bytes of a tag.
const TAG_BYTES: usize = 16;

/// One message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sending box.
    pub from: String,
    /// The message.
    pub message: Message,
}

/// The marks of this box and its socket.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) socket: UdpSocket,
    pub(crate) key: String,
    pub(crate) marks: RefCell<Marks>,
    /// Resolved when a peer's marks arrive for the first time.
    pub(crate) first: RefCell<Option<oneshot::Sender<()>>>,
}

impl Cluster {
    /// Binds the socket for datagrams.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(
        settings: &settings::Cluster,
        peers: usize,
        seed: u64,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let marks = RefCell::new(Marks::new(peers, seed));
        Ok(Self { socket, key: settings.key.clone(), marks, first: RefCell::default() })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// The operating system's.
    pub fn local_addr(&self) -> std::io::Result<std::net::SocketAddr> {
        self.socket.local_addr()
    }

    /// How many marks are known.
    pub fn marks(&self) -> usize {
        self.marks.borrow().len()
    }
}

/// Turns an envelope into a datagram.
///
/// # Panics
///
/// Never: every envelope can be written.
pub fn seal(key: &str, envelope: &Envelope) -> Vec<u8> {
    let mut datagram = postcard::to_stdvec(envelope).expect("every envelope can be written");
    let tag = tag(key, &datagram);
    datagram.extend_from_slice(&tag);
    datagram
}

/// Reads a datagram; none if its tag or its form is wrong.
pub fn unseal(key: &str, datagram: &[u8]) -> Option<Envelope> {
    let (body, sent) = datagram.split_at_checked(datagram.len().checked_sub(TAG_BYTES)?)?;
    let mut mac = keyed(key);
    mac.update(body);
    mac.verify_truncated_left(sent).ok()?;
    postcard::from_bytes(body).ok()
}

fn keyed(key: &str) -> Hmac<Sha256> {
    <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes()).expect("any key length fits")
}

fn tag(key: &str, body: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = keyed(key);
    mac.update(body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
    tag
}

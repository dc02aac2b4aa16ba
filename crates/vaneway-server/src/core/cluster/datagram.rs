//! The datagram socket between entry boxes, and the format of its datagrams.
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

/// Length of a tag, in bytes.
const TAG_BYTES: usize = 16;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sending box.
    pub from: String,
    /// The message.
    pub message: Message,
}

/// The socket for the other entry boxes, and the marks that this box knows.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) socket: UdpSocket,
    pub(crate) key: String,
    pub(crate) marks: RefCell<Marks>,
    /// Sent to when the first marks arrive from a peer.
    pub(crate) first_marks: RefCell<Option<oneshot::Sender<()>>>,
}

impl Cluster {
    /// Binds the datagram socket.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        settings: &settings::Cluster,
        peers: usize,
        seed: u64,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let marks = RefCell::new(Marks::new(peers, seed));
        Ok(Self { socket, key: settings.key.clone(), marks, first_marks: RefCell::default() })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't provide it.
    pub fn local_addr(&self) -> std::io::Result<std::net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Number of known marks.
    pub fn marks(&self) -> usize {
        self.marks.borrow().len()
    }
}

/// Encodes an envelope and appends its tag.
///
/// # Panics
///
/// Never: every envelope can be encoded.
pub fn seal(key: &str, envelope: &Envelope) -> Vec<u8> {
    let mut datagram = postcard::to_stdvec(envelope).expect("every envelope can be written");
    let tag = tag(key, &datagram);
    datagram.extend_from_slice(&tag);
    datagram
}

/// Decodes a datagram; none if its tag or its format is wrong.
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

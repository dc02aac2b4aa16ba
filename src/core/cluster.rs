//! Datagrams between the entry boxes of a deployment.
//!
//! A datagram is an [`Envelope`] in `postcard`, followed by a tag: the first bytes of an
//! HMAC-SHA-256 over it with the deployment's key. A datagram without the right tag is dropped and
//! counted. Answers go to the address that the settings name for the sender, not to where the
//! datagram came from.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use futures_channel::oneshot;
use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;
use vaneway_marks::Action;
use vaneway_marks::Instance;
use vaneway_marks::Marks;
use vaneway_marks::Message;
use vaneway_marks::TICK;

use crate::core::entry::Entry;

/// Bytes of a tag.
const TAG_BYTES: usize = 16;

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 2_048;

/// How long a box that starts waits for a peer's marks before it serves without them.
const HELLO_WITHIN: Duration = Duration::from_millis(300);

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
    socket: UdpSocket,
    key: String,
    marks: RefCell<Marks>,
    /// Resolved when a peer's marks arrive for the first time.
    first: RefCell<Option<oneshot::Sender<()>>>,
}

impl Cluster {
    /// Binds the socket for datagrams.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(
        settings: &crate::core::settings::Cluster,
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

/// Asks the peers for their marks and waits a little for the first answer, so that a box which
/// was down when a notice came does not send work to a leaving endpoint.
pub async fn catch_up(entry: &Rc<Entry>) {
    let Some(cluster) = &entry.cluster else { return };
    let (tx, rx) = oneshot::channel();
    *cluster.first.borrow_mut() = Some(tx);
    let mut actions = Vec::new();
    cluster.marks.borrow_mut().start(&mut actions);
    carry_out(entry, actions).await;
    entry.timers.until(Instant::now() + HELLO_WITHIN, rx).await;
}

/// Tells the peers of a mark that this box learned of.
pub fn learn(entry: &Rc<Entry>, instance: Instance, gone_at: Instant) {
    let Some(cluster) = &entry.cluster else { return };
    let mut actions = Vec::new();
    cluster.marks.borrow_mut().learn(Instant::now(), instance, gone_at, &mut actions);
    let entry = Rc::clone(entry);
    compio::runtime::spawn(async move { carry_out(&entry, actions).await }).detach();
}

/// Receives datagrams until dropped.
pub async fn receive(entry: Rc<Entry>) {
    let Some(cluster) = &entry.cluster else { return };
    let mut buf = Vec::with_capacity(DATAGRAM_BYTES);
    loop {
        buf.clear();
        let BufResult(received, datagram) = cluster.socket.recv_from(buf).await;
        buf = datagram;
        if let Err(error) = received {
            log::warn!("event=datagram_not_received error={error:?}");
            entry.timers.sleep(TICK).await;
            continue;
        }
        let Some(envelope) = unseal(&cluster.key, &buf) else {
            entry.metrics.datagrams_dropped.inc();
            continue;
        };
        let Some(from) = entry.settings.peers.iter().position(|p| p.name == envelope.from) else {
            entry.metrics.datagrams_dropped.inc();
            continue;
        };
        let pushed = matches!(envelope.message, Message::Push { .. });
        let mut actions = Vec::new();
        let now = Instant::now();
        cluster.marks.borrow_mut().handle(now, from, envelope.message, &mut actions);
        carry_out(&entry, actions).await;
        if pushed && let Some(first) = cluster.first.borrow_mut().take() {
            // The box may have stopped waiting.
            let _late = first.send(());
        }
    }
}

/// Compares with a few peers at every tick until dropped.
pub async fn compare(entry: Rc<Entry>) {
    let Some(cluster) = &entry.cluster else { return };
    loop {
        entry.timers.sleep(TICK).await;
        let mut actions = Vec::new();
        cluster.marks.borrow_mut().tick(Instant::now(), &mut actions);
        carry_out(&entry, actions).await;
    }
}

async fn carry_out(entry: &Rc<Entry>, actions: Vec<Action>) {
    let Some(cluster) = &entry.cluster else { return };
    for action in actions {
        match action {
            Action::Apply { instance, gone_at } => entry.mark(&instance, gone_at),
            Action::Send { to, message } => {
                let envelope = Envelope { from: entry.settings.name.clone(), message };
                let datagram = seal(&cluster.key, &envelope);
                let to = entry.settings.peers[to].address;
                let BufResult(sent, _datagram) = cluster.socket.send_to(datagram, to).await;
                if let Err(error) = sent {
                    // A lost datagram; the next comparison makes up for it.
                    log::debug!("event=datagram_not_sent to={to} error={error:?}");
                }
            }
        }
    }
}

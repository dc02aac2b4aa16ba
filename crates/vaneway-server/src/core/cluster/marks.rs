//! Leaving marks between the entry boxes of a deployment.
//!
//! Data flow: what this box learns of a leaving endpoint goes through [`learn`] to its peers; what
//! peers send arrives in [`receive`]; [`compare`] repairs what was lost; [`catch_up`] asks the peers
//! before this box serves. A datagram without the right tag or sender is dropped and counted.
//! Answers go to the address that the settings name for the sender, not to where the datagram
//! came from.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::buf::BufResult;
use futures_channel::oneshot;
use vaneway_marks::Action;
use vaneway_marks::Instance;
use vaneway_marks::Message;
use vaneway_marks::TICK_INTERVAL;

use crate::core::cluster::datagram::Envelope;
use crate::core::cluster::datagram::seal;
use crate::core::cluster::datagram::unseal;
use crate::core::entry::Entry;
use crate::util::clock;

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 2_048;

/// How long a box that starts waits for a peer's marks before it serves without them.
const HELLO_WITHIN: Duration = Duration::from_millis(300);

/// Asks the peers for their marks and waits a little for the first answer, so that a box which
/// was down when a notice came does not send work to a leaving endpoint.
pub async fn catch_up(entry: &Rc<Entry>) {
    let Some(cluster) = &entry.cluster else { return };
    let (tx, rx) = oneshot::channel();
    *cluster.first.borrow_mut() = Some(tx);
    let mut actions = Vec::new();
    cluster.marks.borrow_mut().start(&mut actions);
    carry_out(entry, actions).await;
    entry.timers.timeout_at(clock::now() + HELLO_WITHIN, rx).await;
}

/// Tells the peers of a mark that this box learned of.
pub fn learn(entry: &Rc<Entry>, instance: &Instance, gone_at: Instant) {
    let Some(cluster) = &entry.cluster else { return };
    let mut actions = Vec::new();
    cluster.marks.borrow_mut().record(clock::now(), instance, gone_at, &mut actions);
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
            entry.timers.sleep(TICK_INTERVAL).await;
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
        let now = clock::now();
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
        entry.timers.sleep(TICK_INTERVAL).await;
        let mut actions = Vec::new();
        cluster.marks.borrow_mut().tick(clock::now(), &mut actions);
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

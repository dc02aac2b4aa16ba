//! Marks of leaving instances, exchanged between the entry boxes of a deployment.
//!
//! Data flow: [`publish`] sends what this box learns of a leaving instance to its peers;
//! [`receive`] handles what peers send; [`exchange_digests`] repairs losses; [`catch_up`] requests
//! the peers' marks before this box serves. A datagram without a valid tag or a known sender is
//! dropped and counted. Replies are sent to the address in the settings for the sender, not to the
//! source address of the datagram.

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

/// Largest datagram that is received, in bytes.
const DATAGRAM_BYTES: usize = 2_048;

/// How long a starting box waits for a peer's marks before it serves without them.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

/// Requests the peers' marks and waits briefly for the first answer, so that a box which was down
/// when a notice arrived doesn't send requests to a leaving endpoint.
pub async fn catch_up(entry: &Rc<Entry>) {
    let Some(cluster) = &entry.cluster else { return };
    let (tx, rx) = oneshot::channel();
    *cluster.first_marks.borrow_mut() = Some(tx);
    let mut actions = Vec::new();
    cluster.marks.borrow_mut().start(&mut actions);
    carry_out(entry, actions).await;
    entry.timers.timeout_at(clock::now() + CATCH_UP_TIMEOUT, rx).await;
}

/// Sends a mark that this box learned of to the peers.
pub fn publish(entry: &Rc<Entry>, instance: &Instance, gone_at: Instant) {
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
        if pushed && let Some(first_marks) = cluster.first_marks.borrow_mut().take() {
            // The box may have stopped waiting.
            let _late = first_marks.send(());
        }
    }
}

/// Exchanges digests with a few peers at every tick until dropped.
pub async fn exchange_digests(entry: Rc<Entry>) {
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
            Action::Apply { instance, gone_at } => entry.mark_leaving(&instance, gone_at),
            Action::Send { to, message } => {
                let envelope = Envelope { from: entry.settings.name.clone(), message };
                let datagram = seal(&cluster.key, &envelope);
                let to = entry.settings.peers[to].address;
                let BufResult(sent, _datagram) = cluster.socket.send_to(datagram, to).await;
                if let Err(error) = sent {
                    // The datagram is lost; the next exchange of digests repairs that.
                    log::debug!("event=datagram_not_sent to={to} error={error:?}");
                }
            }
        }
    }
}

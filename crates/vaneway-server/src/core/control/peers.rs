//! Connections that a control box opens to other control boxes, and the messages that it sends
//! them.
//!
//! Incoming messages on these connections never wait for a turn, since consensus depends on them.
//! This module also detects overload, by how late the loop sends its keep-alives.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use vaneway_agreement::Message;
use vaneway_agreement::NodeId;
use vaneway_registry::InstanceId;
use vaneway_registry::Report;

use crate::core::cluster::reconnect::keep_connected;
use crate::core::cluster::wire::BetweenControl;
use crate::core::cluster::wire::HOST_IDLE_TIMEOUT;
use crate::core::cluster::wire::LOG_ENTRIES_TOPIC;
use crate::core::cluster::wire::PING_INTERVAL;
use crate::core::cluster::wire::SNAPSHOT_TOPIC;
use crate::core::cluster::wire::ToControl;
use crate::core::control::dissemination;
use crate::core::control::links;
use crate::core::control::state::Control;
use crate::util::clock;
use crate::util::frames;
use crate::util::frames::EncodedFrame;
use crate::util::frames::IdleTimeouts;
use crate::util::hash;
use crate::util::logline::Line;
use crate::util::send_queue::SendQueue;
use crate::util::send_queue::Topic;
use crate::util::socket::SocketStream;

/// Interval between two checks of which control boxes to be connected to.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which other control boxes are sent heartbeats of endpoints whose state has not
/// changed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// A connection to another control box, which is reopened whenever it fails.
#[derive(Debug, Default)]
pub struct PeerLink {
    outgoing: RefCell<Option<SendQueue>>,
    /// Endpoints whose latest heartbeat the peer must still receive.
    pub(super) refreshed: RefCell<BTreeSet<InstanceId>>,
}

/// Sends a message to a node, if there is a connection to its box.
pub fn send_to_node(control: &Control, node: NodeId, message: BetweenControl) {
    let address = control.cluster_address(node);
    let topic = topic(&message);
    if let Some(peer) = control.peers.borrow().get(&address) {
        peer.send_with_topic(topic, &EncodedFrame::new(&ToControl::Control(message)));
    }
}

/// The topic of a message that newer ones replace while it is queued. To Raft, a replaced message
/// is a lost one, which it tolerates.
fn topic(message: &BetweenControl) -> Option<Topic> {
    let BetweenControl::Agreement { message, .. } = message else { return None };
    match message {
        Message::Append(_) => Some(LOG_ENTRIES_TOPIC),
        Message::Install(_) => Some(SNAPSHOT_TOPIC),
        Message::PreVote { .. }
        | Message::PreVoteReply { .. }
        | Message::Vote { .. }
        | Message::VoteReply { .. }
        | Message::AppendReply(_) => None,
    }
}

/// Sends a message to all known control boxes.
pub fn send_to_all(control: &Control, message: BetweenControl) {
    let message = EncodedFrame::new(&ToControl::Control(message));
    for peer in control.peers.borrow().values() {
        peer.send(&message);
    }
}

impl PeerLink {
    fn send(&self, message: &EncodedFrame) {
        self.send_with_topic(None, message);
    }

    fn send_with_topic(&self, topic: Option<Topic>, message: &EncodedFrame) {
        match (&*self.outgoing.borrow(), topic) {
            (Some(outgoing), Some(topic)) => outgoing.send_newest(topic, message),
            (Some(outgoing), None) => outgoing.send_encoded(message),
            (None, _) => {}
        }
    }
}

pub(super) fn ping(control: &Control) -> BetweenControl {
    let established = control.clock.borrow().established_time(clock::now());
    BetweenControl::Ping {
        time_us: clock::since_epoch().as_micros() as u64,
        kept_us: established.map(|established| established.as_micros() as u64),
    }
}

/// Keeps a connection to every other control box until dropped.
pub async fn keep_peers(control: Rc<Control>) {
    let own = control.settings.cluster_listen;
    loop {
        let mut wanted: BTreeSet<SocketAddr> = control.settings.seeds.iter().copied().collect();
        wanted.extend(links::control_boxes(&control));
        // A box that has just been added knows no members yet; to receive them it must answer the
        // leader.
        let leader = control.node.borrow().leader();
        wanted.extend(leader.map(|leader| control.cluster_address(leader)));
        wanted.remove(&own);
        for address in &wanted {
            let known = control.peers.borrow().contains_key(address);
            if !known {
                control.peers.borrow_mut().insert(*address, PeerLink::default());
                let control = Rc::clone(&control);
                let address = *address;
                compio::runtime::spawn(async move { keep_peer(control, address).await }).detach();
            }
        }
        // The task of a removed peer ends its connection itself.
        control.peers.borrow_mut().retain(|address, _| wanted.contains(address));
        control.timers.sleep(PEER_CHECK_INTERVAL).await;
    }
}

async fn keep_peer(control: Rc<Control>, address: SocketAddr) {
    let wanted = || control.peers.borrow().contains_key(&address);
    let run = async |stream| run_peer(&control, address, stream).await;
    let seed = hash::of(control.settings.cluster_listen);
    keep_connected(&control.timers, seed, address, wanted, run).await;
}

async fn run_peer(control: &Rc<Control>, address: SocketAddr, stream: SocketStream) {
    let outgoing = SendQueue::new(&control.buffered);
    outgoing.keep_open();
    let send = |message: BetweenControl| outgoing.send(&ToControl::Control(message));
    send(BetweenControl::Hello { node: control.node.borrow().id() });
    send(ping(control));
    dissemination::full_state(control).into_iter().for_each(send);
    if let Some(peer) = control.peers.borrow().get(&address) {
        *peer.outgoing.borrow_mut() = Some(outgoing.clone());
    }
    Line::new("peer_connected").with("address", address).info();
    let on_frame = async |frame: &[u8]| match frames::decode::<BetweenControl>(frame) {
        Some(message) => dissemination::merge_from_control(control, message),
        None => control.unreadable_messages.update(|count| count + 1),
    };
    let idle_timeouts = IdleTimeouts { host: HOST_IDLE_TIMEOUT, process: HOST_IDLE_TIMEOUT };
    let why = frames::drive(&control.timers, &stream, &outgoing, idle_timeouts, on_frame).await;
    if let Some(peer) = control.peers.borrow().get(&address) {
        *peer.outgoing.borrow_mut() = None;
    }
    Line::new("peer_lost").with("address", address).with("why", why).info();
}

/// Delay of the loop or of a turn from which it is logged: half of the minimum election timeout.
const BUSY_THRESHOLD: Duration = Duration::from_millis(250);

/// Logs overload: the loop is `late`, or entry boxes wait long for turns.
fn log_if_busy(control: &Control, late: Duration) {
    let turn_waited = control.turns.take_longest_wait();
    if late.max(turn_waited) < BUSY_THRESHOLD {
        return;
    }
    Line::new("busy")
        .with("loop_late_ms", late.as_millis())
        .with("turn_waited_ms", turn_waited.as_millis())
        .with("turns_waiting", control.turns.waiting())
        .with("entries", control.entry_links.borrow().len())
        .warn();
}

/// Sends keep-alives to the other control boxes until dropped.
pub async fn ping_peers(control: Rc<Control>) {
    let mut refreshed_at = clock::now();
    let mut unreadable = 0;
    loop {
        let due = clock::now() + PING_INTERVAL;
        control.timers.sleep_until(due).await;
        log_if_busy(&control, clock::elapsed(due));
        send_to_all(&control, ping(&control));
        let count = control.unreadable_messages.get();
        if count > unreadable {
            Line::new("messages_unreadable").with("since_start", count).warn();
            unreadable = count;
        }
        if clock::elapsed(refreshed_at) < REFRESH_INTERVAL {
            continue;
        }
        refreshed_at = clock::now();
        control.registry.borrow_mut().expire(refreshed_at);
        for peer in control.peers.borrow().values() {
            let refreshed = peer.refreshed.take();
            let registry = control.registry.borrow();
            let reports = refreshed.iter().filter_map(|id| registry.report(refreshed_at, id));
            let reports: Vec<Report> = reports.collect();
            if !reports.is_empty() {
                let message = ToControl::Control(BetweenControl::Registry(reports));
                peer.send(&EncodedFrame::new(&message));
            }
        }
    }
}

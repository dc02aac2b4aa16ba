//! Drives the Raft node: its messages, timers, disk writes and proposals.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use vaneway_agreement::Action;
use vaneway_agreement::Entry;
use vaneway_agreement::Event;
use vaneway_agreement::Index;
use vaneway_agreement::Message;
use vaneway_agreement::NodeId;
use vaneway_agreement::Payload;
use vaneway_agreement::Role;
use vaneway_agreement::Snapshot;
use vaneway_agreement::Term;

use crate::core::cluster::wire::BetweenControl;
use crate::core::control::links;
use crate::core::control::machine::Command;
use crate::core::control::machine::ConfigurationDocument;
use crate::core::control::machine::Effect;
use crate::core::control::machine::StateMachine;
use crate::core::control::membership;
use crate::core::control::membership::MemberStatus;
use crate::core::control::memory;
use crate::core::control::peers;
use crate::core::control::rollouts;
use crate::core::control::state::Control;
use crate::core::control::state::PendingProposal;
use crate::core::control::state::ProposalOutcome;
use crate::core::control::state::node_address;
use crate::core::control::store;
use crate::core::control::store::Write;
use crate::util::clock;
use crate::util::logline::Line;

/// Size of the committed commands in bytes that triggers a snapshot.
const SNAPSHOT_THRESHOLD_BYTES: usize = 4 << 20;

/// Time between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum election timeout.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum difference in rate between two clocks, in parts per thousand.
pub const MAX_DRIFT_PER_MILLE: u32 = 10;

/// Maximum interval between two checks of the node's deadline, which may be brought forward
/// meanwhile.
const MAX_TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two checks of the members.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a leader after which a node requests to join: it may have been removed.
const JOIN_DELAY: Duration = Duration::from_millis(2_500);

/// How long a request to join is valid.
const MAX_JOIN_REQUEST_AGE: Duration = Duration::from_secs(2);

/// Handles an event and carries out its actions. Compacts the log if entries were committed.
pub fn step(control: &Rc<Control>, event: Event) {
    let event =
        if memory::is_disk_behind(control) { memory::strip_writes(event) } else { Some(event) };
    let Some(event) = event else { return };
    let committed = handle(control, event);
    if control.node.borrow().leader().is_some() {
        control.record_leader();
    }
    if committed {
        compact(control);
    }
}

/// Handles an event and carries out its actions; returns whether entries were committed.
fn handle(control: &Rc<Control>, event: Event) -> bool {
    let mut actions = Vec::new();
    control.node.borrow_mut().handle(clock::now(), event, &mut actions);
    let committed = actions.iter().any(|action| matches!(action, Action::Commit { .. }));
    for action in actions {
        perform(control, action);
    }
    committed
}

/// Replaces the committed entries by a snapshot once there are many of them, or they are large.
fn compact(control: &Rc<Control>) {
    let index = {
        let node = control.node.borrow();
        let (index, log) = (node.committed(), node.log());
        let entries = log.between(log.base_index(), index);
        let bytes = store::command_bytes(entries);
        let due = entries.len() as u64 >= control.settings.snapshot_entries
            || (bytes >= SNAPSHOT_THRESHOLD_BYTES && entries.len() > 1);
        due.then_some(index)
    };
    if let Some(index) = index {
        let data = control.machine.borrow().encode();
        Line::new("snapshot").with("index", index).with("bytes", data.len()).info();
        handle(control, Event::Compact { index, data });
    }
}

/// Adopts the state of a leader's snapshot.
fn restore(control: &Rc<Control>, snapshot: &Snapshot) {
    let before = control.machine.borrow().current_configuration().cloned();
    match StateMachine::decode(&snapshot.data) {
        Ok(machine) => {
            *control.machine.borrow_mut() = machine;
            rollouts::publish(control);
            Line::new("snapshot_taken").with("index", snapshot.index).info();
        }
        Err(error) => {
            Line::new("snapshot_unreadable")
                .with("index", snapshot.index)
                .with("error", error)
                .error();
        }
    }
    offer_newer_configuration(control, before.as_deref());
}

fn perform(control: &Rc<Control>, action: Action) {
    match action {
        Action::Send { to, message } => {
            log_refused_vote(control, to, &message);
            peers::send_to_node(control, to, BetweenControl::Agreement { to, message });
        }
        Action::Persist(persist) => store(control, Write::Persist(persist)),
        Action::Proposed { proposal_id, term, index } => {
            if let Some(tx) = control.unlogged_proposals.borrow_mut().remove(&proposal_id) {
                control.pending_proposals.borrow_mut().insert(index, PendingProposal { term, tx });
            }
        }
        Action::Refused { proposal_id, refusal } => {
            log::debug!("event=proposal_refused refusal={refusal:?}");
            if let Some(tx) = control.unlogged_proposals.borrow_mut().remove(&proposal_id) {
                let _gone = tx.send(ProposalOutcome::NotTaken);
            }
        }
        Action::Commit { entries } => {
            let before = control.machine.borrow().current_configuration().cloned();
            for entry in entries {
                apply_committed_entry(control, entry);
            }
            offer_newer_configuration(control, before.as_deref());
        }
        Action::Restore { snapshot } => restore(control, &snapshot),
        Action::RoleChanged { role, term } => role_changed(control, role, term),
    }
}

/// Logs that this node refuses its vote to another one.
fn log_refused_vote(control: &Control, to: NodeId, message: &Message) {
    let (Message::PreVoteReply { granted: false, .. } | Message::VoteReply { granted: false, .. }) =
        message
    else {
        return;
    };
    let node = control.node.borrow();
    Line::new("vote_refused")
        .with("node", node_address(to))
        .with("term", message.term())
        .with("leader", node.leader().is_some())
        .with("last", node.log().last_index())
        .info();
}

fn apply_committed_entry(control: &Rc<Control>, entry: Entry) {
    let Entry { term, index, payload } = entry;
    match payload {
        Payload::Noop => {}
        Payload::Members(members) => {
            Line::new("members")
                .with("index", index)
                .with("voters", format_nodes(members.voters))
                .with("learners", format_nodes(members.learners))
                .info();
        }
        Payload::Command(bytes) => {
            if let Some(command) = decode(index, &bytes) {
                apply(control, command, index);
            }
        }
    }
    let pending = control.pending_proposals.borrow_mut().remove(&index);
    if let Some(pending) = pending {
        let same = pending.term == term;
        let outcome = if same { ProposalOutcome::Committed } else { ProposalOutcome::NotTaken };
        let _gone = pending.tx.send(outcome);
    }
}

fn format_nodes(nodes: impl IntoIterator<Item = NodeId>) -> String {
    let names = nodes.into_iter().map(|node| format!("{}/{}", node_address(node), node as u32));
    names.collect::<Vec<_>>().join(",")
}

fn apply(control: &Rc<Control>, command: Command, index: u64) {
    let effect = control.machine.borrow_mut().apply(command);
    if matches!(effect, Effect::Configured | Effect::RolloutChanged) {
        store(control, Write::Committed(index));
    }
    if effect == Effect::RolloutChanged {
        rollouts::publish(control);
    }
}

/// Queues a disk write.
fn store(control: &Control, write: Write) {
    control.unwritten_bytes.update(|bytes| bytes + write.bytes());
    if control.write_queue.unbounded_send(write).is_err() {
        log::error!("event=store_task_ended");
    }
}

/// Decodes a command of the log; none, with a log line, if its format is unknown.
fn decode(index: Index, bytes: &[u8]) -> Option<Command> {
    match Command::decode(bytes) {
        Ok(command) => Some(command),
        Err(error) => {
            Line::new("command_unreadable").with("index", index).with("error", error).error();
            None
        }
    }
}

/// Offers the committed configuration to entry boxes if it is newer than `before`.
fn offer_newer_configuration(control: &Control, before: Option<&ConfigurationDocument>) {
    let current = control.machine.borrow().current_configuration().cloned();
    let version = before.map_or(0, |before| before.configuration.version);
    let Some(current) = current.filter(|current| current.configuration.version > version) else {
        return;
    };
    Line::new("configuration_agreed").with("version", current.configuration.version).info();
    let before = before.map(|before| &before.configuration);
    control.changes.borrow_mut().record(before, &current.configuration);
    links::publish_configuration(control, current.configuration.version);
}

/// Applies the entries that were committed before this box started, so that entry boxes that start
/// at the same time need not wait for a leader. The result may be older than the latest committed
/// state, but contains only committed entries.
pub fn replay_committed(machine: &mut StateMachine, entries: &[Entry], committed: Index) {
    for entry in entries.iter().filter(|entry| entry.index <= committed) {
        if let Payload::Command(bytes) = &entry.payload
            && let Some(command) = decode(entry.index, bytes)
        {
            machine.apply(command);
        }
    }
}

fn role_changed(control: &Rc<Control>, role: Role, term: Term) {
    Line::new("role").with("role", format!("{role:?}")).with("term", term).info();
    let leads = role == Role::Leader;
    control.leader_since.set(leads.then(clock::now));
}

/// Sends timer events to the node until dropped.
pub async fn run_timers(control: Rc<Control>) {
    loop {
        let deadline = control.node.borrow().next_deadline();
        let wake_at = deadline.min(clock::now() + MAX_TIMER_INTERVAL);
        control.timers.sleep_until(wake_at).await;
        step(&control, Event::Tick);
    }
}

/// Adjusts the members as the leader, or requests to join, until dropped.
pub async fn maintain(control: Rc<Control>) {
    loop {
        control.timers.sleep(MEMBER_CHECK_INTERVAL).await;
        if control.stopping.get() {
            continue;
        }
        let leads = control.node.borrow().role() == Role::Leader;
        if leads {
            change_members(&control);
        } else if !is_member(&control) || clock::elapsed(control.last_leader_at.get()) > JOIN_DELAY
        {
            let node = control.node.borrow().id();
            peers::send_to_all(&control, BetweenControl::Join { node });
        }
    }
}

/// Records that `node` requests to join, as sent by `from`, and forwards the request to the leader
/// if the node sent it itself. A box that is not a member may only know boxes that do not lead.
pub(super) fn record_join_request(control: &Control, from: NodeId, node: NodeId) {
    control.join_requests.borrow_mut().insert(node, clock::now());
    let (own, leader) = {
        let node = control.node.borrow();
        (node.id(), node.leader())
    };
    if let Some(leader) = leader.filter(|leader| *leader != own && from == node) {
        peers::send_to_node(control, leader, BetweenControl::Join { node });
    }
}

fn is_member(control: &Control) -> bool {
    let node = control.node.borrow();
    node.log().members().all().any(|member| member == node.id())
}

fn change_members(control: &Rc<Control>) {
    let now = clock::now();
    control
        .join_requests
        .borrow_mut()
        .retain(|_, requested_at| now - *requested_at < MAX_JOIN_REQUEST_AGE);
    let joining: Vec<NodeId> = control.join_requests.borrow().keys().copied().collect();
    let change = {
        let node = control.node.borrow();
        let members = node.log().members();
        let view = |id: NodeId, voter: bool| MemberStatus {
            node: id,
            voter,
            caught_up: id == node.id() || node.matched(id) >= node.committed(),
            unresponsive_for: node.time_since_reply(id, now),
        };
        let voters = members.voters.iter().map(|id| view(*id, true));
        let learners = members.learners.iter().map(|id| view(*id, false));
        let members: Vec<MemberStatus> = voters.chain(learners).collect();
        membership::next_change(node.id(), &members, &joining)
    };
    if let Some(change) = change {
        log::debug!("event=member_change change={change:?}");
        let proposal_id = next_proposal_id(control);
        step(control, Event::ChangeMembers { proposal_id, change });
    }
}

fn next_proposal_id(control: &Control) -> u64 {
    control.next_proposal_id.update(|proposal_id| proposal_id + 1);
    control.next_proposal_id.get()
}

/// Proposes a command and waits until it is applied here. Returns none if the result is not known
/// by `until`, in which case the command may still be applied later. Rejected while too much waits
/// for the disk.
pub async fn propose(
    control: &Rc<Control>,
    command: &Command,
    until: Instant,
) -> Option<ProposalOutcome> {
    if memory::is_disk_behind(control) {
        Line::new("proposal_refused").with("unwritten", control.unwritten_bytes.get()).warn();
        return Some(ProposalOutcome::NotTaken);
    }
    let (tx, rx) = oneshot::channel();
    let proposal_id = next_proposal_id(control);
    control.unlogged_proposals.borrow_mut().insert(proposal_id, tx);
    step(control, Event::Propose { proposal_id, command: command.encode() });
    control.timers.timeout_at(until, rx).await?.ok()
}

//! The agreement between control boxes, driven: its messages, timers, disk and proposals.

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
use crate::core::control::machine::Effect;
use crate::core::control::machine::Held;
use crate::core::control::machine::Machine;
use crate::core::control::membership;
use crate::core::control::membership::MemberView;
use crate::core::control::memory;
use crate::core::control::peers;
use crate::core::control::state::Control;
use crate::core::control::state::Pending;
use crate::core::control::state::Proposed;
use crate::core::control::state::node_address;
use crate::core::control::store;
use crate::core::control::store::Write;
use crate::util::clock;
use crate::util::logline::Line;

/// Bytes of commands after which a snapshot takes their place.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// Time between a leader's heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(100);

/// Shortest silence of a leader before another is sought.
pub const ELECTION: Duration = Duration::from_millis(500);

/// Largest difference in speed between two clocks, in parts of a thousand.
pub const DRIFT_PER_MILLE: u32 = 10;

/// Longest time between two looks at the agreement's deadline, which can come forward meanwhile.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time between two looks at the members.
const MAINTAIN_EVERY: Duration = Duration::from_millis(200);

/// Time without a leader after which a node asks to join: it may have been taken out.
const JOIN_AFTER: Duration = Duration::from_millis(2_500);

/// How long a request to join counts.
const JOINING_FOR: Duration = Duration::from_secs(2);

/// Applies an event and carries out what it brings.
pub fn step(control: &Rc<Control>, event: Event) {
    let event =
        if memory::is_disk_behind(control) { memory::without_writes(event) } else { Some(event) };
    let Some(event) = event else { return };
    let committed = handle(control, event);
    if control.node.borrow().leader().is_some() {
        control.led_at.set(clock::now());
    }
    if committed {
        compact(control);
    }
}

/// Applies an event and carries out what it brings; returns whether entries were committed.
fn handle(control: &Rc<Control>, event: Event) -> bool {
    let mut actions = Vec::new();
    control.node.borrow_mut().handle(clock::now(), event, &mut actions);
    let committed = actions.iter().any(|action| matches!(action, Action::Commit { .. }));
    for action in actions {
        perform(control, action);
    }
    committed
}

/// Puts a snapshot in place of the committed entries once there are many of them, or they are
/// large.
fn compact(control: &Rc<Control>) {
    let index = {
        let node = control.node.borrow();
        let (index, log) = (node.committed(), node.log());
        let entries = log.between(log.base_index(), index);
        let bytes = store::command_bytes(entries);
        let due = entries.len() as u64 >= control.settings.snapshot_entries
            || (bytes >= SNAPSHOT_BYTES && entries.len() > 1);
        due.then_some(index)
    };
    if let Some(index) = index {
        let data = control.machine.borrow().encode();
        Line::new("snapshot").with("index", index).with("bytes", data.len()).info();
        handle(control, Event::Compact { index, data });
    }
}

/// Takes the state of a leader's snapshot.
fn restore(control: &Rc<Control>, snapshot: &Snapshot) {
    let before = control.machine.borrow().held().cloned();
    match Machine::decode(&snapshot.data) {
        Ok(machine) => {
            *control.machine.borrow_mut() = machine;
            Line::new("snapshot_taken").with("index", snapshot.index).info();
        }
        Err(error) => {
            Line::new("snapshot_unreadable")
                .with("index", snapshot.index)
                .with("error", error)
                .error();
        }
    }
    configured_since(control, before.as_deref());
}

fn perform(control: &Rc<Control>, action: Action) {
    match action {
        Action::Send { to, message } => {
            log_refused_vote(control, to, &message);
            peers::send_to_node(control, to, BetweenControl::Agreement { to, message });
        }
        Action::Persist(persist) => store(control, Write::Persist(persist)),
        Action::Proposed { ticket, term, index } => {
            if let Some(tx) = control.tickets.borrow_mut().remove(&ticket) {
                control.pending.borrow_mut().insert(index, Pending { term, tx });
            }
        }
        Action::Refused { ticket, refusal } => {
            log::debug!("event=proposal_refused refusal={refusal:?}");
            if let Some(tx) = control.tickets.borrow_mut().remove(&ticket) {
                let _gone = tx.send(Proposed::NotTaken);
            }
        }
        Action::Commit { entries } => {
            let before = control.machine.borrow().held().cloned();
            for entry in entries {
                committed(control, entry);
            }
            configured_since(control, before.as_deref());
        }
        Action::Restore { snapshot } => restore(control, &snapshot),
        Action::RoleChanged { role, term } => role_changed(control, role, term),
    }
}

/// Logs that this node does not vote for another one.
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

fn committed(control: &Rc<Control>, entry: Entry) {
    let Entry { term, index, payload } = entry;
    match payload {
        Payload::Noop => {}
        Payload::Members(members) => {
            Line::new("members")
                .with("index", index)
                .with("voters", list(members.voters))
                .with("learners", list(members.learners))
                .info();
        }
        Payload::Command(bytes) => {
            if let Some(command) = decode(index, &bytes) {
                apply(control, command, index);
            }
        }
    }
    let pending = control.pending.borrow_mut().remove(&index);
    if let Some(pending) = pending {
        let same = pending.term == term;
        let became = if same { Proposed::Committed } else { Proposed::NotTaken };
        let _gone = pending.tx.send(became);
    }
}

fn list(nodes: impl IntoIterator<Item = NodeId>) -> String {
    let names = nodes.into_iter().map(|node| format!("{}/{}", node_address(node), node as u32));
    names.collect::<Vec<_>>().join(",")
}

fn apply(control: &Rc<Control>, command: Command, index: u64) {
    let effect = control.machine.borrow_mut().apply(command);
    if effect == Effect::Configured {
        store(control, Write::Committed(index));
    }
}

/// Queues a write to the disk.
fn store(control: &Control, write: Write) {
    control.unwritten.update(|bytes| bytes + write.bytes());
    if control.persist.unbounded_send(write).is_err() {
        log::error!("event=store_task_ended");
    }
}

/// Reads a command of the log; none, with a log line, if it is in no known form.
fn decode(index: Index, bytes: &[u8]) -> Option<Command> {
    match Command::decode(bytes) {
        Ok(command) => Some(command),
        Err(error) => {
            Line::new("command_unreadable").with("index", index).with("error", error).error();
            None
        }
    }
}

/// Offers the configuration in force to entry boxes if it is another than the one before.
fn configured_since(control: &Control, before: Option<&Held>) {
    let held = control.machine.borrow().held().cloned();
    let version = before.map_or(0, |held| held.configuration.version);
    let Some(held) = held.filter(|held| held.configuration.version > version) else { return };
    Line::new("configuration_agreed").with("version", held.configuration.version).info();
    let before = before.map(|held| &held.configuration);
    control.changes.borrow_mut().record(before, &held.configuration);
    links::spread_configuration(control, held.configuration.version);
}

/// Applies what was committed before this box started, so that entry boxes that start with it need
/// not wait for a leader. It may be older than the newest, never anything that was not agreed on.
pub fn apply_committed(machine: &mut Machine, entries: &[Entry], committed: Index) {
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
    control.leads_since.set(leads.then(clock::now));
}

/// Lets time pass for the agreement until dropped.
pub async fn run_timers(control: Rc<Control>) {
    loop {
        let deadline = control.node.borrow().next_deadline();
        let look = deadline.min(clock::now() + LOOK_EVERY);
        control.timers.sleep_until(look).await;
        step(&control, Event::Tick);
    }
}

/// Keeps the members as they should be, or asks to become one, until dropped.
pub async fn maintain(control: Rc<Control>) {
    loop {
        control.timers.sleep(MAINTAIN_EVERY).await;
        if control.stopping.get() {
            continue;
        }
        let leads = control.node.borrow().role() == Role::Leader;
        if leads {
            change_members(&control);
        } else if !is_member(&control) || clock::elapsed(control.led_at.get()) > JOIN_AFTER {
            let node = control.node.borrow().id();
            peers::send_to_all(&control, BetweenControl::Join { node });
        }
    }
}

/// Takes in that `node` wants to join, as `from` says. A box that has no part in the agreement may know only
/// boxes that don't lead.
pub(super) fn learn_joining(control: &Control, from: NodeId, node: NodeId) {
    control.joining.borrow_mut().insert(node, clock::now());
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
    control.joining.borrow_mut().retain(|_, asked| now - *asked < JOINING_FOR);
    let joining: Vec<NodeId> = control.joining.borrow().keys().copied().collect();
    let change = {
        let node = control.node.borrow();
        let members = node.log().members();
        let view = |id: NodeId, voter: bool| MemberView {
            node: id,
            voter,
            caught_up: id == node.id() || node.matched(id) >= node.committed(),
            silent: node.silence(id, now),
        };
        let voters = members.voters.iter().map(|id| view(*id, true));
        let learners = members.learners.iter().map(|id| view(*id, false));
        let members: Vec<MemberView> = voters.chain(learners).collect();
        membership::next_change(node.id(), &members, &joining)
    };
    if let Some(change) = change {
        log::debug!("event=member_change change={change:?}");
        let ticket = next_ticket(control);
        step(control, Event::Change { ticket, change });
    }
}

fn next_ticket(control: &Control) -> u64 {
    control.next_ticket.update(|ticket| ticket + 1);
    control.next_ticket.get()
}

/// Proposes a command and waits until it is applied here; none if that is not known by `until`,
/// in which case it may still be applied later. Not taken while the disk is far behind.
pub async fn propose(control: &Rc<Control>, command: &Command, until: Instant) -> Option<Proposed> {
    if memory::is_disk_behind(control) {
        Line::new("proposal_refused").with("unwritten", control.unwritten.get()).warn();
        return Some(Proposed::NotTaken);
    }
    let (tx, rx) = oneshot::channel();
    let ticket = next_ticket(control);
    control.tickets.borrow_mut().insert(ticket, tx);
    step(control, Event::Propose { ticket, command: command.encode() });
    control.timers.timeout_at(until, rx).await?.ok()
}

//! Messages that Raft nodes send while one of them lacks a snapshot, without I/O.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use vaneway_agreement::Action;
use vaneway_agreement::Config;
use vaneway_agreement::DurableState;
use vaneway_agreement::Event;
use vaneway_agreement::MemberChange;
use vaneway_agreement::Members;
use vaneway_agreement::Message;
use vaneway_agreement::Node;
use vaneway_agreement::NodeId;
use vaneway_agreement::Role;

/// Passes an event to a node whose writes are durable at once; returns the messages that it sends.
fn step(node: &mut Node, now: Instant, event: Event) -> Vec<(NodeId, Message)> {
    let mut sent = Vec::new();
    let mut events = VecDeque::from([event]);
    while let Some(event) = events.pop_front() {
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => sent.push((to, message)),
                Action::Persist(persist) => {
                    events.push_back(Event::Persisted { number: persist.number });
                }
                _ => {}
            }
        }
    }
    sent
}

fn node(id: NodeId, members: Members, now: Instant) -> Node {
    let config = Config {
        id,
        heartbeat_interval: Duration::from_millis(100),
        election_timeout: Duration::from_millis(500),
        max_drift_per_mille: 10,
        seed: id,
    };
    Node::start(config, DurableState::empty(members), now)
}

/// Guards against a leader that sends the same entries to a node as fast as the node can reject
/// them, because the snapshot that the node lacks was lost on its connection. The node must get
/// heartbeats only, until the snapshot is sent again.
#[test]
fn node_that_lacks_a_snapshot_is_not_sent_entries_without_end() {
    const NETWORK_DELAY: Duration = Duration::from_millis(1);
    let mut now = Instant::now();
    let mut leader = node(1, Members::with_voters([1]), now);
    let mut learner = node(2, Members::default(), now);
    now += Duration::from_secs(2);
    step(&mut leader, now, Event::Tick);
    assert_eq!(leader.role(), Role::Leader);
    let propose = |leader: &mut Node, now, count| {
        for proposal_id in 0..count {
            step(leader, now, Event::Propose { proposal_id, command: vec![0; 10_000] });
        }
    };
    propose(&mut leader, now, 20);
    let index = leader.committed();
    step(&mut leader, now, Event::Compact { index, data: vec![0; 1_000] });
    propose(&mut leader, now, 20);
    step(
        &mut leader,
        now,
        Event::ChangeMembers { proposal_id: 99, change: MemberChange::AddLearner(2) },
    );

    let mut in_flight = VecDeque::<(Instant, NodeId, NodeId, Message)>::new();
    let (mut appends, mut bytes) = (0, 0);
    let end = now + Duration::from_millis(950);
    while now < end {
        now += NETWORK_DELAY;
        let mut sent = Vec::new();
        if now >= leader.next_deadline() {
            sent.extend(step(&mut leader, now, Event::Tick).into_iter().map(|s| (1, s)));
        }
        while let Some((_, from, to, message)) = in_flight.pop_front_if(|(at, ..)| *at <= now) {
            let receiver = if to == 1 { &mut leader } else { &mut learner };
            let replies = step(receiver, now, Event::Message { from, message });
            sent.extend(replies.into_iter().map(|s| (to, s)));
        }
        for (from, (to, message)) in sent {
            if let Message::Append(append) = &message {
                appends += 1;
                bytes += append.entries.iter().map(|e| e.payload.command_bytes()).sum::<usize>();
            }
            // The connection fails while it transfers the snapshot.
            if !matches!(message, Message::Install(_)) {
                in_flight.push_back((now + NETWORK_DELAY, from, to, message));
            }
        }
    }
    assert!(appends <= 30, "{appends} messages with {bytes} bytes of commands in 950 ms");
}

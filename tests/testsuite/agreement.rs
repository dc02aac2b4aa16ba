//! Model checking of the consensus: explores every order of messages, losses, duplicates, crashes
//! and timeouts within the bounds of each setup, over the real state machine.
//!
//! docs/SPEC.md lists the invariants. Each rule of the node is disabled once, and the explorer
//! must then find a violation, which shows that it can detect one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use vaneway_agreement::Action;
use vaneway_agreement::Config;
use vaneway_agreement::DurableState;
use vaneway_agreement::Entry;
use vaneway_agreement::Event;
use vaneway_agreement::MemberChange;
use vaneway_agreement::Members;
use vaneway_agreement::Message;
use vaneway_agreement::Node;
use vaneway_agreement::NodeId;
use vaneway_agreement::Payload;
use vaneway_agreement::Persist;
use vaneway_agreement::Refusal;
use vaneway_agreement::Role;
use vaneway_agreement::Rule;
use vaneway_agreement::Snapshot;
use vaneway_agreement::Term;
use vaneway_test_support::explorer::Exploration;
use vaneway_test_support::explorer::Model;
use vaneway_test_support::explorer::Transition;
use vaneway_test_support::explorer::explore;

const ELECTION: Duration = Duration::from_millis(100);

/// A scripted step of a setup, taken before exploration begins.
#[derive(Debug, Clone, Copy)]
enum SetupStep {
    /// A node's timer fires.
    Tick(NodeId),
    /// All messages in flight from the first node to the second one are delivered.
    Deliver(NodeId, NodeId),
    /// All pending writes of a node become durable.
    Persist(NodeId),
    /// A node crashes and restarts without its pending writes.
    Crash(NodeId),
    /// A node replaces its committed entries by a snapshot.
    Compact(NodeId),
}

/// Node 1 requests the vote of node 2, and the request is in flight.
const FIRST_REQUESTS_VOTE_OF_SECOND: &[SetupStep] = &[
    SetupStep::Tick(1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Persist(1),
];

/// Node 1 is elected by node 2, which stores the first entry of node 1; node 1 crashes before that
/// entry is durable on its own disk.
const SECOND_HAS_ENTRY_THAT_FIRST_LOSES: &[SetupStep] = &[
    SetupStep::Tick(1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Persist(1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Crash(1),
];

/// Node 1 is elected by node 2.
const SECOND_ELECTS_FIRST: &[SetupStep] = &[
    SetupStep::Tick(1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Persist(1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
];

/// Node 1 leads with the vote of node 2 and has a snapshot of what they committed; the snapshot is
/// in flight to node 3, which has none of these entries.
const SNAPSHOT_IN_FLIGHT: &[SetupStep] = &[
    SetupStep::Tick(1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Persist(1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Deliver(1, 2),
    SetupStep::Deliver(2, 1),
    SetupStep::Compact(1),
    SetupStep::Deliver(1, 3),
    SetupStep::Deliver(3, 1),
];

/// Start of an exploration: content of the disks, rules in force, and bounds of what may happen.
#[derive(Debug, Clone)]
struct Setup {
    disabled_rule: Option<Rule>,
    disks: Vec<DurableState>,
    /// How many times each node's timer may fire.
    ticks: Vec<u8>,
    /// How many times each node's clock may jump by two election timeouts without its timer firing.
    clock_jumps: Vec<u8>,
    /// How many times each node may crash and restart.
    crashes: Vec<u8>,
    proposals: u8,
    duplicates: u8,
    /// How many times a node may replace its committed entries by a snapshot.
    compactions: u8,
    /// Nodes whose writes become durable in a step of their own; at the others they do at once.
    slow_disks: &'static [NodeId],
    /// Steps taken before exploration begins.
    before: &'static [SetupStep],
    base: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClusterState {
    nodes: Vec<Node>,
    clocks: Vec<Instant>,
    disks: Vec<DurableState>,
    pending: Vec<VecDeque<Persist>>,
    network: BTreeSet<(NodeId, NodeId, Message)>,
    leaders: BTreeMap<Term, NodeId>,
    /// Committed entries, each with the term in which its commit was first observed.
    committed: Vec<(Term, Entry)>,
    /// Highest index that each node has reported as committed since it started.
    delivered: Vec<u64>,
    ticks: Vec<u8>,
    clock_jumps: Vec<u8>,
    crashes: Vec<u8>,
    proposals: u8,
    duplicates: u8,
    compactions: u8,
}

#[derive(Debug, Clone)]
enum Step {
    Compact(NodeId),
    Deliver(NodeId, NodeId, Message),
    DeliverCopy(NodeId, NodeId, Message),
    Persist(NodeId),
    Tick(NodeId),
    /// A node's clock jumps by two election timeouts without its timer firing.
    JumpClock(NodeId),
    Propose(NodeId),
    /// Crash and restart; `true` if the pending writes survive.
    Crash(NodeId, bool),
}

fn position(id: NodeId) -> usize {
    id as usize - 1
}

fn entry(index: u64, term: Term, name: u8) -> Entry {
    Entry { term, index, payload: Payload::Command(vec![name]) }
}

fn disk(term: Term, entries: &[Entry]) -> DurableState {
    DurableState {
        term,
        entries: entries.to_vec(),
        ..DurableState::empty(Members::with_voters([1, 2, 3]))
    }
}

impl Setup {
    /// Three empty nodes, of which the first and the third may start an election.
    fn new() -> Self {
        Self {
            disabled_rule: None,
            disks: vec![disk(0, &[]); 3],
            ticks: vec![1, 0, 1],
            clock_jumps: vec![0, 0, 0],
            crashes: vec![0, 0, 0],
            proposals: 0,
            duplicates: 0,
            compactions: 0,
            slow_disks: &[],
            before: &[],
            base: Instant::now(),
        }
    }

    fn node(&self, id: NodeId, disk: &DurableState, now: Instant) -> Node {
        let config = Config {
            id,
            heartbeat_interval: ELECTION / 4,
            election_timeout: ELECTION,
            max_drift_per_mille: 10,
            seed: id,
        };
        Node::start(config, disk.clone(), now).with_rule_disabled(self.disabled_rule)
    }

    /// Passes an event to a node and checks the invariants on the resulting actions.
    fn apply(&self, cluster: &mut ClusterState, id: NodeId, event: Event) -> Result<(), String> {
        let mut out = Vec::new();
        let now = cluster.clocks[position(id)];
        cluster.nodes[position(id)].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    cluster.network.insert((id, to, message));
                }
                Action::Persist(persist) => cluster.pending[position(id)].push_back(persist),
                Action::Commit { entries } => committed(cluster, id, &entries)?,
                Action::Restore { snapshot } => restored(cluster, id, &snapshot)?,
                Action::RoleChanged { role: Role::Leader, term } => elected(cluster, id, term)?,
                Action::RoleChanged { .. } | Action::Proposed { .. } | Action::Refused { .. } => {}
            }
        }
        if !self.slow_disks.contains(&id) {
            while !cluster.pending[position(id)].is_empty() {
                self.persist(cluster, id)?;
            }
        }
        Ok(())
    }

    fn persist(&self, cluster: &mut ClusterState, id: NodeId) -> Result<(), String> {
        let Some(persist) = cluster.pending[position(id)].pop_front() else { return Ok(()) };
        cluster.disks[position(id)].apply(&persist);
        self.apply(cluster, id, Event::Persisted { number: persist.number })
    }

    fn take(&self, cluster: &ClusterState, step: &Step) -> Result<ClusterState, String> {
        let mut cluster = cluster.clone();
        match step {
            Step::Deliver(from, to, message) => {
                cluster.network.remove(&(*from, *to, message.clone()));
                let event = Event::Message { from: *from, message: message.clone() };
                self.apply(&mut cluster, *to, event)?;
            }
            Step::DeliverCopy(from, to, message) => {
                cluster.duplicates -= 1;
                let event = Event::Message { from: *from, message: message.clone() };
                self.apply(&mut cluster, *to, event)?;
            }
            Step::Persist(id) => self.persist(&mut cluster, *id)?,
            Step::Tick(id) => {
                cluster.ticks[position(*id)] -= 1;
                let deadline = cluster.nodes[position(*id)].next_deadline();
                let clock = &mut cluster.clocks[position(*id)];
                *clock = deadline.max(*clock);
                self.apply(&mut cluster, *id, Event::Tick)?;
            }
            Step::JumpClock(id) => {
                cluster.clock_jumps[position(*id)] -= 1;
                cluster.clocks[position(*id)] += 2 * ELECTION;
            }
            Step::Propose(id) => {
                cluster.proposals -= 1;
                let command = vec![b'p', cluster.proposals];
                self.apply(&mut cluster, *id, Event::Propose { proposal_id: 0, command })?;
            }
            Step::Compact(id) => {
                cluster.compactions -= 1;
                let index = cluster.nodes[position(*id)].committed();
                let data = state_after(&cluster, index);
                self.apply(&mut cluster, *id, Event::Compact { index, data })?;
            }
            Step::Crash(id, synced) => {
                let i = position(*id);
                cluster.crashes[i] -= 1;
                let pending = std::mem::take(&mut cluster.pending[i]);
                if *synced {
                    for persist in &pending {
                        cluster.disks[i].apply(persist);
                    }
                }
                cluster.nodes[i] = self.node(*id, &cluster.disks[i], cluster.clocks[i]);
                cluster.delivered[i] = cluster.nodes[i].committed();
            }
        }
        Ok(cluster)
    }

    fn take_setup_step(
        &self,
        mut cluster: ClusterState,
        step: SetupStep,
    ) -> Result<ClusterState, String> {
        match step {
            SetupStep::Tick(id) => cluster = self.take(&cluster, &Step::Tick(id))?,
            SetupStep::Compact(id) => cluster = self.take(&cluster, &Step::Compact(id))?,
            SetupStep::Crash(id) => cluster = self.take(&cluster, &Step::Crash(id, false))?,
            SetupStep::Persist(id) => {
                while !cluster.pending[position(id)].is_empty() {
                    self.persist(&mut cluster, id)?;
                }
            }
            SetupStep::Deliver(from, to) => {
                let in_flight: Vec<_> = cluster
                    .network
                    .iter()
                    .filter(|(f, t, _)| (*f, *t) == (from, to))
                    .map(|(_, _, message)| message.clone())
                    .collect();
                for message in in_flight {
                    cluster = self.take(&cluster, &Step::Deliver(from, to, message))?;
                }
            }
        }
        Ok(cluster)
    }

    fn steps(cluster: &ClusterState) -> Vec<Step> {
        let mut steps = Vec::new();
        for (from, to, message) in &cluster.network {
            steps.push(Step::Deliver(*from, *to, message.clone()));
            if cluster.duplicates > 0 {
                steps.push(Step::DeliverCopy(*from, *to, message.clone()));
            }
        }
        for (i, node) in cluster.nodes.iter().enumerate() {
            let id = node.id();
            if !cluster.pending[i].is_empty() {
                steps.push(Step::Persist(id));
            }
            if cluster.ticks[i] > 0 {
                steps.push(Step::Tick(id));
            }
            if cluster.clock_jumps[i] > 0 {
                steps.push(Step::JumpClock(id));
            }
            if cluster.compactions > 0 && node.committed() > node.log().base_index() {
                steps.push(Step::Compact(id));
            }
            if cluster.proposals > 0 && node.role() == Role::Leader {
                steps.push(Step::Propose(id));
            }
            if cluster.crashes[i] > 0 {
                steps.push(Step::Crash(id, false));
                if !cluster.pending[i].is_empty() {
                    steps.push(Step::Crash(id, true));
                }
            }
        }
        steps
    }
}

/// Checks that all nodes commit the same entry at an index.
fn committed(cluster: &mut ClusterState, id: NodeId, entries: &[Entry]) -> Result<(), String> {
    let term = cluster.nodes[position(id)].term();
    for entry in entries {
        cluster.delivered[position(id)] = entry.index;
        match cluster.committed.get(entry.index as usize - 1) {
            Some((_, known)) if known == entry => {}
            Some((_, known)) => {
                return Err(format!("node {id} commits {entry:?}, earlier commit: {known:?}"));
            }
            None => cluster.committed.push((term, entry.clone())),
        }
    }
    Ok(())
}

/// Content of a snapshot in these setups: every committed entry up to `index`.
fn state_after(cluster: &ClusterState, index: u64) -> Vec<u8> {
    let entries = &cluster.committed[..index as usize];
    format!("{:?}", entries.iter().map(|(_, entry)| entry).collect::<Vec<_>>()).into_bytes()
}

/// Checks that a snapshot is the state after the committed entries, and is not older than the
/// commits that the node has reported.
fn restored(cluster: &mut ClusterState, id: NodeId, snapshot: &Snapshot) -> Result<(), String> {
    let delivered = std::mem::replace(&mut cluster.delivered[position(id)], snapshot.index);
    if snapshot.index < delivered {
        return Err(format!("node {id} rolls back from index {delivered} to {}", snapshot.index));
    }
    if snapshot.data != state_after(cluster, snapshot.index) {
        return Err(format!("node {id} restores a state that differs at index {}", snapshot.index));
    }
    Ok(())
}

/// Checks that a term has one leader, and that a leader has every entry committed in an earlier
/// term.
fn elected(cluster: &mut ClusterState, id: NodeId, term: Term) -> Result<(), String> {
    let first = *cluster.leaders.entry(term).or_insert(id);
    if first != id {
        return Err(format!("nodes {first} and {id} both lead term {term}"));
    }
    let log = cluster.nodes[position(id)].log();
    for (committed_in, entry) in &cluster.committed {
        // A snapshot covers committed entries only.
        let has = entry.index <= log.base_index()
            || log.batch_from(entry.index, 1, usize::MAX).first() == Some(entry);
        if *committed_in < term && !has {
            return Err(format!("node {id} leads term {term} without committed {entry:?}"));
        }
    }
    Ok(())
}

impl Model for Setup {
    type State = ClusterState;
    type Step = Step;

    fn initial(&self) -> Vec<ClusterState> {
        let nodes: Vec<_> = self
            .disks
            .iter()
            .enumerate()
            .map(|(i, disk)| self.node(i as NodeId + 1, disk, self.base))
            .collect();
        let count = nodes.len();
        let mut cluster = ClusterState {
            // A node votes only once an election timeout has passed since its start.
            clocks: vec![self.base + 2 * ELECTION; count],
            disks: self.disks.clone(),
            pending: vec![VecDeque::new(); count],
            network: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: Vec::new(),
            delivered: vec![0; count],
            ticks: self.ticks.clone(),
            clock_jumps: self.clock_jumps.clone(),
            crashes: self.crashes.clone(),
            proposals: self.proposals,
            duplicates: self.duplicates,
            compactions: self.compactions,
            nodes,
        };
        for before in self.before {
            cluster =
                self.take_setup_step(cluster, *before).expect("setup steps violate no invariant");
        }
        vec![cluster]
    }

    fn next(&self, state: &ClusterState) -> Vec<Transition<Self>> {
        let steps = Self::steps(state).into_iter();
        steps.map(|step| (step.clone(), self.take(state, &step))).collect()
    }
}

/// Bounds the states explored for one setup, which keeps the suite short.
const MAX_STATES: usize = 30_000;

/// Environment variable that overrides the maximum number of states for each setup.
const STATES_VARIABLE: &str = "VANEWAY_STATES";

fn max_states() -> usize {
    let requested = std::env::var(STATES_VARIABLE).ok().and_then(|states| states.parse().ok());
    requested.unwrap_or(MAX_STATES)
}

fn report(name: &str, explored: &Exploration) {
    println!(
        "setup {name}: {} states, depth {}, complete {}",
        explored.states, explored.depth, explored.complete
    );
}

fn assert_holds(name: &str, setup: &Setup) {
    let explored = explore(setup, max_states());
    report(name, &explored);
    if let Some(fault) = explored.fault {
        panic!("{name}: {fault}");
    }
    assert!(explored.states > 100, "the setup reaches too few states");
}

/// Asserts that the invariants hold with all rules, and that the explorer finds a violation with
/// one rule disabled.
fn assert_fails_without(name: &str, setup: &Setup, rule: Rule) {
    assert_holds(name, setup);
    let broken = explore(
        &Setup { disabled_rule: Some(rule), ..setup.clone() },
        4 * MAX_STATES.max(max_states()),
    );
    report(&format!("{name}, rule off"), &broken);
    assert!(
        broken.fault.is_some(),
        "{name}: the explorer finds no violation with the rule disabled"
    );
}

#[test]
fn two_candidates_race() {
    assert_fails_without(
        "two candidates",
        &Setup { duplicates: 1, ..Setup::new() },
        Rule::OneVotePerTerm,
    );
}

#[test]
fn voter_forgets_an_unsynced_vote() {
    assert_fails_without(
        "unsynced vote",
        &Setup {
            crashes: vec![0, 1, 0],
            clock_jumps: vec![0, 1, 0],
            slow_disks: &[2],
            before: FIRST_REQUESTS_VOTE_OF_SECOND,
            ..Setup::new()
        },
        Rule::PersistBeforeReply,
    );
}

#[test]
fn candidate_that_lacks_a_committed_entry_is_not_elected() {
    assert_fails_without(
        "lagging candidate",
        &Setup { clock_jumps: vec![0, 1, 0], before: SECOND_ELECTS_FIRST, ..Setup::new() },
        Rule::VoteChecksLog,
    );
}

#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting() {
    let first = entry(1, 1, b'a');
    let disks = vec![
        disk(3, &[first.clone(), entry(2, 2, b'b')]),
        disk(3, &[first.clone(), entry(2, 2, b'b')]),
        disk(3, &[first, entry(2, 3, b'c')]),
    ];
    assert_fails_without(
        "entry of an earlier term",
        &Setup {
            disks,
            ticks: vec![1, 0, 2],
            crashes: vec![1, 0, 0],
            clock_jumps: vec![1, 0, 0],
            slow_disks: &[1],
            before: SECOND_HAS_ENTRY_THAT_FIRST_LOSES,
            ..Setup::new()
        },
        Rule::CommitOwnTermOnly,
    );
}

#[test]
fn follower_with_another_history_does_not_commit_it() {
    let disks = vec![disk(2, &[entry(1, 2, b'a')]), disk(2, &[entry(1, 1, b'x')]), disk(2, &[])];
    assert_fails_without(
        "another history",
        &Setup { disks, ticks: vec![2, 0, 0], ..Setup::new() },
        Rule::AppendChecksPrevious,
    );
}

#[test]
fn proposals_survive_crashes_duplicates_and_a_second_leader() {
    assert_holds(
        "proposals",
        &Setup {
            proposals: 2,
            duplicates: 1,
            crashes: vec![1, 1, 0],
            clock_jumps: vec![0, 1, 0],
            ..Setup::new()
        },
    );
}

#[test]
fn snapshots_cover_what_is_committed_through_crashes_and_a_second_leader() {
    assert_holds(
        "snapshots",
        &Setup {
            proposals: 1,
            compactions: 2,
            crashes: vec![1, 1, 0],
            clock_jumps: vec![0, 1, 0],
            before: SECOND_ELECTS_FIRST,
            ..Setup::new()
        },
    );
}

/// Guards against a node that is rolled back by a snapshot older than its commits. Node 3 lacks all
/// entries that the leader's snapshot covers, and messages to it may arrive twice and late.
#[test]
fn late_snapshot_does_not_roll_a_node_back() {
    let old = [entry(1, 1, b'a'), entry(2, 1, b'b')];
    let disks = vec![disk(1, &old), disk(1, &old), disk(1, &[])];
    assert_fails_without(
        "late snapshot",
        &Setup {
            disks,
            ticks: vec![2, 0, 0],
            compactions: 1,
            duplicates: 1,
            proposals: 1,
            before: SNAPSHOT_IN_FLIGHT,
            ..Setup::new()
        },
        Rule::InstallChecksCommit,
    );
}

/// Three nodes of which the first one leads, with all messages delivered.
fn cluster_led_by_first() -> (Setup, ClusterState) {
    let setup = Setup { ticks: vec![9, 0, 0], ..Setup::new() };
    let mut cluster = setup.initial().remove(0);
    cluster = setup.take(&cluster, &Step::Tick(1)).unwrap();
    settle(&setup, &mut cluster);
    assert_eq!(cluster.nodes[0].role(), Role::Leader);
    (setup, cluster)
}

fn settle(setup: &Setup, cluster: &mut ClusterState) {
    while let Some((from, to, message)) = cluster.network.first().cloned() {
        if position(to) < cluster.nodes.len() {
            *cluster = setup.take(cluster, &Step::Deliver(from, to, message)).unwrap();
        } else {
            cluster.network.pop_first();
        }
    }
}

fn change(cluster: &mut ClusterState, change: MemberChange) -> Vec<Action> {
    let mut out = Vec::new();
    let now = cluster.clocks[0];
    cluster.nodes[0].handle(now, Event::ChangeMembers { proposal_id: 1, change }, &mut out);
    out
}

#[test]
fn member_changes_go_one_at_a_time_and_learners_must_catch_up() {
    let (_setup, mut cluster) = cluster_led_by_first();
    let added = change(&mut cluster, MemberChange::AddLearner(4));
    assert!(added.iter().any(|action| matches!(action, Action::Proposed { .. })));

    let refused = |refusal| vec![Action::Refused { proposal_id: 1, refusal }];
    let early = change(&mut cluster, MemberChange::Remove(3));
    assert_eq!(early, refused(Refusal::ChangePending));
    assert_eq!(change(&mut cluster, MemberChange::Promote(4)), refused(Refusal::ChangePending));
    let members = cluster.nodes[0].log().members();
    assert!(members.learners.contains(&4) && !members.voters.contains(&4));
    // A learner does not count: two of the three voters are still a quorum.
    assert!(members.is_quorum(|id| id <= 2));
}

#[test]
fn leader_that_is_cut_off_has_no_lease_and_steps_down() {
    let (setup, mut cluster) = cluster_led_by_first();
    cluster = setup.take(&cluster, &Step::Tick(1)).unwrap();
    settle(&setup, &mut cluster);
    let lease = cluster.nodes[0].lease_until().unwrap();
    assert!(lease > cluster.clocks[0] && lease < cluster.clocks[0] + ELECTION);

    // Partitioned: its timer fires, its messages are lost.
    while cluster.nodes[0].role() == Role::Leader {
        assert!(cluster.ticks[0] > 0, "the leader has not stepped down within its ticks");
        cluster.clocks[0] += ELECTION;
        cluster = setup.take(&cluster, &Step::Tick(1)).unwrap();
        cluster.network.clear();
    }
    assert!(cluster.nodes[0].lease_until().is_none());
    assert!(cluster.clocks[0] > lease);
}

#[test]
fn restarted_node_does_not_vote_while_a_lease_may_hold() {
    let (setup, mut cluster) = cluster_led_by_first();
    cluster = setup.take(&cluster, &Step::Tick(1)).unwrap();
    settle(&setup, &mut cluster);
    cluster.crashes[1] = 1;
    cluster = setup.take(&cluster, &Step::Crash(2, false)).unwrap();
    let term = cluster.nodes[1].term();
    let vote = Message::Vote { term: term + 1, last_term: term, last_index: 99 };

    let mut out = Vec::new();
    let now = cluster.clocks[1];
    cluster.nodes[1].handle(now, Event::Message { from: 3, message: vote.clone() }, &mut out);
    assert_eq!(out, [], "before its crash it may have confirmed a lease of the leader");

    let later = now + ELECTION;
    cluster.nodes[1].handle(later, Event::Message { from: 3, message: vote }, &mut out);
    assert!(matches!(out.last(), Some(Action::Persist(persist)) if persist.vote == Some(3)));
}

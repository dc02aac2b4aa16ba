//! The agreement explored: every order of messages, losses, duplicates, crashes and timeouts
//! within the bounds of each scene, over the real state machine.
//!
//! docs/SPEC.md names the invariants. Each rule of the node is switched off once, and the
//! explorer must then find a fault, so that it is known to bite.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use vaneway_agreement::Action;
use vaneway_agreement::Config;
use vaneway_agreement::Durable;
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
use vaneway_agreement::Term;
use vaneway_test_support::explorer::Explored;
use vaneway_test_support::explorer::Model;
use vaneway_test_support::explorer::Taken;
use vaneway_test_support::explorer::explore;

const ELECTION: Duration = Duration::from_millis(100);

/// A step of a scene before exploring begins.
#[derive(Debug, Clone, Copy)]
enum LeadIn {
    /// A node's timer fires.
    Tick(NodeId),
    /// Everything on the way from one node to another arrives.
    Deliver(NodeId, NodeId),
    /// Everything that a node asked for becomes durable.
    Persist(NodeId),
    /// A node comes back without what was not durable.
    Crash(NodeId),
}

/// Node 1 asks node 2 for its vote, and the request is on its way.
const FIRST_ASKS_SECOND: &[LeadIn] =
    &[LeadIn::Tick(1), LeadIn::Deliver(1, 2), LeadIn::Deliver(2, 1), LeadIn::Persist(1)];

/// Node 1 is elected by node 2, which takes its first entry; node 1 crashes before it has that
/// entry itself.
const SECOND_HAS_WHAT_FIRST_LOSES: &[LeadIn] = &[
    LeadIn::Tick(1),
    LeadIn::Deliver(1, 2),
    LeadIn::Deliver(2, 1),
    LeadIn::Persist(1),
    LeadIn::Deliver(1, 2),
    LeadIn::Deliver(2, 1),
    LeadIn::Deliver(1, 2),
    LeadIn::Deliver(2, 1),
    LeadIn::Crash(1),
];

/// Node 1 is elected by node 2.
const SECOND_ELECTS_FIRST: &[LeadIn] = &[
    LeadIn::Tick(1),
    LeadIn::Deliver(1, 2),
    LeadIn::Deliver(2, 1),
    LeadIn::Persist(1),
    LeadIn::Deliver(1, 2),
    LeadIn::Deliver(2, 1),
];

/// A scene: who has what on disk, which rules hold, and how much may happen.
#[derive(Debug, Clone)]
struct Scene {
    without: Option<Rule>,
    disks: Vec<Durable>,
    /// How often each node's timer may fire.
    ticks: Vec<u8>,
    /// How often each node's clock may jump without its timer firing.
    passes: Vec<u8>,
    /// How often each node may crash and come back.
    crashes: Vec<u8>,
    proposals: u8,
    duplicates: u8,
    /// Nodes whose disks take their time; at the others everything is durable at once.
    slow_disks: &'static [NodeId],
    /// What has happened before exploring begins.
    lead_in: &'static [LeadIn],
    base: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    clocks: Vec<Instant>,
    disks: Vec<Durable>,
    pending: Vec<VecDeque<Persist>>,
    network: BTreeSet<(NodeId, NodeId, Message)>,
    leaders: BTreeMap<Term, NodeId>,
    /// Committed entries, each with the term in which that was first seen.
    committed: Vec<(Term, Entry)>,
    ticks: Vec<u8>,
    passes: Vec<u8>,
    crashes: Vec<u8>,
    proposals: u8,
    duplicates: u8,
}

#[derive(Debug, Clone)]
enum Step {
    Deliver(NodeId, NodeId, Message),
    DeliverCopy(NodeId, NodeId, Message),
    Persist(NodeId),
    Tick(NodeId),
    Pass(NodeId),
    Propose(NodeId),
    /// Crash and restart; `true` if what was not synced survived.
    Crash(NodeId, bool),
}

fn position(id: NodeId) -> usize {
    id as usize - 1
}

fn entry(index: u64, term: Term, name: u8) -> Entry {
    Entry { term, index, payload: Payload::Command(vec![name]) }
}

fn disk(term: Term, entries: &[Entry]) -> Durable {
    Durable { term, entries: entries.to_vec(), ..Durable::empty(Members::of([1, 2, 3])) }
}

impl Scene {
    /// Three empty nodes, of which the first and the third may seek to lead.
    fn new() -> Self {
        Self {
            without: None,
            disks: vec![disk(0, &[]); 3],
            ticks: vec![1, 0, 1],
            passes: vec![0, 0, 0],
            crashes: vec![0, 0, 0],
            proposals: 0,
            duplicates: 0,
            slow_disks: &[],
            lead_in: &[],
            base: Instant::now(),
        }
    }

    fn node(&self, id: NodeId, disk: &Durable, now: Instant) -> Node {
        let config = Config {
            id,
            heartbeat: ELECTION / 4,
            election: ELECTION,
            drift_per_mille: 10,
            seed: id,
        };
        Node::start(config, disk.clone(), now).without(self.without)
    }

    /// Applies an event and checks what comes of it.
    fn apply(&self, world: &mut World, id: NodeId, event: Event) -> Result<(), String> {
        let mut out = Vec::new();
        let now = world.clocks[position(id)];
        world.nodes[position(id)].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    world.network.insert((id, to, message));
                }
                Action::Persist(persist) => world.pending[position(id)].push_back(persist),
                Action::Commit { entries } => committed(world, id, &entries)?,
                Action::RoleChanged { role: Role::Leader, term } => leads(world, id, term)?,
                Action::RoleChanged { .. } | Action::Proposed { .. } | Action::Refused { .. } => {}
            }
        }
        if !self.slow_disks.contains(&id) {
            while !world.pending[position(id)].is_empty() {
                self.persist(world, id)?;
            }
        }
        Ok(())
    }

    fn persist(&self, world: &mut World, id: NodeId) -> Result<(), String> {
        let Some(persist) = world.pending[position(id)].pop_front() else { return Ok(()) };
        world.disks[position(id)].apply(&persist);
        self.apply(world, id, Event::Persisted { number: persist.number })
    }

    fn take(&self, world: &World, step: &Step) -> Result<World, String> {
        let mut world = world.clone();
        match step {
            Step::Deliver(from, to, message) => {
                world.network.remove(&(*from, *to, message.clone()));
                let event = Event::Message { from: *from, message: message.clone() };
                self.apply(&mut world, *to, event)?;
            }
            Step::DeliverCopy(from, to, message) => {
                world.duplicates -= 1;
                let event = Event::Message { from: *from, message: message.clone() };
                self.apply(&mut world, *to, event)?;
            }
            Step::Persist(id) => self.persist(&mut world, *id)?,
            Step::Tick(id) => {
                world.ticks[position(*id)] -= 1;
                let deadline = world.nodes[position(*id)].next_deadline();
                let clock = &mut world.clocks[position(*id)];
                *clock = deadline.max(*clock);
                self.apply(&mut world, *id, Event::Tick)?;
            }
            Step::Pass(id) => {
                world.passes[position(*id)] -= 1;
                world.clocks[position(*id)] += 2 * ELECTION;
            }
            Step::Propose(id) => {
                world.proposals -= 1;
                let command = vec![b'p', world.proposals];
                self.apply(&mut world, *id, Event::Propose { ticket: 0, command })?;
            }
            Step::Crash(id, synced) => {
                let i = position(*id);
                world.crashes[i] -= 1;
                let pending = std::mem::take(&mut world.pending[i]);
                if *synced {
                    for persist in &pending {
                        world.disks[i].apply(persist);
                    }
                }
                world.nodes[i] = self.node(*id, &world.disks[i], world.clocks[i]);
            }
        }
        Ok(world)
    }

    fn lead(&self, mut world: World, lead_in: LeadIn) -> Result<World, String> {
        match lead_in {
            LeadIn::Tick(id) => world = self.take(&world, &Step::Tick(id))?,
            LeadIn::Crash(id) => world = self.take(&world, &Step::Crash(id, false))?,
            LeadIn::Persist(id) => {
                while !world.pending[position(id)].is_empty() {
                    self.persist(&mut world, id)?;
                }
            }
            LeadIn::Deliver(from, to) => {
                let on_the_way: Vec<_> = world
                    .network
                    .iter()
                    .filter(|(f, t, _)| (*f, *t) == (from, to))
                    .map(|(_, _, message)| message.clone())
                    .collect();
                for message in on_the_way {
                    world = self.take(&world, &Step::Deliver(from, to, message))?;
                }
            }
        }
        Ok(world)
    }

    fn steps(world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        for (from, to, message) in &world.network {
            steps.push(Step::Deliver(*from, *to, message.clone()));
            if world.duplicates > 0 {
                steps.push(Step::DeliverCopy(*from, *to, message.clone()));
            }
        }
        for (i, node) in world.nodes.iter().enumerate() {
            let id = node.id();
            if !world.pending[i].is_empty() {
                steps.push(Step::Persist(id));
            }
            if world.ticks[i] > 0 {
                steps.push(Step::Tick(id));
            }
            if world.passes[i] > 0 {
                steps.push(Step::Pass(id));
            }
            if world.proposals > 0 && node.role() == Role::Leader {
                steps.push(Step::Propose(id));
            }
            if world.crashes[i] > 0 {
                steps.push(Step::Crash(id, false));
                if !world.pending[i].is_empty() {
                    steps.push(Step::Crash(id, true));
                }
            }
        }
        steps
    }
}

/// An entry that is committed anywhere is the same everywhere.
fn committed(world: &mut World, id: NodeId, entries: &[Entry]) -> Result<(), String> {
    let term = world.nodes[position(id)].term();
    for entry in entries {
        match world.committed.get(entry.index as usize - 1) {
            Some((_, known)) if known == entry => {}
            Some((_, known)) => {
                return Err(format!("node {id} commits {entry:?}, before {known:?}"));
            }
            None => world.committed.push((term, entry.clone())),
        }
    }
    Ok(())
}

/// A term has one leader, and a leader has every entry that was committed in an earlier term.
fn leads(world: &mut World, id: NodeId, term: Term) -> Result<(), String> {
    let first = *world.leaders.entry(term).or_insert(id);
    if first != id {
        return Err(format!("nodes {first} and {id} both lead term {term}"));
    }
    let log = world.nodes[position(id)].log();
    for (committed_in, entry) in &world.committed {
        let has = log.from(entry.index, 1).first() == Some(entry);
        if *committed_in < term && !has {
            return Err(format!("node {id} leads term {term} without committed {entry:?}"));
        }
    }
    Ok(())
}

impl Model for Scene {
    type State = World;
    type Step = Step;

    fn initial(&self) -> Vec<World> {
        let nodes: Vec<_> = self
            .disks
            .iter()
            .enumerate()
            .map(|(i, disk)| self.node(i as NodeId + 1, disk, self.base))
            .collect();
        let count = nodes.len();
        let mut world = World {
            // The nodes started long enough ago to vote.
            clocks: vec![self.base + 2 * ELECTION; count],
            disks: self.disks.clone(),
            pending: vec![VecDeque::new(); count],
            network: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: Vec::new(),
            ticks: self.ticks.clone(),
            passes: self.passes.clone(),
            crashes: self.crashes.clone(),
            proposals: self.proposals,
            duplicates: self.duplicates,
            nodes,
        };
        for lead_in in self.lead_in {
            world = self.lead(world, *lead_in).expect("a lead-in breaks nothing");
        }
        vec![world]
    }

    fn next(&self, state: &World) -> Vec<Taken<Self>> {
        let steps = Self::steps(state).into_iter();
        steps.map(|step| (step.clone(), self.take(state, &step))).collect()
    }
}

/// States that one scene may take, which keeps the suite short.
const STATES_MOST: usize = 30_000;

/// Set to explore more states of each scene.
const STATES_VARIABLE: &str = "VANEWAY_STATES";

fn states_most() -> usize {
    let more = std::env::var(STATES_VARIABLE).ok().and_then(|states| states.parse().ok());
    more.unwrap_or(STATES_MOST)
}

fn report(name: &str, explored: &Explored) {
    println!(
        "scene {name}: {} states, depth {}, complete {}",
        explored.states, explored.depth, explored.complete
    );
}

fn holds(name: &str, scene: &Scene) {
    let explored = explore(scene, states_most());
    report(name, &explored);
    if let Some(fault) = explored.fault {
        panic!("{name}: {fault}");
    }
    assert!(explored.states > 100, "the scene goes somewhere");
}

/// Explores a scene with all rules, which must hold, and with one rule off, which must not.
fn bites(name: &str, scene: &Scene, rule: Rule) {
    holds(name, scene);
    let broken = explore(
        &Scene { without: Some(rule), ..scene.clone() },
        4 * STATES_MOST.max(states_most()),
    );
    report(&format!("{name}, rule off"), &broken);
    assert!(broken.fault.is_some(), "{name}: the explorer does not see that the rule is off");
}

#[test]
fn two_candidates_race() {
    bites("two candidates", &Scene { duplicates: 1, ..Scene::new() }, Rule::OneVoteATerm);
}

#[test]
fn voter_forgets_an_unsynced_vote() {
    bites(
        "unsynced vote",
        &Scene {
            crashes: vec![0, 1, 0],
            passes: vec![0, 1, 0],
            slow_disks: &[2],
            lead_in: FIRST_ASKS_SECOND,
            ..Scene::new()
        },
        Rule::PersistBeforeReply,
    );
}

#[test]
fn candidate_that_lacks_a_committed_entry_is_not_elected() {
    bites(
        "lagging candidate",
        &Scene { passes: vec![0, 1, 0], lead_in: SECOND_ELECTS_FIRST, ..Scene::new() },
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
    bites(
        "entry of an earlier term",
        &Scene {
            disks,
            ticks: vec![1, 0, 2],
            crashes: vec![1, 0, 0],
            passes: vec![1, 0, 0],
            slow_disks: &[1],
            lead_in: SECOND_HAS_WHAT_FIRST_LOSES,
            ..Scene::new()
        },
        Rule::CommitOwnTermOnly,
    );
}

#[test]
fn follower_with_another_history_does_not_commit_it() {
    let disks = vec![disk(2, &[entry(1, 2, b'a')]), disk(2, &[entry(1, 1, b'x')]), disk(2, &[])];
    bites(
        "another history",
        &Scene { disks, ticks: vec![2, 0, 0], ..Scene::new() },
        Rule::AppendChecksPrevious,
    );
}

#[test]
fn proposals_survive_crashes_duplicates_and_a_second_leader() {
    holds(
        "proposals",
        &Scene {
            proposals: 2,
            duplicates: 1,
            crashes: vec![1, 1, 0],
            passes: vec![0, 1, 0],
            ..Scene::new()
        },
    );
}

/// Three nodes and a leader, with everything delivered at once.
fn led_by_the_first() -> (Scene, World) {
    let scene = Scene { ticks: vec![9, 0, 0], ..Scene::new() };
    let mut world = scene.initial().remove(0);
    world = scene.take(&world, &Step::Tick(1)).unwrap();
    settle(&scene, &mut world);
    assert_eq!(world.nodes[0].role(), Role::Leader);
    (scene, world)
}

fn settle(scene: &Scene, world: &mut World) {
    while let Some((from, to, message)) = world.network.first().cloned() {
        if position(to) < world.nodes.len() {
            *world = scene.take(world, &Step::Deliver(from, to, message)).unwrap();
        } else {
            world.network.pop_first();
        }
    }
}

fn change(world: &mut World, change: MemberChange) -> Vec<Action> {
    let mut out = Vec::new();
    let now = world.clocks[0];
    world.nodes[0].handle(now, Event::Change { ticket: 1, change }, &mut out);
    out
}

#[test]
fn member_changes_go_one_at_a_time_and_learners_must_catch_up() {
    let (_scene, mut world) = led_by_the_first();
    let added = change(&mut world, MemberChange::AddLearner(4));
    assert!(added.iter().any(|action| matches!(action, Action::Proposed { .. })));

    let refused = |refusal| vec![Action::Refused { ticket: 1, refusal }];
    let early = change(&mut world, MemberChange::Remove(3));
    assert_eq!(early, refused(Refusal::ChangePending));
    assert_eq!(change(&mut world, MemberChange::Promote(4)), refused(Refusal::ChangePending));
    let members = world.nodes[0].log().members();
    assert!(members.learners.contains(&4) && !members.voters.contains(&4));
    // A learner does not count: two of the three voters are still a quorum.
    assert!(members.is_quorum(|id| id <= 2));
}

#[test]
fn leader_that_is_cut_off_has_no_lease_and_steps_down() {
    let (scene, mut world) = led_by_the_first();
    world = scene.take(&world, &Step::Tick(1)).unwrap();
    settle(&scene, &mut world);
    let lease = world.nodes[0].lease_until().unwrap();
    assert!(lease > world.clocks[0] && lease < world.clocks[0] + ELECTION);

    // Cut off: its timer fires, its messages are lost.
    while world.nodes[0].role() == Role::Leader {
        assert!(world.ticks[0] > 0, "it steps down before its ticks are used up");
        world.clocks[0] += ELECTION;
        world = scene.take(&world, &Step::Tick(1)).unwrap();
        world.network.clear();
    }
    assert!(world.nodes[0].lease_until().is_none());
    assert!(world.clocks[0] > lease);
}

#[test]
fn restarted_node_does_not_vote_while_a_lease_may_hold() {
    let (scene, mut world) = led_by_the_first();
    world = scene.take(&world, &Step::Tick(1)).unwrap();
    settle(&scene, &mut world);
    world.crashes[1] = 1;
    world = scene.take(&world, &Step::Crash(2, false)).unwrap();
    let term = world.nodes[1].term();
    let vote = Message::Vote { term: term + 1, last_term: term, last_index: 99 };

    let mut out = Vec::new();
    let now = world.clocks[1];
    world.nodes[1].handle(now, Event::Message { from: 3, message: vote.clone() }, &mut out);
    assert_eq!(out, [], "it may have answered the leader's heartbeat just before");

    let later = now + ELECTION;
    world.nodes[1].handle(later, Event::Message { from: 3, message: vote }, &mut out);
    assert!(matches!(out.last(), Some(Action::Persist(persist)) if persist.vote == Some(3)));
}

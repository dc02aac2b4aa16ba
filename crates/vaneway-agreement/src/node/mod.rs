//! One Raft node: its roles and their rules.
//!
//! Overview: [`Node::handle`] takes an event. A follower that receives nothing from a leader
//! requests pre-votes; with a quorum of them it starts a new term and requests votes; with a quorum
//! of votes it becomes the leader, appends an entry of its own term, and sends every member the
//! entries that it lacks. An entry is committed once it is durable at a quorum and is of the
//! leader's own term or precedes such an entry.
//!
//! Durability: what a node promises (a vote, an accepted entry) is sent only after
//! [`Event::Persisted`] has covered it, and a leader counts its own copy of an entry only from then
//! on.
//!
//! Lease: a member that receives a heartbeat votes for no other candidate within
//! [`Config::election_timeout`] of receiving it. So once a quorum has answered a heartbeat, there
//! can be no other leader until that long after it was sent, less the clock drift.
//!
//! - [`election`]: pre-votes and votes;
//! - [`leader`]: what a leader sends, commits and proposes, and its lease;
//! - [`follower`]: entries and snapshots that a leader sends, and what is committed;
//! - [`persistence`]: what must be durable before a message is sent.

mod election;
mod follower;
mod leader;
mod persistence;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::Action;
use crate::Config;
use crate::DurableState;
use crate::Event;
use crate::Index;
use crate::Log;
use crate::Message;
use crate::NodeId;
use crate::Payload;
use crate::Role;
use crate::Rule;
use crate::Snapshot;
use crate::Term;

/// Interval after which an unacknowledged snapshot is sent again.
const SNAPSHOT_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// What a leader knows of another member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Progress {
    next: Index,
    matched: Index,
    /// When the latest heartbeat that was answered was sent.
    last_acked_sent: Option<Instant>,
    /// When the leader first sent anything to this member.
    first_sent: Instant,
    /// When a snapshot was last sent.
    snapshot_sent: Option<Instant>,
}

impl Progress {
    /// Whether the member needs a snapshot, which covers the entries up to `base`, and one was sent
    /// so recently that it may still arrive.
    fn awaits_snapshot(&self, now: Instant, base: Index) -> bool {
        self.next <= base
            && self.snapshot_sent.is_some_and(|at| now < at + SNAPSHOT_RESEND_INTERVAL)
    }
}

/// A message that is held back until something is durable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DeferredMessage {
    number: u64,
    to: NodeId,
    message: Message,
}

/// A member of the Raft group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Node {
    config: Config,
    /// Rule that a test disabled; always none in production.
    disabled_rule: Option<Rule>,
    log: Log,
    /// The latest snapshot, which covers the entries that the log no longer has.
    snapshot: Option<Snapshot>,
    term: Term,
    vote: Option<NodeId>,
    role: Role,
    leader: Option<NodeId>,
    /// When a message of a leader last arrived. Initially the node's start, since it may have
    /// answered a leader just before.
    last_leader_contact: Instant,
    deadline: Instant,
    votes_received: BTreeSet<NodeId>,
    progress: BTreeMap<NodeId, Progress>,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    commit: Index,
    persist_number: u64,
    persisted_number: u64,
    /// Index up to which this node's own entries are durable.
    durable: Index,
    /// Number of each pending [`Persist`](crate::Persist), and the index up to which it makes
    /// entries durable.
    pending_persists: VecDeque<(u64, Index)>,
    deferred: VecDeque<DeferredMessage>,
    jitter_seed: u64,
}

impl Node {
    /// A node that starts at `now` with this persistent state.
    pub fn start(config: Config, durable: DurableState, now: Instant) -> Self {
        let log = durable.log();
        let DurableState { term, vote, snapshot, .. } = durable;
        let durable = log.last_index();
        let commit = log.base_index();
        let mut node = Self {
            disabled_rule: None,
            jitter_seed: config.seed,
            config,
            log,
            term,
            vote,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            deadline: now,
            votes_received: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            commit,
            snapshot,
            persist_number: 0,
            persisted_number: 0,
            durable,
            pending_persists: VecDeque::new(),
            deferred: VecDeque::new(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// Disables a rule, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_rule_disabled(mut self, rule: Option<Rule>) -> Self {
        self.disabled_rule = rule;
        self
    }

    fn enforces(&self, rule: Rule) -> bool {
        self.disabled_rule != Some(rule)
    }

    /// The node's id.
    pub fn id(&self) -> NodeId {
        self.config.id
    }

    /// The latest snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The node's current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The node's current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The commit index.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// The node's log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// When the node expects the next [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        self.deadline
    }

    /// Handles an event and appends the actions to carry out to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if now >= self.deadline => self.tick(now, out),
            Event::Tick => {}
            Event::Message { from, message } => self.handle_message(now, from, message, out),
            Event::Persisted { number } => self.handle_persisted(now, number, out),
            Event::Propose { proposal_id, command } => {
                self.propose(now, proposal_id, Payload::Command(command), out);
            }
            Event::Compact { index, data } => self.compact(index, data, out),
            Event::ChangeMembers { proposal_id, change } => match self.members_after(change) {
                Ok(members) => self.propose(now, proposal_id, Payload::Members(members), out),
                Err(refusal) => out.push(Action::Refused { proposal_id, refusal }),
            },
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.role == Role::Leader {
            let members = self.log.members();
            let since = now.checked_sub(self.config.election_timeout * 2);
            if members.is_quorum(|id| self.is_responsive(id, since)) {
                self.heartbeat(now, out);
            } else {
                self.become_follower(now, self.term, None, out);
            }
            return;
        }
        self.reset_election_deadline(now);
        if self.log.members().voters.contains(&self.config.id) {
            self.request_pre_votes(now, out);
        }
    }

    fn set_role(&mut self, role: Role, out: &mut Vec<Action>) {
        self.role = role;
        out.push(Action::RoleChanged { role, term: self.term });
    }

    fn become_follower(
        &mut self,
        now: Instant,
        term: Term,
        leader: Option<NodeId>,
        out: &mut Vec<Action>,
    ) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.persist(Vec::new(), out);
        }
        self.leader = leader;
        if self.role != Role::Follower {
            self.set_role(Role::Follower, out);
            self.reset_election_deadline(now);
        }
    }

    fn handle_message(
        &mut self,
        now: Instant,
        from: NodeId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::PreVote { term, last_term, last_index } => {
                let granted = term > self.term
                    && !self.has_recent_leader(now)
                    && self.is_candidate_up_to_date(last_term, last_index);
                let term = if granted { term } else { self.term };
                let message = Message::PreVoteReply { term, granted };
                out.push(Action::Send { to: from, message });
            }
            Message::PreVoteReply { term, granted } => {
                if granted && self.role == Role::PreCandidate && term == self.term + 1 {
                    self.votes_received.insert(from);
                    self.count_votes(now, out);
                } else if term > self.term {
                    self.become_follower(now, term, None, out);
                }
            }
            Message::Vote { term, last_term, last_index } => {
                self.handle_vote_request(now, from, term, (last_term, last_index), out);
            }
            Message::VoteReply { term, granted } => {
                if term > self.term {
                    self.become_follower(now, term, None, out);
                } else if granted && term == self.term && self.role == Role::Candidate {
                    self.votes_received.insert(from);
                    self.count_votes(now, out);
                }
            }
            Message::Append(append) => self.handle_append(now, from, append, out),
            Message::AppendReply(reply) => self.handle_append_reply(now, from, reply, out),
            Message::Install(install) => self.handle_install(now, from, install, out),
        }
    }
}

//! What happens to a node, what it does about it, and what it keeps on its disk.

use std::time::Duration;

use crate::Entry;
use crate::Index;
use crate::Log;
use crate::Members;
use crate::Message;
use crate::NodeId;
use crate::ProposalId;
use crate::Snapshot;
use crate::Term;

/// How a node behaves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// The node's id.
    pub id: NodeId,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest silence of a leader before another is sought; the longest is twice that.
    pub election_timeout: Duration,
    /// Largest difference in speed between two clocks, in parts of a thousand.
    pub max_drift_per_mille: u32,
    /// Seed of the timeouts' jitter.
    pub seed: u64,
}

/// Rules that tests switch off, one at a time, to see that the explorer then finds a fault.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    VoteChecksLog,
    OneVotePerTerm,
    CommitOwnTermOnly,
    PersistBeforeReply,
    AppendChecksPrevious,
    /// A snapshot that is older than what is committed is not taken.
    InstallChecksCommit,
}

/// What a node has on its disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DurableState {
    /// The highest term it knows of.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<NodeId>,
    /// What stands for the entries before the first of `entries`, if anything does.
    pub snapshot: Option<Snapshot>,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Who counts until an entry names others.
    pub first_members: Members,
}

impl DurableState {
    /// The disk of a node that never ran.
    pub fn empty(first_members: Members) -> Self {
        Self { term: 0, vote: None, snapshot: None, entries: Vec::new(), first_members }
    }

    /// Applies what a node asked to be made durable.
    pub fn apply(&mut self, persist: &Persist) {
        self.term = persist.term;
        self.vote = persist.vote;
        if let Some(snapshot) = &persist.snapshot {
            let mut log = self.log();
            log.install(snapshot);
            self.entries = log.entries().to_vec();
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(first) = persist.entries.first() {
            let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            self.entries.truncate((first.index - base) as usize - 1);
            self.entries.extend_from_slice(&persist.entries);
        }
    }

    /// The entries as a log.
    pub fn log(&self) -> Log {
        match &self.snapshot {
            Some(snapshot) => Log::after_snapshot(snapshot, self.entries.clone()),
            None => Log::new(self.first_members.clone(), self.entries.clone()),
        }
    }
}

/// What must become durable, in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Persist {
    /// Number to give back with [`Event::Persisted`].
    pub number: u64,
    /// The node's term.
    pub term: Term,
    /// Its vote in that term.
    pub vote: Option<NodeId>,
    /// What takes the place of the entries up to its position; those behind it stay if they follow
    /// from it.
    pub snapshot: Option<Snapshot>,
    /// Entries that replace everything from the first one's position on.
    pub entries: Vec<Entry>,
}

/// A change of who takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberChange {
    /// Lets a node receive the log.
    AddLearner(NodeId),
    /// Lets a learner that has caught up vote.
    Promote(NodeId),
    /// Takes a member out.
    Remove(NodeId),
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// [`crate::Node::next_deadline`] has come.
    Tick,
    /// A message arrived.
    Message {
        /// Who sent it.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Everything up to the [`Persist`] with this number is durable.
    Persisted {
        /// The number.
        number: u64,
    },
    /// The owner wants a command in the log.
    Propose {
        /// Names the proposal.
        proposal_id: ProposalId,
        /// The command.
        command: Vec<u8>,
    },
    /// The owner's state after the entries up to `index`, which are committed, is `data`: the
    /// entries are needed no longer.
    Compact {
        /// The position.
        index: Index,
        /// The owner's state.
        data: Vec<u8>,
    },
    /// The owner wants a change of the members.
    ChangeMembers {
        /// Names the proposal.
        proposal_id: ProposalId,
        /// The change.
        change: MemberChange,
    },
}

/// Why a proposal was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Another node leads, or none does.
    NotLeader {
        /// Who leads, if known.
        leader: Option<NodeId>,
    },
    /// An earlier change of the members is not committed yet, or the leader's term is too young.
    ChangePending,
    /// The learner has not caught up.
    NotCaughtUp,
    /// The change would do nothing, or leave no voter.
    Pointless,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// To whom.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Make something durable, then report it with [`Event::Persisted`].
    Persist(Persist),
    /// The proposal is in the leader's log; it is done once it is committed at this place.
    Proposed {
        /// The proposal.
        proposal_id: ProposalId,
        /// Its term.
        term: Term,
        /// Its position.
        index: Index,
    },
    /// The proposal was not taken and is in no log.
    Refused {
        /// The proposal.
        proposal_id: ProposalId,
        /// Why.
        refusal: Refusal,
    },
    /// These entries are committed, in order.
    Commit {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// The owner's state is that of this snapshot; commits go on behind it.
    Restore {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// The node's role changed.
    RoleChanged {
        /// Its role now.
        role: Role,
        /// Its term.
        term: Term,
    },
}

/// A node's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

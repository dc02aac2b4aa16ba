//! Events and actions of a node, and its persistent state.

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

/// Configuration of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// The node's id.
    pub id: NodeId,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout: a follower that receives nothing from a leader for this long
    /// starts a pre-vote. The maximum is twice as long.
    pub election_timeout: Duration,
    /// Maximum difference in rate between two clocks, in parts per thousand.
    pub max_drift_per_mille: u32,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Safety rules that tests disable, one at a time, to check that the explorer then finds a
/// violation.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    VoteChecksLog,
    OneVotePerTerm,
    CommitOwnTermOnly,
    PersistBeforeReply,
    AppendChecksPrevious,
    /// Rejects a snapshot that is older than the commit index.
    InstallChecksCommit,
}

/// The persistent state of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DurableState {
    /// The latest term that the node has seen.
    pub term: Term,
    /// The candidate that it voted for in that term.
    pub vote: Option<NodeId>,
    /// Snapshot that covers the entries before the first of `entries`, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The members until an entry defines others.
    pub first_members: Members,
}

impl DurableState {
    /// The state of a node that never ran.
    pub fn empty(first_members: Members) -> Self {
        Self { term: 0, vote: None, snapshot: None, entries: Vec::new(), first_members }
    }

    /// Applies a write that the node requested.
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

    /// The entries, as a log.
    pub fn log(&self) -> Log {
        match &self.snapshot {
            Some(snapshot) => Log::after_snapshot(snapshot, self.entries.clone()),
            None => Log::new(self.first_members.clone(), self.entries.clone()),
        }
    }
}

/// A request to write persistent state. Requests must be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Persist {
    /// Number to pass to [`Event::Persisted`].
    pub number: u64,
    /// The node's term.
    pub term: Term,
    /// Its vote in that term.
    pub vote: Option<NodeId>,
    /// Snapshot that replaces the entries up to its index. The entries after it are kept if they
    /// continue it.
    pub snapshot: Option<Snapshot>,
    /// Entries that replace all entries from the index of the first one on.
    pub entries: Vec<Entry>,
}

/// A membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberChange {
    /// Adds a node that receives the log but does not vote.
    AddLearner(NodeId),
    /// Makes a learner that has caught up a voter.
    Promote(NodeId),
    /// Removes a voter or learner.
    Remove(NodeId),
}

/// An input to [`crate::Node::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The time [`crate::Node::next_deadline`] has been reached.
    Tick,
    /// A message arrived.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Everything up to and including the [`Persist`] with this number is durable.
    Persisted {
        /// Number of the [`Persist`].
        number: u64,
    },
    /// The owner proposes a command.
    Propose {
        /// Id of the proposal.
        proposal_id: ProposalId,
        /// The command.
        command: Vec<u8>,
    },
    /// The owner's state after applying the committed entries up to `index` is `data`, so these
    /// entries are no longer needed.
    Compact {
        /// Index of the last entry applied.
        index: Index,
        /// The owner's state, serialised.
        data: Vec<u8>,
    },
    /// The owner proposes a membership change.
    ChangeMembers {
        /// Id of the proposal.
        proposal_id: ProposalId,
        /// The change.
        change: MemberChange,
    },
}

/// Why a proposal was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// This node is not the leader.
    NotLeader {
        /// The current leader, if known.
        leader: Option<NodeId>,
    },
    /// An earlier membership change is not committed yet, or no entry of the leader's term is.
    ChangePending,
    /// The learner to be promoted has not caught up.
    NotCaughtUp,
    /// The change would have no effect, or leave no voters.
    Pointless,
}

/// An output of [`crate::Node::handle`], to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Make this durable, then report it with [`Event::Persisted`].
    Persist(Persist),
    /// The proposal was appended to the leader's log. It has succeeded once an entry of this term
    /// is committed at this index.
    Proposed {
        /// Id of the proposal.
        proposal_id: ProposalId,
        /// Term of the entry.
        term: Term,
        /// Index of the entry.
        index: Index,
    },
    /// The proposal was rejected and is in no log.
    Refused {
        /// Id of the proposal.
        proposal_id: ProposalId,
        /// The reason.
        refusal: Refusal,
    },
    /// These entries are committed, in log order.
    Commit {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Replace the owner's state with this snapshot; the next commits continue from it.
    Restore {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// The node's role changed.
    RoleChanged {
        /// The new role.
        role: Role,
        /// The current term.
        term: Term,
    },
}

/// Role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes: checks whether it could be elected, without raising the term.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the others.
    Leader,
}

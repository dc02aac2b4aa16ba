//! Messages between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use crate::Index;
use crate::Snapshot;
use crate::Term;

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in `term`. Does not change the
    /// receiver's state.
    PreVote {
        /// The term in which the sender would be a candidate.
        term: Term,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Index of the sender's last entry.
        last_index: Index,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if granted, else the receiver's term.
        term: Term,
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Requests a vote in `term`.
    Vote {
        /// The sender's term.
        term: Term,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Index of the sender's last entry.
        last_index: Index,
    },
    /// Answer to [`Message::Vote`]; sent only once the vote is durable.
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether the receiver votes for the sender.
        granted: bool,
    },
    /// Entries to append; also a heartbeat.
    Append(Append),
    /// Answer to [`Message::Append`] and [`Message::Install`]; sent only once the accepted entries
    /// or snapshot are durable.
    AppendReply(AppendReply),
    /// A snapshot for a member that needs entries which the leader no longer has; also a heartbeat.
    Install(Install),
}

/// A leader's snapshot for a member that lags behind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Install {
    /// The leader's term.
    pub term: Term,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Number of the leader's heartbeat round, for its lease.
    pub round: u64,
}

/// A leader's entries, which also serve as its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Append {
    /// The leader's term.
    pub term: Term,
    /// Index of the entry before the first of `entries`.
    pub prev_index: Index,
    /// Term of that entry.
    pub prev_term: Term,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// Number of the leader's heartbeat round, for its lease.
    pub round: u64,
}

/// Result of an [`Append`] or [`Install`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AppendReply {
    /// The receiver's term.
    pub term: Term,
    /// Index up to which the receiver's log matches the leader's; none if the message was rejected.
    pub matched: Option<Index>,
    /// Index of the receiver's last entry, from which a leader whose message was rejected
    /// continues.
    pub last_index: Index,
    /// The heartbeat round that is answered.
    pub round: u64,
}

impl Message {
    /// The term in the message.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. } => *term,
            Self::Append(append) => append.term,
            Self::AppendReply(reply) => reply.term,
            Self::Install(install) => install.term,
        }
    }
}

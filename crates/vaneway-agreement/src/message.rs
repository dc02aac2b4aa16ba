//! What nodes send each other.

use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use crate::Index;
use crate::Snapshot;
use crate::Term;

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in `term`? Changes nothing at the receiver.
    PreVote {
        /// The term that the sender would begin.
        term: Term,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Position of the sender's last entry.
        last_index: Index,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// The term asked for, or the receiver's if that is higher.
        term: Term,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me in `term`.
    Vote {
        /// The sender's term.
        term: Term,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Position of the sender's last entry.
        last_index: Index,
    },
    /// Answer to [`Message::Vote`]; sent once the vote is durable.
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether it does.
        granted: bool,
    },
    /// Entries, and a heartbeat.
    Append(Append),
    /// Answer to [`Message::Append`] and [`Message::Install`]; sent once what it answers for is
    /// durable.
    AppendReply(AppendReply),
    /// A snapshot for a member that lacks entries which the leader no longer has, and a heartbeat.
    Install(Install),
}

/// A leader's snapshot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Install {
    /// The leader's term.
    pub term: Term,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Number of the leader's heartbeat, for its lease.
    pub round: u64,
}

/// A leader's entries, and its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Append {
    /// The leader's term.
    pub term: Term,
    /// Position of the entry before the first of `entries`.
    pub prev_index: Index,
    /// Its term.
    pub prev_term: Term,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Position up to which entries are committed.
    pub commit: Index,
    /// Number of the leader's heartbeat, for its lease.
    pub round: u64,
}

/// What became of an [`Append`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AppendReply {
    /// The receiver's term.
    pub term: Term,
    /// Position up to which the receiver's log is the leader's, if it accepted.
    pub matched: Option<Index>,
    /// Position of the receiver's last entry, for a leader that must go back.
    pub last_index: Index,
    /// The heartbeat answered.
    pub round: u64,
}

impl Message {
    /// The term that the message speaks for.
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

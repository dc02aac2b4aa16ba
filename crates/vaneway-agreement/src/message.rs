//! What nodes send each other.

use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use crate::Index;
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
    Append {
        /// The leader's term.
        term: Term,
        /// Position of the entry before the first of `entries`.
        prev_index: Index,
        /// Its term.
        prev_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Position up to which entries are committed.
        commit: Index,
        /// Number of the leader's heartbeat, for its lease.
        round: u64,
    },
    /// Answer to [`Message::Append`]; sent once the entries are durable.
    AppendReply {
        /// The receiver's term.
        term: Term,
        /// Position up to which the receiver's log is the leader's, if it accepted.
        matched: Option<Index>,
        /// Position of the receiver's last entry, for a leader that must go back.
        last_index: Index,
        /// The heartbeat answered.
        round: u64,
    },
}

// Entries have no order of their own; messages are ordered so that sets of them are.
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let key = |entry: &Self| (entry.index, entry.term);
        key(self).cmp(&key(other)).then_with(|| {
            // Of one index and term there is one entry, unless a rule is broken on purpose.
            format!("{:?}", self.payload).cmp(&format!("{:?}", other.payload))
        })
    }
}

impl Message {
    /// The term that the message speaks for.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. } => *term,
        }
    }
}

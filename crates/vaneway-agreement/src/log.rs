//! The log of one node, and the members that it defines.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Index;
use crate::NodeId;
use crate::Term;

/// The members of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote and count towards quorums.
    pub voters: BTreeSet<NodeId>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeSet<NodeId>,
}

impl Members {
    /// Members that all vote.
    pub fn with_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Whether the voters for which `nodes` is true are a majority.
    pub fn is_quorum(&self, nodes: impl Fn(NodeId) -> bool) -> bool {
        let count = self.voters.iter().filter(|node| nodes(**node)).count();
        count > self.voters.len() / 2
    }

    /// All members, voters first.
    pub fn all(&self) -> impl Iterator<Item = NodeId> {
        self.voters.iter().chain(&self.learners).copied()
    }
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content: the first entry of a new leader, with which it can commit the entries of earlier
    /// terms.
    Noop,
    /// A command of the owner, serialised.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(Members),
}

impl Payload {
    /// Size of the owner's command in bytes; 0 for the other payloads, which are small.
    pub fn command_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Noop | Self::Members(_) => 0,
        }
    }
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created it.
    pub term: Term,
    /// Its position in the log.
    pub index: Index,
    /// Its content.
    pub payload: Payload,
}

/// The owner's state after the entries up to an index, which it replaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
    /// The owner's state, serialised.
    pub data: Vec<u8>,
}

/// The entries of one node: those after its snapshot, if it has one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log {
    /// Index and term of the last entry that the snapshot covers; 0 without a snapshot.
    base_index: Index,
    base_term: Term,
    /// The members until an entry defines others.
    base_members: Members,
    entries: Vec<Entry>,
}

impl Log {
    /// A log with these entries; `first_members` are the members until an entry defines others.
    pub fn new(first_members: Members, entries: Vec<Entry>) -> Self {
        Self { base_index: 0, base_term: 0, base_members: first_members, entries }
    }

    /// A log with the entries that follow a snapshot.
    pub fn after_snapshot(snapshot: &Snapshot, entries: Vec<Entry>) -> Self {
        Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            base_members: snapshot.members.clone(),
            entries,
        }
    }

    /// Index of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// The entries after the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Index of the last entry; 0 if there is none.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Term of the last entry; 0 if there is none.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// Position in `entries` of the entry at `index`, which must be after the snapshot.
    fn position(&self, index: Index) -> usize {
        (index - self.base_index) as usize - 1
    }

    /// Term of the entry at `index`: 0 before the first entry, none after the last one or within
    /// the snapshot.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        match index {
            index if index == self.base_index => Some(self.base_term),
            index if index < self.base_index => None,
            index => self.entries.get(self.position(index)).map(|entry| entry.term),
        }
    }

    /// Entries from `index` on, which must be after the snapshot: at least one if there is any, at
    /// most `max_entries`, and at most about `max_bytes` of commands.
    pub fn batch_from(&self, index: Index, max_entries: usize, max_bytes: usize) -> &[Entry] {
        let begin = self.position(index.max(self.base_index + 1)).min(self.entries.len());
        let mut remaining_bytes = max_bytes;
        let rest = &self.entries[begin..];
        let fits = |entry: &&Entry| {
            remaining_bytes = remaining_bytes.saturating_sub(entry.payload.command_bytes());
            remaining_bytes > 0
        };
        let count = rest.iter().take(max_entries).take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// Entries after `after`, up to and including `to`.
    pub fn between(&self, after: Index, to: Index) -> &[Entry] {
        let after = after.max(self.base_index);
        &self.entries[(after - self.base_index) as usize..(to - self.base_index) as usize]
    }

    /// Replaces the entries up to `index`, which must exist, by a snapshot of `data`.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> Snapshot {
        let term = self.term_at(index).unwrap_or_default();
        let members = self.members_at(index).clone();
        let snapshot = Snapshot { index, term, members, data };
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
        self.base_members = snapshot.members.clone();
        snapshot
    }

    /// Installs a leader's snapshot. Entries after it are kept if they continue it.
    pub fn install(&mut self, snapshot: &Snapshot) {
        let follows = self.term_at(snapshot.index) == Some(snapshot.term);
        let entries = if follows {
            self.entries.split_off((snapshot.index - self.base_index) as usize)
        } else {
            Vec::new()
        };
        *self = Self::after_snapshot(snapshot, entries);
    }

    /// The members as of the entry at `index`.
    fn members_at(&self, index: Index) -> &Members {
        let earlier = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let mut defined = earlier.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            Payload::Noop | Payload::Command(_) => None,
        });
        defined.next().unwrap_or(&self.base_members)
    }

    /// Appends an entry.
    pub fn push(&mut self, term: Term, payload: Payload) -> Entry {
        let entry = Entry { term, index: self.last_index() + 1, payload };
        self.entries.push(entry.clone());
        entry
    }

    /// Merges a leader's entries: removes conflicting ones and appends new ones. Returns the new
    /// ones.
    pub fn merge(&mut self, entries: &[Entry]) -> Vec<Entry> {
        for (i, entry) in entries.iter().enumerate() {
            // Entries covered by a snapshot are committed, so they are the same.
            if entry.index <= self.base_index {
                continue;
            }
            if self.term_at(entry.index) != Some(entry.term) {
                let position = self.position(entry.index);
                self.entries.truncate(position);
                self.entries.extend_from_slice(&entries[i..]);
                return entries[i..].to_vec();
            }
        }
        Vec::new()
    }

    /// The members that the last membership entry defines, committed or not.
    pub fn members(&self) -> &Members {
        self.last_members().map_or(&self.base_members, |(_, members)| members)
    }

    /// Index of the last membership entry; 0 if there is none.
    pub fn members_index(&self) -> Index {
        self.last_members().map_or(0, |(index, _)| index)
    }

    fn last_members(&self) -> Option<(Index, &Members)> {
        self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some((entry.index, members)),
            Payload::Noop | Payload::Command(_) => None,
        })
    }

    /// Whether the log of a candidate whose last entry has `term` and `index` is at least as
    /// up-to-date as this one.
    pub fn is_candidate_up_to_date(&self, term: Term, index: Index) -> bool {
        (term, index) >= (self.last_term(), self.last_index())
    }
}

//! The log of one node, and the members that it names.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Index;
use crate::NodeId;
use crate::Term;

/// Who takes part.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Members {
    /// Nodes whose votes count.
    pub voters: BTreeSet<NodeId>,
    /// Nodes that receive the log and do not count.
    pub learners: BTreeSet<NodeId>,
}

impl Members {
    /// Members of which all vote.
    pub fn with_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Whether `nodes` holds more than half of the voters.
    pub fn is_quorum(&self, nodes: impl Fn(NodeId) -> bool) -> bool {
        let count = self.voters.iter().filter(|node| nodes(**node)).count();
        count > self.voters.len() / 2
    }

    /// Every member.
    pub fn all(&self) -> impl Iterator<Item = NodeId> {
        self.voters.iter().chain(&self.learners).copied()
    }
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry, by which it may commit the ones before.
    Noop,
    /// The owner's command.
    Command(Vec<u8>),
    /// From here on, these are the members.
    Members(Members),
}

impl Payload {
    /// Bytes of the owner's command; 0 for the other payloads, which are small.
    pub fn command_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Noop | Self::Members(_) => 0,
        }
    }
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that made it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it says.
    pub payload: Payload,
}

/// The owner's state after the entries up to a position, in place of those entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that it stands for.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
    /// The owner's state.
    pub data: Vec<u8>,
}

/// The entries of one node: those behind a snapshot, if it has one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log {
    /// Position and term of the last entry that the snapshot stands for; 0 without one.
    base_index: Index,
    base_term: Term,
    /// Who counts until an entry names others.
    base_members: Members,
    entries: Vec<Entry>,
}

impl Log {
    /// A log with these entries; `first_members` count until an entry names others.
    pub fn new(first_members: Members, entries: Vec<Entry>) -> Self {
        Self { base_index: 0, base_term: 0, base_members: first_members, entries }
    }

    /// A log of the entries behind a snapshot.
    pub fn after_snapshot(snapshot: &Snapshot, entries: Vec<Entry>) -> Self {
        Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            base_members: snapshot.members.clone(),
            entries,
        }
    }

    /// Position of the last entry that a snapshot stands for; 0 without one.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// Entries that are kept.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Position of the last entry; 0 if there is none.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Term of the last entry; 0 if there is none.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// Place in `entries` of the entry at `index`, which is behind the snapshot.
    fn position(&self, index: Index) -> usize {
        (index - self.base_index) as usize - 1
    }

    /// Term of the entry at `index`; 0 before the first, none behind the last or where a snapshot
    /// hides it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        match index {
            index if index == self.base_index => Some(self.base_term),
            index if index < self.base_index => None,
            index => self.entries.get(self.position(index)).map(|entry| entry.term),
        }
    }

    /// Entries from `index` on, at most `max_entries` of them and, behind the first, at most about
    /// `max_bytes` of commands. `index` is behind the snapshot.
    pub fn batch_from(&self, index: Index, max_entries: usize, max_bytes: usize) -> &[Entry] {
        let begin = self.position(index.max(self.base_index + 1)).min(self.entries.len());
        let mut left = max_bytes;
        let rest = &self.entries[begin..];
        let fits = |entry: &&Entry| {
            left = left.saturating_sub(entry.payload.command_bytes());
            left > 0
        };
        let count = rest.iter().take(max_entries).take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// Entries behind `after` up to and including `to`.
    pub fn between(&self, after: Index, to: Index) -> &[Entry] {
        let after = after.max(self.base_index);
        &self.entries[(after - self.base_index) as usize..(to - self.base_index) as usize]
    }

    /// Lets a snapshot of `data` stand for the entries up to `index`, which are there.
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

    /// Takes a leader's snapshot. Entries behind it stay if they follow from it.
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

    /// Takes a leader's entries: drops what conflicts, appends what is new. Returns the new ones.
    pub fn merge(&mut self, entries: &[Entry]) -> Vec<Entry> {
        for (i, entry) in entries.iter().enumerate() {
            // What a snapshot stands for is committed, so it is the same.
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

    /// The members that the log names last, committed or not.
    pub fn members(&self) -> &Members {
        self.last_members().map_or(&self.base_members, |(_, members)| members)
    }

    /// Position of the last entry that names members; 0 if none does.
    pub fn members_index(&self) -> Index {
        self.last_members().map_or(0, |(index, _)| index)
    }

    fn last_members(&self) -> Option<(Index, &Members)> {
        self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some((entry.index, members)),
            Payload::Noop | Payload::Command(_) => None,
        })
    }

    /// Whether a log that ends at (`term`, `index`) has at least what this one has.
    pub fn is_candidate_up_to_date(&self, term: Term, index: Index) -> bool {
        (term, index) >= (self.last_term(), self.last_index())
    }
}

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
    pub fn of(voters: impl IntoIterator<Item = NodeId>) -> Self {
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

/// The entries of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log {
    entries: Vec<Entry>,
    first_members: Members,
}

impl Log {
    /// A log with these entries; `first_members` count until an entry names others.
    pub fn new(first_members: Members, entries: Vec<Entry>) -> Self {
        Self { entries, first_members }
    }

    /// Position of the last entry; 0 if there is none.
    pub fn last_index(&self) -> Index {
        self.entries.len() as Index
    }

    /// Term of the last entry; 0 if there is none.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(0, |entry| entry.term)
    }

    /// Term of the entry at `index`; 0 before the first, none behind the last.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        match index {
            0 => Some(0),
            index => self.entries.get(index as usize - 1).map(|entry| entry.term),
        }
    }

    /// Entries from `index` on, at most `most` of them.
    pub fn from(&self, index: Index, most: usize) -> &[Entry] {
        let begin = (index as usize - 1).min(self.entries.len());
        let end = (begin + most).min(self.entries.len());
        &self.entries[begin..end]
    }

    /// Entries behind `after` up to and including `to`.
    pub fn between(&self, after: Index, to: Index) -> &[Entry] {
        &self.entries[after as usize..to as usize]
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
            if self.term_at(entry.index) != Some(entry.term) {
                self.entries.truncate(entry.index as usize - 1);
                self.entries.extend_from_slice(&entries[i..]);
                return entries[i..].to_vec();
            }
        }
        Vec::new()
    }

    /// The members that the log names last, committed or not.
    pub fn members(&self) -> &Members {
        self.last_members().map_or(&self.first_members, |(_, members)| members)
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
    pub fn is_covered_by(&self, term: Term, index: Index) -> bool {
        (term, index) >= (self.last_term(), self.last_index())
    }
}

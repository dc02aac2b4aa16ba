//! What must be durable, and the messages that wait until it is.

use std::time::Instant;

use crate::Action;
use crate::Entry;
use crate::Message;
use crate::NodeId;
use crate::Persist;
use crate::Role;
use crate::Rule;
use crate::Snapshot;
use crate::node::DeferredMessage;
use crate::node::Node;

impl Node {
    /// Requests that the term, the vote and `entries` are made durable; returns the number of the
    /// request.
    pub(super) fn persist(&mut self, entries: Vec<Entry>, out: &mut Vec<Action>) -> u64 {
        self.persist_with(None, entries, out)
    }

    pub(super) fn persist_with(
        &mut self,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) -> u64 {
        self.persist_number += 1;
        let number = self.persist_number;
        if let Some(first) = entries.first() {
            // Replaced entries are no longer durable.
            self.durable = self.durable.min(first.index - 1);
            for persisting in &mut self.pending_persists {
                persisting.1 = persisting.1.min(first.index - 1);
            }
        }
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let durable = entries.last().map_or(snapshot_index, |last| last.index);
        self.pending_persists.push_back((number, durable));
        let (term, vote) = (self.term, self.vote);
        out.push(Action::Persist(Persist { number, term, vote, snapshot, entries }));
        number
    }

    /// Sends a message once the persist request `number` is durable.
    pub(super) fn send_after(
        &mut self,
        number: u64,
        to: NodeId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if number <= self.persisted_number || !self.enforces(Rule::PersistBeforeReply) {
            out.push(Action::Send { to, message });
        } else {
            self.deferred.push_back(DeferredMessage { number, to, message });
        }
    }

    pub(super) fn handle_persisted(&mut self, now: Instant, number: u64, out: &mut Vec<Action>) {
        self.persisted_number = self.persisted_number.max(number);
        while let Some((_, index)) = self.pending_persists.pop_front_if(|(n, _)| *n <= number) {
            self.durable = self.durable.max(index);
        }
        while let Some(deferred) = self.deferred.pop_front_if(|deferred| deferred.number <= number)
        {
            // Promises of earlier terms are void.
            if deferred.message.term() == self.term {
                out.push(Action::Send { to: deferred.to, message: deferred.message });
            }
        }
        match self.role {
            Role::Candidate if self.persisted_number == self.persist_number => {
                self.votes_received.insert(self.config.id);
                self.count_votes(now, out);
            }
            Role::Leader => self.advance_commit(now, out),
            Role::Follower | Role::PreCandidate | Role::Candidate => {}
        }
    }
}

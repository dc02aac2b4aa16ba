//! The follower's part: it accepts the entries and snapshots that a leader sends, and commits and
//! compacts its log.

use std::time::Instant;

use crate::Action;
use crate::Append;
use crate::AppendReply;
use crate::Index;
use crate::Install;
use crate::Message;
use crate::NodeId;
use crate::Rule;
use crate::Snapshot;
use crate::node::Node;

impl Node {
    pub(super) fn handle_append(
        &mut self,
        now: Instant,
        from: NodeId,
        append: Append,
        out: &mut Vec<Action>,
    ) {
        let Append { term, prev_index, prev_term, entries, commit, round } = append;
        if term < self.term {
            let last_index = self.log.last_index();
            let message = Message::AppendReply(AppendReply {
                term: self.term,
                matched: None,
                last_index,
                round,
            });
            self.send_after(self.persist_number, from, message, out);
            return;
        }
        self.become_follower(now, term, Some(from), out);
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        let base = self.log.base_index();
        // Entries covered by this node's snapshot are committed, so the leader has the same ones.
        let prev_matches = prev_index < base
            || self.log.term_at(prev_index) == Some(prev_term)
            || (!self.enforces(Rule::AppendChecksPrevious) && prev_index <= self.log.last_index());
        let mut matched = None;
        if prev_matches {
            let end = prev_index + entries.len() as Index;
            let new = self.log.merge(&entries);
            if !new.is_empty() {
                self.persist(new, out);
            }
            matched = Some(end.max(base));
            self.commit_to(commit.min(end), out);
        }
        let last_index = self.log.last_index();
        let message = Message::AppendReply(AppendReply { term, matched, last_index, round });
        self.send_after(self.persist_number, from, message, out);
    }

    /// Handles a leader's snapshot; installs it unless this node has committed as much.
    pub(super) fn handle_install(
        &mut self,
        now: Instant,
        from: NodeId,
        install: Install,
        out: &mut Vec<Action>,
    ) {
        let Install { term, snapshot, round } = install;
        let mut matched = None;
        if term >= self.term {
            self.become_follower(now, term, Some(from), out);
            self.last_leader_contact = now;
            self.reset_election_deadline(now);
            matched = Some(snapshot.index);
            if snapshot.index > self.commit || !self.enforces(Rule::InstallChecksCommit) {
                self.restore(snapshot, out);
            }
        }
        let last_index = self.log.last_index();
        let reply = AppendReply { term: self.term, matched, last_index, round };
        self.send_after(self.persist_number, from, Message::AppendReply(reply), out);
    }

    fn restore(&mut self, snapshot: Snapshot, out: &mut Vec<Action>) {
        self.log.install(&snapshot);
        self.commit = snapshot.index;
        self.snapshot = Some(snapshot.clone());
        // Entries that did not continue the snapshot are gone.
        let last = self.log.last_index();
        self.durable = self.durable.min(last);
        for persisting in &mut self.pending_persists {
            persisting.1 = persisting.1.min(last);
        }
        self.persist_with(Some(snapshot.clone()), Vec::new(), out);
        out.push(Action::Restore { snapshot });
    }

    /// Replaces committed entries by a snapshot of the owner's state.
    pub(super) fn compact(&mut self, index: Index, data: Vec<u8>, out: &mut Vec<Action>) {
        if index <= self.log.base_index() || index > self.commit {
            return;
        }
        let snapshot = self.log.compact(index, data);
        self.snapshot = Some(snapshot.clone());
        self.persist_with(Some(snapshot), Vec::new(), out);
    }

    pub(super) fn commit_to(&mut self, index: Index, out: &mut Vec<Action>) {
        if index > self.commit {
            let entries = self.log.between(self.commit, index).to_vec();
            self.commit = index;
            out.push(Action::Commit { entries });
        }
    }
}

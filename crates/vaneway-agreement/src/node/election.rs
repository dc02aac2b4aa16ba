//! Elections: pre-votes, votes, and the rules by which a node grants them.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Action;
use crate::Index;
use crate::Message;
use crate::NodeId;
use crate::Payload;
use crate::Role;
use crate::Rule;
use crate::Term;
use crate::node::Node;

impl Node {
    /// Sets a new random election deadline.
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        self.jitter_seed = self.jitter_seed.wrapping_add(1);
        let mut rng = Pcg64Mcg::seed_from_u64(self.jitter_seed);
        let shortest = self.config.election_timeout.as_micros() as u64;
        let wait = rng.random_range(shortest..shortest * 2);
        self.deadline = now + Duration::from_micros(wait);
    }

    fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.log.members().voters.iter().copied();
        voters.filter(|id| *id != self.config.id).collect()
    }

    pub(super) fn request_pre_votes(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.set_role(Role::PreCandidate, out);
        self.leader = None;
        self.votes_received = BTreeSet::from([self.config.id]);
        let message = Message::PreVote {
            term: self.term + 1,
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
        };
        for to in self.other_voters() {
            out.push(Action::Send { to, message: message.clone() });
        }
        self.count_votes(now, out);
    }

    fn start_election(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.term += 1;
        self.vote = Some(self.config.id);
        self.votes_received.clear();
        self.set_role(Role::Candidate, out);
        self.reset_election_deadline(now);
        let number = self.persist(Vec::new(), out);
        let message = Message::Vote {
            term: self.term,
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
        };
        for to in self.other_voters() {
            self.send_after(number, to, message.clone(), out);
        }
    }

    pub(super) fn count_votes(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.log.members().is_quorum(|id| self.votes_received.contains(&id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now, out),
            Role::Candidate => self.become_leader(now, out),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.set_role(Role::Leader, out);
        self.leader = Some(self.config.id);
        self.rounds.clear();
        self.progress.clear();
        self.append(now, Payload::Noop, out);
    }

    /// Whether a leader's message arrived so recently that the leader may hold a lease.
    pub(super) fn has_recent_leader(&self, now: Instant) -> bool {
        self.role == Role::Leader || now < self.last_leader_contact + self.config.election_timeout
    }

    /// Whether a candidate's log is at least as up-to-date as this one.
    pub(super) fn is_candidate_up_to_date(&self, last_term: Term, last_index: Index) -> bool {
        !self.enforces(Rule::VoteChecksLog)
            || self.log.is_candidate_up_to_date(last_term, last_index)
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        (last_term, last_index): (Term, Index),
        out: &mut Vec<Action>,
    ) {
        if term > self.term && self.has_recent_leader(now) {
            // The lease of the known leader also forbids adopting the candidate's term.
            return;
        }
        if term > self.term {
            self.become_follower(now, term, None, out);
        }
        let free =
            self.vote.is_none_or(|vote| vote == from) || !self.enforces(Rule::OneVotePerTerm);
        let is_up_to_date = self.is_candidate_up_to_date(last_term, last_index);
        let granted = term == self.term && free && is_up_to_date && self.role == Role::Follower;
        let mut number = self.persist_number;
        if granted && self.vote != Some(from) {
            self.vote = Some(from);
            number = self.persist(Vec::new(), out);
        }
        if granted {
            self.reset_election_deadline(now);
        }
        let message = Message::VoteReply { term: self.term, granted };
        self.send_after(number, from, message, out);
    }
}

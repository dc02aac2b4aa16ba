//! One Raft node: its roles and their rules.
//!
//! Overview: [`Node::handle`] takes an event. A follower that receives nothing from a leader
//! requests pre-votes; with a quorum of them it starts a new term and requests votes; with a quorum
//! of votes it becomes the leader, appends an entry of its own term, and sends every member the
//! entries that it lacks. An entry is committed once it is durable at a quorum and is of the
//! leader's own term or precedes such an entry.
//!
//! Durability: what a node promises (a vote, an accepted entry) is sent only after
//! [`Event::Persisted`] has covered it, and a leader counts its own copy of an entry only from then
//! on.
//!
//! Lease: a member that receives a heartbeat votes for no other candidate within
//! [`Config::election_timeout`] of receiving it. So once a quorum has answered a heartbeat, there
//! can be no other leader until that long after it was sent, less the clock drift.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Action;
use crate::Append;
use crate::AppendReply;
use crate::Config;
use crate::DurableState;
use crate::Entry;
use crate::Event;
use crate::Index;
use crate::Install;
use crate::Log;
use crate::MemberChange;
use crate::Members;
use crate::Message;
use crate::NodeId;
use crate::Payload;
use crate::Persist;
use crate::ProposalId;
use crate::Refusal;
use crate::Role;
use crate::Rule;
use crate::Snapshot;
use crate::Term;

/// Maximum number of entries in a message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// Maximum size of the commands in a message in bytes, not counting its first entry. Limited
/// because unacknowledged entries are sent again with every heartbeat.
const MAX_ENTRY_BYTES_PER_MESSAGE: usize = 256 << 10;

/// Interval after which an unacknowledged snapshot is sent again.
const SNAPSHOT_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of entries that a learner may lack when it is promoted: as many as one message
/// carries.
const MAX_LEARNER_LAG: Index = MAX_ENTRIES_PER_MESSAGE as Index;

/// Maximum number of heartbeat rounds whose sending time is kept.
const MAX_TRACKED_ROUNDS: usize = 64;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Progress {
    next: Index,
    matched: Index,
    /// When the latest heartbeat that was answered was sent.
    last_acked_sent: Option<Instant>,
    /// When the leader first sent anything to this member.
    first_sent: Instant,
    /// When a snapshot was last sent.
    snapshot_sent: Option<Instant>,
}

impl Progress {
    /// Whether the member needs a snapshot, which covers the entries up to `base`, and one was sent
    /// so recently that it may still arrive.
    fn awaits_snapshot(&self, now: Instant, base: Index) -> bool {
        self.next <= base
            && self.snapshot_sent.is_some_and(|at| now < at + SNAPSHOT_RESEND_INTERVAL)
    }
}

/// A message that is held back until something is durable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DeferredMessage {
    number: u64,
    to: NodeId,
    message: Message,
}

/// A member of the Raft group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Node {
    config: Config,
    /// Rule that a test disabled; always none in production.
    disabled_rule: Option<Rule>,
    log: Log,
    /// The latest snapshot, which covers the entries that the log no longer has.
    snapshot: Option<Snapshot>,
    term: Term,
    vote: Option<NodeId>,
    role: Role,
    leader: Option<NodeId>,
    /// When a message of a leader last arrived. Initially the node's start, since it may have
    /// answered a leader just before.
    last_leader_contact: Instant,
    deadline: Instant,
    votes_received: BTreeSet<NodeId>,
    progress: BTreeMap<NodeId, Progress>,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    commit: Index,
    persist_number: u64,
    persisted_number: u64,
    /// Index up to which this node's own entries are durable.
    durable: Index,
    /// Number of each pending [`Persist`], and the index up to which it makes entries durable.
    pending_persists: VecDeque<(u64, Index)>,
    deferred: VecDeque<DeferredMessage>,
    jitter_seed: u64,
}

impl Node {
    /// A node that starts at `now` with this persistent state.
    pub fn start(config: Config, durable: DurableState, now: Instant) -> Self {
        let log = durable.log();
        let DurableState { term, vote, snapshot, .. } = durable;
        let durable = log.last_index();
        let commit = log.base_index();
        let mut node = Self {
            disabled_rule: None,
            jitter_seed: config.seed,
            config,
            log,
            term,
            vote,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            deadline: now,
            votes_received: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            commit,
            snapshot,
            persist_number: 0,
            persisted_number: 0,
            durable,
            pending_persists: VecDeque::new(),
            deferred: VecDeque::new(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// Disables a rule, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_rule_disabled(mut self, rule: Option<Rule>) -> Self {
        self.disabled_rule = rule;
        self
    }

    fn enforces(&self, rule: Rule) -> bool {
        self.disabled_rule != Some(rule)
    }

    /// The node's id.
    pub fn id(&self) -> NodeId {
        self.config.id
    }

    /// The latest snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The node's current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The node's current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The commit index.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// The node's log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Index up to which the log of `id` is known to match this leader's.
    pub fn matched(&self, id: NodeId) -> Index {
        self.progress.get(&id).map_or(0, |progress| progress.matched)
    }

    /// Time since `id` last answered this leader; if it has not answered, since this leader first
    /// sent it anything.
    pub fn time_since_reply(&self, id: NodeId, now: Instant) -> Duration {
        if id == self.config.id {
            return Duration::ZERO;
        }
        let since = self
            .progress
            .get(&id)
            .map(|p| p.last_acked_sent.map_or(p.first_sent, |h| h.max(p.first_sent)));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// When the node expects the next [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        self.deadline
    }

    /// The time until which no other node can become leader; none if this node has no lease.
    pub fn lease_until(&self) -> Option<Instant> {
        if self.role != Role::Leader {
            return None;
        }
        let voters = &self.log.members().voters;
        let mut acked: Vec<Option<Instant>> =
            voters.iter().map(|id| self.last_acked_by(*id)).collect();
        acked.sort_unstable();
        // The latest sending time that a majority of the voters have answered.
        let quorum = acked.len() / 2 + 1;
        let since = acked.len().checked_sub(quorum).and_then(|i| acked[i])?;
        let lease_per_mille = 1_000_u32.saturating_sub(2 * self.config.max_drift_per_mille);
        Some(since + self.config.election_timeout * lease_per_mille / 1_000)
    }

    /// When the latest heartbeat that `id` answered was sent; this node answers its own
    /// immediately.
    fn last_acked_by(&self, id: NodeId) -> Option<Instant> {
        if id == self.config.id {
            return self.rounds.back().map(|(_, at)| *at);
        }
        self.progress.get(&id).and_then(|progress| progress.last_acked_sent)
    }

    /// Whether `id` answered a heartbeat that was sent at `since` or later, or was first sent
    /// anything at or after that time, so that it may not have had the time to answer. Always true
    /// without `since`.
    fn is_responsive(&self, id: NodeId, since: Option<Instant>) -> bool {
        let Some(since) = since else { return true };
        let first_sent = self.progress.get(&id).map(|progress| progress.first_sent);
        self.last_acked_by(id).max(first_sent).is_some_and(|acked| acked >= since)
    }

    /// Handles an event and appends the actions to carry out to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if now >= self.deadline => self.tick(now, out),
            Event::Tick => {}
            Event::Message { from, message } => self.handle_message(now, from, message, out),
            Event::Persisted { number } => self.handle_persisted(now, number, out),
            Event::Propose { proposal_id, command } => {
                self.propose(now, proposal_id, Payload::Command(command), out);
            }
            Event::Compact { index, data } => self.compact(index, data, out),
            Event::ChangeMembers { proposal_id, change } => match self.members_after(change) {
                Ok(members) => self.propose(now, proposal_id, Payload::Members(members), out),
                Err(refusal) => out.push(Action::Refused { proposal_id, refusal }),
            },
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.role == Role::Leader {
            let members = self.log.members();
            let since = now.checked_sub(self.config.election_timeout * 2);
            if members.is_quorum(|id| self.is_responsive(id, since)) {
                self.heartbeat(now, out);
            } else {
                self.become_follower(now, self.term, None, out);
            }
            return;
        }
        self.reset_election_deadline(now);
        if self.log.members().voters.contains(&self.config.id) {
            self.request_pre_votes(now, out);
        }
    }

    /// Sets a new random election deadline.
    fn reset_election_deadline(&mut self, now: Instant) {
        self.jitter_seed = self.jitter_seed.wrapping_add(1);
        let mut rng = Pcg64Mcg::seed_from_u64(self.jitter_seed);
        let shortest = self.config.election_timeout.as_micros() as u64;
        let wait = rng.random_range(shortest..shortest * 2);
        self.deadline = now + Duration::from_micros(wait);
    }

    fn others(&self) -> Vec<NodeId> {
        self.log.members().all().filter(|id| *id != self.config.id).collect()
    }

    fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.log.members().voters.iter().copied();
        voters.filter(|id| *id != self.config.id).collect()
    }

    fn request_pre_votes(&mut self, now: Instant, out: &mut Vec<Action>) {
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

    fn count_votes(&mut self, now: Instant, out: &mut Vec<Action>) {
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

    /// Appends an entry to the leader's own log and sends it to the other members.
    fn append(&mut self, now: Instant, payload: Payload, out: &mut Vec<Action>) -> Index {
        let entry = self.log.push(self.term, payload);
        let index = entry.index;
        self.persist(vec![entry], out);
        self.heartbeat(now, out);
        index
    }

    fn heartbeat(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
        self.deadline = now + self.config.heartbeat_interval;
        let others = self.others();
        self.progress.retain(|id, _| others.contains(id));
        for to in others {
            self.send_entries(now, to, out);
        }
    }

    fn send_entries(&mut self, now: Instant, to: NodeId, out: &mut Vec<Action>) {
        let last = self.log.last_index();
        let initial = Progress {
            next: last.max(1),
            matched: 0,
            last_acked_sent: None,
            first_sent: now,
            snapshot_sent: None,
        };
        let base = self.log.base_index();
        let progress = self.progress.entry(to).or_insert(initial);
        let lacks_snapshot = progress.next <= base;
        if lacks_snapshot
            && !progress.awaits_snapshot(now, base)
            && let Some(snapshot) = self.snapshot.clone()
        {
            progress.snapshot_sent = Some(now);
            let install = Install { term: self.term, snapshot, round: self.round };
            out.push(Action::Send { to, message: Message::Install(install) });
            return;
        }
        let next = progress.next.max(base + 1);
        // Only a heartbeat until the snapshot has been installed.
        let entries = if lacks_snapshot {
            Vec::new()
        } else {
            self.log.batch_from(next, MAX_ENTRIES_PER_MESSAGE, MAX_ENTRY_BYTES_PER_MESSAGE).to_vec()
        };
        let message = Message::Append(Append {
            term: self.term,
            prev_index: next - 1,
            prev_term: self.log.term_at(next - 1).unwrap_or_default(),
            entries,
            commit: self.commit,
            round: self.round,
        });
        out.push(Action::Send { to, message });
    }

    fn set_role(&mut self, role: Role, out: &mut Vec<Action>) {
        self.role = role;
        out.push(Action::RoleChanged { role, term: self.term });
    }

    fn become_follower(
        &mut self,
        now: Instant,
        term: Term,
        leader: Option<NodeId>,
        out: &mut Vec<Action>,
    ) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.persist(Vec::new(), out);
        }
        self.leader = leader;
        if self.role != Role::Follower {
            self.set_role(Role::Follower, out);
            self.reset_election_deadline(now);
        }
    }

    /// Requests that the term, the vote and `entries` are made durable; returns the number of the
    /// request.
    fn persist(&mut self, entries: Vec<Entry>, out: &mut Vec<Action>) -> u64 {
        self.persist_with(None, entries, out)
    }

    fn persist_with(
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
    fn send_after(&mut self, number: u64, to: NodeId, message: Message, out: &mut Vec<Action>) {
        if number <= self.persisted_number || !self.enforces(Rule::PersistBeforeReply) {
            out.push(Action::Send { to, message });
        } else {
            self.deferred.push_back(DeferredMessage { number, to, message });
        }
    }

    fn handle_persisted(&mut self, now: Instant, number: u64, out: &mut Vec<Action>) {
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

    fn handle_message(
        &mut self,
        now: Instant,
        from: NodeId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::PreVote { term, last_term, last_index } => {
                let granted = term > self.term
                    && !self.has_recent_leader(now)
                    && self.is_candidate_up_to_date(last_term, last_index);
                let term = if granted { term } else { self.term };
                let message = Message::PreVoteReply { term, granted };
                out.push(Action::Send { to: from, message });
            }
            Message::PreVoteReply { term, granted } => {
                if granted && self.role == Role::PreCandidate && term == self.term + 1 {
                    self.votes_received.insert(from);
                    self.count_votes(now, out);
                } else if term > self.term {
                    self.become_follower(now, term, None, out);
                }
            }
            Message::Vote { term, last_term, last_index } => {
                self.handle_vote_request(now, from, term, (last_term, last_index), out);
            }
            Message::VoteReply { term, granted } => {
                if term > self.term {
                    self.become_follower(now, term, None, out);
                } else if granted && term == self.term && self.role == Role::Candidate {
                    self.votes_received.insert(from);
                    self.count_votes(now, out);
                }
            }
            Message::Append(append) => self.handle_append(now, from, append, out),
            Message::AppendReply(reply) => self.handle_append_reply(now, from, reply, out),
            Message::Install(install) => self.handle_install(now, from, install, out),
        }
    }

    /// Whether a leader's message arrived so recently that the leader may hold a lease.
    fn has_recent_leader(&self, now: Instant) -> bool {
        self.role == Role::Leader || now < self.last_leader_contact + self.config.election_timeout
    }

    /// Whether a candidate's log is at least as up-to-date as this one.
    fn is_candidate_up_to_date(&self, last_term: Term, last_index: Index) -> bool {
        !self.enforces(Rule::VoteChecksLog)
            || self.log.is_candidate_up_to_date(last_term, last_index)
    }

    fn handle_vote_request(
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

    fn handle_append(&mut self, now: Instant, from: NodeId, append: Append, out: &mut Vec<Action>) {
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
    fn handle_install(
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
    fn compact(&mut self, index: Index, data: Vec<u8>, out: &mut Vec<Action>) {
        if index <= self.log.base_index() || index > self.commit {
            return;
        }
        let snapshot = self.log.compact(index, data);
        self.snapshot = Some(snapshot.clone());
        self.persist_with(Some(snapshot), Vec::new(), out);
    }

    fn handle_append_reply(
        &mut self,
        now: Instant,
        from: NodeId,
        reply: AppendReply,
        out: &mut Vec<Action>,
    ) {
        let AppendReply { term, matched, last_index, round } = reply;
        if term > self.term {
            self.become_follower(now, term, None, out);
            return;
        }
        if self.role != Role::Leader || term < self.term {
            return;
        }
        let sent = self.rounds.iter().find(|(number, _)| *number == round).map(|(_, at)| *at);
        let (base, last) = (self.log.base_index(), self.log.last_index());
        let Some(progress) = self.progress.get_mut(&from) else { return };
        if let Some(sent) = sent {
            progress.last_acked_sent = progress.last_acked_sent.max(Some(sent));
        }
        match matched {
            Some(matched) if matched > progress.matched => {
                progress.matched = matched;
                progress.next = matched + 1;
            }
            Some(_) => return,
            None => {
                let back = progress.next.saturating_sub(1).min(last_index + 1);
                progress.next = back.max(progress.matched + 1);
            }
        }
        // A member that waits for a snapshot rejects entries at once, which would repeat in a loop.
        if progress.next <= last && !progress.awaits_snapshot(now, base) {
            self.send_entries(now, from, out);
        }
        self.advance_commit(now, out);
    }

    /// Commits entries that are durable at a quorum.
    fn advance_commit(&mut self, now: Instant, out: &mut Vec<Action>) {
        let has = |id: NodeId, index: Index| {
            let matched = self.progress.get(&id).map_or(0, |progress| progress.matched);
            let own = if self.enforces(Rule::PersistBeforeReply) {
                self.durable
            } else {
                self.log.last_index()
            };
            if id == self.config.id { own >= index } else { matched >= index }
        };
        let members = self.log.members();
        let mut index = self.log.last_index();
        while index > self.commit && !members.is_quorum(|id| has(id, index)) {
            index -= 1;
        }
        let own_term = self.log.term_at(index) == Some(self.term);
        if index <= self.commit || (self.enforces(Rule::CommitOwnTermOnly) && !own_term) {
            return;
        }
        self.commit_to(index, out);
        if self.log.members().all().all(|id| id != self.config.id) {
            // This node's own removal is committed.
            self.become_follower(now, self.term, None, out);
        } else {
            // Followers learn of the commit now, not with the next heartbeat.
            self.heartbeat(now, out);
        }
    }

    fn commit_to(&mut self, index: Index, out: &mut Vec<Action>) {
        if index > self.commit {
            let entries = self.log.between(self.commit, index).to_vec();
            self.commit = index;
            out.push(Action::Commit { entries });
        }
    }

    fn propose(
        &mut self,
        now: Instant,
        proposal_id: ProposalId,
        payload: Payload,
        out: &mut Vec<Action>,
    ) {
        if self.role != Role::Leader {
            let refusal = Refusal::NotLeader { leader: self.leader };
            out.push(Action::Refused { proposal_id, refusal });
            return;
        }
        let index = self.append(now, payload, out);
        out.push(Action::Proposed { proposal_id, term: self.term, index });
    }

    /// The members after a change.
    fn members_after(&self, change: MemberChange) -> Result<Members, Refusal> {
        if self.role != Role::Leader {
            return Err(Refusal::NotLeader { leader: self.leader });
        }
        let settled = self.log.members_index() <= self.commit
            && self.log.term_at(self.commit) == Some(self.term);
        if !settled {
            return Err(Refusal::ChangePending);
        }
        let mut members = self.log.members().clone();
        let changed = match change {
            MemberChange::AddLearner(id) => {
                !members.voters.contains(&id) && members.learners.insert(id)
            }
            MemberChange::Promote(id) => {
                let matched = self.progress.get(&id).map_or(0, |progress| progress.matched);
                if members.learners.contains(&id)
                    && matched + MAX_LEARNER_LAG < self.log.last_index()
                {
                    return Err(Refusal::NotCaughtUp);
                }
                members.learners.remove(&id) && members.voters.insert(id)
            }
            MemberChange::Remove(id) => members.voters.remove(&id) || members.learners.remove(&id),
        };
        if !changed || members.voters.is_empty() {
            return Err(Refusal::Pointless);
        }
        Ok(members)
    }
}

//! The leader's part: its lease, the entries and heartbeats that it sends, what it commits, and
//! changes of the members.

use std::time::Duration;
use std::time::Instant;

use crate::Action;
use crate::Append;
use crate::AppendReply;
use crate::Index;
use crate::Install;
use crate::MemberChange;
use crate::Members;
use crate::Message;
use crate::NodeId;
use crate::Payload;
use crate::ProposalId;
use crate::Refusal;
use crate::Role;
use crate::Rule;
use crate::node::Node;
use crate::node::Progress;

/// Maximum number of entries in a message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// Maximum size of the commands in a message in bytes, not counting its first entry. Limited
/// because unacknowledged entries are sent again with every heartbeat.
const MAX_ENTRY_BYTES_PER_MESSAGE: usize = 256 << 10;

/// Maximum number of entries that a learner may lack when it is promoted: as many as one message
/// carries.
const MAX_LEARNER_LAG: Index = MAX_ENTRIES_PER_MESSAGE as Index;

/// Maximum number of heartbeat rounds whose sending time is kept.
const MAX_TRACKED_ROUNDS: usize = 64;

impl Node {
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
    pub(super) fn is_responsive(&self, id: NodeId, since: Option<Instant>) -> bool {
        let Some(since) = since else { return true };
        let first_sent = self.progress.get(&id).map(|progress| progress.first_sent);
        self.last_acked_by(id).max(first_sent).is_some_and(|acked| acked >= since)
    }

    fn others(&self) -> Vec<NodeId> {
        self.log.members().all().filter(|id| *id != self.config.id).collect()
    }

    /// Appends an entry to the leader's own log and sends it to the other members.
    pub(super) fn append(
        &mut self,
        now: Instant,
        payload: Payload,
        out: &mut Vec<Action>,
    ) -> Index {
        let entry = self.log.push(self.term, payload);
        let index = entry.index;
        self.persist(vec![entry], out);
        self.heartbeat(now, out);
        index
    }

    pub(super) fn heartbeat(&mut self, now: Instant, out: &mut Vec<Action>) {
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

    pub(super) fn handle_append_reply(
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
    pub(super) fn advance_commit(&mut self, now: Instant, out: &mut Vec<Action>) {
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

    pub(super) fn propose(
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
    pub(super) fn members_after(&self, change: MemberChange) -> Result<Members, Refusal> {
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

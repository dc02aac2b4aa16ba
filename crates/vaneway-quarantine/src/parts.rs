//! Finds the parts of prompts that crash the endpoints running requests with them.
//!
//! Requests that share a part may be never alike otherwise, so the evidence against each of them
//! stays at its first crash. The evidence against the part adds up: endpoints that crashed while
//! they ran a request with it which they had not begun to respond to for long. Sound parts are in
//! such requests too, beside the deadly part or at the same endpoint. What tells them apart are
//! responses: a part that crashes each endpoint is never responded to. This is group testing with
//! known negatives (Dorfman, "The Detection of Defective Members of Large Populations", 1943).
//!
//! A crash is held against a part of a request unless another part explains it, which the request
//! doesn't have, and whose own evidence is as strong; of two parts, the one that has been responded
//! to lately doesn't explain the crashes of the one that hasn't. So a request with a sound part that nothing
//! has told apart from the deadly one yet is not refused, and its response tells them apart.
//!
//! The response to a request is remembered at its own box alone, until a box reports a crash
//! against one of its parts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::EpochTime;
use crate::Incarnation;
use crate::part_case::ANSWER_RETENTION;
use crate::part_case::ANSWER_VALIDITY;
use crate::part_case::CRASHES_TO_HOLD;
use crate::part_case::PartCase;
use crate::part_case::PartCrash;

/// Identifies a part of a prompt by its content.
pub type PartId = u64;

/// Identifies a service, by a hash of its name.
pub type ServiceHash = u64;

/// Maximum number of cases. A crash of a third of a large fleet creates about as many as it has
/// parts in use.
const MAX_CASES: usize = 4_096;

/// Maximum number of parts whose responses are remembered.
const MAX_ANSWERED: usize = 4_096;

/// Maximum number of parts of one request that count.
const MAX_PARTS_PER_REQUEST: usize = 64;

/// Time by which a response must be newer than the last one known to be told to other boxes if it
/// disproves nothing.
const ANSWER_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which expired cases are removed.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// A part as one service runs it. What crashes one engine may do no harm to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    /// The part.
    pub part: PartId,
    /// The service.
    pub service: ServiceHash,
}

/// What is held against the parts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict {
    /// Nothing.
    Sound,
    /// Endpoints crashed that may have done so because of one of them.
    Suspected,
    /// This part crashes endpoints; the request must not run.
    Condemned(PartKey),
}

impl PartVerdict {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Suspected => "suspected",
            Self::Condemned(_) => "condemned",
        }
    }
}

/// What one box knows about parts of prompts.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartLedger {
    cases: BTreeMap<PartKey, PartCase>,
    /// The cases in which each crash is.
    by_crash: BTreeMap<Incarnation, BTreeSet<PartKey>>,
    /// When requests of this box with a part were last responded to.
    answered: BTreeMap<PartKey, EpochTime>,
    /// Cases that this box has changed since they were last taken for sending.
    unsent: BTreeSet<PartKey>,
    /// When expired cases are removed next.
    next_removal: EpochTime,
}

impl PartLedger {
    /// Whether nothing is held against any part.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_crash.is_empty()
    }

    pub(crate) fn cases(&self) -> &BTreeMap<PartKey, PartCase> {
        &self.cases
    }

    /// Records that an endpoint crashed while it ran a request with `parts`.
    pub(crate) fn record_crash(
        &mut self,
        endpoint: &Incarnation,
        crash: PartCrash,
        service: ServiceHash,
        parts: impl Iterator<Item = PartId>,
    ) {
        for part in parts.take(MAX_PARTS_PER_REQUEST) {
            let key = PartKey { part, service };
            let crashes = BTreeMap::from([(endpoint.clone(), crash)]);
            let reported = PartCase { crashes, answered_at: self.answered.get(&key).copied() };
            if self.merge(key, &reported) {
                self.unsent.insert(key);
            }
        }
    }

    /// Records that a request with `parts` was responded to. Returns the parts of which that
    /// disproves crashes.
    pub(crate) fn record_answer(
        &mut self,
        now: EpochTime,
        service: ServiceHash,
        parts: impl Iterator<Item = PartId>,
    ) -> Vec<PartKey> {
        let keys = parts.take(MAX_PARTS_PER_REQUEST).map(|part| PartKey { part, service });
        keys.filter(|key| {
            self.answered.insert(*key, now);
            self.limit_answered(now);
            self.disprove(*key, now)
        })
        .collect()
    }

    /// Clears a part at all services, for an operator. Returns whether anything was held against it.
    pub(crate) fn release(&mut self, now: EpochTime, part: PartId) -> bool {
        let keys: Vec<_> = self.cases_of(part).map(|(key, _)| *key).collect();
        keys.into_iter().filter(|key| self.disprove(*key, now)).count() > 0
    }

    /// Removes the crashes that a response at `at` disproves, if there are any.
    fn disprove(&mut self, key: PartKey, at: EpochTime) -> bool {
        let Some(case) = self.cases.get(&key) else { return false };
        let mut disproved = case.clone();
        if !disproved.record_answer(at) {
            return false;
        }
        self.replace(key, disproved);
        self.unsent.insert(key);
        true
    }

    /// Merges what another box knows about a part. Returns whether that changed what is known here.
    pub(crate) fn merge(&mut self, key: PartKey, reported: &PartCase) -> bool {
        let before = self.cases.get(&key).cloned().unwrap_or_default();
        let mut merged = before.clone();
        merged.merge(reported);
        let has_changed = before.crashes != merged.crashes
            || is_much_newer(merged.answered_at, before.answered_at);
        if before != merged {
            self.replace(key, merged);
        }
        self.report_own_answer(key);
        self.evict_oldest();
        // It may have been evicted itself.
        has_changed && self.cases.contains_key(&key)
    }

    /// Adds this box's own response to a case, if that says more than what is known.
    fn report_own_answer(&mut self, key: PartKey) {
        let (Some(case), Some(at)) = (self.cases.get(&key), self.answered.get(&key)) else {
            return;
        };
        if case.crashes.is_empty() {
            return;
        }
        let mut with_answer = case.clone();
        let disproves = with_answer.record_answer(*at);
        if disproves || is_much_newer(with_answer.answered_at, case.answered_at) {
            self.replace(key, with_answer);
            self.unsent.insert(key);
        }
    }

    /// What is held against the parts of a request to a service.
    pub(crate) fn verdict(
        &self,
        now: EpochTime,
        service: ServiceHash,
        parts: &[PartId],
    ) -> PartVerdict {
        let mut is_suspected = false;
        for part in parts.iter().take(MAX_PARTS_PER_REQUEST) {
            let key = PartKey { part: *part, service };
            let Some(case) = self.cases.get(&key) else { continue };
            let unexplained: Vec<_> = self.unexplained(key, case, parts).collect();
            let needed = self.crashes_needed(now, key);
            let hold = case.hold(unexplained.iter().copied(), needed);
            if hold.is_some_and(|hold| now <= hold.until) {
                return PartVerdict::Condemned(key);
            }
            is_suspected |= !unexplained.is_empty();
        }
        if is_suspected { PartVerdict::Suspected } else { PartVerdict::Sound }
    }

    /// What is held against a part if no other part explains its crashes.
    pub(crate) fn verdict_on(&self, now: EpochTime, key: PartKey) -> PartVerdict {
        let Some(case) = self.cases.get(&key) else { return PartVerdict::Sound };
        let hold = case.hold(case.crashes.values(), self.crashes_needed(now, key));
        match hold {
            Some(hold) if now <= hold.until => PartVerdict::Condemned(key),
            _ if case.crashes.is_empty() => PartVerdict::Sound,
            _ => PartVerdict::Suspected,
        }
    }

    /// The crashes in a case that no other part explains, one that is not in `parts`.
    fn unexplained<'a>(
        &'a self,
        key: PartKey,
        case: &'a PartCase,
        parts: &'a [PartId],
    ) -> impl Iterator<Item = &'a PartCrash> {
        let strength = case.crashes.len().min(CRASHES_TO_HOLD);
        let is_as_likely = move |other: &PartCase| {
            let responded_to = other.answered_at.is_some() && case.answered_at.is_none();
            other.crashes.len() >= strength && !responded_to
        };
        let explains = move |other: &PartKey| {
            let is_elsewhere = *other != key && !parts.contains(&other.part);
            is_elsewhere && self.cases.get(other).is_some_and(is_as_likely)
        };
        let is_unexplained = move |(endpoint, _): &(&Incarnation, &PartCrash)| {
            self.by_crash.get(endpoint).is_none_or(|others| !others.iter().any(explains))
        };
        case.crashes.iter().filter(is_unexplained).map(|(_, crash)| crash)
    }

    /// Number of crashes that hold back a part: one if it is held back at another service.
    fn crashes_needed(&self, now: EpochTime, key: PartKey) -> usize {
        let is_held = |case: &PartCase| {
            let hold = case.hold(case.crashes.values(), CRASHES_TO_HOLD);
            hold.is_some_and(|hold| now <= hold.until)
        };
        let mut elsewhere = self.cases_of(key.part).filter(|(other, _)| **other != key);
        if elsewhere.any(|(_, case)| is_held(case)) { 1 } else { CRASHES_TO_HOLD }
    }

    fn cases_of(&self, part: PartId) -> impl Iterator<Item = (&PartKey, &PartCase)> {
        let first = PartKey { part, service: ServiceHash::MIN };
        let last = PartKey { part, service: ServiceHash::MAX };
        self.cases.range(first..=last)
    }

    /// Takes the cases that this box has changed since the last call.
    pub(crate) fn take_updates(&mut self) -> Vec<(PartKey, PartCase)> {
        let unsent = std::mem::take(&mut self.unsent);
        let case = |key| self.cases.get(&key).map(|case| (key, case.clone()));
        unsent.into_iter().filter_map(case).collect()
    }

    pub(crate) fn remove_expired(&mut self, now: EpochTime) {
        if now < self.next_removal {
            return;
        }
        self.next_removal = now + REMOVAL_INTERVAL;
        let expired = self.cases.iter().filter(|(_, case)| now >= case.expires_at());
        let expired: Vec<_> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.remove(key);
        }
    }

    fn replace(&mut self, key: PartKey, case: PartCase) {
        self.remove(key);
        for endpoint in case.crashes.keys() {
            self.by_crash.entry(endpoint.clone()).or_default().insert(key);
        }
        self.cases.insert(key, case);
    }

    fn remove(&mut self, key: PartKey) {
        let Some(case) = self.cases.remove(&key) else { return };
        for endpoint in case.crashes.keys() {
            let Some(keys) = self.by_crash.get_mut(endpoint) else { continue };
            keys.remove(&key);
            if keys.is_empty() {
                self.by_crash.remove(endpoint);
            }
        }
    }

    /// Evicts cases beyond the maximum: those without crashes first, then those that expire first.
    fn evict_oldest(&mut self) {
        while self.cases.len() > MAX_CASES {
            let order = |case: &PartCase| (!case.crashes.is_empty(), case.expires_at());
            let oldest = self.cases.iter().min_by_key(|(_, case)| order(case));
            let Some(key) = oldest.map(|(key, _)| *key) else { return };
            self.remove(key);
        }
    }

    /// Forgets responses beyond the maximum: the old ones; if there are still too many, those that
    /// disprove nothing any more, and then all.
    fn limit_answered(&mut self, now: EpochTime) {
        for retention in [ANSWER_RETENTION, ANSWER_VALIDITY, Duration::ZERO] {
            if self.answered.len() > MAX_ANSWERED {
                self.answered.retain(|_, at| now < *at + retention);
            }
        }
    }
}

/// Whether a response is so much newer than the last one known that other boxes are told.
fn is_much_newer(at: Option<EpochTime>, known: Option<EpochTime>) -> bool {
    match (at, known) {
        (Some(at), Some(known)) => at >= known + ANSWER_UPDATE_INTERVAL,
        (at, None) => at.is_some(),
        (None, Some(_)) => false,
    }
}

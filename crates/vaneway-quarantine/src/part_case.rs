//! The evidence against one part of prompts, and when requests with it may run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::EpochTime;
use crate::Fingerprint;
use crate::Incarnation;

/// Crashes, at different moments, that hold back a part. Requests of one caller crash two endpoints
/// each, so two would often be those of a single request.
pub(crate) const CRASHES_TO_HOLD: usize = 3;

/// Different requests with the part that must have run at these crashes: those of a single one are
/// held against that request alone.
const REQUESTS_TO_HOLD: usize = 2;

/// Time within which crashes count as one moment: endpoints with a common cause exit together.
const MOMENT: Duration = Duration::from_millis(25);

/// How long a response to a request with the part disproves later crashes: the time in which the
/// requests of a busy part meet their responses.
pub(crate) const ANSWER_VALIDITY: Duration = Duration::from_secs(2);

/// How long a box remembers a response that nobody has asked for.
pub(crate) const ANSWER_RETENTION: Duration = Duration::from_mins(1);

/// How long a crash counts, and a case without a hold is kept.
const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// First hold of a part that has never been responded to.
const FIRST_HOLD: Duration = Duration::from_mins(10);

/// First hold of a part that has been responded to shortly before: where hardly any endpoint is left,
/// busy sound parts are in many crashes.
const FIRST_HOLD_AFTER_RESPONSE: Duration = Duration::from_secs(2);

/// Factor by which a hold grows if a crash follows the one before.
const HOLD_GROWTH: u32 = 8;

/// Longest hold.
const MAX_HOLD: Duration = Duration::from_hours(24);

/// Maximum number of crashes in a case.
const MAX_CRASHES: usize = 16;

/// A crash during a request with the part that had not been responded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// When a box first noticed it.
    pub at: EpochTime,
    /// One of the requests with the part that were running.
    pub fingerprint: Fingerprint,
}

/// The evidence against one part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCase {
    /// Endpoints that crashed, none of them disproved by a response.
    pub crashes: BTreeMap<Incarnation, PartCrash>,
    /// When a request with the part was last known to be responded to.
    pub answered_at: Option<EpochTime>,
}

/// A span in which no request with the part may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) until: EpochTime,
    pub(crate) duration: Duration,
}

impl Hold {
    fn new(from: EpochTime, duration: Duration) -> Self {
        Self { until: from + duration, duration }
    }

    /// The hold that follows if the part crashes an endpoint after this one.
    fn renewed(self, at: EpochTime) -> Self {
        Self::new(at, (self.duration * HOLD_GROWTH).min(MAX_HOLD))
    }
}

/// Crashes that count towards the first hold.
#[derive(Default)]
struct Count {
    moments: usize,
    requests: BTreeSet<Fingerprint>,
    last: Option<EpochTime>,
}

impl Count {
    fn add(&mut self, crash: &PartCrash) {
        if self.last.is_some_and(|last| crash.at > last + CRASH_RETENTION) {
            *self = Self::default();
        }
        self.requests.insert(crash.fingerprint);
        if self.last.is_none_or(|last| crash.at > last + MOMENT) {
            self.moments += 1;
            self.last = Some(crash.at);
        }
    }

    fn suffices(&self, crashes_needed: usize) -> bool {
        let requests_needed = REQUESTS_TO_HOLD.min(crashes_needed);
        self.moments >= crashes_needed && self.requests.len() >= requests_needed
    }
}

impl PartCase {
    /// Merges what another box knows.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.answered_at = self.answered_at.max(other.answered_at);
        for (endpoint, crash) in &other.crashes {
            let known = self.crashes.entry(endpoint.clone()).or_insert(*crash);
            known.at = known.at.min(crash.at);
            known.fingerprint = known.fingerprint.min(crash.fingerprint);
        }
        self.remove_disproved();
        self.remove_beyond_maximum();
    }

    /// Records that a request with the part was responded to. Returns whether that disproves a
    /// crash.
    pub(crate) fn record_answer(&mut self, at: EpochTime) -> bool {
        self.answered_at = self.answered_at.max(Some(at));
        let before = self.crashes.len();
        self.remove_disproved();
        self.crashes.len() < before
    }

    fn remove_disproved(&mut self) {
        if let Some(answered_at) = self.answered_at {
            self.crashes.retain(|_, crash| crash.at > answered_at + ANSWER_VALIDITY);
        }
    }

    /// Removes crashes beyond the maximum: not those that led to the hold, nor the newest.
    fn remove_beyond_maximum(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let mut by_time: Vec<_> = self.crashes.iter().collect();
            by_time.sort_by_key(|(endpoint, crash)| (crash.at, *endpoint));
            let (removed, _) = by_time[CRASHES_TO_HOLD];
            let removed = removed.clone();
            self.crashes.remove(&removed);
        }
    }

    /// The last hold that follows from `crashes`, of this case, if that many are needed for the
    /// first.
    pub(crate) fn hold<'a>(
        &self,
        crashes: impl Iterator<Item = &'a PartCrash>,
        crashes_needed: usize,
    ) -> Option<Hold> {
        let first = if self.answered_at.is_some() { FIRST_HOLD_AFTER_RESPONSE } else { FIRST_HOLD };
        let mut by_time: Vec<_> = crashes.collect();
        by_time.sort_by_key(|crash| (crash.at, crash.fingerprint));
        let mut count = Count::default();
        let mut hold: Option<Hold> = None;
        for crash in by_time {
            hold = match hold {
                Some(hold) if crash.at <= hold.until => Some(hold),
                Some(hold) => Some(hold.renewed(crash.at)),
                None => {
                    count.add(crash);
                    count.suffices(crashes_needed).then(|| Hold::new(crash.at, first))
                }
            };
        }
        hold
    }

    /// When the case expires. After a hold, one more crash renews it, for as long as it lasted.
    pub(crate) fn expires_at(&self) -> EpochTime {
        let last_crash = self.crashes.values().map(|crash| crash.at + CRASH_RETENTION).max();
        // A box that was cut off may still hold what the response has disproved.
        let answer = self.answered_at.map(|at| at + FIRST_HOLD);
        let hold = self.hold(self.crashes.values(), CRASHES_TO_HOLD);
        let hold = hold.map(|hold| hold.until + hold.duration);
        last_crash.max(answer).max(hold).unwrap_or_default()
    }
}

//! Finds the requests and the parts of prompts that crash the endpoints running them, across all
//! boxes, without I/O.
//!
//! A request can crash whatever runs it. Its box then retries it on another endpoint and its caller
//! sends it again through another box, and each attempt costs an endpoint together with everything
//! that runs there. A single crash doesn't show which of the requests on that endpoint caused it.
//!
//! Data flow: a box reports to its [`Quarantine`] which of its requests was running when an
//! endpoint crashed ([`Quarantine::record_crash`]) and which requests received a complete response
//! ([`Quarantine::clear`]). [`Quarantine::take_updates`] returns the [`QuarantineRecord`]s to send
//! to other boxes, and [`Quarantine::merge`] merges those of other boxes.
//!
//! The evidence against a request is the set of endpoint incarnations that crashed while running
//! it: an endpoint that restarts under the same name and crashes again counts again. A crash is
//! counted unless
//!
//! - the endpoint had already sent events of the response, so processing the prompt did no harm;
//! - it has a common cause with others: several endpoints that exit at the same moment.
//!
//! The second counted crash condemns the request, and so does the third crash of any kind. A
//! request of one caller can therefore crash at most three endpoints, over all attempts through
//! boxes that receive each other's records. Copies that other callers send at the same time may
//! crash more before their boxes receive the records. An innocent request is condemned only if its
//! prompt was being processed during two unrelated crashes. A request that receives a complete
//! and successful response is cleared.
//!
//! Requests that are never alike may share a part of their prompts that crashes endpoints; the
//! evidence against parts is apart from that against requests (`parts`).
//!
//! Records are merged by cluster time, so they may be lost, repeated or reordered: the worst
//! verdict holds until a later clearance. Every record that changes something is forwarded, so a
//! box must treat each record as new only once; a record that would expire at once is not merged.

mod incarnation;
mod part_case;
mod parts;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use crate::incarnation::Incarnation;
pub use crate::part_case::PartCase;
pub use crate::part_case::PartCrash;
pub use crate::parts::PartId;
pub use crate::parts::PartKey;
use crate::parts::PartLedger;
pub use crate::parts::PartVerdict;
pub use crate::parts::ServiceHash;

/// Identifies a request by its content, so that it is recognised when its caller sends it again.
pub type Fingerprint = u64;

/// Time since the Unix epoch by the cluster's clock.
pub type EpochTime = Duration;

/// Counted crashes that condemn a request. With one, most requests that run beside the one to blame
/// would be condemned too.
const COUNTED_CRASHES_TO_CONDEMN: usize = 2;

/// Crashes of any kind that condemn a request: the number that operators accept for one request.
const CRASHES_TO_CONDEMN: usize = 3;

/// Number of endpoints exiting at the same moment from which on a common cause is assumed. Where
/// ten endpoints per second exit independently, one exit in 70 coincides with three others, and one
/// in 11 with two others.
const MIN_COMMON_CAUSE_EXITS: usize = 4;

/// Longest time between the observed exits of endpoints with a common cause: the time in which a
/// box with a tenth of a CPU core gets its scheduling turn.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(25);

/// How long a suspicion and the exit of an endpoint stay valid: callers retry within their
/// deadlines, some tens of seconds.
const SUSPICION_RETENTION: Duration = Duration::from_mins(1);

/// How long a condemnation stays valid, and a clearance, which may have ended one that a box which
/// was cut off still holds. A caller that keeps sending such a request crashes two more
/// endpoints each time the condemnation expires. An operator can release the request earlier.
const CONDEMNATION_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of cases; the oldest are evicted. A crash of a third of a large fleet creates
/// about a thousand.
const MAX_CASES: usize = 4_096;

/// How far a request had progressed when its endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Progress {
    /// No part of the response had arrived: the prompt was being processed.
    Reading,
    /// Part of the response had arrived.
    Answering,
}

impl Progress {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Answering => "answering",
        }
    }
}

/// Conclusion about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// It received a complete and successful response, or an operator released it.
    Cleared,
    /// An endpoint crashed while running it.
    Suspected,
    /// It crashes endpoints and must not run again.
    Condemned,
}

impl Verdict {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cleared => "cleared",
            Self::Suspected => "suspected",
            Self::Condemned => "condemned",
        }
    }

    /// How long the verdict stays valid.
    fn retention(self) -> Duration {
        match self {
            Self::Suspected => SUSPICION_RETENTION,
            Self::Cleared | Self::Condemned => CONDEMNATION_RETENTION,
        }
    }
}

/// The evidence against one request, and the verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Endpoints that crashed while running it, with its progress at each.
    pub crashes: BTreeMap<Incarnation, Progress>,
    /// The conclusion from the evidence.
    pub verdict: Verdict,
    /// When the verdict was last changed or confirmed.
    pub at: EpochTime,
}

/// A record that boxes exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineRecord {
    /// An endpoint has exited, whether or not it ran a request.
    EndpointExited {
        /// The endpoint.
        endpoint: Incarnation,
        /// When a box first noticed it.
        at: EpochTime,
    },
    /// The case of a request.
    Case {
        /// The request.
        fingerprint: Fingerprint,
        /// The evidence and the verdict.
        case: Case,
    },
    /// The evidence against a part of prompts.
    Part {
        /// The part.
        key: PartKey,
        /// The evidence.
        case: PartCase,
    },
}

impl Case {
    /// Whether the verdict has not expired.
    fn is_valid(&self, now: EpochTime) -> bool {
        now < self.at + self.verdict.retention()
    }
}

impl QuarantineRecord {
    /// Whether the record has not expired.
    fn is_valid(&self, now: EpochTime) -> bool {
        match self {
            Self::EndpointExited { at, .. } => is_exit_valid(now, *at),
            Self::Case { case, .. } => case.is_valid(now),
            Self::Part { case, .. } => now < case.expires_at(),
        }
    }
}

/// Whether the exit of an endpoint that was noticed at `at` has not expired.
fn is_exit_valid(now: EpochTime, at: EpochTime) -> bool {
    now < at + SUSPICION_RETENTION
}

/// What one box knows about requests that may crash endpoints.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    cases: BTreeMap<Fingerprint, Case>,
    /// Endpoints that have exited, and when that was first noticed.
    exits: BTreeMap<Incarnation, EpochTime>,
    parts: PartLedger,
    /// Records of this box that have not been returned for sending yet.
    unsent: Vec<QuarantineRecord>,
}

impl Quarantine {
    /// Whether there are no cases, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// The verdict on a request, if it has a case.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Option<Verdict> {
        self.cases.get(&fingerprint).map(|case| case.verdict)
    }

    /// All cases, by request.
    pub fn cases(&self) -> &BTreeMap<Fingerprint, Case> {
        &self.cases
    }

    /// Whether nothing is held against any part of prompts, so that none needs to be looked up.
    pub fn has_no_parts(&self) -> bool {
        self.parts.is_empty()
    }

    /// The evidence against parts of prompts.
    pub fn part_cases(&self) -> &BTreeMap<PartKey, PartCase> {
        self.parts.cases()
    }

    /// What is held against `parts`, which a request to `service` shares with others.
    pub fn part_verdict(
        &self,
        now: EpochTime,
        service: ServiceHash,
        parts: &[PartId],
    ) -> PartVerdict {
        self.parts.verdict(now, service, parts)
    }

    /// What is held against a part of prompts if no other part explains its crashes.
    pub fn verdict_on_part(&self, now: EpochTime, key: PartKey) -> PartVerdict {
        self.parts.verdict_on(now, key)
    }

    /// Records that an endpoint of `service` crashed while it ran a request with `parts`, which it
    /// had not begun to respond to, or just before.
    pub fn record_crash_with_parts(
        &mut self,
        now: EpochTime,
        endpoint: &Incarnation,
        fingerprint: Fingerprint,
        service: ServiceHash,
        parts: &[PartId],
    ) {
        self.remove_expired(now);
        let at = self.exits.get(endpoint).map_or(now, |known| now.min(*known));
        let crash = PartCrash { at, fingerprint };
        self.parts.record_crash(endpoint, crash, service, parts.iter().copied());
    }

    /// Records that an endpoint of `service` responds to a request with `parts`, and has survived
    /// beginning to. Returns the parts of which that disproves crashes.
    pub fn record_answer(
        &mut self,
        now: EpochTime,
        service: ServiceHash,
        parts: &[PartId],
    ) -> Vec<PartKey> {
        self.parts.record_answer(now, service, parts.iter().copied())
    }

    /// Clears a part of prompts at all services, for an operator. Returns whether anything was held
    /// against it.
    pub fn release_part(&mut self, now: EpochTime, part: PartId) -> bool {
        self.parts.release(now, part)
    }

    /// Number of crashes in the case of a request that are not counted because they have a common
    /// cause with others.
    pub fn common_cause_crashes(&self, fingerprint: Fingerprint) -> usize {
        let Some(case) = self.cases.get(&fingerprint) else { return 0 };
        case.crashes.keys().filter(|endpoint| self.has_common_cause(endpoint)).count()
    }

    /// Records that the last endpoint of `crashes` crashed while running a request of this box; the
    /// others crashed while running it earlier. Returns the verdict on the request.
    pub fn record_crash(
        &mut self,
        now: EpochTime,
        fingerprint: Fingerprint,
        crashes: &[(Incarnation, Progress)],
    ) -> Verdict {
        if let Some((endpoint, _)) = crashes.last() {
            self.record_exit(now, endpoint);
        }
        let reported = Case {
            crashes: crashes.iter().cloned().collect(),
            verdict: Verdict::Suspected,
            at: now,
        };
        self.merge_case(fingerprint, &reported);
        self.queue_case(fingerprint);
        self.verdict(fingerprint).unwrap_or(Verdict::Suspected)
    }

    /// Records that an endpoint has exited, whether or not it ran a request.
    pub fn record_exit(&mut self, now: EpochTime, endpoint: &Incarnation) {
        self.remove_expired(now);
        if self.merge_exit(endpoint, now) {
            self.unsent
                .push(QuarantineRecord::EndpointExited { endpoint: endpoint.clone(), at: now });
        }
    }

    /// Clears a request that received a complete and successful response, or that an operator
    /// releases. Returns whether it was suspected or condemned.
    pub fn clear(&mut self, now: EpochTime, fingerprint: Fingerprint) -> bool {
        let Some(case) = self.cases.get(&fingerprint) else { return false };
        if case.verdict == Verdict::Cleared {
            return false;
        }
        // Later than the verdict that it clears, even if the clock of the box that reported it is
        // ahead.
        let at = now.max(case.at + Duration::from_micros(1));
        let cleared = Case { crashes: BTreeMap::new(), verdict: Verdict::Cleared, at };
        self.merge_case(fingerprint, &cleared);
        self.queue_case(fingerprint);
        true
    }

    /// Merges the records of other boxes and returns those that changed something here.
    pub fn merge(&mut self, now: EpochTime, records: &[QuarantineRecord]) -> Vec<QuarantineRecord> {
        self.remove_expired(now);
        let unexpired = records.iter().filter(|record| record.is_valid(now));
        let changed = unexpired.filter(|record| match record {
            QuarantineRecord::EndpointExited { endpoint, at } => self.merge_exit(endpoint, *at),
            QuarantineRecord::Case { fingerprint, case } => self.merge_case(*fingerprint, case),
            QuarantineRecord::Part { key, case } => self.parts.merge(*key, case),
        });
        changed.cloned().collect()
    }

    /// Takes the records that this box created since the last call.
    pub fn take_updates(&mut self) -> Vec<QuarantineRecord> {
        let mut records = std::mem::take(&mut self.unsent);
        let parts = self.parts.take_updates().into_iter();
        records.extend(parts.map(|(key, case)| QuarantineRecord::Part { key, case }));
        records
    }

    /// All records that have not expired, for a box that has none yet.
    pub fn valid_records(&self, now: EpochTime) -> Vec<QuarantineRecord> {
        let exits = self.exits.iter().map(|(endpoint, at)| QuarantineRecord::EndpointExited {
            endpoint: endpoint.clone(),
            at: *at,
        });
        let cases = self.cases.iter().map(|(fingerprint, case)| QuarantineRecord::Case {
            fingerprint: *fingerprint,
            case: case.clone(),
        });
        let parts = self.parts.cases().iter();
        let parts =
            parts.map(|(key, case)| QuarantineRecord::Part { key: *key, case: case.clone() });
        exits.chain(cases).chain(parts).filter(|record| record.is_valid(now)).collect()
    }

    /// Merges the time at which an endpoint exited. Returns whether that is new or earlier than
    /// recorded.
    fn merge_exit(&mut self, endpoint: &Incarnation, at: EpochTime) -> bool {
        match self.exits.get_mut(endpoint) {
            Some(known) if *known <= at => false,
            Some(known) => {
                *known = at;
                true
            }
            None => {
                self.exits.insert(endpoint.clone(), at);
                true
            }
        }
    }

    /// Merges a reported case of a request. Returns whether the recorded case changed.
    fn merge_case(&mut self, fingerprint: Fingerprint, reported: &Case) -> bool {
        let before = self.cases.get(&fingerprint);
        let merged = merge_cases(before, reported);
        if before == Some(&merged) {
            return false;
        }
        let merged = Case { verdict: self.determine_verdict(&merged), ..merged };
        self.cases.insert(fingerprint, merged);
        self.evict_oldest();
        // It may have been evicted itself.
        self.cases.contains_key(&fingerprint)
    }

    fn determine_verdict(&self, case: &Case) -> Verdict {
        let counts = |(endpoint, progress): &(&Incarnation, &Progress)| {
            **progress == Progress::Reading && !self.has_common_cause(endpoint)
        };
        let counting = case.crashes.iter().filter(counts).count();
        if counting >= COUNTED_CRASHES_TO_CONDEMN || case.crashes.len() >= CRASHES_TO_CONDEMN {
            return Verdict::Condemned;
        }
        case.verdict
    }

    /// Whether several other endpoints exited at the same moment as this one.
    fn has_common_cause(&self, endpoint: &Incarnation) -> bool {
        let Some(at) = self.exits.get(endpoint) else { return false };
        let together =
            self.exits.values().filter(|other| other.abs_diff(*at) <= COMMON_CAUSE_WINDOW);
        together.count() >= MIN_COMMON_CAUSE_EXITS
    }

    fn queue_case(&mut self, fingerprint: Fingerprint) {
        if let Some(case) = self.cases.get(&fingerprint) {
            self.unsent.push(QuarantineRecord::Case { fingerprint, case: case.clone() });
        }
    }

    fn remove_expired(&mut self, now: EpochTime) {
        self.cases.retain(|_, case| case.is_valid(now));
        self.exits.retain(|_, at| is_exit_valid(now, *at));
        self.parts.remove_expired(now);
    }

    /// Evicts the oldest cases beyond the maximum, those that are not condemned first.
    fn evict_oldest(&mut self) {
        while self.cases.len() > MAX_CASES {
            let order = |case: &Case| (case.verdict == Verdict::Condemned, case.at);
            let oldest = self.cases.iter().min_by_key(|(_, case)| order(case));
            let Some((fingerprint, _)) = oldest else { return };
            let fingerprint = *fingerprint;
            self.cases.remove(&fingerprint);
        }
    }
}

/// Merges the cases that two sources have of one request.
fn merge_cases(before: Option<&Case>, reported: &Case) -> Case {
    let Some(before) = before else { return reported.clone() };
    // Of two verdicts at the same time the worse one counts as the later, whichever arrived first.
    let order = |case: &Case| (case.at, case.verdict);
    let (older, newer) =
        if order(reported) < order(before) { (reported, before) } else { (before, reported) };
    if newer.verdict == Verdict::Cleared || older.verdict == Verdict::Cleared {
        return newer.clone();
    }
    let mut crashes = older.crashes.clone();
    for (endpoint, progress) in &newer.crashes {
        let known = crashes.entry(endpoint.clone()).or_insert(*progress);
        *known = (*known).min(*progress);
    }
    Case { crashes, verdict: older.verdict.max(newer.verdict), at: newer.at }
}

//! Requests under which endpoints end: suspected, condemned and cleared over all boxes, without I/O.
//!
//! Why: a request can make whatever runs it crash. Its box sends it to another endpoint, its caller sends it to
//! another box, and each time an endpoint is lost with all that runs there. Nobody who sees one crash can tell
//! which of the requests that ran there is to blame.
//!
//! Data flow: a box tells its [`Quarantine`] under which of its requests an endpoint ended
//! ([`Quarantine::record_crash`]) and which are answered whole ([`Quarantine::clear`]). What others have to know
//! comes out as [`QuarantineRecord`]s ([`Quarantine::take_updates`]), and what they found goes in by [`Quarantine::merge`].
//!
//! The evidence against a request is the set of endpoints that ended under it; one that starts again under its name and ends
//! again counts again. An end counts unless
//!
//! - events of its answer had come from there: its prompt was read without harm;
//! - it has a common cause with others: several endpoints that end at the same moment.
//!
//! The second end that counts condemns, and the third of any kind: so three endpoints are the most that a caller's
//! request can end over all its tries at boxes that hear of each other. Copies that other callers send at the same time may
//! end more before their boxes hear of it. An innocent request is condemned only if its prompt was being read at
//! two unrelated crashes. A request that is answered whole and with success is cleared.
//!
//! Findings are merged by the cluster's time, so they may be lost, repeated and reordered: the worst verdict counts
//! until a later clearance. What is merged is told on, so a finding is news once at a box: one that would be forgotten at
//! once is not learned.

mod incarnation;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use crate::incarnation::Incarnation;

/// Names a request by its content, so that it is known again when its caller sends it once more.
pub type Fingerprint = u64;

/// Time since 1970 by the cluster's clock.
pub type Time = Duration;

/// Ends that count after which a request is condemned: with one, most of those beside it would be.
const ENDS_THAT_COUNT: usize = 2;

/// Ends of any kind after which a request is condemned: what operators allow one request.
const ENDS_MOST: usize = 3;

/// Endpoints that end at the same moment from which on they have a common cause. Where ten a second end, each for
/// its own cause, an end falls together with three others in one of seventy cases, and with two in one of eleven.
const COMMON_LEAST: usize = 4;

/// How far apart ends of a common cause are seen: the time in which a box with a tenth of a core takes its turn.
const COMMON_WITHIN: Duration = Duration::from_millis(25);

/// How long a suspicion, a clearance and the end of an endpoint count: callers come again within their deadlines, some
/// tens of seconds.
const SUSPICION_KEPT: Duration = Duration::from_mins(1);

/// How long a condemnation counts. A caller that goes on sending such a request ends two more endpoints each time that
/// it is forgotten; an operator can release it before.
const CONDEMNATION_KEPT: Duration = Duration::from_mins(10);

/// Cases that are kept at most; the oldest give way. A crash of a third of a large fleet makes some thousand.
const CASES_MOST: usize = 4_096;

/// How far a request was when its endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Progress {
    /// Nothing of its answer had come.
    Reading,
    /// Part of its answer had come.
    Answering,
}

impl Progress {
    /// The progress's name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Answering => "answering",
        }
    }
}

/// What is held of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// It was answered whole and with success, or an operator released it.
    Cleared,
    /// An endpoint ended under it.
    Suspected,
    /// It ends endpoints, and may not run again.
    Condemned,
}

impl Verdict {
    /// The verdict's name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cleared => "cleared",
            Self::Suspected => "suspected",
            Self::Condemned => "condemned",
        }
    }

    /// How long it counts.
    fn kept(self) -> Duration {
        match self {
            Self::Cleared | Self::Suspected => SUSPICION_KEPT,
            Self::Condemned => CONDEMNATION_KEPT,
        }
    }
}

/// What is known of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Endpoints that ended under it, and how far it was there.
    pub ends: BTreeMap<Incarnation, Progress>,
    /// What follows from that.
    pub verdict: Verdict,
    /// When the verdict was last changed or confirmed.
    pub at: Time,
}

/// What boxes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineRecord {
    /// An endpoint has ended.
    EndpointEnded {
        /// The endpoint.
        endpoint: Incarnation,
        /// When the first box saw it.
        at: Time,
    },
    /// What is known of a request.
    Case {
        /// The request.
        fingerprint: Fingerprint,
        /// What is known.
        case: Case,
    },
}

impl Case {
    /// Whether it counts still.
    fn counts(&self, now: Time) -> bool {
        now < self.at + self.verdict.kept()
    }
}

impl QuarantineRecord {
    /// Whether it counts still.
    fn counts(&self, now: Time) -> bool {
        match self {
            Self::EndpointEnded { at, .. } => end_counts(now, *at),
            Self::Case { case, .. } => case.counts(now),
        }
    }
}

/// Whether an endpoint's end counts still that was seen at `at`.
fn end_counts(now: Time, at: Time) -> bool {
    now < at + SUSPICION_KEPT
}

/// What one box knows of requests that may end endpoints.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    cases: BTreeMap<Fingerprint, Case>,
    /// Endpoints that have ended, and when that was seen first.
    ended: BTreeMap<Incarnation, Time>,
    news: Vec<QuarantineRecord>,
}

impl Quarantine {
    /// Whether nothing is held against any request, so that none needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// What is held of a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Option<Verdict> {
        self.cases.get(&fingerprint).map(|case| case.verdict)
    }

    /// All that is held, by request.
    pub fn cases(&self) -> &BTreeMap<Fingerprint, Case> {
        &self.cases
    }

    /// Learns that an endpoint ended under a request of this box, the last of `ends`; the others ended
    /// under it before. Returns what follows for the request.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        ends: &[(Incarnation, Progress)],
    ) -> Verdict {
        if let Some((endpoint, _)) = ends.last() {
            self.record_exit(now, endpoint);
        }
        let told =
            Case { ends: ends.iter().cloned().collect(), verdict: Verdict::Suspected, at: now };
        self.add(fingerprint, &told);
        self.tell(fingerprint);
        self.verdict(fingerprint).unwrap_or(Verdict::Suspected)
    }

    /// Learns that an endpoint has ended, whether or not it ran anything.
    pub fn record_exit(&mut self, now: Time, endpoint: &Incarnation) {
        self.forget(now);
        if self.note_end(endpoint, now) {
            self.news.push(QuarantineRecord::EndpointEnded { endpoint: endpoint.clone(), at: now });
        }
    }

    /// Learns that a request was answered whole and with success, or that an operator releases it; true if it was held for
    /// something.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let Some(case) = self.cases.get(&fingerprint) else { return false };
        if case.verdict == Verdict::Cleared {
            return false;
        }
        // Later than what it clears, also where the clock of whoever told that is ahead.
        let at = now.max(case.at + Duration::from_micros(1));
        let cleared = Case { ends: BTreeMap::new(), verdict: Verdict::Cleared, at };
        self.add(fingerprint, &cleared);
        self.tell(fingerprint);
        true
    }

    /// Learns what others found, and returns what of it was news here.
    pub fn merge(&mut self, now: Time, findings: &[QuarantineRecord]) -> Vec<QuarantineRecord> {
        self.forget(now);
        let counting = findings.iter().filter(|finding| finding.counts(now));
        let news = counting.filter(|finding| match finding {
            QuarantineRecord::EndpointEnded { endpoint, at } => self.note_end(endpoint, *at),
            QuarantineRecord::Case { fingerprint, case } => self.add(*fingerprint, case),
        });
        news.cloned().collect()
    }

    /// What this box found since this was last asked.
    pub fn take_updates(&mut self) -> Vec<QuarantineRecord> {
        std::mem::take(&mut self.news)
    }

    /// All that counts, for a box that knows nothing.
    pub fn valid_records(&self, now: Time) -> Vec<QuarantineRecord> {
        let ended = self.ended.iter().map(|(endpoint, at)| QuarantineRecord::EndpointEnded {
            endpoint: endpoint.clone(),
            at: *at,
        });
        let cases = self.cases.iter().map(|(fingerprint, case)| QuarantineRecord::Case {
            fingerprint: *fingerprint,
            case: case.clone(),
        });
        ended.chain(cases).filter(|finding| finding.counts(now)).collect()
    }

    /// Notes when an endpoint ended; true if that is news.
    fn note_end(&mut self, endpoint: &Incarnation, at: Time) -> bool {
        match self.ended.get_mut(endpoint) {
            Some(known) if *known <= at => false,
            Some(known) => {
                *known = at;
                true
            }
            None => {
                self.ended.insert(endpoint.clone(), at);
                true
            }
        }
    }

    /// Adds what is known of a request; true if it changes what is known.
    fn add(&mut self, fingerprint: Fingerprint, told: &Case) -> bool {
        let before = self.cases.get(&fingerprint);
        let merged = merged(before, told);
        if before == Some(&merged) {
            return false;
        }
        let merged = Case { verdict: self.judge(&merged), ..merged };
        self.cases.insert(fingerprint, merged);
        self.drop_oldest();
        // It may have been the one to give way.
        self.cases.contains_key(&fingerprint)
    }

    fn judge(&self, case: &Case) -> Verdict {
        let counts = |(endpoint, progress): &(&Incarnation, &Progress)| {
            **progress == Progress::Reading && !self.has_common_cause(endpoint)
        };
        let counting = case.ends.iter().filter(counts).count();
        if counting >= ENDS_THAT_COUNT || case.ends.len() >= ENDS_MOST {
            return Verdict::Condemned;
        }
        case.verdict
    }

    /// Whether an endpoint ended at the same moment as several others.
    fn has_common_cause(&self, endpoint: &Incarnation) -> bool {
        let Some(at) = self.ended.get(endpoint) else { return false };
        let together = self.ended.values().filter(|other| other.abs_diff(*at) <= COMMON_WITHIN);
        together.count() >= COMMON_LEAST
    }

    fn tell(&mut self, fingerprint: Fingerprint) {
        if let Some(case) = self.cases.get(&fingerprint) {
            self.news.push(QuarantineRecord::Case { fingerprint, case: case.clone() });
        }
    }

    fn forget(&mut self, now: Time) {
        self.cases.retain(|_, case| case.counts(now));
        self.ended.retain(|_, at| end_counts(now, *at));
    }

    /// Keeps the number of cases bounded. Those that are not condemned give way first.
    fn drop_oldest(&mut self) {
        while self.cases.len() > CASES_MOST {
            let order = |case: &Case| (case.verdict == Verdict::Condemned, case.at);
            let oldest = self.cases.iter().min_by_key(|(_, case)| order(case));
            let Some((fingerprint, _)) = oldest else { return };
            let fingerprint = *fingerprint;
            self.cases.remove(&fingerprint);
        }
    }
}

/// What is known of a request by two sources.
fn merged(before: Option<&Case>, told: &Case) -> Case {
    let Some(before) = before else { return told.clone() };
    // Of two verdicts of the same moment the worse one counts as the later, whichever came first.
    let order = |case: &Case| (case.at, case.verdict);
    let (older, newer) = if order(told) < order(before) { (told, before) } else { (before, told) };
    if newer.verdict == Verdict::Cleared || older.verdict == Verdict::Cleared {
        return newer.clone();
    }
    let mut ends = older.ends.clone();
    for (endpoint, progress) in &newer.ends {
        let known = ends.entry(endpoint.clone()).or_insert(*progress);
        *known = (*known).min(*progress);
    }
    Case { ends, verdict: older.verdict.max(newer.verdict), at: newer.at }
}

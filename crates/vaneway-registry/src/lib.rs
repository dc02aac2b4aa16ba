//! Endpoints that register themselves by heartbeats, merged between boxes, without I/O.
//!
//! Why: nobody but the system keeps a list of endpoints. A heartbeat reaches one control box and
//! must be known at every box; boxes restart, are cut off and hear old heartbeats late. So what is
//! known of an endpoint is a value that only grows: reports may be lost, repeated and reordered,
//! and every box that has seen the same reports knows the same.
//!
//! Rules: an endpoint's standing goes from ready over draining to gone and never back, whatever a
//! later heartbeat says; within one standing the report with the higher sequence number wins; the
//! earliest announced end wins. An endpoint that starts again under its id is another incarnation, told apart by
//! when it was born: it knows nothing of the one before, no mark of that one hurts it, and what that one
//! said late changes nothing. Ids that are gone are remembered for long enough that a late heartbeat can't
//! revive them. A report of something that is remembered no longer is no news, so that what boxes tell each other ends.
//!
//! Times travel as ages and remaining times, since the boxes' clocks may differ.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Names an endpoint, whose incarnations share it.
pub type InstanceId = String;

/// When an incarnation of an endpoint started, in milliseconds since 1970; 0 if it was not told.
pub type StartMillis = u64;

/// How long an endpoint that is gone is remembered: far longer than a heartbeat can be late.
const GONE_KEPT: Duration = Duration::from_mins(10);

/// How long an endpoint that nobody hears of is remembered.
const SILENT_KEPT: Duration = Duration::from_mins(2);

/// Where an endpoint stands in its life.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Lifecycle {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Has said that it ends.
    Gone,
}

impl Lifecycle {
    /// The standing's name in logs and dumps.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests, as `IP:PORT`.
    pub address: std::net::SocketAddr,
    /// The availability zone that it stands in.
    pub availability_zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether the cloud may take its box back.
    pub reclaimable: bool,
}

/// One report about an endpoint, as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which endpoint.
    pub instance: InstanceId,
    /// Which incarnation of it.
    #[serde(default)]
    pub born: StartMillis,
    /// Number of the heartbeat, which rises; 0 for a report that came with no number.
    pub sequence: u64,
    /// Where it stands.
    #[serde(rename = "standing")]
    pub lifecycle: Lifecycle,
    /// Milliseconds until it ends, if it told.
    pub ends_in_ms: Option<u64>,
    /// Milliseconds since a box heard of it directly.
    pub age_ms: u64,
    /// What it says of itself; none if only its end is known.
    pub details: Option<Details>,
}

/// What one box knows of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The latest incarnation; all else is of it.
    pub born: StartMillis,
    /// Number of the newest heartbeat.
    pub sequence: u64,
    /// Where it stands.
    pub lifecycle: Lifecycle,
    /// When it ends, if it told.
    pub ends_at: Option<Instant>,
    /// When some box last heard of it directly.
    pub last_report_at: Instant,
    /// What it says of itself.
    pub details: Option<Details>,
}

/// What a report brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing new.
    Unchanged,
    /// It was heard of again.
    Refreshed,
    /// Something that others must know at once.
    Updated,
}

/// What one box knows of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    known: BTreeMap<InstanceId, EndpointRecord>,
}

impl Registry {
    /// Applies a report.
    pub fn merge(&mut self, now: Instant, report: &Report) -> Change {
        let last_report_at = now.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(now);
        let ends_at = report.ends_in_ms.map(|left| now + Duration::from_millis(left));
        if let Some(known) = self.known.get_mut(&report.instance)
            && !report.is_reborn(known)
        {
            return known.merge(report, last_report_at, ends_at);
        }
        if now.saturating_duration_since(last_report_at) >= kept(report.lifecycle) {
            // It would be forgotten at once, and be news again the next time.
            return Change::Unchanged;
        }
        let known = EndpointRecord {
            born: report.born,
            sequence: report.sequence,
            lifecycle: report.lifecycle,
            ends_at,
            last_report_at,
            details: report.details.clone(),
        };
        self.known.insert(report.instance.clone(), known);
        Change::Updated
    }

    /// Everything that is known.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &EndpointRecord)> {
        self.known.iter()
    }

    /// What is known of one endpoint.
    pub fn get(&self, instance: &str) -> Option<&EndpointRecord> {
        self.known.get(instance)
    }

    /// The incarnation of an endpoint that is known; 0 if none is, or it did not tell.
    pub fn born(&self, instance: &str) -> StartMillis {
        self.known.get(instance).map_or(0, |known| known.born)
    }

    /// How many endpoints are known, gone ones included.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// A report that tells another box what is known of `instance`.
    pub fn report(&self, now: Instant, instance: &str) -> Option<Report> {
        self.known.get(instance).map(|known| known.report(now, instance))
    }

    /// Reports of everything, for a box that knows nothing yet.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.known.iter().map(|(instance, known)| known.report(now, instance)).collect()
    }

    /// Forgets what can matter no more.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, known| {
            now.saturating_duration_since(known.last_report_at) < kept(known.lifecycle)
        });
    }
}

/// How long an endpoint is remembered of which nothing is heard.
fn kept(lifecycle: Lifecycle) -> Duration {
    match lifecycle {
        Lifecycle::Ready | Lifecycle::Draining => SILENT_KEPT,
        Lifecycle::Gone => GONE_KEPT,
    }
}

impl Report {
    /// Whether it is of a later incarnation than the one that is known. One that doesn't tell when it was
    /// born is taken for the one that is known.
    fn is_reborn(&self, known: &EndpointRecord) -> bool {
        known.born > 0 && self.born > known.born
    }
}

impl EndpointRecord {
    fn merge(
        &mut self,
        report: &Report,
        last_report_at: Instant,
        ends_at: Option<Instant>,
    ) -> Change {
        if report.born > 0 && report.born < self.born {
            return Change::Unchanged;
        }
        self.born = self.born.max(report.born);
        let refreshed = last_report_at > self.last_report_at;
        self.last_report_at = self.last_report_at.max(last_report_at);
        let mut news = false;
        if report.lifecycle > self.lifecycle {
            self.lifecycle = report.lifecycle;
            news = true;
        }
        if let Some(at) = ends_at
            && self.ends_at.is_none_or(|known| at + ENDS_TOLERANCE < known)
        {
            self.ends_at = Some(at);
            news = true;
        }
        let newer = report.sequence > self.sequence || self.details.is_none();
        self.sequence = self.sequence.max(report.sequence);
        if newer && report.details.is_some() && report.details != self.details {
            self.details.clone_from(&report.details);
            news = true;
        }
        match (news, refreshed) {
            (true, _) => Change::Updated,
            (false, true) => Change::Refreshed,
            (false, false) => Change::Unchanged,
        }
    }

    fn report(&self, now: Instant, instance: &str) -> Report {
        let left = self.ends_at.map(|at| at.saturating_duration_since(now).as_millis() as u64);
        Report {
            instance: instance.to_owned(),
            born: self.born,
            sequence: self.sequence,
            lifecycle: self.lifecycle,
            ends_in_ms: left,
            age_ms: now.saturating_duration_since(self.last_report_at).as_millis() as u64,
            details: self.details.clone(),
        }
    }
}

/// Difference of two announced ends that the way of the reports can explain.
const ENDS_TOLERANCE: Duration = Duration::from_millis(300);

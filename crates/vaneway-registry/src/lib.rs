//! Endpoints that register themselves by heartbeats, merged between boxes, without I/O.
//!
//! The system keeps the only list of endpoints. A heartbeat reaches one control box and must become
//! known at every box, while boxes restart, are cut off and receive old heartbeats late. What is
//! known of an endpoint is therefore a value that only grows: reports may be lost, repeated or
//! reordered, and all boxes that received the same reports have the same state.
//!
//! Rules: the lifecycle state of an endpoint goes from ready over draining to gone and never back,
//! whatever a later heartbeat says. Within one state the report with the higher sequence number
//! wins, and the earliest announced exit time wins. An endpoint that restarts under its id is
//! another incarnation, told apart by its start time: it inherits no state, isn't affected by marks
//! of the earlier incarnation, and late reports of that one are ignored. Ids that are gone are kept
//! for so long that a late heartbeat can't revive them. A report about an id that has expired
//! doesn't count as an update, so that boxes don't forward it to each other for ever.
//!
//! Times travel as ages and remaining times, since the boxes' clocks may differ.

mod software_versions;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::software_versions::SoftwareVersions;

/// Id of an endpoint, shared by its incarnations.
pub type InstanceId = String;

/// Version of the software that an endpoint runs, as the endpoint declares it.
pub type SoftwareVersion = String;

/// When an incarnation of an endpoint started, in milliseconds since the Unix epoch; 0 if not
/// known.
pub type StartMillis = u64;

/// How long an endpoint that is gone is kept: far longer than a heartbeat can be late.
const GONE_RETENTION: Duration = Duration::from_mins(10);

/// How long an endpoint that no longer reports is kept.
const UNREPORTED_RETENTION: Duration = Duration::from_mins(2);

/// Lifecycle state of an endpoint.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Lifecycle {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its open requests and accepts no others.
    Draining,
    /// Has reported that it exits.
    Gone,
}

impl Lifecycle {
    /// The name in logs and dumps.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// What an endpoint reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// The service that it belongs to.
    pub service: String,
    /// Address at which it accepts requests, as `IP:PORT`.
    pub address: std::net::SocketAddr,
    /// The availability zone that it runs in.
    pub availability_zone: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether the cloud may reclaim its box.
    pub reclaimable: bool,
    /// Version of the software that it runs; empty if it declares none. Not the version of a
    /// model's weights.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// One report about an endpoint, as sent by endpoints and between boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the endpoint.
    pub instance: InstanceId,
    /// Start time of its incarnation.
    #[serde(default)]
    pub born: StartMillis,
    /// Sequence number of the heartbeat; 0 for a report without one.
    pub sequence: u64,
    /// Its lifecycle state.
    #[serde(rename = "standing")]
    pub lifecycle: Lifecycle,
    /// Milliseconds until it exits, if announced.
    pub ends_in_ms: Option<u64>,
    /// Milliseconds since a box last received a heartbeat from it.
    pub age_ms: u64,
    /// What it reports about itself; none if only its exit is known.
    pub details: Option<Details>,
}

/// State of one endpoint as known to one box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Start time of the latest incarnation, which all other fields describe.
    pub born: StartMillis,
    /// Highest sequence number received.
    pub sequence: u64,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// When it exits, if announced.
    pub ends_at: Option<Instant>,
    /// When some box last received a heartbeat from it.
    pub last_report_at: Instant,
    /// What it reports about itself.
    pub details: Option<Details>,
}

/// Effect of merging a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The report contained nothing new.
    Unchanged,
    /// Only the time of the last heartbeat advanced.
    Refreshed,
    /// The state changed; other boxes must be notified at once.
    Updated,
}

/// State of all endpoints as known to one box.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    known: BTreeMap<InstanceId, EndpointRecord>,
    /// Those of all known endpoints.
    software: SoftwareVersions,
}

impl Registry {
    /// Merges a report.
    pub fn merge(&mut self, now: Instant, report: &Report) -> Change {
        let last_report_at = now.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(now);
        let ends_at = report.ends_in_ms.map(|left| now + Duration::from_millis(left));
        if let Some(known) = self.known.get_mut(&report.instance)
            && !report.is_newer_incarnation(known)
        {
            return known.merge(report, last_report_at, ends_at, &mut self.software);
        }
        if now.saturating_duration_since(last_report_at) >= retention(report.lifecycle) {
            // It would expire at once, and count as an update again the next time.
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
        let before = self.known.insert(report.instance.clone(), known);
        let before = before.and_then(|before| before.details);
        self.software.replace(before.as_ref(), report.details.as_ref());
        Change::Updated
    }

    /// All endpoints with their state.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &EndpointRecord)> {
        self.known.iter()
    }

    /// The software versions that the endpoints of a service declare, those included that are gone
    /// or no longer report. Takes as long as there are versions, not endpoints.
    pub fn software_versions(&self, service: &str) -> impl Iterator<Item = &SoftwareVersion> {
        self.software.of(service)
    }

    /// The state of one endpoint.
    pub fn get(&self, instance: &str) -> Option<&EndpointRecord> {
        self.known.get(instance)
    }

    /// Start time of the known incarnation of an endpoint; 0 if the endpoint or the time isn't
    /// known.
    pub fn born(&self, instance: &str) -> StartMillis {
        self.known.get(instance).map_or(0, |known| known.born)
    }

    /// Number of endpoints, including those that are gone.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// A report of the state of `instance`, for another box.
    pub fn report(&self, now: Instant, instance: &str) -> Option<Report> {
        self.known.get(instance).map(|known| known.report(now, instance))
    }

    /// Reports of all endpoints, for a box that has no state yet.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.known.iter().map(|(instance, known)| known.report(now, instance)).collect()
    }

    /// Removes endpoints that have not reported within the retention time of their state.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, known| {
            let age = now.saturating_duration_since(known.last_report_at);
            let is_retained = age < retention(known.lifecycle);
            if !is_retained {
                self.software.replace(known.details.as_ref(), None);
            }
            is_retained
        });
    }
}

/// How long an endpoint that no longer reports is kept.
fn retention(lifecycle: Lifecycle) -> Duration {
    match lifecycle {
        Lifecycle::Ready | Lifecycle::Draining => UNREPORTED_RETENTION,
        Lifecycle::Gone => GONE_RETENTION,
    }
}

impl Report {
    /// Whether it is about a later incarnation than the known one. A report without a start time is
    /// taken to be about the known incarnation.
    fn is_newer_incarnation(&self, known: &EndpointRecord) -> bool {
        known.born > 0 && self.born > known.born
    }
}

impl EndpointRecord {
    fn merge(
        &mut self,
        report: &Report,
        last_report_at: Instant,
        ends_at: Option<Instant>,
        software: &mut SoftwareVersions,
    ) -> Change {
        if report.born > 0 && report.born < self.born {
            return Change::Unchanged;
        }
        self.born = self.born.max(report.born);
        let refreshed = last_report_at > self.last_report_at;
        self.last_report_at = self.last_report_at.max(last_report_at);
        let mut changed = false;
        if report.lifecycle > self.lifecycle {
            self.lifecycle = report.lifecycle;
            changed = true;
        }
        if let Some(at) = ends_at
            && self.ends_at.is_none_or(|known| at + EXIT_TIME_TOLERANCE < known)
        {
            self.ends_at = Some(at);
            changed = true;
        }
        let newer = report.sequence > self.sequence || self.details.is_none();
        self.sequence = self.sequence.max(report.sequence);
        if newer && report.details.is_some() && report.details != self.details {
            software.replace(self.details.as_ref(), report.details.as_ref());
            self.details.clone_from(&report.details);
            changed = true;
        }
        match (changed, refreshed) {
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

/// Difference between two announced exit times that network delay of the reports can explain.
const EXIT_TIME_TOLERANCE: Duration = Duration::from_millis(300);

//! Roll-outs at an entry box: what it may send to versions, and the answers that it counts.
//!
//! Data flow: control boxes send the last roll-out of each service ([`apply`]), from which the rule of
//! the pool follows. While one runs, the answers of both versions are counted
//! ([`EntryRollouts::record`]) and reported to all control boxes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use vaneway_rollout::Cell;
use vaneway_rollout::CellKey;
use vaneway_rollout::Evidence;
use vaneway_rollout::Phase;
use vaneway_rollout::Rollout;
use vaneway_rollout::Share;
use vaneway_route::EndpointSpec;
use vaneway_route::ServiceId;
use vaneway_route::VersionRule;

use crate::core::cluster::wire::RolloutReport;
use crate::core::entry::Entry;
use crate::util::clock;
use crate::util::logline::Line;

/// Every how many usage reports the answers of roll-outs are reported.
pub const USAGE_REPORTS_PER_REPORT: u64 = 3;

/// Time after a confirmation in which the trial goes on: several intervals of confirmations, and
/// short beside the time in which a bad version must be taken back.
const CONFIRMATION_AGE: Duration = Duration::from_secs(2);

/// Every how many reports of answers all cells are repeated, for control boxes that missed some.
const REPORTS_PER_FULL: u64 = 10;

/// Time in which a version that a service has not had before gets nothing: the order that brings it
/// in may arrive after its first replica. Longer than messages take between boxes in contact, and
/// short for replicas that are released without an order.
const NEW_VERSION_HOLD: Duration = Duration::from_millis(600);

/// Number of entry boxes that is assumed before the first update of a control box.
const ASSUMED_ENTRY_BOXES: u32 = 350;

/// The roll-outs that an entry box knows.
#[derive(Debug, Default)]
pub struct EntryRollouts {
    known: RefCell<BTreeMap<String, Known>>,
    /// Until when versions that are new here get nothing.
    held: RefCell<BTreeMap<(ServiceId, String), Instant>>,
    /// Number of reports.
    reports: std::cell::Cell<u64>,
}

/// A roll-out, and its answers.
#[derive(Debug)]
struct Known {
    rollout: Rollout,
    evidence: Evidence,
    /// Cells that changed since the last report.
    changed: BTreeSet<CellKey>,
}

impl EntryRollouts {
    /// Number and target of the trial of a service that is running.
    pub fn trial(&self, service: &str) -> Option<(u64, String)> {
        let known = self.known.borrow();
        let rollout = &known.get(service)?.rollout;
        let is_running = rollout.phase == Phase::Running;
        is_running.then(|| (rollout.number, rollout.order.target.clone()))
    }

    /// Changes a cell of the answers of a trial that is still running.
    pub fn record(
        &self,
        service: &str,
        number: u64,
        key: &CellKey,
        change: impl FnOnce(&mut Cell),
    ) {
        let mut known = self.known.borrow_mut();
        let running = known.get_mut(service).filter(|known| {
            known.rollout.number == number && known.rollout.phase == Phase::Running
        });
        if let Some(known) = running {
            change(known.evidence.cell(key.clone()));
            known.changed.insert(key.clone());
        }
    }

    /// The answers of the roll-outs that are not over: cells that changed since the last report, and
    /// now and then all.
    pub fn take_reports(&self) -> Vec<RolloutReport> {
        self.reports.update(|reports| reports + 1);
        let is_full = self.reports.get().is_multiple_of(REPORTS_PER_FULL);
        let mut known = self.known.borrow_mut();
        let running = known.values_mut().filter(|known| !known.rollout.phase.is_over());
        let reports = running.map(|Known { rollout, evidence, changed }| {
            let changed = std::mem::take(changed);
            let cells = evidence.cells.iter().filter(|(key, _)| is_full || changed.contains(key));
            let cells = cells.map(|(key, cell)| (key.clone(), cell.clone())).collect();
            RolloutReport {
                service: rollout.order.service.clone(),
                number: rollout.number,
                revision: rollout.revision,
                evidence: Evidence { cells },
            }
        });
        reports.collect()
    }

    /// Takes in a roll-out; true if it is newer than the one known before.
    fn merge(&self, rollout: Rollout) -> bool {
        let mut known = self.known.borrow_mut();
        let service = rollout.order.service.clone();
        match known.get_mut(&service) {
            Some(known) if known.rollout.revision >= rollout.revision => return false,
            Some(known) if known.rollout.number == rollout.number => known.rollout = rollout,
            _ => {
                let (evidence, changed) = (Evidence::default(), BTreeSet::new());
                known.insert(service, Known { rollout, evidence, changed });
            }
        }
        true
    }

    fn get(&self, service: &str) -> Option<Rollout> {
        self.known.borrow().get(service).map(|known| known.rollout.clone())
    }
}

/// Applies what a control box sent; true if any roll-out is newer than known before.
pub fn apply(entry: &Entry, rollouts: Vec<Rollout>, confirmed: bool) -> bool {
    let mut is_newer = false;
    for received in rollouts {
        let service = received.order.service.clone();
        let revision = received.revision;
        let changed = entry.rollouts.merge(received);
        let Some(rollout) = entry.rollouts.get(&service) else { continue };
        if changed {
            Line::new("rollout")
                .with("service", &service)
                .with("version", &rollout.order.target)
                .with("phase", rollout.phase.name())
                .with("revision", rollout.revision)
                .with("reason", &rollout.reason)
                .info();
        }
        is_newer |= changed;
        // A control box that is behind can't confirm a trial.
        let is_confirmed = confirmed && revision == rollout.revision;
        if changed || is_confirmed {
            set_rule(entry, &rollout, is_confirmed);
        }
    }
    is_newer
}

fn set_rule(entry: &Entry, rollout: &Rollout, is_confirmed: bool) {
    let on_trial = (rollout.phase == Phase::Running).then(|| rollout.order.target.clone());
    let rule = VersionRule { number: rollout.number, on_trial, barred: rollout.barred.clone() };
    let exposure = entry.settings.follow.as_ref().and_then(|follow| follow.exposure);
    let boxes = entry.box_number.get().map_or(ASSUMED_ENTRY_BOXES, |number| number.of);
    let share = exposure.map_or(Share::new(0.0, 0.0, boxes), |exposure| {
        Share::new(exposure.share, exposure.slack, boxes)
    });
    let now = clock::now();
    let until = if is_confirmed { now + CONFIRMATION_AGE } else { now };
    let service = entry.service_id(&rollout.order.service);
    entry.pool.borrow_mut().set_version_rule(service, rule, share, until);
}

/// Until when a new endpoint gets nothing: it has a version that its service has not had before here,
/// and the order that brings it in may be on its way. None if it need not be held.
pub fn held_until(entry: &Entry, spec: &EndpointSpec) -> Option<Instant> {
    entry.settings.follow.as_ref()?.exposure?;
    let now = clock::now();
    let mut held = entry.rollouts.held.borrow_mut();
    held.retain(|_, until| now < *until);
    let version = (spec.service, spec.software.clone());
    if let Some(until) = held.get(&version) {
        return Some(*until);
    }
    let pool = entry.pool.borrow();
    let mut known = pool.software_versions(spec.service).peekable();
    let is_new = known.peek().is_some() && known.all(|known| *known != spec.software);
    is_new.then(|| {
        let until = now + NEW_VERSION_HOLD;
        held.insert(version, until);
        until
    })
}

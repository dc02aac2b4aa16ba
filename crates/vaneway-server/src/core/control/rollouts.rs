//! Roll-outs at a control box: orders of operators, the confirmation to entry boxes, and the leader's
//! steps.
//!
//! Data flow: an order is committed ([`start`]) and sent to the entry boxes like every further step
//! (`publish`). Entry boxes report answers to all control boxes (`record`). The leader sums them
//! up and proposes the next step ([`run`]).

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use vaneway_ledger::EntryIncarnation;
use vaneway_registry::Details;
use vaneway_registry::Lifecycle;
use vaneway_rollout::Applied;
use vaneway_rollout::Evidence;
use vaneway_rollout::Known;
use vaneway_rollout::Next;
use vaneway_rollout::Order;
use vaneway_rollout::Phase;
use vaneway_rollout::Rollout;
use vaneway_rollout::Step;
use vaneway_rollout::judge;

use crate::core::cluster::wire::RolloutReport;
use crate::core::cluster::wire::ToEntry;
use crate::core::control::cloud_calls;
use crate::core::control::group;
use crate::core::control::links;
use crate::core::control::machine::Command;
use crate::core::control::operations;
use crate::core::control::operations::Refusal;
use crate::core::control::state::Control;
use crate::core::control::state::ProposalOutcome;
use crate::util::clock;
use crate::util::logline::Line;

/// Interval between two confirmations, and between two looks at the answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Looks at the answers within the time in which a bad version must be taken back: evidence needs
/// some of it, and so does a change of the leader.
const MIN_LOOKS: u32 = 10;

/// Maximum wait for the commitment of a step: shorter than operators wait for a response.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(850);

/// Maximum age of the last contact with a leader at which this box would know of the end of a trial.
const MAX_LEADER_AGE: Duration = Duration::from_millis(700);

/// Maximum age of the last heartbeat of a replica that counts as ready.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(5);

/// Durations that an order may have.
const DURATION_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_hours(24);

/// Longest name of a version in bytes.
const MAX_VERSION_BYTES: usize = 128;

/// The answers that entry boxes last reported, by service.
pub type RolloutReports = BTreeMap<EntryIncarnation, BTreeMap<String, RolloutReport>>;

/// Why an order or a question was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutRefusal {
    /// This box can't answer now.
    Refused(Refusal),
    /// Another target is being brought in.
    UnderWay {
        /// The target.
        target: String,
    },
    /// The order can't be carried out.
    Invalid(String),
}

/// Begins a roll-out. The same order again has no further effect, also after its end.
///
/// # Errors
///
/// A [`RolloutRefusal`] with the reason.
pub async fn start(
    control: &Rc<Control>,
    service: &str,
    target: &str,
    duration: Duration,
) -> Result<(), RolloutRefusal> {
    check(control, target, duration).map_err(RolloutRefusal::Invalid)?;
    operations::require_leader(control, "start a roll-out").map_err(RolloutRefusal::Refused)?;
    match control.machine.borrow().rollouts().check(service, target) {
        Applied::Unchanged if control.has_valid_lease() => return Ok(()),
        Applied::Conflict if control.has_valid_lease() => return Err(under_way(control, service)),
        _ => {}
    }
    check_service(control, service, target).map_err(RolloutRefusal::Invalid)?;
    let started = control.time();
    let order = Order {
        service: service.to_owned(),
        target: target.to_owned(),
        replaced: versions_beside(control, service, target),
        started_ms: started.as_millis() as u64,
        deadline_ms: (started + duration).as_millis() as u64,
    };
    let outcome = propose(control, Step::Start(order)).await;
    Line::new("rollout_ordered")
        .with("service", service)
        .with("version", target)
        .with("duration_ms", duration.as_millis())
        .with("became", format!("{outcome:?}"))
        .info();
    if outcome != Some(ProposalOutcome::Committed) {
        return Err(RolloutRefusal::Refused(Refusal::Unavailable));
    }
    // Another order may have been committed first.
    match control.machine.borrow().rollouts().check(service, target) {
        Applied::Unchanged => Ok(()),
        Applied::Changed | Applied::Conflict => Err(under_way(control, service)),
    }
}

fn under_way(control: &Control, service: &str) -> RolloutRefusal {
    let machine = control.machine.borrow();
    let target = machine.rollouts().get(service).map(|rollout| rollout.order.target.clone());
    RolloutRefusal::UnderWay { target: target.unwrap_or_default() }
}

fn check(control: &Control, target: &str, duration: Duration) -> Result<(), String> {
    if control.settings.rollback.is_none() {
        return Err("roll-outs are not switched on in the settings".to_owned());
    }
    if target.is_empty() || target.len() > MAX_VERSION_BYTES {
        return Err(format!("the version must have 1 to {MAX_VERSION_BYTES} bytes"));
    }
    if !DURATION_RANGE.contains(&duration) {
        return Err("the duration must be 1 s to 24 h".to_owned());
    }
    Ok(())
}

fn check_service(control: &Control, service: &str, target: &str) -> Result<(), String> {
    let machine = control.machine.borrow();
    let current = machine.current_configuration();
    let mut services = current.into_iter().flat_map(|current| &current.configuration.services);
    if !services.any(|known| known.name == service) {
        return Err(format!("no service `{service}` is configured"));
    }
    let replicas = ready_replicas(control, service);
    if !replicas.is_empty() && replicas.keys().all(|version| version == target) {
        return Err(format!("version `{target}` of `{service}` is in force already"));
    }
    Ok(())
}

/// The last roll-out of a service, guaranteed by the leader's lease.
///
/// # Errors
///
/// A [`Refusal`] if this box is not the leader or has no valid lease.
pub fn newest(control: &Control, service: &str) -> Result<Option<Rollout>, Refusal> {
    operations::require_leader(control, "read a roll-out")?;
    if !control.has_valid_lease() {
        return Err(Refusal::Unavailable);
    }
    Ok(control.machine.borrow().rollouts().get(service).cloned())
}

/// The roll-outs as sent to entry boxes; none if there never was one.
pub(super) fn message(control: &Control) -> Option<ToEntry> {
    let machine = control.machine.borrow();
    let rollouts: Vec<_> = machine.rollouts().iter().cloned().collect();
    let confirmed = clock::elapsed(control.last_leader_at.get()) < MAX_LEADER_AGE;
    (!rollouts.is_empty()).then_some(ToEntry::Rollouts { rollouts, confirmed })
}

/// Sends the roll-outs to all connected entry boxes.
pub(super) fn publish(control: &Control) {
    if let Some(message) = message(control) {
        links::send_to_entries(control, &message);
    }
}

/// Records the answers that an entry box reports.
pub(super) fn record(control: &Control, from: &EntryIncarnation, reports: Vec<RolloutReport>) {
    let mut all = control.rollout_reports.borrow_mut();
    let of_box = all.entry(from.clone()).or_default();
    for report in reports {
        match of_box.get_mut(&report.service).filter(|known| known.number == report.number) {
            // The cells are sums since the process began, so the newer ones replace the others.
            Some(known) => {
                known.revision = known.revision.max(report.revision);
                known.evidence.cells.extend(report.evidence.cells);
            }
            None => {
                of_box.insert(report.service.clone(), report);
            }
        }
    }
}

/// Whether a replica belongs to a version that carries the load of its service.
pub(super) fn carries_load(control: &Control, details: &Details) -> bool {
    let machine = control.machine.borrow();
    let rollout = machine.rollouts().get(&details.service);
    rollout.is_none_or(|rollout| rollout.carries_load(&details.software))
}

/// Confirms roll-outs to entry boxes, and takes the leader's steps, until dropped.
pub async fn run(control: Rc<Control>) {
    let Some(rollback) = control.settings.rollback else { return };
    let interval = CHECK_INTERVAL.min(rollback / MIN_LOOKS);
    loop {
        control.timers.sleep(interval).await;
        let active: Vec<Rollout> = {
            let machine = control.machine.borrow();
            machine.rollouts().iter().filter(|rollout| !rollout.phase.is_over()).cloned().collect()
        };
        if active.is_empty() {
            control.rollout_reports.borrow_mut().clear();
            continue;
        }
        publish(&control);
        for rollout in active {
            if cloud_calls::holds_duty(&control) {
                advance(&control, &rollout).await;
            }
        }
    }
}

/// Proposes the next step of a roll-out, if one is due.
async fn advance(control: &Rc<Control>, rollout: &Rollout) {
    let evidence = evidence(control, rollout);
    let known = known(control, rollout, &evidence);
    let service = rollout.order.service.clone();
    let number = rollout.number;
    let step = match known.next() {
        Next::Wait => return,
        Next::Shift(reason) => {
            let mut replaced = versions_beside(control, &service, &rollout.order.target);
            replaced.extend(rollout.order.replaced.iter().cloned());
            replaced.sort();
            replaced.dedup();
            Step::Shift { service, number, replaced, reason }
        }
        Next::Complete(reason) => Step::Complete { service, number, reason },
        Next::RollBack(reason) => Step::RollBack { service, number, reason },
    };
    let (answers, failed) = evidence.trials();
    let line = Line::new("rollout_step")
        .with("service", &rollout.order.service)
        .with("version", &rollout.order.target)
        .with("step", format!("{step:?}"))
        .with("answers", answers)
        .with("failed", failed)
        .with("ready", known.ready)
        .with("ready_replaced", known.ready_replaced)
        .with("open_at_replaced", known.open_at_replaced)
        .with("left_ms", known.deadline.saturating_sub(known.now).as_millis());
    let outcome = propose(control, step).await;
    line.with("became", format!("{outcome:?}")).info();
}

async fn propose(control: &Rc<Control>, step: Step) -> Option<ProposalOutcome> {
    let until = clock::now() + COMMIT_TIMEOUT;
    group::propose(control, &Command::Rollout(step), until).await
}

/// The answers of all entry boxes.
fn evidence(control: &Control, rollout: &Rollout) -> Evidence {
    let mut all = Evidence::default();
    let reports = control.rollout_reports.borrow();
    let reports = reports.values().filter_map(|of_box| of_box.get(&rollout.order.service));
    for report in reports.filter(|report| report.number == rollout.number) {
        all.merge(&report.evidence);
    }
    all
}

fn known(control: &Control, rollout: &Rollout, evidence: &Evidence) -> Known {
    let order = &rollout.order;
    let replicas = ready_replicas(control, &order.service);
    let ready = replicas.get(&order.target).copied().unwrap_or_default();
    Known {
        phase: rollout.phase,
        now: control.time(),
        started: Duration::from_millis(order.started_ms),
        deadline: Duration::from_millis(order.deadline_ms),
        finding: judge(evidence),
        answers: evidence.trials().0,
        ready,
        ready_replaced: replicas.values().sum::<u32>() - ready,
        confirmed: rollout.phase == Phase::Shifting && is_confirmed(control, rollout),
        open_at_replaced: open_at_replaced(control, rollout),
    }
}

/// Whether all connected entry boxes have carried out the last step; false while there are none.
fn is_confirmed(control: &Control, rollout: &Rollout) -> bool {
    let reports = control.rollout_reports.borrow();
    let links = control.entry_links.borrow();
    let has_carried_out = |incarnation: &EntryIncarnation| {
        let report = reports.get(incarnation).and_then(|of_box| of_box.get(&rollout.order.service));
        report.is_some_and(|report| report.revision >= rollout.revision)
    };
    !links.is_empty() && links.values().all(|link| has_carried_out(&link.incarnation))
}

/// Requests that entry boxes have open at replicas of the replaced versions.
fn open_at_replaced(control: &Control, rollout: &Rollout) -> u32 {
    let registry = control.registry.borrow();
    let is_replaced = |instance: &str| {
        let details = registry.get(instance).and_then(|record| record.details.as_ref());
        details.is_some_and(|details| {
            details.service == rollout.order.service && details.software != rollout.order.target
        })
    };
    let loads = control.usage_ledger.borrow_mut().loads().all();
    let open = loads.iter().filter(|(instance, _)| is_replaced(instance));
    open.map(|(_, load)| load.requests).sum()
}

/// Number of ready replicas of a service by version.
fn ready_replicas(control: &Control, service: &str) -> BTreeMap<String, u32> {
    let mut replicas = BTreeMap::new();
    for (_, record) in control.registry.borrow().iter() {
        let details = record.details.as_ref().filter(|details| details.service == service);
        let is_ready = record.lifecycle == Lifecycle::Ready
            && clock::elapsed(record.last_report_at) < MAX_HEARTBEAT_AGE;
        if let Some(details) = details.filter(|_| is_ready) {
            *replicas.entry(details.software.clone()).or_default() += 1;
        }
    }
    replicas
}

/// Versions of a service that have ready replicas, except for the target.
fn versions_beside(control: &Control, service: &str, target: &str) -> Vec<String> {
    let versions = ready_replicas(control, service).into_keys();
    versions.filter(|version| version != target).collect()
}

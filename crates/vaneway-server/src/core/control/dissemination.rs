//! What a control box hears of endpoints, of requests that end them and of limits that they name, and passes on.
//!
//! Data flow: endpoints register here, entry boxes and other control boxes tell what they heard. What is news here goes to
//! the entry boxes, and to the other control boxes unless one of these told it ([`Source`]): so what one of n control boxes
//! hears makes n messages between them, however they merge it. Whoever missed it is told all over the next connection.
//! [`ForwardedCounts`] counts what goes out, since each piece becomes a message to every box.

use std::cell::Cell;

use vaneway_limit::EndpointLimit;
use vaneway_quarantine::QuarantineRecord;
use vaneway_registry::Change;
use vaneway_registry::Report;

use crate::core::cluster::wire::BetweenControl;
use crate::core::cluster::wire::ToEntry;
use crate::core::control::links;
use crate::core::control::peers;
use crate::core::control::state::Control;
use crate::util::clock;
use crate::util::logline::Line;

/// Who told something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The endpoint itself.
    Endpoint,
    /// An entry box.
    Entry,
    /// Another control box, which has told all the others itself.
    Control,
}

/// A kind of news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateKind {
    /// Where endpoints stand.
    Registrations,
    /// Under which requests endpoints ended.
    Findings,
    /// Limits that endpoints named.
    Limits,
}

/// Pieces of news passed on between two looks from which on their number is logged: more than a crash of a third of a large
/// fleet makes.
const LOG_THRESHOLD: usize = 1_000;

/// Pieces of news that this box passed on, by kind, since it was last looked at.
#[derive(Debug, Default)]
pub struct ForwardedCounts {
    registrations: Cell<usize>,
    findings: Cell<usize>,
    limits: Cell<usize>,
}

impl ForwardedCounts {
    fn count(&self, kind: UpdateKind, updates: usize) {
        let counter = match kind {
            UpdateKind::Registrations => &self.registrations,
            UpdateKind::Findings => &self.findings,
            UpdateKind::Limits => &self.limits,
        };
        counter.update(|count| count + updates);
    }

    /// Logs what was passed on since the last look, if it is much.
    pub(super) fn log_if_many(&self) {
        let (registrations, findings, limits) =
            (self.registrations.take(), self.findings.take(), self.limits.take());
        if registrations + findings + limits < LOG_THRESHOLD {
            return;
        }
        Line::new("news_passed_on")
            .with("registrations", registrations)
            .with("findings", findings)
            .with("limits", limits)
            .warn();
    }
}

/// All that another control box has to hear that may have missed some of it.
pub(super) fn full_state(control: &Control) -> Vec<BetweenControl> {
    let now = control.time();
    let reports = control.registry.borrow().reports(clock::now());
    let findings = control.quarantine.borrow().valid_records(now);
    let limits = control.limits.borrow().all();
    let mut all = vec![BetweenControl::Registry(reports)];
    if !findings.is_empty() {
        all.push(BetweenControl::QuarantineRecords(findings));
    }
    if !limits.is_empty() {
        all.push(BetweenControl::Limits(limits));
    }
    all
}

/// Takes in what another control box tells; what is no news is left alone.
pub(super) fn merge_from_control(control: &Control, message: BetweenControl) {
    match message {
        BetweenControl::Registry(reports) => merge_endpoints(control, &reports, Source::Control),
        BetweenControl::QuarantineRecords(findings) => {
            merge_quarantine_records(control, &findings, Source::Control);
        }
        BetweenControl::Limits(reported) => merge_limits(control, &reported, Source::Control),
        // The answer to a ping has nothing that the ping on the other connection doesn't have.
        BetweenControl::Hello { .. }
        | BetweenControl::Ping { .. }
        | BetweenControl::Agreement { .. }
        | BetweenControl::Join { .. } => {}
    }
}

/// Takes reports of endpoints in and passes on what is news.
pub fn merge_endpoints(control: &Control, reports: &[Report], source: Source) {
    let direct = source == Source::Endpoint;
    let now = clock::now();
    let mut updates = Vec::new();
    for report in reports {
        let born_before = control.registry.borrow().born(&report.instance);
        let change = control.registry.borrow_mut().merge(now, report);
        if born_before > 0 && control.registry.borrow().born(&report.instance) > born_before {
            // It holds nothing of what the incarnation before kept.
            control.parts.borrow_mut().remove_endpoint(&report.instance);
        }
        match change {
            Change::Updated => {
                updates.extend(control.registry.borrow().report(now, &report.instance));
            }
            Change::Refreshed if direct => {
                for peer in control.peers.borrow().values() {
                    peer.refreshed.borrow_mut().insert(report.instance.clone());
                }
            }
            Change::Refreshed | Change::Unchanged => {}
        }
    }
    if updates.is_empty() {
        return;
    }
    for report in &updates {
        Line::new("endpoint")
            .with("replica", &report.instance)
            .with("born", report.born)
            .with("standing", report.lifecycle.name())
            .with("sequence", report.sequence)
            .with("reclaimable", report.details.as_ref().is_some_and(|d| d.reclaimable))
            .with(
                "ends_in_ms",
                report.ends_in_ms.map_or_else(|| "unknown".to_owned(), |ms| ms.to_string()),
            )
            .with("direct", direct)
            .info();
    }
    control.forwarded.count(UpdateKind::Registrations, updates.len());
    links::send_to_entries(control, &ToEntry::Registry(updates.clone()));
    if source != Source::Control {
        peers::send_to_all(control, BetweenControl::Registry(updates));
    }
}

/// Takes in under which requests endpoints ended, and passes on what is news: to the entry boxes that this box tells
/// of others, and to the other control boxes, which may hear other entry boxes.
pub(super) fn merge_quarantine_records(
    control: &Control,
    findings: &[QuarantineRecord],
    source: Source,
) {
    let updates = control.quarantine.borrow_mut().merge(control.time(), findings);
    if updates.is_empty() {
        return;
    }
    control.forwarded.count(UpdateKind::Findings, updates.len());
    links::send_to_load_subscribers(control, &ToEntry::QuarantineRecords(updates.clone()));
    if source != Source::Control {
        peers::send_to_all(control, BetweenControl::QuarantineRecords(updates));
    }
}

/// Takes in which limits endpoints named, and has what is news told to the entry boxes that this box tells of others, and
/// to the other control boxes.
pub(super) fn merge_limits(control: &Control, reported: &[EndpointLimit], source: Source) {
    let mut limits = control.limits.borrow_mut();
    let updates = limits.merge(control.time(), reported);
    control.forwarded.count(UpdateKind::Limits, updates.len());
    limits.forward(&updates);
    if source != Source::Control {
        let endpoints = updates.into_iter().map(|update| update.endpoint);
        control.limits_for_peers.borrow_mut().extend(endpoints);
    }
}

//! Forwards what a control box learns about endpoints: registrations, requests that were running
//! when they crashed, and limits that they advertise.
//!
//! Data flow: endpoints register here; entry boxes and other control boxes send what they know.
//! Whatever is new here is sent to the entry boxes, and also to the other control boxes unless one
//! of them sent it ([`Source`]). So an update that one of n control boxes receives takes n messages
//! between them, however they merge it. A box that missed updates receives everything with the next
//! connection. [`ForwardedCounts`] counts the forwarded updates, since each becomes a message to
//! every box.

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

/// The sender of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The endpoint itself.
    Endpoint,
    /// An entry box.
    Entry,
    /// Another control box, which has sent it to all the others itself.
    Control,
}

/// Kind of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateKind {
    /// Reports on the lifecycle of endpoints.
    Registrations,
    /// Requests that were running when endpoints crashed.
    QuarantineRecords,
    /// Limits that endpoints advertise.
    Limits,
}

/// Number of updates forwarded between two checks from which it is logged: more than the failure of
/// a third of a large fleet causes.
const LOG_THRESHOLD: usize = 1_000;

/// Number of updates that this box forwarded since the last check, by kind.
#[derive(Debug, Default)]
pub struct ForwardedCounts {
    registrations: Cell<usize>,
    quarantine_records: Cell<usize>,
    limits: Cell<usize>,
}

impl ForwardedCounts {
    fn count(&self, kind: UpdateKind, updates: usize) {
        let counter = match kind {
            UpdateKind::Registrations => &self.registrations,
            UpdateKind::QuarantineRecords => &self.quarantine_records,
            UpdateKind::Limits => &self.limits,
        };
        counter.update(|count| count + updates);
    }

    /// Logs the number of updates forwarded since the last check, if it is large.
    pub(super) fn log_if_many(&self) {
        let (registrations, quarantine_records, limits) =
            (self.registrations.take(), self.quarantine_records.take(), self.limits.take());
        if registrations + quarantine_records + limits < LOG_THRESHOLD {
            return;
        }
        Line::new("news_passed_on")
            .with("registrations", registrations)
            .with("findings", quarantine_records)
            .with("limits", limits)
            .warn();
    }
}

/// All state that another control box must receive if it may have missed updates.
pub(super) fn full_state(control: &Control) -> Vec<BetweenControl> {
    let now = control.time();
    let reports = control.registry.borrow().reports(clock::now());
    let records = control.quarantine.borrow().valid_records(now);
    let limits = control.limits.borrow().all();
    let mut all = vec![BetweenControl::Registry(reports)];
    if !records.is_empty() {
        all.push(BetweenControl::QuarantineRecords(records));
    }
    if !limits.is_empty() {
        all.push(BetweenControl::Limits(limits));
    }
    all
}

/// Merges what another control box sent.
pub(super) fn merge_from_control(control: &Control, message: BetweenControl) {
    match message {
        BetweenControl::Registry(reports) => merge_endpoints(control, &reports, Source::Control),
        BetweenControl::QuarantineRecords(records) => {
            merge_quarantine_records(control, &records, Source::Control);
        }
        BetweenControl::Limits(reported) => merge_limits(control, &reported, Source::Control),
        // The answer to a ping contains nothing that the ping on the other connection does not.
        BetweenControl::Hello { .. }
        | BetweenControl::Ping { .. }
        | BetweenControl::Agreement { .. }
        | BetweenControl::Join { .. } => {}
    }
}

/// Merges reports of endpoints and forwards the new ones.
pub fn merge_endpoints(control: &Control, reports: &[Report], source: Source) {
    let direct = source == Source::Endpoint;
    let now = clock::now();
    let mut updates = Vec::new();
    for report in reports {
        let born_before = control.registry.borrow().born(&report.instance);
        let change = control.registry.borrow_mut().merge(now, report);
        if born_before > 0 && control.registry.borrow().born(&report.instance) > born_before {
            // The new incarnation of the endpoint holds none of the prompt parts that the previous
            // one cached.
            control.cached_parts.borrow_mut().remove_endpoint(&report.instance);
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

/// Merges records of requests that were running when endpoints crashed, and forwards the new ones
/// to the subscribed entry boxes and to the other control boxes, to which other entry boxes may be
/// connected.
pub(super) fn merge_quarantine_records(
    control: &Control,
    records: &[QuarantineRecord],
    source: Source,
) {
    let updates = control.quarantine.borrow_mut().merge(control.time(), records);
    if updates.is_empty() {
        return;
    }
    control.forwarded.count(UpdateKind::QuarantineRecords, updates.len());
    links::send_to_load_subscribers(control, &ToEntry::QuarantineRecords(updates.clone()));
    if source != Source::Control {
        peers::send_to_all(control, BetweenControl::QuarantineRecords(updates));
    }
}

/// Merges limits that endpoints advertise. New ones are sent to the subscribed entry boxes and to
/// the other control boxes with the next update of loads.
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

//! Updates about each other that a control box sends to entry boxes.
//!
//! Data flow: each entry box subscribes (`subscribe`) to updates at a few control boxes. The quota
//! usage of the others is sent at a fixed interval ([`publish_usage`]), since it changes all the
//! time; loads and cached prompt parts are sent as soon as they change ([`publish_loads`]), the
//! same bytes to all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use vaneway_ledger::EntryIncarnation;
use vaneway_limit::BoxNumber;
use vaneway_limit::EndpointLimit;
use vaneway_quota::Sharers;
use vaneway_quota::Slot;

use crate::core::cluster::wire::BetweenControl;
use crate::core::cluster::wire::LOAD_REPORT_INTERVAL;
use crate::core::cluster::wire::LOAD_UPDATES_PER_FULL;
use crate::core::cluster::wire::SLOTS_PER_REPORT;
use crate::core::cluster::wire::ToEntry;
use crate::core::cluster::wire::USAGE_REPORT_INTERVAL;
use crate::core::cluster::wire::USAGE_REPORTS_PER_FULL;
use crate::core::cluster::wire::Wanted;
use crate::core::control::links;
use crate::core::control::links::EntryLink;
use crate::core::control::neighbours;
use crate::core::control::peers;
use crate::core::control::state::Control;
use crate::core::limits;
use crate::util::clock;
use crate::util::frames::EncodedFrame;

/// How long an entry box that was lost counts as one that may still admit requests.
const LOST_ENTRY_RETENTION: Duration = Duration::from_secs(8);

/// Every how many rounds of usage updates the neighbours of entry boxes are determined.
const ROUNDS_PER_NEIGHBOURS: u64 = 5;

/// Maximum age of the last contact with a leader at which this box does not count as partitioned.
pub(super) const MAX_LEADER_AGE: Duration = Duration::from_millis(1_500);

/// Sends entry boxes the others' usage at a fixed interval, until dropped.
pub async fn publish_usage(control: Rc<Control>) {
    let mut boxes = Vec::new();
    let mut round: u64 = 0;
    loop {
        control.timers.sleep(USAGE_REPORT_INTERVAL).await;
        round += 1;
        let current_boxes = links::control_boxes(&control);
        if boxes != current_boxes {
            links::send_to_entries(&control, &ToEntry::ControlBoxes(current_boxes.clone()));
        }
        boxes = current_boxes;
        send_usage(&control, round.is_multiple_of(USAGE_REPORTS_PER_FULL)).await;
        send_box_numbers(&control).await;
        if round.is_multiple_of(ROUNDS_PER_NEIGHBOURS) {
            neighbours::publish(&control).await;
        }
    }
}

/// Numbers of connected entry boxes, and of those that may be running. A lost entry box may be
/// partitioned and still admit requests, so it counts as running for a while. It counts
/// indefinitely while this box knows no leader, since this box may then be the partitioned one.
pub(super) fn sharers(control: &Control) -> Sharers {
    let now = clock::now();
    let mut seen = control.entries_last_seen.borrow_mut();
    for link in control.entry_links.borrow().values() {
        seen.insert(link.incarnation.0.clone(), now);
    }
    let reporting = seen.values().filter(|at| **at == now).count() as u32;
    let has_leader = now.saturating_duration_since(control.last_leader_at.get()) < MAX_LEADER_AGE;
    if has_leader {
        seen.retain(|_, at| now.saturating_duration_since(*at) < LOST_ENTRY_RETENTION);
    }
    let seen = seen.len() as u32;
    // A box that has just started has not seen the entry boxes that have yet to connect, and would
    // divide the complete retry budget among the first ones.
    let more_may_connect = clock::elapsed(control.started) < LOST_ENTRY_RETENTION || !has_leader;
    let known = if more_may_connect { seen.max(control.reported_entry_count.get()) } else { seen };
    Sharers { reporting, known }
}

/// When each connected entry box made its last recent report.
fn last_report_times(control: &Control, now: Duration) -> BTreeMap<EntryIncarnation, Duration> {
    let ledger = control.usage_ledger.borrow();
    let links = control.entry_links.borrow();
    let times = links.values().filter_map(|link| {
        let at = ledger.last_report_at(now, &link.incarnation)?;
        Some((link.incarnation.clone(), at))
    });
    times.collect()
}

/// Sends subscribed entry boxes the quota usage of the others: all slots, or the latest.
async fn send_usage(control: &Control, all: bool) {
    let links = subscribers(control, |subscription| subscription.quotas);
    if links.is_empty() {
        return;
    }
    let first = if all {
        0
    } else {
        control.usage_ledger.borrow_mut().quotas().first_slot_to_send(SLOTS_PER_REPORT)
    };
    let update = QuotaUpdate::of(control, first);
    for link in links {
        control.turns.next().await;
        link.outgoing.send(&update.for_entry(control, &link.incarnation));
    }
}

/// Connections of the entry boxes for whose subscription `selects` is true.
pub(super) fn subscribers(
    control: &Control,
    selects: impl Fn(Wanted) -> bool,
) -> Vec<Rc<EntryLink>> {
    let links = control.entry_links.borrow();
    links.values().filter(|link| selects(link.subscription.get())).cloned().collect()
}

/// Sends subscribed entry boxes the loads of endpoints and the prompt parts cached there, as soon
/// as they change, until dropped.
pub async fn publish_loads(control: Rc<Control>) {
    let mut round: u64 = 0;
    loop {
        control.timers.sleep(LOAD_REPORT_INTERVAL).await;
        round += 1;
        let full = round.is_multiple_of(LOAD_UPDATES_PER_FULL);
        send_parts(&control, full).await;
        send_limits(&control).await;
        let loads = {
            let mut ledger = control.usage_ledger.borrow_mut();
            let changed = ledger.loads().take_changed();
            if full { ledger.loads().all() } else { changed }
        };
        if loads.is_empty() && !full {
            continue;
        }
        let message = EncodedFrame::new(&ToEntry::Loads { is_full: full, loads });
        for link in subscribers(&control, |subscription| subscription.loads) {
            control.turns.next().await;
            // An entry box with a queued update gets the next full one instead of a backlog of old
            // ones.
            if !link.outgoing.has_queued() {
                link.outgoing.send_encoded(&message);
            }
        }
    }
}

/// Sends new cached prompt parts; expires old ones if `expire` is set.
async fn send_parts(control: &Control, expire: bool) {
    let updates = {
        let mut parts = control.cached_parts.borrow_mut();
        if expire {
            parts.expire(clock::now());
        }
        parts.take_updates()
    };
    if !updates.is_empty() {
        send_to_load_subscribers_in_turns(control, &ToEntry::Parts(updates)).await;
    }
}

/// Sends a message to the entry boxes that have subscribed to loads at this box, each in a turn.
async fn send_to_load_subscribers_in_turns(control: &Control, message: &ToEntry) {
    let message = EncodedFrame::new(message);
    for link in subscribers(control, |subscription| subscription.loads) {
        control.turns.next().await;
        link.outgoing.send_encoded(&message);
    }
}

/// Sends new limits that endpoints advertise to the subscribed entry boxes, and those reported here
/// to the other control boxes.
async fn send_limits(control: &Control) {
    let updates = {
        let mut limits = control.limits.borrow_mut();
        let registry = control.registry.borrow();
        limits
            .remove_expired(control.time(), |name, born| limits::may_answer(&registry, name, born));
        limits.take_updates()
    };
    if updates.is_empty() {
        return;
    }
    let reported_here = control.limits_for_peers.take();
    let for_peers = updates.iter().filter(|update| reported_here.contains(&update.endpoint));
    let for_peers: Vec<EndpointLimit> = for_peers.cloned().collect();
    if !for_peers.is_empty() {
        peers::send_to_all(control, BetweenControl::Limits(for_peers));
    }
    send_to_load_subscribers_in_turns(control, &ToEntry::Limits(updates)).await;
}

/// Sends entry boxes their changed numbers among all entry boxes that may be running.
async fn send_box_numbers(control: &Control) {
    for (link, number) in changed_box_numbers(control) {
        control.turns.next().await;
        link.outgoing.send(&ToEntry::BoxNumber(number));
    }
}

/// Changed numbers of entry boxes, in the order of the names of all that may be running.
fn changed_box_numbers(control: &Control) -> Vec<(Rc<EntryLink>, BoxNumber)> {
    let of = sharers(control).known;
    let seen = control.entries_last_seen.borrow();
    let numbers: BTreeMap<&str, u32> = seen.keys().map(String::as_str).zip(0..).collect();
    let changed =
        subscribers(control, |subscription| subscription.loads).into_iter().filter_map(|link| {
            let number = BoxNumber { number: *numbers.get(link.incarnation.0.as_str())?, of };
            let is_new = link.box_number.replace(Some(number)) != Some(number);
            is_new.then_some((link, number))
        });
    changed.collect()
}

/// Changes the subscription of an entry box, and sends it a full update of what it newly contains.
pub(super) fn subscribe(control: &Control, link: u64, subscription: Wanted) {
    let Some(link) = control.entry_links.borrow().get(&link).cloned() else { return };
    let before = link.subscription.replace(subscription);
    if subscription.quotas && !before.quotas {
        link.outgoing.send(&QuotaUpdate::of(control, 0).for_entry(control, &link.incarnation));
    }
    if subscription.loads && !before.loads {
        let loads = control.usage_ledger.borrow_mut().loads().all();
        link.outgoing.send(&ToEntry::Loads { is_full: true, loads });
        link.outgoing.send(&ToEntry::Parts(control.cached_parts.borrow().all()));
        let records = control.quarantine.borrow().valid_records(control.time());
        if !records.is_empty() {
            link.outgoing.send(&ToEntry::QuarantineRecords(records));
        }
        let limits = control.limits.borrow().all();
        if !limits.is_empty() {
            link.outgoing.send(&ToEntry::Limits(limits));
        }
        // From now on the entry box uses the number that this box sends, so the next one is sent
        // even if it is the same as before.
        link.box_number.set(None);
    }
}

/// Quota usage and the boxes that share the quotas, the same for all receivers of an update.
struct QuotaUpdate {
    /// Entry boxes that report in time; empty if this box does not know the time.
    reporting: BTreeSet<EntryIncarnation>,
    /// Cluster time up to which the usage of all of them is known.
    as_of: Option<Duration>,
    known: u32,
    /// The first slot in the update.
    first: Slot,
}

impl QuotaUpdate {
    /// An update from the slot `first` on.
    fn of(control: &Control, first: Slot) -> Self {
        let Sharers { known, .. } = sharers(control);
        let report_times =
            control.known_time().map(|now| last_report_times(control, now)).unwrap_or_default();
        let as_of = report_times.values().min().copied();
        Self { reporting: report_times.into_keys().collect(), as_of, known, first }
    }

    /// The message for one entry box. The sums are those of now, not of when the update began: the
    /// entry box may have reported more since, and its own usage is subtracted from them.
    fn for_entry(&self, control: &Control, entry: &EntryIncarnation) -> ToEntry {
        let time = control.time();
        let mut ledger = control.usage_ledger.borrow_mut();
        let quotas = ledger.quotas().others(time, self.first, entry);
        let as_of = self.as_of.filter(|_| self.reporting.contains(entry));
        let reporting = self.reporting.len() as u32;
        ToEntry::OthersUsage { as_of, reporting, known: self.known, quotas }
    }
}

//! What a control box tells entry boxes of each other.
//!
//! Data flow: entry boxes say what they want to be told (`subscribe`), each of few control boxes.
//! What the others took of quotas is told again and again ([`publish_usage`]), since it changes all the
//! time; loads and kept prompt parts as soon as they change ([`publish_loads`]), the same bytes to all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use vaneway_limit::BoxNumber;
use vaneway_limit::EndpointLimit;
use vaneway_quota::Sharers;
use vaneway_quota::Slot;

use crate::core::cluster::wire::BetweenControl;
use crate::core::cluster::wire::LOAD_REPORT_INTERVAL;
use crate::core::cluster::wire::LOAD_REPORTS_PER_FULL;
use crate::core::cluster::wire::SLOTS_PER_REPORT;
use crate::core::cluster::wire::ToEntry;
use crate::core::cluster::wire::USAGE_REPORT_INTERVAL;
use crate::core::cluster::wire::USAGE_REPORTS_PER_FULL;
use crate::core::cluster::wire::Wanted;
use crate::core::control::links;
use crate::core::control::links::EntryLink;
use crate::core::control::peers;
use crate::core::control::state::Control;
use crate::core::entry_incarnation::EntryIncarnation;
use crate::core::limits;
use crate::util::clock;
use crate::util::frames::EncodedFrame;

/// How long an entry box that was lost counts as one that may still take requests.
const LOST_ENTRY_RETENTION: Duration = Duration::from_secs(8);

/// Age of the last sign of a leader up to which this box is not cut off.
const MAX_LEADER_AGE: Duration = Duration::from_millis(1_500);

/// Tells the entry boxes again and again what the others used, until dropped.
pub async fn publish_usage(control: Rc<Control>) {
    let mut boxes = Vec::new();
    let mut round: u64 = 0;
    loop {
        control.timers.sleep(USAGE_REPORT_INTERVAL).await;
        round += 1;
        let now_boxes = links::control_boxes(&control);
        if boxes != now_boxes {
            links::send_to_entries(&control, &ToEntry::ControlBoxes(now_boxes.clone()));
        }
        boxes = now_boxes;
        send_usage(&control, round.is_multiple_of(USAGE_REPORTS_PER_FULL)).await;
        send_box_numbers(&control).await;
    }
}

/// How many entry boxes are heard, and how many may be there. One that was lost may be cut off and
/// go on taking requests, so it counts for a while; for good while this box knows of no leader, as
/// it may then be this box that is cut off.
pub(super) fn sharers(control: &Control) -> Sharers {
    let now = clock::now();
    let mut seen = control.entries_last_seen.borrow_mut();
    for link in control.entries.borrow().values() {
        seen.insert(link.start.0.clone(), now);
    }
    let reporting = seen.values().filter(|at| **at == now).count() as u32;
    let is_led = now.saturating_duration_since(control.last_leader_at.get()) < MAX_LEADER_AGE;
    if is_led {
        seen.retain(|_, at| now.saturating_duration_since(*at) < LOST_ENTRY_RETENTION);
    }
    let seen = seen.len() as u32;
    // A box that has just started has not seen those that still come, and would share out all retries among the
    // first.
    let more_may_connect = clock::elapsed(control.started) < LOST_ENTRY_RETENTION || !is_led;
    let known = if more_may_connect { seen.max(control.reported_entry_count.get()) } else { seen };
    Sharers { reporting, known }
}

/// When each connected entry box made its last report that is recent.
fn last_report_times(control: &Control, now: Duration) -> BTreeMap<EntryIncarnation, Duration> {
    let ledger = control.usage_ledger.borrow();
    let links = control.entries.borrow();
    let times = links.values().filter_map(|link| {
        let at = ledger.last_report_at(now, &link.start)?;
        Some((link.start.clone(), at))
    });
    times.collect()
}

/// Tells entry boxes what the others took of quotas, if they want to know; all slots, or the latest.
async fn send_usage(control: &Control, all: bool) {
    let told = subscribers(control, |subscription| subscription.quotas);
    if told.is_empty() {
        return;
    }
    let first = if all {
        0
    } else {
        control.usage_ledger.borrow_mut().quotas().first_slot_to_send(SLOTS_PER_REPORT)
    };
    let news = QuotaUpdate::of(control, first);
    for link in told {
        control.turns.next().await;
        link.outgoing.send(&news.for_entry(control, &link.start));
    }
}

/// The connections of entry boxes that want to be told something.
fn subscribers(control: &Control, what: impl Fn(Wanted) -> bool) -> Vec<Rc<EntryLink>> {
    let links = control.entries.borrow();
    links.values().filter(|link| what(link.subscription.get())).cloned().collect()
}

/// Tells entry boxes what all have open at endpoints and which prompt parts they brought there, as soon as
/// it changes, until dropped.
pub async fn publish_loads(control: Rc<Control>) {
    let mut round: u64 = 0;
    loop {
        control.timers.sleep(LOAD_REPORT_INTERVAL).await;
        round += 1;
        let whole = round.is_multiple_of(LOAD_REPORTS_PER_FULL);
        send_parts(&control, whole).await;
        send_limits(&control).await;
        let loads = {
            let mut ledger = control.usage_ledger.borrow_mut();
            let changed = ledger.loads().take_changed();
            if whole { ledger.loads().all() } else { changed }
        };
        if loads.is_empty() && !whole {
            continue;
        }
        let message = EncodedFrame::new(&ToEntry::Loads { whole, loads });
        for link in subscribers(&control, |subscription| subscription.loads) {
            control.turns.next().await;
            // One that has not taken in the last telling gets the next whole one, not a queue of old ones.
            if !link.outgoing.has_queued() {
                link.outgoing.send_encoded(&message);
            }
        }
    }
}

/// Tells the prompt parts that entry boxes brought to endpoints; forgets old ones now and then.
async fn send_parts(control: &Control, forget: bool) {
    let news = {
        let mut parts = control.parts.borrow_mut();
        if forget {
            parts.expire(clock::now());
        }
        parts.take_updates()
    };
    if !news.is_empty() {
        send_to_load_subscribers_in_turns(control, &ToEntry::Parts(news)).await;
    }
}

/// Sends a message to all entry boxes that this box tells of loads, one in a turn.
async fn send_to_load_subscribers_in_turns(control: &Control, message: &ToEntry) {
    let message = EncodedFrame::new(message);
    for link in subscribers(control, |subscription| subscription.loads) {
        control.turns.next().await;
        link.outgoing.send_encoded(&message);
    }
}

/// Tells which limits endpoints named, to the entry boxes that this box tells of others and to the other control boxes.
async fn send_limits(control: &Control) {
    let news = {
        let mut limits = control.limits.borrow_mut();
        let registry = control.registry.borrow();
        limits
            .remove_expired(control.time(), |name, born| limits::may_answer(&registry, name, born));
        limits.take_updates()
    };
    if news.is_empty() {
        return;
    }
    let heard_here = control.limits_for_peers.take();
    let for_peers = news.iter().filter(|news| heard_here.contains(&news.endpoint));
    let for_peers: Vec<EndpointLimit> = for_peers.cloned().collect();
    if !for_peers.is_empty() {
        peers::send_to_all(control, BetweenControl::Limits(for_peers));
    }
    send_to_load_subscribers_in_turns(control, &ToEntry::Limits(news)).await;
}

/// Tells entry boxes which of all that there may be they are, as soon as it changes.
async fn send_box_numbers(control: &Control) {
    for (link, number) in changed_box_numbers(control) {
        control.turns.next().await;
        link.outgoing.send(&ToEntry::BoxNumber(number));
    }
}

/// The numbers of entry boxes that they have not been told yet, by the order of the names of all that may be there.
fn changed_box_numbers(control: &Control) -> Vec<(Rc<EntryLink>, BoxNumber)> {
    let of = sharers(control).known;
    let seen = control.entries_last_seen.borrow();
    let numbers: BTreeMap<&str, u32> = seen.keys().map(String::as_str).zip(0..).collect();
    let changed =
        subscribers(control, |subscription| subscription.loads).into_iter().filter_map(|link| {
            let number = BoxNumber { number: *numbers.get(link.start.0.as_str())?, of };
            let is_news = link.box_number.replace(Some(number)) != Some(number);
            is_news.then_some((link, number))
        });
    changed.collect()
}

/// Begins or ceases to tell an entry box of the others; what it wants newly, it is told whole at once.
pub(super) fn subscribe(control: &Control, link: u64, subscription: Wanted) {
    let Some(link) = control.entries.borrow().get(&link).cloned() else { return };
    let before = link.subscription.replace(subscription);
    if subscription.quotas && !before.quotas {
        link.outgoing.send(&QuotaUpdate::of(control, 0).for_entry(control, &link.start));
    }
    if subscription.loads && !before.loads {
        let loads = control.usage_ledger.borrow_mut().loads().all();
        link.outgoing.send(&ToEntry::Loads { whole: true, loads });
        link.outgoing.send(&ToEntry::Parts(control.parts.borrow().all()));
        let findings = control.quarantine.borrow().valid_records(control.time());
        if !findings.is_empty() {
            link.outgoing.send(&ToEntry::QuarantineRecords(findings));
        }
        let limits = control.limits.borrow().all();
        if !limits.is_empty() {
            link.outgoing.send(&ToEntry::Limits(limits));
        }
        // It goes by what it is told from now on.
        link.box_number.set(None);
    }
}

/// Who shares the quotas, as all that are told at a time are told.
struct QuotaUpdate {
    /// The entry boxes that are heard; none if this box can't tell the time.
    reporting: BTreeSet<EntryIncarnation>,
    /// Until when the use of all of them is known.
    as_of: Option<Duration>,
    known: u32,
    /// The first slot that is told.
    first: Slot,
}

impl QuotaUpdate {
    /// From the slot `first` on.
    fn of(control: &Control, first: Slot) -> Self {
        let Sharers { known, .. } = sharers(control);
        let report_times =
            control.known_time().map(|now| last_report_times(control, now)).unwrap_or_default();
        let as_of = report_times.values().min().copied();
        Self { reporting: report_times.into_keys().collect(), as_of, known, first }
    }

    /// What an entry box is told. The sums are of now, and not of when the telling began: this box may have told
    /// of more since, and its own use is taken off them.
    fn for_entry(&self, control: &Control, entry: &EntryIncarnation) -> ToEntry {
        let time = control.time();
        let mut ledger = control.usage_ledger.borrow_mut();
        let quotas = ledger.quotas().others(time, self.first, entry);
        let as_of = self.as_of.filter(|_| self.reporting.contains(entry));
        let heard = self.reporting.len() as u32;
        ToEntry::OthersUsage { as_of, reporting: heard, known: self.known, quotas }
    }
}

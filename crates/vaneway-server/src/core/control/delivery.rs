//! Sends entry boxes state as they can take it.
//!
//! Data flow: whoever changes state records its keys in an [`UpdateLog`] and calls `deliver` for
//! each entry box. While there is room in the entry box's queue, updates are made from the present
//! state and queued. Otherwise only the [`DeliveryState`] of the entry box says what it has not
//! been sent yet, and `deliver_when_room` sends that once there is room. What is queued for all
//! entry boxes together is therefore bounded by their number, however slowly they read and however
//! much changes.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use vaneway_quarantine::RecordKey;
use vaneway_quota::Slot;
use vaneway_registry::InstanceId;

use crate::core::cluster::wire::ToEntry;
use crate::core::control::entry_updates;
use crate::core::control::links::EntryLink;
use crate::core::control::remembered;
use crate::core::control::state::Control;
use crate::core::control::update_log::Position;
use crate::core::control::update_log::UpdateLog;
use crate::util::clock;
use crate::util::frames::EncodedFrame;

/// Number of queued bytes from which on no more updates are queued: 50 ms of a link of 10 Mbit/s.
const MAX_QUEUED_BYTES: usize = 64 << 10;

/// The same for what an entry box can't do without: endpoints, and the others' usage of quotas, which
/// is too old to divide quotas by after 400 ms. The endpoints of a large deployment are queued before
/// a configuration that is requested meanwhile, and usage behind all loads of a large deployment,
/// which alone are longer than `MAX_QUEUED_BYTES`.
const MAX_QUEUED_URGENT_BYTES: usize = 256 << 10;

/// Maximum number of endpoints in an update: some 25 kB, long enough to be shared by queues.
const MAX_ENDPOINTS: usize = 256;

/// Maximum number of quarantine records in an update.
const MAX_QUARANTINE_RECORDS: usize = 256;

/// Maximum number of limits in an update.
const MAX_LIMITS: usize = 512;

/// Maximum number of endpoints in an update of prompt parts, of which each may cache hundreds.
const MAX_ENDPOINTS_WITH_PARTS: usize = 32;

/// Kind of state that entry boxes are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Registrations of endpoints.
    Registrations,
    /// Endpoints remembered across a power loss.
    Remembered,
    /// Requests that were running when endpoints crashed.
    QuarantineRecords,
    /// Limits that endpoints advertise.
    Limits,
    /// The others' usage of quotas.
    Usage,
    /// All loads.
    Loads,
    /// Cached prompt parts.
    Parts,
}

impl Kind {
    /// All kinds, the most urgent first.
    pub const ALL: [Self; 7] = [
        Self::Registrations,
        Self::Remembered,
        Self::QuarantineRecords,
        Self::Limits,
        Self::Usage,
        Self::Loads,
        Self::Parts,
    ];

    /// Number of queued bytes from which on no more of this kind is queued.
    pub(super) fn max_queued(self) -> usize {
        match self {
            Self::Registrations | Self::Remembered | Self::Usage => MAX_QUEUED_URGENT_BYTES,
            Self::QuarantineRecords | Self::Limits | Self::Loads | Self::Parts => MAX_QUEUED_BYTES,
        }
    }
}

/// Changes of the state that entry boxes are sent.
#[derive(Debug, Default)]
pub struct UpdateLogs {
    pub(super) registrations: RefCell<UpdateLog<InstanceId>>,
    /// Indices of the remembered endpoints.
    pub(super) remembered: RefCell<UpdateLog<usize>>,
    pub(super) quarantine_records: RefCell<UpdateLog<RecordKey>>,
    pub(super) limits: RefCell<UpdateLog<InstanceId>>,
    /// Endpoints with new parts.
    pub(super) parts: RefCell<UpdateLog<InstanceId>>,
    /// All loads, encoded; none if they have changed since.
    pub(super) full_loads: RefCell<Option<EncodedFrame>>,
}

/// What an entry box has been sent, and what it has yet to be sent.
#[derive(Debug, Default)]
pub struct DeliveryState {
    registrations: Cell<Position>,
    remembered: Cell<Position>,
    quarantine_records: Cell<Position>,
    limits: Cell<Position>,
    parts: Cell<Position>,
    loads_due: Cell<bool>,
    /// The first slot of the usage that it has yet to be sent.
    usage_due_from: Cell<Option<Slot>>,
}

impl DeliveryState {
    /// Makes the usage from the slot `first` on due.
    pub(super) fn require_usage(&self, first: Slot) {
        let due_from = self.usage_due_from.get();
        self.usage_due_from.set(Some(due_from.map_or(first, |due_from| due_from.min(first))));
    }

    /// The first slot of the usage that is due, which is none from now on.
    pub(super) fn take_usage_due(&self) -> Option<Slot> {
        self.usage_due_from.take()
    }

    /// Makes everything due that comes with a subscription to loads.
    pub(super) fn require_loads(&self) {
        self.loads_due.set(true);
        self.quarantine_records.set(0);
        self.limits.set(0);
        self.parts.set(0);
    }

    /// Whether all loads are due.
    pub(super) fn is_loads_due(&self) -> bool {
        self.loads_due.get()
    }
}

/// Queues what an entry box has not been sent yet of these kinds, while there is room.
pub(super) fn deliver(control: &Control, link: &EntryLink, kinds: &[Kind]) {
    for kind in kinds {
        while link.outgoing.has_room(kind.max_queued()) {
            match next(control, link, *kind) {
                Next::Message(frame) => link.outgoing.send_encoded(&frame),
                Next::Nothing => {}
                Next::Finished => break,
            }
        }
        if !link.outgoing.has_room(kind.max_queued()) {
            link.outgoing.request_room();
        }
    }
}

/// Queues these kinds for all entry boxes, while there is room.
pub(super) fn deliver_to_all(control: &Control, kinds: &[Kind]) {
    for link in control.entry_links.borrow().values() {
        deliver(control, link, kinds);
    }
}

/// Queues these kinds for the entry boxes that have subscribed to loads, each in a turn.
pub(super) async fn deliver_to_load_subscribers(control: &Control, kinds: &[Kind]) {
    for link in entry_updates::subscribers(control, |subscription| subscription.loads) {
        control.turns.next().await;
        deliver(control, &link, kinds);
    }
}

/// Queues what an entry box has not been sent yet whenever there is room again, until its
/// connection ends.
pub(super) async fn deliver_when_room(control: Rc<Control>, link: Rc<EntryLink>) {
    while link.outgoing.room().await {
        control.turns.next().await;
        deliver(&control, &link, &Kind::ALL);
    }
}

/// The next update of a kind.
enum Next {
    Message(EncodedFrame),
    /// Nothing remains of what changed; there may be further changes.
    Nothing,
    /// The entry box has been sent everything.
    Finished,
}

/// The next update of a kind for an entry box, which counts as sent.
fn next(control: &Control, link: &EntryLink, kind: Kind) -> Next {
    let state = &link.delivery;
    let subscription = link.subscription.get();
    let is_wanted = match kind {
        Kind::Registrations => true,
        Kind::Remembered => remembered::remaining(control).is_some(),
        Kind::Usage => subscription.quotas,
        Kind::QuarantineRecords | Kind::Limits | Kind::Loads | Kind::Parts => subscription.loads,
    };
    if !is_wanted {
        return Next::Finished;
    }
    let logs = &control.update_logs;
    match kind {
        Kind::Registrations => {
            next_of(&logs.registrations, &state.registrations, MAX_ENDPOINTS, |keys| {
                registrations(control, keys)
            })
        }
        Kind::Remembered => next_of(&logs.remembered, &state.remembered, MAX_ENDPOINTS, |keys| {
            remembered_endpoints(control, keys)
        }),
        Kind::QuarantineRecords => next_of(
            &logs.quarantine_records,
            &state.quarantine_records,
            MAX_QUARANTINE_RECORDS,
            |keys| quarantine_records(control, keys),
        ),
        Kind::Limits => {
            next_of(&logs.limits, &state.limits, MAX_LIMITS, |keys| limits(control, keys))
        }
        Kind::Parts => next_of(&logs.parts, &state.parts, MAX_ENDPOINTS_WITH_PARTS, |keys| {
            parts(control, keys)
        }),
        Kind::Usage => state.take_usage_due().map_or(Next::Finished, |first| {
            Next::Message(EncodedFrame::new(&entry_updates::usage(control, link, first)))
        }),
        Kind::Loads if state.loads_due.take() => Next::Message(full_loads(control)),
        Kind::Loads => Next::Finished,
    }
}

fn next_of<K: Ord + Clone>(
    log: &RefCell<UpdateLog<K>>,
    sent: &Cell<Position>,
    max_keys: usize,
    message: impl FnOnce(&[K]) -> Option<ToEntry>,
) -> Next {
    let next = log.borrow_mut().next(clock::now(), sent.get(), max_keys, message);
    let Some((frame, up_to)) = next else { return Next::Finished };
    sent.set(up_to);
    frame.map_or(Next::Nothing, Next::Message)
}

fn registrations(control: &Control, keys: &[InstanceId]) -> Option<ToEntry> {
    let registry = control.registry.borrow();
    let now = clock::now();
    let reports: Vec<_> = keys.iter().filter_map(|id| registry.report(now, id)).collect();
    (!reports.is_empty()).then_some(ToEntry::Registry(reports))
}

fn remembered_endpoints(control: &Control, keys: &[usize]) -> Option<ToEntry> {
    let left_ms = remembered::remaining(control)?.as_millis() as u64;
    let remembered = control.remembered.borrow();
    let endpoints: Vec<_> = keys.iter().filter_map(|i| remembered.get(*i).cloned()).collect();
    (!endpoints.is_empty()).then_some(ToEntry::Remembered { endpoints, left_ms })
}

fn quarantine_records(control: &Control, keys: &[RecordKey]) -> Option<ToEntry> {
    let quarantine = control.quarantine.borrow();
    let now = control.time();
    let records: Vec<_> = keys.iter().filter_map(|key| quarantine.valid_record(now, key)).collect();
    (!records.is_empty()).then_some(ToEntry::QuarantineRecords(records))
}

fn limits(control: &Control, keys: &[InstanceId]) -> Option<ToEntry> {
    let limits = control.limits.borrow();
    let limits: Vec<_> = keys.iter().filter_map(|id| limits.limit_of(id.clone())).collect();
    (!limits.is_empty()).then_some(ToEntry::Limits(limits))
}

fn parts(control: &Control, keys: &[InstanceId]) -> Option<ToEntry> {
    let ledger = control.cached_parts.borrow();
    let parts: Vec<_> =
        keys.iter().filter_map(|id| Some((id.clone(), ledger.parts_at(id)?))).collect();
    (!parts.is_empty()).then_some(ToEntry::Parts(parts))
}

/// All loads, encoded once for all entry boxes until they change.
fn full_loads(control: &Control) -> EncodedFrame {
    let mut full_loads = control.update_logs.full_loads.borrow_mut();
    let full_loads = full_loads.get_or_insert_with(|| {
        let loads = control.usage_ledger.borrow_mut().loads().all();
        EncodedFrame::new(&ToEntry::Loads { is_full: true, loads })
    });
    full_loads.clone()
}

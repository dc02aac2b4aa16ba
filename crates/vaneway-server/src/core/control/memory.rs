//! Memory held by data that waits: for entry boxes, for other control boxes, for the disk, or for
//! the rest of a message.
//!
//! These queues grow when the receivers are slower than this box; all other memory grows with the
//! deployment only. The queue for one box is bounded (see [`send_queue`](crate::util::send_queue));
//! while the disk is too far behind, no more writes are queued ([`strip_writes`]).

use std::rc::Rc;
use std::time::Duration;

use vaneway_agreement::Event;
use vaneway_agreement::Message;

use crate::core::control::state::Control;
use crate::core::control::store;
use crate::util::logline::Line;

/// Interval between two checks of the waiting data.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Size of the waiting data in bytes from which it is logged.
const LOG_THRESHOLD_BYTES: usize = 16 << 20;

/// Maximum size of the queued disk writes in bytes.
const MAX_UNWRITTEN_BYTES: usize = 32 << 20;

/// Whether the disk is so far behind that no more writes may be queued.
pub(super) fn is_disk_behind(control: &Control) -> bool {
    control.unwritten_bytes.get() > MAX_UNWRITTEN_BYTES
}

/// What remains of an event when nothing may be written. Entries are treated as lost in transit,
/// and the leader sends them again; the heartbeat that carries them still counts. None if nothing
/// remains.
pub fn strip_writes(event: Event) -> Option<Event> {
    match event {
        Event::Message { from, message: Message::Append(mut append) } => {
            append.entries.clear();
            Some(Event::Message { from, message: Message::Append(append) })
        }
        Event::Message { message: Message::Install(_), .. } => None,
        event => Some(event),
    }
}

/// Waiting data in bytes, by what it waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitingBytes {
    /// To be sent to entry boxes.
    entries: usize,
    /// To be sent to other control boxes.
    peers: usize,
    /// Received parts of incomplete messages.
    arriving: usize,
    /// To be written to disk.
    unwritten: usize,
    /// Commands in the Raft log that no snapshot covers yet.
    log: usize,
}

impl WaitingBytes {
    fn of(control: &Control) -> Self {
        let entries = control.entry_links.borrow();
        let entries = entries.values().map(|link| link.outgoing.queued_bytes()).sum();
        Self {
            entries,
            peers: control.buffered.queued() - entries,
            arriving: control.buffered.partial(),
            unwritten: control.unwritten_bytes.get(),
            log: store::command_bytes(control.node.borrow().log().entries()),
        }
    }

    fn sum(self) -> usize {
        let Self { entries, peers, arriving, unwritten, log } = self;
        entries + peers + arriving + unwritten + log
    }
}

/// Logs large amounts of waiting data and of forwarded updates, until dropped.
pub async fn watch(control: Rc<Control>) {
    loop {
        control.timers.sleep(WATCH_INTERVAL).await;
        control.forwarded.log_if_many();
        let waiting = WaitingBytes::of(&control);
        if waiting.sum() < LOG_THRESHOLD_BYTES {
            continue;
        }
        Line::new("memory_waiting")
            .with("entries", waiting.entries)
            .with("peers", waiting.peers)
            .with("arriving", waiting.arriving)
            .with("unwritten", waiting.unwritten)
            .with("log", waiting.log)
            .with("links", control.entry_links.borrow().len())
            .warn();
    }
}

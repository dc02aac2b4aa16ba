//! How much a control box holds of what waits: for entry boxes, for other control boxes, for the disk, or for the rest of a
//! message to arrive.
//!
//! These are what grows when others are slower than this box; all else grows with the deployment. What waits for one box has a
//! bound ([`send_queue`](crate::util::send_queue)); while the disk is behind nothing is added to what it must write
//! ([`strip_writes`]).

use std::rc::Rc;
use std::time::Duration;

use vaneway_agreement::Event;
use vaneway_agreement::Message;

use crate::core::control::state::Control;
use crate::core::control::store;
use crate::util::logline::Line;

/// Time between two looks at what waits.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Bytes from which on what waits is logged.
const LOG_THRESHOLD_BYTES: usize = 16 << 20;

/// Bytes that wait for the disk up to which more is written.
const MAX_UNWRITTEN_BYTES: usize = 32 << 20;

/// Whether the disk is so far behind that nothing may be added to what it must write.
pub(super) fn is_disk_behind(control: &Control) -> bool {
    control.unwritten.get() > MAX_UNWRITTEN_BYTES
}

/// What is left of an event if nothing may be written: entries count as lost on the way, and are sent again; the sign of
/// life that comes with them counts. None if nothing is left.
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

/// Bytes that a control box holds, by what they wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitingBytes {
    /// For entry boxes to take them.
    entries: usize,
    /// For other control boxes to take them.
    peers: usize,
    /// For the rest of their message to arrive.
    arriving: usize,
    /// For the disk.
    unwritten: usize,
    /// For a snapshot to take the place of the agreement's entries.
    log: usize,
}

impl WaitingBytes {
    fn of(control: &Control) -> Self {
        let entries = control.entries.borrow();
        let entries = entries.values().map(|link| link.outgoing.queued_bytes()).sum();
        Self {
            entries,
            peers: control.buffered.queued() - entries,
            arriving: control.buffered.partial(),
            unwritten: control.unwritten.get(),
            log: store::command_bytes(control.node.borrow().log().entries()),
        }
    }

    fn sum(self) -> usize {
        let Self { entries, peers, arriving, unwritten, log } = self;
        entries + peers + arriving + unwritten + log
    }
}

/// Logs what waits and what was passed on while it is much, until dropped.
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
            .with("links", control.entries.borrow().len())
            .warn();
    }
}

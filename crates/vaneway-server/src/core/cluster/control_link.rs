//! An entry box's open connection to a control box.
//!
//! It limits what is sent to what the control box can process. Until the control box has admitted
//! this box, only the hello is sent; and while a ping is unanswered for too long, reports are
//! skipped, since the control box has not processed the earlier ones. What was skipped is sent
//! later with newer values.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Instant;

use crate::core::cluster::publishers::Publisher;
use crate::core::cluster::wire::FromEntry;
use crate::core::cluster::wire::ToControl;
use crate::core::cluster::wire::UNANSWERED_PING_THRESHOLD;
use crate::core::cluster::wire::Wanted;
use crate::util::clock;
use crate::util::frames::EncodedFrame;
use crate::util::send_queue::SendQueue;

/// An open connection to a control box.
#[derive(Debug)]
pub(super) struct ControlLink {
    pub(super) outgoing: SendQueue,
    pub(super) opened_at: Instant,
    /// When the last message arrived.
    pub(super) last_message_at: Cell<Instant>,
    /// Whether the control box has admitted this box.
    pub(super) admitted: Cell<bool>,
    /// When the ping was sent that is still unanswered.
    pub(super) ping_sent_at: Cell<Option<Instant>>,
    /// Whether a report was skipped since a ping was overdue.
    pub(super) has_skipped: Cell<bool>,
    /// Whether the control box is in this box's availability zone.
    pub(super) same_zone: Cell<bool>,
    /// What this box has subscribed to at the control box.
    pub(super) wanted: Cell<Wanted>,
}

impl ControlLink {
    pub(super) fn new(outgoing: SendQueue) -> Self {
        let now = clock::now();
        Self {
            outgoing,
            opened_at: now,
            last_message_at: Cell::new(now),
            admitted: Cell::new(false),
            ping_sent_at: Cell::new(None),
            has_skipped: Cell::new(false),
            same_zone: Cell::new(false),
            wanted: Cell::default(),
        }
    }

    /// Sends a message, even if the control box lags behind.
    pub(super) fn send(&self, message: FromEntry) {
        self.outgoing.send(&ToControl::Entry(message));
    }

    /// Sends a message, unless the control box lags behind in processing earlier ones. Returns
    /// whether it was sent.
    pub(super) fn send_unless_behind(&self, message: &EncodedFrame) -> bool {
        if !self.admitted.get() {
            return false;
        }
        if self.ping_sent_at.get().is_some_and(|at| clock::elapsed(at) > UNANSWERED_PING_THRESHOLD)
        {
            self.has_skipped.set(true);
            return false;
        }
        self.outgoing.send_encoded(message);
        true
    }

    /// Sends a ping, whose answer shows that everything sent before it was processed, unless one is
    /// unanswered.
    pub(super) fn ping(&self, sent_us: u64) {
        if self.admitted.get() && self.ping_sent_at.get().is_none() {
            self.ping_sent_at.set(Some(clock::now()));
            self.send(FromEntry::Ping { sent_us });
        }
    }

    /// The control box at `address` as a candidate for a publisher.
    pub(super) fn publisher(&self, address: SocketAddr) -> Publisher {
        Publisher {
            address,
            same_zone: self.same_zone.get(),
            since_last_message: clock::elapsed(self.last_message_at.get()),
            connection_age: clock::elapsed(self.opened_at),
        }
    }
}

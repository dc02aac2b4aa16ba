//! An entry box's open connection to a control box.
//!
//! A control box is told as much as it takes in. Until it has answered who this box is, it is told nothing
//! else; and while the answer to a ping is late, it is told nothing more, since it has not read what it
//! was told before. What is left out is told later with newer figures.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Instant;

use crate::core::cluster::publishers::Publisher;
use crate::core::cluster::wire::BEHIND_AFTER;
use crate::core::cluster::wire::FromEntry;
use crate::core::cluster::wire::ToControl;
use crate::core::cluster::wire::Wanted;
use crate::util::clock;
use crate::util::frames::EncodedFrame;
use crate::util::send_queue::SendQueue;

/// An open connection to a control box.
#[derive(Debug)]
pub(super) struct ControlLink {
    pub(super) outgoing: SendQueue,
    pub(super) opened: Instant,
    /// When anything last came.
    pub(super) heard: Cell<Instant>,
    /// Whether the control box has taken this box in.
    pub(super) taken_in: Cell<bool>,
    /// When the ping was sent to which no answer has come yet.
    pub(super) pinged: Cell<Option<Instant>>,
    /// Whether something was left out since the answer to a ping was late.
    pub(super) missed: Cell<bool>,
    /// Whether the control box said that it stands in this box's availability zone.
    pub(super) same_zone: Cell<bool>,
    /// What it was asked to tell of the other entry boxes.
    pub(super) wanted: Cell<Wanted>,
}

impl ControlLink {
    pub(super) fn new(outgoing: SendQueue) -> Self {
        let now = clock::now();
        Self {
            outgoing,
            opened: now,
            heard: Cell::new(now),
            taken_in: Cell::new(false),
            pinged: Cell::new(None),
            missed: Cell::new(false),
            same_zone: Cell::new(false),
            wanted: Cell::default(),
        }
    }

    /// Sends a message, also to a control box that is behind.
    pub(super) fn send(&self, message: FromEntry) {
        self.outgoing.send(&ToControl::Entry(message));
    }

    /// Sends a message, unless the control box has not taken in what it was told before.
    pub(super) fn tell(&self, message: &EncodedFrame) {
        if !self.taken_in.get() {
            return;
        }
        if self.pinged.get().is_some_and(|at| clock::elapsed(at) > BEHIND_AFTER) {
            self.missed.set(true);
            return;
        }
        self.outgoing.send_encoded(message);
    }

    /// Asks for a sign that all before it was taken in, unless one is still to come.
    pub(super) fn ping(&self, sent_us: u64) {
        if self.taken_in.get() && self.pinged.get().is_none() {
            self.pinged.set(Some(clock::now()));
            self.send(FromEntry::Ping { sent_us });
        }
    }

    /// The control box at `address` as one that may tell what the others use.
    pub(super) fn publisher(&self, address: SocketAddr) -> Publisher {
        Publisher {
            address,
            same_zone: self.same_zone.get(),
            since_last_message: clock::elapsed(self.heard.get()),
            connection_age: clock::elapsed(self.opened),
        }
    }
}

//! Sends each entry box a list of a few others, through which it forwards calls while it reaches no
//! endpoint.
//!
//! Each gets a few boxes and not all, since the lists of all would grow with the square of their
//! number. Boxes are ordered by a hash of their names, and each gets the next ones in that order, so
//! that the calls of many boxes that are cut off spread evenly, and a box that starts or stops
//! changes the lists of few.

use std::collections::BTreeMap;

use crate::core::cluster::wire::Neighbour;
use crate::core::cluster::wire::ToEntry;
use crate::core::control::entry_updates;
use crate::core::control::state::Control;
use crate::util::hash;

/// Number of neighbours in the box's own availability zone, to which traffic is cheap.
const IN_ZONE: usize = 2;

/// Number of neighbours in other availability zones, since all boxes of one may be cut off.
const IN_OTHER_ZONES: usize = 4;

/// Sends the entry boxes that have subscribed to loads their neighbours, where these changed.
pub(super) async fn publish(control: &Control) {
    let ring = {
        let links = control.entry_links.borrow();
        Ring::new(links.values().filter_map(|link| link.listens.borrow().clone()))
    };
    for link in entry_updates::subscribers(control, |subscription| subscription.loads) {
        let neighbours = ring.neighbours_of(&link.incarnation.0);
        if link.neighbours_sent.borrow().as_ref() == Some(&neighbours) {
            continue;
        }
        link.neighbours_sent.replace(Some(neighbours.clone()));
        control.turns.next().await;
        link.outgoing.send(&ToEntry::Neighbours(neighbours));
    }
}

/// Entry boxes in the order of the hashes of their names.
#[derive(Debug)]
pub struct Ring(Vec<Neighbour>);

impl Ring {
    /// Creates the ring. Of several entries with the same name the last one counts.
    pub fn new(boxes: impl Iterator<Item = Neighbour>) -> Self {
        let by_hash: BTreeMap<_, _> =
            boxes.map(|each| ((hash::of(&each.name), each.name.clone()), each)).collect();
        Self(by_hash.into_values().collect())
    }

    /// The neighbours of the box `name`; none while it isn't in the ring.
    pub fn neighbours_of(&self, name: &str) -> Vec<Neighbour> {
        let Some(own) = self.0.iter().position(|each| each.name == name) else {
            return Vec::new();
        };
        let zone = &self.0[own].availability_zone;
        let others = || self.0[own + 1..].iter().chain(&self.0[..own]);
        let in_zone = others().filter(|each| each.availability_zone == *zone).take(IN_ZONE);
        let elsewhere =
            others().filter(|each| each.availability_zone != *zone).take(IN_OTHER_ZONES);
        in_zone.chain(elsewhere).cloned().collect()
    }
}

//! Decides which control boxes an entry box connects to, by the lists that they advertise, without
//! I/O.
//!
//! The latest list alone is not enough, since control boxes learn at different times what was
//! committed. One that has just been added replays the log from its beginning and advertises the
//! members of that time, without itself. Entry boxes that disconnected from it for that reason
//! would not return, and it might become the leader without receiving any reports. So an entry box
//! disconnects from a control box only once none of its connected control boxes advertises it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The list that each control box advertised last.
#[derive(Debug, Default)]
pub struct AdvertisedControlBoxes(BTreeMap<SocketAddr, BTreeSet<SocketAddr>>);

impl AdvertisedControlBoxes {
    /// Records the list that the control box at `by` advertises, and removes those of control boxes
    /// that are not connected.
    pub fn record(
        &mut self,
        by: SocketAddr,
        advertised: &[SocketAddr],
        is_connected: impl Fn(&SocketAddr) -> bool,
    ) {
        self.0.retain(|other, _| is_connected(other));
        self.0.insert(by, advertised.iter().copied().collect());
    }

    /// All control boxes that are advertised.
    pub fn all(&self) -> BTreeSet<SocketAddr> {
        self.0.values().flatten().copied().collect()
    }
}

//! Which control boxes an entry box follows, by those that they name, without I/O.
//!
//! Why not those that were named last: control boxes learn at different times what was agreed on. One that has just been
//! let in reads the log from its beginning and names those that took part then, itself not among them. Entry boxes
//! that left it for that would not come back, and it might lead without hearing of any request. So an entry box
//! leaves a control box only once none that it is connected to names it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The control boxes that each control box named last.
#[derive(Debug, Default)]
pub struct AdvertisedControlBoxes(BTreeMap<SocketAddr, BTreeSet<SocketAddr>>);

impl AdvertisedControlBoxes {
    /// Learns which control boxes the one at `by` names; what others named that are not connected now is forgotten.
    pub fn record(
        &mut self,
        by: SocketAddr,
        named: &[SocketAddr],
        is_connected: impl Fn(&SocketAddr) -> bool,
    ) {
        self.0.retain(|other, _| is_connected(other));
        self.0.insert(by, named.iter().copied().collect());
    }

    /// All that are named.
    pub fn all(&self) -> BTreeSet<SocketAddr> {
        self.0.values().flatten().copied().collect()
    }
}

//! Which control boxes tell an entry box what the others use, without I/O.
//!
//! Why not all: what the others use is as long as there are endpoints and organisations, and is told
//! several times a second. Told by every control box it costs boxes × control boxes × endpoints, most of it
//! between availability zones, for the same content. One would do; a second one goes on telling
//! while the first is found to be lost.
//!
//! Every control box still hears what each entry box uses, which is short, so any of them can take over at
//! once, and a part that is cut off goes on with those that it reaches.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::cluster::wire::PING_INTERVAL;
use crate::core::cluster::wire::USAGE_REPORT_INTERVAL;
use crate::util::hash;

/// Control boxes that tell an entry box at a time.
pub const MAX_PUBLISHERS: usize = 2;

/// Silence after which a control box is taken to tell nothing more: one sign of life and one telling.
const LATE_AFTER: Duration =
    PING_INTERVAL.saturating_add(USAGE_REPORT_INTERVAL).saturating_add(WAY);

/// Time on the way between two availability zones that is no cause to take a box for late.
const WAY: Duration = Duration::from_millis(50);

/// Age of a connection from which its control box has surely heard all entry boxes: two tellings, and the
/// time in which they connect after a start.
const SETTLED_AFTER: Duration = Duration::from_secs(1);

/// A control box to which there is a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Publisher {
    /// Its address for other boxes.
    pub address: SocketAddr,
    /// Whether it stands in the entry box's availability zone, where bytes cost nothing.
    pub same_zone: bool,
    /// Time since anything came from it.
    pub since_last_message: Duration,
    /// Age of the connection.
    pub connection_age: Duration,
}

/// The control boxes of `known` that are to tell the entry box `name`, the best first. Among equals each
/// entry box has an order of its own, so that their work is spread.
pub fn choose(name: &str, known: &[Publisher]) -> Vec<SocketAddr> {
    let order = |address: SocketAddr| hash::of((name, address));
    let mut known = known.to_vec();
    known.sort_by_key(|publisher| {
        let late = publisher.since_last_message > LATE_AFTER;
        let settled = publisher.connection_age >= SETTLED_AFTER;
        (late, !settled, !publisher.same_zone, order(publisher.address))
    });
    known.truncate(MAX_PUBLISHERS);
    known.into_iter().map(|publisher| publisher.address).collect()
}

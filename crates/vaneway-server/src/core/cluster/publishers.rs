//! Decides which control boxes send an entry box the usage of the other entry boxes, without I/O.
//!
//! Usage updates are as long as there are endpoints and organisations, and are sent several times a
//! second. Sent by every control box they would cost boxes × control boxes × endpoints, most of it
//! between availability zones, for the same content. One publisher would do; a second one bridges
//! the time until the loss of the first is detected.
//!
//! Every control box still receives the reports of all entry boxes, which are short, so any of them
//! can take over at once, and a part of the deployment that is cut off continues with the control
//! boxes that it reaches.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::cluster::wire::PING_INTERVAL;
use crate::core::cluster::wire::USAGE_REPORT_INTERVAL;
use crate::util::hash;

/// Largest number of control boxes that send updates to an entry box.
pub const MAX_PUBLISHERS: usize = 2;

/// Time without a message after which a control box counts as late: one ping interval and one
/// report interval.
const LATE_THRESHOLD: Duration =
    PING_INTERVAL.saturating_add(USAGE_REPORT_INTERVAL).saturating_add(NETWORK_DELAY_MARGIN);

/// Network delay between two availability zones that doesn't make a control box count as late.
const NETWORK_DELAY_MARGIN: Duration = Duration::from_millis(50);

/// Age of a connection from which on its control box has received reports of all entry boxes: two
/// report intervals, and the time in which entry boxes connect after a start.
const SETTLED_AGE: Duration = Duration::from_secs(1);

/// A connected control box, as a candidate for a publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Publisher {
    /// Its address for other boxes.
    pub address: SocketAddr,
    /// Whether it is in the entry box's availability zone, where traffic is free.
    pub same_zone: bool,
    /// Time since its last message.
    pub since_last_message: Duration,
    /// Age of the connection.
    pub connection_age: Duration,
}

/// Chooses the publishers for the entry box `name` among the control boxes `known`, the best first.
/// Each entry box orders equal ones differently, so that the load is spread.
pub fn choose(name: &str, known: &[Publisher]) -> Vec<SocketAddr> {
    let order = |address: SocketAddr| hash::of((name, address));
    let mut known = known.to_vec();
    known.sort_by_key(|publisher| {
        let late = publisher.since_last_message > LATE_THRESHOLD;
        let settled = publisher.connection_age >= SETTLED_AGE;
        (late, !settled, !publisher.same_zone, order(publisher.address))
    });
    known.truncate(MAX_PUBLISHERS);
    known.into_iter().map(|publisher| publisher.address).collect()
}

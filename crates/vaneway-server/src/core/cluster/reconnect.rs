//! Connections to other boxes that are opened again whenever they break.
//!
//! A connection that is of no use soon after it was opened means that the other side can't keep up, or is
//! failing; each such one makes the next pause longer. Pauses differ from box to box, so that boxes
//! that lost their connections at the same moment don't come back at the same moment.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::cluster::wire::CONNECT_TIMEOUT;
use crate::core::cluster::wire::RECONNECT_AFTER;
use crate::util::clock;
use crate::util::hash;
use crate::util::socket;
use crate::util::socket::SocketStream;
use crate::util::timers::Timers;

/// Age of a connection from which on its loss says nothing about how the next one fares.
const USEFUL_AFTER: Duration = Duration::from_secs(3);

/// Longest pause before a connection is opened again: a box that is back must be found within a second or two.
const RECONNECT_AFTER_MOST: Duration = Duration::from_millis(1_200);

/// Opens a connection to `address` again and again while it is `wanted`, and lets `run` use each
/// until it breaks; `seed` is this box's own.
pub async fn keep_connected(
    timers: &Timers,
    seed: u64,
    address: SocketAddr,
    wanted: impl Fn() -> bool,
    run: impl AsyncFn(SocketStream),
) {
    let mut opened: u64 = 0;
    let mut short_lived: u32 = 0;
    while wanted() {
        match socket::connect_timeout(timers, address, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                let begun = clock::now();
                run(stream).await;
                short_lived =
                    if clock::elapsed(begun) < USEFUL_AFTER { short_lived + 1 } else { 0 };
            }
            // Nobody was troubled by it, so that the next try need not be later.
            Err(error) => log::debug!("event=box_unreachable address={address} error={error:?}"),
        }
        opened += 1;
        timers.sleep(reconnect_delay(short_lived, hash::fraction((seed, address, opened)))).await;
    }
}

/// The pause after so many useless connections in a row; `draw` is from 0 to 1.
pub fn reconnect_delay(short_lived: u32, draw: f64) -> Duration {
    let doubled = RECONNECT_AFTER * 2_u32.saturating_pow(short_lived.saturating_sub(1).min(8));
    doubled.min(RECONNECT_AFTER_MOST).mul_f64(0.5 + draw)
}

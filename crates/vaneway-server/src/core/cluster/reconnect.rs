//! Connections to other boxes that are reopened whenever they break.
//!
//! A connection that breaks soon after it was opened means that the other side is overloaded or
//! failing; each such one makes the next delay longer. Delays differ from box to box, so that boxes
//! that lost their connections at the same moment don't reconnect at the same moment.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::cluster::wire::CONNECT_TIMEOUT;
use crate::core::cluster::wire::RECONNECT_DELAY;
use crate::util::clock;
use crate::util::hash;
use crate::util::socket;
use crate::util::socket::SocketStream;
use crate::util::timers::Timers;

/// Age of a connection from which on its loss doesn't lengthen the delay before the next one.
const SHORT_LIVED_THRESHOLD: Duration = Duration::from_secs(3);

/// Longest delay before a connection is reopened: a box that is back must be reached within a
/// second or two.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_200);

/// Keeps a connection to `address` open while it is `wanted`, and runs `run` on each until it
/// breaks; `seed` is a number of this box's own.
pub async fn keep_connected(
    timers: &Timers,
    seed: u64,
    address: SocketAddr,
    wanted: impl Fn() -> bool,
    run: impl AsyncFn(SocketStream),
) {
    let mut attempts: u64 = 0;
    let mut short_lived: u32 = 0;
    while wanted() {
        match socket::connect_timeout(timers, address, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                let opened_at = clock::now();
                run(stream).await;
                short_lived = if clock::elapsed(opened_at) < SHORT_LIVED_THRESHOLD {
                    short_lived + 1
                } else {
                    0
                };
            }
            // A failed attempt causes no load on the other side, so it doesn't lengthen the delay.
            Err(error) => log::debug!("event=box_unreachable address={address} error={error:?}"),
        }
        attempts += 1;
        timers.sleep(reconnect_delay(short_lived, hash::fraction((seed, address, attempts)))).await;
    }
}

/// The delay after `short_lived` consecutive short-lived connections; `draw` is from 0 to 1.
pub fn reconnect_delay(short_lived: u32, draw: f64) -> Duration {
    let doubled = RECONNECT_DELAY * 2_u32.saturating_pow(short_lived.saturating_sub(1).min(8));
    doubled.min(MAX_RECONNECT_DELAY).mul_f64(0.5 + draw)
}

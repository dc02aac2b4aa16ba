//! Connections to other boxes that are opened again whenever they break.

use std::net::SocketAddr;

use crate::core::cluster::wire::CONNECT_WITHIN;
use crate::core::cluster::wire::RECONNECT_AFTER;
use crate::util::socket;
use crate::util::socket::SocketStream;
use crate::util::timers::Timers;

/// Opens a connection to `address` again and again while it is `wanted`, and lets `run` use each
/// until it breaks.
pub async fn keep_connected(
    timers: &Timers,
    address: SocketAddr,
    wanted: impl Fn() -> bool,
    run: impl AsyncFn(SocketStream),
) {
    while wanted() {
        match socket::connect_within(timers, address, CONNECT_WITHIN).await {
            Ok(stream) => run(stream).await,
            Err(error) => log::debug!("event=box_unreachable address={address} error={error:?}"),
        }
        timers.sleep(RECONNECT_AFTER).await;
    }
}

//! Finds out whether an endpoint has exited unplanned, or is running still.
//!
//! A broken connection alone doesn't show it: resets and full endpoints break connections too. An
//! endpoint has exited if nothing listens at its address, as seen by other boxes too, and if it had
//! not announced that it leaves.

use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use vaneway_registry::StartMillis;
use vaneway_route::EndpointId;
use vaneway_route::EndpointState;

use crate::core::entry::Entry;
use crate::core::neighbours::probe;
use crate::core::quarantine;
use crate::util::clock;
use crate::util::logline::Line;
use crate::util::socket;
use crate::util::socket::SocketStream;

/// Timeout for a connection that probes whether an endpoint has exited: several round trips between
/// availability zones. An endpoint that doesn't answer counts as unreachable, which is no evidence
/// of an exit.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Number of probe connections. An endpoint that has too many connections resets new ones too, and
/// must not get many more.
const PROBE_COUNT: usize = 3;

/// Pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of other endpoints of a service that are tried to find out whether this box
/// reaches any.
const MAX_OTHERS: usize = 6;

/// Number of those that are tried at a time: mostly the first ones accept, and each gets a
/// connection more.
const OTHERS_AT_A_TIME: usize = 2;

/// Maximum time for trying others: together with the test of the endpoint itself less than a box
/// that asks waits for.
const OTHERS_TIMEOUT: Duration = Duration::from_millis(80);

/// How long a probe connection must stay open for its endpoint to count as alive: when a process
/// dies, its operating system closes its connections and its listening socket one after another.
const MIN_CONNECTION_AGE: Duration = Duration::from_millis(20);

/// What came of opening connections to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionTest {
    /// One was accepted and stayed open.
    Accepted,
    /// One was refused: nothing listens there, as far as the network between shows.
    Refused,
    /// There was no answer.
    Unreachable,
    /// All were closed at once: an endpoint that has too many connections does so too.
    Closed,
    /// None was opened.
    Unknown,
}

impl ConnectionTest {
    /// Whether a process listens at the address.
    pub fn shows_listener(self) -> bool {
        matches!(self, Self::Accepted | Self::Closed)
    }
}

/// Whether an endpoint has exited unplanned: nothing listens at its address, as seen by other boxes
/// too, and it had not announced that it leaves. If not, the reason is logged, since nothing is
/// recorded against the request that it ran.
pub async fn endpoint_has_exited(entry: &Entry, request: &str, endpoint: EndpointId) -> bool {
    let (name, address, state) = {
        let pool = entry.pool.borrow();
        let endpoint = pool.get(endpoint);
        (endpoint.spec.name.clone(), endpoint.spec.address, endpoint.state)
    };
    let Some(why) = reason_not_exited(entry, address, state).await else { return true };
    Line::new("endpoint_end_not_confirmed")
        .with("request", request)
        .with("replica", name)
        .with("why", why)
        .info();
    false
}

/// The reason why an endpoint whose connection broke is taken not to have exited; none if it has.
async fn reason_not_exited(
    entry: &Entry,
    address: SocketAddr,
    state: EndpointState,
) -> Option<&'static str> {
    if matches!(state, EndpointState::Leaving | EndpointState::Gone) {
        return Some("it had announced that it leaves");
    }
    match test_connection(entry, address).await {
        ConnectionTest::Accepted => Some("it accepts connections"),
        ConnectionTest::Closed => Some("it closes new connections at once"),
        ConnectionTest::Unreachable | ConnectionTest::Unknown => Some("its address is unreachable"),
        ConnectionTest::Refused => match probe::ask(entry, address).await {
            Some(ConnectionTest::Accepted) => Some("another box reaches it"),
            Some(_) => None,
            // No other box can tell.
            None if reaches_another(entry, address).await => None,
            None => Some("this box reaches no endpoint at all"),
        },
    }
}

/// Maximum time for finding out whether an endpoint that doesn't answer is still running: two round
/// trips between regions.
const RUNNING_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether the incarnation of an endpoint that started at `born` is found to be running still. One
/// whose address neither this box nor any other that it asks can reach is not.
pub async fn is_running(entry: &Entry, endpoint: EndpointId, born: StartMillis) -> bool {
    let address = entry.address(endpoint);
    let until = clock::now() + RUNNING_CHECK_TIMEOUT;
    loop {
        let test = test_connection(entry, address).await;
        let is_reached = test.shows_listener()
            || probe::ask(entry, address).await.is_some_and(ConnectionTest::shows_listener);
        if is_reached {
            return !has_restarted(born, quarantine::born(entry, endpoint));
        }
        // Silence may be that of a far or busy endpoint.
        if test == ConnectionTest::Refused || clock::now() >= until {
            return false;
        }
    }
}

/// Whether an endpoint that started at `known` is a later incarnation than one that started at
/// `born`; 0 is an unknown time.
pub fn has_restarted(born: StartMillis, known: StartMillis) -> bool {
    born > 0 && known > born
}

/// Opens connections to an address, to find out whether a process listens there.
pub async fn test_connection(entry: &Entry, address: SocketAddr) -> ConnectionTest {
    for _ in 0..PROBE_COUNT {
        match socket::connect_timeout(&entry.timers, address, PROBE_TIMEOUT).await {
            Ok(stream) if stays_open(entry, &stream).await => return ConnectionTest::Accepted,
            Ok(_closed) => {}
            Err(error) => match error.kind() {
                ErrorKind::ConnectionRefused => return ConnectionTest::Refused,
                // It was accepted first: where nothing listens, it is refused.
                ErrorKind::ConnectionReset => {}
                _ => return ConnectionTest::Unreachable,
            },
        }
        entry.timers.sleep(PROBE_INTERVAL).await;
    }
    ConnectionTest::Closed
}

/// Whether a new connection stays open. No request is sent, so anything that can be read means that
/// the peer closed it.
async fn stays_open(entry: &Entry, stream: &SocketStream) -> bool {
    let closed = poll_fn(|cx| stream.poll_recv_ready(cx));
    entry.timers.timeout_at(clock::now() + MIN_CONNECTION_AGE, closed).await.is_none()
}

/// Whether this box reaches any endpoint besides the one at `address`; true if there is no other.
pub async fn reaches_another(entry: &Entry, address: SocketAddr) -> bool {
    let others: Vec<SocketAddr> = {
        let mut pool = entry.pool.borrow_mut();
        let services = entry.services().into_iter();
        let sampled: Vec<_> = services.flat_map(|id| pool.sample(id, MAX_OTHERS)).collect();
        let addresses = sampled.into_iter().map(|id| pool.get(id).spec.address);
        addresses.filter(|other| *other != address).collect()
    };
    let until = clock::now() + OTHERS_TIMEOUT;
    let reached = entry.timers.timeout_at(until, accepts_any(entry, &others));
    others.is_empty() || reached.await.unwrap_or(false)
}

/// Whether a connection to any of the addresses is accepted, also if it is closed at once: that a
/// path is open shows before it is known how long the connection lasts.
async fn accepts_any(entry: &Entry, addresses: &[SocketAddr]) -> bool {
    for some in addresses.chunks(OTHERS_AT_A_TIME) {
        let accepted = join_all(some.iter().map(|address| accepts(entry, *address))).await;
        if accepted.contains(&true) {
            return true;
        }
    }
    false
}

async fn accepts(entry: &Entry, address: SocketAddr) -> bool {
    match socket::connect_timeout(&entry.timers, address, PROBE_TIMEOUT).await {
        Ok(_) => true,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

//! Asks other boxes whether an endpoint accepts connections from them.
//!
//! Why: a refused connection looks the same whether the endpoint's process has exited or the network
//! refuses on its behalf. Only what several boxes see is a fact about the endpoint; what one box
//! sees may be a fact about its path.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Response;
use vaneway_route::EndpointId;

use crate::core::entry::Entry;
use crate::core::exit_check;
use crate::core::exit_check::ConnectionTest;
use crate::core::neighbours::exchange;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::frames;
use crate::util::frames::EncodedFrame;

/// Path of probes at a neighbour.
pub const PATH: &str = "/v1/probe";

/// Number of neighbours that are asked, of which some are in other availability zones.
const ASKED: usize = 3;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64;

/// What the neighbours say of an address: accepted if it lets any of them in, also if it closes the
/// connection at once; else refused if it refuses any of them; none if none of them can tell.
pub async fn ask(entry: &Entry, address: SocketAddr) -> Option<ConnectionTest> {
    let neighbours = targets(entry);
    let ask_one = |neighbour: EndpointId| {
        exchange::<_, ConnectionTest>(entry, neighbour, PATH, &address, MAX_ANSWER_BYTES)
    };
    let answers = join_all(neighbours.into_iter().map(ask_one)).await;
    let answers: Vec<ConnectionTest> = answers.into_iter().flatten().collect();
    if answers.iter().any(|test| test.shows_listener()) {
        return Some(ConnectionTest::Accepted);
    }
    answers.contains(&ConnectionTest::Refused).then_some(ConnectionTest::Refused)
}

/// The neighbours to ask, those of other availability zones first: a whole zone may be cut off.
fn targets(entry: &Entry) -> Vec<EndpointId> {
    let now = clock::now();
    let pool = entry.pool.borrow();
    let mut usable = entry.neighbours.current();
    usable.retain(|id| pool.get(*id).takes_work(now));
    let home = &entry.settings.availability_zone;
    usable.sort_by_key(|id| pool.get(*id).spec.availability_zone == *home);
    usable.truncate(ASKED);
    usable
}

/// Answers a probe for another box. Only addresses of endpoints are tried.
pub async fn answer(entry: &Entry, body: Bytes) -> Response<ResponseBody> {
    let address = frames::take_message::<SocketAddr>(&mut body.into());
    let test = match address.filter(|address| is_known(entry, *address)) {
        Some(address) => test(entry, address).await,
        None => ConnectionTest::Unknown,
    };
    Response::new(ResponseBody::full(EncodedFrame::new(&test).frame().clone()))
}

/// What this box finds of an address. It can't tell if it is refused while it reaches no other
/// endpoint: it may be cut off and not have noticed yet.
async fn test(entry: &Entry, address: SocketAddr) -> ConnectionTest {
    match exit_check::test_connection(entry, address).await {
        ConnectionTest::Refused if !exit_check::reaches_another(entry, address).await => {
            ConnectionTest::Unknown
        }
        test => test,
    }
}

fn is_known(entry: &Entry, address: SocketAddr) -> bool {
    let pool = entry.pool.borrow();
    let mut at_address = pool.endpoints().iter().filter(|each| each.spec.address == address);
    at_address.any(|each| !each.is_neighbour() && !entry.paths.is_cut_off(each.spec.service))
}

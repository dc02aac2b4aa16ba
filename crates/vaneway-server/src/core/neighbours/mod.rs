//! Forwarding through other entry boxes while this box reaches no endpoint of a service.
//!
//! Why: a network fault may separate some boxes from all endpoints, while their callers and the
//! other boxes still reach them. What such a box can't reach another one can.
//!
//! Data flow: each entry box listens for calls of the others ([`server`]) and reports its address to
//! the control boxes; a control box sends it a list of a few others, its neighbours
//! ([`Neighbours`]). While
//! [`PathWatch`] finds this box cut off from a service, [`choose`] selects a neighbour in the place
//! of an endpoint, and the attempt is sent there ([`wire`]).
//!
//! Neighbours are also asked whether an endpoint that refuses this box accepts them ([`probe`]), and
//! where a stream began ([`origins`]).
//!
//! The box that accepted the request decides on everything: the quota, the usage, the retries and
//! their budget are its own. The neighbour makes one attempt that may reach an endpoint and passes
//! the response on as it arrives. It never forwards a call again, so that two boxes that are cut off
//! don't send it to each other.
//!
//! [`PathWatch`]: crate::core::path_watch::PathWatch

pub mod origins;
pub mod probe;
pub mod server;
pub mod wire;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde::Serialize;
use serde::de::DeserializeOwned;
use vaneway_relay::Event;
use vaneway_relay::Relay;
use vaneway_route::Choice;
use vaneway_route::EndpointId;
use vaneway_route::EndpointSpec;
use vaneway_route::NEIGHBOUR_SERVICE;
use vaneway_route::NeighbourQuery;

use crate::core::cluster::wire::Neighbour;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::util::clock;
use crate::util::frames;
use crate::util::frames::EncodedFrame;
use crate::util::logline::Line;

/// Maximum number of requests that this box has open at one neighbour.
const MAX_OPEN: u32 = 1_024;

/// Maximum time for a neighbour's answer to a short message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The other entry boxes through which this box may forward. Each is in the pool like an endpoint,
/// of a service of its own.
#[derive(Debug, Default)]
pub struct Neighbours {
    /// All that were ever named, so that one that is named again keeps its id.
    ids: RefCell<BTreeMap<(String, SocketAddr), EndpointId>>,
    current: RefCell<Vec<EndpointId>>,
}

impl Neighbours {
    /// The neighbours at present.
    pub fn current(&self) -> Vec<EndpointId> {
        self.current.borrow().clone()
    }
}

/// Sends a short message to `path` at a neighbour and returns its answer; none if no valid one
/// arrives in time.
async fn exchange<Q: Serialize, A: DeserializeOwned>(
    entry: &Entry,
    neighbour: EndpointId,
    path: &str,
    message: &Q,
    max_answer_bytes: usize,
) -> Option<A> {
    let address = entry.address(neighbour);
    let req = Request::post(path)
        .header(HOST, address.to_string())
        .body(Full::new(EncodedFrame::new(message).frame().clone()))
        .ok()?;
    let until = clock::now() + ANSWER_TIMEOUT;
    let answer =
        entry.connections.exchange(&entry.timers, address, req, max_answer_bytes, until).await;
    let (_status, body) = answer.ok()?;
    frames::take_message(&mut body.into())
}

/// Replaces the neighbours by those that a control box names. Open requests stay where they are: a
/// control box that has just started doesn't know all entry boxes.
pub fn set(entry: &Entry, named: &[Neighbour]) {
    let ids = named.iter().map(|neighbour| id_of(entry, neighbour)).collect();
    let before = entry.neighbours.current.replace(ids);
    if before != *entry.neighbours.current.borrow() {
        let names: Vec<_> = named.iter().map(|neighbour| neighbour.name.as_str()).collect();
        Line::new("neighbours").with("names", names.join(",")).info();
    }
}

fn id_of(entry: &Entry, neighbour: &Neighbour) -> EndpointId {
    let key = (neighbour.name.clone(), neighbour.address);
    let add = || {
        let spec = EndpointSpec {
            name: neighbour.name.clone(),
            service: NEIGHBOUR_SERVICE,
            address: neighbour.address,
            availability_zone: neighbour.availability_zone.clone(),
            box_name: neighbour.name.clone(),
            reclaimable: false,
            max_open: MAX_OPEN,
            software: String::new(),
        };
        entry.update_pool(|pool, _, _| pool.add(spec))
    };
    *entry.neighbours.ids.borrow_mut().entry(key).or_insert_with(add)
}

/// Chooses a neighbour for a request whose service this box is cut off from; none if an endpoint is
/// to be chosen. The neighbours `without_version` have stated that they have no endpoint left of the
/// software version that must respond.
pub fn choose(
    entry: &Entry,
    request: &CallRequest,
    relay: &Relay,
    without_version: &[EndpointId],
) -> Option<Event> {
    if !entry.paths.is_cut_off(request.service) {
        return None;
    }
    let unavailable = Event::Unavailable { full: false, until: None };
    if request.is_forwarded {
        return Some(unavailable);
    }
    let current = entry.neighbours.current.borrow();
    if current.is_empty() {
        return None;
    }
    let query = NeighbourQuery {
        among: &current,
        home: &entry.settings.availability_zone,
        tried: relay.tried(),
        may_return: relay.may_return(),
        without_version,
    };
    let endpoint = match entry.pool.borrow_mut().choose_neighbour(clock::now(), query) {
        Choice::Endpoint(endpoint) => endpoint,
        Choice::NoneLeft => return Some(Event::NoneLeft),
        _ => return Some(unavailable),
    };
    entry.metrics.forwarded.with_label_values(&[&request.service_name, "sent"]).inc();
    log::debug!(
        "event=forwarded request={} neighbour={}",
        request.id,
        entry.pool.borrow().get(endpoint).spec.name
    );
    Some(Event::Chosen { endpoint })
}

//! Endpoints that want nothing for a while, or nothing more, and say so in their answers.
//!
//! What happened once, and why, is in docs/incidents/endpoint-rest.md.

use std::time::Duration;
use std::time::Instant;

use vaneway_test_support::Caller;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::caller::WholeAnswer;
use vaneway_test_support::wire_endpoint::Behaviour;

use crate::endpoint_limits::Fleet;
use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::support::block_on;

/// Time after an endpoint's word in which what was on its way may still arrive.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// Requests that operators allow at an endpoint while it rests.
const ALLOWED: usize = 2;

/// Pause between two requests of a test's callers.
const EVERY: Duration = Duration::from_millis(20);

/// Requests that came while the endpoint rested, but for those on their way.
fn arrivals_in_rest(endpoint: &WireEndpoint, rest: Duration) -> usize {
    let seen: Vec<Instant> = endpoint.seen().iter().map(|seen| seen.at).collect();
    let asked = *seen.first().expect("a request that was turned away");
    let in_rest = asked + ON_ITS_WAY..asked + rest;
    seen.iter().filter(|at| in_rest.contains(at)).count()
}

fn send(fleet: &Fleet, path: &str) -> WholeAnswer {
    let caller = Caller::new(fleet.entries[0].listen(), KEY).at_host(HOST);
    let headers = [("x-request-id", "r"), ("x-deadline-ms", "60000")];
    block_on(caller.send_with(hyper::Method::GET, path, &headers, ""))
}

/// Guards against requests that go to an endpoint which has turned this box away and asked for rest.
#[test]
fn endpoint_that_asks_for_rest_gets_nothing_until_it_is_over() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    let rest = Duration::from_millis(2_500);
    for endpoint in &fleet.endpoints {
        endpoint.behave(Behaviour::Refuse);
        endpoint.ask_rest(Some("2.5"));
    }
    fleet.call(EVERY, rest);
    for endpoint in &fleet.endpoints {
        let got = arrivals_in_rest(endpoint, rest);
        assert!(got <= ALLOWED, "{got} requests while it rested, {ALLOWED} allowed");
    }

    for endpoint in &fleet.endpoints {
        endpoint.behave(Behaviour::Answer);
    }
    std::thread::sleep(rest);
    assert_eq!(send(&fleet, "/safe/x").status, 200, "it is used again");
}

/// Guards against requests that go on to an endpoint whose answers say that it leaves.
#[test]
fn endpoint_whose_answers_say_that_it_leaves_gets_nothing_more() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    fleet.endpoints[0].say_leaving();
    assert_eq!(fleet.call(EVERY, Duration::from_millis(1_500)), 0, "all are served");
    let seen: Vec<Instant> = fleet.endpoints[0].seen().iter().map(|seen| seen.at).collect();
    let first = *seen.first().expect("a request, or it could not say that it leaves");
    let late = seen.iter().filter(|at| **at > first + ON_ITS_WAY).count();
    assert_eq!(late, 0, "requests after it had said that it leaves");
}

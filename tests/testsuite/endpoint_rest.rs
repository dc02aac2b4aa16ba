//! Endpoints that want nothing for a while, or nothing more, and say so in their answers.
//!
//! What happened once, and why, is in docs/incidents/endpoint-rest.md.

use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::Method;
use hyper::header::RETRY_AFTER;
use vaneway_limit::NumberError;
use vaneway_server::core::retry_after::MAX_BACKOFF;
use vaneway_server::core::retry_after::read_retry_after;
use vaneway_test_support::Caller;
use vaneway_test_support::PlainService;
use vaneway_test_support::Replica;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::caller::ReceivedResponse;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::wire_endpoint::Behaviour;

use crate::endpoint_limits::Fleet;
use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;

/// Time after an endpoint's word in which what was on its way may still arrive.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// Requests that operators allow at an endpoint while it rests.
const ALLOWED: usize = 2;

/// Pause between two requests of a test's callers.
const EVERY: Duration = Duration::from_millis(20);

/// Requests that came while the endpoint rested, but for those on their way.
fn arrivals_in_rest(endpoint: &WireEndpoint, rest: Duration) -> usize {
    let seen: Vec<Instant> = endpoint.received().iter().map(|seen| seen.at).collect();
    let asked = *seen.first().expect("a request that was turned away");
    let in_rest = asked + ON_ITS_WAY..asked + rest;
    seen.iter().filter(|at| in_rest.contains(at)).count()
}

fn send(fleet: &Fleet, path: &str) -> ReceivedResponse {
    let caller = Caller::new(fleet.entries[0].listen(), KEY).with_host(HOST);
    let headers = [("x-request-id", "r"), ("x-deadline-ms", "60000")];
    block_on(caller.send_with(Method::GET, path, &headers, ""))
}

/// Guards against requests that go to an endpoint which has turned this box away and asked for rest.
#[test]
fn endpoint_that_asks_for_rest_gets_nothing_until_it_is_over() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    let rest = Duration::from_millis(2_500);
    for endpoint in &fleet.endpoints {
        endpoint.behave(Behaviour::Refuse);
        endpoint.request_back_off(Some("2.5"));
    }
    fleet.call(EVERY, rest);
    for endpoint in &fleet.endpoints {
        let got = arrivals_in_rest(endpoint, rest);
        assert!(got <= ALLOWED, "{got} requests while it rested, {ALLOWED} allowed");
    }

    for endpoint in &fleet.endpoints {
        endpoint.behave(Behaviour::Respond);
    }
    std::thread::sleep(rest);
    assert_eq!(send(&fleet, "/safe/x").status, 200, "it is used again");
}

/// Guards against callers who are told to come back while all endpoints still rest.
#[test]
fn caller_is_told_to_come_back_when_the_first_endpoint_is_over_its_rest() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    for (endpoint, rest) in fleet.endpoints.iter().zip(["1000", "3000"]) {
        endpoint.behave(Behaviour::Refuse);
        endpoint.request_back_off(Some(rest));
    }
    let told = |answer: ReceivedResponse| {
        assert_eq!(answer.status, 503);
        answer.retry_after.and_then(|after| after.parse::<f64>().ok()).expect("a time")
    };
    send(&fleet, "/safe/x");
    send(&fleet, "/safe/x");
    let after = told(send(&fleet, "/safe/x"));
    // Spread from 0.6 to 1.4 of the time that is left.
    assert!((500.0..1_400.0).contains(&after), "{after} s");
    let got: usize = fleet.endpoints.iter().map(|endpoint| endpoint.received().len()).sum();
    assert_eq!(got, 2, "each endpoint turns the box away once");
}

/// Guards against requests that go on to an endpoint whose answers say that it leaves.
#[test]
fn endpoint_whose_answers_say_that_it_leaves_gets_nothing_more() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    fleet.endpoints[0].announce_leaving();
    assert_eq!(fleet.call(EVERY, Duration::from_millis(1_500)), 0, "all are served");
    let seen: Vec<Instant> = fleet.endpoints[0].received().iter().map(|seen| seen.at).collect();
    let first = *seen.first().expect("a request, or it could not say that it leaves");
    let late = seen.iter().filter(|at| **at > first + ON_ITS_WAY).count();
    assert_eq!(late, 0, "requests after it had said that it leaves");
}

/// Of several rests the longest counts, an hour is the most, and what is no number of seconds is an error.
#[test]
fn rest_is_read_in_seconds_or_not_at_all() {
    let read = |text: &str| {
        let value = text.parse().expect("a header value");
        read_retry_after(&HeaderMap::from_iter([(RETRY_AFTER, value)]))
    };
    assert_eq!(read("2.5"), Ok(Some(Duration::from_millis(2_500))));
    assert_eq!(read("1, 3"), Ok(Some(Duration::from_secs(3))));
    assert_eq!(read("99999999999999999999999"), Ok(Some(MAX_BACKOFF)));
    assert_eq!(read("0"), Ok(None));
    assert_eq!(read("-1"), Err(NumberError::Negative));
    for text in ["", "soon", "nan", "inf", "1e3", "Thu, 03 Dec 2026 12:00:00 GMT"] {
        assert_eq!(read(text), Err(NumberError::NotANumber), "{text}");
    }
}

/// Over the product's own interface, with endpoints that the settings name and no control boxes.
#[test]
fn engine_that_asks_for_rest_over_the_own_interface_gets_nothing_until_it_is_over() {
    let (resting, other) = (engine(), engine());
    let deployment = deployment().engines(&replicas(&[&resting, &other]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    resting.refuse(true);
    resting.request_back_off(Some("5"));
    let begun = Instant::now();
    for _ in 0..60 {
        assert_eq!(block_on(caller.chat(MODEL, "is there room?", 2)).status, 200);
    }
    let rests = 1 + begun.elapsed().as_secs() / 5;
    let refused = resting.stats().refused;
    assert!((1..=rests).contains(&refused), "{refused} of 60 in {rests} rests");
}

/// Guards against a plain service that is given up for good: nobody says when it has started again.
#[test]
fn plain_service_that_says_that_it_leaves_gets_nothing_for_a_while() {
    let (leaving, other) = (PlainService::spawn(), PlainService::spawn());
    let deployment = deployment()
        .plain(&[Replica::new("p", leaving.address()), Replica::new("q", other.address())]);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    let call = || block_on(caller.send(Method::GET, "/services/reading-room/a", "")).status;
    leaving.announce_leaving(true);
    let begun = Instant::now();
    assert!((0..60).all(|_| call() == 200), "the other one takes the rest");
    let looks = 1 + begun.elapsed().as_secs() / 10;
    let got = leaving.total();
    assert!((1..=looks).contains(&u64::from(got)), "{got} of 60 in {looks} looks");

    leaving.announce_leaving(false);
    let given_up = Instant::now() + Duration::from_mins(1);
    while leaving.total() < got + 30 {
        assert!(Instant::now() < given_up, "it is used again: {}", leaving.total());
        assert_eq!(call(), 200);
    }
}

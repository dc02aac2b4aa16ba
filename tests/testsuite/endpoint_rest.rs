//! Endpoints whose responses request a back-off, or announce that they are leaving.
//!
//! docs/incidents/endpoint-rest.md describes the incident that these tests guard against.

use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::Method;
use hyper::header::RETRY_AFTER;
use vaneway_limit::NumberError;
use vaneway_server::core::callers::api_error::ApiError;
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
use crate::property::check;
use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;

/// Time after an endpoint's response in which requests that were in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Number of requests that operators allow at an endpoint during its back-off.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Interval between two requests to the same entry box.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Number of requests that arrived during the endpoint's back-off, except for those in flight when
/// it began.
fn arrivals_in_backoff(endpoint: &WireEndpoint, backoff: Duration) -> usize {
    let seen: Vec<Instant> = endpoint.received().iter().map(|seen| seen.at).collect();
    let first_arrival = *seen.first().expect("a request that was refused");
    let in_backoff = first_arrival + IN_FLIGHT_TIME..first_arrival + backoff;
    seen.iter().filter(|at| in_backoff.contains(at)).count()
}

fn send(fleet: &Fleet, path: &str) -> ReceivedResponse {
    let caller = Caller::new(fleet.entries[0].listen(), KEY).with_host(HOST);
    let headers = [("x-request-id", "r"), ("x-deadline-ms", "60000")];
    block_on(caller.send_with(Method::GET, path, &headers, ""))
}

/// Guards against requests to an endpoint that has refused this box's requests with a back-off.
#[test]
fn endpoint_that_requests_a_back_off_gets_no_requests_until_it_ends() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    let backoff = Duration::from_millis(2_500);
    for endpoint in &fleet.endpoints {
        endpoint.behave(Behaviour::Refuse);
        endpoint.request_back_off(Some("2.5"));
    }
    fleet.call(REQUEST_INTERVAL, backoff);
    for endpoint in &fleet.endpoints {
        let received = arrivals_in_backoff(endpoint, backoff);
        assert!(
            received <= MAX_REQUESTS_IN_BACKOFF,
            "{received} requests during the back-off, {MAX_REQUESTS_IN_BACKOFF} allowed"
        );
    }

    for endpoint in &fleet.endpoints {
        endpoint.behave(Behaviour::Respond);
    }
    std::thread::sleep(backoff);
    assert_eq!(
        send(&fleet, "/safe/x").status,
        200,
        "endpoints are used again after their back-off"
    );
}

/// Guards against a Retry-After for callers that expires while all endpoints are still in back-off.
#[test]
fn refused_caller_gets_the_end_of_the_first_back_off_as_retry_after() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    for (endpoint, backoff) in fleet.endpoints.iter().zip(["1000", "3000"]) {
        endpoint.behave(Behaviour::Refuse);
        endpoint.request_back_off(Some(backoff));
    }
    let retry_after_of = |response: ReceivedResponse| {
        assert_eq!(response.status, 503);
        response.retry_after.and_then(|after| after.parse::<f64>().ok()).expect("a time")
    };
    send(&fleet, "/safe/x");
    send(&fleet, "/safe/x");
    let after = retry_after_of(send(&fleet, "/safe/x"));
    // The remaining time of the first back-off, 1,000 s, is multiplied by a random factor from 0.6
    // to 1.4.
    assert!((500.0..1_400.0).contains(&after), "{after} s");
    let received: usize = fleet.endpoints.iter().map(|endpoint| endpoint.received().len()).sum();
    assert_eq!(received, 2, "each endpoint refuses one request");
}

/// Guards against a Retry-After that ends before the time that the caller has to wait, and against
/// fractions, which HTTP doesn't allow in it.
#[test]
fn retry_after_for_callers_is_whole_seconds_and_never_too_short() {
    check("Retry-After for callers", 10_000, |millis: u16| {
        let wait = Duration::from_millis(millis.into());
        let mut error = ApiError::temporarily_refused("overloaded", "full");
        error.retry_after = Some(wait);
        let response = error.into_response();
        let text = response.headers()[RETRY_AFTER].to_str().expect("text");
        let seconds = text.parse().expect("a whole number");
        assert!(seconds >= 1, "{text} s for {wait:?}");
        let after = Duration::from_secs(seconds);
        assert!(after >= wait, "{text} s for {wait:?}");
        assert!(after <= wait + Duration::from_secs(1), "{text} s for {wait:?}");
    });
}

/// Guards against further requests to an endpoint whose responses announce that it is leaving.
#[test]
fn endpoint_whose_responses_say_that_it_is_leaving_gets_no_more_requests() {
    let fleet = Fleet::start(1, &["i-a", "i-b"]);
    fleet.endpoints[0].announce_leaving();
    assert_eq!(fleet.call(REQUEST_INTERVAL, Duration::from_millis(1_500)), 0, "all are served");
    let seen: Vec<Instant> = fleet.endpoints[0].received().iter().map(|seen| seen.at).collect();
    let first =
        *seen.first().expect("a request, in whose response it announced that it is leaving");
    let late = seen.iter().filter(|at| **at > first + IN_FLIGHT_TIME).count();
    assert_eq!(late, 0, "requests after it had announced that it is leaving");
}

/// Of several back-offs the longest applies, up to one hour; a value that is not a number of
/// seconds is an error.
#[test]
fn retry_after_is_read_in_seconds_or_rejected() {
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

/// Covers the native interface, with endpoints from the settings and without control boxes.
#[test]
fn engine_that_requests_a_back_off_over_the_native_interface_gets_no_requests_until_it_ends() {
    let (backing_off, other) = (engine(), engine());
    let deployment = deployment().engines(&replicas(&[&backing_off, &other]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    backing_off.refuse(true);
    backing_off.request_back_off(Some("5"));
    let begun = Instant::now();
    for _ in 0..60 {
        assert_eq!(block_on(caller.chat(MODEL, "is there room?", 2)).status, 200);
    }
    let backoffs = 1 + begun.elapsed().as_secs() / 5;
    let refused = backing_off.stats().refused;
    assert!((1..=backoffs).contains(&refused), "{refused} of 60 in {backoffs} back-offs");
}

/// Guards against a plain service that gets no requests ever again after it was leaving: nothing
/// reports when it has started again, so entry boxes have to check from time to time.
#[test]
fn plain_service_that_says_that_it_is_leaving_gets_no_requests_for_a_while() {
    let (leaving, other) = (PlainService::spawn(), PlainService::spawn());
    let deployment = deployment()
        .plain(&[Replica::new("p", leaving.address()), Replica::new("q", other.address())]);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    let call = || block_on(caller.send(Method::GET, "/services/reading-room/a", "")).status;
    leaving.announce_leaving(true);
    let begun = Instant::now();
    assert!((0..60).all(|_| call() == 200), "a request was not served");
    let checks = 1 + begun.elapsed().as_secs() / 10;
    let received = leaving.total();
    assert!((1..=checks).contains(&u64::from(received)), "{received} of 60 in {checks} checks");

    leaving.announce_leaving(false);
    let deadline = Instant::now() + Duration::from_mins(1);
    while leaving.total() < received + 30 {
        assert!(
            Instant::now() < deadline,
            "the service is not used again, requests: {}",
            leaving.total()
        );
        assert_eq!(call(), 200);
    }
}

//! Endpoints that advertise a limit: how many requests a second they accept from all entry boxes
//! together.
//!
//! docs/incidents/endpoint-limit.md describes the incident that these tests guard against.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Process;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::limits;
use vaneway_test_support::limits::BINDING_DELAY;
use vaneway_test_support::limits::COUNTING_WINDOW;

use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::platform_path::configuration;
use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;

/// Entry boxes with endpoints, and callers that send to all of them without waiting for responses.
pub(crate) struct Fleet {
    control: ControlGroup,
    pub(crate) entries: Vec<Process>,
    pub(crate) endpoints: Vec<WireEndpoint>,
}

impl Fleet {
    pub(crate) fn start(entries: usize, endpoints: &[&str]) -> Self {
        let control = ControlGroup::start_adapted(
            Path::new(env!("CARGO_BIN_EXE_vaneway")),
            1,
            Some("platform"),
        );
        let entries = (0..entries).map(|i| control.start_entry(&format!("entry-{i}"))).collect();
        let endpoints = endpoints.iter().map(|id| WireEndpoint::spawn(id)).collect();
        let fleet = Self { control, entries, endpoints };
        fleet.control.configure(&configuration(1));
        for entry in &fleet.entries {
            entry.wait_for_log(&["event=configured", "version=1"]);
        }
        for endpoint in &fleet.endpoints {
            let replica = fleet.register(endpoint, 1_000);
            for entry in &fleet.entries {
                entry.wait_for_log(&["event=endpoint", &format!("replica={replica}")]);
            }
        }
        fleet
    }

    /// Registers the incarnation of an endpoint that started at `born`; returns the endpoint's id.
    fn register(&self, endpoint: &WireEndpoint, born: u64) -> String {
        let (path, body) = endpoint.heartbeat_with_start("maps", born, 1);
        let response =
            self.control.call(0, "POST", &path, &body).expect("the control box responds");
        assert_eq!(response.status, 200);
        path.split('/').nth(2).expect("a path with the endpoint's id").to_owned()
    }

    /// Sends a request to each entry box once per `interval` for `duration`; returns how many
    /// requests were not served.
    pub(crate) fn call(&self, interval: Duration, duration: Duration) -> usize {
        let callers =
            self.entries.iter().map(|entry| Caller::new(entry.listen(), KEY).with_host(HOST));
        let end = Instant::now() + duration;
        block_on(async {
            let each = callers.map(Rc::new).map(|caller| async move {
                let mut open = Vec::new();
                while Instant::now() < end {
                    let caller = Rc::clone(&caller);
                    open.push(compio::runtime::spawn(async move {
                        let headers = [("x-request-id", "r"), ("x-deadline-ms", "2000")];
                        let method = hyper::Method::GET;
                        caller.send_with(method, "/safe/x", &headers, "").await.status
                    }));
                    compio::time::sleep(interval).await;
                }
                join_all(open).await.into_iter().filter(|status| !matches!(status, Ok(200))).count()
            });
            join_all(each).await.into_iter().sum()
        })
    }
}

/// Times at which `endpoint` received requests, from `from` on.
fn arrivals(endpoint: &WireEndpoint, from: Instant) -> Vec<Instant> {
    endpoint.received().iter().map(|seen| seen.at).filter(|at| *at >= from).collect()
}

/// Guards against an endpoint that gets more requests than its advertised limit and the tolerance
/// of operators allow, or none at all. The other endpoints serve the remaining requests; once the
/// endpoint advertises no limit, it is used as before.
#[test]
fn endpoint_gets_its_advertised_limit_from_all_entry_boxes_together() {
    let fleet = Fleet::start(4, &["i-a", "i-b", "i-c"]);
    let interval = Duration::from_millis(200);
    fleet.endpoints[0].advertise_limit(Some("1"));
    let advertised_at = Instant::now();
    assert_eq!(fleet.call(interval, BINDING_DELAY + 2 * COUNTING_WINDOW), 0, "all are served");
    let received = arrivals(&fleet.endpoints[0], advertised_at + BINDING_DELAY);
    assert!(!received.is_empty(), "the endpoint gets no requests");
    let most = limits::max_in_window(&received);
    let allowed = limits::max_allowed(1.0);
    assert!(most as f64 <= allowed, "{most} requests in {COUNTING_WINDOW:?}, {allowed} allowed");

    fleet.endpoints[0].advertise_limit(None);
    let lifted_at = Instant::now();
    assert_eq!(fleet.call(interval, 2 * COUNTING_WINDOW), 0, "all are served");
    let after = arrivals(&fleet.endpoints[0], lifted_at).len();
    assert!(after as f64 > 2.0 * allowed, "{after} requests after the limit had ended");
}

/// Without another endpoint, requests that exceed the limit are refused at once, and have not run.
#[test]
fn request_that_no_limit_allows_is_refused_at_once() {
    let fleet = Fleet::start(1, &["i-a"]);
    fleet.endpoints[0].advertise_limit(Some("0"));
    let caller = Caller::new(fleet.entries[0].listen(), KEY).with_host(HOST);
    let responses = block_on(async {
        let headers = [("x-request-id", "r"), ("x-deadline-ms", "60000")];
        let mut responses = Vec::new();
        for _ in 0..10 {
            responses.push(caller.send_with(hyper::Method::GET, "/once/x", &headers, "").await);
        }
        responses
    });
    let received = fleet.endpoints[0].received().len();
    assert!((1..=3).contains(&received), "{received} of 10 requests");
    let refused: Vec<_> = responses.iter().filter(|response| response.status == 503).collect();
    assert_eq!(refused.len(), 10 - received);
    assert!(refused.iter().all(|response| response.retry_after.is_some()));
}

/// A limit that is not a number of requests is logged and counted, and changes nothing.
#[test]
fn limit_that_cannot_be_read_changes_nothing() {
    let fleet = Fleet::start(1, &["i-a"]);
    let entry = &fleet.entries[0];
    let values = ["-1", "nan", "inf", "1e3", "one", "", "1.5, -2", "1.2.3", "0x10"];
    for value in values {
        fleet.endpoints[0].advertise_limit(Some(value));
        assert_eq!(fleet.call(Duration::from_millis(30), Duration::from_millis(150)), 0, "{value}");
    }
    entry.wait_for_log(&["event=endpoint_limit_unreadable", "replica=i-a", "why=negative"]);
    entry.wait_for_log(&["event=endpoint_limit_unreadable", "replica=i-a", "why=not_a_number"]);
    assert!(!entry.log().contains("event=endpoint_limit "), "{}", entry.log());

    // A limit above any load is valid, and of several values the lowest one applies.
    fleet.endpoints[0].advertise_limit(Some("99999999999999999999999999999999, 123456.75"));
    assert_eq!(fleet.call(Duration::from_millis(30), Duration::from_millis(150)), 0);
    entry.wait_for_log(&["event=endpoint_limit", "replica=i-a", "a_second=123456.75"]);
}

/// Boxes that never sent a request to the endpoint apply its limit too, also one that starts later.
/// The limit ends when the endpoint registers a new incarnation under its id.
#[test]
fn limit_is_sent_to_boxes_that_never_received_it_and_ends_with_the_incarnation() {
    let fleet = Fleet::start(2, &["i-a"]);
    let endpoint = &fleet.endpoints[0];
    endpoint.advertise_limit(Some("0.5"));
    let caller = Caller::new(fleet.entries[0].listen(), KEY).with_host(HOST);
    let headers = [("x-request-id", "r"), ("x-deadline-ms", "2000")];
    let send = || block_on(caller.send_with(hyper::Method::GET, "/safe/x", &headers, ""));
    assert_eq!(send().status, 200);
    let sent_limit = ["event=endpoint_limit_told", "replica=i-a", "a_second=0.5", "ended=false"];
    fleet.entries[1].wait_for_log(&sent_limit);
    let late = fleet.control.start_entry("entry-late");
    late.wait_for_log(&sent_limit);

    endpoint.advertise_limit(None);
    fleet.register(endpoint, 2_000);
    fleet.entries[0].wait_for_log(&["event=endpoint_reborn", "replica=i-a"]);
    let served = (0..20).filter(|_| send().status == 200).count();
    assert_eq!(served, 20, "all are served after the endpoint started again");
}

/// Guards against a limit that is lost while a control box is behind: entry boxes send it nothing
/// more until it has read what they sent, and must then send the limits that they held back.
#[test]
fn limit_that_was_advertised_while_the_control_box_was_stopped_is_sent_afterwards() {
    let fleet = Fleet::start(2, &["i-a"]);
    let caller = Caller::new(fleet.entries[0].listen(), KEY).with_host(HOST);
    let headers = [("x-request-id", "r"), ("x-deadline-ms", "2000")];
    let send = || block_on(caller.send_with(hyper::Method::GET, "/safe/x", &headers, ""));
    fleet.control.process(0).signal("STOP");
    // Longer than the timeout of a ping, and shorter than the idle timeout of a connection.
    std::thread::sleep(Duration::from_millis(1_200));
    fleet.endpoints[0].advertise_limit(Some("0.5"));
    assert_eq!(send().status, 200);
    fleet.entries[0].wait_for_log(&["event=endpoint_limit", "replica=i-a", "a_second=0.5"]);
    std::thread::sleep(Duration::from_millis(200));
    fleet.control.process(0).signal("CONT");
    fleet.entries[1].wait_for_log(&["event=endpoint_limit_told", "replica=i-a", "a_second=0.5"]);
}

/// Covers the native interface, with endpoints from the settings and without control boxes.
#[test]
fn engine_advertises_its_limit_over_the_native_interface() {
    let (limited, other) = (engine(), engine());
    let deployment = deployment().engines(&replicas(&[&limited, &other]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    let chat = || block_on(caller.chat(MODEL, "is there room?", 2)).status;
    limited.advertise_limit(Some("1"));
    let begun = Instant::now();
    assert!((0..60).all(|_| chat() == 200), "a request was not served");
    let windows = 1 + begun.elapsed().as_secs() / COUNTING_WINDOW.as_secs();
    let received = limited.stats().fresh;
    assert!(
        (1..=windows * limits::max_allowed(1.0) as u64).contains(&received),
        "{received} of 60"
    );

    limited.advertise_limit(None);
    let deadline = Instant::now() + Duration::from_mins(1);
    while limited.stats().fresh < received + 30 {
        assert!(Instant::now() < deadline, "the limit is still in force: {:?}", limited.stats());
        assert_eq!(chat(), 200);
    }
}

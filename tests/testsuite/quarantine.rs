//! Requests that end their endpoints, over the real path: two entry boxes before endpoints that die of a marked one.

use std::path::Path;

use hyper::Method;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Process;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::caller::ReceivedResponse;
use vaneway_test_support::wire_endpoint::Behaviour;
use vaneway_test_support::wire_endpoint::CRASH_HEADER;

use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::platform_path::configuration;
use crate::platform_path::stream_headers;
use crate::support::block_on;
use crate::support::vanectl;
use crate::support::vanectl_json;

/// When the endpoints' first incarnations were born, in Unix milliseconds.
const FIRST_BORN: u64 = 1_000;

struct Setup {
    control: ControlGroup,
    entries: [Process; 2],
    endpoints: Vec<WireEndpoint>,
}

impl Setup {
    fn start() -> Self {
        Self::start_before(&["i-a", "i-b", "i-c", "i-d"])
    }

    fn start_before(names: &[&str]) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
        let control = ControlGroup::start_adapted(program, 1, Some("platform"));
        let entries = ["entry-1", "entry-2"].map(|name| control.start_entry(name));
        let endpoints: Vec<_> = names.iter().map(|name| WireEndpoint::spawn(name)).collect();
        let setup = Self { control, entries, endpoints };
        setup.control.configure(&configuration(1));
        for entry in &setup.entries {
            entry.wait_for_log(&["event=configured", "version=1"]);
        }
        for (endpoint, name) in setup.endpoints.iter().zip(names) {
            setup.register(endpoint, name, FIRST_BORN);
        }
        setup
    }

    /// Registers an endpoint and waits until both entry boxes have heard of it.
    fn register(&self, endpoint: &WireEndpoint, name: &str, born: u64) {
        let (path, body) = endpoint.heartbeat_with_start("maps", born, 1);
        let answer = self.control.call(0, "POST", &path, &body).expect("an answer");
        assert_eq!(answer.status, 200);
        let (replica, address) = (format!("replica={name}"), endpoint.address().to_string());
        for entry in &self.entries {
            entry.wait_for_log(&["event=endpoint", &replica, &address]);
        }
    }

    fn send(
        &self,
        entry: usize,
        path: &str,
        id: &str,
        body: &str,
        ends: Option<&str>,
    ) -> ReceivedResponse {
        let mut sent = stream_headers(id);
        sent.extend(ends.map(|how| (CRASH_HEADER, how)));
        self.send_with(entry, path, &sent, body)
    }

    fn send_with(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ReceivedResponse {
        let caller = Caller::new(self.entries[entry].listen(), KEY).with_host(HOST);
        block_on(caller.send_with(Method::POST, path, headers, body))
    }

    fn ended(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }
}

#[test]
fn request_under_which_two_endpoints_ended_is_refused_at_every_box() {
    let setup = Setup::start();
    let answer = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!((answer.status, answer.retry_after.clone(), setup.ended()), (400, None, 2));
    assert!(String::from_utf8_lossy(&answer.body).contains("\"ends_endpoints\""), "{answer:?}");

    setup.entries[1].wait_for_log(&["event=request_case_told", "verdict=condemned"]);
    let answer = setup.send(1, "/stream/x", "q2", "deadly", Some("at once"));
    assert_eq!((answer.status, answer.retry_after.clone(), setup.ended()), (400, None, 2));

    // The id doesn't make it the same request, and what is another request is served.
    let answer = setup.send(1, "/stream/x", "q1", "harmless", None);
    assert_eq!((answer.status, answer.complete), (200, true));
    let state = vanectl_json(&setup.entries[1], &["dump"]);
    let held = state["quarantine"].as_array().expect("a list");
    assert_eq!(held.len(), 1, "{held:?}");
    assert_eq!(held[0]["verdict"], "condemned");
    assert_eq!(held[0]["ended"].as_array().map(Vec::len), Some(2));
}

#[test]
fn request_that_may_not_be_repeated_ends_one_endpoint() {
    let setup = Setup::start();
    let answer = setup.send(0, "/once/x", "q1", "deadly", Some("at once"));
    assert_eq!((answer.status, setup.ended()), (502, 1));
}

#[test]
fn operator_lists_requests_that_are_held_and_releases_one() {
    let setup = Setup::start();
    let answer = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!(answer.status, 400);

    let listed = vanectl_json(&setup.entries[0], &["quarantine"]);
    let fingerprint = listed[0]["fingerprint"].as_str().expect("a fingerprint");
    assert_eq!(listed[0]["verdict"], "condemned");
    assert_eq!(listed[0]["endpoints"].as_array().map(Vec::len), Some(2));

    let released = vanectl(&setup.entries[0], &["release", fingerprint]);
    assert!(released.contains("released"), "{released}");
    setup.entries[1].wait_for_log(&["event=request_case_told", "verdict=cleared"]);
    // Without the mark it runs like any other.
    let answer = setup.send(1, "/stream/x", "q2", "deadly", None);
    assert_eq!((answer.status, answer.complete), (200, true));
}

/// A system closes the connections of a process that dies and its listening socket one after another.
#[test]
fn endpoint_that_listens_a_little_longer_than_it_answers_has_ended_too() {
    let setup = Setup::start();
    let answer = setup.send(0, "/stream/x", "q1", "deadly", Some("late"));
    assert_eq!((answer.status, setup.ended()), (400, 2));
}

/// Guards against copies of a request that begin anew because something beside caller, path and body differs.
#[test]
fn copy_with_another_prompt_is_known_as_the_request_that_ends_endpoints() {
    let setup = Setup::start();
    let answer = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!((answer.status, setup.ended()), (400, 2));

    let other_prompt = [
        ("x-request-id", "q2"),
        ("x-deadline-ms", "3000"),
        ("x-model", "m"),
        ("x-token-usage", "1461,81"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,0badcafe:251"),
        (CRASH_HEADER, "at once"),
    ];
    let answer = setup.send_with(0, "/stream/x", &other_prompt, "deadly");
    assert_eq!((answer.status, setup.ended()), (400, 2));
}

/// Guards against a caller that spells the host in another way and begins anew.
#[test]
fn copy_to_the_same_host_in_another_spelling_is_known_as_the_request_that_ends_endpoints() {
    let setup = Setup::start();
    let answer = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!((answer.status, setup.ended()), (400, 2));

    let host = format!("{}:80", HOST.to_ascii_uppercase());
    let caller = Caller::new(setup.entries[0].listen(), KEY).with_host(&host);
    let mut sent = stream_headers("q2");
    sent.push((CRASH_HEADER, "at once"));
    let answer = block_on(caller.send_with(Method::POST, "/stream/x", &sent, "deadly"));
    assert_eq!((answer.status, setup.ended()), (400, 2));
}

/// Guards against evidence that is taken back by an answer that shows no good run.
#[test]
fn error_of_an_endpoint_does_not_clear_a_request_that_ends_endpoints() {
    let setup = Setup::start();
    let answer = setup.send(0, "/once/x", "q1", "deadly", Some("at once"));
    assert_eq!((answer.status, setup.ended()), (502, 1));
    for endpoint in &setup.endpoints {
        endpoint.behave(Behaviour::Fail);
    }
    let answer = setup.send(0, "/once/x", "q2", "deadly", None);
    assert_eq!((answer.status, setup.ended()), (500, 1));

    let answer = setup.send(0, "/once/x", "q3", "deadly", Some("at once"));
    assert_eq!((answer.status, setup.ended()), (400, 2));
    let answer = setup.send(0, "/once/x", "q4", "deadly", Some("at once"));
    assert_eq!((answer.status, setup.ended()), (400, 2));
}

/// Guards against ends that count once however often they happen, since the endpoint starts again under its id.
#[test]
fn each_incarnation_that_ends_counts_against_the_request() {
    let mut setup = Setup::start_before(&["i-a"]);
    let answer = setup.send(0, "/once/x", "q1", "deadly", Some("at once"));
    assert_eq!((answer.status, setup.ended()), (502, 1));

    for (born, told) in [(2_000, 400), (3_000, 400)] {
        let again = WireEndpoint::spawn("i-a");
        setup.register(&again, "i-a", born);
        setup.endpoints.push(again);
        let answer = setup.send(0, "/once/x", &format!("q{born}"), "deadly", Some("at once"));
        assert_eq!((answer.status, setup.ended()), (told, 2));
    }
}

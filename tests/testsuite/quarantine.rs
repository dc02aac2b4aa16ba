//! Quarantine of requests that crash their endpoints, with real processes: two entry boxes in front
//! of endpoints that crash on requests with a marker header.

use std::path::Path;
use std::time::Duration;

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

/// Start of the endpoints' first incarnations, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_000;

/// Time for which an endpoint that dies may listen on and must be found to have ended: less than the
/// 20 ms after which a connection that stays open shows that it is running.
const A_LITTLE_LONGER: Duration = Duration::from_millis(15);

/// Crashes that may take longer, one after the other.
const MAX_TRIES: usize = 10;

struct Setup {
    control: ControlGroup,
    entries: [Process; 2],
    endpoints: Vec<WireEndpoint>,
}

impl Setup {
    fn start() -> Self {
        Self::start_with_endpoints(&["i-a", "i-b", "i-c", "i-d"])
    }

    fn start_with_endpoints(names: &[&str]) -> Self {
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
            setup.register(endpoint, name, FIRST_START_MS);
        }
        setup
    }

    /// Registers an endpoint and waits until both entry boxes have logged it.
    fn register(&self, endpoint: &WireEndpoint, name: &str, born: u64) {
        let (path, body) = endpoint.heartbeat_with_start("maps", born, 1);
        let response = self.control.call(0, "POST", &path, &body).expect("a response");
        assert_eq!(response.status, 200);
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
        crash_mode: Option<&str>,
    ) -> ReceivedResponse {
        let mut sent = stream_headers(id);
        sent.extend(crash_mode.map(|mode| (CRASH_HEADER, mode)));
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

    fn crashed(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }

    /// The longest time for which an endpoint listened after it broke a request's connection. Waits
    /// for those that still listen.
    fn listened_on(&self) -> Duration {
        self.endpoints.iter().filter_map(WireEndpoint::listened_on).max().unwrap_or_default()
    }
}

#[test]
fn request_that_crashed_two_endpoints_is_refused_at_every_box() {
    let setup = Setup::start();
    let response = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!((response.status, response.retry_after.clone(), setup.crashed()), (400, None, 2));
    assert!(String::from_utf8_lossy(&response.body).contains("\"ends_endpoints\""), "{response:?}");

    setup.entries[1].wait_for_log(&["event=request_case_told", "verdict=condemned"]);
    let response = setup.send(1, "/stream/x", "q2", "deadly", Some("at once"));
    assert_eq!((response.status, response.retry_after.clone(), setup.crashed()), (400, None, 2));

    // A request id does not identify a request: another request with the same id is served.
    let response = setup.send(1, "/stream/x", "q1", "harmless", None);
    assert_eq!((response.status, response.complete), (200, true));
    let state = vanectl_json(&setup.entries[1], &["dump"]);
    let cases = state["quarantine"].as_array().expect("a list");
    assert_eq!(cases.len(), 1, "{cases:?}");
    assert_eq!(cases[0]["verdict"], "condemned");
    assert_eq!(cases[0]["ended"].as_array().map(Vec::len), Some(2));
}

#[test]
fn request_that_may_not_be_repeated_crashes_one_endpoint() {
    let setup = Setup::start();
    let response = setup.send(0, "/once/x", "q1", "deadly", Some("at once"));
    assert_eq!((response.status, setup.crashed()), (502, 1));
}

#[test]
fn operator_lists_quarantined_requests_and_releases_one() {
    let setup = Setup::start();
    let response = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!(response.status, 400);

    let listed = vanectl_json(&setup.entries[0], &["quarantine"]);
    let fingerprint = listed[0]["fingerprint"].as_str().expect("a fingerprint");
    assert_eq!(listed[0]["verdict"], "condemned");
    assert_eq!(listed[0]["endpoints"].as_array().map(Vec::len), Some(2));

    let released = vanectl(&setup.entries[0], &["release", fingerprint]);
    assert!(released.contains("released"), "{released}");
    setup.entries[1].wait_for_log(&["event=request_case_told", "verdict=cleared"]);
    // Without the marker header the request runs normally.
    let response = setup.send(1, "/stream/x", "q2", "deadly", None);
    assert_eq!((response.status, response.complete), (200, true));
}

/// Guards against crashes that don't count because the operating system closes the listening socket
/// of a process that dies later than its connections.
///
/// An endpoint whose thread does not run for a while listens for longer, as a running one does. Such
/// a try shows nothing, and is repeated.
#[test]
fn endpoint_that_listens_a_little_longer_than_it_responds_counts_as_crashed() {
    for _ in 0..MAX_TRIES {
        let setup = Setup::start();
        let response = setup.send(0, "/stream/x", "q1", "deadly", Some("late"));
        let seen = (response.status, setup.crashed());
        if setup.listened_on() <= A_LITTLE_LONGER {
            assert_eq!(seen, (400, 2));
            return;
        }
    }
    panic!("in {MAX_TRIES} tries, an endpoint listened for more than {A_LITTLE_LONGER:?}");
}

/// Guards against copies of a quarantined request that count as other requests because something
/// besides caller, path and body differs.
#[test]
fn copy_with_another_prompt_is_recognised_as_the_request_that_crashes_endpoints() {
    let setup = Setup::start();
    let response = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!((response.status, setup.crashed()), (400, 2));

    let other_prompt = [
        ("x-request-id", "q2"),
        ("x-deadline-ms", "3000"),
        ("x-model", "m"),
        ("x-token-usage", "1461,81"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,0badcafe:251"),
        (CRASH_HEADER, "at once"),
    ];
    let response = setup.send_with(0, "/stream/x", &other_prompt, "deadly");
    assert_eq!((response.status, setup.crashed()), (400, 2));
}

/// Guards against a quarantined request that counts as another one because the caller spells the
/// host differently.
#[test]
fn copy_to_the_same_host_in_another_spelling_is_recognised_as_the_request_that_crashes_endpoints() {
    let setup = Setup::start();
    let response = setup.send(0, "/stream/x", "q1", "deadly", Some("at once"));
    assert_eq!((response.status, setup.crashed()), (400, 2));

    let host = format!("{}:80", HOST.to_ascii_uppercase());
    let caller = Caller::new(setup.entries[0].listen(), KEY).with_host(&host);
    let mut sent = stream_headers("q2");
    sent.push((CRASH_HEADER, "at once"));
    let response = block_on(caller.send_with(Method::POST, "/stream/x", &sent, "deadly"));
    assert_eq!((response.status, setup.crashed()), (400, 2));
}

/// Guards against evidence that is cleared by a response that does not prove a successful run.
#[test]
fn error_of_an_endpoint_does_not_clear_a_request_that_crashes_endpoints() {
    let setup = Setup::start();
    let response = setup.send(0, "/once/x", "q1", "deadly", Some("at once"));
    assert_eq!((response.status, setup.crashed()), (502, 1));
    for endpoint in &setup.endpoints {
        endpoint.behave(Behaviour::Fail);
    }
    let response = setup.send(0, "/once/x", "q2", "deadly", None);
    assert_eq!((response.status, setup.crashed()), (500, 1));

    let response = setup.send(0, "/once/x", "q3", "deadly", Some("at once"));
    assert_eq!((response.status, setup.crashed()), (400, 2));
    let response = setup.send(0, "/once/x", "q4", "deadly", Some("at once"));
    assert_eq!((response.status, setup.crashed()), (400, 2));
}

/// Guards against crashes that count only once because the endpoint restarts under the same id.
#[test]
fn each_incarnation_that_crashes_counts_against_the_request() {
    let mut setup = Setup::start_with_endpoints(&["i-a"]);
    let response = setup.send(0, "/once/x", "q1", "deadly", Some("at once"));
    assert_eq!((response.status, setup.crashed()), (502, 1));

    for (born, status) in [(2_000, 400), (3_000, 400)] {
        let restarted = WireEndpoint::spawn("i-a");
        setup.register(&restarted, "i-a", born);
        setup.endpoints.push(restarted);
        let response = setup.send(0, "/once/x", &format!("q{born}"), "deadly", Some("at once"));
        assert_eq!((response.status, setup.crashed()), (status, 2));
    }
}

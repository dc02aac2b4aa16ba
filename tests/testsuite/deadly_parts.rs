//! Parts of prompts that crash each endpoint which begins to respond to a request with them.
//!
//! The requests are never alike: each has its own body and its own last part. Sound requests come
//! from the same caller and share all other parts with them.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Process;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::caller::ReceivedResponse;

use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::platform_path::configuration;
use crate::simulated_crashes::Deadly;
use crate::simulated_crashes::Load;
use crate::simulated_crashes::SimulatedCrashes;
use crate::support::block_on;

/// Number of endpoints, more than may crash.
const ENDPOINTS: usize = 12;

/// Crashes after which operators expect that no request with the part is sent any more.
const MAX_CRASHES: usize = 5;

/// The part that crashes endpoints.
const DEADLY_PART: &str = "0badcafe";

/// Number of requests with that part, each followed by a sound one.
const DEADLY_REQUESTS: usize = 10;

/// Seeds of the simulations.
const SEEDS: std::ops::Range<u64> = 1..5;

/// Requests with the part that may reach endpoints once the fifth crash has been known for long.
const MAX_SENT_LATE: u64 = 3;

/// 69 entry boxes before 60 engines; one request in 50 has a part that crashes engines.
const FLEET: Load = Load {
    boxes: 69,
    engines: 60,
    rate: 270.0,
    deadly: 0.02,
    deadly_by: Deadly::Part,
    duration: Duration::from_secs(20),
    time_to_first_event: Duration::from_millis(200),
    unrelated_crashes: &[],
};

/// Two entry boxes in front of endpoints that crash on the same part.
struct Setup {
    _control: ControlGroup,
    entries: [Process; 2],
    endpoints: Vec<WireEndpoint>,
}

impl Setup {
    fn start() -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
        let control = ControlGroup::start_adapted(program, 1, Some("platform"));
        let entries = ["entry-1", "entry-2"].map(|name| control.start_entry(name));
        control.configure(&configuration(1));
        for entry in &entries {
            entry.wait_for_log(&["event=configured", "version=1"]);
        }
        let names: Vec<_> = (0..ENDPOINTS).map(|i| format!("i-{i}")).collect();
        let endpoints: Vec<_> = names.iter().map(|name| WireEndpoint::spawn(name)).collect();
        for endpoint in &endpoints {
            endpoint.crash_on_part(DEADLY_PART);
            let (path, body) = endpoint.heartbeat_with_start("maps", 1_000, 1);
            let response = control.call(0, "POST", &path, &body).expect("a response");
            assert_eq!(response.status, 200);
        }
        for entry in &entries {
            for name in &names {
                entry.wait_for_log(&["event=endpoint", &format!("replica={name} ")]);
            }
        }
        Self { _control: control, entries, endpoints }
    }

    /// Sends a request that is like no other: a sound one, or one with the part.
    fn send(&self, number: usize, is_deadly: bool) -> ReceivedResponse {
        let id = format!("q{number}");
        let deadly = if is_deadly { format!("{DEADLY_PART}:300,") } else { String::new() };
        let prompt = format!("5c1e07a2:800,91bd3f06:410,{deadly}{:x}:250", 0xe440_0000 + number);
        let headers = [
            ("x-request-id", &*id),
            ("x-deadline-ms", "3000"),
            ("x-model", "m"),
            ("x-token-usage", "1460,80"),
            ("x-prompt-prefix", &*prompt),
        ];
        let entry = &self.entries[number / 2 % self.entries.len()];
        let caller = Caller::new(entry.listen(), KEY).with_host(HOST);
        let body = format!("question {number}");
        block_on(caller.send_with(Method::POST, "/stream/x", &headers, &body))
    }

    fn crashed(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }
}

/// Guards against evidence that is kept for each whole request, so that requests which are never
/// alike but share a deadly part of the prompt crash one endpoint after the other.
#[test]
fn part_that_crashes_endpoints_reaches_few_of_them_in_requests_never_alike() {
    let setup = Setup::start();
    for number in 0..DEADLY_REQUESTS {
        let response = setup.send(2 * number, true);
        assert_ne!((response.status, response.complete), (200, true), "{response:?}");
        let response = setup.send(2 * number + 1, false);
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    }
    assert!(setup.crashed() <= MAX_CRASHES, "{} endpoints crashed", setup.crashed());
    let response = setup.send(2 * DEADLY_REQUESTS, true);
    assert_eq!((response.status, response.retry_after.clone()), (400, None), "{response:?}");
}

/// Requirement: beginning 3 s after the fifth crash, at most three requests with the part reach
/// endpoints; of the sound requests, which share all other parts, 95% are served.
#[test]
fn fleet_keeps_serving_beside_requests_with_a_deadly_part() {
    for seed in SEEDS {
        let outcomes = SimulatedCrashes::simulate(FLEET, seed);
        assert!(outcomes.sent_late <= MAX_SENT_LATE, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
    }
}

//! Parts of prompts that crash each endpoint which begins to respond to a request with them.
//!
//! The requests are never alike: each has its own body and its own last part. Sound requests come
//! from the same caller and share all other parts with them.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::PartId;
use vaneway_quarantine::PartVerdict;
use vaneway_quarantine::Quarantine;
use vaneway_quarantine::ServiceHash;
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
use crate::support::vanectl;
use crate::support::vanectl_json;

/// Number of endpoints, more than may crash.
const ENDPOINTS: usize = 12;

/// Crashes that condemn a part.
const CRASHES_TO_CONDEMN: usize = 3;

/// Crashes after which operators expect that no request with the part is sent any more.
const MAX_CRASHES: usize = 5;

/// The part that crashes endpoints.
const DEADLY_PART: &str = "0badcafe";

/// The same part in log lines.
const DEADLY_PART_LOGGED: &str = "part=badcafe";

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

/// A part of all prompts.
const FIRST: PartId = 1;

/// A part that crashes endpoints.
const DEADLY: PartId = 2;

/// A part of few prompts.
const RARE: PartId = 3;

const SERVICE: ServiceHash = 7;
const OTHER_SERVICE: ServiceHash = 8;

/// What one box knows, with a clock that the test sets.
#[derive(Default)]
struct Ledger {
    quarantine: Quarantine,
    now: Duration,
    crashes: u64,
}

impl Ledger {
    /// Lets time pass.
    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// An endpoint crashes while it runs these requests of `service`; each is the parts that it
    /// shares with others. A second passes.
    fn crash_at(&mut self, service: ServiceHash, requests: &[&[PartId]]) {
        self.crashes += 1;
        let endpoint = Incarnation::new("i-1", self.crashes);
        for (i, parts) in requests.iter().enumerate() {
            let fingerprint = 100 * self.crashes + i as u64;
            self.record(&endpoint, fingerprint, service, parts);
        }
        self.wait(Duration::from_secs(1));
    }

    fn crash(&mut self, requests: &[&[PartId]]) {
        self.crash_at(SERVICE, requests);
    }

    fn record(
        &mut self,
        endpoint: &Incarnation,
        fingerprint: u64,
        service: ServiceHash,
        parts: &[PartId],
    ) {
        self.quarantine.record_crash_with_parts(self.now, endpoint, fingerprint, service, parts);
    }

    fn answer(&mut self, parts: &[PartId]) {
        self.quarantine.record_answer(self.now, SERVICE, parts);
    }

    fn is_condemned_at(&self, service: ServiceHash, parts: &[PartId]) -> bool {
        let verdict = self.quarantine.part_verdict(self.now, service, parts);
        matches!(verdict, PartVerdict::Condemned(_))
    }

    fn is_condemned(&self, parts: &[PartId]) -> bool {
        self.is_condemned_at(SERVICE, parts)
    }
}

/// Times and numbers of engines that crash for another reason.
const UNRELATED_CRASHES: &[(Duration, u32)] = &[
    (Duration::from_secs(2), 3),
    (Duration::from_secs(3), 3),
    (Duration::from_secs(5), 3),
    (Duration::from_secs(8), 3),
];

/// Two entry boxes in front of endpoints that crash on the same part.
struct Setup {
    control: ControlGroup,
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
        Self { control, entries, endpoints }
    }

    /// Sends a request that is like no other, a sound one or one with the part, to the entry boxes
    /// in turn.
    fn send(&self, number: usize, is_deadly: bool) -> ReceivedResponse {
        send_to(&self.entries[number / 2 % self.entries.len()], number, is_deadly)
    }

    /// Sends requests with the part, each followed by a sound one, until the part is condemned.
    fn send_until_condemned(&self) {
        for number in 0..DEADLY_REQUESTS {
            self.send(2 * number, true);
            self.send(2 * number + 1, false);
        }
    }

    /// Number of endpoints that got the request with this number.
    fn runs(&self, number: usize) -> u32 {
        let id = format!("q{number}");
        self.endpoints.iter().map(|endpoint| endpoint.runs(&id)).sum()
    }

    fn crashed(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }
}

/// Sends a request that is like no other to an entry box: a sound one, or one with the part.
fn send_to(entry: &Process, number: usize, is_deadly: bool) -> ReceivedResponse {
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
    let caller = Caller::new(entry.listen(), KEY).with_host(HOST);
    let body = format!("question {number}");
    block_on(caller.send_with(Method::POST, "/stream/x", &headers, &body))
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

/// Guards against a box that starts after a part was condemned and sends requests with it.
#[test]
fn box_that_starts_later_refuses_a_condemned_part() {
    let setup = Setup::start();
    setup.send_until_condemned();
    let started = setup.control.start_entry("entry-3");
    started.wait_for_log(&["event=configured", "version=1"]);
    started.wait_for_log(&["event=prompt_part_told", DEADLY_PART_LOGGED, "verdict=condemned"]);
    let response = send_to(&started, 2 * DEADLY_REQUESTS, true);
    assert_eq!((response.status, setup.runs(2 * DEADLY_REQUESTS)), (400, 0), "{response:?}");
    let response = send_to(&started, 2 * DEADLY_REQUESTS + 1, false);
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
}

/// Guards against operators who can't see why requests are refused, or can't let them run again.
#[test]
fn operator_lists_a_condemned_part_and_releases_it() {
    let setup = Setup::start();
    setup.send_until_condemned();
    let listed = vanectl_json(&setup.entries[0], &["quarantine"]);
    let listed = listed.as_array().expect("a list");
    let is_condemned = |entry: &&Value| entry["kind"] == "part" && entry["verdict"] == "condemned";
    let condemned: Vec<_> = listed.iter().filter(is_condemned).collect();
    let [part] = &*condemned else { panic!("one part is condemned: {listed:?}") };
    assert_eq!(
        (&part["fingerprint"], &part["service"]),
        (&json!("000000000badcafe"), &json!("maps"))
    );
    let crashed = part["endpoints"].as_array().expect("a list");
    assert!(crashed.len() >= CRASHES_TO_CONDEMN, "{crashed:?}");

    let released = vanectl(&setup.entries[0], &["release", DEADLY_PART]);
    assert!(released.contains("released"), "{released}");
    setup.entries[1].wait_for_log(&["event=prompt_part_told", DEADLY_PART_LOGGED, "verdict=sound"]);
    for endpoint in &setup.endpoints {
        endpoint.survive_part();
    }
    let response = send_to(&setup.entries[1], 2 * DEADLY_REQUESTS, true);
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
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

/// Requirement: the same for shares from one request in 100 to three in 10, for a small fleet and a
/// larger one.
#[test]
fn deadly_part_is_contained_whatever_its_share_of_the_requests() {
    for (boxes, engines, rate) in [(8, 9, 30.0), (69, 60, 270.0), (69, 600, 2_700.0)] {
        for deadly in [0.01, 0.1, 0.3] {
            let duration = Duration::from_secs(8);
            let load = Load { boxes, engines, rate, deadly, duration, ..FLEET };
            let outcomes = SimulatedCrashes::simulate(load, 1);
            assert!(outcomes.sent_late <= MAX_SENT_LATE, "{load:?}: {outcomes:?}");
            assert!(outcomes.served * 100 >= outcomes.others * 95, "{load:?}: {outcomes:?}");
        }
    }
}

/// Requirement: requests are served, and none refused for a part, while endpoints crash for other
/// reasons.
#[test]
fn no_part_is_condemned_for_crashes_of_another_cause() {
    for (boxes, engines, rate) in [(8, 9, 30.0), (69, 60, 270.0)] {
        for seed in SEEDS {
            let load = Load {
                boxes,
                engines,
                rate,
                deadly: 0.0,
                unrelated_crashes: UNRELATED_CRASHES,
                ..FLEET
            };
            let outcomes = SimulatedCrashes::simulate(load, seed);
            assert_eq!(outcomes.rejected, 0, "seed {seed}: {outcomes:?}");
            assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
        }
    }
}

/// Guards against sound parts that are refused because they are in every request with the deadly one
/// and no response has told them apart yet.
#[test]
fn sound_part_of_the_requests_with_a_deadly_one_is_not_refused_without_it() {
    let mut ledger = Ledger::default();
    for _ in 0..3 {
        ledger.crash(&[&[FIRST, RARE, DEADLY]]);
    }
    assert!(ledger.is_condemned(&[FIRST, RARE, DEADLY]));
    assert!(!ledger.is_condemned(&[FIRST, RARE]));
    ledger.answer(&[FIRST, RARE]);
    assert!(ledger.is_condemned(&[FIRST, DEADLY]));
    assert!(!ledger.is_condemned(&[FIRST, RARE]));
}

/// Guards against sound parts that are refused because requests with them ran beside each of those
/// with deadly ones, two at the same time, and against deadly ones that are not refused for that.
#[test]
fn sound_part_beside_two_deadly_ones_is_not_refused() {
    const OTHER_DEADLY: PartId = 4;
    let mut ledger = Ledger::default();
    ledger.answer(&[FIRST, RARE]);
    ledger.wait(Duration::from_secs(3));
    for _ in 0..3 {
        ledger.crash(&[&[FIRST, DEADLY], &[FIRST, RARE]]);
        ledger.crash(&[&[FIRST, OTHER_DEADLY], &[FIRST, RARE]]);
    }
    assert!(ledger.is_condemned(&[FIRST, DEADLY]));
    assert!(ledger.is_condemned(&[FIRST, OTHER_DEADLY]));
    assert!(!ledger.is_condemned(&[FIRST]));
    assert!(!ledger.is_condemned(&[FIRST, RARE]));
    ledger.answer(&[FIRST]);
    assert!(ledger.is_condemned(&[FIRST, DEADLY]));
}

/// Guards against a busy part that is refused for long after an outage in which no request was
/// responded to.
#[test]
fn part_that_was_responded_to_before_is_tried_again_after_two_seconds() {
    let mut ledger = Ledger::default();
    ledger.answer(&[FIRST]);
    ledger.wait(Duration::from_secs(3));
    for _ in 0..3 {
        ledger.crash(&[&[FIRST]]);
    }
    assert!(ledger.is_condemned(&[FIRST]));
    ledger.wait(Duration::from_secs(2));
    assert!(!ledger.is_condemned(&[FIRST]));
    ledger.crash(&[&[FIRST]]);
    ledger.wait(Duration::from_secs(10));
    assert!(ledger.is_condemned(&[FIRST]), "the second hold is longer");
    ledger.answer(&[FIRST]);
    assert!(!ledger.is_condemned(&[FIRST]));
}

/// Guards against a part that crashes endpoints anew several times each time that a hold ends.
#[test]
fn one_crash_after_a_hold_renews_it() {
    let mut ledger = Ledger::default();
    for _ in 0..3 {
        ledger.crash(&[&[FIRST, DEADLY]]);
    }
    ledger.wait(Duration::from_mins(10));
    assert!(!ledger.is_condemned(&[FIRST, DEADLY]));
    ledger.crash(&[&[FIRST, DEADLY]]);
    ledger.wait(Duration::from_mins(70));
    assert!(ledger.is_condemned(&[FIRST, DEADLY]));
}

/// Guards against parts that are condemned because of a single request, or of a single event.
#[test]
fn crashes_of_one_request_or_of_one_moment_do_not_condemn_a_part() {
    let mut ledger = Ledger::default();
    for i in 1..=5 {
        ledger.record(&Incarnation::new("i-1", i), 1, SERVICE, &[RARE]);
        ledger.wait(Duration::from_secs(1));
    }
    assert!(!ledger.is_condemned(&[RARE]), "one request");

    let mut ledger = Ledger::default();
    for i in 1..=5 {
        ledger.record(&Incarnation::new("i-1", i), i, SERVICE, &[RARE]);
        ledger.wait(Duration::from_millis(5));
    }
    assert!(!ledger.is_condemned(&[RARE]), "one moment");
}

/// Guards against a condemned part that crashes several endpoints of each other service that a route
/// leads to.
#[test]
fn part_that_is_condemned_at_one_service_is_condemned_at_another_after_one_crash() {
    let mut ledger = Ledger::default();
    for _ in 0..3 {
        ledger.crash(&[&[FIRST, DEADLY]]);
    }
    assert!(!ledger.is_condemned_at(OTHER_SERVICE, &[DEADLY]), "its engine may survive it");
    ledger.crash_at(OTHER_SERVICE, &[&[FIRST, DEADLY]]);
    assert!(ledger.is_condemned_at(OTHER_SERVICE, &[FIRST, DEADLY]));
}

/// Guards against a clearance that expires before the condemnation that it lifted, which a box that
/// was cut off still holds.
#[test]
fn part_that_an_operator_released_is_not_condemned_again_by_a_box_that_was_cut_off() {
    let mut ledger = Ledger::default();
    for _ in 0..3 {
        ledger.crash(&[&[DEADLY]]);
    }
    let mut cut_off = Ledger { now: ledger.now, ..Ledger::default() };
    cut_off.quarantine.merge(cut_off.now, &ledger.quarantine.take_updates());
    assert!(cut_off.is_condemned(&[DEADLY]));
    assert!(ledger.quarantine.release_part(ledger.now, DEADLY));
    ledger.wait(Duration::from_secs(71));
    ledger.quarantine.merge(ledger.now, &cut_off.quarantine.valid_records(ledger.now));
    assert!(!ledger.is_condemned(&[DEADLY]));
}

/// Guards against cases of parts that are evicted as soon as they are merged, and are forwarded
/// nevertheless, each time that they are sent.
#[test]
fn part_that_exceeds_the_capacity_is_not_forwarded() {
    const MAX_CASES: u64 = 4_096;
    let mut ledger = Ledger::default();
    for part in 0..=MAX_CASES {
        let endpoint = Incarnation::new("i-1", part + 1);
        ledger.record(&endpoint, part, SERVICE, &[part]);
        ledger.wait(Duration::from_millis(1));
    }
    let mut oldest = Ledger::default();
    oldest.record(&Incarnation::new("i-1", 1), 0, SERVICE, &[0]);
    let records = oldest.quarantine.take_updates();
    assert_eq!(records.len(), 1);
    assert_eq!(ledger.quarantine.merge(ledger.now, &records), []);
    assert_eq!(ledger.quarantine.part_cases().len() as u64, MAX_CASES);
}

/// Guards against a box that refuses a part which a response at another box has cleared, or the
/// other way round, in whichever order it hears of both.
#[test]
fn boxes_reach_the_same_verdict_in_any_order_of_records() {
    let mut ledger = Ledger::default();
    for _ in 0..3 {
        ledger.crash(&[&[FIRST, DEADLY], &[FIRST, RARE]]);
    }
    let crashes = ledger.quarantine.take_updates();
    let mut answering = Ledger { now: ledger.now, ..Ledger::default() };
    answering.quarantine.merge(answering.now, &crashes);
    answering.answer(&[FIRST, RARE]);
    let answers = answering.quarantine.take_updates();
    assert_eq!(answers.len(), 2);
    for records in [[&crashes, &answers], [&answers, &crashes]] {
        let mut other = Ledger { now: ledger.now, ..Ledger::default() };
        for part in records {
            other.quarantine.merge(other.now, part);
        }
        assert!(other.is_condemned(&[FIRST, DEADLY]));
        assert!(!other.is_condemned(&[FIRST, RARE]));
    }
}

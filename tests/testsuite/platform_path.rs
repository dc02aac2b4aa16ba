//! The whole path on the users' platform: real control and entry processes before stand-in
//! endpoints that speak its protocol.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Process;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::wire_endpoint::Behaviour;
use vaneway_test_support::wire_endpoint::events;

use crate::support::block_on;
use crate::support::vanectl_json;

pub(crate) const HOST: &str = "maps.example";
pub(crate) const KEY: &str = "key-of-ada";

fn route(prefix: &str, kind: &str, resumable: bool) -> Value {
    json!({
        "name": format!("r{prefix}"), "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": 3_000, "target_latency_ms": 1_000, "priority": 1, "service": "maps",
        "max_attempts": 2, "public": false, "sticky_sessions": true, "resumable": resumable,
        "gap_target_ms": 100
    })
}

pub(crate) fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("/safe/", "safe", false),
            route("/once/", "unsafe", false),
            route("/once/deeper/", "safe", false),
            route("/stream/", "streaming", true),
            route("/fixed/", "streaming", false),
        ],
        "services": [{ "name": "maps", "health_path": "/health", "max_conns": 100 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000
        },
        "tenants": [
            { "name": "ada", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 10 },
            {
                "name": "small", "api_keys": ["key-of-small"], "unit": "tokens",
                "plain_tokens": 10, "rate_per_s": 1, "burst": 10
            }
        ]
    })
}

/// One entry box before two endpoints.
struct Setup {
    control: ControlGroup,
    entry: Process,
    endpoints: [WireEndpoint; 2],
}

impl Setup {
    fn start() -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
        let control = ControlGroup::start_adapted(program, 1, Some("platform"));
        let endpoints = [WireEndpoint::spawn("i-a"), WireEndpoint::spawn("i-b")];
        let setup = Self { entry: control.start_entry("entry-1"), control, endpoints };
        setup.control.configure(&configuration(1));
        for endpoint in &setup.endpoints {
            setup.beat(endpoint, "ready", 1);
        }
        setup.entry.wait_for_log(&["event=configured", "version=1"]);
        setup.entry.wait_for_log(&["event=endpoint", "replica=i-a"]);
        setup.entry.wait_for_log(&["event=endpoint", "replica=i-b"]);
        setup
    }

    fn beat(&self, endpoint: &WireEndpoint, state: &str, seq: u64) {
        let (path, body) = endpoint.heartbeat("maps", state, seq);
        let answer = self.control.call(0, "POST", &path, &body).expect("an answer");
        assert_eq!(answer.status, 200);
    }

    fn caller(&self) -> Caller {
        Caller::new(self.entry.listen(), KEY).with_host(HOST)
    }

    fn behave(&self, behaviour: Behaviour) {
        for endpoint in &self.endpoints {
            endpoint.behave(behaviour);
        }
    }

    fn runs(&self, id: &str) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.runs(id)).sum()
    }

    /// Makes only the first endpoint misbehave and lets the second never be chosen first.
    fn first_misbehaves(&self, behaviour: Behaviour) {
        self.endpoints[0].behave(behaviour);
    }
}

fn headers<'a>(id: &'a str, deadline: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![("x-request-id", id), ("x-deadline-ms", deadline)]
}

pub(crate) fn stream_headers(id: &str) -> Vec<(&str, &str)> {
    let mut headers = headers(id, "3000");
    headers.extend([
        ("x-model", "m"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ]);
    headers
}

#[test]
fn request_reaches_its_endpoint_as_the_caller_sent_it() {
    let setup = Setup::start();
    let answer = block_on(async {
        let mut sent = headers("q1", "900");
        sent.extend([("x-tenant", "forged"), ("x-expect-instance", "forged"), ("x-own", "kept")]);
        sent.extend([("connection", "x-private"), ("x-private", "1")]);
        let answer =
            setup.caller().open(Method::POST, "/once/x?y=1", &sent, "the body".to_owned()).await;
        assert!(
            answer.header("x-response-stamp").is_some_and(|stamp| stamp.starts_with("stamp-i-"))
        );
        answer.finish().await
    });
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.body, "the body");
    let seen: Vec<_> = setup.endpoints.iter().flat_map(WireEndpoint::received).collect();
    let [seen] = &*seen else { panic!("one endpoint gets it once: {seen:?}") };
    assert_eq!((&*seen.line, &*seen.body), ("POST /once/x?y=1", "the body"));
    let header = |name: &str| seen.headers.get(name).map(String::as_str);
    assert_eq!(header("x-request-id"), Some("q1"));
    assert_eq!(header("x-tenant"), Some("ada"));
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!(header("host"), Some(HOST));
    assert_eq!((header("authorization"), header("x-private")), (None, None));
    assert!(header("x-expect-instance").is_some_and(|id| id.starts_with("i-")));
    let left: u64 = header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 900, "{left}");
}

/// Headers by which the system tells endpoints what to do with memory, versions and places.
const OF_THE_SYSTEM: [&str; 6] =
    ["x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "kv-fetch", "x-expect-version"];

#[test]
fn header_of_the_system_never_passes_from_a_caller_however_it_is_spelled() {
    let setup = Setup::start();
    let spelled = |name: &str| {
        let mixed: String = name
            .char_indices()
            .map(|(i, c)| if i % 2 == 0 { c.to_ascii_uppercase() } else { c })
            .collect();
        [name.to_owned(), mixed, name.replace('-', "_"), name.to_ascii_uppercase()]
    };
    let names: Vec<String> = OF_THE_SYSTEM.iter().flat_map(|name| spelled(name)).collect();
    let statuses = block_on(async {
        let mut statuses = Vec::new();
        for (i, name) in names.iter().enumerate() {
            let id = format!("q{i}");
            // Once, doubled, and as a header of the connection.
            let once = [(&**name, "1")];
            let doubled = [(&**name, "1"), (&**name, "forged")];
            let named = [(&**name, "1"), ("connection", &**name)];
            for (path, mut sent, own) in [
                ("/once/x", headers(&id, "900"), &once[..]),
                ("/stream/x", stream_headers(&id), &doubled[..]),
                ("/stream/x", stream_headers(&id), &named[..]),
            ] {
                sent.extend(own);
                let answer = setup.caller().send_with(Method::POST, path, &sent, "b").await;
                statuses.push(answer.status);
            }
        }
        statuses
    });
    assert_eq!(statuses, vec![200; 3 * names.len()]);
    let seen: Vec<_> = setup.endpoints.iter().flat_map(WireEndpoint::received).collect();
    assert_eq!(seen.len(), 3 * names.len());
    let passed = seen.iter().flat_map(|seen| seen.headers.keys());
    let forged: Vec<_> =
        passed.filter(|name| OF_THE_SYSTEM.contains(&&*name.replace('_', "-"))).collect();
    assert_eq!(forged, Vec::<&String>::new());
}

#[test]
fn request_that_is_not_allowed_never_reaches_an_endpoint() {
    let setup = Setup::start();
    let statuses = block_on(async {
        let entry = setup.entry.listen();
        let long = "x".repeat(1_001);
        let send = async |caller: &Caller, path: &str, body: &str| {
            caller.send_with(Method::POST, path, &headers("q", "500"), body).await.status
        };
        let caller = setup.caller();
        let stranger = Caller::new(entry, "no such key").with_host(HOST);
        let elsewhere = Caller::new(entry, KEY).with_host("other.example");
        vec![
            send(&caller, "/nowhere/", "").await,
            send(&elsewhere, "/safe/", "").await,
            send(&stranger, "/safe/", "").await,
            send(&caller, "/safe/", &long).await,
        ]
    });
    assert_eq!(statuses, [404, 404, 401, 413]);
    let seen: Vec<_> = setup.endpoints.iter().flat_map(WireEndpoint::received).collect();
    assert_eq!(seen, []);
}

#[test]
fn longest_prefix_decides_what_may_be_repeated() {
    let setup = Setup::start();
    setup.behave(Behaviour::LoseResponse);
    let (once, deeper) = block_on(async {
        let caller = setup.caller();
        let send = async |id: &str, path: &str| {
            caller.send_with(Method::POST, path, &headers(id, "2000"), "b").await
        };
        (send("once", "/once/x").await, send("deeper", "/once/deeper/x").await)
    });
    // A lost answer is no promise that the request did not run.
    assert_eq!((once.status, setup.runs("once")), (502, 1));
    assert_eq!((deeper.status, setup.runs("deeper")), (502, 2));
}

#[test]
fn refused_request_goes_elsewhere_and_then_back_with_a_time() {
    let setup = Setup::start();
    setup.first_misbehaves(Behaviour::Refuse);
    let answers = block_on(async {
        let caller = setup.caller();
        let mut answers = Vec::new();
        for i in 0..6 {
            let id = format!("q{i}");
            let sent = headers(&id, "2000");
            answers.push(caller.send_with(Method::POST, "/once/x", &sent, "b").await.status);
        }
        answers
    });
    assert_eq!(answers, [200; 6]);
    assert!(!setup.endpoints[0].received().is_empty(), "the first endpoint was asked too");

    setup.behave(Behaviour::Refuse);
    let (answer, taken) = block_on(async {
        let begun = Instant::now();
        let sent = headers("last", "2000");
        let answer = setup.caller().send_with(Method::POST, "/once/x", &sent, "b").await;
        (answer, begun.elapsed())
    });
    assert_eq!((answer.status, setup.runs("last")), (503, 0));
    assert!(answer.retry_after.is_some());
    assert!(taken < Duration::from_secs(2), "the answer is not held back: {taken:?}");
}

#[test]
fn answer_to_another_request_is_not_passed_on() {
    let setup = Setup::start();
    setup.behave(Behaviour::RespondToAnother);
    let answer = block_on(async {
        let sent = headers("q", "2000");
        setup.caller().send_with(Method::POST, "/once/x", &sent, "private").await
    });
    assert_eq!((answer.status, setup.runs("q")), (502, 1));
    assert!(!answer.body.windows(7).any(|bytes| bytes == b"private"));
}

#[test]
fn failure_of_an_endpoint_is_tried_elsewhere_or_passed_on_as_it_is() {
    let setup = Setup::start();
    setup.behave(Behaviour::Fail);
    let (safe, once) = block_on(async {
        let caller = setup.caller();
        let safe = caller.send_with(Method::POST, "/safe/x", &headers("s", "2000"), "b").await;
        let once = caller.send_with(Method::POST, "/once/x", &headers("o", "2000"), "b").await;
        (safe, once)
    });
    assert_eq!((safe.status, setup.runs("s")), (500, 2));
    assert_eq!((once.status, setup.runs("o")), (500, 1));
}

#[test]
fn stream_that_breaks_off_goes_on_elsewhere_inside_the_same_answer() {
    let setup = Setup::start();
    setup.behave(Behaviour::TruncateAfter(4));
    let answer = block_on(async {
        let sent = stream_headers("q");
        setup.caller().send_with(Method::POST, "/stream/x", &sent, "prompt").await
    });
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(String::from_utf8_lossy(&answer.body), events(0));
    let seen: Vec<_> = setup.endpoints.iter().flat_map(WireEndpoint::received).collect();
    let after: Vec<_> = seen.iter().filter_map(|seen| seen.headers.get("last-event-id")).collect();
    assert_eq!((seen.len(), after), (2, vec![&"4".to_owned()]));
}

#[test]
fn stream_is_whole_whenever_its_second_attempt_is() {
    let ways = [
        Behaviour::Fail,
        Behaviour::Refuse,
        Behaviour::LoseResponse,
        Behaviour::RespondToAnother,
        Behaviour::FailStream,
        Behaviour::CloseBeforeEvent,
        Behaviour::TruncateAfter(1),
        Behaviour::TruncateAfter(9),
    ];
    for first in ways {
        let setup = Setup::start();
        setup.first_misbehaves(first);
        let answers = block_on(async {
            let mut answers = Vec::new();
            // Enough that some go to the first endpoint first, however they are placed.
            for i in 0..12 {
                let id = format!("q{i}");
                let sent = stream_headers(&id);
                let caller = setup.caller();
                let answer = caller.send_with(Method::POST, "/stream/x", &sent, "prompt").await;
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                answers.push((answer.status, answer.complete, body));
            }
            answers
        });
        assert_eq!(answers, vec![(200, true, events(0)); 12], "{first:?}");
        assert!(!setup.endpoints[0].received().is_empty(), "{first:?} was met");
    }
}

#[test]
fn failure_after_a_failure_is_told_as_the_endpoint_told_it() {
    let setup = Setup::start();
    setup.behave(Behaviour::Fail);
    let answer = block_on(async {
        let sent = stream_headers("q");
        setup.caller().send_with(Method::POST, "/stream/x", &sent, "prompt").await
    });
    assert_eq!((answer.status, answer.complete, setup.runs("q")), (500, true, 2));
    assert!(answer.body == b"prompt"[..], "the endpoint's body");
}

#[test]
fn stream_that_may_run_once_is_cut_off_where_its_endpoint_broke_it_off() {
    let setup = Setup::start();
    setup.behave(Behaviour::TruncateAfter(4));
    let answer = block_on(async {
        let sent = stream_headers("q");
        setup.caller().send_with(Method::POST, "/fixed/x", &sent, "prompt").await
    });
    assert_eq!((answer.status, answer.complete, setup.runs("q")), (200, false, 1));
    let whole = events(0);
    let kept = &whole[..whole.find("id: 5").unwrap()];
    assert_eq!(String::from_utf8_lossy(&answer.body), kept);
}

#[test]
fn endpoint_that_drains_gets_no_new_work_whatever_old_heartbeats_say() {
    let setup = Setup::start();
    setup.beat(&setup.endpoints[0], "draining", 5);
    setup.beat(&setup.endpoints[0], "ready", 4);
    setup.entry.wait_for_log(&["event=endpoint", "replica=i-a", "standing=draining"]);
    block_on(async {
        for i in 0..8 {
            let id = format!("q{i}");
            let sent = headers(&id, "2000");
            let answer = setup.caller().send_with(Method::POST, "/safe/x", &sent, "b").await;
            assert_eq!(answer.status, 200);
        }
    });
    assert_eq!(setup.endpoints[0].received(), []);
    assert_eq!(setup.endpoints[1].received().len(), 8);
}

#[test]
fn endpoint_that_starts_again_under_its_id_gets_work_whatever_is_said_late_of_the_one_before() {
    let setup = Setup::start();
    let [reborn, other] = &setup.endpoints;
    let call = |path: &str, body: &str| {
        setup.control.call(0, "POST", path, body).expect("an answer").status
    };
    let beat = |born: u64, seq: u64| {
        let (path, body) = reborn.heartbeat("maps", "ready", seq);
        call(&path, &body.replace("\"seq\"", &format!("\"born\":{born},\"seq\"")))
    };
    let end = |born: u64| call("/instances/i-a/deregister", &format!(r#"{{"born":{born}}}"#));
    assert_eq!((beat(1_000, 40), end(1_000)), (200, 200));
    setup.entry.wait_for_log(&["event=endpoint", "replica=i-a", "standing=gone"]);

    assert_eq!((beat(2_000, 1), beat(1_000, 41), end(1_000)), (200, 200, 200));
    setup.entry.wait_for_log(&["event=endpoint_reborn", "replica=i-a"]);
    setup.beat(other, "draining", 2);
    setup.entry.wait_for_log(&["event=endpoint", "replica=i-b", "standing=draining"]);
    block_on(async {
        let sent = headers("q", "2000");
        let answer = setup.caller().send_with(Method::POST, "/safe/x", &sent, "b").await;
        assert_eq!(answer.status, 200);
    });
    assert_eq!((reborn.runs("q"), other.runs("q")), (1, 0));
}

/// Another writer may use the same calls: what it sends names no endpoint to use.
#[test]
fn heartbeat_in_another_form_registers_no_endpoint() {
    let setup = Setup::start();
    let (_, body) = setup.endpoints[0].heartbeat("maps", "ready", 1);
    let forms = [
        body.replace("\"slots\":8,", ""),
        body.replace("\"seq\":1", "\"seq\":\"1\""),
        body.replace("\"ready\"", "\"resting\""),
        body.replace("\"seq\":1", "\"seq\":1,\"born\":1.5"),
        body[..body.len() / 2].to_owned(),
        "\u{1}\u{2}".to_owned(),
    ];
    for form in forms {
        let answer = setup.control.call(0, "POST", "/instances/i-c/heartbeat", &form);
        assert_eq!(answer.expect("an answer").status, 400, "{form}");
    }
    // The two others hold.
    block_on(async {
        let sent = headers("q", "2000");
        let answer = setup.caller().send_with(Method::POST, "/safe/x", &sent, "b").await;
        assert_eq!(answer.status, 200);
    });
    assert!(!setup.entry.log().contains("replica=i-c"));
}

#[test]
fn organisation_over_its_quota_is_told_when_to_come_back() {
    let setup = Setup::start();
    // Until then the box isn't ready: others may have taken what is left.
    setup.entry.wait_for_log(&["event=quotas_heard", "heard=1", "known=1"]);
    let (first, second) = block_on(async {
        let caller = Caller::new(setup.entry.listen(), "key-of-small").with_host(HOST);
        let first = caller.send_with(Method::POST, "/safe/x", &headers("a", "900"), "b").await;
        let second = caller.send_with(Method::POST, "/safe/x", &headers("b", "900"), "b").await;
        (first, second)
    });
    assert_eq!((first.status, second.status, setup.runs("b")), (200, 429, 0));
    let after: f64 = second.retry_after.unwrap().parse().unwrap();
    assert!(after > 0.0 && after <= 10.0, "{after}");
}

#[test]
fn planned_stop_lets_an_open_stream_finish() {
    let setup = Setup::start();
    setup.first_misbehaves(Behaviour::Hang);
    setup.endpoints[1].behave(Behaviour::Hang);
    block_on(async {
        let sent = stream_headers("q");
        let mut answer =
            setup.caller().open(Method::POST, "/stream/x", &sent, "prompt".to_owned()).await;
        answer.events(1).await;
        setup.entry.signal("TERM");
        setup.entry.wait_for_log(&["event=phase", "phase=finishing"]);
        // Both endpoints are silent, so the deadline ends the stream; nothing else does before.
        let begun = Instant::now();
        let answer = answer.finish().await;
        assert!(!answer.complete);
        assert!(begun.elapsed() > Duration::from_millis(500), "cut off by the stop");
    });
    let Setup { entry, .. } = setup;
    assert_eq!(entry.wait(), Some(0));
}

#[test]
fn endpoints_are_remembered_over_a_loss_of_all_boxes_until_they_must_have_been_heard_of() {
    let Setup { mut control, entry, endpoints } = Setup::start();
    control.process(0).wait_for_log(&["event=endpoints_written", "count=2"]);
    entry.kill();
    control.kill(0);
    control.start_box(0, false);
    let setup = Setup { entry: control.start_entry("entry-1"), control, endpoints };
    setup.entry.wait_for_log(&["event=configured", "version=1"]);
    setup.entry.wait_for_log(&["event=endpoints_remembered", "count=2"]);
    let send = |id: &str| {
        block_on(async {
            let sent = headers(id, "900");
            setup.caller().send_with(Method::POST, "/once/x", &sent, "b").await.status
        })
    };
    assert_eq!((send("first"), setup.runs("first")), (200, 1));
    setup.beat(&setup.endpoints[0], "ready", 2);
    setup.entry.wait_for_log(&["event=endpoint_not_heard_of", "replica=i-b"]);
    for i in 0..4 {
        assert_eq!(send(&format!("q{i}")), 200);
    }
    let later: u32 = (0..4).map(|i| setup.endpoints[0].runs(&format!("q{i}"))).sum();
    assert_eq!(later, 4, "only the endpoint that was heard of gets work");
    assert!(!setup.entry.log().contains("event=endpoint_not_heard_of replica=i-a"));
}

#[test]
fn entry_boxes_tell_each_other_which_prompt_parts_they_brought_to_which_endpoint() {
    let setup = Setup::start();
    let other = setup.control.start_entry("entry-2");
    other.wait_for_log(&["event=endpoint", "replica=i-b"]);
    let answer = block_on(setup.caller().send_with(
        Method::POST,
        "/stream/x",
        &stream_headers("first"),
        "body",
    ));
    assert_eq!(answer.status, 200);
    let served = setup.endpoints.iter().position(|endpoint| endpoint.runs("first") == 1).unwrap();
    let name = ["i-a", "i-b"][served];
    // The last of the three parts is the request's own.
    let kept = |dump: &Value| {
        let endpoints = dump["endpoints"].as_array().unwrap();
        let of_name = endpoints.iter().find(|endpoint| endpoint["replica"] == name);
        of_name.unwrap()["kept_parts"].as_u64()
    };
    let end = Instant::now() + Duration::from_secs(20);
    while kept(&vanectl_json(&other, &["dump"])) != Some(2) {
        assert!(Instant::now() < end, "the other entry box never heard of the parts");
        std::thread::sleep(Duration::from_millis(20));
    }
}

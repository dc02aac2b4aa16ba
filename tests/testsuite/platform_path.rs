//! Requests end to end through the platform's adapter: real control and entry processes in front of
//! stand-in endpoints that speak the platform's protocol.

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

/// One entry box in front of two endpoints.
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
            setup.send_heartbeat(endpoint, "ready", 1);
        }
        setup.entry.wait_for_log(&["event=configured", "version=1"]);
        setup.entry.wait_for_log(&["event=endpoint", "replica=i-a"]);
        setup.entry.wait_for_log(&["event=endpoint", "replica=i-b"]);
        setup
    }

    fn send_heartbeat(&self, endpoint: &WireEndpoint, state: &str, seq: u64) {
        let (path, body) = endpoint.heartbeat("maps", state, seq);
        let response = self.control.call(0, "POST", &path, &body).expect("a response");
        assert_eq!(response.status, 200);
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

    /// Changes the behaviour of the first endpoint only.
    fn set_first_behaviour(&self, behaviour: Behaviour) {
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
    let response = block_on(async {
        let mut sent = headers("q1", "900");
        sent.extend([("x-tenant", "forged"), ("x-expect-instance", "forged"), ("x-own", "kept")]);
        sent.extend([("connection", "x-private"), ("x-private", "1")]);
        let response =
            setup.caller().open(Method::POST, "/once/x?y=1", &sent, "the body".to_owned()).await;
        assert!(
            response.header("x-response-stamp").is_some_and(|stamp| stamp.starts_with("stamp-i-"))
        );
        response.finish().await
    });
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.body, "the body");
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

/// Headers by which the product controls memory, versions and cache transfers at endpoints.
const INTERNAL_HEADERS: [&str; 6] =
    ["x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "kv-fetch", "x-expect-version"];

#[test]
fn internal_header_from_a_caller_is_never_forwarded_however_it_is_spelled() {
    let setup = Setup::start();
    let spellings = |name: &str| {
        let mixed: String = name
            .char_indices()
            .map(|(i, c)| if i % 2 == 0 { c.to_ascii_uppercase() } else { c })
            .collect();
        [name.to_owned(), mixed, name.replace('-', "_"), name.to_ascii_uppercase()]
    };
    let names: Vec<String> = INTERNAL_HEADERS.iter().flat_map(|name| spellings(name)).collect();
    let statuses = block_on(async {
        let mut statuses = Vec::new();
        for (i, name) in names.iter().enumerate() {
            let id = format!("q{i}");
            // Sent once, sent twice, and declared as a hop-by-hop header.
            let single = [(&**name, "1")];
            let doubled = [(&**name, "1"), (&**name, "forged")];
            let hop_by_hop = [(&**name, "1"), ("connection", &**name)];
            for (path, mut sent, internal) in [
                ("/once/x", headers(&id, "900"), &single[..]),
                ("/stream/x", stream_headers(&id), &doubled[..]),
                ("/stream/x", stream_headers(&id), &hop_by_hop[..]),
            ] {
                sent.extend(internal);
                let response = setup.caller().send_with(Method::POST, path, &sent, "b").await;
                statuses.push(response.status);
            }
        }
        statuses
    });
    assert_eq!(statuses, vec![200; 3 * names.len()]);
    let seen: Vec<_> = setup.endpoints.iter().flat_map(WireEndpoint::received).collect();
    assert_eq!(seen.len(), 3 * names.len());
    let forwarded = seen.iter().flat_map(|seen| seen.headers.keys());
    let forged: Vec<_> =
        forwarded.filter(|name| INTERNAL_HEADERS.contains(&&*name.replace('_', "-"))).collect();
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
    // A lost response does not prove that the request did not run.
    assert_eq!((once.status, setup.runs("once")), (502, 1));
    assert_eq!((deeper.status, setup.runs("deeper")), (502, 2));
}

#[test]
fn refused_request_is_retried_elsewhere_and_then_returned_with_retry_after() {
    let setup = Setup::start();
    setup.set_first_behaviour(Behaviour::Refuse);
    let responses = block_on(async {
        let caller = setup.caller();
        let mut responses = Vec::new();
        for i in 0..6 {
            let id = format!("q{i}");
            let sent = headers(&id, "2000");
            responses.push(caller.send_with(Method::POST, "/once/x", &sent, "b").await.status);
        }
        responses
    });
    assert_eq!(responses, [200; 6]);
    assert!(!setup.endpoints[0].received().is_empty(), "the first endpoint received requests too");

    setup.behave(Behaviour::Refuse);
    let (response, elapsed) = block_on(async {
        let started = Instant::now();
        let sent = headers("last", "2000");
        let response = setup.caller().send_with(Method::POST, "/once/x", &sent, "b").await;
        (response, started.elapsed())
    });
    assert_eq!((response.status, setup.runs("last")), (503, 0));
    assert!(response.retry_after.is_some());
    assert!(elapsed < Duration::from_secs(2), "the response is not delayed: {elapsed:?}");
}

#[test]
fn response_to_another_request_is_not_forwarded() {
    let setup = Setup::start();
    setup.behave(Behaviour::RespondToAnother);
    let response = block_on(async {
        let sent = headers("q", "2000");
        setup.caller().send_with(Method::POST, "/once/x", &sent, "private").await
    });
    assert_eq!((response.status, setup.runs("q")), (502, 1));
    assert!(!response.body.windows(7).any(|bytes| bytes == b"private"));
}

#[test]
fn failure_of_an_endpoint_is_retried_elsewhere_or_forwarded_unchanged() {
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
fn interrupted_stream_is_resumed_elsewhere_in_the_same_response() {
    let setup = Setup::start();
    setup.behave(Behaviour::TruncateAfter(4));
    let response = block_on(async {
        let sent = stream_headers("q");
        setup.caller().send_with(Method::POST, "/stream/x", &sent, "prompt").await
    });
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(String::from_utf8_lossy(&response.body), events(0));
    let seen: Vec<_> = setup.endpoints.iter().flat_map(WireEndpoint::received).collect();
    let after: Vec<_> = seen.iter().filter_map(|seen| seen.headers.get("last-event-id")).collect();
    assert_eq!((seen.len(), after), (2, vec![&"4".to_owned()]));
}

#[test]
fn stream_is_complete_whenever_its_second_attempt_is() {
    let behaviours = [
        Behaviour::Fail,
        Behaviour::Refuse,
        Behaviour::LoseResponse,
        Behaviour::RespondToAnother,
        Behaviour::FailStream,
        Behaviour::CloseBeforeEvent,
        Behaviour::TruncateAfter(1),
        Behaviour::TruncateAfter(9),
    ];
    for first in behaviours {
        let setup = Setup::start();
        setup.set_first_behaviour(first);
        let responses = block_on(async {
            let mut responses = Vec::new();
            // Enough requests that some go to the first endpoint first, whatever endpoints are
            // chosen.
            for i in 0..12 {
                let id = format!("q{i}");
                let sent = stream_headers(&id);
                let caller = setup.caller();
                let response = caller.send_with(Method::POST, "/stream/x", &sent, "prompt").await;
                let body = String::from_utf8_lossy(&response.body).into_owned();
                responses.push((response.status, response.complete, body));
            }
            responses
        });
        assert_eq!(responses, vec![(200, true, events(0)); 12], "{first:?}");
        assert!(!setup.endpoints[0].received().is_empty(), "no request met {first:?}");
    }
}

#[test]
fn second_failure_is_returned_as_the_endpoint_sent_it() {
    let setup = Setup::start();
    setup.behave(Behaviour::Fail);
    let response = block_on(async {
        let sent = stream_headers("q");
        setup.caller().send_with(Method::POST, "/stream/x", &sent, "prompt").await
    });
    assert_eq!((response.status, response.complete, setup.runs("q")), (500, true, 2));
    assert!(response.body == b"prompt"[..], "the body is the endpoint's");
}

#[test]
fn stream_that_may_run_once_is_truncated_where_its_endpoint_interrupted_it() {
    let setup = Setup::start();
    setup.behave(Behaviour::TruncateAfter(4));
    let response = block_on(async {
        let sent = stream_headers("q");
        setup.caller().send_with(Method::POST, "/fixed/x", &sent, "prompt").await
    });
    assert_eq!((response.status, response.complete, setup.runs("q")), (200, false, 1));
    let complete = events(0);
    let delivered = &complete[..complete.find("id: 5").unwrap()];
    assert_eq!(String::from_utf8_lossy(&response.body), delivered);
}

#[test]
fn draining_endpoint_gets_no_new_requests_whatever_old_heartbeats_say() {
    let setup = Setup::start();
    setup.send_heartbeat(&setup.endpoints[0], "draining", 5);
    setup.send_heartbeat(&setup.endpoints[0], "ready", 4);
    setup.entry.wait_for_log(&["event=endpoint", "replica=i-a", "standing=draining"]);
    block_on(async {
        for i in 0..8 {
            let id = format!("q{i}");
            let sent = headers(&id, "2000");
            let response = setup.caller().send_with(Method::POST, "/safe/x", &sent, "b").await;
            assert_eq!(response.status, 200);
        }
    });
    assert_eq!(setup.endpoints[0].received(), []);
    assert_eq!(setup.endpoints[1].received().len(), 8);
}

#[test]
fn restarted_endpoint_gets_requests_whatever_late_reports_say_of_its_previous_incarnation() {
    let setup = Setup::start();
    let [restarted, other] = &setup.endpoints;
    let call = |path: &str, body: &str| {
        setup.control.call(0, "POST", path, body).expect("a response").status
    };
    let send_heartbeat = |born: u64, seq: u64| {
        let (path, body) = restarted.heartbeat("maps", "ready", seq);
        call(&path, &body.replace("\"seq\"", &format!("\"born\":{born},\"seq\"")))
    };
    let deregister =
        |born: u64| call("/instances/i-a/deregister", &format!(r#"{{"born":{born}}}"#));
    assert_eq!((send_heartbeat(1_000, 40), deregister(1_000)), (200, 200));
    setup.entry.wait_for_log(&["event=endpoint", "replica=i-a", "standing=gone"]);

    assert_eq!(
        (send_heartbeat(2_000, 1), send_heartbeat(1_000, 41), deregister(1_000)),
        (200, 200, 200)
    );
    setup.entry.wait_for_log(&["event=endpoint_reborn", "replica=i-a"]);
    setup.send_heartbeat(other, "draining", 2);
    setup.entry.wait_for_log(&["event=endpoint", "replica=i-b", "standing=draining"]);
    block_on(async {
        let sent = headers("q", "2000");
        let response = setup.caller().send_with(Method::POST, "/safe/x", &sent, "b").await;
        assert_eq!(response.status, 200);
    });
    assert_eq!((restarted.runs("q"), other.runs("q")), (1, 0));
}

/// Guards against endpoints registered by a client other than the platform's, which uses the same
/// calls with bodies of another form.
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
        let response = setup.control.call(0, "POST", "/instances/i-c/heartbeat", &form);
        assert_eq!(response.expect("a response").status, 400, "{form}");
    }
    // The two registered endpoints are still in use.
    block_on(async {
        let sent = headers("q", "2000");
        let response = setup.caller().send_with(Method::POST, "/safe/x", &sent, "b").await;
        assert_eq!(response.status, 200);
    });
    assert!(!setup.entry.log().contains("replica=i-c"));
}

#[test]
fn organisation_over_its_quota_gets_a_retry_after() {
    let setup = Setup::start();
    // Until this event the box isn't ready: other boxes may have used up the quota.
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
    setup.set_first_behaviour(Behaviour::Hang);
    setup.endpoints[1].behave(Behaviour::Hang);
    block_on(async {
        let sent = stream_headers("q");
        let mut response =
            setup.caller().open(Method::POST, "/stream/x", &sent, "prompt".to_owned()).await;
        response.events(1).await;
        setup.entry.signal("TERM");
        setup.entry.wait_for_log(&["event=phase", "phase=finishing"]);
        // Both endpoints hang, so only the deadline ends the stream.
        let started = Instant::now();
        let response = response.finish().await;
        assert!(!response.complete);
        assert!(started.elapsed() > Duration::from_millis(500), "the stop truncated the stream");
    });
    let Setup { entry, .. } = setup;
    assert_eq!(entry.wait(), Some(0));
}

#[test]
fn stored_endpoints_are_used_after_a_loss_of_all_boxes_until_their_reports_are_overdue() {
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
    setup.send_heartbeat(&setup.endpoints[0], "ready", 2);
    setup.entry.wait_for_log(&["event=endpoint_not_heard_of", "replica=i-b"]);
    for i in 0..4 {
        assert_eq!(send(&format!("q{i}")), 200);
    }
    let later: u32 = (0..4).map(|i| setup.endpoints[0].runs(&format!("q{i}"))).sum();
    assert_eq!(later, 4, "only the endpoint that reported gets requests");
    assert!(!setup.entry.log().contains("event=endpoint_not_heard_of replica=i-a"));
}

#[test]
fn entry_boxes_share_which_prompt_parts_are_cached_at_which_endpoint() {
    let setup = Setup::start();
    let other = setup.control.start_entry("entry-2");
    other.wait_for_log(&["event=endpoint", "replica=i-b"]);
    let response = block_on(setup.caller().send_with(
        Method::POST,
        "/stream/x",
        &stream_headers("first"),
        "body",
    ));
    assert_eq!(response.status, 200);
    let served = setup.endpoints.iter().position(|endpoint| endpoint.runs("first") == 1).unwrap();
    let name = ["i-a", "i-b"][served];
    // The last of the three parts is the request's own, which is not shared.
    let cached_parts = |dump: &Value| {
        let endpoints = dump["endpoints"].as_array().unwrap();
        let of_name = endpoints.iter().find(|endpoint| endpoint["replica"] == name);
        of_name.unwrap()["kept_parts"].as_u64()
    };
    let end = Instant::now() + Duration::from_secs(20);
    while cached_parts(&vanectl_json(&other, &["dump"])) != Some(2) {
        assert!(Instant::now() < end, "the other entry box did not receive the parts within 20 s");
        std::thread::sleep(Duration::from_millis(20));
    }
}

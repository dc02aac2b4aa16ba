//! The operators interface: its access control, metrics and limits.

use std::process::Command;

use hyper::Method;
use serde_json::json;
use vaneway_test_support::Caller;
use vaneway_test_support::Replica;
use vaneway_test_support::deployment::MODEL;

use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;
use crate::support::vanectl;

#[test]
fn wrong_operator_token_is_refused_and_logged() {
    let a = engine();
    let tokens = json!([{ "name": "on-call", "token": "right" }]);
    let deployment = deployment().engines(&replicas(&[&a])).set("/operators/tokens", tokens);
    let entry = deployment.start();

    let address = entry.operators().to_string();
    let refused = Command::new(env!("CARGO_BIN_EXE_vanectl"))
        .args(["--address", &address, "--token", "wrong", "status"])
        .output()
        .unwrap();
    let state =
        block_on(Caller::new(entry.operators(), "wrong").send(Method::GET, "/debug/state", ""));

    assert_eq!(refused.status.code(), Some(1));
    let error = String::from_utf8_lossy(&refused.stderr);
    assert!(error.contains("send the token of a known operator"), "{error}");
    assert_eq!(state.status, 401);
    entry.wait_for_log(&["event=operator_refused", "call=get_status"]);
    entry.wait_for_log(&["event=operator_refused", "call=debug_state"]);
    assert!(
        vanectl(&entry, &["--token", "right", "status"]).starts_with("entry-1 in north: serving")
    );
    let state =
        block_on(Caller::new(entry.operators(), "right").send(Method::GET, "/debug/state", ""));
    assert_eq!(state.json()["phase"], "serving");
}

#[test]
fn metrics_count_requests_with_labels_from_the_settings_only() {
    let a = engine();
    let deployment = deployment().engines(&replicas(&[&a]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let metrics = block_on(async {
        caller.chat(MODEL, "hello", 5).await;
        caller.chat("no such model", "hello", 5).await;
        caller.send(Method::GET, "/some/path/of/a/caller", "").await;
        let operators = Caller::new(entry.operators(), "");
        String::from_utf8(operators.send(Method::GET, "/metrics", "").await.body.to_vec()).unwrap()
    });

    for line in [
        "vaneway_requests_total{end=\"complete\",service=\"lm-scribes\"} 1",
        "vaneway_attempts_total{outcome=\"done\",service=\"lm-scribes\"} 1",
        "vaneway_refused_total{code=\"unknown_model\"} 1",
        "vaneway_refused_total{code=\"unknown_path\"} 1",
        "vaneway_tokens_total 5",
        "vaneway_open_requests 0",
        "vaneway_first_token_seconds_count 1",
    ] {
        assert!(metrics.lines().any(|found| found == line), "no `{line}` in:\n{metrics}");
    }
    assert!(!metrics.contains("no such model") && !metrics.contains("/some/path"));
}

/// Guards against requests that leave the availability zone unseen.
#[test]
fn request_that_leaves_the_zone_is_counted_and_logged_with_its_reason() {
    let a = engine();
    let elsewhere = Replica::new("a", a.address()).in_zone("south");
    let leaving = json!({ "gb_price": 0.02, "endpoint_hour_price": 4 });
    let routing = json!({ "leaving_zone": leaving });
    let deployment = deployment().engines(&[elsewhere]).set("/routing", routing);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let metrics = block_on(async {
        caller.chat(MODEL, "hello", 5).await;
        let operators = Caller::new(entry.operators(), "");
        String::from_utf8(operators.send(Method::GET, "/metrics", "").await.body.to_vec()).unwrap()
    });

    entry.wait_for_log(&[
        "event=zone_left",
        "to=south",
        "reason=no_endpoint",
        "leaving_share=1.00",
    ]);
    let line = "vaneway_zone_choices_total{from=\"north\",service=\"lm-scribes\",to=\"south\"} 1";
    assert!(metrics.lines().any(|found| found == line), "no `{line}` in:\n{metrics}");
}

#[test]
fn request_head_beyond_the_limit_is_refused() {
    let a = engine();
    let limits = json!({ "header_bytes": 8_192 });
    let deployment = deployment().engines(&replicas(&[&a])).set("/limits", limits);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let long_value = "x".repeat(10_000);
    let response =
        block_on(caller.send_with(Method::GET, "/healthz", &[("x-long", long_value.as_str())], ""));

    assert_eq!(response.status, 431);
}

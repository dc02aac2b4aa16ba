//! Requests from caller to endpoint and back, and what operators see of them.

use hyper::Method;
use serde_json::json;
use vaneway_test_support::deployment::MODEL;

use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;
use crate::support::vanectl;
use crate::support::vanectl_json;

#[test]
fn streamed_and_complete_responses_have_the_same_text() {
    let (a, b) = (engine(), engine());
    let deployment = deployment().engines(&replicas(&[&a, &b]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let (streamed, complete) = block_on(async {
        let streamed = caller.stream(MODEL, "what is a bogha báistí?", 12).await.finish().await;
        let complete = caller.chat(MODEL, "what is a bogha báistí?", 12).await;
        (streamed, complete)
    });

    assert_eq!(streamed.status, 200);
    assert!(streamed.complete);
    assert!(streamed.body.ends_with(b"data: [DONE]\n\n"));
    let message = &complete.json()["choices"][0];
    assert_eq!(message["message"]["content"], streamed.streamed_text());
    assert_eq!(message["finish_reason"], "length");
    assert_eq!(complete.json()["usage"]["completion_tokens"], 12);
    assert_eq!(a.stats().fresh + b.stats().fresh, 2);
}

#[test]
fn operators_list_services_replicas_and_endpoints() {
    let (a, b) = (engine(), engine());
    let deployment = deployment().engines(&replicas(&[&a, &b]));
    let entry = deployment.start();

    assert_eq!(
        vanectl(&entry, &["services"]),
        "name        kind   models    replicas  available\n\
         lm-scribes  model  scribe-1  2         2\n"
    );
    assert_eq!(
        vanectl_json(&entry, &["replicas", "lm-scribes"]),
        json!([
            {
                "name": "a", "service": "lm-scribes", "address": a.address(),
                "availability_zone": "north", "box": "box-a", "reclaimable": true, "max_open": 64,
            },
            {
                "name": "b", "service": "lm-scribes", "address": b.address(),
                "availability_zone": "north", "box": "box-b", "reclaimable": true, "max_open": 64,
            },
        ])
    );
    let states = vanectl_json(&entry, &["endpoints"]);
    assert_eq!([&states[0]["state"], &states[1]["state"]], ["serving", "serving"]);
    assert_eq!(
        vanectl_json(&entry, &["status"]),
        json!({
            "name": "entry-1", "availability_zone": "north", "phase": "serving",
            "open_requests": 0, "version": env!("CARGO_PKG_VERSION"),
        })
    );
    assert!(vanectl(&entry, &["dump"]).contains("\"open_requests\""));
}

#[test]
fn requests_that_cannot_be_served_get_clear_errors() {
    let a = engine();
    let deployment = deployment().engines(&replicas(&[&a]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    let stranger = vaneway_test_support::Caller::new(entry.listen(), "nobody");

    let responses = block_on(async {
        let chat = "/v1/chat/completions";
        [
            stranger.send(Method::GET, "/v1/models", "").await,
            caller.send(Method::POST, chat, "{").await,
            caller.send(Method::POST, chat, r#"{"model": "other", "messages": []}"#).await,
            caller.send(Method::POST, chat, r#"{"model": "scribe-1"}"#).await,
            caller.send(Method::GET, chat, "").await,
            caller.send(Method::GET, "/nowhere", "").await,
            caller.send(Method::GET, "/services/none/x", "").await,
        ]
    });

    let seen: Vec<_> = responses.iter().map(|a| (a.status, a.code(), a.run.as_deref())).collect();
    let expected = [
        (401, "unauthorized"),
        (400, "bad_request"),
        (404, "unknown_model"),
        (400, "bad_request"),
        (405, "wrong_method"),
        (404, "unknown_path"),
        (404, "unknown_service"),
    ];
    let expected: Vec<_> = expected
        .iter()
        .map(|(status, code)| (*status, (*code).to_owned(), Some("not_run")))
        .collect();
    assert_eq!(seen, expected);
}

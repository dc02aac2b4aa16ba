//! Calls of plain services: what may be repeated is, what may not runs at most once, and the
//! caller is told the truth about either.

use hyper::Method;
use serde_json::json;
use vaneway_test_support::ClosedPort;
use vaneway_test_support::PlainService;
use vaneway_test_support::Proxy;
use vaneway_test_support::Replica;

use crate::support::block_on;
use crate::support::deployment;

fn two(services: [&PlainService; 2]) -> [Replica; 2] {
    [Replica::new("p", services[0].address()), Replica::new("q", services[1].address())]
}

#[test]
fn method_path_headers_and_body_pass_through() {
    let p = PlainService::spawn();
    let deployment = deployment().plain(&[Replica::new("p", p.address())]);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let answer = block_on(caller.send(Method::PUT, "/services/reading-room/a/b?c=d", "held"));

    assert_eq!((answer.status, answer.run.as_deref()), (200, Some("ran")));
    assert_eq!(
        answer.json(),
        json!({ "method": "PUT", "path": "/a/b?c=d", "body": "held", "organisation": "teachers" })
    );
}

#[test]
fn answers_beyond_the_limit_pass_through_as_they_come() {
    let p = PlainService::spawn();
    let deployment = deployment()
        .plain(&[Replica::new("p", p.address())])
        .set("/limits", json!({ "answer_bytes": 1_000, "stream_bytes": 4_096 }));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let answer = block_on(caller.send(Method::GET, "/services/reading-room/bytes/300000", ""));

    assert!(answer.complete);
    assert_eq!(answer.body.len(), 300_000);
}

#[test]
fn bodies_beyond_the_limit_are_refused_as_not_run() {
    let p = PlainService::spawn();
    let deployment = deployment()
        .plain(&[Replica::new("p", p.address())])
        .set("/limits", json!({ "body_bytes": 100 }));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let body = "x".repeat(101);
    let answer = block_on(caller.send(Method::POST, "/services/reading-room/a", &body));

    assert_eq!((answer.status, answer.code().as_str()), (413, "too_large"));
    assert_eq!((answer.run.as_deref(), p.total()), (Some("not_run"), 0));
}

/// Both endpoints behind proxies that cut at the first byte of an answer.
fn cut_before_the_answer(services: [&PlainService; 2]) -> ([Proxy; 2], [Replica; 2]) {
    let proxies = services.map(|service| Proxy::tcp(service.address()));
    let replicas =
        [Replica::new("p", proxies[0].address()), Replica::new("q", proxies[1].address())];
    for proxy in &proxies {
        proxy.cut_response_after(0);
    }
    (proxies, replicas)
}

#[test]
fn lost_answer_of_a_repeatable_call_is_asked_for_again() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let (_proxies, replicas) = cut_before_the_answer([&p, &q]);
    let deployment = deployment().plain(&replicas);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let answer = block_on(caller.send(Method::GET, "/services/reading-room/catalogue", ""));

    assert_eq!((answer.status, answer.run.as_deref()), (200, Some("ran")));
    // Each proxy cuts once: both endpoints ran the call, the third attempt brought the answer.
    assert_eq!(p.total() + q.total(), 3);
}

#[test]
fn lost_answer_of_a_non_repeatable_call_is_told_as_unknown() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let (_proxies, replicas) = cut_before_the_answer([&p, &q]);
    let deployment = deployment().plain(&replicas);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let answer = block_on(caller.send(Method::POST, "/services/reading-room/payments", "10"));

    assert_eq!((answer.status, answer.code().as_str()), (502, "outcome_unknown"));
    assert_eq!((answer.run.as_deref(), answer.retry_after), (Some("unknown"), None));
    assert_eq!(p.total() + q.total(), 1);
}

#[test]
fn connection_refused_means_not_sent_even_for_a_non_repeatable_call() {
    let (p, q) = (ClosedPort::reserve(), PlainService::spawn());
    let replicas = [Replica::new("p", p.address()), Replica::new("q", q.address())];
    let deployment = deployment().plain(&replicas);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        for _ in 0..10 {
            let answer = caller.send(Method::POST, "/services/reading-room/payments", "10").await;
            assert_eq!((answer.status, answer.run.as_deref()), (200, Some("ran")));
        }
    });
    assert_eq!(q.total(), 10);
}

#[test]
fn refusal_by_the_declared_header_is_tried_elsewhere() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let deployment = deployment().plain(&two([&p, &q]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    p.refuse(true);

    block_on(async {
        for _ in 0..6 {
            let answer = caller.send(Method::POST, "/services/reading-room/payments", "10").await;
            assert_eq!(answer.status, 200);
        }
        q.refuse(true);
        let answer = caller.send(Method::POST, "/services/reading-room/payments", "10").await;
        assert_eq!(
            (answer.run.as_deref(), answer.code().as_str()),
            (Some("not_run"), "attempts_exhausted")
        );
        assert!(answer.retry_after.is_some());
    });
    assert_eq!((p.total(), q.total()), (0, 6));
}

#[test]
fn status_503_of_a_service_that_ran_is_not_told_as_not_run() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let deployment = deployment().plain(&two([&p, &q]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    p.fail_after_run(true);
    q.fail_after_run(true);

    let answer = block_on(caller.send(Method::POST, "/services/reading-room/payments", "10"));

    assert_eq!((answer.status, answer.run.as_deref()), (503, Some("ran")));
    assert_eq!(p.total() + q.total(), 1);
}

#[test]
fn keyed_calls_are_refused_while_several_boxes_cannot_agree() {
    let p = PlainService::spawn();
    let peers = [("entry-2".to_owned(), "127.0.0.1:9".parse().unwrap())];
    let deployment =
        deployment().plain(&[Replica::new("p", p.address())]).cluster("entry-1", &peers);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    let pay = "/services/reading-room/payments";

    let answer = block_on(caller.send_with(Method::POST, pay, &[("idempotency-key", "k1")], "10"));

    assert_eq!(
        (answer.code().as_str(), answer.run.as_deref()),
        ("claims_unavailable", Some("not_run"))
    );
    assert_eq!(p.total(), 0);
}

#[test]
fn service_without_endpoints_is_refused_as_not_run() {
    let p = ClosedPort::reserve();
    let deployment = deployment().plain(&[Replica::new("p", p.address())]);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let answer = block_on(caller.send(Method::POST, "/services/reading-room/payments", "10"));

    assert_eq!((answer.status, answer.run.as_deref()), (503, Some("not_run")));
    assert_eq!((answer.code().as_str(), answer.retry_after.as_deref()), ("no_endpoint", Some("1")));
}

#[test]
fn deadline_of_a_call_under_way_is_told_as_unknown() {
    let p = PlainService::spawn();
    let deployment = deployment()
        .plain(&[Replica::new("p", p.address())])
        .set("/services/0/deadline_ms", 300.into());
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    p.delay_responses(std::time::Duration::from_hours(1));

    let answer = block_on(caller.send(Method::GET, "/services/reading-room/slow", ""));

    assert_eq!((answer.status, answer.code().as_str()), (504, "deadline_exceeded"));
    assert_eq!((answer.run.as_deref(), p.total()), (Some("unknown"), 1));
}

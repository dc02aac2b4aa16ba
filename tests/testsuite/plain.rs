//! Requests to plain services: repeatable ones are retried, others run at most once, and the
//! response states whether the request ran.

use hyper::Method;
use serde_json::json;
use vaneway_test_support::ClosedPort;
use vaneway_test_support::PlainService;
use vaneway_test_support::Proxy;
use vaneway_test_support::Replica;

use crate::support::block_on;
use crate::support::deployment;

fn replicas_of(services: [&PlainService; 2]) -> [Replica; 2] {
    [Replica::new("p", services[0].address()), Replica::new("q", services[1].address())]
}

#[test]
fn method_path_headers_and_body_pass_through() {
    let p = PlainService::spawn();
    let deployment = deployment().plain(&[Replica::new("p", p.address())]);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let response = block_on(caller.send(Method::PUT, "/services/reading-room/a/b?c=d", "held"));

    assert_eq!((response.status, response.run.as_deref()), (200, Some("ran")));
    assert_eq!(
        response.json(),
        json!({ "method": "PUT", "path": "/a/b?c=d", "body": "held", "organisation": "teachers" })
    );
}

#[test]
fn responses_beyond_the_limit_are_streamed_through() {
    let p = PlainService::spawn();
    let deployment = deployment()
        .plain(&[Replica::new("p", p.address())])
        .set("/limits", json!({ "answer_bytes": 1_000, "stream_bytes": 4_096 }));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let response = block_on(caller.send(Method::GET, "/services/reading-room/bytes/300000", ""));

    assert!(response.complete);
    assert_eq!(response.body.len(), 300_000);
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
    let response = block_on(caller.send(Method::POST, "/services/reading-room/a", &body));

    assert_eq!((response.status, response.code().as_str()), (413, "too_large"));
    assert_eq!((response.run.as_deref(), p.total()), (Some("not_run"), 0));
}

/// Puts both endpoints behind proxies that close the connection before the first byte of a
/// response.
fn cut_before_response(services: [&PlainService; 2]) -> ([Proxy; 2], [Replica; 2]) {
    let proxies = services.map(|service| Proxy::tcp(service.address()));
    let replicas =
        [Replica::new("p", proxies[0].address()), Replica::new("q", proxies[1].address())];
    for proxy in &proxies {
        proxy.cut_response_after(0);
    }
    (proxies, replicas)
}

#[test]
fn repeatable_request_whose_response_is_lost_is_retried() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let (_proxies, replicas) = cut_before_response([&p, &q]);
    let deployment = deployment().plain(&replicas);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let response = block_on(caller.send(Method::GET, "/services/reading-room/catalogue", ""));

    assert_eq!((response.status, response.run.as_deref()), (200, Some("ran")));
    // Each proxy cuts one connection: both endpoints ran the request, and the third attempt
    // returned the response.
    assert_eq!(p.total() + q.total(), 3);
}

#[test]
fn lost_response_of_a_non_repeatable_request_is_reported_as_unknown() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let (_proxies, replicas) = cut_before_response([&p, &q]);
    let deployment = deployment().plain(&replicas);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let response = block_on(caller.send(Method::POST, "/services/reading-room/payments", "10"));

    assert_eq!((response.status, response.code().as_str()), (502, "outcome_unknown"));
    assert_eq!((response.run.as_deref(), response.retry_after), (Some("unknown"), None));
    assert_eq!(p.total() + q.total(), 1);
}

#[test]
fn connection_refused_means_not_sent_even_for_a_non_repeatable_request() {
    let (p, q) = (ClosedPort::reserve(), PlainService::spawn());
    let replicas = [Replica::new("p", p.address()), Replica::new("q", q.address())];
    let deployment = deployment().plain(&replicas);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        for _ in 0..10 {
            let response = caller.send(Method::POST, "/services/reading-room/payments", "10").await;
            assert_eq!((response.status, response.run.as_deref()), (200, Some("ran")));
        }
    });
    assert_eq!(q.total(), 10);
}

#[test]
fn refusal_by_the_declared_header_is_retried_elsewhere() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let deployment = deployment().plain(&replicas_of([&p, &q]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    p.refuse(true);

    block_on(async {
        for _ in 0..6 {
            let response = caller.send(Method::POST, "/services/reading-room/payments", "10").await;
            assert_eq!(response.status, 200);
        }
        q.refuse(true);
        let response = caller.send(Method::POST, "/services/reading-room/payments", "10").await;
        assert_eq!(
            (response.run.as_deref(), response.code().as_str()),
            (Some("not_run"), "attempts_exhausted")
        );
        assert!(response.retry_after.is_some());
    });
    assert_eq!((p.total(), q.total()), (0, 6));
}

#[test]
fn status_503_of_a_service_that_ran_is_not_reported_as_not_run() {
    let (p, q) = (PlainService::spawn(), PlainService::spawn());
    let deployment = deployment().plain(&replicas_of([&p, &q]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    p.fail_after_run(true);
    q.fail_after_run(true);

    let response = block_on(caller.send(Method::POST, "/services/reading-room/payments", "10"));

    assert_eq!((response.status, response.run.as_deref()), (503, Some("ran")));
    assert_eq!(p.total() + q.total(), 1);
}

#[test]
fn keyed_requests_are_refused_while_boxes_cannot_reach_consensus() {
    let p = PlainService::spawn();
    let peers = [("entry-2".to_owned(), "127.0.0.1:9".parse().unwrap())];
    let deployment =
        deployment().plain(&[Replica::new("p", p.address())]).cluster("entry-1", &peers);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    let pay = "/services/reading-room/payments";

    let response =
        block_on(caller.send_with(Method::POST, pay, &[("idempotency-key", "k1")], "10"));

    assert_eq!(
        (response.code().as_str(), response.run.as_deref()),
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

    let response = block_on(caller.send(Method::POST, "/services/reading-room/payments", "10"));

    assert_eq!((response.status, response.run.as_deref()), (503, Some("not_run")));
    assert_eq!(
        (response.code().as_str(), response.retry_after.as_deref()),
        ("no_endpoint", Some("1"))
    );
}

#[test]
fn deadline_of_a_request_under_way_is_reported_as_unknown() {
    let p = PlainService::spawn();
    let deployment = deployment()
        .plain(&[Replica::new("p", p.address())])
        .set("/services/0/deadline_ms", 300.into());
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    p.delay_responses(std::time::Duration::from_hours(1));

    let response = block_on(caller.send(Method::GET, "/services/reading-room/slow", ""));

    assert_eq!((response.status, response.code().as_str()), (504, "deadline_exceeded"));
    assert_eq!((response.run.as_deref(), p.total()), (Some("unknown"), 1));
}

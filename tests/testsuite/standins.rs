//! The stand-ins behave as docs/INTERFACES.md specifies; the other tests rely on it.

use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::Duration;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use hyper::Method;
use serde_json::Value;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use vaneway_test_support::Caller;
use vaneway_test_support::CloudPlatform;
use vaneway_test_support::Engine;
use vaneway_test_support::EngineOptions;
use vaneway_test_support::Proxy;
use vaneway_test_support::WeightStore;
use vaneway_test_support::caller::chat;
use vaneway_test_support::deployment::until;

use crate::support::block_on;
use crate::support::engine;

async fn get(address: std::net::SocketAddr, path: &str) -> Value {
    Caller::new(address, "").send(Method::GET, path, "").await.json()
}

async fn post(address: std::net::SocketAddr, path: &str, body: &str) -> u16 {
    Caller::new(address, "").send(Method::POST, path, body).await.status
}

async fn complete(engine: &Engine, id: &str, prompt: &str, priority: &str, tokens: u32) -> Value {
    let headers = [("x-request-id", id), ("x-priority", priority)];
    let body = chat("m", prompt, tokens, true);
    let caller = Caller::new(engine.address(), "");
    let response = caller.send_with(Method::POST, "/v1/chat/completions", &headers, &body).await;
    assert!(response.complete);
    response.streamed_text().into()
}

#[test]
fn orders_of_an_old_epoch_are_refused_where_the_fence_is_checked() {
    let checking = engine();
    let trusting = Engine::spawn(EngineOptions { checks_fence: false, ..EngineOptions::default() });
    let order = |epoch| format!(r#"{{"epoch":{epoch},"kind":"load_model","model":"m"}}"#);

    block_on(async {
        for engine in [&checking, &trusting] {
            assert_eq!(post(engine.address(), "/v1/orders", &order(5)).await, 200);
        }
        assert_eq!(post(checking.address(), "/v1/orders", &order(4)).await, 412);
        assert_eq!(post(trusting.address(), "/v1/orders", &order(4)).await, 200);
    });
    assert_eq!((checking.stats().orders.len(), checking.stats().orders_refused), (1, 1));
    assert_eq!(trusting.stats().orders.len(), 2);
}

#[test]
fn prefixes_are_cached_in_bounded_memory_and_events_have_gaps() {
    let options = EngineOptions { cache_blocks: 20, event_gap: 3, ..EngineOptions::default() };
    let a = Engine::spawn(options);
    let prompt = "one tape of the western parishes ".repeat(20);

    block_on(async {
        complete(&a, "r1", &prompt, "5", 2).await;
        let before = a.stats();
        complete(&a, "r2", &prompt, "5", 2).await;
        let after = a.stats();
        assert!(after.cached > before.cached);
        assert!(after.prefilled - before.prefilled < before.prefilled / 4);
        complete(&a, "r3", &"another tape altogether, from the east ".repeat(20), "5", 2).await;
        let mut events = get(a.address(), "/v1/cache/events?after=0").await;
        while events["events"].as_array().unwrap().len() < 5 {
            events = get(a.address(), "/v1/cache/events?after=0").await;
        }
        let numbers: Vec<_> =
            events["events"].as_array().unwrap().iter().map(|e| e["number"].as_u64()).collect();
        let gapless = (1..=numbers.len() as u64).map(Some).collect::<Vec<_>>();
        assert_ne!(numbers, gapless, "events have gaps");
    });
}

#[test]
fn higher_priority_goes_first_when_the_batch_is_full() {
    let options = EngineOptions { max_batch: 1, ..EngineOptions::default() };
    let a = Engine::spawn(options);

    block_on(async {
        let caller = Caller::new(a.address(), "");
        let body = chat("m", "first", 50, true);
        let first = [("x-request-id", "first")];
        let mut running = caller.open(Method::POST, "/v1/chat/completions", &first, body).await;
        running.events(2).await;
        let order = std::cell::RefCell::new(Vec::new());
        let waiting = |id: &'static str, priority: &'static str| {
            let (a, order) = (&a, &order);
            async move {
                complete(a, id, id, priority, 3).await;
                order.borrow_mut().push(id);
            }
        };
        let urgent_later = async {
            until(|| a.stats().open == 2).await;
            waiting("urgent", "9").await;
        };
        futures_util::join!(waiting("patient", "1"), urgent_later);
        assert_eq!(*order.borrow(), ["urgent", "patient"]);
    });
}

#[test]
fn reported_load_lags_behind_the_real_one() {
    let lagging = Engine::spawn(EngineOptions {
        load_lag: Duration::from_hours(1),
        ..EngineOptions::default()
    });
    let current =
        Engine::spawn(EngineOptions { load_lag: Duration::ZERO, ..EngineOptions::default() });

    block_on(async {
        for engine in [&lagging, &current] {
            let body = chat("m", "long", 100_000, true);
            let caller = Caller::new(engine.address(), "");
            let mut open = caller.open(Method::POST, "/v1/chat/completions", &[], body).await;
            open.events(3).await;
            let load = get(engine.address(), "/v1/load").await;
            let expected = u64::from(std::ptr::eq(engine, &raw const current));
            assert_eq!(load["running"], expected);
        }
    });
}

#[test]
fn list_of_boxes_lags_and_notices_do_not() {
    let platform = CloudPlatform::spawn(Duration::from_hours(1));
    platform.start_box("box-a");
    platform.reclaim("box-a", Duration::from_mins(1));

    block_on(async {
        let list = get(platform.address(), "/v1/boxes").await;
        assert_eq!(
            list["boxes"].as_array().unwrap().len(),
            0,
            "the list is an hour old, when no box existed"
        );
        let notices = get(platform.address(), "/v1/notices?after=0&wait_ms=1000").await;
        assert_eq!(notices["notices"][0]["box"], "box-a");
        platform.refuse_starts(true);
        assert_eq!(post(platform.address(), "/v1/boxes", r#"{"box":"box-b"}"#).await, 503);
        platform.refuse_starts(false);
        assert_eq!(post(platform.address(), "/v1/boxes", r#"{"box":"box-b"}"#).await, 200);
    });
}

#[test]
fn weight_store_serves_requests_one_after_the_other() {
    let store = WeightStore::spawn(Duration::from_millis(20));

    block_on(async {
        let path = "/v1/weights/scribe-1";
        let (first, second) =
            futures_util::join!(get(store.address(), path), get(store.address(), path));
        assert_eq!(first["weights"], "scribe-1");
        assert_eq!(second["weights"], "scribe-1");
    });
}

#[test]
fn udp_proxy_loses_and_reorders_by_its_seed() {
    let received_by_target = |loss, reorder| {
        block_on(async move {
            let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let proxy = Proxy::udp(7);
            proxy.set_target(target.local_addr().unwrap());
            proxy.set_loss_and_reordering(loss, reorder);
            let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            for i in 0..100_u8 {
                let BufResult(sent, _) = sender.send_to(vec![i], proxy.address()).await;
                sent.unwrap();
                // One datagram at a time, so that only the proxy loses or reorders them.
                compio::time::sleep(Duration::from_micros(200)).await;
            }
            proxy.set_loss_and_reordering(0, 0);
            let BufResult(sent, _) = sender.send_to(vec![100], proxy.address()).await;
            sent.unwrap();
            let mut seen = Vec::new();
            while seen.last() != Some(&100) {
                let BufResult(received, buf) = target.recv_from(Vec::with_capacity(8)).await;
                received.unwrap();
                seen.extend(buf);
            }
            seen
        })
    };

    let untouched: Vec<u8> = (0..=100).collect();
    assert_eq!(received_by_target(0, 0), untouched);
    let lossy = received_by_target(33, 0);
    assert!(lossy.len() < 90 && lossy.is_sorted());
    assert!(!received_by_target(0, 33).is_sorted());
}

/// Guards against connections that are accepted where they are to be refused: the port of a proxy
/// that refuses them was free for any other stand-in.
#[test]
fn port_of_a_proxy_that_refuses_connections_is_assigned_to_nobody_else() {
    let engine = engine();
    let proxy = Proxy::tcp(engine.address());
    proxy.refuse(true);
    let refused = TcpStream::connect(proxy.address()).map_err(|error| error.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let bound = other.bind(&proxy.address().into());
    assert_eq!(bound.map_err(|error| error.kind()), Err(ErrorKind::AddrInUse));
    drop(other);
    proxy.refuse(false);
    TcpStream::connect(proxy.address()).expect("it accepts connections again");
}

/// Guards against requests to an endpoint that has ended which another test's stand-in gets: the
/// port of a stopped stand-in was free for any other.
#[test]
fn port_of_a_stopped_standin_is_assigned_to_nobody_else() {
    let standin = engine();
    let address = standin.address();
    drop(standin);
    let refused = TcpStream::connect(address).map_err(|error| error.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let bound = other.bind(&address.into());
    assert_eq!(bound.map_err(|error| error.kind()), Err(ErrorKind::AddrInUse));
}

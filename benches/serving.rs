//! Measures requests through one entry box against direct requests to the stand-ins.
//!
//! `cargo bench --bench serving -- [--quick] [NAME ...]` prints one JSON line for each figure.
//! Names: `calls` (requests per second and added latency of plain requests), `tokens` (relayed
//! tokens per second), `memory` (bytes per open stream). The stand-ins are threads of this
//! program; the entry box is a real process. Compare runs by the ratio of the two rates, which are
//! measured alternately in the same run.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use serde_json::Value;
use serde_json::json;
use vaneway_server::util::socket;
use vaneway_test_support::Caller;
use vaneway_test_support::Deployment;
use vaneway_test_support::Engine;
use vaneway_test_support::EngineOptions;
use vaneway_test_support::PlainService;
use vaneway_test_support::Replica;
use vaneway_test_support::caller::chat;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::deployment::TOKEN;

use crate::common::Args;
use crate::common::numbered;
use crate::common::program;
use crate::common::start;

/// Concurrent connections when request throughput is measured.
const CONNECTIONS: usize = 32;

/// Concurrent streams when token throughput is measured.
const STREAMS: usize = 400;

/// How long and how often to measure.
#[derive(Debug, Clone, Copy)]
struct Scale {
    /// Measured rounds, after one that warms up.
    rounds: usize,
    /// Length of a round.
    round: Duration,
    /// Streams that the `memory` figure opens. A full run opens 9,500 rather than 10,000: the
    /// reference machine allows 20,000 file descriptors per process, and the entry box needs two
    /// for a stream.
    open_streams: usize,
}

fn main() {
    let args = Args::read();
    let scale = if args.quick {
        Scale { rounds: 3, round: Duration::from_millis(700), open_streams: 2_000 }
    } else {
        Scale { rounds: 7, round: Duration::from_secs(2), open_streams: 9_500 }
    };
    let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
    runtime.block_on(async {
        if args.wants("calls") {
            calls(scale).await;
        }
        if args.wants("tokens") {
            tokens(scale).await;
        }
        if args.wants("memory") {
            memory(scale).await;
        }
    });
}

fn print(line: &Value) {
    println!("{line}");
}

fn deployment() -> Deployment {
    let limits = json!({ "open_requests": 100_000 });
    Deployment::new(program()).set("/limits", limits)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Sends requests for `path` back to back over persistent connections for `length`; returns the
/// requests per second and the latencies in microseconds.
async fn closed_loop(
    addr: SocketAddr,
    path: &'static str,
    connections: usize,
    length: Duration,
) -> (f64, Histogram<u64>) {
    let until = Instant::now() + length;
    let one = move || async move {
        let mut latencies = Histogram::<u64>::new(3).expect("a valid precision");
        let stream = socket::connect(addr).await.expect("the server accepts connections");
        let (mut tx, connection) =
            http1::handshake(stream).await.expect("the HTTP handshake succeeds");
        compio::runtime::spawn(async move {
            let _broken = connection.await;
        })
        .detach();
        while Instant::now() < until {
            let req = Request::builder()
                .method(Method::GET)
                .uri(path)
                .header("host", "entry")
                .header("authorization", format!("Bearer {TOKEN}"))
                .body(Full::<Bytes>::default())
                .expect("a valid request");
            let begun = Instant::now();
            tx.ready().await.expect("the connection stays open");
            let response = tx.send_request(req).await.expect("a response");
            assert!(response.status().is_success(), "status {}", response.status());
            response.into_body().collect().await.expect("a complete response");
            latencies.record(begun.elapsed().as_micros() as u64).expect("in range");
        }
        latencies
    };
    let begun = Instant::now();
    let all = join_all((0..connections).map(|_| one())).await;
    let elapsed = begun.elapsed().as_secs_f64();
    let mut merged = Histogram::<u64>::new(3).expect("a valid precision");
    for latencies in all {
        merged.add(latencies).expect("equal precision");
    }
    (merged.len() as f64 / elapsed, merged)
}

/// Measures plain requests: the rate with many connections, and the latency with one.
async fn calls(scale: Scale) {
    let service = PlainService::spawn();
    let deployment = deployment().plain(&[Replica::new("p", service.address())]);
    let entry = start(&deployment);
    let through_path = "/services/reading-room/catalogue";
    let (mut ratios, mut through_rates, mut direct_rates) = (Vec::new(), Vec::new(), Vec::new());
    let (mut added_p50, mut added_p99) = (Vec::new(), Vec::new());
    for round in 0..=scale.rounds {
        let (direct, _) =
            closed_loop(service.address(), "/catalogue", CONNECTIONS, scale.round).await;
        let (through, _) =
            closed_loop(entry.listen(), through_path, CONNECTIONS, scale.round).await;
        let (_, direct_one) = closed_loop(service.address(), "/catalogue", 1, scale.round).await;
        let (_, through_one) = closed_loop(entry.listen(), through_path, 1, scale.round).await;
        if round == 0 {
            continue; // warm-up
        }
        ratios.push(through / direct);
        through_rates.push(through);
        direct_rates.push(direct);
        let added = |q| {
            let through = through_one.value_at_quantile(q) as f64;
            (through - direct_one.value_at_quantile(q) as f64) / 1_000.0
        };
        added_p50.push(added(0.5));
        added_p99.push(added(0.99));
    }
    print(&json!({
        "figure": "calls", "connections": CONNECTIONS, "rounds": scale.rounds,
        "direct_per_s": median(direct_rates).round(), "through_per_s": median(through_rates).round(),
        "ratio": median(ratios), "added_p50_ms": median(added_p50), "added_p99_ms": median(added_p99),
    }));
}

/// Reads streams one after the other until `until`; returns the number of tokens read.
async fn read_streams(caller: Rc<Caller>, until: Instant, number: usize) -> u64 {
    let mut tokens = 0;
    while Instant::now() < until {
        let prompt = format!("tape {number}");
        let body = chat(MODEL, &prompt, 1_000_000, true);
        let id = format!("direct-{number}");
        let headers = [("x-request-id", id.as_str())];
        let mut response = caller.open(Method::POST, "/v1/chat/completions", &headers, body).await;
        assert_eq!(response.status(), 200);
        let mut data = response.body_mut().into_data_stream();
        while let Some(Ok(data)) = data.next().await {
            tokens += data.windows(6).filter(|bytes| bytes == b"data: ").count() as u64;
            if Instant::now() >= until {
                break;
            }
        }
    }
    tokens
}

async fn token_rate(addr: SocketAddr, scale: Scale) -> f64 {
    let caller = Rc::new(Caller::new(addr, TOKEN));
    let begun = Instant::now();
    let until = begun + scale.round;
    let readers = (0..STREAMS).map(|i| read_streams(Rc::clone(&caller), until, i));
    let counts = join_all(readers).await;
    counts.iter().sum::<u64>() as f64 / begun.elapsed().as_secs_f64()
}

/// Measures tokens per second through the entry box, with engines that generate more than it can
/// relay.
async fn tokens(scale: Scale) {
    let options = EngineOptions {
        step: Duration::from_millis(1),
        max_batch: 1_000,
        linger: Duration::ZERO,
        ..EngineOptions::default()
    };
    let engines: Vec<_> = (0..3).map(|_| Engine::spawn(options.clone())).collect();
    let replicas = numbered(&engines);
    let deployment = deployment().engines(&replicas).set("/services/0/max_open", 10_000.into());
    let entry = start(&deployment);
    let (mut through, mut direct, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..=scale.rounds {
        let direct_rate = token_rate(engines[0].address(), scale).await;
        let before = entry.cpu_seconds();
        let begun = Instant::now();
        let relayed = token_rate(entry.listen(), scale).await;
        let used = (entry.cpu_seconds() - before) / begun.elapsed().as_secs_f64();
        if round > 0 {
            through.push(relayed);
            direct.push(direct_rate);
            cpu.push(used);
        }
    }
    let (relayed, cpu) = (median(through), median(cpu));
    print(&json!({
        "figure": "tokens", "streams": STREAMS, "rounds": scale.rounds,
        "direct_one_engine_per_s": median(direct).round(), "relayed_per_s": relayed.round(),
        "entry_cores": cpu, "relayed_per_core_s": (relayed / cpu).round(),
    }));
}

/// Measures resident bytes of the entry box per open stream.
async fn memory(scale: Scale) {
    let options = EngineOptions {
        step: Duration::from_millis(500),
        max_batch: 100_000,
        max_waiting: 100_000,
        prefill: 100_000_000,
        ..EngineOptions::default()
    };
    let engines: Vec<_> = (0..2).map(|_| Engine::spawn(options.clone())).collect();
    let replicas =
        [Replica::new("a", engines[0].address()), Replica::new("b", engines[1].address())];
    let deployment = deployment()
        .engines(&replicas)
        .set("/services/0/max_open", 100_000.into())
        .set("/services/0/deadline_ms", 60_000.into());
    let entry = start(&deployment);
    let caller = Caller::new(entry.listen(), TOKEN);
    // The first streams are not counted: they allocate what a process needs only once.
    let warm = join_all((0..50).map(|_| caller.stream(MODEL, "warm up", 1_000))).await;
    let before = entry.resident_bytes();
    let mut open = Vec::new();
    while open.len() < scale.open_streams {
        let batch = (0..500).map(|_| caller.stream(MODEL, "a long tape from the west", 1_000));
        open.extend(join_all(batch).await);
    }
    for response in &mut open {
        response.events(2).await;
    }
    let after = entry.resident_bytes();
    let each = (after - before) as f64 / open.len() as f64;
    drop(warm);
    print(&json!({
        "figure": "memory", "open_streams": open.len(),
        "resident_before": before, "resident_after": after, "bytes_for_each": each.round(),
    }));
}

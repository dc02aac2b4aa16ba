//! Measures how the costs of an entry box grow with load and size, and fits a line to each.
//!
//! `cargo bench --bench slopes -- [--quick] [NAME ...]` prints one JSON line for each slope:
//! its points, the line's slope and intercept (`base`), and the largest residual as a share of the
//! largest value. docs/CAPACITY.md is calculated from the lines committed in
//! docs/measurements/slopes.jsonl.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use vaneway_limit::Sender;
use vaneway_origins::ORIGIN_RETENTION;
use vaneway_origins::Origin;
use vaneway_origins::OriginRecord;
use vaneway_origins::Origins;
use vaneway_route::Choice;
use vaneway_route::EndpointSpec;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::Query;
use vaneway_test_support::Caller;
use vaneway_test_support::CloudPlatform;
use vaneway_test_support::Deployment;
use vaneway_test_support::Engine;
use vaneway_test_support::EngineOptions;
use vaneway_test_support::PlainService;
use vaneway_test_support::Process;
use vaneway_test_support::Replica;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::deployment::TOKEN;

use crate::common::Args;
use crate::common::numbered;
use crate::common::program;
use crate::common::start;

/// One measured point: a size and its cost.
type Point = (f64, f64);

/// How long each point is measured, and at which sizes.
#[derive(Debug, Clone, Copy)]
struct Scale {
    /// Time over which a point is measured.
    window: Duration,
    /// Multiplier for the sizes of measurements that take long.
    size: usize,
}

fn main() {
    let args = Args::read();
    let scale = if args.quick {
        Scale { window: Duration::from_millis(700), size: 1 }
    } else {
        Scale { window: Duration::from_secs(3), size: 2 }
    };
    let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
    runtime.block_on(async {
        if args.wants("streams") {
            streams(scale).await;
        }
        if args.wants("tokens") {
            tokens(scale).await;
        }
        if args.wants("calls") {
            calls(scale).await;
        }
        if args.wants("claims") {
            claims(scale).await;
        }
        if args.wants("replicas") {
            replicas(scale).await;
        }
        if args.wants("organisations") {
            organisations().await;
        }
        if args.wants("list") {
            list().await;
        }
        if args.wants("choice") {
            choice(scale);
        }
        if args.wants("origins") {
            origins(scale);
        }
    });
}

/// Fits a line by least squares and prints it with its points.
fn print(name: &str, of: &str, unit: &str, points: &[Point]) {
    let count = points.len() as f64;
    let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let largest = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &Point| (y - (base + slope * x)).abs() / largest;
    let residual = points.iter().map(distance).fold(0.0, f64::max);
    println!(
        "{}",
        json!({
            "slope": name, "of": of, "unit": unit, "points": points, "per_one": slope,
            "base": base, "residual": residual,
        })
    );
}

fn with_engines(options: &EngineOptions) -> (Vec<Engine>, Deployment) {
    let engines: Vec<_> = (0..3).map(|_| Engine::spawn(options.clone())).collect();
    let replicas = numbered(&engines);
    let deployment =
        Deployment::new(program()).engines(&replicas).set("/services/0/max_open", 10_000.into());
    (engines, deployment)
}

/// Processor seconds per second that the entry box uses, averaged over `window`.
async fn cores(entry: &Process, window: Duration) -> f64 {
    let (begun, before) = (Instant::now(), entry.cpu_seconds());
    compio::time::sleep(window).await;
    (entry.cpu_seconds() - before) / begun.elapsed().as_secs_f64()
}

/// Measures resident bytes by the number of open streams.
async fn streams(scale: Scale) {
    let options = EngineOptions {
        step: Duration::from_millis(500),
        max_batch: 100_000,
        max_waiting: 100_000,
        prefill: 100_000_000,
        ..EngineOptions::default()
    };
    let (_engines, deployment) = with_engines(&options);
    let entry = start(&deployment);
    let caller = Caller::new(entry.listen(), TOKEN);
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in [250, 500, 1_000, 2_000].map(|count| count * scale.size) {
        let more = (open.len()..count).map(|_| caller.stream(MODEL, "a long tape", 1_000));
        open.extend(join_all(more).await);
        for response in &mut open {
            response.events(2).await;
        }
        points.push((count as f64, entry.resident_bytes() as f64));
    }
    print("memory", "open streams", "bytes", &points);
}

async fn read_until(caller: Rc<Caller>, until: Instant) -> u64 {
    let mut response = caller.stream(MODEL, "a long tape", 1_000_000).await;
    let mut tokens = 0;
    while Instant::now() < until {
        tokens += 1;
        response.events(tokens).await;
    }
    tokens as u64
}

/// Measures processor time by tokens per second, at 200 tokens per second and stream.
async fn tokens(scale: Scale) {
    let options = EngineOptions { linger: Duration::ZERO, ..EngineOptions::default() };
    let (engines, deployment) = with_engines(&EngineOptions { max_batch: 10_000, ..options });
    let entry = start(&deployment);
    let caller = Rc::new(Caller::new(entry.listen(), TOKEN));
    let generated = || engines.iter().map(|engine| engine.stats().generated).sum::<u64>();
    let mut points = Vec::new();
    for count in [25, 50, 100, 200] {
        let until = Instant::now() + Duration::from_millis(300) + scale.window;
        let readers = join_all((0..count).map(|_| read_until(Rc::clone(&caller), until)));
        let measuring = async {
            compio::time::sleep(Duration::from_millis(200)).await;
            let (begun, before) = (Instant::now(), generated());
            let used = cores(&entry, scale.window).await;
            points.push(((generated() - before) as f64 / begun.elapsed().as_secs_f64(), used));
        };
        futures_util::join!(readers, measuring);
    }
    print("processor", "tokens a second", "cores", &points);
}

/// Sends requests at a fixed rate for `length` without waiting for responses (open loop).
async fn send_at_rate(addr: SocketAddr, path: &'static str, rate: usize, length: Duration) {
    let caller = Rc::new(Caller::new(addr, TOKEN));
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for i in 0_usize.. {
        let at = begun + Duration::from_secs_f64(i as f64 / rate as f64);
        if at > begun + length {
            break;
        }
        compio::time::sleep_until(at).await;
        let caller = Rc::clone(&caller);
        tasks.push(compio::runtime::spawn(async move { caller.send(Method::GET, path, "").await }));
    }
    for task in tasks {
        let response = task.await.expect("the request's task completes");
        assert_eq!(response.status, 200);
    }
}

/// Measures processor time by plain requests per second, each on a connection of its own.
async fn calls(scale: Scale) {
    let service = PlainService::spawn();
    let deployment = Deployment::new(program()).plain(&[Replica::new("p", service.address())]);
    let entry = start(&deployment);
    let path = "/services/reading-room/catalogue";
    let mut points = Vec::new();
    for rate in [250, 500, 1_000, 2_000] {
        let length = scale.window + Duration::from_millis(300);
        let calling = send_at_rate(entry.listen(), path, rate, length);
        let measuring = async {
            compio::time::sleep(Duration::from_millis(150)).await;
            points.push((rate as f64, cores(&entry, scale.window).await));
        };
        futures_util::join!(calling, measuring);
    }
    print("processor", "calls a second", "cores", &points);
}

/// Measures processor time, log bytes, memory and restart time by the number of claims.
async fn claims(scale: Scale) {
    let service = PlainService::spawn();
    let deployment = Deployment::new(program()).plain(&[Replica::new("p", service.address())]);
    let folder = deployment.folder().join("data");
    let deployment = deployment.set("/data_folder", folder.to_str().expect("a path").into());
    let mut entry = start(&deployment);
    let (mut time, mut bytes, mut memory, mut restart) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut done, mut used) = (0, 0.0);
    for count in [500, 1_000, 2_000, 4_000].map(|count| count * scale.size) {
        let before = entry.cpu_seconds();
        while done < count {
            let caller = Caller::new(entry.listen(), TOKEN);
            let batch = (done..done + 50).map(|i| {
                let caller = caller.clone();
                async move {
                    let key = format!("key-{i}");
                    let headers = [("idempotency-key", key.as_str())];
                    let path = "/services/reading-room/payments";
                    let response = caller.send_with(Method::POST, path, &headers, "10").await;
                    assert_eq!(response.status, 200);
                }
            });
            join_all(batch).await;
            done += 50;
        }
        used += entry.cpu_seconds() - before;
        time.push((count as f64, used));
        memory.push((count as f64, entry.resident_bytes() as f64));
        let log = std::fs::metadata(folder.join("claims.0.log")).expect("the claims log exists");
        bytes.push((count as f64, log.len() as f64));
        entry.kill();
        let begun = Instant::now();
        entry = start(&deployment);
        restart.push((count as f64, begun.elapsed().as_secs_f64()));
    }
    print("processor", "claims", "seconds", &time);
    print("log", "claims", "bytes", &bytes);
    print("memory", "claims", "bytes", &memory);
    print("restart", "claims", "seconds", &restart);
}

fn spec(i: usize) -> EndpointSpec {
    EndpointSpec {
        name: format!("replica-{i}"),
        service: 0,
        address: SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8], 9_000)),
        availability_zone: ["north", "middle", "south"][i % 3].to_owned(),
        box_name: format!("box-{i}"),
        reclaimable: true,
        max_open: 64,
        software: String::new(),
    }
}

/// Measures memory and idle processor time by the number of replicas in the settings.
async fn replicas(scale: Scale) {
    let (mut memory, mut idle) = (Vec::new(), Vec::new());
    for count in [100, 500, 1_000, 2_100] {
        let listed: Vec<_> =
            (0..count).map(|i| Replica::new(&format!("replica-{i}"), spec(i).address)).collect();
        let deployment = Deployment::new(program()).engines(&listed);
        let entry = start(&deployment);
        idle.push((count as f64, cores(&entry, scale.window.max(Duration::from_secs(2))).await));
        memory.push((count as f64, entry.resident_bytes() as f64));
    }
    print("memory", "replicas", "bytes", &memory);
    print("processor at rest", "replicas", "cores", &idle);
}

/// Measures memory by the number of organisations in the settings.
async fn organisations() {
    let mut memory = Vec::new();
    for count in [10_usize, 500, 1_000, 2_000] {
        let listed: Vec<Value> = (0..count)
            .map(|i| json!({ "name": format!("organisation-{i}"), "token": format!("token-{i}") }))
            .collect();
        let deployment = Deployment::new(program())
            .engines(&[Replica::new("a", spec(0).address)])
            .set("/organisations", listed.into());
        let entry = start(&deployment);
        compio::time::sleep(Duration::from_millis(100)).await;
        memory.push((count as f64, entry.resident_bytes() as f64));
    }
    print("memory", "organisations", "bytes", &memory);
}

/// Measures the bytes of the platform's list of boxes, which an entry box polls.
async fn list() {
    let mut points = Vec::new();
    for count in [100_usize, 500, 1_000, 2_100] {
        let platform = CloudPlatform::spawn(Duration::ZERO);
        for i in 0..count {
            platform.start_box(&spec(i).box_name);
        }
        let caller = Caller::new(platform.address(), "");
        let response = caller.send(Method::GET, "/v1/boxes", "").await;
        points.push((count as f64, response.body.len() as f64));
    }
    print("list", "boxes", "bytes", &points);
}

/// Measures the time of one endpoint choice by the number of endpoints of the service.
fn choice(scale: Scale) {
    let now = Instant::now();
    let mut points = Vec::new();
    for count in [10, 100, 500, 1_000, 2_100] {
        let mut pool = Pool::new((0..count).map(spec).collect(), Policy::default(), 1);
        let rounds = 20_000 * scale.size / count.max(20) * 20;
        let begun = Instant::now();
        for prefix in 0..rounds as u64 {
            let query = Query {
                software: None,
                service: 0,
                home: "north",
                avoid: &[],
                prefix,
                work: None,
                isolation_hash: None,
                queue_limit: None,
                sender: Sender::default(),
                versions: None,
            };
            assert!(matches!(pool.choose(now, query), Choice::Endpoint(_)));
        }
        points.push((count as f64, begun.elapsed().as_secs_f64() / rounds as f64));
    }
    print("choice", "endpoints", "seconds", &points);
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().expect("a size in kB");
    kib * 1_024
}

/// What entry boxes send to a control box in a second in which `count` streams begin: messages of
/// one to three streams, which began at one of 40 origins.
fn begun_streams(now: Instant, second: u32, count: u64) -> Vec<Vec<OriginRecord>> {
    let mut messages = Vec::new();
    let mut streams = (0..count).peekable();
    while streams.peek().is_some() {
        let mut entry_box = Origins::new();
        for i in streams.by_ref().take(1 + messages.len() % 3) {
            let key = (u64::from(second) * count + i).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let service = format!("service-{}", i % 20);
            let software = format!("1.{}", i / 20 % 2);
            entry_box.record(now, key, &Origin { service, software });
        }
        messages.push(entry_box.take_updates(now));
    }
    messages
}

/// Measures memory by retained streams, and processor time by streams that begin in a second, of a
/// control box that merges where they began.
fn origins(scale: Scale) {
    let (mut memory, mut merging) = (Vec::new(), Vec::new());
    let mut control_boxes = Vec::new();
    let warm_up = 2 * ORIGIN_RETENTION.as_secs() as u32;
    let measured = 10 * scale.size as u32;
    for rate in [1_500, 3_000, 4_500, 5_900] {
        let start = Instant::now();
        let before = resident_bytes();
        let mut control_box = Origins::new();
        let mut used = Duration::ZERO;
        for second in 0..warm_up + measured {
            let now = start + Duration::from_secs(second.into());
            let messages = begun_streams(now, second, rate);
            let begun = Instant::now();
            for message in &messages {
                control_box.merge(now, message);
            }
            if second >= warm_up {
                used += begun.elapsed();
            }
        }
        memory.push((control_box.len() as f64, (resident_bytes() - before) as f64));
        merging.push((rate as f64, used.as_secs_f64() / f64::from(measured)));
        // Its memory must not be used again for the next one.
        control_boxes.push(control_box);
    }
    print("memory", "retained streams", "bytes", &memory);
    print("processor", "streams begun a second", "cores", &merging);
}

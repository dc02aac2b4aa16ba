//! Measures the exchange of marks between entry boxes and the distribution of configurations.
//!
//! `cargo bench --bench control -- [--quick] [marks] [restart] [change]` prints one JSON line for
//! each figure:
//!
//! - `marks`: time from a reclaim notice to one entry box until no entry box sends that endpoint
//!   new requests, among 8 real processes, without loss and with a third of the datagrams lost.
//! - `restart`: time until a configuration is accepted, and until it is in force at 300 entry
//!   boxes, after five control boxes were started together with a fraction of a core each.
//! - `change`: bytes and processor time of one changed route, and of the full configuration, by
//!   its number of routes.

mod common;

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::json;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::core::configuration::Configuration;
use vaneway_server::core::configuration_change::ConfigurationChange;
use vaneway_server::core::route_table::RouteTable;
use vaneway_server::util::frames;
use vaneway_server::util::frames::EncodedFrame;
use vaneway_test_support::Caller;
use vaneway_test_support::CloudPlatform;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::EntryGroup;
use vaneway_test_support::Fleet;
use vaneway_test_support::Process;
use vaneway_test_support::Replica;
use vaneway_test_support::Throttle;
use vaneway_test_support::configurations::with_routes;
use vaneway_test_support::fleet;

use crate::common::Args;
use crate::common::program;

/// Entry boxes of the `marks` figure: as many as users run today.
const MARK_BOXES: usize = 8;

/// Time until the reclaim that a notice announces; longer than the measurement.
const NOTICE_PERIOD: Duration = Duration::from_hours(1);

fn main() {
    let args = Args::read();
    if args.wants("marks") {
        measure_marks(if args.quick { 20 } else { 100 });
    }
    if args.wants("change") {
        ROUTES.into_iter().for_each(change);
    }
    if args.wants("restart") {
        let shares = if args.quick { vec![0.3] } else { vec![0.3, 0.15, 0.06] };
        shares.into_iter().for_each(restart);
    }
}

/// Numbers of routes in a small, a large and the largest configuration.
const ROUTES: [usize; 3] = [10, 1_400, 5_000];

/// Rounds over which the processor time is averaged.
const ROUNDS: u32 = 50;

fn change(routes: usize) {
    let version = |version| -> Configuration {
        serde_json::from_value(with_routes(version, routes)).expect("a configuration")
    };
    let (base, next) = (version(1), version(2));
    let change =
        ConfigurationChange::between(&base, &next).expect("routes and services have unique names");
    let full = EncodedFrame::new(&ToEntry::Configuration(next.clone()));
    let delta = EncodedFrame::new(&ToEntry::ConfigurationChange(change.clone()));
    let mean_us = |work: &mut dyn FnMut()| {
        let begun = Instant::now();
        (0..ROUNDS).for_each(|_| work());
        (begun.elapsed() / ROUNDS).as_micros() as u64
    };
    let payload = |message: &EncodedFrame| message.frame().slice(4..);
    let (full_payload, delta_payload) = (payload(&full), payload(&delta));
    let table = RouteTable::new(base.clone());
    let line = json!({
        "figure": "change", "routes": routes,
        "whole_bytes": full.frame().len(), "change_bytes": delta.frame().len(),
        "find_change_us": mean_us(&mut || {
            black_box(ConfigurationChange::between(&base, &next));
        }),
        "read_whole_us": mean_us(&mut || {
            black_box(frames::decode::<ToEntry>(&full_payload));
        }),
        "read_change_us": mean_us(&mut || {
            black_box(frames::decode::<ToEntry>(&delta_payload));
        }),
        "prepare_whole_us": mean_us(&mut || {
            black_box(RouteTable::new(next.clone()));
        }),
        "prepare_change_us": mean_us(&mut || {
            black_box(table.changed(&change));
        }),
    });
    println!("{line}");
}

fn measure_marks(rounds: usize) {
    let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
    runtime.block_on(async {
        for loss in [0, 33] {
            marks(rounds, loss).await;
        }
    });
}

/// Entry boxes of the `restart` figure: as many as the largest fleet has.
const ENTRIES: usize = 300;

/// Control boxes of the largest fleet.
const CONTROL_BOXES: u8 = 5;

/// Requests after which quota usage has been reported for all retained slots.
const REQUESTS: u64 = 12_000;

/// How long the processor time without restarts and changes is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);

fn restart(share: f64) {
    let mut group = ControlGroup::start(program(), CONTROL_BOXES);
    group.configure(&fleet::configuration(1));
    fleet::register_endpoints(&group);
    let entries = Fleet::start(&group, ENTRIES);
    entries.wait_for_version(1);
    entries.wait_for_requests(REQUESTS);
    let used = |group: &ControlGroup| -> f64 {
        group.running().into_iter().map(|i| group.process(i).cpu_seconds()).sum()
    };
    let before = used(&group);
    std::thread::sleep(IDLE_TIME);
    let calm = (used(&group) - before) / IDLE_TIME.as_secs_f64() / f64::from(CONTROL_BOXES);
    for i in group.running() {
        group.kill(i);
    }
    for i in 0..usize::from(CONTROL_BOXES) {
        group.start_box(i, false);
    }
    let throttles = group.running().into_iter().map(|i| Throttle::start(group.process(i), share));
    let throttles: Vec<Throttle> = throttles.collect();
    let begun = Instant::now();
    group.configure(&fleet::configuration(2));
    let accepted = begun.elapsed();
    entries.wait_for_version(2);
    println!(
        "{}",
        json!({
            "figure": "restart", "entry_boxes": ENTRIES, "control_boxes": CONTROL_BOXES,
            "part_of_a_core": share, "calm_cores": calm, "accepted_ms": accepted.as_millis() as u64,
            "in_force_ms": begun.elapsed().as_millis() as u64,
        })
    );
    drop(throttles);
}

fn replica(i: usize) -> Replica {
    let address = SocketAddr::from(([127, 1, 0, i as u8 + 1], 9_000));
    Replica::new(&format!("r{i}"), address)
}

async fn is_leaving(entry: &Process, replica: usize) -> bool {
    let operators = Caller::new(entry.operators(), "");
    let state = operators.send(Method::GET, "/debug/state", "").await.json();
    state["endpoints"][replica]["state"] == "leaving"
}

async fn marks(rounds: usize, loss: u32) {
    let platform = CloudPlatform::spawn(Duration::ZERO);
    let replicas: Vec<_> = (0..rounds).map(replica).collect();
    for i in 0..rounds {
        platform.start_box(&format!("box-r{i}"));
    }
    let entry_group = EntryGroup::start(program(), MARK_BOXES, &replicas, platform.address());
    for proxy in &entry_group.proxies {
        proxy.set_loss_and_reordering(loss, 0);
    }
    let mut times = Histogram::<u64>::new(3).expect("a valid precision");
    for i in 0..rounds {
        let begun = Instant::now();
        platform.reclaim(&format!("box-r{i}"), NOTICE_PERIOD);
        let mut pending: Vec<&Process> = entry_group.running().collect();
        while !pending.is_empty() {
            let left = join_all(pending.iter().map(|entry| is_leaving(entry, i))).await;
            let mut left = left.into_iter();
            pending.retain(|_| !left.next().unwrap_or_default());
        }
        times.record(begun.elapsed().as_micros() as u64).expect("in range");
    }
    let at = |q| times.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{}",
        json!({
            "figure": "marks", "boxes": MARK_BOXES, "loss_percent": loss, "notices": rounds,
            "p50_ms": at(0.5), "p99_ms": at(0.99), "most_ms": at(1.0),
        })
    );
}

//! Helpers that several modules of the test suite share.

use std::net::SocketAddr;
use std::process::Command;

use serde_json::Value;
use vaneway_route::EndpointSpec;
use vaneway_test_support::Deployment;
use vaneway_test_support::Engine;
use vaneway_test_support::EngineOptions;
use vaneway_test_support::Process;
use vaneway_test_support::Replica;

/// A deployment without services.
pub fn deployment() -> Deployment {
    Deployment::new(env!("CARGO_BIN_EXE_vaneway"))
}

/// An engine with the usual behaviour.
pub fn engine() -> Engine {
    Engine::spawn(EngineOptions::default())
}

/// Replicas named `a`, `b`, … at the engines.
pub fn replicas(engines: &[&Engine]) -> Vec<Replica> {
    let names = ["a", "b", "c", "d", "e", "f"];
    engines.iter().zip(names).map(|(engine, name)| Replica::new(name, engine.address())).collect()
}

/// Runs a future to completion on a new event loop.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("the event loop starts").block_on(future)
}

/// Runs `vanectl` and returns its standard output; the command must succeed.
pub fn vanectl(process: &Process, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_vanectl"))
        .arg("--address")
        .arg(process.operators().to_string())
        .args(args)
        .output()
        .expect("vanectl starts");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "vanectl failed: {error}");
    String::from_utf8(output.stdout).expect("UTF-8 output")
}

/// Runs `vanectl --json` and returns its parsed output.
pub fn vanectl_json(process: &Process, args: &[&str]) -> Value {
    let args: Vec<_> = args.iter().copied().chain(["--json"]).collect();
    serde_json::from_str(&vanectl(process, &args)).expect("JSON output")
}

/// Engines of a simulated fleet, named by number: all are in one availability zone and accept as
/// many open requests as the largest engine does.
pub fn simulated_engines(count: u32) -> Vec<EndpointSpec> {
    let engine = |i: u32| EndpointSpec {
        name: format!("engine-{i}"),
        service: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
        availability_zone: "a".to_owned(),
        box_name: format!("engine-{i}"),
        reclaimable: false,
        max_open: 288,
        software: String::new(),
    };
    (0..count).map(engine).collect()
}

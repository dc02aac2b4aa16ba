//! What the benchmarks share: their command line and the entry as a quiet process.

#![allow(dead_code, reason = "each benchmark uses a part of it")]

use std::path::Path;

use vaneway_test_support::Deployment;
use vaneway_test_support::Engine;
use vaneway_test_support::Process;
use vaneway_test_support::Replica;

/// The `vaneway` binary of this build.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_vaneway"))
}

/// The words after `--`: whether to be quick, and the names of what to measure.
#[derive(Debug)]
pub struct Args {
    /// Measure less, for a look.
    pub quick: bool,
    names: Vec<String>,
}

impl Args {
    /// Reads the command line.
    pub fn read() -> Self {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let quick = args.iter().any(|arg| arg == "--quick");
        let names = args.into_iter().filter(|arg| !arg.starts_with("--")).collect();
        Self { quick, names }
    }

    /// Whether to measure `name`: all if none was named.
    pub fn wants(&self, name: &str) -> bool {
        self.names.is_empty() || self.names.iter().any(|wanted| wanted == name)
    }
}

/// Replicas named `e0`, `e1`, … at the engines.
pub fn numbered(engines: &[Engine]) -> Vec<Replica> {
    let named = |(i, engine): (usize, &Engine)| Replica::new(&format!("e{i}"), engine.address());
    engines.iter().enumerate().map(named).collect()
}

/// Starts the entry with a log that does not disturb the measurement.
pub fn start(deployment: &Deployment) -> Process {
    let level = "info,hyper=warn,compio=warn";
    Process::spawn_with_log(program(), deployment.folder(), deployment.settings(), level)
}

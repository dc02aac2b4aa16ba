//! Code shared by the benchmarks: the command line, and starting an entry box with little logging.

#![allow(dead_code, reason = "no benchmark uses all items")]

use std::path::Path;

use vaneway_test_support::Deployment;
use vaneway_test_support::Engine;
use vaneway_test_support::Process;
use vaneway_test_support::Replica;

/// The `vaneway` binary of this build.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_vaneway"))
}

/// Command-line arguments after `--`.
#[derive(Debug)]
pub struct Args {
    /// Whether to run a shorter, less accurate measurement (`--quick`).
    pub quick: bool,
    /// Names of the figures to measure; empty for all.
    names: Vec<String>,
}

impl Args {
    pub fn read() -> Self {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let quick = args.iter().any(|arg| arg == "--quick");
        let names = args.into_iter().filter(|arg| !arg.starts_with("--")).collect();
        Self { quick, names }
    }

    /// Whether to measure the figure `name`; true if no figure was given on the command line.
    pub fn wants(&self, name: &str) -> bool {
        self.names.is_empty() || self.names.iter().any(|wanted| wanted == name)
    }
}

/// One replica for each engine, named `e0`, `e1`, …
pub fn numbered(engines: &[Engine]) -> Vec<Replica> {
    let named = |(i, engine): (usize, &Engine)| Replica::new(&format!("e{i}"), engine.address());
    engines.iter().enumerate().map(named).collect()
}

/// Starts the entry box at log level `info`, so that logging does not distort the measurement.
pub fn start(deployment: &Deployment) -> Process {
    let level = "info,hyper=warn,compio=warn";
    Process::spawn_with_log(program(), deployment.folder(), deployment.settings(), level)
}

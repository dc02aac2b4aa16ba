//! The daemon: an entry between callers and endpoints.

mod commands;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    vaneway_server::util::logline::init();
    vaneway_server::util::command_line::conclude(
        "vaneway",
        commands::exec(lexopt::Parser::from_env()),
    )
}

//! The daemon of an entry or control box.

mod commands;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    vaneway_server::util::logline::init();
    vaneway_server::util::command_line::report_result(
        "vaneway",
        commands::exec(lexopt::Parser::from_env()),
    )
}

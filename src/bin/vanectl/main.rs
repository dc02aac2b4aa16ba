//! The operators' client.

mod commands;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    vaneway_server::util::command_line::report_result(
        "vanectl",
        commands::exec(lexopt::Parser::from_env()),
    )
}

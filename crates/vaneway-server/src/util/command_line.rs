//! What both programs' command lines have in common: exit codes and the printing of errors.

use std::fmt::Write as _;
use std::io::Write as _;
use std::process::ExitCode;

/// Exit code for a command that failed.
pub const FAILED: u8 = 1;

/// Exit code for a command line that can't be understood.
pub const USAGE: u8 = 2;

/// A command line that can't be understood.
#[derive(Debug)]
pub struct UsageError(pub String);

impl std::fmt::Display for UsageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self(error.to_string())
    }
}

/// Prints a command's output or its error with all causes, and returns the exit code.
pub fn conclude(program: &str, result: eyre::Result<String>) -> ExitCode {
    match result {
        Ok(output) => match std::io::stdout().write_all(output.as_bytes()) {
            Ok(()) => ExitCode::SUCCESS,
            // The reader of a pipe went away, which is its right.
            Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(FAILED),
        },
        Err(error) => {
            let usage = error.is::<UsageError>();
            eprint!("{}", describe(&error));
            if usage {
                eprintln!("\nSee `{program} --help`.");
            }
            ExitCode::from(if usage { USAGE } else { FAILED })
        }
    }
}

/// The text of an error and its causes.
fn describe(error: &eyre::Report) -> String {
    let mut text = format!("error: {error}\n");
    if error.chain().len() > 1 {
        text.push_str("\nCaused by:\n");
        for cause in error.chain().skip(1) {
            let cause = cause.to_string().replace('\n', "\n  ");
            writeln!(text, "  {cause}").expect("writing to a string does not fail");
        }
    }
    text
}

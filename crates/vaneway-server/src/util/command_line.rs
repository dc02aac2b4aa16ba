//! Command-line conventions shared by both programs: exit codes and the printing of errors.

use std::fmt::Write as _;
use std::io::Write as _;
use std::process::ExitCode;

/// Exit code of a command that failed.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Error for an invalid command line.
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

/// Prints a command's output, or its error with all causes, and returns the exit code.
pub fn report_result(program: &str, result: eyre::Result<String>) -> ExitCode {
    match result {
        Ok(output) => match std::io::stdout().write_all(output.as_bytes()) {
            Ok(()) => ExitCode::SUCCESS,
            // The reader of a pipe may close it early, for example `head`; that is no error.
            Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(EXIT_FAILURE),
        },
        Err(error) => {
            let usage = error.is::<UsageError>();
            eprint!("{}", format_error(&error));
            if usage {
                eprintln!("\nSee `{program} --help`.");
            }
            ExitCode::from(if usage { EXIT_USAGE } else { EXIT_FAILURE })
        }
    }
}

/// Formats an error with all its causes.
fn format_error(error: &eyre::Report) -> String {
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

//! The subcommands of `vaneway`.

mod check;
mod run;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt as _;
use vaneway_server::util::command_line::UsageError;

const HELP: &str = "\
A serving system for reclaimable boxes

Usage: vaneway <COMMAND>

Commands:
  run FILE     Run an entry or control box with the settings in FILE
  check FILE   Validate the settings in FILE and report every finding

Options of run:
  --adapter NAME  Use a platform's protocols instead of the native ones: `platform`

Options:
  -h, --help     Print help
  -V, --version  Print the version

Exit codes: 0 success, 1 failure, 2 invalid command line.
SIGTERM starts a planned stop, SIGHUP writes the complete state to the log.
The environment variable VANEWAY_LOG sets the log level, for example `debug`.
";

/// Parses the command line and runs the subcommand.
pub fn exec(mut args: Parser) -> eyre::Result<String> {
    match args.next().map_err(UsageError::from)? {
        Some(Arg::Short('h') | Arg::Long("help")) => Ok(HELP.to_owned()),
        Some(Arg::Short('V') | Arg::Long("version")) => {
            Ok(format!("vaneway {}\n", env!("CARGO_PKG_VERSION")))
        }
        Some(Arg::Value(name)) => match name.string().map_err(UsageError::from)?.as_str() {
            "run" => run::exec(args),
            "check" => check::exec(args),
            other => Err(UsageError(format!("no such command: `{other}`")).into()),
        },
        Some(arg) => Err(UsageError::from(arg.unexpected()).into()),
        None => Err(UsageError("missing command".to_owned()).into()),
    }
}

/// Parses the one file argument of a subcommand.
fn only_file(args: &mut Parser) -> Result<std::path::PathBuf, UsageError> {
    let mut file = None;
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Value(value) if file.is_none() => file = Some(value.into()),
            arg => return Err(arg.unexpected().into()),
        }
    }
    file.ok_or_else(|| UsageError("missing settings file".to_owned()))
}

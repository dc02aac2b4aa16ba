//! The subcommands of `vanectl`.

mod apply;
mod config;
mod dump;
mod endpoints;
mod quarantine;
mod release;
mod replicas;
mod services;
mod status;

use eyre::WrapErr as _;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt as _;
use vaneway_server::ops::client::Target;
use vaneway_server::util::command_line::UsageError;

const HELP: &str = "\
The operators' client of vaneway

Usage: vanectl [OPTIONS] <COMMAND>

Commands:
  services              List the services
  replicas [SERVICE]    List the replicas in the settings of the process
  endpoints [SERVICE]   List the endpoints in the state that the process knows
  status                Show the status of the process
  dump                  Show the complete state of the process as JSON
  quarantine            List the requests and prompt parts that crashed endpoints
  release FINGERPRINT   Release such a request or part from quarantine
  apply FILE            Apply a configuration (address of a control box)
  config                Show the newest configuration (address of a control box)

Options:
      --address ADDR  The operators' address of a process [default: 127.0.0.1:8081]
      --token TOKEN   The operator's token [env: VANECTL_TOKEN]
      --json          Print JSON for scripts
  -h, --help          Print help
  -V, --version       Print the version

Exit codes: 0 success, 1 failure, 2 invalid command line.
";

/// Environment variable with the operator's token, so that it need not appear in a shell history.
const TOKEN_VARIABLE: &str = "VANECTL_TOKEN";

/// The arguments of a subcommand.
struct Args {
    target: Target,
    json: bool,
    values: Vec<String>,
}

impl Args {
    /// Parses the command line into a subcommand and its arguments; `None` if help is requested.
    fn read(mut parser: Parser) -> Result<Option<(String, Self)>, UsageError> {
        let mut address = "127.0.0.1:8081".to_owned();
        let mut token = std::env::var(TOKEN_VARIABLE).ok();
        let mut json = false;
        let mut values = Vec::new();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("address") => address = parser.value()?.string()?,
                Arg::Long("token") => token = Some(parser.value()?.string()?),
                Arg::Long("json") => json = true,
                Arg::Short('h') | Arg::Long("help") => return Ok(None),
                Arg::Short('V') | Arg::Long("version") => values.insert(0, "version".to_owned()),
                Arg::Value(value) => values.push(value.string()?),
                arg => return Err(arg.unexpected().into()),
            }
        }
        let invalid = |error| UsageError(format!("`--address {address}`: {error}"));
        let address = address.parse().map_err(invalid)?;
        if values.is_empty() {
            return Err(UsageError("missing command".to_owned()));
        }
        let command = values.remove(0);
        Ok(Some((command, Self { target: Target { address, token }, json, values })))
    }

    /// Returns the one value that may follow the command; empty if there is none.
    fn at_most_one(self) -> Result<(Target, bool, String), UsageError> {
        match self.values.len() {
            0 | 1 => {
                Ok((self.target, self.json, self.values.into_iter().next().unwrap_or_default()))
            }
            _ => Err(UsageError(format!("unexpected `{}`", self.values[1]))),
        }
    }

    /// Checks that no value follows the command.
    fn none(self) -> Result<(Target, bool), UsageError> {
        match self.values.first() {
            None => Ok((self.target, self.json)),
            Some(value) => Err(UsageError(format!("unexpected `{value}`"))),
        }
    }
}

/// Parses the command line and runs the subcommand.
pub fn exec(parser: Parser) -> eyre::Result<String> {
    let Some((command, args)) = Args::read(parser)? else { return Ok(HELP.to_owned()) };
    if command == "version" {
        return Ok(format!("vanectl {}\n", env!("CARGO_PKG_VERSION")));
    }
    let runtime = compio::runtime::Runtime::new().wrap_err("failed to start the event loop")?;
    runtime.block_on(async {
        match command.as_str() {
            "services" => services::exec(args).await,
            "replicas" => replicas::exec(args).await,
            "endpoints" => endpoints::exec(args).await,
            "status" => status::exec(args).await,
            "quarantine" => quarantine::exec(args).await,
            "release" => release::exec(args).await,
            "apply" => apply::exec(args).await,
            "config" => config::exec(args).await,
            "dump" => dump::exec(args).await,
            other => Err(UsageError(format!("no such command: `{other}`")).into()),
        }
    })
}

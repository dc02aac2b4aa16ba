//! `vaneway run FILE`

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt as _;
use vaneway_platform::Platform;
use vaneway_server::ops;
use vaneway_server::ops::run::NativeProtocols;
use vaneway_server::util::command_line::UsageError;

/// Runs an entry or control box until it is signalled to stop.
pub fn exec(mut args: Parser) -> eyre::Result<String> {
    let mut file = None;
    let mut adapter = None;
    while let Some(arg) = args.next().map_err(UsageError::from)? {
        match arg {
            Arg::Long("adapter") => {
                let value = args.value().map_err(UsageError::from)?;
                adapter = Some(value.string().map_err(UsageError::from)?);
            }
            Arg::Value(value) if file.is_none() => file = Some(std::path::PathBuf::from(value)),
            arg => return Err(UsageError::from(arg.unexpected()).into()),
        }
    }
    let file = file.ok_or_else(|| UsageError("missing settings file".to_owned()))?;
    match adapter.as_deref() {
        None => ops::run::run(&file, &NativeProtocols)?,
        Some("platform") => ops::run::run(&file, &Platform)?,
        Some(other) => return Err(UsageError(format!("no such adapter: `{other}`")).into()),
    }
    Ok(String::new())
}

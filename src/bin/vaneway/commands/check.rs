//! `vaneway check FILE`

use lexopt::Parser;
use vaneway_server::ops;

/// Validates a settings file.
pub fn exec(mut args: Parser) -> eyre::Result<String> {
    let file = super::only_file(&mut args)?;
    Ok(ops::check::check(&file)? + "\n")
}

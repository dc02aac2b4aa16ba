//! `vaneway run FILE`

use lexopt::Parser;
use vaneway::ops;

/// Runs an entry until it is told to stop.
pub fn exec(mut args: Parser) -> eyre::Result<String> {
    let file = super::only_file(&mut args)?;
    ops::run::run(&file)?;
    Ok(String::new())
}

//! `vanectl apply FILE`

use std::path::Path;

use vaneway_server::ops;
use vaneway_server::util::command_line::UsageError;

use super::Args;

/// Runs the command.
pub async fn exec(args: Args) -> eyre::Result<String> {
    let (target, _json, file) = args.at_most_one()?;
    if file.is_empty() {
        return Err(UsageError("missing configuration file".to_owned()).into());
    }
    ops::configuration::apply(&target, Path::new(&file)).await
}

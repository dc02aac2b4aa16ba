//! `vanectl config`

use vaneway_server::ops;

use super::Args;

/// Runs the command.
pub async fn exec(args: Args) -> eyre::Result<String> {
    let (target, _json) = args.none()?;
    ops::configuration::config(&target).await
}

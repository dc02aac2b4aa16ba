//! `vanectl quarantine`

use vaneway_server::ops;

use super::Args;

/// Runs the command.
pub async fn exec(args: Args) -> eyre::Result<String> {
    let (target, json) = args.none()?;
    ops::quarantine::quarantine(&target, json).await
}

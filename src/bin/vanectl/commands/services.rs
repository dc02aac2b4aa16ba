//! `vanectl services`

use vaneway_server::ops;

use super::Args;

/// Runs the command.
pub async fn exec(args: Args) -> eyre::Result<String> {
    let (target, json) = args.none()?;
    ops::services::services(&target, json).await
}

//! `vanectl dump`

use vaneway_server::ops;

use super::Args;

/// Runs the command.
pub async fn exec(args: Args) -> eyre::Result<String> {
    let (target, _always_json) = args.none()?;
    ops::dump::dump(&target).await
}

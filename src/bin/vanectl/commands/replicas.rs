//! `vanectl replicas [SERVICE]`

use vaneway_server::ops;

use super::Args;

/// Runs the command.
pub async fn exec(args: Args) -> eyre::Result<String> {
    let (target, json, service) = args.at_most_one()?;
    ops::replicas::replicas(&target, service, json).await
}

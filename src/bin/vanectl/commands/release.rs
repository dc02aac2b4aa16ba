//! `vanectl release FINGERPRINT`

use vaneway_server::ops;
use vaneway_server::util::command_line::UsageError;

use super::Args;

/// Runs the command.
pub async fn exec(args: Args) -> eyre::Result<String> {
    let (target, _json, fingerprint) = args.at_most_one()?;
    if fingerprint.is_empty() {
        let message = "missing fingerprint of a request or a part, see `vanectl quarantine`";
        return Err(UsageError(message.to_owned()).into());
    }
    ops::quarantine::release(&target, fingerprint).await
}

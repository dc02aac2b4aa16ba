//! `vanectl dump`: shows the complete state of a process.

use eyre::WrapErr as _;
use serde_json::Value;

use crate::ops::client;
use crate::ops::client::Target;
use crate::proto::v1;

/// Returns the state as indented JSON.
///
/// # Errors
///
/// If the process can't be reached or rejects the call.
pub async fn dump(target: &Target) -> eyre::Result<String> {
    let mut client = client::connect(target).await?;
    let response = client.dump(v1::DumpRequest {}).await;
    let json = response.map_err(|status| client::status_error(&status))?.into_inner().json;
    let state: Value = serde_json::from_str(&json).wrap_err("failed to parse the state")?;
    Ok(format!("{state:#}\n"))
}

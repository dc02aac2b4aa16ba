//! `vanectl status`: shows the status of a process.

use serde_json::json;

use crate::ops::client;
use crate::ops::client::Target;
use crate::proto::v1;

/// Returns the status as text for the terminal, or as JSON.
///
/// # Errors
///
/// If the process can't be reached or rejects the call.
pub async fn status(target: &Target, json: bool) -> eyre::Result<String> {
    let mut client = client::connect(target).await?;
    let response = client.get_status(v1::GetStatusRequest {}).await;
    let status = response.map_err(|status| client::status_error(&status))?.into_inner();
    let v1::GetStatusResponse { name, availability_zone, phase, open_requests, version } = status;
    Ok(if json {
        let status = json!({
            "name": name,
            "availability_zone": availability_zone,
            "phase": phase,
            "open_requests": open_requests,
            "version": version,
        });
        format!("{status:#}\n")
    } else {
        format!(
            "{name} in {availability_zone}: {phase}, {open_requests} open requests, vaneway {version}\n"
        )
    })
}

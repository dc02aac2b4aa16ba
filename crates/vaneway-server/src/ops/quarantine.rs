//! `vanectl quarantine` and `vanectl release`: requests, and parts of prompts, that crashed endpoints.

use serde_json::json;

use crate::ops::client;
use crate::ops::client::Target;
use crate::ops::table;
use crate::proto::v1;

/// Returns the list of quarantined requests and parts as text for the terminal, or as JSON.
///
/// # Errors
///
/// If the process can't be reached or rejects the call.
pub async fn quarantine(target: &Target, json: bool) -> eyre::Result<String> {
    let mut client = client::connect(target).await?;
    let response = client.list_quarantine(v1::ListQuarantineRequest {}).await;
    let response = response.map_err(|status| client::status_error(&status))?;
    let listed = response.into_inner().requests;
    Ok(table::format_list(
        &listed,
        json,
        &["kind", "fingerprint", "service", "verdict", "crashed endpoints"],
        to_row,
        to_json,
    ))
}

fn to_json(request: &v1::QuarantinedRequest) -> serde_json::Value {
    json!({
        "kind": request.kind,
        "fingerprint": request.fingerprint,
        "service": request.service,
        "verdict": request.verdict,
        "endpoints": request.endpoints,
    })
}

fn to_row(request: &v1::QuarantinedRequest) -> Vec<String> {
    vec![
        request.kind.clone(),
        request.fingerprint.clone(),
        request.service.clone(),
        request.verdict.clone(),
        request.endpoints.join(" "),
    ]
}

/// Releases a request, or a part of prompts, from quarantine, so that it is run again if a caller
/// sends it.
///
/// # Errors
///
/// If the process can't be reached or rejects the call, or if nothing is recorded against a request
/// or part with this fingerprint.
pub async fn release(target: &Target, fingerprint: String) -> eyre::Result<String> {
    let mut client = client::connect(target).await?;
    let text = format!("released {fingerprint}; the other entry boxes will be notified\n");
    let response = client.release_request(v1::ReleaseRequestRequest { fingerprint }).await;
    response.map_err(|status| client::status_error(&status))?;
    Ok(text)
}

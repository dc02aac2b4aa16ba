//! `vanectl endpoints`: lists the endpoints in the state that one process knows.

use serde_json::json;

use crate::ops::client;
use crate::ops::client::Target;
use crate::ops::table;
use crate::proto::v1;

/// Returns the list as text for the terminal, or as JSON.
///
/// # Errors
///
/// If the process can't be reached or rejects the call.
pub async fn endpoints(target: &Target, service: String, json: bool) -> eyre::Result<String> {
    let mut client = client::connect(target).await?;
    let request = v1::ListEndpointsRequest { service };
    let response =
        client.list_endpoints(request).await.map_err(|status| client::status_error(&status))?;
    let listed = response.into_inner().endpoints;
    Ok(table::format_list(
        &listed,
        json,
        &["replica", "service", "address", "availability zone", "state", "open", "gone in ms"],
        to_row,
        to_json,
    ))
}

fn to_json(endpoint: &v1::Endpoint) -> serde_json::Value {
    json!({
        "replica": endpoint.replica,
        "service": endpoint.service,
        "address": endpoint.address,
        "availability_zone": endpoint.availability_zone,
        "state": endpoint.state,
        "instance": endpoint.instance,
        "open_requests": endpoint.open_requests,
        "open_tokens": endpoint.open_tokens,
        "gone_in_ms": endpoint.gone_in_ms,
    })
}

fn to_row(endpoint: &v1::Endpoint) -> Vec<String> {
    vec![
        endpoint.replica.clone(),
        endpoint.service.clone(),
        endpoint.address.clone(),
        endpoint.availability_zone.clone(),
        endpoint.state.clone(),
        endpoint.open_requests.to_string(),
        endpoint.gone_in_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
    ]
}

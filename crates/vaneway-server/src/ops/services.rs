//! `vanectl services`: lists the services.

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
pub async fn services(target: &Target, json: bool) -> eyre::Result<String> {
    let mut client = client::connect(target).await?;
    let request = v1::ListServicesRequest {};
    let response =
        client.list_services(request).await.map_err(|status| client::status_error(&status))?;
    let listed = response.into_inner().services;
    Ok(table::format_list(
        &listed,
        json,
        &["name", "kind", "models", "replicas", "available"],
        to_row,
        to_json,
    ))
}

fn to_json(service: &v1::Service) -> serde_json::Value {
    json!({
        "name": service.name,
        "kind": service.kind,
        "models": service.models,
        "replicas": service.replicas,
        "available": service.available,
    })
}

fn to_row(service: &v1::Service) -> Vec<String> {
    vec![
        service.name.clone(),
        service.kind.clone(),
        service.models.join(","),
        service.replicas.to_string(),
        service.available.to_string(),
    ]
}

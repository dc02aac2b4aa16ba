//! `vanectl replicas`: lists the replicas in the settings of a process.

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
pub async fn replicas(target: &Target, service: String, json: bool) -> eyre::Result<String> {
    let mut client = client::connect(target).await?;
    let request = v1::ListReplicasRequest { service };
    let response =
        client.list_replicas(request).await.map_err(|status| client::status_error(&status))?;
    let listed = response.into_inner().replicas;
    Ok(table::format_list(
        &listed,
        json,
        &["name", "service", "address", "availability zone", "box", "reclaimable"],
        to_row,
        to_json,
    ))
}

fn to_json(replica: &v1::Replica) -> serde_json::Value {
    json!({
        "name": replica.name,
        "service": replica.service,
        "address": replica.address,
        "availability_zone": replica.availability_zone,
        "box": replica.r#box,
        "reclaimable": replica.reclaimable,
        "max_open": replica.max_open,
    })
}

fn to_row(replica: &v1::Replica) -> Vec<String> {
    vec![
        replica.name.clone(),
        replica.service.clone(),
        replica.address.clone(),
        replica.availability_zone.clone(),
        replica.r#box.clone(),
        if replica.reclaimable { "yes" } else { "no" }.to_owned(),
    ]
}

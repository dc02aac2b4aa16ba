//! Reads the services of an entry box and their replicas.

use vaneway_route::EndpointSpec;

use crate::core::settings::NonRepeatable;
use crate::core::settings::Service;
use crate::core::settings::ServiceKind;
use crate::core::settings::read::values::DURATION_RANGE_MS;
use crate::core::settings::read::values::NONZERO_DURATION_RANGE_MS;
use crate::core::settings::read::values::address;
use crate::core::settings::read::values::millis;
use crate::core::settings::read::values::strings;
use crate::core::settings::read::values::zone;
use crate::util::findings::Fields;
use crate::util::findings::JsonNode;

/// Reads a service, and adds its replicas to `replicas`; `id` is its position among the services.
pub(super) fn service(
    mut fields: Fields<'_>,
    id: u32,
    zones: &[String],
    replicas: &mut Vec<EndpointSpec>,
) -> Service {
    let name = fields.string("name");
    let kind = fields.required("kind").and_then(|node| {
        node.parse("`model` or `plain`", |text| match text {
            "model" => Some(ServiceKind::Model),
            "plain" => Some(ServiceKind::Plain),
            _ => None,
        })
    });
    let kind = kind.unwrap_or(ServiceKind::Plain);
    let models = strings(&mut fields, "models");
    match (kind, models.is_empty()) {
        (ServiceKind::Model, true) => {
            fields.node().report("a model service needs `models`, add at least one");
        }
        (ServiceKind::Plain, false) => {
            fields.node().report("a plain service has no `models`, remove them");
        }
        _ => {}
    }
    let max_open = fields.integer("max_open", 1..=100_000, 64) as u32;
    for node in fields.items("replicas") {
        let Some(object) = node.object() else { continue };
        replicas.push(replica(object, id, max_open, zones));
    }
    let non_repeatable = fields.items("non_repeatable");
    let non_repeatable =
        non_repeatable.iter().filter_map(JsonNode::object).map(non_repeatable_call).collect();
    let service = Service {
        name,
        kind,
        models,
        non_repeatable,
        not_run_header: fields.optional("not_run_header").and_then(|node| node.string()),
        deadline: millis(&mut fields, "deadline_ms", NONZERO_DURATION_RANGE_MS, 60_000),
        endpoint_wait_timeout: millis(&mut fields, "patience_ms", DURATION_RANGE_MS, 2_000),
        stall_timeout: millis(&mut fields, "stall_ms", NONZERO_DURATION_RANGE_MS, 10_000),
        max_attempts: fields.integer("max_attempts", 1..=20, 4) as u32,
        retry_percent: fields.integer("retry_percent", 0..=100, 10) as u32,
    };
    fields.finish();
    service
}

fn replica(mut fields: Fields<'_>, service: u32, max_open: u32, zones: &[String]) -> EndpointSpec {
    let name = fields.string("name");
    let spec = EndpointSpec {
        service,
        address: address(fields.required("address")),
        availability_zone: zone(fields.required("availability_zone"), zones),
        box_name: fields.optional("box").and_then(|node| node.string()).unwrap_or(name.clone()),
        reclaimable: fields.optional("reclaimable").and_then(|p| p.boolean()).unwrap_or(true),
        max_open,
        software: fields.optional("software").and_then(|p| p.string()).unwrap_or_default(),
        name,
    };
    fields.finish();
    spec
}

fn non_repeatable_call(mut fields: Fields<'_>) -> NonRepeatable {
    let expected = "a method in capitals such as `POST`";
    let method = fields.required("method").and_then(|node| {
        node.parse(expected, |text| {
            let capitals = !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase());
            capitals.then(|| text.to_owned())
        })
    });
    let path = fields.required("path").and_then(|node| {
        node.parse("a path that begins with `/`", |text| {
            text.starts_with('/').then(|| text.to_owned())
        })
    });
    fields.finish();
    NonRepeatable { method: method.unwrap_or_default(), path: path.unwrap_or_default() }
}

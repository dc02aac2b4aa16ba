//! Reads the settings of a control box.

use std::time::Duration;

use crate::core::settings::CloudSettings;
use crate::core::settings::ControlSettings;
use crate::core::settings::read::values::DURATION_RANGE_MS;
use crate::core::settings::read::values::NONZERO_DURATION_RANGE_MS;
use crate::core::settings::read::values::address;
use crate::core::settings::read::values::millis;
use crate::core::settings::read::values::seconds;
use crate::core::settings::read::values::seeds;
use crate::core::settings::read::values::strings;
use crate::util::findings::Fields;

/// Default of the share of requests that are to be in time when fleets are sized by it.
const DEFAULT_IN_TIME_TARGET: f64 = 0.95;

/// Reads all sections.
pub(super) fn read(mut fields: Fields<'_>) -> ControlSettings {
    fields.optional("role");
    let cluster_listen = address(fields.required("cluster_listen"));
    let settings = ControlSettings {
        name: fields.string("name"),
        availability_zone: fields.string("availability_zone"),
        listen: address(fields.required("listen")),
        operators: fields.optional("operators").map(|node| address(Some(node))),
        cluster_listen,
        seeds: seeds(&mut fields, cluster_listen.port()),
        form_group: fields.optional("form_group").and_then(|p| p.boolean()).unwrap_or(false),
        data_folder: fields.string("data_folder").into(),
        snapshot_entries: fields.integer("snapshot_entries", 1..=1_000_000, 256),
        restored_retention: millis(&mut fields, "remembered_ms", DURATION_RANGE_MS, 2_500),
        window: seconds(&mut fields, "usage_window_s", 60.0),
        cloud: fields.optional("cloud").and_then(|node| node.object()).map(cloud),
        capacity: capacity(fields.section("capacity")),
        rollback: fields.optional("rollouts").and_then(|node| node.object()).map(rollback),
    };
    if !cluster_listen.is_ipv4() {
        fields.node().report("`cluster_listen` must be an IPv4 address");
    }
    fields.finish();
    settings
}

fn capacity(mut fields: Fields<'_>) -> vaneway_capacity::Policy {
    let default = vaneway_capacity::Policy::default();
    let kept = default.demand_kept.as_secs_f64();
    let distrust = default.distrust.as_secs_f64();
    let policy = vaneway_capacity::Policy {
        busy_most: fields.float("busy_most", 0.05..=10.0, default.busy_most),
        busy_scarce: fields.float("busy_scarce", 0.05..=10.0, default.busy_scarce),
        on_demand_least: fields.integer(
            "on_demand_least",
            0..=1_000,
            default.on_demand_least.into(),
        ) as u32,
        last_share: fields.float("last_share", 0.0..=10.0, default.last_share),
        demand_kept: Duration::from_secs_f64(fields.float("demand_kept_s", 0.0..=86_400.0, kept)),
        scarce_kept: Duration::from_secs_f64(fields.float(
            "scarce_kept_s",
            0.0..=86_400.0,
            default.scarce_kept.as_secs_f64(),
        )),
        distrust: Duration::from_secs_f64(fields.float("distrust_s", 0.0..=86_400.0, distrust)),
        in_time: in_time(&mut fields),
    };
    fields.finish();
    policy
}

/// Reads by what fleets are sized; none for the utilisation alone.
fn in_time(fields: &mut Fields<'_>) -> Option<vaneway_capacity::InTime> {
    let target = fields.float("in_time_target", 0.5..=0.999, DEFAULT_IN_TIME_TARGET);
    let sizing = fields.optional("sizing")?;
    match sizing.string()?.as_str() {
        "utilisation" => None,
        "in_time" => Some(vaneway_capacity::InTime { target }),
        _ => {
            sizing.report("`capacity.sizing` must be `utilisation` or `in_time`");
            None
        }
    }
}

fn rollback(mut fields: Fields<'_>) -> Duration {
    let rollback = millis(&mut fields, "rollback_ms", NONZERO_DURATION_RANGE_MS, 5_000);
    fields.finish();
    rollback
}

fn cloud(mut fields: Fields<'_>) -> CloudSettings {
    let duties = strings(&mut fields, "duties");
    let settings = CloudSettings {
        address: address(fields.required("address")),
        usage_reports: duties.iter().any(|duty| duty == "usage"),
        capacity_orders: duties.iter().any(|duty| duty == "capacity"),
    };
    fields.finish();
    settings
}

//! Configurations of the size that operators use.

use serde_json::Value;
use serde_json::json;

use crate::control_group::empty_configuration;

/// Part of names and path prefixes, which makes them as long as those of operators.
const LONG_NAME: &str =
    "organisation-with-several-teams/team-with-several-services/service-of-the-team";

/// A configuration with `count` routes of one host to one service. The weight of the first route is
/// the version, so that two versions differ in one route.
pub fn with_routes(version: u64, count: usize) -> Value {
    let route = |i: usize| {
        let weight = if i == 0 { version } else { 1 };
        json!({
            "name": format!("{LONG_NAME}-{i}"), "host": "calls.example",
            "prefix": format!("/{LONG_NAME}/{i}/"),
            "kind": "Repeatable", "timeout": { "secs": 8, "nanos": 0 },
            "objective": { "secs": 1, "nanos": 0 }, "pause_objective": null, "priority": 0,
            "targets": [{ "service": "service", "weight": weight }], "max_attempts": 2,
            "public": true, "affine": false,
        })
    };
    let mut configuration = empty_configuration(version);
    configuration["routes"] = (0..count).map(route).collect();
    configuration["services"] = json!([
        { "name": "service", "health_path": "", "max_connections": 1, "engine": null, "capacity": null }
    ]);
    configuration
}

//! Configurations as large as operators have them.

use serde_json::Value;
use serde_json::json;

use crate::control_group::empty_configuration;

/// What makes names and prefixes as long as operators write them.
const LONG: &str = "organisation-with-several-teams/team-with-several-services/service-of-the-team";

/// A configuration with so many routes of one host to one service. The version says what the first route's weight is.
pub fn with_routes(version: u64, count: usize) -> Value {
    let route = |i: usize| {
        let weight = if i == 0 { version } else { 1 };
        json!({
            "name": format!("{LONG}-{i}"), "host": "calls.example", "prefix": format!("/{LONG}/{i}/"),
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

//! Integration tests: real processes, stand-in endpoints and a fault-injecting proxy.
//!
//! A test sets up a [`Deployment`](vaneway_test_support::Deployment), sends requests as a
//! [`Caller`](vaneway_test_support::Caller), and compares complete outputs. Tests wait on
//! conditions, never on time, and assert nothing about time.

mod agreement;
mod agreement_snapshots;
mod brittle_endpoints;
mod brittle_fleet;
mod broken_off_answers;
mod capacity;
mod capacity_plan;
mod claims;
mod clock;
mod competition;
mod configuration_changes;
mod control;
mod control_memory;
mod control_overload;
mod cut_off_boxes;
mod deadly_parts;
mod deadly_requests;
mod decisions;
mod decisions_of_control;
mod deploy;
mod endpoint_limits;
mod endpoint_rest;
mod engine_speeds;
mod event_streams;
mod fair_shares;
mod findings;
mod limits_fleet;
mod logs;
mod marks;
mod neighbours;
mod news_between_boxes;
mod operators;
mod origins;
mod path;
mod plain;
mod platform_path;
mod property;
mod quarantine;
mod quota;
mod quota_fleet;
mod quota_pressure;
mod registrations;
mod registry;
mod routing;
mod schema;
mod settings;
mod shortage;
mod silent_endpoints;
mod simulated_crashes;
mod simulated_demand;
mod simulated_fleet;
mod simulated_shortage;
mod soak;
mod software_versions;
mod standins;
mod stop;
mod streams;
mod style;
mod support;
mod telling;
mod turns;

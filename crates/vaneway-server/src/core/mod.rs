//! What runs on entry and control boxes.
//!
//! The way of a request goes through [`callers`] (its protocol, its route, its organisation),
//! [`calls`] (the decisions over it, driven until its last byte) and [`endpoints`] (attempts and
//! connections). [`control`] is what control boxes run; [`cluster`] what boxes tell each other.

pub mod cached_parts;
pub mod callers;
pub mod calls;
pub mod cloud_notices;
pub mod cluster;
pub mod cluster_time;
pub mod configuration;
pub mod configuration_change;
pub mod control;
pub mod endpoints;
pub mod entry;
pub mod entry_incarnation;
pub mod limits;
pub mod loads;
pub mod metrics;
pub mod occupancy;
pub mod operators;
pub mod quarantine;
pub mod queue_limit;
pub mod quota_ledger;
pub mod quota_usage;
pub mod quotas;
pub mod report_tracker;
pub mod retry_after;
pub mod route_table;
pub mod running;
pub mod settings;
pub mod usage;

//! The logic of entry and control boxes.
//!
//! A request passes through [`callers`] (its protocol, its route, its organisation), [`calls`] (the
//! decisions on it, driven until its last byte) and [`endpoints`] (attempts and connections).
//! [`control`] contains the tasks of control boxes, [`cluster`] the communication between boxes.

pub mod cached_parts;
pub mod callers;
pub mod calls;
pub mod cloud_notices;
pub mod cluster;
pub mod competition;
pub mod configuration;
pub mod configuration_change;
pub mod control;
pub mod endpoints;
pub mod entry;
pub mod exit_check;
pub mod limits;
pub mod metrics;
pub mod neighbours;
pub mod occupancy;
pub mod operators;
pub mod path_watch;
pub mod prompt_parts;
pub mod quarantine;
pub mod queue_limit;
pub mod quotas;
pub mod retry_after;
pub mod rollouts;
pub mod route_table;
pub mod running;
pub mod settings;
pub mod stream_origins;
pub mod zones;

//! The operations behind the subcommands, one in each file.

pub mod check;
pub mod client;
pub mod configuration;
pub mod dump;
pub mod endpoints;
pub mod quarantine;
pub mod replicas;
pub mod run;
pub mod services;
pub mod status;
pub mod table;

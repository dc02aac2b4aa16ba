//! One operation a file, named for the subcommand that calls it.

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

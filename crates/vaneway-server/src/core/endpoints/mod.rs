//! Towards endpoints: protocols, attempts and connections.

pub mod link;
pub mod protocol;
pub mod registered;
pub mod upstream;

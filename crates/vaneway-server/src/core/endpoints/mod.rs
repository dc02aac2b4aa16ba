//! Protocols, connections and attempts to endpoints, and the endpoints that registered themselves.

pub mod link;
pub mod protocol;
pub mod registered;
pub mod upstream;

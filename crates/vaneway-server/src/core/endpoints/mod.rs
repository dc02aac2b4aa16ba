//! Protocols, connections and attempts to endpoints, and the endpoints that registered themselves.

pub mod answer_bounds;
pub mod framing;
pub mod link;
pub mod protocol;
pub mod registered;
pub mod replay_stream;
pub mod response_owner;
pub mod upstream;

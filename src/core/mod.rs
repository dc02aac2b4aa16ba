//! The entry: what runs between callers and endpoints.

pub mod answer;
pub mod api_error;
pub mod body;
pub mod call_events;
pub mod claims;
pub mod cluster;
pub mod datagram;
pub mod entry;
pub mod front;
pub mod keyed_call;
pub mod link;
pub mod metrics;
pub mod model_call;
pub mod open_requests;
pub mod operators;
pub mod plain_call;
pub mod platform;
pub mod running;
pub mod settings;
pub mod upstream;

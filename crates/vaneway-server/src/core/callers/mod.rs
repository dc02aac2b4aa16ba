//! The callers' side: protocols, routing by the configuration, errors and response bodies.

pub mod answer;
pub mod api_error;
pub mod caller_wait;
pub mod front;
pub mod native;
pub mod protocol;
pub mod ready;
pub mod routed;

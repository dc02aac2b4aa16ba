//! Open requests: handling of each from its admission to the last byte of its response.

mod answer_end;
mod attempt;
pub mod call;
pub mod call_events;
pub mod call_limits;
pub mod claims;
pub mod events;
pub mod keyed_call;
pub mod model_call;
pub mod model_request;
pub mod open_requests;
mod reply;
mod rollout_sample;

//! Request and attempt decisions: retries, moves and splicing by token offset, without I/O.
//!
//! The caller of an accepted request must receive the complete response although endpoints leave,
//! crash or respond late. The rules for that are easy to get wrong in code that also does I/O, so
//! they are separated here, as state machines that tests can drive through every order of events.
//!
//! Data flow: the owner of the sockets feeds [`Event`]s to a [`Relay`] (an endpoint was chosen, a
//! chunk arrived, an attempt ended, a reclaim notice arrived) and carries out the [`Action`]s that
//! it returns (choose an endpoint, start an attempt, send bytes to the caller). Inside, a
//! [`Splice`] decides for each chunk whether the caller already has it. An [`Attempt`] derives the
//! [`Outcome`] of an attempt from the events on its connection. The lifecycles are state charts:
//! `charts/request.json` and `charts/attempt.json`.

mod attempt;
mod budget;
mod chunk;
mod event;
mod failure;
mod plan;
mod relay;
mod request;
mod splice;

pub use attempt::Attempt;
pub use attempt::AttemptEvent;
pub use attempt::AttemptState;
pub use attempt::Outcome;
pub use attempt::attempt_chart;
pub use budget::RetryBudget;
pub use chunk::Chunk;
pub use chunk::ChunkError;
pub use event::Action;
pub use event::AttemptId;
pub use event::EndpointId;
pub use event::Event;
pub use event::Start;
pub use failure::Failure;
pub use failure::FailureKind;
pub use failure::RunState;
pub use plan::AnswerForm;
pub use plan::AttemptCounts;
pub use plan::Plan;
pub use plan::WaitPolicy;
pub use relay::Relay;
pub use request::RequestEvent;
pub use request::RequestState;
pub use request::request_chart;
pub use splice::ChunkDecision;
pub use splice::Splice;

/// Number of tokens from the beginning of a response.
pub type TokenOffset = u32;

//! Request and attempt decisions: retries, moves and splicing by token offset, without I/O.
//!
//! Why: an accepted request must reach its caller whole although endpoints leave, die and answer
//! late. The rules for that are easy to get wrong in code that also moves bytes, so they stand
//! here alone, as state machines that tests can drive through every order of events.
//!
//! Data flow: the owner of the sockets feeds a [`Relay`] with [`Event`]s (an endpoint was chosen,
//! a chunk arrived, an attempt ended, a reclaim notice came) and carries out the [`Action`]s that
//! come back (choose an endpoint, start an attempt, send bytes to the caller). Inside, a
//! [`Splice`] decides for each chunk whether the caller has it already. What an attempt's end
//! means is its [`Outcome`], which an [`Attempt`] derives from what happened on the connection.
//! Lives are charts: `charts/request.json` and `charts/attempt.json`.

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

/// Number of tokens from the beginning of an answer.
pub type TokenOffset = u32;

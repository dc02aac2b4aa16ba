//! Input events and output actions of a relayed request.

use std::time::Instant;

use serde::Serialize;

use crate::Chunk;
use crate::Failure;
use crate::Outcome;
use crate::TokenOffset;

/// Number of an attempt within its request, starting at 1.
pub type AttemptId = u32;

/// Index of an endpoint in the pool.
pub type EndpointId = u32;

/// Input to a relay.
#[derive(Debug, Clone)]
pub enum Event {
    /// The request was accepted.
    Begin,
    /// Reply to [`Action::Choose`]: an endpoint was chosen.
    Chosen {
        /// The chosen endpoint.
        endpoint: EndpointId,
    },
    /// Reply to [`Action::Choose`]: no endpoint accepts requests now.
    Unavailable {
        /// Whether endpoints exist but are full.
        full: bool,
        /// When one may be available again, if known.
        until: Option<Instant>,
    },
    /// Reply to [`Action::Choose`]: no endpoint is left that may run the rest of the stream.
    NoneLeft,
    /// Reply to [`Action::Wake`]: the requested time was reached.
    Woken,
    /// Reply to [`Action::Transfer`]: the transfer has ended.
    Transferred {
        /// The attempt number given with the action.
        attempt: AttemptId,
        /// Whether the target now holds the complete state of the stream.
        complete: bool,
    },
    /// The endpoint accepted the attempt and its response began.
    Head {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A chunk of the response arrived.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// The chunk.
        chunk: Chunk,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The endpoint sent far more than was asked for: what the caller has is no part of a sound
    /// response, so a stream that has begun goes on nowhere.
    Overran {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The request is condemned for crashing the endpoints that run it: the running attempt is
    /// aborted and no other one is started.
    Condemned,
    /// The endpoint sent a final response that is not a stream, such as an error about the
    /// request's content.
    Answered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The box of an endpoint will be reclaimed.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// When it will be gone.
        gone_at: Instant,
    },
    /// An endpoint is gone.
    Gone {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The deadline passed.
    Expired,
    /// The caller closed its connection.
    CallerGone,
}

/// Where an attempt begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Start {
    /// At the beginning of the response.
    Fresh,
    /// After tokens that the caller has; the engine holds the state.
    Resume {
        /// Tokens that the caller has.
        after: TokenOffset,
    },
    /// After tokens that the caller has; the engine recomputes the state from the prompt and the
    /// text sent.
    Continue {
        /// Tokens that the caller has.
        after: TokenOffset,
    },
}

/// Output of a relay, to be carried out by its owner.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Choose an endpoint; reply with [`Event::Chosen`] or [`Event::Unavailable`].
    Choose,
    /// Start an attempt.
    Start {
        /// Its number.
        attempt: AttemptId,
        /// The endpoint to run it at.
        endpoint: EndpointId,
        /// Where it begins.
        how: Start,
    },
    /// Let `to` fetch the stream's state from `from`; reply with [`Event::Transferred`].
    Transfer {
        /// Number of the attempt that will follow.
        attempt: AttemptId,
        /// The endpoint that holds the state.
        from: EndpointId,
        /// The endpoint that will need it.
        to: EndpointId,
        /// Tokens that the caller has.
        tokens: TokenOffset,
    },
    /// Deliver [`Event::Woken`] at a given time.
    Wake {
        /// The time.
        at: Instant,
    },
    /// Close the connection of an attempt; the engine holds the state for some time.
    Detach {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the connection of an attempt and have the engine free the state.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint that ran it.
        endpoint: EndpointId,
    },
    /// Have the engine free the state of a stream that was moved away.
    Release {
        /// The endpoint that ran it.
        endpoint: EndpointId,
    },
    /// Send a chunk to the caller.
    Emit {
        /// The chunk.
        chunk: Chunk,
    },
    /// The response is complete.
    Complete,
    /// Return an error to the caller.
    Fail {
        /// The reason, and whether the request was run.
        failure: Failure,
    },
}

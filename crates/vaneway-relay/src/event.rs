//! What happens to a request, and what to do about it.

use std::time::Instant;

use serde::Serialize;

use crate::Chunk;
use crate::Failure;
use crate::Outcome;
use crate::TokenOffset;

/// Number of an attempt within its request, from 1.
pub type AttemptId = u32;

/// Position of an endpoint in the pool.
pub type EndpointId = u32;

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The request was accepted.
    Begin,
    /// Answer to [`Action::Choose`].
    Chosen {
        /// The endpoint chosen.
        endpoint: EndpointId,
    },
    /// Answer to [`Action::Choose`]: none can take work now.
    Unavailable {
        /// Whether endpoints exist but are full.
        full: bool,
        /// When one may be available, if known.
        until: Option<Instant>,
    },
    /// Answer to [`Action::Wake`].
    Woken,
    /// Answer to [`Action::Transfer`].
    Transferred {
        /// The attempt number given with the action.
        attempt: AttemptId,
        /// Whether the target now holds the stream's whole state.
        complete: bool,
    },
    /// The endpoint accepted the attempt and its answer began.
    Head {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A chunk of the answer arrived.
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
        /// What is known of it.
        outcome: Outcome,
    },
    /// The request is held to end the endpoints that run it: an attempt that runs is taken back, and no other
    /// begins.
    Condemned,
    /// The endpoint gave a final answer that is not a stream, such as a refusal of the request's
    /// content.
    Answered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An endpoint is going to be taken back.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// When it is gone.
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

/// How an attempt begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Start {
    /// From the beginning.
    Fresh,
    /// The engine holds the state: go on after this many tokens.
    Resume {
        /// Tokens that the caller has.
        after: TokenOffset,
    },
    /// The engine does not hold the state: compute it again from the prompt and the text sent.
    Continue {
        /// Tokens that the caller has.
        after: TokenOffset,
    },
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Choose an endpoint; answer with [`Event::Chosen`] or [`Event::Unavailable`].
    Choose,
    /// Start an attempt.
    Start {
        /// Its number.
        attempt: AttemptId,
        /// Where.
        endpoint: EndpointId,
        /// How it begins.
        how: Start,
    },
    /// Let `to` fetch the stream's state from `from`; answer with [`Event::Transferred`].
    Transfer {
        /// The attempt that will follow.
        attempt: AttemptId,
        /// Where the state is.
        from: EndpointId,
        /// Where it should be.
        to: EndpointId,
        /// Tokens that the caller has.
        tokens: TokenOffset,
    },
    /// Deliver [`Event::Woken`] at this time.
    Wake {
        /// When.
        at: Instant,
    },
    /// Close the connection of an attempt; the engine keeps the state for a while.
    Detach {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the connection of an attempt and tell the engine to free what it holds.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where it ran.
        endpoint: EndpointId,
    },
    /// Free the state that a moved stream left behind.
    Release {
        /// Where it ran.
        endpoint: EndpointId,
    },
    /// Send a chunk to the caller.
    Emit {
        /// The chunk.
        chunk: Chunk,
    },
    /// The answer is whole.
    Complete,
    /// Tell the caller that the request failed.
    Fail {
        /// What to tell.
        failure: Failure,
    },
}

//! What may be done for a request, and what was done.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// What an answer looks like, and so how it can survive its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    /// In one piece: only a whole one is of use.
    Buffered,
    /// A stream of tokens whose state can be moved, or computed again from the text so far, so
    /// that going on elsewhere is the same run.
    TokenStream,
    /// A stream of numbered events. Going on elsewhere is another run, for which the caller's
    /// request is sent again with the number of the last event.
    EventStream {
        /// Whether that is allowed.
        resumable: bool,
    },
}

/// When a request whose answer has not begun waits for an endpoint to take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitPolicy {
    /// Up to this long, whatever is known.
    AtMost(Duration),
    /// Only while one is expected to take work again by this time; otherwise the request is refused
    /// at once, since waiting would only delay its caller.
    IfExpectedBy {
        /// Latest time at which the wait is still of use.
        deadline: Instant,
    },
}

/// What may be done for a request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What its answer looks like.
    pub form: AnswerForm,
    /// Whether the caller asked for usage figures at the end of the stream.
    pub wants_usage: bool,
    /// Most endpoints that the request may reach before its answer begins; for a stream of events,
    /// over its whole life.
    pub max_attempts: u32,
    /// When the caller is given up.
    pub deadline: Instant,
    /// When to wait for an endpoint before the answer begins.
    pub wait_policy: WaitPolicy,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Seed of the jitter.
    pub seed: u64,
}

/// How often and at what cost a request moved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Attempts made.
    pub attempts: u32,
    /// Attempts that were retries before the answer began.
    pub retries: u32,
    /// Attempts that resumed at an engine that held the state.
    pub resumed: u32,
    /// Attempts that resumed after a KV transfer.
    pub transferred: u32,
    /// Attempts that computed the state again.
    pub recomputed: u32,
    /// Tokens that these attempts computed again, by this box's estimate.
    pub recomputed_tokens: u64,
}

//! The rules for relaying one request, and counts of its attempts.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Form of a response, which determines how it can survive the loss of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerForm {
    /// In one piece: a partial response is of no use.
    Buffered,
    /// A stream of tokens whose state can be moved, or recomputed from the text sent so far, so
    /// that another endpoint continues the same run.
    TokenStream,
    /// A stream of numbered events. Resuming it at another endpoint is another run, for which the
    /// caller's request is sent again with the number of the last event.
    EventStream {
        /// Whether the stream may be resumed.
        resumable: bool,
    },
}

/// When a request whose response has not begun waits for an available endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitPolicy {
    /// It waits for at most this long, whatever is known about endpoints.
    AtMost(Duration),
    /// It waits only while an endpoint is expected to be available by the deadline. Otherwise it is
    /// refused at once, since waiting would only delay its caller.
    IfExpectedBy {
        /// Latest time at which an available endpoint is still of use.
        deadline: Instant,
    },
}

/// The rules for relaying one request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The form of its response.
    pub form: AnswerForm,
    /// Whether the caller requested usage figures at the end of the stream.
    pub wants_usage: bool,
    /// Maximum number of attempts that reach an endpoint before the response begins; for a stream
    /// of events, over its whole duration.
    pub max_attempts: u32,
    /// When the request fails if it isn't complete.
    pub deadline: Instant,
    /// When to wait for an endpoint before the response begins.
    pub wait_policy: WaitPolicy,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the response.
    pub max_tokens: u32,
    /// Seed of the back-off jitter.
    pub seed: u64,
}

/// Counts of the attempts of one request and of the tokens recomputed for them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Attempts made.
    pub attempts: u32,
    /// Attempts that were retries before the response began.
    pub retries: u32,
    /// Attempts that resumed at an engine that held the state.
    pub resumed: u32,
    /// Attempts that resumed after a KV transfer.
    pub transferred: u32,
    /// Attempts that recomputed the state.
    pub recomputed: u32,
    /// Tokens that these attempts recomputed, as estimated by this box.
    pub recomputed_tokens: u64,
}

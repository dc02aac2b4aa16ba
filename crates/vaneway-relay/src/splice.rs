//! Joins the chunks of several attempts into one response.
//!
//! Every attempt begins at a known token offset and its chunks follow in order. The caller must
//! receive each token once, the role, finish and usage chunks once, and all chunks with the
//! creation time of the first.

use crate::Chunk;
use crate::TokenOffset;

/// Decision about a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkDecision {
    /// Send it to the caller.
    Emit(Chunk),
    /// Drop it, since the caller has it already.
    Drop,
    /// Tokens are missing between those that the caller has and this chunk, or the chunk contains
    /// both old and new tokens: the attempt can't be continued.
    Gap,
}

/// The part of the response that the caller has.
#[derive(Debug, Clone, Default)]
pub struct Splice {
    sent_tokens: TokenOffset,
    text: String,
    created: Option<u64>,
    position: TokenOffset,
    has_sent: bool,
    is_finished: bool,
    usage_sent: bool,
}

impl Splice {
    /// A response of which nothing was sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tokens that the caller has.
    pub fn sent_tokens(&self) -> TokenOffset {
        self.sent_tokens
    }

    /// Text that the caller has.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Whether any chunk was sent.
    pub fn has_sent(&self) -> bool {
        self.has_sent
    }

    /// Whether the chunk with the finish reason was sent.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Starts a new attempt, which begins after the first `base` tokens.
    pub fn begin(&mut self, base: TokenOffset) {
        self.position = base;
    }

    /// Decides what to do with the next chunk of the current attempt.
    pub fn push(&mut self, mut chunk: Chunk) -> ChunkDecision {
        if self.position > self.sent_tokens {
            return ChunkDecision::Gap;
        }
        let should_send = if chunk.usage_only {
            Some(!std::mem::replace(&mut self.usage_sent, true))
        } else if chunk.text.is_empty() && !chunk.finishes {
            Some(!self.has_sent)
        } else {
            self.push_tokens(&chunk)
        };
        match should_send {
            None => ChunkDecision::Gap,
            Some(false) => ChunkDecision::Drop,
            Some(true) => {
                self.prepare(&mut chunk);
                ChunkDecision::Emit(chunk)
            }
        }
    }

    /// Whether to send a chunk with text or a finish reason; none if there is a gap.
    fn push_tokens(&mut self, chunk: &Chunk) -> Option<bool> {
        let counted = TokenOffset::from(!chunk.text.is_empty());
        let end = chunk.offset.unwrap_or(self.position + counted);
        let start = std::mem::replace(&mut self.position, end);
        if end < start {
            return None;
        }
        if end > self.sent_tokens {
            if start != self.sent_tokens || chunk.text.is_empty() {
                return None;
            }
            self.sent_tokens = end;
            self.text.push_str(&chunk.text);
            self.is_finished |= chunk.finishes;
            return Some(true);
        }
        if chunk.finishes && end == self.sent_tokens && !self.is_finished {
            // The tokens of this chunk were sent before but the finish reason was not: only a
            // chunk without text can be sent now.
            self.is_finished = chunk.text.is_empty();
            return self.is_finished.then_some(true);
        }
        Some(false)
    }

    fn prepare(&mut self, chunk: &mut Chunk) {
        self.has_sent = true;
        match (self.created, chunk.created) {
            (Some(created), Some(_)) => chunk.set_created(created),
            (None, created) => self.created = created,
            (Some(_), None) => {}
        }
    }
}

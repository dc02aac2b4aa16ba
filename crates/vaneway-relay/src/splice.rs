//! Joins the chunks of several attempts into one answer.
//!
//! Every attempt begins at a known token offset and its chunks follow in order. The caller must
//! see each token once, the role, finish and usage chunks once, and all chunks with the creation
//! time of the first.

use crate::Chunk;
use crate::TokenOffset;

/// What to do with a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to the caller.
    Emit(Chunk),
    /// The caller has it already.
    Drop,
    /// Tokens are missing between what the caller has and this chunk, or the chunk holds both
    /// old and new tokens: the attempt is of no use.
    Gap,
}

/// What the caller has of the answer.
#[derive(Debug, Clone, Default)]
pub struct Splice {
    sent: TokenOffset,
    text: String,
    created: Option<u64>,
    position: TokenOffset,
    opened: bool,
    finished: bool,
    usage_sent: bool,
}

impl Splice {
    /// An answer of which nothing was sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tokens that the caller has.
    pub fn sent(&self) -> TokenOffset {
        self.sent
    }

    /// Text that the caller has.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Whether any chunk was sent.
    pub fn opened(&self) -> bool {
        self.opened
    }

    /// Whether the chunk that says why the answer ended was sent.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// A new attempt begins after the first `base` tokens.
    pub fn begin(&mut self, base: TokenOffset) {
        self.position = base;
    }

    /// Judges the next chunk of the current attempt.
    pub fn push(&mut self, mut chunk: Chunk) -> Verdict {
        if self.position > self.sent {
            return Verdict::Gap;
        }
        let verdict = if chunk.usage_only {
            Some(!std::mem::replace(&mut self.usage_sent, true))
        } else if chunk.text.is_empty() && !chunk.finishes {
            Some(!self.opened)
        } else {
            self.tokens(&chunk)
        };
        match verdict {
            None => Verdict::Gap,
            Some(false) => Verdict::Drop,
            Some(true) => {
                self.emit(&mut chunk);
                Verdict::Emit(chunk)
            }
        }
    }

    /// Judges a chunk with text or a finish reason; none means a gap.
    fn tokens(&mut self, chunk: &Chunk) -> Option<bool> {
        let counted = TokenOffset::from(!chunk.text.is_empty());
        let end = chunk.offset.unwrap_or(self.position + counted);
        let start = std::mem::replace(&mut self.position, end);
        if end < start {
            return None;
        }
        if end > self.sent {
            if start != self.sent || chunk.text.is_empty() {
                return None;
            }
            self.sent = end;
            self.text.push_str(&chunk.text);
            self.finished |= chunk.finishes;
            return Some(true);
        }
        if chunk.finishes && end == self.sent && !self.finished {
            // The tokens of this chunk were sent before, the finish was not: only a chunk
            // without text can be sent now.
            self.finished = chunk.text.is_empty();
            return self.finished.then_some(true);
        }
        Some(false)
    }

    fn emit(&mut self, chunk: &mut Chunk) {
        self.opened = true;
        match (self.created, chunk.created) {
            (Some(created), Some(_)) => chunk.set_created(created),
            (None, created) => self.created = created,
            (Some(_), None) => {}
        }
    }
}

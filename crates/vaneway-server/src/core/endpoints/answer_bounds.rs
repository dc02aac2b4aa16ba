//! How many bytes an answer may have, without network or clock.
//!
//! Why: an endpoint in trouble may send bytes without end, and a box has readers of several kinds:
//! plain answers, event streams, engines' streams, control calls. All read through one connection type,
//! which asks an [`AnswerMeter`] at each piece of data. Load answered: 100 answers without end at once
//! at a box with 160 MB, beside proper ones, of which none is cut.

use std::fmt;
use std::rc::Rc;

use crate::core::settings::Limits;
use crate::util::held::Held;
use crate::util::held::HeldBytes;
use crate::util::outbox::QueueLimits;

/// Tokens that a stream may have if its request names no maximum: as many as present engines write at
/// most, several times over.
const UNSTATED_TOKENS: u32 = 32_768;

/// Bounds of answers, for all connections of a box.
#[derive(Debug, Clone)]
pub struct AnswerBounds {
    /// Maximum bytes up to the end of the head.
    pub head_bytes: usize,
    /// Maximum bytes of one event.
    pub event_bytes: usize,
    /// Maximum bytes of a stream beside those for its tokens.
    pub stream_bytes: usize,
    /// Maximum bytes of a stream for each token.
    pub token_bytes: usize,
    /// Maximum bytes of any body.
    pub body_bytes: u64,
    /// Bounds of the queues to callers.
    pub queue: QueueLimits,
}

impl AnswerBounds {
    /// The bounds that settings state.
    pub fn of(limits: &Limits) -> Rc<Self> {
        Rc::new(Self {
            head_bytes: limits.answer_head_bytes,
            event_bytes: limits.event_bytes,
            stream_bytes: limits.answer_bytes,
            token_bytes: limits.token_bytes,
            body_bytes: limits.long_answer_bytes,
            queue: QueueLimits {
                bytes: limits.stream_bytes,
                held: HeldBytes::new(limits.held_bytes),
            },
        })
    }

    /// A meter for one body.
    pub fn meter(&self) -> AnswerMeter {
        AnswerMeter { left: self.body_bytes, max_held: None, held: self.queue.held.holder() }
    }

    /// A meter for a stream of events: `tokens` were asked for, or no maximum was stated.
    pub fn stream_meter(&self, tokens: Option<u32>) -> AnswerMeter {
        let tokens = u64::from(tokens.unwrap_or(UNSTATED_TOKENS));
        let stated = tokens * self.token_bytes as u64 + self.stream_bytes as u64;
        AnswerMeter {
            left: stated.min(self.body_bytes),
            max_held: Some(self.event_bytes),
            held: self.queue.held.holder(),
        }
    }

    /// A meter for a stream of events whose length the request doesn't show.
    pub fn open_stream_meter(&self) -> AnswerMeter {
        AnswerMeter { max_held: Some(self.event_bytes), ..self.meter() }
    }
}

impl Default for AnswerBounds {
    /// The bounds of tools and of control boxes, whose readers have constants of their own.
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            event_bytes: 256 << 10,
            stream_bytes: 1 << 20,
            token_bytes: 1 << 10,
            body_bytes: 1 << 30,
            queue: QueueLimits { bytes: 64 << 10, held: HeldBytes::new(16 << 20) },
        }
    }
}

/// Which bound an answer exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Excess {
    /// The bytes of its body.
    Body,
    /// The bytes of one event.
    Event,
    /// Its share of the bytes that the box may hold.
    Share,
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Body => "the answer is longer than its request allows",
            Self::Event => "an event of the answer is longer than the limit",
            Self::Share => "the answer takes more than its share of the box's memory",
        })
    }
}

impl std::error::Error for Excess {}

/// Measures one answer's body.
#[derive(Debug)]
pub struct AnswerMeter {
    /// Bytes that may still come.
    left: u64,
    /// Maximum bytes that its reader may hold; none if the reader sees to that.
    max_held: Option<usize>,
    /// What its reader holds.
    held: Held,
}

impl AnswerMeter {
    /// Adds a piece of data that the reader gets.
    ///
    /// # Errors
    ///
    /// The bound that it exceeds.
    pub fn add(&mut self, bytes: usize) -> Result<(), Excess> {
        self.left = self.left.checked_sub(bytes as u64).ok_or(Excess::Body)?;
        self.held.add(bytes);
        match self.max_held {
            Some(max) if self.held.bytes() > max => Err(Excess::Event),
            Some(_) if self.held.is_over_share() => Err(Excess::Share),
            _ => Ok(()),
        }
    }

    /// Notes that the reader has passed on what it held.
    pub fn passed_on(&mut self) {
        self.held.set(0);
    }

    /// Whether the reader holds more than its share.
    pub fn is_over_share(&self) -> bool {
        self.held.is_over_share()
    }
}

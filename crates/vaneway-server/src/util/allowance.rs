//! How many bytes a socket may still read without any data of an answer among them.
//!
//! Why: an endpoint in trouble may send heads, chunk sizes or trailers without end. The parser
//! consumes them inside its own loops, so the bound is applied where all bytes pass: at the read of
//! the socket. Data flow: the user of a connection grants bytes for a head; each piece of data that
//! the parser yields grants some more; each read takes what it received. Without an allowance left, a
//! read fails with [`Exhausted`].

use std::cell::Cell;
use std::fmt;
use std::io;

/// Maximum bytes of framing (chunk sizes, their extensions, trailers) before or between data.
pub const FRAMING_BYTES: usize = 32 << 10;

/// Bytes of framing that one byte of data may have: a chunk of its own with a padded size takes a
/// dozen or so.
const FRAMING_PER_DATA_BYTE: usize = 64;

/// Error of a read without an allowance left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the peer sent too many bytes that are no data of an answer")
    }
}

impl std::error::Error for Exhausted {}

impl From<Exhausted> for io::Error {
    fn from(exhausted: Exhausted) -> Self {
        Self::new(io::ErrorKind::InvalidData, exhausted)
    }
}

/// The bytes that may still be read.
#[derive(Debug)]
pub struct Allowance(Cell<usize>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Cell::new(FRAMING_BYTES))
    }
}

impl Allowance {
    /// Grants `bytes` for the next head, whatever was left.
    pub fn grant_head(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Grants the framing of a body whose head has arrived.
    pub fn grant_body(&self) {
        self.0.set(FRAMING_BYTES);
    }

    /// Grants the framing that follows `data` bytes of data.
    pub fn grant_after(&self, data: usize) {
        let more = data.saturating_mul(FRAMING_PER_DATA_BYTE);
        self.0.set(self.0.get().saturating_add(more).min(FRAMING_BYTES));
    }

    /// The bytes that may be read now.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there are none.
    pub fn left(&self) -> Result<usize, Exhausted> {
        match self.0.get() {
            0 => Err(Exhausted),
            left => Ok(left),
        }
    }

    /// Takes the bytes of one read.
    pub fn take(&self, read: usize) {
        self.0.set(self.0.get().saturating_sub(read));
    }
}

//! Durable log of length and checksum framed records.
//!
//! Why: state that must survive is a sequence of records that are appended and synced. After a
//! crash the end of the file may hold a part of the last write; anywhere else a wrong byte means
//! that something which was promised as durable is damaged, and going on would be a lie.
//!
//! The format of a record: the payload's length, a checksum of that length, a checksum of the
//! payload (three little-endian `u32`, CRC-32), the payload. The length has a checksum of its own
//! so that a damaged length in the middle is not taken for a torn end, which would cut off good
//! records behind it.
//!
//! This crate turns records into bytes and back and decides what a file's bytes mean; whoever
//! owns the file does the reading, writing and syncing.
//!
//! ```
//! use vaneway_log::{append, recover};
//!
//! let mut file = Vec::new();
//! append(&mut file, b"first");
//! append(&mut file, b"second");
//! file.truncate(file.len() - 1); // a torn write
//! let recovered = recover(&file)?;
//! assert_eq!(recovered.records, [b"first"]);
//! assert_eq!(recovered.torn_bytes, file.len() - recovered.valid_bytes);
//! # Ok::<(), vaneway_log::CorruptRecord>(())
//! ```

use std::fmt;

/// Bytes before each payload.
pub const HEADER_BYTES: usize = 12;

/// Appends one record to `file`.
///
/// # Panics
///
/// If the payload is 4 GiB or longer.
pub fn append(file: &mut Vec<u8>, payload: &[u8]) {
    let length = u32::try_from(payload.len()).expect("a record is shorter than 4 GiB");
    let length = length.to_le_bytes();
    file.extend_from_slice(&length);
    file.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    file.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    file.extend_from_slice(payload);
}

/// One record, for a file that holds no other yet or to be appended as it is.
///
/// # Panics
///
/// As [`append`].
pub fn encode_record(payload: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(HEADER_BYTES + payload.len());
    append(&mut framed, payload);
    framed
}

/// What a file holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered<'a> {
    /// The payloads, in order.
    pub records: Vec<&'a [u8]>,
    /// Bytes up to the end of the last whole record: cut the file here.
    pub valid_bytes: usize,
    /// Bytes of a torn write behind that.
    pub torn_bytes: usize,
}

/// A record that was durable is damaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CorruptRecord {
    /// Where in the file the damaged record begins.
    pub offset: usize,
    /// What is wrong.
    pub reason: &'static str,
}

impl fmt::Display for CorruptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the record at offset {} is damaged: {}", self.offset, self.reason)
    }
}

impl std::error::Error for CorruptRecord {}

/// Reads the bytes of a file.
///
/// # Errors
///
/// [`CorruptRecord`] if a record other than a torn last one is damaged.
pub fn recover(file: &[u8]) -> Result<Recovered<'_>, CorruptRecord> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < file.len() {
        match next(file, offset)? {
            Some(payload) => {
                offset += HEADER_BYTES + payload.len();
                records.push(payload);
            }
            None => break,
        }
    }
    Ok(Recovered { records, valid_bytes: offset, torn_bytes: file.len() - offset })
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

/// The record at `offset`, or none if the rest is a torn write.
fn next(file: &[u8], offset: usize) -> Result<Option<&[u8]>, CorruptRecord> {
    let rest = &file[offset..];
    if rest.len() < HEADER_BYTES {
        return Ok(None);
    }
    // A file that grew before its data arrived ends in zeros.
    let unwritten = |bytes: &[u8]| bytes.iter().all(|byte| *byte == 0);
    if crc32fast::hash(&rest[..4]) != word(rest, 4) {
        if unwritten(rest) {
            return Ok(None);
        }
        return Err(CorruptRecord { offset, reason: "its length does not match its checksum" });
    }
    let end = HEADER_BYTES + word(rest, 0) as usize;
    let Some(payload) = rest.get(HEADER_BYTES..end) else { return Ok(None) };
    if crc32fast::hash(payload) != word(rest, 8) {
        if unwritten(&rest[end..]) {
            return Ok(None);
        }
        return Err(CorruptRecord { offset, reason: "its payload does not match its checksum" });
    }
    Ok(Some(payload))
}

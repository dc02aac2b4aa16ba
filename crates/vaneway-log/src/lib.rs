//! Append-only log of length-prefixed, checksummed records.
//!
//! Durable state is a sequence of records that are appended to a file and synced. After a crash,
//! the file may end in a part of the last write (a torn write), which is discarded. A wrong byte
//! anywhere else means that a record which was acknowledged as durable is corrupt, so recovery
//! fails.
//!
//! A record consists of the payload's length, a checksum of that length, a checksum of the payload
//! (three little-endian `u32`, the checksums CRC-32) and the payload. The length has a checksum of
//! its own so that a corrupt length in the middle of the file is not taken for a torn write, which
//! would discard valid records after it.
//!
//! This crate encodes and decodes records and does no I/O; the owner of the file reads, writes and
//! syncs it.
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

/// Length of the header before each payload, in bytes.
pub const HEADER_BYTES: usize = 12;

/// Encodes `payload` as one record at the end of `file`.
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

/// Encodes `payload` as one record.
///
/// # Panics
///
/// As [`append`].
pub fn encode_record(payload: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(HEADER_BYTES + payload.len());
    append(&mut framed, payload);
    framed
}

/// The decoded contents of a log file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered<'a> {
    /// The payloads, in order.
    pub records: Vec<&'a [u8]>,
    /// Bytes up to the end of the last complete record; truncate the file to this length before
    /// appending to it.
    pub valid_bytes: usize,
    /// Bytes of a torn write after that.
    pub torn_bytes: usize,
}

/// Error for a corrupt record that can't be the result of a torn write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CorruptRecord {
    /// Offset in the file at which the record begins, in bytes.
    pub offset: usize,
    /// What is wrong with the record.
    pub reason: &'static str,
}

impl fmt::Display for CorruptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the record at offset {} is damaged: {}", self.offset, self.reason)
    }
}

impl std::error::Error for CorruptRecord {}

/// Decodes the contents of a log file.
///
/// # Errors
///
/// [`CorruptRecord`] if a record is corrupt and is not a torn write at the end of the file.
pub fn recover(file: &[u8]) -> Result<Recovered<'_>, CorruptRecord> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < file.len() {
        match decode_record(file, offset)? {
            Some(payload) => {
                offset += HEADER_BYTES + payload.len();
                records.push(payload);
            }
            None => break,
        }
    }
    Ok(Recovered { records, valid_bytes: offset, torn_bytes: file.len() - offset })
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

/// Returns the payload of the record at `offset`, or `None` if the rest of the file is a torn
/// write.
fn decode_record(file: &[u8], offset: usize) -> Result<Option<&[u8]>, CorruptRecord> {
    let rest = &file[offset..];
    if rest.len() < HEADER_BYTES {
        return Ok(None);
    }
    // After a crash, a file whose length was extended before its data was written ends in zeros.
    let all_zeros = |bytes: &[u8]| bytes.iter().all(|byte| *byte == 0);
    if crc32fast::hash(&rest[..4]) != read_u32(rest, 4) {
        if all_zeros(rest) {
            return Ok(None);
        }
        return Err(CorruptRecord { offset, reason: "its length does not match its checksum" });
    }
    let end = HEADER_BYTES + read_u32(rest, 0) as usize;
    let Some(payload) = rest.get(HEADER_BYTES..end) else { return Ok(None) };
    if crc32fast::hash(payload) != read_u32(rest, 8) {
        if all_zeros(&rest[end..]) {
            return Ok(None);
        }
        return Err(CorruptRecord { offset, reason: "its payload does not match its checksum" });
    }
    Ok(Some(payload))
}

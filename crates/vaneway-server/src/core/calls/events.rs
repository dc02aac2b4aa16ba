//! Cuts the body of an event stream into whole events, byte for byte.
//!
//! Why not a parser of server-sent events: the caller must get the endpoint's bytes unchanged, and
//! only whole events may be passed on, so that a stream that breaks off in the middle of one can
//! go on elsewhere. Only the number of each event is read.

use bytes::Bytes;
use bytes::BytesMut;

/// One event as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its number, if it has one.
    pub number: Option<u32>,
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub struct EventCutter {
    held: BytesMut,
    /// How far `held` was searched.
    searched: usize,
}

impl EventCutter {
    /// Takes the next bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.held.extend_from_slice(data);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.end_of_event()?;
        let bytes = self.held.split_to(end).freeze();
        self.searched = 0;
        Some(RawEvent { number: number(&bytes), bytes })
    }

    /// What is left when the body has ended.
    pub fn rest(self) -> Bytes {
        self.held.freeze()
    }

    /// Where the first event ends: behind an empty line.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut line = self.searched;
        while let Some(length) = self.held[line..].iter().position(|byte| *byte == b'\n') {
            let next = line + length + 1;
            let empty = matches!(&self.held[line..next], b"\n" | b"\r\n");
            if empty && line > 0 {
                return Some(next);
            }
            line = next;
        }
        self.searched = line;
        None
    }
}

fn number(event: &[u8]) -> Option<u32> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

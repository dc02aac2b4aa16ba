//! Splits the body of an event stream into complete events, byte for byte.
//!
//! This is not a parser of server-sent events: the caller must receive the endpoint's bytes
//! unchanged, and only complete events may be forwarded, so that a stream that is interrupted in
//! the middle of an event can be resumed at another endpoint. Only the number of each event is
//! parsed.

use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;

/// The media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Request header with the id of the event after which a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Whether a response is an event stream, as far as its headers show: one without a `Content-Type` is
/// taken for what its request asked for.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_TYPE) || declares_event_stream(headers)
}

/// Whether the headers of a response say that it is an event stream.
pub fn declares_event_stream(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(CONTENT_TYPE) else { return false };
    let media_type = content_type.to_str().unwrap_or_default().split(';').next();
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// One event as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its number, if it has one.
    pub number: Option<u32>,
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
}

impl RawEvent {
    /// Whether it is an event, not only comments and empty lines.
    pub fn is_event(&self) -> bool {
        has_event(&self.bytes)
    }
}

/// Buffers the bytes of a stream that have not been returned as events yet. Comments are returned with
/// the event that follows them: alone, they would count as an event of the stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Offset in `buffer` up to which no event ends.
    scanned: usize,
    /// Offset in `buffer` up to which there are only comments and empty lines.
    commented: usize,
}

impl EventSplitter {
    /// Appends the next bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.end_of_event()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        self.commented = 0;
        Some(RawEvent { number: event_number(&bytes), bytes })
    }

    /// The bytes after the last event when the body has ended; none if it ended inside an event.
    pub fn into_remainder(self) -> Option<Bytes> {
        let ended_inside_event = is_inside_event(&self.buffer);
        (!ended_inside_event).then(|| self.buffer.freeze())
    }

    /// Offset of the end of the first event, which is after an empty line.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut line = self.scanned;
        while let Some(length) = self.buffer[line..].iter().position(|byte| *byte == b'\n') {
            let next = line + length + 1;
            let empty = matches!(&self.buffer[line..next], b"\n" | b"\r\n");
            if empty && has_event(&self.buffer[self.commented..next]) {
                return Some(next);
            }
            if empty {
                self.commented = next;
            }
            line = next;
        }
        self.scanned = line;
        None
    }
}

/// Whether whole lines contain more than comments and empty lines.
pub fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\r' | b'\n'));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Whether bytes end inside an event that begins in them. Lines may end with a carriage return, a
/// newline or both, and comments belong to no event.
pub fn is_inside_event(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    let mut is_inside = false;
    while let Some(length) = rest.iter().position(|byte| matches!(byte, b'\r' | b'\n')) {
        let (line, end) = rest.split_at(length);
        is_inside = !line.is_empty() && (is_inside || !line.starts_with(b":"));
        rest = end.strip_prefix(b"\r\n").unwrap_or(&end[1..]);
    }
    is_inside || !rest.is_empty()
}

fn event_number(event: &[u8]) -> Option<u32> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

//! The order in which streams expire.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::StreamKey;
use crate::timestamp::Timestamp;

/// Streams in the order of the seconds in which they were recorded.
///
/// A stream that is renewed stays where it is until it comes first. Each stream is in the order
/// only once, and neither recording nor renewing one takes longer the more there are.
#[derive(Debug, Clone, Default)]
pub struct RecordOrder {
    /// Streams by second; none of the queues is empty.
    by_second: BTreeMap<u32, VecDeque<StreamKey>>,
}

impl RecordOrder {
    /// Adds a stream that isn't in the order.
    pub fn push(&mut self, recorded_at: Timestamp, key: StreamKey) {
        self.by_second.entry(recorded_at.second()).or_default().push_back(key);
    }

    /// The first second that has streams.
    pub fn first_second(&self) -> Option<u32> {
        self.by_second.first_key_value().map(|(second, _)| *second)
    }

    /// Takes the first stream of the first second out of the order.
    pub fn pop_first(&mut self) -> Option<(u32, StreamKey)> {
        let mut first = self.by_second.first_entry()?;
        let second = *first.key();
        let key = first.get_mut().pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        key.map(|key| (second, key))
    }

    /// All streams.
    pub fn keys(&self) -> impl Iterator<Item = &StreamKey> {
        self.by_second.values().flatten()
    }
}

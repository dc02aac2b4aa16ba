//! The retained streams by key.

use std::collections::HashMap;

use crate::Stream;
use crate::StreamKey;

/// Number of hash tables. A table moves all its entries when it grows, which must not take long.
const TABLES: usize = 64;

/// Streams by key, in many small hash tables.
#[derive(Debug, Clone)]
pub struct StreamTable {
    tables: Vec<HashMap<StreamKey, Stream>>,
    len: usize,
}

impl Default for StreamTable {
    fn default() -> Self {
        Self { tables: vec![HashMap::new(); TABLES], len: 0 }
    }
}

impl StreamTable {
    /// Number of streams.
    pub fn len(&self) -> usize {
        self.len
    }

    /// The stream with a key.
    pub fn get(&self, key: StreamKey) -> Option<&Stream> {
        self.tables[index(key)].get(&key)
    }

    /// The stream with a key, to be changed.
    pub fn get_mut(&mut self, key: StreamKey) -> Option<&mut Stream> {
        self.tables[index(key)].get_mut(&key)
    }

    /// Inserts a stream, in place of one with the same key.
    pub fn insert(&mut self, key: StreamKey, stream: Stream) {
        let replaced = self.tables[index(key)].insert(key, stream);
        self.len += usize::from(replaced.is_none());
    }

    /// Removes the stream with a key.
    pub fn remove(&mut self, key: StreamKey) {
        let removed = self.tables[index(key)].remove(&key);
        self.len -= usize::from(removed.is_some());
    }
}

/// Returns the table of a key. Keys are hashes, so their last bits spread them evenly.
fn index(key: StreamKey) -> usize {
    key as usize % TABLES
}

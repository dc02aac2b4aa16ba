//! A bounded cache of prompt prefixes, whose events are published late and with gaps.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

/// Bytes of a prompt in one block of 16 tokens.
const BLOCK_BYTES: usize = 64;

/// Tokens in one block.
const BLOCK_TOKENS: u32 = 16;

/// Delay after which events are published.
const EVENT_LAG: Duration = Duration::from_millis(100);

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 4_096;

#[derive(Debug)]
struct Event {
    number: u64,
    at: Instant,
    /// Whether the block was stored; otherwise it was evicted.
    stored: bool,
    block: u64,
}

/// A cache of blocks, each identified by the hash of the prompt up to the block's end.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Value of `uses` at the last use of each block, by hash.
    blocks: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<Event>,
    /// Number of the last event, lost ones included.
    number: u64,
    /// One of this many events is lost; none if zero.
    gap: u64,
    /// Offset that determines which events are lost.
    seed: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks that loses one of `gap` events, or none if `gap` is
    /// zero.
    pub fn new(capacity: usize, gap: u64, seed: u64) -> Self {
        let (blocks, events) = (BTreeMap::new(), VecDeque::new());
        Self { capacity, blocks, uses: 0, events, number: 0, gap, seed }
    }

    fn hashes(content: &str) -> impl Iterator<Item = u64> {
        let mut hasher = DefaultHasher::new();
        content.as_bytes().chunks_exact(BLOCK_BYTES).map(move |block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
    }

    /// Number of the prompt's first tokens that are cached; marks their blocks as used.
    pub fn cached_tokens(&mut self, content: &str) -> u32 {
        self.uses += 1;
        let mut tokens = 0;
        for hash in Self::hashes(content) {
            let Some(used) = self.blocks.get_mut(&hash) else { break };
            *used = self.uses;
            tokens += BLOCK_TOKENS;
        }
        tokens
    }

    /// Stores a prompt and evicts the least recently used blocks beyond the capacity.
    pub fn store(&mut self, content: &str) {
        self.uses += 1;
        for hash in Self::hashes(content) {
            if self.blocks.insert(hash, self.uses).is_none() {
                self.publish(true, hash);
            }
        }
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used).map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { break };
            self.blocks.remove(&oldest);
            self.publish(false, oldest);
        }
    }

    fn publish(&mut self, stored: bool, block: u64) {
        self.number += 1;
        if self.gap > 0 && (self.number + self.seed).is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = Event { number: self.number, at: Instant::now(), stored, block };
        self.events.push_back(event);
    }

    /// Published events with a number above `after`.
    pub fn events(&self, after: u64) -> Value {
        let published = self.events.iter().filter(|event| event.at.elapsed() >= EVENT_LAG);
        let listed: Vec<_> = published
            .filter(|event| event.number > after)
            .map(|event| {
                let kind = if event.stored { "stored" } else { "removed" };
                json!({ "number": event.number, "kind": kind, "block": event.block })
            })
            .collect();
        json!({ "events": listed })
    }
}

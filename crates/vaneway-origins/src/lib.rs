//! Remembers at which service and software version each stream began, over all boxes, without I/O.
//!
//! Why: what two software versions of a service write doesn't fit together, so a stream may be
//! resumed only at the version that began it. The caller may resume it through another entry box,
//! which has to find that version, also when the box that began the stream is gone.
//!
//! Data flow: an entry box records in its [`Origins`] where each stream began ([`Origins::record`])
//! and sends what is new to all control boxes in batches ([`Origins::take_updates`]). It sends
//! everything that it retains to a control box to which it connects ([`Origins::all`]). A control
//! box merges what it receives ([`Origins::merge`]), and any box can look up an origin
//! ([`Origins::find`]).
//!
//! What holds:
//!
//! - An origin that is found is one that was recorded for the stream. Two different origins of the
//!   same stream contradict each other: from then on none is found, at each box that receives both,
//!   in whatever order. This also holds for boxes that receive the contradiction only. A doubt
//!   ([`Origins::doubt`]) is a contradiction by itself, whatever was recorded or forgotten before.
//! - Streams can be forgotten at any time; the caller then can't resume its stream. They are
//!   forgotten [`ORIGIN_RETENTION`] after they were last recorded, and the oldest are forgotten
//!   first if there are more than [`MAX_STREAMS`].
//! - Records carry their age, not a time, so boxes need no common clock. The time for which a
//!   message travels isn't part of the age. Ages are rounded up, so that sending a record back and
//!   forth doesn't extend its retention by rounding.
//! - Records may be lost, repeated and reordered.

mod origin_table;
mod record_order;
mod stream_table;
mod timestamp;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::origin_table::KnownOrigin;
use crate::origin_table::OriginTable;
use crate::record_order::RecordOrder;
use crate::stream_table::StreamTable;
use crate::timestamp::Timestamp;

/// How long an origin is retained after the stream was last recorded.
pub const ORIGIN_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of streams that a box retains.
pub const MAX_STREAMS: usize = 500_000;

/// Maximum number of streams that [`Origins::take_updates`] returns at once.
pub const MAX_UPDATE_STREAMS: usize = 10_000;

/// Number of expired streams that are removed for each one that is recorded or merged: more than
/// one, so that the expired ones run out.
const REMOVALS_PER_RECORD: usize = 2;

/// Number of expired streams that are removed whenever updates are taken.
const REMOVALS_PER_UPDATE: usize = 1_000;

/// Identifies a stream over the attempts of its caller: a hash of the id of the request that brought
/// its first event.
pub type StreamKey = u64;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: String,
    /// Version of the software of the endpoint that sent the first event.
    pub software: String,
}

/// Streams that began at one origin, as boxes send them to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The origin; empty if the streams are contradictory.
    pub origin: Origin,
    /// The streams.
    pub streams: Vec<RecordedStream>,
}

/// One stream of an [`OriginRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedStream {
    /// Its [`StreamKey`], which as a number would take more bytes in a message.
    key: [u8; 8],
    /// Time since it was last recorded, in milliseconds, rounded up.
    age_ms: u32,
    /// Whether different origins were recorded for it, or it was doubted.
    contradictory: bool,
}

impl RecordedStream {
    fn key(self) -> StreamKey {
        StreamKey::from_le_bytes(self.key)
    }

    fn age(self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

/// What is retained of one stream.
#[derive(Debug, Clone, Copy)]
struct Stream {
    /// When it was last recorded.
    recorded_at: Timestamp,
    origin: KnownOrigin,
}

/// A box retains hundreds of thousands of them.
const _: () = assert!(size_of::<Stream>() == 8);

impl Stream {
    fn is_expired(self, now: Timestamp) -> bool {
        now.since(self.recorded_at) >= ORIGIN_RETENTION
    }

    /// Merges what two sources know of the same stream.
    fn merge(self, other: Self) -> Self {
        let origin =
            if self.origin == other.origin { self.origin } else { KnownOrigin::Contradictory };
        Self { recorded_at: self.recorded_at.max(other.recorded_at), origin }
    }

    fn to_record(self, now: Timestamp, key: StreamKey) -> RecordedStream {
        RecordedStream {
            key: key.to_le_bytes(),
            age_ms: now.since(self.recorded_at).as_millis() as u32 + 1,
            contradictory: self.origin == KnownOrigin::Contradictory,
        }
    }
}

/// What one box knows about the origins of streams.
#[derive(Debug, Clone, Default)]
pub struct Origins {
    /// The first time that was passed in, from which the others are counted.
    epoch: Option<Instant>,
    streams: StreamTable,
    /// Each stream once, in about the order in which they expire.
    order: RecordOrder,
    table: OriginTable,
    /// Retained streams that were recorded here since [`Origins::take_updates`] returned them.
    unsent: BTreeSet<StreamKey>,
}

impl Origins {
    /// Creates a store without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a stream began at `origin`, or that one resumed through this box received its
    /// first event from there. Renews the retention.
    pub fn record(&mut self, now: Instant, key: StreamKey, origin: &Origin) {
        let now = self.enter(now);
        let origin = self.table.acquire(origin);
        self.record_known(now, key, origin);
        self.table.release(origin);
    }

    /// Records that it has become uncertain where a stream began, whether or not the stream is
    /// retained here. Until this expires no origin is found for it, here and at each box that
    /// receives this, whatever else is recorded.
    pub fn doubt(&mut self, now: Instant, key: StreamKey) {
        let now = self.enter(now);
        self.record_known(now, key, KnownOrigin::Contradictory);
    }

    /// The origin of a stream; none if it isn't known, has expired, or is contradictory.
    pub fn find(&self, now: Instant, key: StreamKey) -> Option<&Origin> {
        let stream = self.unexpired(now, key)?;
        self.table.get(stream.origin)
    }

    /// Whether it is uncertain where a stream began: different origins were recorded for it, or it
    /// was doubted.
    pub fn is_contradictory(&self, now: Instant, key: StreamKey) -> bool {
        let stream = self.unexpired(now, key);
        stream.is_some_and(|stream| stream.origin == KnownOrigin::Contradictory)
    }

    /// Merges the records of another box.
    pub fn merge(&mut self, now: Instant, records: &[OriginRecord]) {
        let now = self.enter(now);
        for record in records {
            let origin = self.table.acquire(&record.origin);
            for recorded in &record.streams {
                self.merge_stream(now, *recorded, origin);
            }
            self.table.release(origin);
        }
    }

    /// Takes the streams that were recorded here, not merged, since they were last taken. Returns at
    /// most [`MAX_UPDATE_STREAMS`]; the next call returns the rest.
    pub fn take_updates(&mut self, now: Instant) -> Vec<OriginRecord> {
        let now = self.enter(now);
        self.remove_expired(now, REMOVALS_PER_UPDATE);
        let next = std::iter::from_fn(|| self.unsent.pop_first());
        let keys: Vec<StreamKey> = next.take(MAX_UPDATE_STREAMS).collect();
        self.to_records(now, keys.iter())
    }

    /// All streams retained here, for a box that may have missed updates.
    pub fn all(&self, now: Instant) -> Vec<OriginRecord> {
        let Some(epoch) = self.epoch else { return Vec::new() };
        self.to_records(Timestamp::new(epoch, now), self.order.keys())
    }

    /// Number of streams in memory; some of them may have expired.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn unexpired(&self, now: Instant, key: StreamKey) -> Option<&Stream> {
        let now = Timestamp::new(self.epoch?, now);
        self.streams.get(key).filter(|stream| !stream.is_expired(now))
    }

    fn enter(&mut self, now: Instant) -> Timestamp {
        Timestamp::new(*self.epoch.get_or_insert(now), now)
    }

    /// Records here what is known of a stream.
    fn record_known(&mut self, now: Timestamp, key: StreamKey, origin: KnownOrigin) {
        self.retain(now, key, Stream { recorded_at: now, origin });
        if self.streams.get(key).is_some() {
            self.unsent.insert(key);
        }
    }

    fn merge_stream(&mut self, now: Timestamp, recorded: RecordedStream, origin: KnownOrigin) {
        let age = recorded.age();
        if age >= ORIGIN_RETENTION {
            return;
        }
        let origin = if recorded.contradictory { KnownOrigin::Contradictory } else { origin };
        self.retain(now, recorded.key(), Stream { recorded_at: now.before(age), origin });
    }

    /// Merges a record that hasn't expired.
    fn retain(&mut self, now: Timestamp, key: StreamKey, recorded: Stream) {
        self.remove_expired(now, REMOVALS_PER_RECORD);
        let Some(known) = self.streams.get_mut(key) else {
            self.insert(key, recorded);
            return;
        };
        let before = *known;
        *known = if before.is_expired(now) { recorded } else { before.merge(recorded) };
        self.table.add_stream(known.origin);
        self.table.release(before.origin);
    }

    /// Inserts a stream that isn't retained.
    fn insert(&mut self, key: StreamKey, stream: Stream) {
        self.table.add_stream(stream.origin);
        self.streams.insert(key, stream);
        self.order.push(stream.recorded_at, key);
        self.remove_oldest();
    }

    /// Removes streams that have expired, at most `max` so that no call takes long.
    fn remove_expired(&mut self, now: Timestamp, max: usize) {
        for _ in 0..max {
            if !self.order.first_second().is_some_and(|second| now.is_expired_second(second)) {
                return;
            }
            self.remove_first_unless_renewed();
        }
    }

    /// Removes the oldest streams beyond the maximum.
    fn remove_oldest(&mut self) {
        while self.streams.len() > MAX_STREAMS {
            self.remove_first_unless_renewed();
        }
    }

    /// Removes the first stream of the order, or moves it to its place if it was renewed since it
    /// was put into the order.
    fn remove_first_unless_renewed(&mut self) {
        let Some((second, key)) = self.order.pop_first() else { return };
        let Some(stream) = self.streams.get(key).copied() else { return };
        if stream.recorded_at.second() > second {
            self.order.push(stream.recorded_at, key);
            return;
        }
        self.streams.remove(key);
        self.unsent.remove(&key);
        self.table.release(stream.origin);
    }

    /// Returns the records of those streams that haven't expired.
    fn to_records<'a>(
        &self,
        now: Timestamp,
        keys: impl Iterator<Item = &'a StreamKey>,
    ) -> Vec<OriginRecord> {
        let mut by_origin: BTreeMap<KnownOrigin, Vec<RecordedStream>> = BTreeMap::new();
        for key in keys {
            let stream = self.streams.get(*key).filter(|stream| !stream.is_expired(now));
            if let Some(stream) = stream {
                by_origin.entry(stream.origin).or_default().push(stream.to_record(now, *key));
            }
        }
        let to_record = |(origin, streams)| OriginRecord { origin: self.origin(origin), streams };
        by_origin.into_iter().map(to_record).collect()
    }

    /// The origin as records name it.
    fn origin(&self, origin: KnownOrigin) -> Origin {
        let empty = || Origin { service: String::new(), software: String::new() };
        self.table.get(origin).cloned().unwrap_or_else(empty)
    }
}

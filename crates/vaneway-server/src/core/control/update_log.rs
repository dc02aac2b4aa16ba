//! The order in which pieces of state last changed, without I/O, so that each receiver can be sent
//! what it has not been sent yet.
//!
//! Hundreds of entry boxes receive the same state, at different speeds. Instead of a queue of
//! updates for each of them, a control box keeps one [`UpdateLog`] for all, with every key of the
//! state at the position of its latest change, and for each receiver only the position up to which
//! it was sent everything. An update for a receiver is made from the present state once there is
//! room in its queue: one that is slow is sent fewer and newer values, and one that has just
//! connected starts at position 0, before the whole state. The log grows with the state, not with
//! the number of receivers or of changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::core::cluster::wire::ToEntry;
use crate::util::frames::EncodedFrame;

/// Position in an [`UpdateLog`]; the first change has position 1.
pub type Position = u64;

/// Age up to which an encoded update is sent to further receivers. It contains ages and remaining
/// times, which are wrong by as much.
const MAX_FRAME_AGE: Duration = Duration::from_millis(50);

/// Maximum number of encoded updates that are kept for further receivers.
const MAX_FRAMES: usize = 32;

/// An update, and the range of positions that it covers.
#[derive(Debug)]
struct EncodedUpdate {
    /// The position before the first one.
    after: Position,
    up_to: Position,
    /// When it is too old for further receivers; none if it contains no times.
    expires_at: Option<Instant>,
    /// None if nothing remains of the state that changed.
    frame: Option<EncodedFrame>,
}

/// The keys of a kind of state in the order of their latest changes.
#[derive(Debug)]
pub struct UpdateLog<K> {
    latest: Position,
    positions: BTreeMap<K, Position>,
    keys: BTreeMap<Position, K>,
    /// Recently encoded updates; the last one is the newest.
    encoded: VecDeque<EncodedUpdate>,
}

impl<K> Default for UpdateLog<K> {
    fn default() -> Self {
        Self {
            latest: 0,
            positions: BTreeMap::new(),
            keys: BTreeMap::new(),
            encoded: VecDeque::new(),
        }
    }
}

impl<K: Ord + Clone> UpdateLog<K> {
    /// Position of the latest change.
    pub fn latest(&self) -> Position {
        self.latest
    }

    /// Records that the state of `key` has changed.
    pub fn record(&mut self, key: K) {
        self.latest += 1;
        if let Some(before) = self.positions.insert(key.clone(), self.latest) {
            self.keys.remove(&before);
        }
        self.keys.insert(self.latest, key);
    }

    /// Records that the state of several keys has changed.
    pub fn record_all(&mut self, keys: impl IntoIterator<Item = K>) {
        for key in keys {
            self.record(key);
        }
    }

    /// Removes the keys for which `exists` is false, whose state has been removed.
    pub fn retain(&mut self, exists: impl Fn(&K) -> bool) {
        self.positions.retain(|key, _| exists(key));
        self.keys.retain(|_, key| exists(key));
    }

    /// Keeps an encoded update that covers the changes after `after` up to the latest one and
    /// contains no ages or remaining times.
    pub fn keep_encoded(&mut self, after: Position, frame: EncodedFrame) {
        let up_to = self.latest;
        self.keep(EncodedUpdate { after, up_to, expires_at: None, frame: Some(frame) });
    }

    /// The next update for a receiver that was sent everything up to `after`, and the position up
    /// to which it will then have been sent everything; none if nothing is due. There is no frame
    /// if nothing remains of the state that changed.
    ///
    /// The update covers at most `max_keys` keys; `message` creates it from the present state.
    pub fn next(
        &mut self,
        now: Instant,
        after: Position,
        max_keys: usize,
        message: impl FnOnce(&[K]) -> Option<ToEntry>,
    ) -> Option<(Option<EncodedFrame>, Position)> {
        if after >= self.latest {
            return None;
        }
        let is_recent = |update: &&EncodedUpdate| {
            update.after == after && update.expires_at.is_none_or(|at| now < at)
        };
        if let Some(known) = self.encoded.iter().rev().find(is_recent) {
            return Some((known.frame.clone(), known.up_to));
        }
        let due = self.keys.range(after + 1..).take(max_keys);
        let (positions, keys): (Vec<Position>, Vec<K>) =
            due.map(|(position, key)| (*position, key.clone())).unzip();
        let up_to =
            if keys.len() < max_keys { self.latest } else { *positions.last().unwrap_or(&after) };
        let frame = message(&keys).map(|message| EncodedFrame::new(&message));
        let expires_at = Some(now + MAX_FRAME_AGE);
        self.keep(EncodedUpdate { after, up_to, expires_at, frame: frame.clone() });
        Some((frame, up_to))
    }

    fn keep(&mut self, update: EncodedUpdate) {
        if self.encoded.len() >= MAX_FRAMES {
            self.encoded.pop_front();
        }
        self.encoded.push_back(update);
    }
}

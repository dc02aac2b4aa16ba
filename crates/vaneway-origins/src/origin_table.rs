//! The origins of the retained streams, each stored once.

use std::collections::HashMap;
use std::num::NonZeroU16;

use crate::Origin;

/// Place of an origin in an [`OriginTable`], from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OriginId(NonZeroU16);

/// What is known about where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum KnownOrigin {
    /// All that was recorded names this origin.
    One(OriginId),
    /// Different origins were recorded, or there are more of them than the table holds, or the
    /// stream was doubted.
    Contradictory,
}

/// Origins with the number of their streams; an origin without streams is removed.
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    ids: HashMap<Origin, OriginId>,
    /// The origin `id` is at `id - 1`; none if the place is free.
    places: Vec<Option<CountedOrigin>>,
    free: Vec<OriginId>,
}

#[derive(Debug, Clone)]
struct CountedOrigin {
    origin: Origin,
    streams: usize,
}

impl OriginId {
    fn index(self) -> usize {
        usize::from(self.0.get()) - 1
    }
}

impl OriginTable {
    /// Adds a stream to an origin, which is put into the table if it isn't there.
    pub fn acquire(&mut self, origin: &Origin) -> KnownOrigin {
        let id = self.ids.get(origin).copied().or_else(|| self.insert(origin));
        let known = id.map_or(KnownOrigin::Contradictory, KnownOrigin::One);
        self.add_stream(known);
        known
    }

    /// Adds a stream to an origin that has some.
    pub fn add_stream(&mut self, known: KnownOrigin) {
        let KnownOrigin::One(id) = known else { return };
        if let Some(counted) = &mut self.places[id.index()] {
            counted.streams += 1;
        }
    }

    /// Removes a stream from its origin.
    pub fn release(&mut self, known: KnownOrigin) {
        let KnownOrigin::One(id) = known else { return };
        let place = &mut self.places[id.index()];
        let Some(counted) = place else { return };
        counted.streams -= 1;
        if counted.streams == 0 {
            self.ids.remove(&counted.origin);
            *place = None;
            self.free.push(id);
        }
    }

    /// The origin, unless it is contradictory.
    pub fn get(&self, known: KnownOrigin) -> Option<&Origin> {
        let KnownOrigin::One(id) = known else { return None };
        self.places[id.index()].as_ref().map(|counted| &counted.origin)
    }

    /// Inserts an origin without streams; returns none if the table is full.
    fn insert(&mut self, origin: &Origin) -> Option<OriginId> {
        let id = self.free.pop().or_else(|| self.add_place())?;
        self.places[id.index()] = Some(CountedOrigin { origin: origin.clone(), streams: 0 });
        self.ids.insert(origin.clone(), id);
        Some(id)
    }

    fn add_place(&mut self) -> Option<OriginId> {
        let id = u16::try_from(self.places.len() + 1).ok().and_then(NonZeroU16::new)?;
        self.places.push(None);
        Some(OriginId(id))
    }
}

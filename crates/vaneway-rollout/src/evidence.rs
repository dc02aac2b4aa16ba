//! Answers counted by version, route, availability zone and replica.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Bounds of a histogram for each doubling of the time.
const BOUNDS_PER_DOUBLING: f64 = 3.0;

/// Highest bound of a histogram; longer times count there. Over 100 s.
const MAX_BOUND: u8 = 51;

/// Counts of times, by bounds that are a quarter apart.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram(BTreeMap<u8, u32>);

impl Histogram {
    /// Counts a time.
    pub fn add(&mut self, time: Duration) {
        let millis = (time.as_secs_f64() * 1e3).max(1.0);
        let bound = (millis.log2() * BOUNDS_PER_DOUBLING).ceil().min(f64::from(MAX_BOUND)) as u8;
        *self.0.entry(bound).or_default() += 1;
    }

    /// Number of times counted.
    pub fn len(&self) -> u32 {
        self.0.values().sum()
    }

    /// Whether none was counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of times over a bound.
    pub fn over(&self, bound: u8) -> u32 {
        self.0.range(bound + 1..).map(|(_, count)| count).sum()
    }

    /// The lowest bound that at most `share` of the times are over.
    pub fn bound_for(&self, share: f64) -> u8 {
        let allowed = f64::from(self.len()) * share;
        let mut bounds = self.0.keys().copied();
        bounds.find(|bound| f64::from(self.over(*bound)) <= allowed).unwrap_or(MAX_BOUND)
    }

    /// Adds the counts of another.
    pub fn merge(&mut self, other: &Self) {
        for (bound, count) in &other.0 {
            *self.0.entry(*bound).or_default() += count;
        }
    }
}

/// What a cell counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellKey {
    /// Name of the route.
    pub route: String,
    /// Availability zone of the replica.
    pub zone: String,
    /// Name of the replica if it runs the version on trial; none for all others together.
    pub replica: Option<String>,
}

/// Answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Those that ended well.
    pub ok: u32,
    /// Those that failed: an error, a break, or wrong bytes.
    pub failed: u32,
    /// Times to the first event, or to a whole answer.
    pub first: Histogram,
    /// Mean times between the events of a stream.
    pub pause: Histogram,
}

impl Cell {
    /// Number of answers that ended.
    pub fn ended(&self) -> u32 {
        self.ok + self.failed
    }

    /// Adds the answers of another.
    pub fn merge(&mut self, other: &Self) {
        self.ok += other.ok;
        self.failed += other.failed;
        self.first.merge(&other.first);
        self.pause.merge(&other.pause);
    }
}

/// All answers of a roll-out, of one box or of several.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The answers.
    pub cells: BTreeMap<CellKey, Cell>,
}

impl Evidence {
    /// The cell of a key, empty at first.
    pub fn cell(&mut self, key: CellKey) -> &mut Cell {
        self.cells.entry(key).or_default()
    }

    /// Adds the answers of another.
    pub fn merge(&mut self, other: &Self) {
        for (key, cell) in &other.cells {
            self.cells.entry(key.clone()).or_default().merge(cell);
        }
    }

    /// Answers of the version on trial that ended, and how many of them failed.
    pub fn trials(&self) -> (u32, u32) {
        let on_trial = self.cells.iter().filter(|(key, _)| key.replica.is_some());
        on_trial
            .fold((0, 0), |(ended, failed), (_, cell)| (ended + cell.ended(), failed + cell.failed))
    }
}

//! Incarnations of entry boxes. The counters of an entry box start from zero with each incarnation.

/// Identifies an incarnation of an entry box: the box's name, and a number that differs with each
/// start.
pub type EntryIncarnation = (String, u64);

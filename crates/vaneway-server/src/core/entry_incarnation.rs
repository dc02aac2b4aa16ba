//! The starts of entry boxes: what one counted since its start is another's after the next.

/// Names one start of an entry box.
pub type EntryIncarnation = (String, u64);

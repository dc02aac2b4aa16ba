//! Hashes that only this process goes by, to spread and to draw without a generator's state.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher as _;

/// The hash of a value; the same in each run of the same program.
pub fn of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 that is a value's own, as likely in any part of it.
pub fn fraction(value: impl Hash) -> f64 {
    (of(value) >> 32) as f64 / f64::from(u32::MAX)
}

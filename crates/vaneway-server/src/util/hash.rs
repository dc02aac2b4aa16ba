//! Hashes for use within this process, to spread load and to derive pseudo-random numbers without
//! the state of a generator.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher as _;

/// The hash of a value, which is the same in each run of the same program.
pub fn of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 derived from the hash of a value, uniformly distributed over values.
pub fn fraction(value: impl Hash) -> f64 {
    (of(value) >> 32) as f64 / f64::from(u32::MAX)
}

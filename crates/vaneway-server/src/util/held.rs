//! Bytes that a box holds for others, over all connections.
//!
//! Why: each reader and each queue has a bound, but thousands of them together would exceed the
//! memory of a box. Data flow: everything that holds bytes has a [`Held`] and reports how many it
//! holds. While all together hold more than the budget, those with more than an equal share, or
//! more than `MAX_SHARE_BYTES`, are over it. What that means is up to the holder: to stop reading, to pass on what it has, or to fail. One
//! that holds little is never over its share, so a few that hold much don't end the others.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that a holder has at most once the budget is exceeded, however few holders there are: those
/// that came first may have taken the budget, and a share of it for each later one would be as much
/// again several times over.
const MAX_SHARE_BYTES: usize = 64 << 10;

/// The bytes held by all holders of a box.
#[derive(Debug)]
pub struct HeldBytes {
    budget: usize,
    total: Cell<usize>,
    /// Number of holders that hold any bytes.
    holders: Cell<usize>,
}

impl HeldBytes {
    /// Creates a budget of `budget` bytes.
    pub fn new(budget: usize) -> Rc<Self> {
        Rc::new(Self { budget, total: Cell::new(0), holders: Cell::new(0) })
    }

    /// The bytes held by all together.
    pub fn total(&self) -> usize {
        self.total.get()
    }

    /// Adds a holder without any bytes.
    pub fn holder(self: &Rc<Self>) -> Held {
        Held { all: Rc::clone(self), bytes: 0 }
    }
}

/// What one holder holds. Dropping it releases the bytes.
#[derive(Debug)]
pub struct Held {
    all: Rc<HeldBytes>,
    bytes: usize,
}

impl Held {
    /// Sets the number of bytes held.
    pub fn set(&mut self, bytes: usize) {
        let before = std::mem::replace(&mut self.bytes, bytes);
        let all = &self.all;
        all.total.set(all.total.get() - before + bytes);
        let holders = all.holders.get() + usize::from(bytes > 0) - usize::from(before > 0);
        all.holders.set(holders);
    }

    /// Adds bytes.
    pub fn add(&mut self, bytes: usize) {
        self.set(self.bytes + bytes);
    }

    /// The number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether all together hold more than the budget, and this holder more than an equal share.
    pub fn is_over_share(&self) -> bool {
        let all = &self.all;
        let share = (all.budget / all.holders.get().max(1)).min(MAX_SHARE_BYTES);
        all.total.get() > all.budget && self.bytes > share
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}

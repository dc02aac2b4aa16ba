//! A budget that keeps retries a small share of requests.
//!
//! Why: when many endpoints fail at once, each failed attempt invites another, and the retries
//! can outweigh the requests. The budget gains a fraction of a retry with every request and each
//! retry spends a whole one, so over time the retries cannot exceed that fraction.

/// Parts of a retry that the budget counts in: one retry is worth this much.
const UNIT: u32 = 1_000;

/// A bounded account of retries that one service may still make.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u32,
    gain: u32,
    cap: u32,
}

impl RetryBudget {
    /// A budget of `percent` retries for each hundred requests, starting full at `reserve`
    /// retries and never holding more.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let cap = reserve.saturating_mul(UNIT);
        Self { balance: cap, gain: percent.saturating_mul(UNIT) / 100, cap }
    }

    /// Changes the share and the reserve; what was saved is kept as far as the reserve allows.
    pub fn set(&mut self, percent: u32, reserve: u32) {
        self.cap = reserve.saturating_mul(UNIT);
        self.gain = percent.saturating_mul(UNIT) / 100;
        self.balance = self.balance.min(self.cap);
    }

    /// Counts a new request.
    pub fn deposit(&mut self) {
        self.balance = self.balance.saturating_add(self.gain).min(self.cap);
    }

    /// Spends one retry; false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.balance >= UNIT;
        if enough {
            self.balance -= UNIT;
        }
        enough
    }

    /// Whole retries left.
    pub fn left(&self) -> u32 {
        self.balance / UNIT
    }
}

//! A budget that keeps retries a small share of requests.
//!
//! When many endpoints fail at once, each failed attempt causes another one, and there can be more
//! retries than requests. Every request adds a fraction of a retry to the budget and every retry
//! spends one, so that in the long run retries can't exceed that fraction of the requests.

/// Balance units per retry, so that fractions of a retry can be counted.
const UNITS_PER_RETRY: u32 = 1_000;

/// Budget of the retries that one service may still make.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u32,
    gain: u32,
    cap: u32,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred requests. It starts with `reserve` retries and
    /// never holds more.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let cap = reserve.saturating_mul(UNITS_PER_RETRY);
        Self { balance: cap, gain: percent.saturating_mul(UNITS_PER_RETRY) / 100, cap }
    }

    /// Changes the percentage and the reserve; the balance is kept up to the new reserve.
    pub fn set(&mut self, percent: u32, reserve: u32) {
        self.cap = reserve.saturating_mul(UNITS_PER_RETRY);
        self.gain = percent.saturating_mul(UNITS_PER_RETRY) / 100;
        self.balance = self.balance.min(self.cap);
    }

    /// Adds the share of one new request.
    pub fn deposit(&mut self) {
        self.balance = self.balance.saturating_add(self.gain).min(self.cap);
    }

    /// Spends one retry. Returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.balance >= UNITS_PER_RETRY;
        if enough {
            self.balance -= UNITS_PER_RETRY;
        }
        enough
    }

    /// Number of retries left.
    pub fn left(&self) -> u32 {
        self.balance / UNITS_PER_RETRY
    }
}

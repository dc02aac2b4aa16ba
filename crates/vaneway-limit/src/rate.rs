//! Requests a second, as endpoints name them.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Parts of a request in which rates are kept, so that they compare exactly.
const MILLIONTHS: f64 = 1e6;

/// Requests a second that an endpoint takes from all entry boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

/// Why a text names no rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateError {
    /// It is no decimal number.
    NotANumber,
    /// It is below zero.
    Negative,
}

impl RateError {
    /// The error's name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotANumber => "not_a_number",
            Self::Negative => "negative",
        }
    }
}

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "a limit must be a decimal number of requests a second",
            Self::Negative => "a limit must not be below zero",
        })
    }
}

impl std::error::Error for RateError {}

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIONTHS
    }
}

impl FromStr for Rate {
    type Err = RateError;

    /// Reads a decimal number; one that is larger than any limit becomes the largest.
    fn from_str(text: &str) -> Result<Self, RateError> {
        let is_decimal = |c: char| c.is_ascii_digit() || matches!(c, '.' | '+' | '-');
        let text = text.trim();
        if !text.chars().all(is_decimal) {
            return Err(RateError::NotANumber);
        }
        let rate: f64 = text.parse().ok().ok_or(RateError::NotANumber)?;
        if rate < 0.0 {
            return Err(RateError::Negative);
        }
        Ok(Self((rate * MILLIONTHS).round() as u64))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

//! Request rates that endpoints advertise.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;
use crate::parse_number;

/// Units per request: rates are stored as an integer number of millionths, so that they compare
/// exactly.
const UNITS_PER_REQUEST: f64 = 1e6;

/// Requests per second that an endpoint accepts from all entry boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// A quarter of the rate.
    #[must_use]
    pub fn quarter(self) -> Self {
        Self(self.0 / 4)
    }

    /// The highest rate below this one.
    #[must_use]
    pub fn next_lower(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }
}

impl FromStr for Rate {
    type Err = NumberError;

    /// Parses a decimal number of requests per second, rounded to millionths. A number that is too
    /// large to represent becomes the maximum.
    fn from_str(text: &str) -> Result<Self, NumberError> {
        Ok(Self((parse_number(text)? * UNITS_PER_REQUEST).round() as u64))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

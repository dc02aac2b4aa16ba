//! Requests a second, as endpoints name them.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;
use crate::parse_number;

/// Parts of a request in which rates are kept, so that they compare exactly.
const MILLIONTHS: f64 = 1e6;

/// Requests a second that an endpoint takes from all entry boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIONTHS
    }
}

impl FromStr for Rate {
    type Err = NumberError;

    /// Reads a decimal number; one that is larger than any limit becomes the largest.
    fn from_str(text: &str) -> Result<Self, NumberError> {
        Ok(Self((parse_number(text)? * MILLIONTHS).round() as u64))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

//! Parses numbers in the response headers of endpoints.

use std::fmt;

/// Why a header value is not a valid number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NumberError {
    /// It is not a decimal number.
    NotANumber,
    /// It is below zero.
    Negative,
}

impl NumberError {
    /// The error's name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotANumber => "not_a_number",
            Self::Negative => "negative",
        }
    }
}

impl fmt::Display for NumberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "invalid number: expected a decimal number",
            Self::Negative => "invalid number: expected zero or more",
        })
    }
}

impl std::error::Error for NumberError {}

/// Parses a non-negative decimal number of any size.
///
/// # Errors
///
/// If the text is not a decimal number, or if the number is negative.
pub fn parse_number(text: &str) -> Result<f64, NumberError> {
    let is_decimal = |c: char| c.is_ascii_digit() || matches!(c, '.' | '+' | '-');
    let text = text.trim();
    if !text.chars().all(is_decimal) {
        return Err(NumberError::NotANumber);
    }
    let number: f64 = text.parse().ok().ok_or(NumberError::NotANumber)?;
    if number < 0.0 {
        return Err(NumberError::Negative);
    }
    Ok(number)
}

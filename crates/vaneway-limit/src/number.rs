//! Numbers that endpoints name in their answers.

use std::fmt;

/// Why a text is no number that an endpoint may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NumberError {
    /// It is no decimal number.
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
            Self::NotANumber => "it must be a decimal number",
            Self::Negative => "it must not be below zero",
        })
    }
}

impl std::error::Error for NumberError {}

/// Reads a decimal number, as large as it may be.
///
/// # Errors
///
/// If it is none, or below zero.
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

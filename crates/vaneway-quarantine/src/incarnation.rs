//! One life of an endpoint: its name, and when it was born if that is known.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Stands between name and birth; no name on the wire holds a control character.
const SEPARATOR: char = '\u{1f}';

/// One life of an endpoint, which may start again under its name.
///
/// On the wire it is one string, the name alone where the birth isn't known, so that boxes that know endpoints by
/// name only can read it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(String);

impl Incarnation {
    /// The life of the endpoint `name` that began at `born`, a Unix millisecond; 0 if that isn't known.
    pub fn new(name: &str, born: u64) -> Self {
        if born == 0 {
            return Self(name.to_owned());
        }
        Self(format!("{name}{SEPARATOR}{born}"))
    }

    /// The endpoint's name.
    pub fn name(&self) -> &str {
        self.0.split_once(SEPARATOR).map_or(&self.0, |(name, _)| name)
    }

    /// The Unix millisecond in which it was born; 0 if that isn't known.
    pub fn born(&self) -> u64 {
        let born = self.0.split_once(SEPARATOR).and_then(|(_, born)| born.parse().ok());
        born.unwrap_or_default()
    }
}

/// For logs and operators: `NAME`, or `NAME@BORN` where the birth is known.
impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born() {
            0 => f.write_str(self.name()),
            born => write!(f, "{}@{born}", self.name()),
        }
    }
}

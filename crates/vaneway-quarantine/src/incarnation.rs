//! One incarnation of an endpoint: its name, and its start time if that is known.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Separates name and start time; no name on the wire contains a control character.
const SEPARATOR: char = '\u{1f}';

/// One incarnation of an endpoint, which may restart under the same name.
///
/// On the wire it is one string, and the name alone if the start time isn't known, so that boxes
/// that know endpoints by name only can read it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(String);

impl Incarnation {
    /// The incarnation of the endpoint `name` that started at `born`, in milliseconds since the
    /// Unix epoch; 0 if that isn't known.
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

    /// When it started, in milliseconds since the Unix epoch; 0 if that isn't known.
    pub fn born(&self) -> u64 {
        let born = self.0.split_once(SEPARATOR).and_then(|(_, born)| born.parse().ok());
        born.unwrap_or_default()
    }
}

/// For logs and operators: `NAME`, or `NAME@BORN` if the start time is known.
impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born() {
            0 => f.write_str(self.name()),
            born => write!(f, "{}@{born}", self.name()),
        }
    }
}

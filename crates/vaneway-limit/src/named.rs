//! What endpoints have named, as one box knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Rate;

/// Names an endpoint.
pub type EndpointName = String;

/// When an incarnation of an endpoint started, in milliseconds since 1970; 0 if it was not told.
pub type Born = u64;

/// Time since 1970 by the cluster's clock.
pub type Time = Duration;

/// What an endpoint named last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Named {
    /// The incarnation that named it.
    pub born: Born,
    /// What it takes; none once its answers name no limit any more.
    pub rate: Option<Rate>,
    /// When a box first saw this in an answer.
    pub at: Time,
}

/// What boxes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// What it named.
    pub named: Named,
}

/// What one box knows of the limits that endpoints name.
#[derive(Debug, Clone, Default)]
pub struct NamedLimits {
    by_endpoint: BTreeMap<EndpointName, Named>,
}

impl NamedLimits {
    /// What an endpoint named last, if it ever named a limit.
    pub fn get(&self, endpoint: &str) -> Option<&Named> {
        self.by_endpoint.get(endpoint)
    }

    /// Learns what an answer of an endpoint's incarnation `born` names; whether that is news here.
    pub fn answered(&mut self, now: Time, endpoint: &str, born: Born, rate: Option<Rate>) -> bool {
        let known = self.by_endpoint.get(endpoint).filter(|known| known.born == born);
        if known.and_then(|known| known.rate) == rate {
            return false;
        }
        // Newer than what was told before, also where the clock of whoever told it is ahead.
        let at = known.map_or(now, |known| now.max(known.at + Duration::from_micros(1)));
        self.by_endpoint.insert(endpoint.to_owned(), Named { born, rate, at });
        true
    }
}

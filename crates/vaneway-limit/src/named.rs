//! What endpoints have named, as one box knows it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vaneway_registry::InstanceId;
use vaneway_registry::StartMillis;

use crate::Rate;

/// Time since 1970 by the cluster's clock.
pub type EpochTime = Duration;

/// How long what an endpoint named is kept that is not known, or whose limit has ended: longer than a message is late.
const KEPT: Duration = Duration::from_mins(1);

/// What an endpoint named last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// The incarnation that named it.
    pub born: StartMillis,
    /// What it takes.
    pub rate: Rate,
    /// Whether its answers name no limit any more.
    pub lifted: bool,
    /// When a box first saw this in an answer.
    pub seen_at: EpochTime,
}

impl AdvertisedLimit {
    /// Whether it is of the incarnation `born`, as far as is known.
    pub fn matches_incarnation(&self, born: StartMillis) -> bool {
        self.born == born || self.born == 0 || born == 0
    }

    /// Whether both say the same, whenever it was seen.
    fn says_the_same(&self, other: &Self) -> bool {
        (self.born, self.rate, self.lifted) == (other.born, other.rate, other.lifted)
    }
}

/// What boxes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// What it named.
    pub limit: AdvertisedLimit,
}

/// What one box knows of the limits that endpoints name.
///
/// Of two words of an endpoint the one of the later incarnation counts, then the one that was seen later, so they may be
/// lost, repeated and reordered.
#[derive(Debug, Clone, Default)]
pub struct EndpointLimits {
    by_endpoint: BTreeMap<InstanceId, AdvertisedLimit>,
    /// Endpoints of which others have to hear.
    news: BTreeSet<InstanceId>,
}

impl EndpointLimits {
    /// Whether no endpoint is known to have named a limit, so that there is none to end.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// What an endpoint named last, if it ever named a limit.
    pub fn get(&self, endpoint: &str) -> Option<&AdvertisedLimit> {
        self.by_endpoint.get(endpoint)
    }

    /// Learns what an answer of an endpoint's incarnation `born` names; returns it if that is news here.
    pub fn record_response(
        &mut self,
        now: EpochTime,
        endpoint: &str,
        born: StartMillis,
        rate: Option<Rate>,
    ) -> Option<AdvertisedLimit> {
        let known =
            self.by_endpoint.get(endpoint).filter(|known| known.matches_incarnation(born)).copied();
        let born = known.map_or(born, |known| known.born.max(born));
        // Newer than what was told before, also where the clock of whoever told it is ahead.
        let seen_at = known.map_or(now, |known| now.max(known.seen_at + Duration::from_micros(1)));
        let limit = match (rate, known) {
            (Some(rate), _) => AdvertisedLimit { born, rate, lifted: false, seen_at },
            (None, Some(known)) => AdvertisedLimit { born, lifted: true, seen_at, ..known },
            (None, None) => return None,
        };
        if known.is_some_and(|known| known.says_the_same(&limit)) {
            return None;
        }
        self.by_endpoint.insert(endpoint.to_owned(), limit);
        self.news.insert(endpoint.to_owned());
        Some(limit)
    }

    /// Learns what others saw, and returns what of it was news here.
    pub fn merge(&mut self, now: EpochTime, told: &[EndpointLimit]) -> Vec<EndpointLimit> {
        told.iter().filter_map(|told| self.merge_one(now, told)).collect()
    }

    fn merge_one(&mut self, now: EpochTime, told: &EndpointLimit) -> Option<EndpointLimit> {
        // One that comes from the future would go before all that is seen until then.
        let limit = AdvertisedLimit { seen_at: told.limit.seen_at.min(now), ..told.limit };
        let known = self.by_endpoint.get(&told.endpoint).copied();
        if known.is_some_and(|known| (limit.born, limit.seen_at) <= (known.born, known.seen_at)) {
            return None;
        }
        self.by_endpoint.insert(told.endpoint.clone(), limit);
        let is_news = known.is_none_or(|known| !known.says_the_same(&limit));
        is_news.then(|| EndpointLimit { endpoint: told.endpoint.clone(), limit })
    }

    /// Has something told on with the next news.
    pub fn forward(&mut self, told: &[EndpointLimit]) {
        self.news.extend(told.iter().map(|told| told.endpoint.clone()));
    }

    /// What others have to know since this was last asked.
    pub fn take_updates(&mut self) -> Vec<EndpointLimit> {
        let news = std::mem::take(&mut self.news);
        news.into_iter().filter_map(|endpoint| self.limit_of(endpoint)).collect()
    }

    /// All that is known, for a box that knows nothing.
    pub fn all(&self) -> Vec<EndpointLimit> {
        self.by_endpoint.keys().filter_map(|endpoint| self.limit_of(endpoint.clone())).collect()
    }

    fn limit_of(&self, endpoint: InstanceId) -> Option<EndpointLimit> {
        let limit = *self.by_endpoint.get(&endpoint)?;
        Some(EndpointLimit { endpoint, limit })
    }

    /// Forgets what no longer matters: of endpoints that are not there, and limits that have ended.
    pub fn remove_expired(&mut self, now: EpochTime, is_there: impl Fn(&str, StartMillis) -> bool) {
        self.by_endpoint.retain(|endpoint, limit| {
            now < limit.seen_at + KEPT || (!limit.lifted && is_there(endpoint, limit.born))
        });
    }
}

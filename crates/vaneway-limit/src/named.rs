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
pub type Time = Duration;

/// How long what an endpoint named is kept that is not known, or whose limit has ended: longer than a message is late.
const KEPT: Duration = Duration::from_mins(1);

/// What an endpoint named last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Named {
    /// The incarnation that named it.
    pub born: StartMillis,
    /// What it takes.
    pub rate: Rate,
    /// Whether its answers name no limit any more.
    pub ended: bool,
    /// When a box first saw this in an answer.
    pub at: Time,
}

impl Named {
    /// Whether it is of the incarnation `born`, as far as is known.
    pub fn is_of(&self, born: StartMillis) -> bool {
        self.born == born || self.born == 0 || born == 0
    }

    /// Whether both say the same, whenever it was seen.
    fn says_the_same(&self, other: &Self) -> bool {
        (self.born, self.rate, self.ended) == (other.born, other.rate, other.ended)
    }
}

/// What boxes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// What it named.
    pub named: Named,
}

/// What one box knows of the limits that endpoints name.
///
/// Of two words of an endpoint the one of the later incarnation counts, then the one that was seen later, so they may be
/// lost, repeated and reordered.
#[derive(Debug, Clone, Default)]
pub struct NamedLimits {
    by_endpoint: BTreeMap<InstanceId, Named>,
    /// Endpoints of which others have to hear.
    news: BTreeSet<InstanceId>,
}

impl NamedLimits {
    /// Whether no endpoint is known to have named a limit, so that there is none to end.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// What an endpoint named last, if it ever named a limit.
    pub fn get(&self, endpoint: &str) -> Option<&Named> {
        self.by_endpoint.get(endpoint)
    }

    /// Learns what an answer of an endpoint's incarnation `born` names; returns it if that is news here.
    pub fn answered(
        &mut self,
        now: Time,
        endpoint: &str,
        born: StartMillis,
        rate: Option<Rate>,
    ) -> Option<Named> {
        let known = self.by_endpoint.get(endpoint).filter(|known| known.is_of(born)).copied();
        let born = known.map_or(born, |known| known.born.max(born));
        // Newer than what was told before, also where the clock of whoever told it is ahead.
        let at = known.map_or(now, |known| now.max(known.at + Duration::from_micros(1)));
        let named = match (rate, known) {
            (Some(rate), _) => Named { born, rate, ended: false, at },
            (None, Some(known)) => Named { born, ended: true, at, ..known },
            (None, None) => return None,
        };
        if known.is_some_and(|known| known.says_the_same(&named)) {
            return None;
        }
        self.by_endpoint.insert(endpoint.to_owned(), named);
        self.news.insert(endpoint.to_owned());
        Some(named)
    }

    /// Learns what others saw, and returns what of it was news here.
    pub fn merge(&mut self, now: Time, told: &[NamedLimit]) -> Vec<NamedLimit> {
        told.iter().filter_map(|told| self.merge_one(now, told)).collect()
    }

    fn merge_one(&mut self, now: Time, told: &NamedLimit) -> Option<NamedLimit> {
        // One that comes from the future would go before all that is seen until then.
        let named = Named { at: told.named.at.min(now), ..told.named };
        let known = self.by_endpoint.get(&told.endpoint).copied();
        if known.is_some_and(|known| (named.born, named.at) <= (known.born, known.at)) {
            return None;
        }
        self.by_endpoint.insert(told.endpoint.clone(), named);
        let is_news = known.is_none_or(|known| !known.says_the_same(&named));
        is_news.then(|| NamedLimit { endpoint: told.endpoint.clone(), named })
    }

    /// Has something told on with the next news.
    pub fn pass_on(&mut self, told: &[NamedLimit]) {
        self.news.extend(told.iter().map(|told| told.endpoint.clone()));
    }

    /// What others have to know since this was last asked.
    pub fn take_news(&mut self) -> Vec<NamedLimit> {
        let news = std::mem::take(&mut self.news);
        news.into_iter().filter_map(|endpoint| self.limit_of(endpoint)).collect()
    }

    /// All that is known, for a box that knows nothing.
    pub fn all(&self) -> Vec<NamedLimit> {
        self.by_endpoint.keys().filter_map(|endpoint| self.limit_of(endpoint.clone())).collect()
    }

    fn limit_of(&self, endpoint: InstanceId) -> Option<NamedLimit> {
        let named = *self.by_endpoint.get(&endpoint)?;
        Some(NamedLimit { endpoint, named })
    }

    /// Forgets what no longer matters: of endpoints that are not there, and limits that have ended.
    pub fn forget(&mut self, now: Time, is_there: impl Fn(&str, StartMillis) -> bool) {
        self.by_endpoint.retain(|endpoint, named| {
            now < named.at + KEPT || (!named.ended && is_there(endpoint, named.born))
        });
    }
}

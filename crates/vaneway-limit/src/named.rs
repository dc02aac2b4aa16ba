//! The limits that endpoints advertised, as known to one box.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vaneway_registry::InstanceId;
use vaneway_registry::StartMillis;

use crate::Rate;

/// Time since the Unix epoch by the cluster's clock.
pub type EpochTime = Duration;

/// How long a limit is retained that was lifted, or whose endpoint is not in use: longer than
/// messages between boxes are delayed, so that a delayed one does not restore it.
const LIMIT_RETENTION: Duration = Duration::from_mins(1);

/// Age of a limit from which on a response that confirms it is reported to the other boxes: often
/// enough that a limit in force never becomes too old to be learned.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(20);

/// The limit that an endpoint advertised last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// Start time of the incarnation that advertised it; 0 if unknown.
    pub born: StartMillis,
    /// The rate that it accepts from all entry boxes together.
    pub rate: Rate,
    /// Whether its responses no longer advertise a limit.
    pub lifted: bool,
    /// When a box saw this limit in a response, or first saw the end of it.
    pub seen_at: EpochTime,
}

impl AdvertisedLimit {
    /// Whether the incarnation `born` advertised it. An unknown incarnation, 0, matches any.
    pub fn matches_incarnation(&self, born: StartMillis) -> bool {
        self.born == born || self.born == 0 || born == 0
    }

    /// Whether both are equal but for `seen_at`.
    fn is_same_limit(&self, other: &Self) -> bool {
        (self.born, self.rate, self.lifted) == (other.born, other.rate, other.lifted)
    }
}

/// An endpoint's limit, as boxes send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Its limit.
    pub limit: AdvertisedLimit,
}

/// All limits that one box knows of.
///
/// Of two limits of an endpoint, the one from the later incarnation takes precedence, then the one
/// that was seen later. Updates may therefore be lost, duplicated and reordered.
#[derive(Debug, Clone, Default)]
pub struct EndpointLimits {
    by_endpoint: BTreeMap<InstanceId, AdvertisedLimit>,
    /// Endpoints whose limits have changed since the last [`EndpointLimits::take_updates`].
    changed: BTreeSet<InstanceId>,
}

impl EndpointLimits {
    /// Whether no limits are known, so that a response without one has nothing to lift.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// The limit that an endpoint advertised last, if any; it may have been lifted since.
    pub fn get(&self, endpoint: &str) -> Option<&AdvertisedLimit> {
        self.by_endpoint.get(endpoint)
    }

    /// Records the limit that a response from an endpoint's incarnation `born` advertises; `rate`
    /// is none if it advertises none. Returns the new limit if it differs from the known one.
    pub fn record_response(
        &mut self,
        now: EpochTime,
        endpoint: &str,
        born: StartMillis,
        rate: Option<Rate>,
    ) -> Option<AdvertisedLimit> {
        let known = self.known_of(endpoint, born);
        let (born, seen_at) = succeed(now, born, known);
        let limit = match (rate, known) {
            (Some(rate), _) => AdvertisedLimit { born, rate, lifted: false, seen_at },
            (None, Some(known)) => AdvertisedLimit { born, lifted: true, seen_at, ..known },
            (None, None) => return None,
        };
        if let Some(known) = known.filter(|known| known.is_same_limit(&limit)) {
            if !known.lifted && now >= known.seen_at + CONFIRMATION_INTERVAL {
                self.by_endpoint.insert(endpoint.to_owned(), limit);
                self.changed.insert(endpoint.to_owned());
            }
            return None;
        }
        self.by_endpoint.insert(endpoint.to_owned(), limit);
        self.changed.insert(endpoint.to_owned());
        Some(limit)
    }

    /// Records that an endpoint's incarnation `born`, which can fail of refusals, refused a request
    /// without advertising a limit: the boxes start again from `rate`, as if a limit had just ended.
    /// A limit that it does advertise stays in force. Returns the new limit, if any.
    ///
    /// Boxes pass a limit on only if it differs from the one that they know, so the rate is a little
    /// lower where that of the refusal before is still known.
    pub fn record_refusal(
        &mut self,
        now: EpochTime,
        endpoint: &str,
        born: StartMillis,
        rate: Rate,
    ) -> Option<AdvertisedLimit> {
        let known = self.known_of(endpoint, born);
        if known.is_some_and(|known| !known.lifted) {
            return None;
        }
        let (born, seen_at) = succeed(now, born, known);
        let is_known = known.is_some_and(|known| known.rate == rate);
        let rate = if is_known { rate.next_lower() } else { rate };
        let limit = AdvertisedLimit { born, rate, lifted: true, seen_at };
        self.by_endpoint.insert(endpoint.to_owned(), limit);
        self.changed.insert(endpoint.to_owned());
        Some(limit)
    }

    /// The known limit of an endpoint's incarnation `born`.
    fn known_of(&self, endpoint: &str, born: StartMillis) -> Option<AdvertisedLimit> {
        self.by_endpoint.get(endpoint).filter(|known| known.matches_incarnation(born)).copied()
    }

    /// Merges limits that other boxes sent, and returns those that changed the limit known here. One
    /// that is older than the retention and not known here is not learned: it may have been lifted,
    /// and that forgotten.
    pub fn merge(&mut self, now: EpochTime, received: &[EndpointLimit]) -> Vec<EndpointLimit> {
        received.iter().filter_map(|received| self.merge_one(now, received)).collect()
    }

    fn merge_one(&mut self, now: EpochTime, received: &EndpointLimit) -> Option<EndpointLimit> {
        // A time in the future would take precedence over everything seen until then.
        let limit = AdvertisedLimit { seen_at: received.limit.seen_at.min(now), ..received.limit };
        let known = self.by_endpoint.get(&received.endpoint).copied();
        if known.is_none() && now >= limit.seen_at + LIMIT_RETENTION {
            return None;
        }
        if known.is_some_and(|known| (limit.born, limit.seen_at) <= (known.born, known.seen_at)) {
            return None;
        }
        self.by_endpoint.insert(received.endpoint.clone(), limit);
        let is_changed = known.is_none_or(|known| !known.is_same_limit(&limit));
        is_changed.then(|| EndpointLimit { endpoint: received.endpoint.clone(), limit })
    }

    /// Adds limits that another box sent to the next updates.
    pub fn forward(&mut self, limits: &[EndpointLimit]) {
        self.changed.extend(limits.iter().map(|limit| limit.endpoint.clone()));
    }

    /// Returns the limits that changed since the last call, to be sent to other boxes.
    pub fn take_updates(&mut self) -> Vec<EndpointLimit> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|endpoint| self.limit_of(endpoint)).collect()
    }

    /// Returns all limits, for a box that has just connected.
    pub fn all(&self) -> Vec<EndpointLimit> {
        self.by_endpoint.keys().filter_map(|endpoint| self.limit_of(endpoint.clone())).collect()
    }

    fn limit_of(&self, endpoint: InstanceId) -> Option<EndpointLimit> {
        let limit = *self.by_endpoint.get(&endpoint)?;
        Some(EndpointLimit { endpoint, limit })
    }

    /// Removes limits that were lifted, or whose endpoint is not in use any more, once they are
    /// older than `LIMIT_RETENTION`.
    pub fn remove_expired(&mut self, now: EpochTime, in_use: impl Fn(&str, StartMillis) -> bool) {
        self.by_endpoint.retain(|endpoint, limit| {
            now < limit.seen_at + LIMIT_RETENTION || (!limit.lifted && in_use(endpoint, limit.born))
        });
    }
}

/// The incarnation and the time of an observation of incarnation `born` that replaces `known`: later
/// than it, even if that was seen by a box whose clock is ahead.
fn succeed(
    now: EpochTime,
    born: StartMillis,
    known: Option<AdvertisedLimit>,
) -> (StartMillis, EpochTime) {
    let Some(known) = known else { return (born, now) };
    (known.born.max(born), now.max(known.seen_at + Duration::from_micros(1)))
}

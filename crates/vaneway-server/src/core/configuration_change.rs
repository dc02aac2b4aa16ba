//! Differences between configurations, without I/O.
//!
//! A configuration has thousands of routes, few of which differ between versions. Entry boxes that
//! have the previous version are sent only the difference; those with another version, or for which
//! the difference doesn't fit, request the complete configuration.
//!
//! Routes, services and organisations are identified by a key: a route by its host and prefix, the
//! others by their names. Their order has no meaning. A checksum of the resulting configuration
//! shows whether a difference was made for the one to which it is applied.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::core::configuration::CallerLimits;
use crate::core::configuration::Configuration;
use crate::core::configuration::OrganisationSpec;
use crate::core::configuration::Route;
use crate::core::configuration::ServiceSpec;
use crate::core::configuration::Version;

/// The difference between a version and a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// The version that it applies to.
    pub base: Version,
    /// The version that results.
    pub version: Version,
    pub(super) routes: Edits<RouteKey, Route>,
    pub(super) services: Edits<String, ServiceSpec>,
    pub(super) organisations: Edits<String, OrganisationSpec>,
    pub(super) limits: CallerLimits,
    /// Checksum of the resulting configuration.
    pub(super) checksum: u32,
}

/// Key of a route: the host in lower case, and the prefix.
pub(super) type RouteKey = (String, String);

/// Items to remove and to insert; an inserted item replaces the one with the same key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Edits<K, T> {
    removed: Vec<K>,
    pub(super) inserted: Vec<T>,
}

/// An item of a configuration that is identified by a key.
pub(super) trait Keyed: Clone + PartialEq + Serialize {
    type Key: Ord + Clone;

    fn key(&self) -> Self::Key;
}

impl Keyed for Route {
    type Key = RouteKey;

    fn key(&self) -> RouteKey {
        (self.host.to_ascii_lowercase(), self.prefix.clone())
    }
}

impl Keyed for ServiceSpec {
    type Key = String;

    fn key(&self) -> String {
        self.name.clone()
    }
}

impl Keyed for OrganisationSpec {
    type Key = String;

    fn key(&self) -> String {
        self.name.clone()
    }
}

impl ConfigurationChange {
    /// The difference between `base` and `next`; none if several items of either have the same key,
    /// so that only the complete configuration can be sent.
    pub fn between(base: &Configuration, next: &Configuration) -> Option<Self> {
        Some(Self {
            base: base.version,
            version: next.version,
            routes: Edits::between(&base.routes, &next.routes)?,
            services: Edits::between(&base.services, &next.services)?,
            organisations: Edits::between(&base.organisations, &next.organisations)?,
            limits: next.limits,
            checksum: checksum(next),
        })
    }

    /// Combines this change with `next`, which applies to the version that results from this one.
    #[must_use]
    pub fn then(self, next: Self) -> Self {
        Self {
            base: self.base,
            version: next.version,
            routes: self.routes.then(next.routes),
            services: self.services.then(next.services),
            organisations: self.organisations.then(next.organisations),
            limits: next.limits,
            checksum: next.checksum,
        }
    }

    /// Number of items that are removed or inserted.
    pub fn items(&self) -> usize {
        self.routes.items() + self.services.items() + self.organisations.items()
    }
}

impl<T: Keyed> Edits<T::Key, T> {
    fn between(base: &[T], next: &[T]) -> Option<Self> {
        let before = by_key(base)?;
        let after = by_key(next)?;
        let inserted = after.iter().filter(|(key, item)| before.get(key) != Some(item));
        let inserted = inserted.map(|(_, item)| (*item).clone()).collect();
        let removed = before.into_keys().filter(|key| !after.contains_key(key)).collect();
        Some(Self { removed, inserted })
    }

    fn then(self, next: Self) -> Self {
        let mut removed: BTreeSet<T::Key> = self.removed.into_iter().collect();
        let mut inserted: BTreeMap<T::Key, T> =
            self.inserted.into_iter().map(|item| (item.key(), item)).collect();
        for key in next.removed {
            inserted.remove(&key);
            removed.insert(key);
        }
        for item in next.inserted {
            removed.remove(&item.key());
            inserted.insert(item.key(), item);
        }
        Self { removed: removed.into_iter().collect(), inserted: inserted.into_values().collect() }
    }

    fn items(&self) -> usize {
        self.removed.len() + self.inserted.len()
    }

    /// Keys of the items that are removed or replaced.
    pub(super) fn stale_keys(&self) -> impl Iterator<Item = T::Key> {
        self.removed.iter().cloned().chain(self.inserted.iter().map(T::key))
    }
}

/// Items by their key; none if several have the same key.
fn by_key<T: Keyed>(items: &[T]) -> Option<BTreeMap<T::Key, &T>> {
    let by_key: BTreeMap<T::Key, &T> = items.iter().map(|item| (item.key(), item)).collect();
    (by_key.len() == items.len()).then_some(by_key)
}

/// Sums up the checksums of all items. The sum doesn't depend on their order, so a change can
/// update it.
fn checksum(configuration: &Configuration) -> u32 {
    let Configuration { version, routes, services, limits, organisations } = configuration;
    let head = header_checksum(*version, limits);
    let items = routes.iter().map(item_checksum);
    let items = items.chain(services.iter().map(item_checksum));
    items.chain(organisations.iter().map(item_checksum)).fold(head, u32::wrapping_add)
}

/// Checksum of everything but the items.
pub(super) fn header_checksum(version: Version, limits: &CallerLimits) -> u32 {
    item_checksum(&(version, limits))
}

/// Checksum of an item.
pub(super) fn item_checksum<T: Serialize>(item: &T) -> u32 {
    crc32fast::hash(&postcard::to_stdvec(item).expect("items can be encoded"))
}

//! What differs between two configurations, without I/O.
//!
//! Why: configurations have thousands of routes, of which a change alters few. Entry boxes that have the version before are told
//! of the difference; who has another one, or a difference that doesn't fit, takes the whole configuration.
//!
//! Routes, services and organisations have an identity each: a route its host and prefix, the others their names. Their
//! order means nothing. A checksum over all of the result shows whether a difference was made for what it is applied to.

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

/// What differs between a version and a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// The version that it is applied to.
    pub base: Version,
    /// The version that it makes.
    pub version: Version,
    pub(super) routes: Edits<RoutePlace, Route>,
    pub(super) services: Edits<String, ServiceSpec>,
    pub(super) organisations: Edits<String, OrganisationSpec>,
    pub(super) limits: CallerLimits,
    /// Of the configuration that it makes.
    pub(super) checksum: u32,
}

/// A host in lower case, and a prefix.
pub(super) type RoutePlace = (String, String);

/// What is to be taken out and put in; what is put in takes the place of what has the same identity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Edits<K, T> {
    removed: Vec<K>,
    pub(super) put: Vec<T>,
}

/// A part of a configuration that is told from others of its kind.
pub(super) trait Identified: Clone + PartialEq + Serialize {
    type Id: Ord + Clone;

    fn id(&self) -> Self::Id;
}

impl Identified for Route {
    type Id = RoutePlace;

    fn id(&self) -> RoutePlace {
        (self.host.to_ascii_lowercase(), self.prefix.clone())
    }
}

impl Identified for ServiceSpec {
    type Id = String;

    fn id(&self) -> String {
        self.name.clone()
    }
}

impl Identified for OrganisationSpec {
    type Id = String;

    fn id(&self) -> String {
        self.name.clone()
    }
}

impl ConfigurationChange {
    /// What leads from `base` to `next`; none if parts of either can't be told apart, so that only the whole tells it.
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

    /// What leads from this one's base to what `next` makes, which is made for what this one makes.
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

    /// Parts that it names.
    pub fn parts(&self) -> usize {
        self.routes.parts() + self.services.parts() + self.organisations.parts()
    }
}

impl<T: Identified> Edits<T::Id, T> {
    fn between(base: &[T], next: &[T]) -> Option<Self> {
        let before = by_id(base)?;
        let after = by_id(next)?;
        let put = after.iter().filter(|(id, part)| before.get(id) != Some(part));
        let put = put.map(|(_, part)| (*part).clone()).collect();
        let removed = before.into_keys().filter(|id| !after.contains_key(id)).collect();
        Some(Self { removed, put })
    }

    fn then(self, next: Self) -> Self {
        let mut removed: BTreeSet<T::Id> = self.removed.into_iter().collect();
        let mut put: BTreeMap<T::Id, T> =
            self.put.into_iter().map(|part| (part.id(), part)).collect();
        for id in next.removed {
            put.remove(&id);
            removed.insert(id);
        }
        for part in next.put {
            removed.remove(&part.id());
            put.insert(part.id(), part);
        }
        Self { removed: removed.into_iter().collect(), put: put.into_values().collect() }
    }

    fn parts(&self) -> usize {
        self.removed.len() + self.put.len()
    }

    /// Identities of the parts that are no longer as they were.
    pub(super) fn gone(&self) -> impl Iterator<Item = T::Id> {
        self.removed.iter().cloned().chain(self.put.iter().map(T::id))
    }
}

/// Parts by their identity; none if two have the same.
fn by_id<T: Identified>(parts: &[T]) -> Option<BTreeMap<T::Id, &T>> {
    let known: BTreeMap<T::Id, &T> = parts.iter().map(|part| (part.id(), part)).collect();
    (known.len() == parts.len()).then_some(known)
}

/// A sum over all parts, whatever their order, so that it can be kept up by what changes.
fn checksum(configuration: &Configuration) -> u32 {
    let Configuration { version, routes, services, limits, organisations } = configuration;
    let head = checksum_of_head(*version, limits);
    let parts = routes.iter().map(checksum_of);
    let parts = parts.chain(services.iter().map(checksum_of));
    parts.chain(organisations.iter().map(checksum_of)).fold(head, u32::wrapping_add)
}

/// The checksum of what is no part.
pub(super) fn checksum_of_head(version: Version, limits: &CallerLimits) -> u32 {
    checksum_of(&(version, limits))
}

/// The checksum of a part.
pub(super) fn checksum_of<T: Serialize>(part: &T) -> u32 {
    crc32fast::hash(&postcard::to_stdvec(part).expect("parts can be encoded"))
}

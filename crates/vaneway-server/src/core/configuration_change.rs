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
    routes: Edits<RoutePlace, Route>,
    services: Edits<String, ServiceSpec>,
    organisations: Edits<String, OrganisationSpec>,
    limits: CallerLimits,
    /// Of the configuration that it makes.
    checksum: u32,
}

/// A host in lower case, and a prefix.
type RoutePlace = (String, String);

/// What is to be taken out and put in; what is put in takes the place of what has the same identity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Edits<K, T> {
    removed: Vec<K>,
    put: Vec<T>,
}

/// A part of a configuration that is told from others of its kind.
trait Identified: Clone + PartialEq + Serialize {
    type Id: Ord;

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

    /// The configuration that it makes of `base`; none if it was not made for that.
    pub fn apply(&self, base: &Configuration) -> Option<Configuration> {
        if base.version != self.base {
            return None;
        }
        let made = Configuration {
            version: self.version,
            routes: self.routes.apply(&base.routes),
            services: self.services.apply(&base.services),
            limits: self.limits,
            organisations: self.organisations.apply(&base.organisations),
        };
        (checksum(&made) == self.checksum).then_some(made)
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

    fn apply(&self, base: &[T]) -> Vec<T> {
        if self.removed.is_empty() && self.put.is_empty() {
            return base.to_vec();
        }
        let removed: BTreeSet<&T::Id> = self.removed.iter().collect();
        let mut put: BTreeMap<T::Id, &T> = self.put.iter().map(|part| (part.id(), part)).collect();
        let mut parts = Vec::with_capacity(base.len() + put.len());
        for part in base {
            let id = part.id();
            if !removed.contains(&id) {
                parts.push(put.remove(&id).unwrap_or(part).clone());
            }
        }
        parts.extend(put.into_values().cloned());
        parts
    }
}

/// Parts by their identity; none if two have the same.
fn by_id<T: Identified>(parts: &[T]) -> Option<BTreeMap<T::Id, &T>> {
    let known: BTreeMap<T::Id, &T> = parts.iter().map(|part| (part.id(), part)).collect();
    (known.len() == parts.len()).then_some(known)
}

/// A sum over all parts, whatever their order.
fn checksum(configuration: &Configuration) -> u32 {
    let Configuration { version, routes, services, limits, organisations } = configuration;
    let mut buf = Vec::new();
    let mut sum = checksum_of(&(version, limits), &mut buf);
    for route in routes {
        sum = sum.wrapping_add(checksum_of(route, &mut buf));
    }
    for service in services {
        sum = sum.wrapping_add(checksum_of(service, &mut buf));
    }
    for organisation in organisations {
        sum = sum.wrapping_add(checksum_of(organisation, &mut buf));
    }
    sum
}

/// The checksum of a part's bytes, for which `buf` is used.
fn checksum_of<T: Serialize>(part: &T, buf: &mut Vec<u8>) -> u32 {
    buf.clear();
    *buf = postcard::to_extend(part, std::mem::take(buf)).expect("parts can be encoded");
    crc32fast::hash(buf)
}

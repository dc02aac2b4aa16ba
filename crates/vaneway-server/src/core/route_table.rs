//! The configuration in force at an entry box, indexed for looking up requests.
//!
//! The maps are persistent: each request uses one version from its beginning to its end, so a
//! version must stay unchanged while requests that began with it are open. The next version shares
//! all unchanged items with it, so a change of one route costs the same whether there are ten
//! routes or thousands.

use std::rc::Rc;

use rpds::HashTrieMap;

use crate::core::configuration::CallerLimits;
use crate::core::configuration::Configuration;
use crate::core::configuration::OrganisationSpec;
use crate::core::configuration::Route;
use crate::core::configuration::ServiceSpec;
use crate::core::configuration::Version;
use crate::core::configuration_change::ConfigurationChange;
use crate::core::configuration_change::Keyed as _;
use crate::core::configuration_change::RouteKey;
use crate::core::configuration_change::header_checksum;
use crate::core::configuration_change::item_checksum;

/// A configuration that is indexed for looking up requests; clones share their contents.
#[derive(Debug, Clone)]
pub struct RouteTable {
    version: Version,
    limits: CallerLimits,
    hosts: HashTrieMap<String, HostRoutes>,
    services: HashTrieMap<String, Rc<ServiceSpec>>,
    organisations: HashTrieMap<String, Rc<OrganisationSpec>>,
    /// The organisations by their keys.
    keys: HashTrieMap<String, Rc<OrganisationSpec>>,
    /// Checksum of the configuration, which is compared with the one in a change.
    checksum: u32,
}

/// The routes of one host.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_prefix: HashTrieMap<String, Rc<Route>>,
    /// Upper bound of the prefixes' lengths, in bytes.
    longest_prefix: usize,
}

impl RouteTable {
    /// Indexes a configuration, which must have passed
    /// [`check`](crate::core::configuration::check).
    pub fn new(configuration: Configuration) -> Self {
        let Configuration { version, routes, services, limits, organisations } = configuration;
        let mut table = Self {
            version,
            limits,
            hosts: HashTrieMap::new(),
            services: HashTrieMap::new(),
            organisations: HashTrieMap::new(),
            keys: HashTrieMap::new(),
            checksum: header_checksum(version, &limits),
        };
        for route in routes {
            table.insert_route(route);
        }
        for service in services {
            table.insert_service(service);
        }
        for organisation in organisations {
            table.insert_organisation(organisation);
        }
        table
    }

    /// Applies a change to this configuration; none if the change was not made for it.
    pub fn changed(&self, change: &ConfigurationChange) -> Option<Self> {
        if change.base != self.version {
            return None;
        }
        let mut table = self.clone();
        table.version = change.version;
        table.limits = change.limits;
        table.subtract(header_checksum(self.version, &self.limits));
        table.add(header_checksum(change.version, &change.limits));
        // Removals come first: keys may move from one organisation to another.
        for key in change.routes.stale_keys() {
            table.remove_route(&key);
        }
        for name in change.services.stale_keys() {
            table.remove_service(&name);
        }
        for name in change.organisations.stale_keys() {
            table.remove_organisation(&name);
        }
        for route in &change.routes.inserted {
            table.insert_route(route.clone());
        }
        for service in &change.services.inserted {
            table.insert_service(service.clone());
        }
        for organisation in &change.organisations.inserted {
            table.insert_organisation(organisation.clone());
        }
        (table.checksum == change.checksum).then_some(table)
    }

    fn insert_route(&mut self, route: Route) {
        self.add(item_checksum(&route));
        let (host, prefix) = route.key();
        let mut routes = self.hosts.get(&host).cloned().unwrap_or_default();
        routes.longest_prefix = routes.longest_prefix.max(prefix.len());
        routes.by_prefix.insert_mut(prefix, Rc::new(route));
        self.hosts.insert_mut(host, routes);
    }

    fn remove_route(&mut self, (host, prefix): &RouteKey) {
        let Some(mut routes) = self.hosts.get(host).cloned() else { return };
        let Some(route) = routes.by_prefix.get(prefix).cloned() else { return };
        self.subtract(item_checksum(&*route));
        routes.by_prefix.remove_mut(prefix);
        self.hosts.insert_mut(host.clone(), routes);
    }

    fn insert_service(&mut self, service: ServiceSpec) {
        self.add(item_checksum(&service));
        self.services.insert_mut(service.name.clone(), Rc::new(service));
    }

    fn remove_service(&mut self, name: &str) {
        let Some(service) = self.services.get(name).cloned() else { return };
        self.subtract(item_checksum(&*service));
        self.services.remove_mut(name);
    }

    fn insert_organisation(&mut self, organisation: OrganisationSpec) {
        self.add(item_checksum(&organisation));
        let organisation = Rc::new(organisation);
        for key in &organisation.keys {
            self.keys.insert_mut(key.clone(), Rc::clone(&organisation));
        }
        self.organisations.insert_mut(organisation.name.clone(), organisation);
    }

    fn remove_organisation(&mut self, name: &str) {
        let Some(organisation) = self.organisations.get(name).cloned() else { return };
        self.subtract(item_checksum(&*organisation));
        for key in &organisation.keys {
            self.keys.remove_mut(key);
        }
        self.organisations.remove_mut(name);
    }

    fn add(&mut self, checksum: u32) {
        self.checksum = self.checksum.wrapping_add(checksum);
    }

    fn subtract(&mut self, checksum: u32) {
        self.checksum = self.checksum.wrapping_sub(checksum);
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values().map(|service| &**service)
    }

    /// The organisations that may call, in no particular order; empty if anyone may.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationSpec> {
        self.organisations.values().map(|organisation| &**organisation)
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(|routes| routes.by_prefix.size()).sum()
    }

    /// The route of a request: of the host's routes, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        // Every prefix ends with a slash, so only the parts of the path that end with one are
        // looked up, and of an overlong path none that is longer than the longest prefix.
        let ends = path.rmatch_indices('/').map(|(at, slash)| at + slash.len());
        let mut ends = ends.skip_while(|end| *end > routes.longest_prefix);
        ends.find_map(|end| routes.by_prefix.get(&path[..end])).map(|route| &**route)
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&OrganisationSpec> {
        self.keys.get(key).map(|organisation| &**organisation)
    }
}

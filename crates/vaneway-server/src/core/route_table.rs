//! The configuration in force at an entry box, in the form in which requests are looked up in it.
//!
//! Why persistent maps: each request goes by one version from its beginning to its end, so the version before must stay as it
//! is while there are requests that began with it. The next one shares with it all that stays, so that a change of one route
//! costs the same whether there are ten or thousands.

use std::rc::Rc;

use rpds::HashTrieMap;

use crate::core::configuration::CallerLimits;
use crate::core::configuration::Configuration;
use crate::core::configuration::OrganisationSpec;
use crate::core::configuration::Route;
use crate::core::configuration::ServiceSpec;
use crate::core::configuration::Version;
use crate::core::configuration_change::ConfigurationChange;
use crate::core::configuration_change::Identified as _;
use crate::core::configuration_change::RoutePlace;
use crate::core::configuration_change::checksum_of;
use crate::core::configuration_change::checksum_of_head;

/// A configuration as requests are looked up in it; clones share all of it.
#[derive(Debug, Clone)]
pub struct RouteTable {
    version: Version,
    limits: CallerLimits,
    hosts: HashTrieMap<String, HostRoutes>,
    services: HashTrieMap<String, Rc<ServiceSpec>>,
    organisations: HashTrieMap<String, Rc<OrganisationSpec>>,
    /// The organisations that hold keys.
    keys: HashTrieMap<String, Rc<OrganisationSpec>>,
    /// Over all parts, as a change says what it makes.
    checksum: u32,
}

/// The routes of one host.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_prefix: HashTrieMap<String, Rc<Route>>,
    /// Bytes that no prefix has more of.
    longest: usize,
}

impl RouteTable {
    /// Prepares a configuration that was checked.
    pub fn new(configuration: Configuration) -> Self {
        let Configuration { version, routes, services, limits, organisations } = configuration;
        let mut table = Self {
            version,
            limits,
            hosts: HashTrieMap::new(),
            services: HashTrieMap::new(),
            organisations: HashTrieMap::new(),
            keys: HashTrieMap::new(),
            checksum: checksum_of_head(version, &limits),
        };
        for route in routes {
            table.put_route(route);
        }
        for service in services {
            table.put_service(service);
        }
        for organisation in organisations {
            table.put_organisation(organisation);
        }
        table
    }

    /// What a change makes of this configuration; none if it was not made for it.
    pub fn changed(&self, change: &ConfigurationChange) -> Option<Self> {
        if change.base != self.version {
            return None;
        }
        let mut table = self.clone();
        table.version = change.version;
        table.limits = change.limits;
        table.subtract(checksum_of_head(self.version, &self.limits));
        table.add(checksum_of_head(change.version, &change.limits));
        // All that goes is taken out first: keys may pass from one organisation to another.
        for place in change.routes.gone() {
            table.take_route(&place);
        }
        for name in change.services.gone() {
            table.take_service(&name);
        }
        for name in change.organisations.gone() {
            table.take_organisation(&name);
        }
        for route in &change.routes.put {
            table.put_route(route.clone());
        }
        for service in &change.services.put {
            table.put_service(service.clone());
        }
        for organisation in &change.organisations.put {
            table.put_organisation(organisation.clone());
        }
        (table.checksum == change.checksum).then_some(table)
    }

    fn put_route(&mut self, route: Route) {
        self.add(checksum_of(&route));
        let (host, prefix) = route.id();
        let mut routes = self.hosts.get(&host).cloned().unwrap_or_default();
        routes.longest = routes.longest.max(prefix.len());
        routes.by_prefix.insert_mut(prefix, Rc::new(route));
        self.hosts.insert_mut(host, routes);
    }

    fn take_route(&mut self, (host, prefix): &RoutePlace) {
        let Some(mut routes) = self.hosts.get(host).cloned() else { return };
        let Some(route) = routes.by_prefix.get(prefix).cloned() else { return };
        self.subtract(checksum_of(&*route));
        routes.by_prefix.remove_mut(prefix);
        self.hosts.insert_mut(host.clone(), routes);
    }

    fn put_service(&mut self, service: ServiceSpec) {
        self.add(checksum_of(&service));
        self.services.insert_mut(service.name.clone(), Rc::new(service));
    }

    fn take_service(&mut self, name: &str) {
        let Some(service) = self.services.get(name).cloned() else { return };
        self.subtract(checksum_of(&*service));
        self.services.remove_mut(name);
    }

    fn put_organisation(&mut self, organisation: OrganisationSpec) {
        self.add(checksum_of(&organisation));
        let organisation = Rc::new(organisation);
        for key in &organisation.keys {
            self.keys.insert_mut(key.clone(), Rc::clone(&organisation));
        }
        self.organisations.insert_mut(organisation.name.clone(), organisation);
    }

    fn take_organisation(&mut self, name: &str) {
        let Some(organisation) = self.organisations.get(name).cloned() else { return };
        self.subtract(checksum_of(&*organisation));
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

    /// Its number.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values().map(|service| &**service)
    }

    /// Who may call, in no order; nobody if everyone may.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationSpec> {
        self.organisations.values().map(|organisation| &**organisation)
    }

    /// How many routes there are.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(|routes| routes.by_prefix.size()).sum()
    }

    /// The route of a request: of the host's routes, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        // Every prefix ends with a slash, so only what ends with one of the path's is looked up; of a path without end
        // no more than a prefix can have.
        let ends = path.rmatch_indices('/').map(|(at, slash)| at + slash.len());
        let mut ends = ends.skip_while(|end| *end > routes.longest);
        ends.find_map(|end| routes.by_prefix.get(&path[..end])).map(|route| &**route)
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&OrganisationSpec> {
        self.keys.get(key).map(|organisation| &**organisation)
    }
}

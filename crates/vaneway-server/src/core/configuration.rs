//! The configuration of a running deployment: services, routes, organisations, and limits on
//! callers.
//!
//! It is separate from the settings, which belong to one process and are read when it starts: the
//! configuration belongs to the deployment, has a version, is agreed on by the control boxes and is
//! in force at every entry box within seconds.
//!
//! Data flow: an operators' interface decodes a document into a [`Configuration`]; [`check`]
//! reports all errors in it; the control boxes agree on it; entry boxes look requests up in a
//! [`RouteTable`](crate::core::route_table::RouteTable) built from it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::util::findings::Findings;

/// Version number of a configuration; the highest one is in force.
pub type Version = u64;

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number.
    pub version: Version,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations that may call; empty if anyone may.
    pub organisations: Vec<OrganisationSpec>,
}

/// Whether a route's requests may be repeated, and the form of their responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// Responds with a stream of numbered events.
    Stream {
        /// Whether another endpoint can resume a stream that broke off.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }
}

/// Selects requests by host and path, and defines how they are handled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name in the request.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated, and the form of their responses.
    pub kind: RequestKind,
    /// Longest time that a request may stay open.
    pub timeout: Duration,
    /// Latency objective: the time within which a response, or a stream's first event, should
    /// arrive.
    pub objective: Duration,
    /// Objective for the longest gap between two events of a stream.
    pub pause_objective: Option<Duration>,
    /// Priority of its requests; 0 is the highest.
    pub priority: u32,
    /// The services that share its requests, by weight.
    pub targets: Vec<Target>,
    /// Largest number of endpoints that a request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests with a common prompt prefix should be sent to the same endpoint.
    pub affine: bool,
}

/// One of the services behind a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its weight among the route's targets.
    pub weight: u64,
}

/// A service that routes refer to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Number of connections that one endpoint accepts from all boxes together.
    pub max_connections: u32,
    /// Properties of the model engine, if its endpoints run one.
    pub engine: Option<EngineSpec>,
    /// What may be ordered from the cloud for it, if anything.
    pub capacity: Option<CapacitySpec>,
}

/// Properties of a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of tokens that its memory holds.
    pub memory_tokens: u64,
    /// Whether a running request's state can be moved to another endpoint.
    pub moves: bool,
    /// How long a copy of a request's state is kept.
    pub copy_kept: Duration,
}

/// What may be ordered from the cloud for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacitySpec {
    /// Fewest replicas in an availability zone.
    pub least: u32,
    /// Most replicas in an availability zone, reclaimable and on-demand ones together.
    pub most: u32,
    /// Time from an order until the replica does its first work.
    pub start_takes: Duration,
    /// Price of a reclaimable replica as a fraction of the on-demand price.
    pub reclaimable_price: f64,
    /// Price of a replica per second, by availability zone.
    pub prices: BTreeMap<String, f64>,
}

/// Limits on the size of callers' requests and on the time that callers may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time allowed for a request head, from its first byte.
    #[serde(rename = "header_within")]
    pub header_timeout: Duration,
    /// How long a connection may be idle between requests.
    #[serde(rename = "idle_within")]
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// What is charged to an organisation's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// One unit for each request.
    Requests,
    /// The tokens of each request.
    Tokens {
        /// Units for a request that has no tokens.
        plain: u64,
    },
}

/// An organisation that may call, with its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Name of the organisation.
    pub name: String,
    /// The keys that identify its callers.
    pub keys: BTreeSet<String>,
    /// Priority of its requests, in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// What is charged to its quota.
    pub unit: QuotaUnit,
    /// Units per second over all entry boxes; none if unlimited.
    pub rate: Option<f64>,
    /// Units that may be taken at once in addition to the rate.
    pub burst: f64,
}

/// Reports all errors in a configuration, each with its path.
pub fn check(configuration: &Configuration, findings: &Findings) {
    let services: BTreeSet<&str> = configuration.services.iter().map(|s| s.name.as_str()).collect();
    let mut seen = BTreeMap::new();
    for (i, route) in configuration.routes.iter().enumerate() {
        let path = format!("$.routes[{i}]");
        for target in &route.targets {
            if !services.contains(target.service.as_str()) {
                let message = format!("there is no service `{}`", target.service);
                findings.report(format!("{path}.targets"), message);
            }
        }
        if route.targets.iter().map(|target| target.weight).sum::<u64>() == 0 {
            findings.report(format!("{path}.targets"), "the weights sum to 0, raise one");
        }
        if route.timeout.is_zero() {
            findings.report(format!("{path}.timeout"), "must be longer than 0");
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            findings.report(format!("{path}.prefix"), "must begin and end with `/`");
        }
        let key = (route.host.to_ascii_lowercase(), route.prefix.clone());
        if let Some(first) = seen.insert(key, i) {
            let message = format!("same host and prefix as $.routes[{first}]");
            findings.report(format!("{path}.prefix"), message);
        }
    }
    check_unique(configuration, findings);
}

fn check_unique(configuration: &Configuration, findings: &Findings) {
    let mut names = BTreeSet::new();
    for (i, service) in configuration.services.iter().enumerate() {
        if !names.insert(service.name.as_str()) {
            findings.report(format!("$.services[{i}].name"), "another service has this name");
        }
    }
    let mut keys = BTreeMap::new();
    for (i, organisation) in configuration.organisations.iter().enumerate() {
        for key in &organisation.keys {
            if let Some(first) = keys.insert(key.as_str(), i) {
                let message = format!("one of its keys is also in $.organisations[{first}]");
                findings.report(format!("$.organisations[{i}].keys"), message);
            }
        }
    }
}

impl Route {
    /// Whether requests of this route may be sent to `service`.
    pub fn leads_to(&self, service: &str) -> bool {
        self.targets.iter().any(|target| target.weight > 0 && target.service == service)
    }

    /// Picks the service for a request by weight; `draw` is uniformly distributed over all numbers.
    pub fn pick(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        None
    }
}

//! The configuration that operators give to a running deployment: services, routes,
//! organisations, and limits on callers.
//!
//! Why a type of its own besides the settings: settings belong to one process and are read at its
//! start; the configuration belongs to the deployment, has a version, is agreed on by the control
//! boxes and is in force at every entry box within seconds.
//!
//! Data flow: an operators' interface decodes a document into a [`Configuration`]; [`check`] finds
//! everything that is wrong with it; the control boxes agree on it; entry boxes look requests up
//! in a [`RouteTable`](crate::core::route_table::RouteTable) made of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::util::findings::Findings;

/// Number of a configuration; the highest one is in force.
pub type Version = u64;

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub version: Version,
    /// Where requests go, in no order.
    pub routes: Vec<Route>,
    /// What they go to.
    pub services: Vec<ServiceSpec>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Who may call; empty if everyone may.
    pub organisations: Vec<OrganisationSpec>,
}

/// What may be repeated of a route's requests, and what their answers look like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with a stream of numbered events.
    Stream {
        /// Whether another endpoint may go on with a stream that broke off.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }
}

/// Which requests go where, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What its requests are.
    pub kind: RequestKind,
    /// How long a request may be held.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is of full use.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is of full use.
    pub pause_objective: Option<Duration>,
    /// Its rank; 0 goes first.
    pub priority: u32,
    /// The services that share its requests, by weight.
    pub targets: Vec<Target>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests with a shared beginning should meet again at one endpoint.
    pub affine: bool,
}

/// One of the services behind a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's targets.
    pub weight: u64,
}

/// A service behind routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one endpoint takes from all boxes together.
    pub max_connections: u32,
    /// Figures of the model engine, if its endpoints are such.
    pub engine: Option<EngineSpec>,
    /// What may be ordered of the cloud for it, if anything.
    pub capacity: Option<CapacitySpec>,
}

/// Figures of a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Whether a running request's memory can be moved to another endpoint.
    pub moves: bool,
    /// How long a copy of a request's memory is kept.
    pub copy_kept: Duration,
}

/// What may be ordered of the cloud for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacitySpec {
    /// Fewest replicas in an availability zone.
    pub least: u32,
    /// Most replicas in an availability zone, of both kinds together.
    pub most: u32,
    /// Time from an order to its first work.
    pub start_takes: Duration,
    /// Price of a reclaimable replica as a part of an on-demand one's.
    pub reclaimable_price: f64,
    /// Price of a replica's second by availability zone.
    pub prices: BTreeMap<String, f64>,
}

/// Limits on what callers send and how long they may take or rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// How long a request's head may take from its first byte.
    #[serde(rename = "header_within")]
    pub header_timeout: Duration,
    /// How long a connection may rest between requests.
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

/// What an organisation's quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// Each request counts its tokens.
    Tokens {
        /// What a request without tokens counts.
        plain: u64,
    },
}

/// Who may call, and how much.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Its name.
    pub name: String,
    /// The keys that its callers hold.
    pub keys: BTreeSet<String>,
    /// Its rank, which goes before the route's; 0 goes first.
    pub priority: Option<u32>,
    /// What its quota counts.
    pub unit: QuotaUnit,
    /// Units a second over all entry boxes; none if unlimited.
    pub rate: Option<f64>,
    /// Units on top.
    pub burst: f64,
}

/// Finds everything that is wrong with a configuration, with its place in it.
pub fn check(configuration: &Configuration, findings: &Findings) {
    let services: BTreeSet<&str> = configuration.services.iter().map(|s| s.name.as_str()).collect();
    let mut places = BTreeMap::new();
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
        let place = (route.host.to_ascii_lowercase(), route.prefix.clone());
        if let Some(first) = places.insert(place, i) {
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
                let message = format!("one of its keys belongs to $.organisations[{first}] too");
                findings.report(format!("$.organisations[{i}].keys"), message);
            }
        }
    }
}

impl Route {
    /// The service for a request, by weight; `draw` is spread evenly over all numbers.
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

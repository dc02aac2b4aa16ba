//! Settings of one process, as read from its JSON file.
//!
//! [`read()`] checks the whole file and reports every finding with its JSON path. What the fields
//! mean for operators stands in docs/OPERATIONS.md.

mod read;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use vaneway_route::EndpointSpec;
use vaneway_route::Policy;

pub use read::SettingsError;
pub use read::read;
pub use read::read_file;
pub use read::read_process;
pub use read::read_process_file;

/// Settings of one process.
#[derive(Debug, Clone, Serialize)]
pub struct Settings {
    /// Name of this entry box, unique in the deployment.
    pub name: String,
    /// The availability zone that this box stands in.
    pub availability_zone: String,
    /// Every availability zone of the deployment.
    pub availability_zones: Vec<String>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The operators' address.
    pub operators: Operators,
    /// The cloud platform's interface, if any.
    pub platform: Option<Platform>,
    /// How this box talks to the other entry boxes.
    pub cluster: Option<Cluster>,
    /// How this box follows the control boxes, in a deployment that has them.
    pub follow: Option<FollowSettings>,
    /// Where balancers ask whether this box is ready, besides the callers' address.
    pub ready: Option<SocketAddr>,
    /// The other entry boxes.
    pub peers: Vec<Peer>,
    /// Where durable state is kept.
    pub data_folder: Option<PathBuf>,
    /// Who may call.
    pub organisations: Vec<Organisation>,
    /// What is served.
    pub services: Vec<Service>,
    /// Every replica of every service.
    pub replicas: Vec<EndpointSpec>,
    /// How endpoints are chosen.
    pub routing: Routing,
    /// Limits on what callers send and hold.
    pub limits: Limits,
    /// How the process stops.
    pub stop: Stop,
    /// The ledger of calls that may run at most once.
    pub claims: ClaimSettings,
}

/// How an entry box follows the control boxes.
#[derive(Debug, Clone, Serialize)]
pub struct FollowSettings {
    /// Control boxes to begin with, by their addresses for other boxes.
    pub seeds: Vec<SocketAddr>,
    /// Length of an accounting window.
    pub window: Duration,
    /// What operators allow beyond quotas.
    pub quota: QuotaAllowance,
    /// What operators allow of retries.
    pub retries: RetryAllowance,
}

/// Retries that operators allow a service in a short time, over all entry boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryAllowance {
    /// For each request.
    pub share: f64,
    /// On top.
    pub slack: f64,
}

/// What operators allow beyond quotas, since entry boxes admit requests without asking each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct QuotaAllowance {
    /// Time over which a quota is measured.
    pub window: Duration,
    /// Part of what a quota allows in that time, on top.
    pub overage: f64,
    /// Units on top of that.
    pub slack: f64,
}

/// Settings of a control box.
#[derive(Debug, Clone, Serialize)]
pub struct ControlSettings {
    /// Name of this control box, unique in the deployment.
    pub name: String,
    /// The availability zone that it stands in.
    pub availability_zone: String,
    /// Where endpoints and operators call.
    pub listen: SocketAddr,
    /// Where operators reach the product's own interface, if that is another address. All control
    /// boxes use the same port there.
    pub operators: Option<SocketAddr>,
    /// Where other boxes connect. All control boxes use the same port there.
    pub cluster_listen: SocketAddr,
    /// Control boxes to begin with, by their addresses for other boxes.
    pub seeds: Vec<SocketAddr>,
    /// Whether this start may form a new group of exactly the seeds. Only true when the whole
    /// deployment starts for the first time.
    pub form_group: bool,
    /// Where durable state is kept.
    pub data_folder: PathBuf,
    /// Entries of the agreement's log after which a snapshot takes their place.
    pub snapshot_entries: u64,
    /// How long after its start a control box names endpoints that only its disk remembers.
    #[serde(rename = "remembered_for")]
    pub restored_retention: Duration,
    /// Length of an accounting window.
    pub window: Duration,
    /// The cloud's interface, if it wants reports.
    pub cloud: Option<CloudSettings>,
    /// How replicas are ordered.
    pub capacity: vaneway_capacity::Policy,
}

/// The cloud's interface for reports and orders.
#[derive(Debug, Clone, Serialize)]
pub struct CloudSettings {
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it wants a report of what organisations used in each window.
    pub usage_reports: bool,
    /// Whether it takes orders of replicas.
    pub capacity_orders: bool,
}

/// Settings of one process, by its role.
#[derive(Debug, Clone)]
pub enum ProcessSettings {
    /// An entry box.
    Entry(Box<Settings>),
    /// A control box.
    Control(Box<ControlSettings>),
}

/// The ledger of calls that may run at most once.
#[derive(Debug, Clone, Serialize)]
pub struct ClaimSettings {
    /// How long a key and its answer are kept.
    pub retention: Duration,
    /// Bytes of log after which a snapshot is made.
    pub snapshot_bytes: u64,
}

/// The operators' address and who may use it.
#[derive(Debug, Clone, Serialize)]
pub struct Operators {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// Tokens that operators hold; without any, everyone who reaches the address may call.
    #[serde(skip)]
    pub tokens: Vec<OperatorToken>,
}

/// One operator's token.
#[derive(Debug, Clone)]
pub struct OperatorToken {
    /// The operator's name, for the log.
    pub name: String,
    /// The secret.
    pub token: String,
}

/// The cloud platform's interface.
#[derive(Debug, Clone, Serialize)]
pub struct Platform {
    /// Where it answers.
    pub address: SocketAddr,
    /// Time between two looks at the list of boxes.
    #[serde(rename = "list_every")]
    pub list_interval: Duration,
    /// How long one wait for notices lasts.
    #[serde(rename = "notice_wait")]
    pub notice_poll_timeout: Duration,
}

/// How this box talks to the other entry boxes.
#[derive(Debug, Clone, Serialize)]
pub struct Cluster {
    /// Where it takes datagrams.
    pub listen: SocketAddr,
    /// The secret that all boxes of the deployment share.
    #[serde(skip)]
    pub key: String,
}

/// Another entry box.
#[derive(Debug, Clone, Serialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address for datagrams.
    pub address: SocketAddr,
}

/// Who may call.
#[derive(Debug, Clone, Serialize)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// The secret that its callers send.
    #[serde(skip)]
    pub token: String,
    /// Its priority, from 0 (lowest) to 9.
    pub priority: u8,
}

/// What stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Model,
    /// An ordinary HTTP service.
    Plain,
}

/// A call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NonRepeatable {
    /// The method, in capitals.
    pub method: String,
    /// What the path, within the service, begins with.
    pub path: String,
}

/// A service.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Models that it serves, for a model service.
    pub models: Vec<String>,
    /// Calls that may not be repeated.
    pub non_repeatable: Vec<NonRepeatable>,
    /// Header with which an endpoint says that it did not run a call it answers with 503.
    pub not_run_header: Option<String>,
    /// How long a caller is served at most.
    pub deadline: Duration,
    /// How long a request waits for an endpoint.
    #[serde(rename = "patience")]
    pub endpoint_wait_timeout: Duration,
    /// Longest silence of an endpoint before an attempt counts as broken.
    #[serde(rename = "stall")]
    pub stall_timeout: Duration,
    /// Most attempts before an answer begins.
    pub max_attempts: u32,
    /// Retries allowed for each hundred requests.
    pub retry_percent: u32,
}

impl Service {
    /// Whether a call may run at most once.
    pub fn is_non_repeatable(&self, method: &str, path: &str) -> bool {
        let matches = |call: &NonRepeatable| call.method == method && path.starts_with(&call.path);
        self.non_repeatable.iter().any(matches)
    }
}

/// How endpoints are chosen.
#[derive(Debug, Clone, Serialize)]
pub struct Routing {
    /// The policy.
    pub policy: Policy,
    /// Seed of its random numbers, together with the box's name.
    pub seed: u64,
    /// Whether a call that may run at most once gets a new connection. An idle one may be closing
    /// at that moment, which leaves the call's outcome unknown for no good reason; but a new one
    /// costs time.
    pub fresh_for_at_most_once: bool,
}

/// Limits on what callers send and hold.
#[derive(Debug, Clone, Serialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes that wait for a slow caller before its endpoint is read no further.
    pub stream_bytes: usize,
    /// Most bytes of a plain answer that are held back until it is whole.
    pub answer_bytes: usize,
    /// Most requests open at once.
    pub open_requests: usize,
    /// How long a caller may leave its stream unread.
    #[serde(rename = "caller_stall")]
    pub caller_stall_timeout: Duration,
}

/// How the process stops.
#[derive(Debug, Clone, Serialize)]
pub struct Stop {
    /// Time between losing readiness and refusing new work.
    #[serde(rename = "accept")]
    pub accept_grace: Duration,
    /// Time for open requests to finish after that.
    #[serde(rename = "finish")]
    pub drain_timeout: Duration,
}

impl Settings {
    /// Finds the organisation that holds `token`.
    pub fn organisation_of(&self, token: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|organisation| organisation.token == token)
    }

    /// Finds the service that serves `model`.
    pub fn service_of_model(&self, model: &str) -> Option<usize> {
        self.services.iter().position(|service| service.models.iter().any(|m| m == model))
    }

    /// Finds a service by name.
    pub fn service_named(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }
}

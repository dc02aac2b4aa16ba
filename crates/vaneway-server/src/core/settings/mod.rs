//! Settings of one process, as read from its JSON file.
//!
//! [`read()`] validates the whole file and reports every finding with its JSON path. The settings
//! are documented for operators in docs/OPERATIONS.md.

mod read;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use vaneway_route::EndpointSpec;
use vaneway_route::LeavingZone;
use vaneway_route::Policy;

pub use read::SettingsError;
pub use read::read;
pub use read::read_process;
pub use read::read_process_file;

/// Settings of an entry box.
#[derive(Debug, Clone, Serialize)]
pub struct Settings {
    /// Name of this entry box, unique in the deployment.
    pub name: String,
    /// The availability zone of this box.
    pub availability_zone: String,
    /// All availability zones of the deployment.
    pub availability_zones: Vec<String>,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Interface for operators.
    pub operators: Operators,
    /// Interface of the cloud platform, if it has one.
    pub platform: Option<Platform>,
    /// Gossip with the other entry boxes.
    pub cluster: Option<Cluster>,
    /// Connections to the control boxes, in a deployment that has them.
    pub follow: Option<FollowSettings>,
    /// Additional listening address for the readiness probes of load balancers, which may also use
    /// the callers' address.
    pub ready: Option<SocketAddr>,
    /// Listening address for calls that other entry boxes forward while they reach no endpoint.
    pub forwarded_listen: Option<SocketAddr>,
    /// The other entry boxes.
    pub peers: Vec<Peer>,
    /// Directory for durable state.
    pub data_folder: Option<PathBuf>,
    /// Organisations whose callers are served.
    pub organisations: Vec<Organisation>,
    /// Services that callers can reach.
    pub services: Vec<Service>,
    /// The replicas of all services.
    pub replicas: Vec<EndpointSpec>,
    /// Selection of endpoints for requests.
    pub routing: Routing,
    /// Limits for requests and connections of callers.
    pub limits: Limits,
    /// Timing of a planned stop.
    pub stop: Stop,
    /// Ledger of requests that may run at most once.
    pub claims: ClaimSettings,
}

/// Settings of an entry box that follows control boxes.
#[derive(Debug, Clone, Serialize)]
pub struct FollowSettings {
    /// Control boxes to connect to first, by their addresses for other boxes.
    pub seeds: Vec<SocketAddr>,
    /// Length of an accounting window.
    pub window: Duration,
    /// By how much organisations may exceed their quotas.
    pub quota: QuotaAllowance,
    /// Retry budget of each service.
    pub retries: RetryAllowance,
    /// How much may be sent to a version on trial, over all entry boxes together; none if no roll-outs
    /// are made here.
    pub exposure: Option<Exposure>,
}

/// How many requests of a service may be sent to a version on trial.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Exposure {
    /// Share of the service's requests.
    pub share: f64,
    /// Requests in addition to that.
    pub slack: f64,
}

/// Retry budget of a service for a short time, over all entry boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryAllowance {
    /// Retries for each request.
    pub share: f64,
    /// Retries in addition to that, independent of the number of requests.
    pub slack: f64,
}

/// By how much an organisation may exceed its quota. Some excess is unavoidable, since each entry
/// box admits requests without querying the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct QuotaAllowance {
    /// Time over which usage is compared with the quota.
    pub window: Duration,
    /// Allowed excess, as a fraction of what the quota allows in that time.
    pub overage: f64,
    /// Allowed excess in addition to that, in quota units.
    pub slack: f64,
}

/// Settings of a control box.
#[derive(Debug, Clone, Serialize)]
pub struct ControlSettings {
    /// Name of this control box, unique in the deployment.
    pub name: String,
    /// The availability zone of this control box.
    pub availability_zone: String,
    /// Listening address for endpoints and operators.
    pub listen: SocketAddr,
    /// Listening address of the native interface for operators, if it differs from `listen`. All
    /// control boxes use the same port for it.
    pub operators: Option<SocketAddr>,
    /// Listening address for other boxes. All control boxes use the same port for it.
    pub cluster_listen: SocketAddr,
    /// Control boxes to connect to first, by their addresses for other boxes.
    pub seeds: Vec<SocketAddr>,
    /// Whether this start may form a new Raft group of exactly the seeds. Must be true only when
    /// the whole deployment starts for the first time.
    pub form_group: bool,
    /// Directory for durable state.
    pub data_folder: PathBuf,
    /// Number of entries of the Raft log after which they are replaced by a snapshot.
    pub snapshot_entries: u64,
    /// How long after its start a control box lists endpoints that it restored from disk and that
    /// have not reported since.
    #[serde(rename = "remembered_for")]
    pub restored_retention: Duration,
    /// Length of an accounting window.
    pub window: Duration,
    /// Interface of the cloud for reports and orders, if it has one.
    pub cloud: Option<CloudSettings>,
    /// Policy for ordering replicas.
    pub capacity: vaneway_capacity::Policy,
    /// Time within which a version on trial must be taken back once its answers show that it is bad;
    /// none if roll-outs are refused.
    pub rollback: Option<Duration>,
}

/// Interface of the cloud for reports and orders.
#[derive(Debug, Clone, Serialize)]
pub struct CloudSettings {
    /// Address to which reports and orders are sent.
    pub address: SocketAddr,
    /// Whether to send a report of each organisation's usage for each accounting window.
    pub usage_reports: bool,
    /// Whether to send orders for replicas.
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

/// Settings of the ledger of requests that may run at most once.
#[derive(Debug, Clone, Serialize)]
pub struct ClaimSettings {
    /// How long an idempotency key and its stored response are retained.
    pub retention: Duration,
    /// Size of the ledger's log at which it is replaced by a snapshot, in bytes.
    pub snapshot_bytes: u64,
}

/// Interface for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Operators {
    /// Listening address.
    pub listen: SocketAddr,
    /// Accepted tokens. If there are none, everyone who can reach the address may make calls.
    #[serde(skip)]
    pub tokens: Vec<OperatorToken>,
}

/// One operator's token.
#[derive(Debug, Clone)]
pub struct OperatorToken {
    /// The operator's name, for the log.
    pub name: String,
    /// The secret token.
    pub token: String,
}

/// Interface of the cloud platform.
#[derive(Debug, Clone, Serialize)]
pub struct Platform {
    /// Address of the interface.
    pub address: SocketAddr,
    /// Interval at which the list of boxes is polled.
    #[serde(rename = "list_every")]
    pub list_interval: Duration,
    /// Timeout of one long poll for notices.
    #[serde(rename = "notice_wait")]
    pub notice_poll_timeout: Duration,
}

/// Gossip between entry boxes.
#[derive(Debug, Clone, Serialize)]
pub struct Cluster {
    /// Address on which this box receives datagrams.
    pub listen: SocketAddr,
    /// Secret key shared by all boxes of the deployment.
    #[serde(skip)]
    pub key: String,
}

/// Another entry box.
#[derive(Debug, Clone, Serialize)]
pub struct Peer {
    /// Name of the box.
    pub name: String,
    /// Address to which datagrams for it are sent.
    pub address: SocketAddr,
}

/// An organisation whose callers are served.
#[derive(Debug, Clone, Serialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: String,
    /// Secret token that its callers send.
    #[serde(skip)]
    pub token: String,
    /// Priority of its requests, from 0 (lowest) to 9.
    pub priority: u8,
}

/// Kind of endpoints behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Model,
    /// An ordinary HTTP service.
    Plain,
}

/// Pattern of requests that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NonRepeatable {
    /// HTTP method, in capitals.
    pub method: String,
    /// Prefix of the path within the service.
    pub path: String,
}

/// A service.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Kind of its endpoints.
    pub kind: ServiceKind,
    /// Models that it serves; empty unless it is a model service.
    pub models: Vec<String>,
    /// Requests that may run at most once.
    pub non_repeatable: Vec<NonRepeatable>,
    /// Header by which an endpoint marks a 503 response to a request that it has not run.
    pub not_run_header: Option<String>,
    /// Maximum time for serving a request, retries included.
    pub deadline: Duration,
    /// Maximum time that a request waits for an available endpoint.
    #[serde(rename = "patience")]
    pub endpoint_wait_timeout: Duration,
    /// Time without any bytes from the endpoint after which an attempt has failed.
    #[serde(rename = "stall")]
    pub stall_timeout: Duration,
    /// Maximum number of attempts until the response begins.
    pub max_attempts: u32,
    /// Retry budget, in retries per hundred requests.
    pub retry_percent: u32,
}

impl Service {
    /// Whether a request with this method and path may run at most once.
    pub fn is_non_repeatable(&self, method: &str, path: &str) -> bool {
        let matches = |call: &NonRepeatable| call.method == method && path.starts_with(&call.path);
        self.non_repeatable.iter().any(matches)
    }
}

/// Selection of endpoints for requests.
#[derive(Debug, Clone, Serialize)]
pub struct Routing {
    /// Policy that selects an endpoint.
    pub policy: Policy,
    /// Seed of the policy's random numbers, combined with the name of the box.
    pub seed: u64,
    /// Whether a request that may run at most once is always sent over a new connection. The
    /// endpoint may be closing an idle connection at that moment, which would leave the request's
    /// outcome unknown without need; a new connection costs time. Otherwise it may be sent over one
    /// that has rested.
    pub fresh_for_at_most_once: bool,
    /// When requests leave the availability zone; none for the policy's own preference.
    pub leaving_zone: Option<LeavingZone>,
    /// Who is admitted first in a shortage.
    pub shortage: ShortageDecisions,
}

/// Who is admitted first while engines have too little room for all requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ShortageDecisions {
    /// Whether the more urgent are admitted first.
    pub order: bool,
    /// Whether organisations get weighted max-min shares of the room.
    pub shares: bool,
}

/// Limits for requests and connections of callers.
#[derive(Debug, Clone, Serialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Bytes buffered for a slow caller at which reading from its endpoint pauses.
    pub stream_bytes: usize,
    /// Maximum bytes of a plain response that are buffered until it is complete.
    pub answer_bytes: usize,
    /// Maximum bytes of an answer up to the end of its head.
    pub answer_head_bytes: usize,
    /// Maximum bytes of one event of a stream.
    pub event_bytes: usize,
    /// Maximum bytes of a stream for each token that was asked for, beside `answer_bytes`.
    pub token_bytes: usize,
    /// Maximum bytes of any answer's body.
    pub long_answer_bytes: u64,
    /// Bytes of answers that are held for all callers together, beyond which those that hold more
    /// than an equal share stop.
    pub held_bytes: usize,
    /// Maximum number of open requests.
    pub open_requests: usize,
    /// How long a caller may leave its stream unread.
    #[serde(rename = "caller_stall")]
    pub caller_stall_timeout: Duration,
}

/// Timing of a planned stop.
#[derive(Debug, Clone, Serialize)]
pub struct Stop {
    /// Time between becoming unready and refusing new requests.
    #[serde(rename = "accept")]
    pub accept_grace: Duration,
    /// Maximum time for open requests to finish after that.
    #[serde(rename = "finish")]
    pub drain_timeout: Duration,
}

impl Settings {
    /// Finds the organisation with this token.
    pub fn organisation_of(&self, token: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|organisation| organisation.token == token)
    }

    /// Index of the service that serves `model`.
    pub fn service_of_model(&self, model: &str) -> Option<usize> {
        self.services.iter().position(|service| service.models.iter().any(|m| m == model))
    }

    /// Index of the service with this name.
    pub fn service_named(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }
}

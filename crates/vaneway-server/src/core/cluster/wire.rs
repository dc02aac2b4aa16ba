//! The messages between entry and control boxes, over TCP in `postcard`.
//!
//! An entry box opens a connection to every known control box and identifies itself; so does every
//! control box. Everything that is lost with a connection is sent in full over the next one: of
//! configuration and registry only the newest value counts, and the consensus protocol retransmits
//! by itself.
//!
//! All control boxes announce the version of the configuration, which is then requested from one of
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vaneway_agreement::NodeId;
use vaneway_ledger::CallerTimes;
use vaneway_ledger::Loads;
use vaneway_ledger::OthersQuotaUsage;
use vaneway_ledger::UsageReport;
use vaneway_limit::BoxNumber;
use vaneway_limit::EndpointLimit;
use vaneway_origins::Origin;
use vaneway_origins::OriginRecord;
use vaneway_origins::StreamKey;
use vaneway_quarantine::QuarantineRecord;
use vaneway_registry::Report;
use vaneway_rollout::Evidence;
use vaneway_rollout::Rollout;

use crate::core::cached_parts::CachedParts;
use crate::core::configuration::Configuration;
use crate::core::configuration::Version;
use crate::core::configuration_change::ConfigurationChange;
use crate::util::send_queue::Topic;

/// Time between two usage reports, and between two usage updates. The age of the usage that an
/// entry box receives is one interval of each plus network delay, and must stay well below the age
/// up to which quotas are based on the usage of all boxes.
pub const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two load reports, and between two load updates. An endpoint serves a request every
/// 20 to 200 ms, so with older data too many boxes would choose the same one (docs/DECISIONS.md,
/// "Telling").
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Every how many load updates a full one is sent, for entry boxes that missed some.
pub const LOAD_UPDATES_PER_FULL: u64 = 20;

/// Number of quota slots that each report repeats.
pub const SLOTS_PER_REPORT: u64 = 2;

/// Number of accounting windows that each report repeats: the present one, and the one before,
/// whose last requests may have started after the previous report.
pub const WINDOWS_PER_REPORT: usize = 2;

/// Every how many usage reports, and every how many usage updates, a full one is sent for boxes
/// that missed some: it repeats all retained slots, and a report also all retained windows.
pub const USAGE_REPORTS_PER_FULL: u64 = 18;

/// Every how many usage reports an entry box also reports what callers get: once a second, since
/// replicas take several seconds to start.
pub const USAGE_REPORTS_PER_CALLER_TIMES: u64 = 10;

/// Time between two pings on a connection.
pub const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a sign of the other box's operating system after which a connection counts as
/// broken.
///
/// The operating system answers while the box's process is busy. Also used for the process of
/// another control box, whose pings take precedence over everything else.
pub const HOST_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a message from the other process after which a connection between an entry and a
/// control box counts as broken. While its operating system answers, the process is busy, and
/// reconnecting would only add to its work. Long enough for a control box with 0.06 of a core to
/// admit 300 entry boxes.
pub const PROCESS_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Age of an unanswered ping from which on an entry box sends no reports to a control box until the
/// answer arrives: the control box has not processed the earlier ones, and what is skipped is sent
/// later with newer values. So the control box is sent only as much as it can process.
pub const UNANSWERED_PING_THRESHOLD: Duration = Duration::from_millis(500);

/// Timeout for opening a connection: one round trip between regions. A box without power answers
/// nothing, and once it is back the next attempt must follow soon.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before a broken connection is reopened.
pub const RECONNECT_DELAY: Duration = Duration::from_millis(75);

/// For an entry box: the configuration, or a change of it.
pub const CONFIGURATION_TOPIC: Topic = Topic(0);

/// For an entry box: the version of the committed configuration.
pub const CONFIGURATION_VERSION_TOPIC: Topic = Topic(1);

/// For another control box: entries of the Raft log. Each message contains everything that the one
/// before it did.
pub const LOG_ENTRIES_TOPIC: Topic = Topic(2);

/// For another control box: a snapshot of the Raft state. Separate from entries, since heartbeats
/// follow it.
pub const SNAPSHOT_TOPIC: Topic = Topic(3);

/// A message of an entry box to a control box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Identifies the entry box. The first message, and the only one until the control box has
    /// replied with [`ToEntry::Hello`].
    Hello {
        /// Name of the box.
        name: String,
        /// A number that no earlier incarnation of this box had.
        boot: u64,
        /// Version of the configuration that the box has; 0 if none.
        configuration: u64,
        /// Number of entry boxes that may be running, by the latest update; 0 if there was none.
        known: u32,
    },
    /// Keep-alive.
    Ping {
        /// When this was sent, in microseconds of the sender's monotonic clock.
        sent_us: u64,
    },
    /// Endpoints that the entry box knows to be leaving or gone. A control box that has restarted
    /// may not know them, and would take a late heartbeat for a new endpoint.
    Leaving(Vec<Report>),
    /// Usage report.
    Usage(UsageReport),
    /// Load at the endpoints where it changed since the last report; a full [`FromEntry::Usage`]
    /// contains all of it.
    Loads(Loads),
    /// Prompt parts that the entry box's requests brought to endpoints.
    Parts(CachedParts),
    /// The entry box is stopping as planned, and its reports so far contain all the usage of its
    /// requests.
    Done,
    /// Subscribes to updates about the other entry boxes. Until the entry box sends this, it
    /// receives none.
    Subscribe(Wanted),
    /// Requests that were running when endpoints crashed, as far as not reported yet.
    QuarantineRecords(Vec<QuarantineRecord>),
    /// Limits that endpoints advertised to the entry box, as far as not reported yet.
    Limits(Vec<EndpointLimit>),
    /// Subscribes to the version of the committed configuration, now and whenever it changes. An
    /// entry box that doesn't send this before its first ping is sent the configurations
    /// themselves.
    OfferConfigurations,
    /// Requests the committed configuration, or its difference from the version that the entry box
    /// has.
    RequestConfiguration {
        /// The version that the entry box has; 0 requests the complete configuration.
        have: Version,
    },
    /// Where the entry box listens for calls that other entry boxes forward.
    Listens {
        /// The address.
        address: SocketAddr,
        /// Its availability zone.
        availability_zone: String,
    },
    /// Streams that yielded their first event, or went on, at the entry box, as far as not reported
    /// yet.
    StreamOrigins(Vec<OriginRecord>),
    /// Asks where a stream began; answered by [`ToEntry::StreamOrigin`].
    FindStreamOrigin {
        /// The stream.
        stream: StreamKey,
    },
    /// What callers of each service's engines get since the box started.
    CallerTimes(Vec<(String, CallerTimes)>),
    /// Answers of the versions in roll-outs that are not over.
    RolloutReports(Vec<RolloutReport>),
}

/// A message of a control box to an entry box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Identifies the control box, which has admitted the entry box. The first message.
    Hello {
        /// Availability zone of the control box.
        availability_zone: String,
    },
    /// Answer to [`FromEntry::Ping`].
    Pong {
        /// The time in the ping.
        sent_us: u64,
        /// The cluster time since 1970, in microseconds; none while the control box doesn't know
        /// it.
        time_us: Option<u64>,
    },
    /// The committed configuration.
    Configuration(Configuration),
    /// Updates of endpoints.
    Registry(Vec<Report>),
    /// Endpoints that were ready before all boxes went down.
    Remembered {
        /// The endpoints.
        endpoints: Vec<Report>,
        /// Milliseconds for which they are used unless they report.
        left_ms: u64,
    },
    /// The control boxes, by their addresses for other boxes.
    ControlBoxes(Vec<SocketAddr>),
    /// Usage of the other entry boxes, as this control box knows it.
    OthersUsage {
        /// The cluster time up to which this contains the usage of all reporting boxes; none if the
        /// control box can't tell, or if the receiver isn't among them.
        as_of: Option<Duration>,
        /// Number of entry boxes that are reporting to this control box.
        reporting: u32,
        /// Number of entry boxes that may be running, including those that were lost recently.
        known: u32,
        /// Usage by organisation.
        quotas: Vec<(String, OthersQuotaUsage)>,
    },
    /// Load of all entry boxes at endpoints, including the receiver's own, so that all of them are
    /// sent the same bytes.
    Loads {
        /// Whether these are all endpoints with any load, or only those where it changed.
        is_full: bool,
        /// The loads.
        loads: Loads,
    },
    /// Prompt parts that requests of any entry box brought to endpoints.
    Parts(CachedParts),
    /// Requests that were running when endpoints crashed, from any entry box.
    QuarantineRecords(Vec<QuarantineRecord>),
    /// Limits that endpoints advertised to any entry box.
    Limits(Vec<EndpointLimit>),
    /// The receiver's number among the entry boxes that share the limits of endpoints.
    BoxNumber(BoxNumber),
    /// The version of the committed configuration; the answer to
    /// [`FromEntry::OfferConfigurations`].
    ConfigurationAgreed {
        /// The version.
        version: Version,
    },
    /// The difference of the committed configuration from the one that the receiver has.
    ConfigurationChange(ConfigurationChange),
    /// The entry boxes through which the receiver may forward calls while it reaches no endpoint.
    Neighbours(Vec<Neighbour>),
    /// Answer to [`FromEntry::FindStreamOrigin`].
    StreamOrigin {
        /// The stream.
        stream: StreamKey,
        /// Where it began; none if the control box doesn't know it.
        origin: Option<Origin>,
    },
    /// The last roll-out of each service.
    Rollouts {
        /// The roll-outs.
        rollouts: Vec<Rollout>,
        /// Whether the control box knows a leader, so that it would know an end of them.
        confirmed: bool,
    },
    /// For how long the control box has known all endpoints that registered, with those that are
    /// gone; [`Duration::MAX`] if since the deployment began. Follows each [`ToEntry::Pong`].
    EndpointsKnownFor(Duration),
}

/// An entry box's answers of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Name of the service.
    pub service: String,
    /// Number of the order.
    pub number: u64,
    /// Number of the last step that the entry box has carried out.
    pub revision: u64,
    /// Answers of this process, in the cells that changed since the last report or in all.
    pub evidence: Evidence,
}

/// An entry box that handles calls which other entry boxes forward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// Name of the box.
    pub name: String,
    /// Where it listens for them.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
}

/// What an entry box subscribes to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Usage of quotas, and the number of entry boxes.
    pub quotas: bool,
    /// Load at endpoints, and the prompt parts that were brought there.
    pub loads: bool,
}

/// A message between control boxes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BetweenControl {
    /// Identifies the sender; the first message.
    Hello {
        /// Node id of the sender.
        node: NodeId,
    },
    /// Keep-alive with the sender's time of day.
    Ping {
        /// Microseconds since 1970 by the sender's clock.
        time_us: u64,
        /// Microseconds since 1970 of the cluster time, once the sender has established it.
        kept_us: Option<u64>,
    },
    /// A message of the consensus protocol.
    Agreement {
        /// The node that it is meant for. A box that lost its disk is a new node, to which messages
        /// for the previous one must not be delivered.
        to: NodeId,
        /// The message.
        message: vaneway_agreement::Message,
    },
    /// A node is not a member of the Raft group, or has no leader: add it. A box that receives this
    /// from the node itself forwards it to the leader, which the node may not know.
    Join {
        /// The node.
        node: NodeId,
    },
    /// Updates of endpoints.
    Registry(Vec<Report>),
    /// Requests that were running when endpoints crashed, as far as not sent yet.
    QuarantineRecords(Vec<QuarantineRecord>),
    /// Limits that endpoints advertised, as far as not sent yet.
    Limits(Vec<EndpointLimit>),
}

/// Any message to a control box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// From an entry box.
    Entry(FromEntry),
    /// From another control box.
    Control(BetweenControl),
}

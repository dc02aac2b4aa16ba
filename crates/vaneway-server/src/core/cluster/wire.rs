//! The messages between entry and control boxes, over TCP in `postcard`.
//!
//! An entry box opens a connection to every control box that it knows and says who it is; so does
//! every control box. Whatever is lost with a connection is sent whole again over the next one:
//! configuration and registry are values of which only the newest counts, and the agreement sends
//! again by itself.
//!
//! Configurations are offered by their versions by all control boxes, and asked for at one.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vaneway_agreement::NodeId;
use vaneway_limit::BoxNumber;
use vaneway_limit::EndpointLimit;
use vaneway_quarantine::QuarantineRecord;
use vaneway_registry::Report;

use crate::core::cached_parts::CachedParts;
use crate::core::configuration::Configuration;
use crate::core::configuration::Version;
use crate::core::configuration_change::ConfigurationChange;
use crate::core::loads::Loads;
use crate::core::quota_usage::OthersQuotaUsage;
use crate::core::usage::UsageReport;
use crate::util::send_queue::Topic;

/// Time between two tellings of what requests used, in either direction. With one from the entry box and one from
/// the control box, and the time on the way, it must stay well below the age up to which quotas go by the use
/// of all boxes.
pub const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two tellings of what is open at endpoints, in either direction. An endpoint serves a request
/// every 20 to 200 ms, so that older news sends too many boxes to the same one (docs/DECISIONS.md,
/// "Telling").
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Tellings of loads after which all are told, for whoever missed some.
pub const LOAD_REPORTS_PER_FULL: u64 = 20;

/// Slots of quotas that each telling repeats.
pub const SLOTS_PER_REPORT: u64 = 2;

/// Accounting windows that each telling repeats: the present one, and the one before, whose last requests
/// may have begun since the last telling.
pub const WINDOWS_PER_REPORT: usize = 2;

/// Tellings after which all slots and windows are repeated, for whoever missed some.
pub const USAGE_REPORTS_PER_FULL: u64 = 18;

/// Time between two signs of life on a connection.
pub const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Silence after which a connection counts as broken: of the other box's system, which answers for it while its
/// process is busy, and of another control box, whose signs of life go before all else.
pub const HOST_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silence of a process after which a connection between an entry and a control box counts as broken. While its
/// system answers, it is busy: who goes and comes again only gives it more to do. Long enough for a
/// control box with 0.06 of a core to take in 300 entry boxes.
pub const PROCESS_SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Age of a ping without an answer from which on an entry box tells a control box no more until the answer
/// comes: what it has told is not taken in yet, and what it would tell now is told later with newer
/// figures. So a control box is told as much as it can take in.
pub const BEHIND_AFTER: Duration = Duration::from_millis(500);

/// Longest wait for a connection to open: one round trip between regions. A box without power
/// answers nothing, and when it is back the next try must not be far.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause before a connection that broke is opened again.
pub const RECONNECT_AFTER: Duration = Duration::from_millis(75);

/// The configuration, or a change of it, for an entry box.
pub const CONFIGURATION_TOPIC: Topic = Topic(0);

/// The version of the configuration that is agreed on, for an entry box.
pub const CONFIGURATION_VERSION_TOPIC: Topic = Topic(1);

/// Entries of the agreement for another control box: each message has all that the one before it had.
pub const LOG_ENTRIES_TOPIC: Topic = Topic(2);

/// A snapshot of the agreement for another control box. Apart from entries, since heartbeats follow it.
pub const SNAPSHOT_TOPIC: Topic = Topic(3);

/// A message of an entry box to a control box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Who I am; the first message, and the only one until the control box has answered with
    /// [`ToEntry::Hello`].
    Hello {
        /// The box's name.
        name: String,
        /// A number that no earlier start of this box had.
        boot: u64,
        /// Version of the configuration that I have; 0 if none.
        configuration: u64,
        /// Entry boxes that there may be, as I was last told; 0 if I never was.
        known: u32,
    },
    /// I am there.
    Ping {
        /// When this was sent, in microseconds of the sender's steady clock.
        sent_us: u64,
    },
    /// Endpoints that I know to be leaving or gone. A control box that was started anew may not
    /// know, and would take a late heartbeat for a new endpoint.
    Leaving(Vec<Report>),
    /// What my requests used.
    Usage(UsageReport),
    /// What I have open now at the endpoints where it changed since I last told; [`FromEntry::Usage`] tells
    /// all of it now and then.
    Loads(Loads),
    /// Prompt parts that my requests brought to endpoints.
    Parts(CachedParts),
    /// I stop as planned, and what I told before is all that my requests will have used.
    Done,
    /// What I want to be told of the other entry boxes; nothing until I say so.
    Subscribe(Wanted),
    /// Requests under which endpoints ended, as far as it is news.
    QuarantineRecords(Vec<QuarantineRecord>),
    /// Limits that endpoints named in answers to me, as far as it is news.
    Limits(Vec<EndpointLimit>),
    /// Tell me which version of the configuration is agreed on, now and whenever it changes. Who doesn't say so before its first
    /// ping is told the configurations themselves.
    OfferConfigurations,
    /// Send me the configuration that is agreed on, or how it differs from the version that I have; 0 for all of it.
    RequestConfiguration {
        /// The version.
        have: Version,
    },
}

/// A message of a control box to an entry box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Who I am, and that I have taken you in; the first message.
    Hello {
        /// The availability zone in which the control box stands.
        availability_zone: String,
    },
    /// Answer to [`FromEntry::Ping`].
    Pong {
        /// The ping's own time.
        sent_us: u64,
        /// The cluster's time since 1970, in microseconds; none while the control box doesn't know it.
        time_us: Option<u64>,
    },
    /// A configuration that is agreed on.
    Configuration(Configuration),
    /// News of endpoints.
    Registry(Vec<Report>),
    /// Endpoints that were ready before all boxes went down.
    Remembered {
        /// The endpoints.
        endpoints: Vec<Report>,
        /// Milliseconds in which they count unless they are heard of.
        left_ms: u64,
    },
    /// The control boxes, by the addresses for other boxes.
    ControlBoxes(Vec<SocketAddr>),
    /// What the other entry boxes use, as this control box knows.
    OthersUsage {
        /// The cluster's time until which the use of all boxes that are heard is in this; none if this control
        /// box can't tell, or the receiver isn't among them.
        as_of: Option<Duration>,
        /// Entry boxes whose use this control box hears.
        reporting: u32,
        /// Entry boxes that may be there, also those that it lost lately.
        known: u32,
        /// Use by organisation.
        quotas: Vec<(String, OthersQuotaUsage)>,
    },
    /// What all entry boxes have open at endpoints, the receiver among them: the same bytes for all of
    /// them.
    Loads {
        /// Whether these are all endpoints with anything open, or those where it changed.
        whole: bool,
        /// The endpoints.
        loads: Loads,
    },
    /// Prompt parts that requests of any entry box brought to endpoints.
    Parts(CachedParts),
    /// Requests under which endpoints ended, at any entry box.
    QuarantineRecords(Vec<QuarantineRecord>),
    /// Limits that endpoints named in answers to any entry box.
    Limits(Vec<EndpointLimit>),
    /// Which of the entry boxes that share the limits of endpoints you are.
    BoxNumber(BoxNumber),
    /// This version of the configuration is agreed on; the answer to [`FromEntry::OfferConfigurations`].
    ConfigurationAgreed {
        /// The version.
        version: Version,
    },
    /// How the configuration that is agreed on differs from the one that you have.
    ConfigurationChange(ConfigurationChange),
}

/// What an entry box wants to be told of the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// What they took of quotas, and how many they are.
    pub quotas: bool,
    /// What they have open at endpoints, and the prompt parts that they brought there.
    pub loads: bool,
}

/// A message between control boxes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BetweenControl {
    /// Who I am; the first message.
    Hello {
        /// The sender's node.
        node: NodeId,
    },
    /// I am there, and this is my time of day.
    Ping {
        /// Microseconds since 1970 by the sender's clock.
        time_us: u64,
        /// The same by the cluster's time as the sender keeps it, once it does.
        kept_us: Option<u64>,
    },
    /// A message of the agreement.
    Agreement {
        /// The node that it is meant for. A box that lost its disk is another node now, for which
        /// messages to the one before mean nothing.
        to: NodeId,
        /// The message.
        message: vaneway_agreement::Message,
    },
    /// A node has no part in the agreement, or hears no leader: let it join. Who gets this from the node itself
    /// tells the leader, which the node may not know.
    Join {
        /// The node.
        node: NodeId,
    },
    /// News of endpoints.
    Registry(Vec<Report>),
    /// Requests under which endpoints ended, as far as it is news.
    QuarantineRecords(Vec<QuarantineRecord>),
    /// Limits that endpoints named, as far as it is news.
    Limits(Vec<EndpointLimit>),
}

/// Any first or later message that a control box gets on a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// From an entry box.
    Entry(FromEntry),
    /// From another control box.
    Control(BetweenControl),
}

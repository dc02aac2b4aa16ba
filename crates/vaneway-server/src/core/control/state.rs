//! The state that all tasks of a control box share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc;
use futures_channel::oneshot;
use serde_json::Value;
use serde_json::json;
use vaneway_agreement::Index;
use vaneway_agreement::Node;
use vaneway_agreement::NodeId;
use vaneway_agreement::ProposalId;
use vaneway_agreement::Term;
use vaneway_limit::EndpointLimits;
use vaneway_quarantine::Quarantine;
use vaneway_registry::InstanceId;
use vaneway_registry::Registry;
use vaneway_registry::Report;

use crate::core::cached_parts::PartLedger;
use crate::core::cluster::wire::Wanted;
use crate::core::cluster_time::ClusterNow;
use crate::core::cluster_time::Window;
use crate::core::control::changes::ConfigurationHistory;
use crate::core::control::clock::ClusterClock;
use crate::core::control::dissemination::ForwardedCounts;
use crate::core::control::entry_updates;
use crate::core::control::links::EntryLink;
use crate::core::control::machine::StateMachine;
use crate::core::control::peers::PeerLink;
use crate::core::control::protocol::Holder;
use crate::core::control::store::Write;
use crate::core::endpoints::upstream::ConnectionPool;
use crate::core::settings::ControlSettings;
use crate::core::usage::UsageLedger;
use crate::util::clock;
use crate::util::send_queue::BufferedBytes;
use crate::util::timers::Timers;
use crate::util::turns::Turns;

/// Incarnation of the nodes that form a group at the first start.
pub const FIRST_INCARNATION: u32 = 1;

/// Time after a start in which a control box has heard the cluster's time from others, if there are any:
/// longer than its first connections take to open.
const PEER_TIME_TIMEOUT: Duration = Duration::from_secs(2);

/// The id of a node: its box's address and the incarnation of its disk. So a node can be found
/// by its id alone, and a box whose disk was lost comes back as another node.
pub fn node_id(address: Ipv4Addr, incarnation: u32) -> NodeId {
    (u64::from(u32::from(address)) << u32::BITS) | u64::from(incarnation)
}

/// The address of a node's box.
pub fn node_address(node: NodeId) -> Ipv4Addr {
    Ipv4Addr::from((node >> u32::BITS) as u32)
}

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It is committed and applied.
    Committed,
    /// It is in no log, or another entry took its place.
    NotTaken,
}

/// A proposal that waits for its commitment.
#[derive(Debug)]
pub struct PendingProposal {
    /// The term in which it was proposed.
    pub term: Term,
    /// Whoever waits for it.
    pub tx: oneshot::Sender<ProposalOutcome>,
}

/// State that all tasks of a control box share.
#[derive(Debug)]
pub struct Control {
    /// Settings of the process.
    pub settings: ControlSettings,
    /// The timer service.
    pub timers: Timers,
    /// Turns for what entry boxes tell and are told, of which there can be more than there is time for.
    pub turns: Turns,
    /// When this box started.
    pub started: Instant,
    /// This box's part in the agreement.
    pub node: RefCell<Node>,
    /// The way to the disk.
    pub(crate) persist: mpsc::UnboundedSender<Write>,
    /// Bytes of commands and snapshots that wait for the disk.
    pub(crate) unwritten: Cell<usize>,
    /// What was agreed on, as far as this box knows.
    pub machine: RefCell<StateMachine>,
    /// How it came to the configuration that is agreed on.
    pub(crate) changes: RefCell<ConfigurationHistory>,
    /// Proposals that have no place in the log yet.
    pub(crate) unlogged_proposals: RefCell<BTreeMap<ProposalId, oneshot::Sender<ProposalOutcome>>>,
    /// Proposals by their place in the log.
    pub(crate) pending_proposals: RefCell<BTreeMap<Index, PendingProposal>>,
    pub(crate) next_proposal_id: Cell<ProposalId>,
    /// What endpoints told, here or at other control boxes.
    pub registry: RefCell<Registry>,
    /// What the connections between boxes hold.
    pub(crate) buffered: Rc<BufferedBytes>,
    /// Connections of entry boxes.
    pub(crate) entries: RefCell<BTreeMap<u64, Rc<EntryLink>>>,
    /// When entry boxes were last connected, by name.
    pub(crate) entries_last_seen: RefCell<BTreeMap<String, Instant>>,
    /// Entry boxes that there may be, as this box's disk says or those that connected had last been told.
    pub(crate) reported_entry_count: Cell<u32>,
    pub(crate) next_link: Cell<u64>,
    /// Connections to other control boxes.
    pub(crate) peers: RefCell<BTreeMap<SocketAddr, PeerLink>>,
    /// Nodes that asked to join, and when last.
    pub(crate) joining: RefCell<BTreeMap<NodeId, Instant>>,
    /// When this node last knew of a leader.
    pub(crate) last_leader_at: Cell<Instant>,
    /// When this node began to lead.
    pub(crate) leader_since: Cell<Option<Instant>>,
    /// Endpoints that were ready before this box started, as its disk says.
    pub(crate) remembered: RefCell<Vec<Report>>,
    /// What the entry boxes told of their requests.
    pub usage_ledger: RefCell<UsageLedger>,
    /// Prompt parts that are kept at endpoints.
    pub(crate) parts: RefCell<PartLedger>,
    /// Requests under which endpoints ended, as entry boxes told.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Limits that endpoints named, as entry boxes told.
    pub(crate) limits: RefCell<EndpointLimits>,
    /// Endpoints whose limits entry boxes told this box and the other control boxes have to hear.
    pub(crate) limits_for_peers: RefCell<BTreeSet<InstanceId>>,
    /// How much news was passed on.
    pub(crate) forwarded: ForwardedCounts,
    /// The cluster's time.
    pub clock: RefCell<ClusterClock>,
    /// Connections to the cloud.
    pub connections: ConnectionPool,
    /// Messages that could not be read.
    pub unreadable_messages: Cell<u64>,
    /// Whether the box is stopping.
    pub(crate) stopping: Cell<bool>,
}

impl Control {
    /// The cluster's time since 1970.
    pub fn time(&self) -> Duration {
        self.clock.borrow_mut().read(clock::now(), clock::since_epoch())
    }

    /// The cluster's time since 1970 if this box can tell it: it keeps one, or has been up for so long
    /// that there are no others to learn it from.
    pub fn known_time(&self) -> Option<Duration> {
        let time = self.time();
        let established = self.clock.borrow().established_time(clock::now());
        established.or_else(|| (clock::elapsed(self.started) >= PEER_TIME_TIMEOUT).then_some(time))
    }

    /// Where the cluster's time stands.
    pub fn now(&self) -> ClusterNow {
        let time = self.time();
        let length = self.settings.window.as_millis().max(1);
        let window = (time.as_millis() / length) as Window;
        ClusterNow { time, window, slot: vaneway_quota::slot(time) }
    }

    /// Where another node's box takes connections of other boxes.
    pub fn cluster_address(&self, node: NodeId) -> SocketAddr {
        let port = self.settings.cluster_listen.port();
        SocketAddr::V4(SocketAddrV4::new(node_address(node), port))
    }

    /// Where another node's box takes calls of endpoints and operators.
    pub fn api_address(&self, node: NodeId) -> SocketAddr {
        let port = self.settings.listen.port();
        SocketAddr::V4(SocketAddrV4::new(node_address(node), port))
    }

    /// Whether this node leads and surely no other does, and it knows all that was committed
    /// before.
    pub fn has_valid_lease(&self) -> bool {
        let node = self.node.borrow();
        let lease = node.lease_until().is_some_and(|until| clock::now() < until);
        lease && node.log().term_at(node.committed()) == Some(node.term())
    }

    /// In whose name this box calls the cloud now.
    pub fn holder(&self) -> Holder {
        Holder { name: self.settings.name.clone(), fence: self.node.borrow().term() }
    }

    fn count_subscribers(&self, told: fn(Wanted) -> bool) -> usize {
        self.entries.borrow().values().filter(|link| told(link.subscription())).count()
    }

    /// The whole state as JSON.
    pub fn dump(&self) -> Value {
        let node = self.node.borrow();
        let now = clock::now();
        let registry = self.registry.borrow();
        let endpoints: Vec<_> = registry
            .iter()
            .map(|(instance, known)| {
                json!({
                    "instance": instance,
                    "standing": known.lifecycle.name(),
                    "sequence": known.sequence,
                    "heard_ms_ago": now.saturating_duration_since(known.last_report_at).as_millis() as u64,
                })
            })
            .collect();
        json!({
            "name": self.settings.name,
            "node": node.id(),
            "role": format!("{:?}", node.role()),
            "term": node.term(),
            "leader": node.leader(),
            "committed": node.committed(),
            "last": node.log().last_index(),
            "members": node.log().members(),
            "configuration": self.machine.borrow().version(),
            "endpoints": endpoints,
            "entry_boxes": self.entries.borrow().len(),
            "entry_boxes_known": entry_updates::sharers(self).known,
            "entry_boxes_told_quotas": self.count_subscribers(|subscription| subscription.quotas),
            "entry_boxes_told_loads": self.count_subscribers(|subscription| subscription.loads),
        })
    }
}

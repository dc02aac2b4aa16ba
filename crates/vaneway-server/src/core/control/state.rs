//! The state shared by all tasks of a control box.

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
use vaneway_ledger::ClusterNow;
use vaneway_ledger::UsageLedger;
use vaneway_ledger::Window;
use vaneway_limit::EndpointLimits;
use vaneway_origins::Origins;
use vaneway_quarantine::Quarantine;
use vaneway_registry::InstanceId;
use vaneway_registry::Registry;
use vaneway_registry::Report;

use crate::core::cached_parts::PartLedger;
use crate::core::cluster::wire::Wanted;
use crate::core::control::changes::ConfigurationHistory;
use crate::core::control::clock::ClusterClock;
use crate::core::control::dissemination::ForwardedCounts;
use crate::core::control::entry_updates;
use crate::core::control::entry_updates::MAX_LEADER_AGE;
use crate::core::control::links::EntryLink;
use crate::core::control::machine::StateMachine;
use crate::core::control::peers::PeerLink;
use crate::core::control::protocol::Holder;
use crate::core::control::rollouts::RolloutReports;
use crate::core::control::store::Write;
use crate::core::endpoints::upstream::ConnectionPool;
use crate::core::settings::ControlSettings;
use crate::util::clock;
use crate::util::send_queue::BufferedBytes;
use crate::util::timers::Timers;
use crate::util::turns::Turns;

/// Incarnation of the nodes that form the initial group.
pub const FIRST_INCARNATION: u32 = 1;

/// Time after a start in which a control box receives the cluster time if other boxes have it:
/// longer than its first connections take to open.
const PEER_TIME_TIMEOUT: Duration = Duration::from_secs(2);

/// The id of a node, which consists of its box's address and the incarnation of its disk. So a
/// node's address is known from its id alone, and a box whose disk was lost returns as another
/// node.
pub fn node_id(address: Ipv4Addr, incarnation: u32) -> NodeId {
    (u64::from(u32::from(address)) << u32::BITS) | u64::from(incarnation)
}

/// The address of a node's box.
pub fn node_address(node: NodeId) -> Ipv4Addr {
    Ipv4Addr::from((node >> u32::BITS) as u32)
}

/// Result of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The entry is committed and applied.
    Committed,
    /// The entry is in no log, or was replaced by another one.
    NotTaken,
}

/// A proposal that is in the log and not yet committed.
#[derive(Debug)]
pub struct PendingProposal {
    /// The term in which it was proposed.
    pub term: Term,
    /// Receives the result.
    pub tx: oneshot::Sender<ProposalOutcome>,
}

/// The state shared by all tasks of a control box.
#[derive(Debug)]
pub struct Control {
    /// Settings of the process.
    pub settings: ControlSettings,
    /// The timer service.
    pub timers: Timers,
    /// Turns for processing and sending messages of entry boxes, which can be more than there is
    /// processor time for.
    pub turns: Turns,
    /// When this box started.
    pub started: Instant,
    /// The Raft node of this box.
    pub node: RefCell<Node>,
    /// Queue of disk writes.
    pub(crate) write_queue: mpsc::UnboundedSender<Write>,
    /// Queued disk writes in bytes of commands and snapshots.
    pub(crate) unwritten_bytes: Cell<usize>,
    /// The replicated state, as far as this box knows it.
    pub machine: RefCell<StateMachine>,
    /// The latest changes of the committed configuration.
    pub(crate) changes: RefCell<ConfigurationHistory>,
    /// Proposals that have no index in the log yet.
    pub(crate) unlogged_proposals: RefCell<BTreeMap<ProposalId, oneshot::Sender<ProposalOutcome>>>,
    /// Proposals by their index in the log.
    pub(crate) pending_proposals: RefCell<BTreeMap<Index, PendingProposal>>,
    pub(crate) next_proposal_id: Cell<ProposalId>,
    /// Reports of endpoints, received here or from other boxes.
    pub registry: RefCell<Registry>,
    /// Bytes buffered by the connections between boxes.
    pub(crate) buffered: Rc<BufferedBytes>,
    /// Connections of entry boxes, by their number here.
    pub(crate) entry_links: RefCell<BTreeMap<u64, Rc<EntryLink>>>,
    /// When each entry box was last connected, by name.
    pub(crate) entries_last_seen: RefCell<BTreeMap<String, Instant>>,
    /// Number of entry boxes that may be running, according to this box's disk or to entry boxes
    /// that connected.
    pub(crate) reported_entry_count: Cell<u32>,
    pub(crate) next_link: Cell<u64>,
    /// Connections to other control boxes, by address.
    pub(crate) peers: RefCell<BTreeMap<SocketAddr, PeerLink>>,
    /// Nodes that requested to join, and when they last did.
    pub(crate) join_requests: RefCell<BTreeMap<NodeId, Instant>>,
    /// When this node last knew a leader.
    pub(crate) last_leader_at: Cell<Instant>,
    /// Since when all endpoints that register are known here; none if since the deployment began.
    pub(crate) endpoints_known_since: Cell<Option<Instant>>,
    /// Since when this node has been the leader, if it is.
    pub(crate) leader_since: Cell<Option<Instant>>,
    /// Endpoints that were ready before this box started, according to its disk.
    pub(crate) remembered: RefCell<Vec<Report>>,
    /// Usage reported by entry boxes.
    pub usage_ledger: RefCell<UsageLedger>,
    /// Prompt parts cached at endpoints.
    pub(crate) cached_parts: RefCell<PartLedger>,
    /// Where streams began, as reported by entry boxes.
    pub(crate) stream_origins: RefCell<Origins>,
    /// Requests that were running when endpoints crashed, as reported by entry boxes.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Limits advertised by endpoints, as reported by entry boxes.
    pub(crate) limits: RefCell<EndpointLimits>,
    /// Endpoints whose limits entry boxes reported here and that must be forwarded to the other
    /// control boxes.
    pub(crate) limits_for_peers: RefCell<BTreeSet<InstanceId>>,
    /// Answers of roll-outs that are not over, by the entry box that reported them.
    pub(crate) rollout_reports: RefCell<RolloutReports>,
    /// Number of forwarded updates.
    pub(crate) forwarded: ForwardedCounts,
    /// The cluster clock.
    pub clock: RefCell<ClusterClock>,
    /// Connections to the cloud.
    pub connections: ConnectionPool,
    /// Number of messages that could not be decoded.
    pub unreadable_messages: Cell<u64>,
    /// Whether the box is stopping.
    pub(crate) stopping: Cell<bool>,
}

impl Control {
    /// The cluster time since 1970.
    pub fn time(&self) -> Duration {
        self.clock.borrow_mut().read(clock::now(), clock::since_epoch())
    }

    /// The cluster time since 1970, if this box knows it: it has established one, or has been
    /// running for so long that there are no others to receive it from.
    pub fn known_time(&self) -> Option<Duration> {
        let time = self.time();
        let established = self.clock.borrow().established_time(clock::now());
        established.or_else(|| (clock::elapsed(self.started) >= PEER_TIME_TIMEOUT).then_some(time))
    }

    /// The current cluster time with its window and slot.
    pub fn now(&self) -> ClusterNow {
        let time = self.time();
        let length = self.settings.window.as_millis().max(1);
        let window = (time.as_millis() / length) as Window;
        ClusterNow { time, window, slot: vaneway_quota::slot(time) }
    }

    /// The address at which another node's box accepts connections of other boxes.
    pub fn cluster_address(&self, node: NodeId) -> SocketAddr {
        let port = self.settings.cluster_listen.port();
        SocketAddr::V4(SocketAddrV4::new(node_address(node), port))
    }

    /// The address at which another node's box accepts calls of endpoints and operators.
    pub fn api_address(&self, node: NodeId) -> SocketAddr {
        let port = self.settings.listen.port();
        SocketAddr::V4(SocketAddrV4::new(node_address(node), port))
    }

    /// Records that this node knows a leader. While it knew none, endpoints may have registered with
    /// other boxes only.
    pub(crate) fn record_leader(&self) {
        let now = clock::now();
        let before = self.last_leader_at.replace(now);
        let is_first = before == self.started;
        if !is_first && now.saturating_duration_since(before) >= MAX_LEADER_AGE {
            self.endpoints_known_since.set(Some(now));
        }
    }

    /// For how long all endpoints that registered have been known here; [`Duration::MAX`] if since
    /// the deployment began.
    pub(crate) fn endpoints_known_for(&self) -> Duration {
        if clock::elapsed(self.last_leader_at.get()) >= MAX_LEADER_AGE {
            return Duration::ZERO;
        }
        self.endpoints_known_since.get().map_or(Duration::MAX, clock::elapsed)
    }

    /// Whether this node is certainly the only leader and has applied all entries committed before
    /// its term.
    pub fn has_valid_lease(&self) -> bool {
        let node = self.node.borrow();
        let lease = node.lease_until().is_some_and(|until| clock::now() < until);
        lease && node.log().term_at(node.committed()) == Some(node.term())
    }

    /// The identity under which this box calls the cloud now.
    pub fn holder(&self) -> Holder {
        Holder { name: self.settings.name.clone(), fence: self.node.borrow().term() }
    }

    fn count_subscribers(&self, selects: fn(Wanted) -> bool) -> usize {
        self.entry_links.borrow().values().filter(|link| selects(link.subscription())).count()
    }

    /// The complete state as JSON.
    pub fn dump(&self) -> Value {
        let node = self.node.borrow();
        let now = clock::now();
        let registry = self.registry.borrow();
        let endpoints: Vec<_> = registry
            .iter()
            .map(|(instance, record)| {
                json!({
                    "instance": instance,
                    "standing": record.lifecycle.name(),
                    "sequence": record.sequence,
                    "heard_ms_ago": now.saturating_duration_since(record.last_report_at).as_millis() as u64,
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
            "entry_boxes": self.entry_links.borrow().len(),
            "entry_boxes_known": entry_updates::sharers(self).known,
            "entry_boxes_told_quotas": self.count_subscribers(|subscription| subscription.quotas),
            "entry_boxes_told_loads": self.count_subscribers(|subscription| subscription.loads),
        })
    }
}

//! Start and stop of a control box.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr as _;
use futures_channel::mpsc;
use futures_channel::oneshot;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use vaneway_agreement::Config;
use vaneway_agreement::Event;
use vaneway_agreement::Members;
use vaneway_agreement::Node;
use vaneway_agreement::NodeId;

use crate::core::control::dissemination::ForwardedCounts;
use crate::core::control::duties;
use crate::core::control::entry_updates;
use crate::core::control::group;
use crate::core::control::links;
use crate::core::control::machine::StateMachine;
use crate::core::control::memory;
use crate::core::control::native::NativeControl;
use crate::core::control::peers;
use crate::core::control::protocol::CloudProtocol;
use crate::core::control::protocol::ControlProtocol;
use crate::core::control::remembered;
use crate::core::control::remembered::Remembered;
use crate::core::control::rollouts;
use crate::core::control::state::Control;
use crate::core::control::state::FIRST_INCARNATION;
use crate::core::control::state::node_id;
use crate::core::control::store;
use crate::core::control::store::Write;
use crate::core::endpoints::upstream::ConnectionPool;
use crate::core::settings::ControlSettings;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::http_server;
use crate::util::http_server::ConnectionLimits;
use crate::util::http_server::Handler;
use crate::util::http_server::HttpServer;
use crate::util::logline::Line;
use crate::util::socket::SocketListener;
use crate::util::task;
use crate::util::timers::Timers;
use crate::util::turns::Turns;

/// Maximum size of the head of a call in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// How long a planned stop lets calls finish.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A running control box.
#[derive(Debug)]
pub struct RunningControl {
    control: Rc<Control>,
    servers: Vec<HttpServer>,
    /// Senders whose drop ends the background tasks.
    background: Vec<oneshot::Sender<()>>,
}

struct Api<P> {
    control: Rc<Control>,
    protocol: P,
}

impl<P: ControlProtocol> Handler for Api<P> {
    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        self.protocol.serve(Rc::clone(&self.control), req).await
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::for_internal_calls(MAX_HEADER_BYTES)
    }
}

/// Starts a control box on the current event loop.
///
/// # Errors
///
/// One of its addresses cannot be bound, or its disk cannot be read or written.
pub async fn spawn<P: ControlProtocol, C: CloudProtocol>(
    settings: ControlSettings,
    protocol: P,
    cloud: C,
) -> eyre::Result<RunningControl> {
    let timers = Timers::spawn();
    let boot = clock::since_epoch().as_micros() as u64;
    let folder = settings.data_folder.clone();
    let (stored, store) = store::open(&folder, || identity(&settings, boot)).await?;
    let node = stored.node;
    let config = Config {
        id: node,
        heartbeat_interval: group::HEARTBEAT_INTERVAL,
        election_timeout: group::ELECTION_TIMEOUT,
        max_drift_per_mille: group::MAX_DRIFT_PER_MILLE,
        seed: boot ^ node,
    };
    let mut machine = match &stored.durable.snapshot {
        Some(snapshot) => {
            StateMachine::decode(&snapshot.data).wrap_err("failed to decode the snapshot")?
        }
        None => StateMachine::default(),
    };
    group::replay_committed(&mut machine, &stored.durable.entries, stored.committed);
    // The sender bounds the queued bytes: nothing is queued while the disk is too far behind.
    let (write_queue, queue) = mpsc::unbounded();
    let raft_node = Node::start(config, stored.durable, clock::now());
    let control = Rc::new(state(settings, timers.clone(), write_queue, raft_node, machine));
    let Remembered { endpoints, entries } = remembered::load(&control);
    control.remembered.replace(endpoints);
    control.reported_entry_count.set(entries);
    let persisted = Rc::clone(&control);
    let durable = move |number| group::step(&persisted, Event::Persisted { number });
    let counted = Rc::clone(&control);
    let written = move |bytes| counted.unwritten_bytes.update(|unwritten| unwritten - bytes);
    let writing = store.write_forever(timers.clone(), queue, durable, written);
    compio::runtime::spawn(writing).detach();
    let listen = control.settings.cluster_listen;
    let listener = SocketListener::bind(listen)
        .wrap_err_with(|| format!("failed to listen for other boxes on {listen}"))?;
    let listen = control.settings.listen;
    let api = Rc::new(Api { control: Rc::clone(&control), protocol });
    let server = http_server::bind(listen, timers.clone(), api)
        .wrap_err_with(|| format!("failed to listen for endpoints and operators on {listen}"))?;
    let mut servers = vec![server];
    if let Some(listen) = control.settings.operators {
        let protocol = NativeControl { port: Some(listen.port()) };
        let api = Rc::new(Api { control: Rc::clone(&control), protocol });
        let server = http_server::bind(listen, timers, api)
            .wrap_err_with(|| format!("failed to listen for operators on {listen}"))?;
        servers.push(server);
    }
    let background = vec![
        task::spawn_until_dropped(links::accept(Rc::clone(&control), listener)),
        task::spawn_until_dropped(peers::keep_peers(Rc::clone(&control))),
        task::spawn_until_dropped(peers::ping_peers(Rc::clone(&control))),
        task::spawn_until_dropped(memory::watch(Rc::clone(&control))),
        task::spawn_until_dropped(entry_updates::publish_usage(Rc::clone(&control))),
        task::spawn_until_dropped(entry_updates::publish_loads(Rc::clone(&control))),
        task::spawn_until_dropped(group::run_timers(Rc::clone(&control))),
        task::spawn_until_dropped(group::maintain(Rc::clone(&control))),
        task::spawn_until_dropped(remembered::write_changes(Rc::clone(&control))),
        task::spawn_until_dropped(duties::run(Rc::clone(&control), cloud)),
        task::spawn_until_dropped(rollouts::run(Rc::clone(&control))),
    ];
    Line::new("started")
        .with("role", "control")
        .with("name", &control.settings.name)
        .with("listen", servers[0].address())
        .with("node", node)
        .with("log", control.node.borrow().log().last_index())
        .with("forms_group", control.settings.form_group)
        .info();
    Ok(RunningControl { control, servers, background })
}

/// The state of a box that has just started, with the Raft state from its disk.
fn state(
    settings: ControlSettings,
    timers: Timers,
    write_queue: mpsc::UnboundedSender<Write>,
    node: Node,
    machine: StateMachine,
) -> Control {
    let now = clock::now();
    // The settings may still allow a group to be formed when the disk holds one.
    let begins_deployment = settings.form_group && node.log().last_index() == 0;
    Control {
        node: RefCell::new(node),
        timers,
        turns: Turns::spawn(),
        started: now,
        write_queue,
        unwritten_bytes: Cell::new(0),
        machine: RefCell::new(machine),
        changes: RefCell::default(),
        unlogged_proposals: RefCell::default(),
        pending_proposals: RefCell::default(),
        next_proposal_id: Cell::new(0),
        registry: RefCell::default(),
        buffered: Rc::default(),
        entry_links: RefCell::default(),
        entries_last_seen: RefCell::default(),
        reported_entry_count: Cell::new(0),
        next_link: Cell::new(0),
        peers: RefCell::default(),
        join_requests: RefCell::default(),
        last_leader_at: Cell::new(now),
        endpoints_known_since: Cell::new((!begins_deployment).then_some(now)),
        leader_since: Cell::new(None),
        remembered: RefCell::default(),
        usage_ledger: RefCell::default(),
        cached_parts: RefCell::default(),
        stream_origins: RefCell::default(),
        quarantine: RefCell::default(),
        limits: RefCell::default(),
        limits_for_peers: RefCell::default(),
        rollout_reports: RefCell::default(),
        forwarded: ForwardedCounts::default(),
        clock: RefCell::default(),
        connections: ConnectionPool::reset_on_close(),
        unreadable_messages: Cell::new(0),
        stopping: Cell::new(false),
        settings,
    }
}

/// Node id and first members of a box with an empty disk: one of the initial group, or a new node
/// that joins.
fn identity(settings: &ControlSettings, boot: u64) -> (NodeId, Members) {
    let own = ipv4(settings.cluster_listen);
    let seeds = settings.seeds.iter().map(|seed| ipv4(*seed));
    if settings.form_group && settings.seeds.iter().any(|seed| ipv4(*seed) == own) {
        let members = Members::with_voters(seeds.map(|seed| node_id(seed, FIRST_INCARNATION)));
        return (node_id(own, FIRST_INCARNATION), members);
    }
    // A number that no earlier disk of this box had; the low ones are used by the initial group.
    let incarnation = (boot as u32).max(FIRST_INCARNATION + 1);
    (node_id(own, incarnation), Members::default())
}

/// The address as IPv4, the only kind that the settings allow here.
fn ipv4(address: SocketAddr) -> Ipv4Addr {
    match address.ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

impl RunningControl {
    /// The shared state.
    pub fn control(&self) -> &Rc<Control> {
        &self.control
    }

    /// The address at which endpoints and operators connect.
    pub fn listen(&self) -> SocketAddr {
        self.servers[0].address()
    }

    /// Performs a planned stop: stops acting for the deployment, lets calls finish, then ends.
    pub async fn stop(self) {
        let Self { control, servers, background } = self;
        control.stopping.set(true);
        Line::new("stopping").with("role", "control").info();
        servers.into_iter().for_each(HttpServer::finish);
        control.timers.sleep(DRAIN_TIMEOUT).await;
        drop(background);
        Line::new("stopped").with("role", "control").info();
    }
}

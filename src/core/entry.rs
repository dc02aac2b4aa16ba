//! The state that all tasks of an entry share, and the entry as a running whole.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr as _;
use futures_channel::oneshot;
use serde_json::Value;
use serde_json::json;
use vaneway_marks::Instance;
use vaneway_relay::Event;
use vaneway_relay::RetryBudget;
use vaneway_route::Choice;
use vaneway_route::Effect;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::Pool;
use vaneway_route::Query;

use crate::core::claims;
use crate::core::claims::Claims;
use crate::core::cluster;
use crate::core::cluster::Cluster;
use crate::core::front;
use crate::core::metrics::Metrics;
use crate::core::open_requests::OpenRequests;
use crate::core::operators;
use crate::core::platform;
use crate::core::settings::Settings;
use crate::core::upstream::Connections;
use crate::util::clock;
use crate::util::logline::Line;
use crate::util::timers::Timers;

/// Retries that a service's budget holds at most, so that a quiet service can still retry.
const RETRY_RESERVE: u32 = 20;

/// How long a planned stop waits for connections to close once no request is open.
const CLOSE_WITHIN: Duration = Duration::from_secs(2);

/// Whether the entry takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Ready.
    Serving,
    /// Not ready, but still takes what the balancer sends.
    Unready,
    /// Refuses new work and finishes what runs.
    Finishing,
}

impl Phase {
    /// The phase's name in dumps.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Unready => "unready",
            Self::Finishing => "finishing",
        }
    }
}

/// State that all tasks of an entry share.
#[derive(Debug)]
pub struct Entry {
    /// Settings of the process.
    pub settings: Settings,
    /// The endpoints.
    pub pool: RefCell<Pool>,
    /// The retry budget of each service.
    pub budgets: RefCell<Vec<RetryBudget>>,
    /// Connections to endpoints.
    pub connections: Connections,
    /// The timer service.
    pub timers: Timers,
    /// Requests that are open.
    pub open: OpenRequests,
    /// The ledger of claims, where this deployment can keep one.
    pub claims: Option<Claims>,
    /// The way to the other entry boxes, if there are any.
    pub cluster: Option<Cluster>,
    /// Counters for operators.
    pub metrics: Metrics,
    /// Callers' connections that are open.
    pub callers: Cell<usize>,
    phase: Cell<Phase>,
    started: Instant,
    boot: u64,
}

/// What an entry is made of besides its settings.
struct Parts {
    claims: Option<Claims>,
    cluster: Option<Cluster>,
    boot: u64,
}

/// Counts an attempt at an endpoint until it is dropped.
#[derive(Debug)]
pub struct Occupancy {
    entry: Rc<Entry>,
    endpoint: EndpointId,
    tokens: u64,
}

impl Drop for Occupancy {
    fn drop(&mut self) {
        self.entry.pool.borrow_mut().end(self.endpoint, self.tokens);
    }
}

impl Entry {
    fn new(settings: Settings, timers: Timers, parts: Parts) -> Self {
        let Parts { claims, cluster, boot } = parts;
        let routing = &settings.routing;
        let pool = Pool::new(settings.replicas.clone(), routing.policy, routing.seed);
        let budget = |service: &crate::core::settings::Service| {
            RetryBudget::new(service.retry_percent, RETRY_RESERVE)
        };
        Self {
            pool: RefCell::new(pool),
            budgets: RefCell::new(settings.services.iter().map(budget).collect()),
            connections: Connections::default(),
            timers,
            open: OpenRequests::default(),
            claims,
            cluster,
            metrics: Metrics::new(),
            callers: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            started: Instant::now(),
            boot,
            settings,
        }
    }

    /// Whether the entry takes work.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// An id for a request that no other box and no other start of this box gives.
    pub fn request_id(&self, number: u64) -> String {
        format!("{}-{:x}-{number}", self.settings.name, self.boot)
    }

    /// Seed of a request's random numbers.
    pub fn request_seed(&self, number: u64) -> u64 {
        self.settings.routing.seed.wrapping_add(number)
    }

    /// Chooses an endpoint for a request.
    pub fn choose(&self, service: usize, avoid: &[EndpointId], prefix: u64) -> Choice {
        let query = Query {
            service: service as u32,
            home: &self.settings.availability_zone,
            avoid,
            prefix,
        };
        self.pool.borrow_mut().choose(Instant::now(), query)
    }

    /// Counts an attempt that begins.
    pub fn occupy(self: &Rc<Self>, endpoint: EndpointId, tokens: u64) -> Occupancy {
        self.pool.borrow_mut().begin(endpoint, tokens);
        Occupancy { entry: Rc::clone(self), endpoint, tokens }
    }

    /// Address of an endpoint.
    pub fn address(&self, endpoint: EndpointId) -> SocketAddr {
        self.pool.borrow().get(endpoint).spec.address
    }

    /// Applies what was seen of an endpoint.
    pub fn report(&self, endpoint: EndpointId, event: EndpointEvent) {
        self.change(|pool, now, out| pool.handle(now, endpoint, event, out));
    }

    /// Applies a change to the pool and tells the open requests what it means for them.
    pub fn change<T>(&self, change: impl FnOnce(&mut Pool, Instant, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let done = change(&mut self.pool.borrow_mut(), Instant::now(), &mut effects);
        for effect in effects {
            self.apply(effect);
        }
        done
    }

    /// Endpoints that run on a box.
    pub fn endpoints_on(&self, box_name: &str) -> Vec<EndpointId> {
        let pool = self.pool.borrow();
        let all = pool.endpoints().iter().enumerate();
        let there = all.filter(|(_, endpoint)| endpoint.spec.box_name == box_name);
        there.map(|(id, _)| id as EndpointId).collect()
    }

    /// Marks an instance of a box as leaving.
    pub fn mark(&self, instance: &Instance, gone_at: Instant) {
        for endpoint in self.endpoints_on(&instance.box_name) {
            self.change(|pool, now, out| {
                if pool.listed(now, endpoint, &instance.instance, out) {
                    pool.notice(now, endpoint, gone_at, out);
                }
            });
        }
    }

    fn apply(&self, effect: Effect) {
        match effect {
            Effect::MoveWork { endpoint, gone_at } => {
                self.metrics.notices.inc();
                self.log_endpoint("endpoint_leaving", endpoint);
                self.open.signal_all(&Event::Leaving { endpoint, gone_at });
            }
            Effect::AbandonWork { endpoint } => {
                self.log_endpoint("endpoint_gone", endpoint);
                self.connections.forget(self.address(endpoint));
                self.open.signal_all(&Event::Gone { endpoint });
            }
        }
    }

    fn log_endpoint(&self, event: &str, endpoint: EndpointId) {
        let pool = self.pool.borrow();
        let spec = &pool.get(endpoint).spec;
        Line::new(event)
            .with("replica", &spec.name)
            .with("box", &spec.box_name)
            .with("availability_zone", &spec.availability_zone)
            .info();
    }

    /// The whole state as JSON.
    pub fn dump(&self) -> Value {
        let now = Instant::now();
        let pool = self.pool.borrow();
        let endpoints: Vec<_> = pool
            .endpoints()
            .iter()
            .map(|endpoint| {
                json!({
                    "replica": endpoint.spec.name,
                    "address": endpoint.spec.address,
                    "availability_zone": endpoint.spec.availability_zone,
                    "state": endpoint.state_name(),
                    "instance": endpoint.instance,
                    "gone_in_ms": endpoint.gone_at.map(|at| {
                        at.saturating_duration_since(now).as_millis() as u64
                    }),
                    "failures": endpoint.failures,
                    "open": endpoint.open,
                    "open_tokens": endpoint.open_tokens,
                })
            })
            .collect();
        json!({
            "name": self.settings.name,
            "phase": self.phase().name(),
            "up_ms": self.started.elapsed().as_millis() as u64,
            "endpoints": endpoints,
            "open_requests": self.open.dump(),
            "retries_left": self.budgets.borrow().iter().map(RetryBudget::left).collect::<Vec<_>>(),
            "claims": self.claims.as_ref().map(|claims| json!({
                "keys": claims.keys(), "held": claims.held(), "closed": claims.is_closed(),
            })),
            "marks": self.cluster.as_ref().map(Cluster::marks),
            "caller_connections": self.callers.get(),
            "idle_connections": self.connections.idle(),
            "timers": self.timers.waiting(),
            "settings": self.settings,
        })
    }

    fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        Line::new("phase").with("phase", phase.name()).with("open", self.open.len()).info();
    }
}

/// A running entry.
#[derive(Debug)]
pub struct RunningEntry {
    entry: Rc<Entry>,
    listen: SocketAddr,
    operators: SocketAddr,
    front: front::Front,
    /// Dropped to end the expiry of leaving endpoints and the platform's client.
    background: Vec<oneshot::Sender<()>>,
}

/// Starts an entry on the current loop.
///
/// # Errors
///
/// If one of its addresses can't be bound.
pub async fn spawn(settings: Settings) -> eyre::Result<RunningEntry> {
    check_charts();
    let timers = Timers::spawn();
    let boot = clock::since_epoch().as_micros() as u64;
    let claims = open_claims(&settings, boot).await?;
    let cluster = bind_cluster(&settings, boot).await?;
    let entry = Rc::new(Entry::new(settings, timers, Parts { claims, cluster, boot }));
    let receiving = spawn_until_dropped(cluster::receive(Rc::clone(&entry)));
    cluster::catch_up(&entry).await;
    let listen = entry.settings.listen;
    let front = front::bind(Rc::clone(&entry))
        .wrap_err_with(|| format!("failed to listen for callers on {listen}"))?;
    let listen = entry.settings.operators.listen;
    let operators = operators::bind(Rc::clone(&entry))
        .await
        .wrap_err_with(|| format!("failed to listen for operators on {listen}"))?;
    let background = vec![
        receiving,
        spawn_until_dropped(cluster::compare(Rc::clone(&entry))),
        spawn_until_dropped(expire_leaving(Rc::clone(&entry))),
        spawn_until_dropped(expire_claims(Rc::clone(&entry))),
        spawn_until_dropped(platform::follow_list(Rc::clone(&entry))),
        spawn_until_dropped(platform::follow_notices(Rc::clone(&entry))),
    ];
    let listen = front.address();
    Line::new("started")
        .with("name", &entry.settings.name)
        .with("availability_zone", &entry.settings.availability_zone)
        .with("listen", listen)
        .with("operators", operators)
        .with("services", entry.settings.services.len())
        .with("replicas", entry.settings.replicas.len())
        .info();
    Ok(RunningEntry { entry, listen, operators, front, background })
}

/// Compiles the charts, so that a fault in one is found at start and not at the first request.
fn check_charts() {
    let charts = [
        vaneway_route::endpoint_chart().name(),
        vaneway_relay::request_chart().name(),
        vaneway_relay::attempt_chart().name(),
    ];
    log::debug!("event=charts_checked charts={}", charts.join(","));
}

/// Opens the ledger of claims. A deployment of several boxes needs claims that all of them agree
/// on; until there are, it keeps none and refuses the calls that need them.
async fn open_claims(settings: &Settings, boot: u64) -> eyre::Result<Option<Claims>> {
    match &settings.data_folder {
        Some(folder) if settings.peers.is_empty() => {
            Ok(Some(claims::open(folder, boot, settings.claims.retention).await?))
        }
        _ => Ok(None),
    }
}

/// Binds the socket to the other entry boxes.
async fn bind_cluster(settings: &Settings, seed: u64) -> eyre::Result<Option<Cluster>> {
    let Some(cluster) = &settings.cluster else { return Ok(None) };
    let context = || format!("failed to listen for peers on {}", cluster.listen);
    let bound = Cluster::bind(cluster, settings.peers.len(), seed).await;
    let bound = bound.wrap_err_with(context)?;
    let address = bound.local_addr().wrap_err_with(context)?;
    Line::new("cluster").with("address", address).with("peers", settings.peers.len()).info();
    Ok(Some(bound))
}

/// Forgets claims that are older than the retention.
async fn expire_claims(entry: Rc<Entry>) {
    /// Time between two looks; the retention is hours.
    const LOOK_EVERY: Duration = Duration::from_mins(1);
    let Some(claims) = entry.claims.clone() else { return };
    while claims.expire().await.is_ok() {
        entry.timers.sleep(LOOK_EVERY).await;
    }
}

fn spawn_until_dropped(work: impl Future<Output = ()> + 'static) -> oneshot::Sender<()> {
    let (tx, rx) = oneshot::channel::<()>();
    compio::runtime::spawn(async move {
        futures_util::pin_mut!(work);
        futures_util::future::select(work, rx).await;
    })
    .detach();
    tx
}

/// Lets leaving endpoints be gone when their time has come.
async fn expire_leaving(entry: Rc<Entry>) {
    /// Longest wait before looking again, since a notice can arrive meanwhile.
    const LOOK_EVERY: Duration = Duration::from_millis(50);
    loop {
        entry.timers.sleep(LOOK_EVERY).await;
        let due = entry.pool.borrow().next_deadline();
        if due.is_some_and(|at| at <= Instant::now()) {
            entry.change(Pool::expire);
        }
    }
}

impl RunningEntry {
    /// Where callers connect.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Where operators connect.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// The shared state.
    pub fn entry(&self) -> &Rc<Entry> {
        &self.entry
    }

    /// Stops as planned: loses readiness, then refuses new work, and returns once every open
    /// request has its answer. Returns the number of requests that were still open when the time
    /// for that was over.
    pub async fn stop(self) -> usize {
        let Self { entry, front, background, .. } = self;
        entry.enter_phase(Phase::Unready);
        entry.timers.sleep(entry.settings.stop.accept).await;
        entry.enter_phase(Phase::Finishing);
        front.finish();
        let until = Instant::now() + entry.settings.stop.finish;
        let empty = std::future::poll_fn(|cx| entry.open.poll_empty(cx));
        entry.timers.until(until, empty).await;
        let cut_off = entry.open.len();
        let until = Instant::now() + CLOSE_WITHIN;
        let busy = || entry.callers.get() + entry.claims.as_ref().map_or(0, Claims::held) > 0;
        while busy() && Instant::now() < until {
            entry.timers.sleep(Duration::from_millis(5)).await;
        }
        drop(background);
        Line::new("stopped").with("cut_off", cut_off).info();
        cut_off
    }
}

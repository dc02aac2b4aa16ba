//! The state that all tasks of an entry box share.
//!
//! All of it belongs to the event loop's single thread. Tasks hold it by reference count; what one
//! of them observes of an endpoint reaches the open requests through [`Entry::update_pool`].

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use vaneway_ledger::LocalUsage;
use vaneway_limit::BoxNumber;
use vaneway_limit::EndpointLimits;
use vaneway_limit::Sender;
use vaneway_marks::Instance;
use vaneway_quarantine::Quarantine;
use vaneway_registry::InstanceId;
use vaneway_registry::Registry;
use vaneway_relay::Event;
use vaneway_relay::RetryBudget;
use vaneway_route::Choice;
use vaneway_route::Effect;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::FittingCounts;
use vaneway_route::Pool;
use vaneway_route::Query;
use vaneway_route::ServiceId;
use vaneway_route::Work;

use crate::core::calls::claims::Claims;
use crate::core::calls::open_requests::OpenRequests;
use crate::core::cluster::datagram::Cluster;
use crate::core::configuration::CallerLimits;
use crate::core::configuration::Configuration;
use crate::core::configuration::Version;
use crate::core::configuration_change::ConfigurationChange;
use crate::core::endpoints::upstream::ConnectionPool;
use crate::core::limits;
use crate::core::metrics::Metrics;
use crate::core::neighbours::Neighbours;
use crate::core::occupancy::Occupancy;
use crate::core::path_watch::PathWatch;
use crate::core::prompt_parts;
use crate::core::queue_limit::Inflow;
use crate::core::quotas::Quotas;
use crate::core::rollouts::EntryRollouts;
use crate::core::route_table::RouteTable;
use crate::core::settings::FollowSettings;
use crate::core::settings::Settings;
use crate::core::stream_origins::StreamOrigins;
use crate::core::zones;
use crate::util::clock;
use crate::util::hash;
use crate::util::logline::Line;
use crate::util::timers::Timers;

/// Most retries that a service's budget accumulates, so that a service with few requests can still
/// retry.
const RETRY_RESERVE: u32 = 20;

/// Share of the retries allowed by the operators that is used. The rest covers the attempts of
/// boxes that crashed, which their next incarnations do not know.
const RETRY_SHARE: f64 = 0.75;

/// Whether the entry box accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Ready.
    Serving,
    /// Not ready, but still accepts the requests that the load balancer sends.
    Unready,
    /// Refuses new requests and finishes the open ones.
    Finishing,
}

impl Phase {
    /// Name of the phase in dumps and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Unready => "unready",
            Self::Finishing => "finishing",
        }
    }
}

/// State that all tasks of an entry box share.
#[derive(Debug)]
pub struct Entry {
    /// Settings of the process.
    pub settings: Settings,
    /// The endpoints.
    pub pool: RefCell<Pool>,
    /// The endpoints of each box, by which the platform's list and notices refer to them, thousands
    /// at a time.
    boxes: BTreeMap<String, Vec<EndpointId>>,
    /// The retry budget of each service.
    pub budgets: RefCell<Vec<RetryBudget>>,
    /// Connection pool for endpoints.
    pub connections: ConnectionPool,
    /// The timer service.
    pub timers: Timers,
    /// Open requests.
    pub open: OpenRequests,
    /// The ledger of claims, if this deployment can keep one.
    pub claims: Option<Claims>,
    /// The socket for the other entry boxes, if there are any.
    pub cluster: Option<Cluster>,
    /// Metrics for operators.
    pub metrics: Metrics,
    /// Number of open connections from callers.
    pub caller_connections: Cell<usize>,
    /// What endpoints have reported to the control boxes.
    pub registry: RefCell<Registry>,
    /// The endpoints from the registry.
    pub registered: RefCell<BTreeMap<InstanceId, EndpointId>>,
    /// Requests that were running when endpoints crashed.
    pub quarantine: RefCell<Quarantine>,
    /// Endpoints that refused a connection, while it is being found out whether they have exited.
    pub unconfirmed_exits: RefCell<BTreeSet<EndpointId>>,
    /// Limits that endpoints advertise in their responses.
    pub limits: RefCell<EndpointLimits>,
    /// The number of this box among the boxes that share these limits, once known.
    pub box_number: Cell<Option<BoxNumber>>,
    /// The entry boxes through which this box forwards while it reaches no endpoint.
    pub neighbours: Neighbours,
    /// Where this box listens for calls that other entry boxes forward, if it does.
    pub forwarded_listen: Cell<Option<SocketAddr>>,
    /// Whether this box reaches the endpoints of each service.
    pub paths: PathWatch,
    /// Usage by the requests of this box, for the reports to control boxes.
    pub usage: RefCell<LocalUsage>,
    table: RefCell<Option<Rc<RouteTable>>>,
    service_ids: RefCell<BTreeMap<String, ServiceId>>,
    /// Prompt tokens of arriving requests.
    pub inflow: Inflow,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// The quotas of organisations.
    pub quotas: Quotas,
    /// Versions of services that are brought in.
    pub rollouts: EntryRollouts,
    phase: Cell<Phase>,
    started: Instant,
    boot: u64,
    next_id: Cell<u64>,
    /// Retry budget of a routed service: retries per hundred requests, and reserve.
    retry_limits: Cell<(u32, u32)>,
}

/// One box's share of a service's retry budget: retries per hundred requests, and reserve.
fn retry_limits(follow: &FollowSettings, known: u32) -> (u32, u32) {
    let allowed = follow.retries;
    let percent = (allowed.share * RETRY_SHARE * 100.0) as u32;
    let reserve = (allowed.slack * RETRY_SHARE / f64::from(known.max(1))) as u32;
    (percent, reserve.max(1))
}

/// Number of entry boxes that is assumed before the first update of a control box.
const ASSUMED_ENTRY_BOXES: u32 = 8;

/// Components of an entry box besides its settings.
#[derive(Debug)]
pub(crate) struct Components {
    /// The ledger of claims.
    pub(crate) claims: Option<Claims>,
    /// The socket for the other entry boxes.
    pub(crate) cluster: Option<Cluster>,
    /// A number that no earlier incarnation of this box had.
    pub(crate) boot: u64,
}

impl Entry {
    pub(crate) fn new(settings: Settings, timers: Timers, components: Components) -> Self {
        let Components { claims, cluster, boot } = components;
        // Boxes with the same settings must not draw the same random numbers.
        let seed = hash::of((settings.routing.seed, &settings.name));
        let pool = zones::pool(&settings, seed);
        let budget = |service: &crate::core::settings::Service| {
            RetryBudget::new(service.retry_percent, RETRY_RESERVE)
        };
        let follow = settings.follow.as_ref();
        let limits = follow.map_or((0, 0), |follow| retry_limits(follow, ASSUMED_ENTRY_BOXES));
        let names = settings.services.iter().enumerate();
        let service_ids =
            names.map(|(i, service)| (service.name.clone(), i as ServiceId)).collect();
        let mut boxes = BTreeMap::<String, Vec<EndpointId>>::new();
        for (id, endpoint) in pool.endpoints().iter().enumerate() {
            boxes.entry(endpoint.spec.box_name.clone()).or_default().push(id as EndpointId);
        }
        Self {
            pool: RefCell::new(pool),
            boxes,
            budgets: RefCell::new(settings.services.iter().map(budget).collect()),
            connections: ConnectionPool::with_limits(&settings.limits),
            timers,
            open: OpenRequests::default(),
            claims,
            cluster,
            metrics: Metrics::new(),
            caller_connections: Cell::new(0),
            registry: RefCell::default(),
            registered: RefCell::default(),
            quarantine: RefCell::default(),
            unconfirmed_exits: RefCell::default(),
            limits: RefCell::default(),
            box_number: Cell::new(limits::box_number_by_settings(&settings)),
            neighbours: Neighbours::default(),
            forwarded_listen: Cell::new(None),
            paths: PathWatch::default(),
            usage: RefCell::default(),
            table: RefCell::default(),
            service_ids: RefCell::new(service_ids),
            inflow: Inflow::new(settings.routing.shortage),
            origins: StreamOrigins::default(),
            quotas: Quotas::new(follow.map(|follow| follow.quota)),
            rollouts: EntryRollouts::default(),
            phase: Cell::new(Phase::Serving),
            started: clock::now(),
            boot,
            next_id: Cell::new(0),
            retry_limits: Cell::new(limits),
            settings,
        }
    }

    /// Whether the entry box accepts requests.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Whether it accepts no more requests and has none open.
    pub fn is_done(&self) -> bool {
        self.phase() == Phase::Finishing && self.open.is_empty()
    }

    /// An id for a request, unique over all boxes and over all incarnations of this box.
    pub fn request_id(&self, number: u64) -> String {
        format!("{}-{:x}-{number}", self.settings.name, self.boot)
    }

    /// An id for a request whose caller gave none.
    pub fn next_request_id(&self) -> String {
        self.next_id.update(|id| id + 1);
        format!("{}-{:x}-c{}", self.settings.name, self.boot, self.next_id.get())
    }

    /// Time since this box started.
    pub fn uptime(&self) -> Duration {
        clock::elapsed(self.started)
    }

    /// A number that no earlier incarnation of this box had.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Seed for a request's random numbers.
    pub fn request_seed(&self, number: u64) -> u64 {
        self.settings.routing.seed.wrapping_add(number)
    }

    /// Chooses an endpoint for a request, in response to `Action::Choose`. Fills in the
    /// query's fields about this box.
    pub fn choose(&self, query: Query<'_>) -> Event {
        let home = &self.settings.availability_zone;
        let query = Query { home, sender: self.sender(), ..query };
        match self.pool.borrow_mut().choose(clock::now(), query) {
            Choice::Endpoint(endpoint) => Event::Chosen { endpoint },
            Choice::Full | Choice::Limited | Choice::QueuesTooLong => {
                Event::Unavailable { full: true, until: None }
            }
            Choice::Unavailable { until } => Event::Unavailable { full: false, until },
            Choice::NoneLeft => Event::NoneLeft,
        }
    }

    /// The numbers of endpoints that could respond to a query, in each respect.
    pub fn count_fitting(&self, query: Query<'_>) -> FittingCounts {
        let query = Query { sender: self.sender(), ..query };
        self.pool.borrow().count_fitting(clock::now(), &query)
    }

    /// The cluster time and the number of this box, which determine its share of the limits that
    /// endpoints advertise.
    fn sender(&self) -> Sender {
        Sender { now: self.cluster_time(), number: self.box_number.get() }
    }

    /// The configuration in force at this box, if any.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.table().map_or(0, |table| table.version())
    }

    /// Applies a configuration if its version is higher than the one in force.
    pub fn configure(&self, configuration: Configuration) {
        if configuration.version > self.version() {
            self.apply_table(RouteTable::new(configuration));
        }
    }

    /// Applies a change to the configuration in force, unless the version that results is in force
    /// already. Returns false if the change doesn't fit the configuration in force.
    pub fn change_configuration(&self, change: &ConfigurationChange) -> bool {
        if self.version() >= change.version {
            return true;
        }
        if let Some(table) = self.table().and_then(|table| table.changed(change)) {
            self.apply_table(table);
            return true;
        }
        Line::new("configuration_change_unfit")
            .with("base", change.base)
            .with("version", change.version)
            .with("held", self.version())
            .warn();
        false
    }

    fn apply_table(&self, table: RouteTable) {
        for service in table.services() {
            self.service_id(&service.name);
        }
        self.quotas.configure(self.cluster_time(), table.version(), table.organisations());
        Line::new("configured")
            .with("version", table.version())
            .with("before", self.version())
            .with("routes", table.routes())
            .with("organisations", table.organisations().count())
            .info();
        *self.table.borrow_mut() = Some(Rc::new(table));
    }

    /// Limits on callers: the configuration's, or before the first one the settings'.
    pub fn caller_limits(&self) -> CallerLimits {
        self.table().map_or_else(
            || CallerLimits {
                header_bytes: self.settings.limits.header_bytes,
                body_bytes: self.settings.limits.body_bytes,
                ..CallerLimits::default()
            },
            |table| table.limits(),
        )
    }

    /// The id of a service by its name; a new name is given the next id.
    pub fn service_id(&self, name: &str) -> ServiceId {
        let mut ids = self.service_ids.borrow_mut();
        if let Some(id) = ids.get(name) {
            return *id;
        }
        let mut budgets = self.budgets.borrow_mut();
        let id = budgets.len() as ServiceId;
        ids.insert(name.to_owned(), id);
        let (percent, reserve) = self.retry_limits.get();
        budgets.push(RetryBudget::new(percent, reserve));
        id
    }

    /// The ids of all services.
    pub fn services(&self) -> Vec<ServiceId> {
        self.service_ids.borrow().values().copied().collect()
    }

    /// The name of a service.
    pub fn service_name(&self, service: ServiceId) -> String {
        let ids = self.service_ids.borrow();
        let named = ids.iter().find(|(_, id)| **id == service);
        named.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Sets how many entry boxes share the retries that the operators allow. Each box uses only its
    /// own share, so that the sum stays within the bounds even if boxes are cut off from each
    /// other.
    pub fn divide_retries(&self, known: u32) {
        let Some(follow) = &self.settings.follow else { return };
        let limits = retry_limits(follow, known);
        if self.retry_limits.replace(limits) == limits {
            return;
        }
        let own = self.settings.services.len();
        for budget in self.budgets.borrow_mut().iter_mut().skip(own) {
            budget.set(limits.0, limits.1);
        }
    }

    /// The cluster time since 1970, or this box's own time before the cluster time is known.
    pub fn cluster_time(&self) -> Duration {
        let clock = self.usage.borrow().clock();
        clock.map_or_else(clock::since_epoch, |clock| clock.since_epoch(clock::now()))
    }

    /// Counts a request on which an endpoint started to work.
    pub fn count_started(&self, organisation: &str) {
        self.usage.borrow_mut().begin(clock::now(), organisation);
    }

    /// Accounts for an attempt that starts.
    pub fn begin_attempt(
        self: &Rc<Self>,
        endpoint: EndpointId,
        tokens: u64,
        work: Option<&Work>,
    ) -> Occupancy {
        let tokens = self.pool.borrow_mut().begin_attempt(clock::now(), endpoint, tokens, work);
        Occupancy::new(Rc::clone(self), endpoint, tokens)
    }

    /// Address of an endpoint.
    pub fn address(&self, endpoint: EndpointId) -> SocketAddr {
        self.pool.borrow().get(endpoint).spec.address
    }

    /// Applies an event observed at an endpoint.
    pub fn apply_event(&self, endpoint: EndpointId, event: EndpointEvent) {
        self.update_pool(|pool, now, out| pool.handle(now, endpoint, event, out));
        match event {
            EndpointEvent::Failed => self.record_path_failure(endpoint),
            EndpointEvent::Answered => self.record_path_response(endpoint),
            _ => {}
        }
    }

    /// Records that an attempt at an endpoint failed or had no response for long, which may be due
    /// to the path to it.
    pub fn record_path_failure(&self, endpoint: EndpointId) {
        let pool = self.pool.borrow();
        if pool.get(endpoint).is_neighbour() {
            return;
        }
        let service = pool.get(endpoint).spec.service;
        self.paths.record_failure(service, endpoint, pool.usable(service).count());
    }

    /// Records that a response arrives from an endpoint.
    pub fn record_path_response(&self, endpoint: EndpointId) {
        self.paths.record_response(self.pool.borrow().get(endpoint).spec.service);
    }

    /// Applies a change to the pool, and passes its effects on to the open requests.
    pub fn update_pool<T>(
        &self,
        change: impl FnOnce(&mut Pool, Instant, &mut Vec<Effect>) -> T,
    ) -> T {
        let mut effects = Vec::new();
        let done = change(&mut self.pool.borrow_mut(), clock::now(), &mut effects);
        for effect in effects {
            self.apply(effect);
        }
        done
    }

    /// The endpoints on a box.
    pub fn endpoints_on(&self, box_name: &str) -> &[EndpointId] {
        self.boxes.get(box_name).map_or(&[], Vec::as_slice)
    }

    /// Marks an instance of a box as leaving.
    pub fn mark_leaving(&self, instance: &Instance, gone_at: Instant) {
        for endpoint in self.endpoints_on(&instance.box_name) {
            self.update_pool(|pool, now, out| {
                if pool.set_instance(now, *endpoint, &instance.instance, out) {
                    pool.notice(now, *endpoint, gone_at, out);
                }
            });
        }
    }

    fn apply(&self, effect: Effect) {
        match effect {
            Effect::MoveWork { endpoint, gone_at } => {
                self.metrics.notices.inc();
                self.log_endpoint("endpoint_leaving", endpoint);
                self.open.send_to_all(&Event::Leaving { endpoint, gone_at });
            }
            Effect::AbandonWork { endpoint } => {
                self.log_endpoint("endpoint_gone", endpoint);
                self.connections.close_idle(self.address(endpoint));
                self.open.send_to_all(&Event::Gone { endpoint });
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

    /// The complete state as JSON.
    pub fn dump(&self) -> Value {
        let now = clock::now();
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
                    "rests_ms": endpoint.backoff_until.map(|until| {
                        until.saturating_duration_since(now).as_millis() as u64
                    }),
                    "failures": endpoint.failures,
                    "open": endpoint.open,
                    "open_tokens": endpoint.open_tokens,
                    "open_elsewhere": endpoint.others_load,
                    "kept_parts": endpoint.cached_parts.len(),
                    "limit_a_second": endpoint.gate.limit().filter(|limit| !limit.lifted)
                        .map(|limit| limit.rate.per_second()),
                })
            })
            .collect();
        json!({
            "name": self.settings.name,
            "phase": self.phase().name(),
            "up_ms": clock::elapsed(self.started).as_millis() as u64,
            "endpoints": endpoints,
            "open_requests": self.open.dump(),
            "retries_left": self.budgets.borrow().iter().map(RetryBudget::left).collect::<Vec<_>>(),
            "claims": self.claims.as_ref().map(|claims| json!({
                "keys": claims.key_count(), "held": claims.running_calls(),
                "closed": claims.is_closed(),
            })),
            "marks": self.cluster.as_ref().map(Cluster::marks),
            "caller_connections": self.caller_connections.get(),
            "idle_connections": self.connections.idle(),
            "timers": self.timers.pending(),
            "configuration": self.table().map(|table| table.version()),
            "quarantine": self.quarantine.borrow().cases().iter().map(|(fingerprint, case)| json!({
                "fingerprint": format!("{fingerprint:016x}"),
                "verdict": case.verdict.name(),
                "ended": case.crashes.keys().collect::<Vec<_>>(),
            })).collect::<Vec<_>>(),
            "quarantined_parts": prompt_parts::list_held(self).iter().map(|held| json!({
                "part": format!("{:016x}", held.part),
                "service": held.service,
                "verdict": held.verdict.name(),
                "ended": held.crashed,
            })).collect::<Vec<_>>(),
            "box_number": self.box_number.get(),
            "cut_off_from": self.paths.cut_off().into_iter().map(|service| self.service_name(service))
                .collect::<Vec<_>>(),
            "registered": self.registered.borrow().len(),
            "settings": self.settings,
        })
    }

    /// Enters a phase and logs it.
    pub(crate) fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        Line::new("phase").with("phase", phase.name()).with("open", self.open.len()).info();
    }
}

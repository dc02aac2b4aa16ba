//! The state that all tasks of an entry share.
//!
//! Everything here belongs to the loop's one thread. Tasks hold the state by reference count; what
//! one of them learns of an endpoint reaches the open requests through [`Entry::change`].

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

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

use crate::core::claims::Claims;
use crate::core::datagram::Cluster;
use crate::core::metrics::Metrics;
use crate::core::open_requests::OpenRequests;
use crate::core::settings::Settings;
use crate::core::upstream::Connections;
use crate::util::logline::Line;
use crate::util::timers::Timers;

/// Retries that a service's budget holds at most, so that a quiet service can still retry.
const RETRY_RESERVE: u32 = 20;

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
    /// The endpoints of each box. The platform names boxes, thousands at a time.
    boxes: BTreeMap<String, Vec<EndpointId>>,
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
#[derive(Debug)]
pub(crate) struct Parts {
    /// The ledger of claims.
    pub(crate) claims: Option<Claims>,
    /// The way to the other entry boxes.
    pub(crate) cluster: Option<Cluster>,
    /// A number that no earlier start of this box had.
    pub(crate) boot: u64,
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
    pub(crate) fn new(settings: Settings, timers: Timers, parts: Parts) -> Self {
        let Parts { claims, cluster, boot } = parts;
        let routing = &settings.routing;
        let pool = Pool::new(settings.replicas.clone(), routing.policy, routing.seed);
        let budget = |service: &crate::core::settings::Service| {
            RetryBudget::new(service.retry_percent, RETRY_RESERVE)
        };
        let mut boxes = BTreeMap::<String, Vec<EndpointId>>::new();
        for (id, endpoint) in pool.endpoints().iter().enumerate() {
            boxes.entry(endpoint.spec.box_name.clone()).or_default().push(id as EndpointId);
        }
        Self {
            pool: RefCell::new(pool),
            boxes,
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

    /// Chooses an endpoint for a request, as the answer to `Action::Choose`.
    pub fn choose(&self, service: usize, avoid: &[EndpointId], prefix: u64) -> Event {
        let query = Query {
            service: service as u32,
            home: &self.settings.availability_zone,
            avoid,
            prefix,
        };
        match self.pool.borrow_mut().choose(Instant::now(), query) {
            Choice::Endpoint(endpoint) => Event::Chosen { endpoint },
            Choice::Full => Event::Unavailable { full: true, until: None },
            Choice::Unavailable { until } => Event::Unavailable { full: false, until },
        }
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
    pub fn endpoints_on(&self, box_name: &str) -> &[EndpointId] {
        self.boxes.get(box_name).map_or(&[], Vec::as_slice)
    }

    /// Marks an instance of a box as leaving.
    pub fn mark(&self, instance: &Instance, gone_at: Instant) {
        for endpoint in self.endpoints_on(&instance.box_name) {
            self.change(|pool, now, out| {
                if pool.listed(now, *endpoint, &instance.instance, out) {
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

    /// Enters a phase and logs it.
    pub(crate) fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        Line::new("phase").with("phase", phase.name()).with("open", self.open.len()).info();
    }
}

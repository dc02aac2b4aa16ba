//! The state of one endpoint: its specification and what this entry box has observed of it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use vaneway_chart::Chart;
use vaneway_chart::ChartName;
use vaneway_chart::chart_names;
use vaneway_limit::Gate;
use vaneway_limit::OpenRequests;
use vaneway_limit::Sender;

use crate::expected::CACHED_PART_MAX_AGE;

/// Index of a service in the settings.
pub type ServiceId = u32;

/// The service of neighbours: entry boxes through which requests of any service are forwarded.
pub const NEIGHBOUR_SERVICE: ServiceId = ServiceId::MAX;

/// Index of an endpoint in its pool; never changes.
pub type EndpointId = u32;

chart_names! {
    /// States of the chart `endpoint.json`.
    pub enum EndpointState {
        Serving = "serving",
        Suspect = "suspect",
        Leaving = "leaving",
        Gone = "gone",
    }
}

chart_names! {
    /// Events of the chart `endpoint.json`.
    pub enum EndpointEvent {
        Notice = "notice",
        Deadline = "deadline",
        Removed = "removed",
        Failed = "failed",
        Answered = "answered",
        Replaced = "replaced",
    }
}

chart_names! {
    /// Actions of the chart `endpoint.json`.
    pub enum EndpointAction {
        MoveWork = "move_work",
        AbandonWork = "abandon_work",
        Suspend = "suspend",
        Restore = "restore",
        Reset = "reset",
    }
}

/// The compiled chart `endpoint.json`.
pub type EndpointChart = Chart<EndpointState, EndpointEvent, EndpointAction>;

/// The state chart of an endpoint, compiled once.
///
/// # Panics
///
/// If the embedded file is invalid, which a test rules out.
pub fn endpoint_chart() -> &'static EndpointChart {
    static CHART: OnceLock<EndpointChart> = OnceLock::new();
    CHART.get_or_init(|| {
        Chart::compile(include_str!("../charts/endpoint.json")).expect("embedded chart is checked")
    })
}

/// Specification of an endpoint, from the settings or its registration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EndpointSpec {
    /// The replica's name, unique in the deployment.
    pub name: String,
    /// The service it serves.
    pub service: ServiceId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The availability zone it runs in.
    pub availability_zone: String,
    /// The platform's name of the box it runs on.
    pub box_name: String,
    /// Whether the cloud can reclaim the box.
    pub reclaimable: bool,
    /// Maximum requests that this entry box has open there at once.
    pub max_open: u32,
    /// Version of the software that it runs; empty if it declares none.
    pub software: String,
}

impl EndpointSpec {
    /// Whether it describes an entry box through which requests are forwarded.
    pub fn is_neighbour(&self) -> bool {
        self.service == NEIGHBOUR_SERVICE
    }
}

/// Number of cached prompt parts of one endpoint above which expired ones are removed.
const MAX_CACHED_PARTS: usize = 4_096;

/// Duration of the suspension after the first failure; doubles with each further one.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Maximum duration of a suspension, so that an endpoint that recovered soon gets requests again.
const MAX_SUSPENSION: Duration = Duration::from_secs(5);

/// Time after a refusal of a brittle endpoint in which the box that was refused doesn't use its
/// share of the places: some are taken by requests that the boxes don't know of.
const REFUSAL_HOLD: Duration = Duration::from_secs(1);

/// Time after a refusal of a brittle endpoint until the boxes know of the requests that were open
/// there: one report to a control box, one from it, and network delay.
const REFUSAL_SETTLE_TIME: Duration = Duration::from_millis(250);

/// Maximum replaced instances that are remembered: more than a platform's list can lag behind.
const MAX_RETIRED_INSTANCES: usize = 16;

/// An endpoint as observed by this entry box.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its specification.
    pub spec: EndpointSpec,
    /// Hash of its name, the same at every box.
    pub(crate) key: u64,
    /// Its state in the chart `endpoint.json`.
    pub state: EndpointState,
    /// The platform's id of the running instance, once known.
    pub instance: Option<String>,
    /// Instances that were replaced, the latest last.
    pub retired: VecDeque<String>,
    /// When it will be gone, according to a notice.
    pub gone_at: Option<Instant>,
    /// End of its suspension after a failure; it gets no new work before.
    pub suspended_until: Option<Instant>,
    /// End of the time for which its process counts as exited, since a box found that.
    pub exited_until: Option<Instant>,
    /// End of its back-off: it asked this box to send nothing before.
    pub backoff_until: Option<Instant>,
    /// Consecutive failures, since its last response.
    pub failures: u32,
    /// Requests that this box has open there.
    pub open: u32,
    /// Outstanding tokens of this box: work that it has sent there and that has not begun.
    pub open_tokens: u64,
    /// The load from the other entry boxes, as of the last update.
    pub others_load: Load,
    /// When `others_load` was updated.
    pub others_load_at: Option<Instant>,
    /// Recent failures; each counts 1 at first and decays.
    pub recent_failures: DecayingSum,
    /// Number of responses that are arriving from there.
    pub responding: u32,
    /// When data of such a response last arrived.
    pub last_progress: Option<Instant>,
    /// When it last refused a request of this box.
    pub refused_at: Option<Instant>,
    /// Number of requests that it runs at once, if it fails when it has to refuse many.
    pub brittle_places: Option<u32>,
    /// Enforces the limit that the endpoint advertises.
    pub gate: Gate,
    /// Prompt parts that the endpoint has probably cached, and when a request last used each.
    pub cached_parts: BTreeMap<PartId, Instant>,
}

/// Open work at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Open requests.
    pub requests: u32,
    /// Outstanding tokens: work that has not begun.
    pub tokens: u64,
}

/// Identifies a part of a prompt that requests may share.
pub type PartId = u64;

/// An exponentially decaying sum of events.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    value: f64,
    /// When `value` was last updated.
    at: Option<Instant>,
}

/// Time in which the weight of an event in a [`DecayingSum`] decays by half.
const HALF_LIFE: Duration = Duration::from_secs(2);

impl DecayingSum {
    /// The sum at `now`.
    pub fn value(&self, now: Instant) -> f64 {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// The rate per second of a steady stream of events that gives this sum.
    pub fn rate(&self, now: Instant) -> f64 {
        self.value(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Adds an event of the given weight.
    pub fn add(&mut self, now: Instant, weight: f64) {
        self.value = self.value(now) + weight;
        self.at = Some(now);
    }
}

impl Endpoint {
    /// Creates an endpoint in its initial state, serving.
    pub fn new(spec: EndpointSpec) -> Self {
        let mut hasher = DefaultHasher::new();
        spec.name.hash(&mut hasher);
        let key = hasher.finish();
        Self {
            key,
            gate: Gate::new(key),
            spec,
            state: endpoint_chart().initial(),
            instance: None,
            retired: VecDeque::new(),
            gone_at: None,
            suspended_until: None,
            exited_until: None,
            backoff_until: None,
            failures: 0,
            open: 0,
            open_tokens: 0,
            others_load: Load::default(),
            others_load_at: None,
            recent_failures: DecayingSum::default(),
            responding: 0,
            last_progress: None,
            refused_at: None,
            brittle_places: None,
            cached_parts: BTreeMap::new(),
        }
    }

    /// Whether it is an entry box through which requests are forwarded.
    pub fn is_neighbour(&self) -> bool {
        self.spec.is_neighbour()
    }

    /// Whether it accepts new work at `now`.
    pub fn takes_work(&self, now: Instant) -> bool {
        let state = matches!(self.state, EndpointState::Serving | EndpointState::Suspect);
        state && self.available_from().is_none_or(|from| from <= now)
    }

    /// Whether its process counts as exited, so that nothing that runs there can go on.
    pub(crate) fn has_exited(&self, now: Instant) -> bool {
        self.exited_until.is_some_and(|until| now < until)
    }

    /// When both its suspension and its back-off are over; none if it has neither.
    pub(crate) fn available_from(&self) -> Option<Instant> {
        self.suspended_until.max(self.backoff_until)
    }

    /// Time since data of any response last arrived; none if no responses are arriving.
    pub fn time_since_progress(&self, now: Instant) -> Option<Duration> {
        let last_progress = self.last_progress.filter(|_| self.responding > 0)?;
        Some(now.saturating_duration_since(last_progress))
    }

    /// Whether this box may open one more request there.
    pub fn has_room(&self) -> bool {
        self.open < self.spec.max_open
    }

    /// Whether the sender may open one more request there, as far as refusals could make the
    /// endpoint fail.
    pub(crate) fn has_place_for(&self, now: Instant, sender: Sender) -> bool {
        if let Some(has_own_place) = self.has_own_place(now, sender) {
            return has_own_place;
        }
        let open = OpenRequests { own: self.open, others: self.others_load.requests };
        let has_place = |places| vaneway_limit::has_place(places, open, self.key, sender.number);
        self.brittle_places.is_none_or(has_place)
    }

    /// Whether the endpoint's limit, or what its refusals allow, lets the sender open one more
    /// request there.
    pub(crate) fn is_within_limit(&self, now: Instant, sender: Sender) -> bool {
        self.has_own_place(now, sender).unwrap_or_else(|| self.gate.is_open(sender))
    }

    /// Whether a brittle endpoint whose limit has just ended, or that has just refused a request, has
    /// a place that only the sender may take. None if the sender has no such places, or can't rely on
    /// them: another request may be in them of which the boxes don't know, or don't know yet.
    fn has_own_place(&self, now: Instant, sender: Sender) -> Option<bool> {
        let places = self.brittle_places?;
        let share = vaneway_limit::share(places, self.key, sender.number?);
        let is_settled = self.gate.ramping_up_for(sender.now)? >= REFUSAL_SETTLE_TIME;
        let is_full = self.open.saturating_add(self.others_load.requests) >= places;
        let applies = is_settled && !self.has_refused_recently(now) && share > 0;
        applies.then_some(self.open < share && !is_full)
    }

    /// Whether it refused a request of this box so recently that this box goes by the allowed rate.
    fn has_refused_recently(&self, now: Instant) -> bool {
        self.refused_at.is_some_and(|at| now < at + REFUSAL_HOLD)
    }

    /// Whether an instance was replaced before.
    pub fn is_retired(&self, instance: &str) -> bool {
        self.retired.iter().any(|retired| retired == instance)
    }

    /// Removes expired prompt parts if there are more than `MAX_CACHED_PARTS`.
    pub(crate) fn remove_expired_parts(&mut self, now: Instant) {
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.retain(|_, at| now < *at + CACHED_PART_MAX_AGE);
        }
    }

    /// Sets the current instance; true if it replaces another one.
    pub(crate) fn replace_instance(&mut self, instance: &str) -> bool {
        if self.instance.as_deref() == Some(instance) {
            return false;
        }
        let Some(old) = self.instance.replace(instance.to_owned()) else { return false };
        if self.retired.len() == MAX_RETIRED_INSTANCES {
            self.retired.pop_front();
        }
        self.retired.push_back(old);
        true
    }

    /// Records a failure and suspends the endpoint, for a time that doubles with each failure.
    pub(crate) fn suspend(&mut self, now: Instant) {
        let doublings = self.failures.min(MAX_SUSPENSION.as_millis().ilog2());
        let suspension = MIN_SUSPENSION.saturating_mul(1 << doublings).min(MAX_SUSPENSION);
        self.failures += 1;
        self.suspended_until = Some(now + suspension);
    }

    /// Resets the failure count and ends the suspension.
    pub(crate) fn restore(&mut self) {
        self.failures = 0;
        self.suspended_until = None;
        self.exited_until = None;
    }

    /// Resets the state that belonged to the previous instance.
    pub(crate) fn reset(&mut self) {
        self.restore();
        self.backoff_until = None;
        self.gone_at = None;
    }

    /// The state's name for logs and dumps.
    pub fn state_name(&self) -> &'static str {
        self.state.name()
    }
}

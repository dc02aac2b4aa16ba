//! One endpoint: what the settings say of it and what this box has seen of it.

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

use crate::expected::CACHED_PART_MAX_AGE;

/// Position of a service in the settings.
pub type ServiceId = u32;

/// Position of an endpoint in its pool; stays the same while the pool lives.
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

/// The chart of an endpoint's life, compiled once.
///
/// # Panics
///
/// If the embedded file does not pass its check, which a test rules out.
pub fn endpoint_chart() -> &'static EndpointChart {
    static CHART: OnceLock<EndpointChart> = OnceLock::new();
    CHART.get_or_init(|| {
        Chart::compile(include_str!("../charts/endpoint.json")).expect("embedded chart is checked")
    })
}

/// What the settings say of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EndpointSpec {
    /// The replica's name, unique in the deployment.
    pub name: String,
    /// The service it serves.
    pub service: ServiceId,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub availability_zone: String,
    /// The box it runs on, as the platform names it.
    pub box_name: String,
    /// Whether the cloud can take the box back.
    pub reclaimable: bool,
    /// Most requests this entry box has open there at once.
    pub max_open: u32,
}

/// Prompt parts remembered of one endpoint before those that no longer count are dropped.
const PARTS_MOST: usize = 4_096;

/// First suspension after a failure; doubles with each further one.
const SUSPENSION_FIRST: Duration = Duration::from_millis(200);

/// Longest suspension, so that an endpoint that recovered is found again soon.
const SUSPENSION_MOST: Duration = Duration::from_secs(5);

/// Replaced instances that are remembered: more than a platform's list can lag behind.
const RETIRED_MOST: usize = 16;

/// An endpoint with what this box has seen of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// What the settings say.
    pub spec: EndpointSpec,
    /// Hash of its name, the same at every box.
    pub(crate) key: u64,
    /// Where its chart stands.
    pub state: EndpointState,
    /// The platform's id of the running instance, once known.
    pub instance: Option<String>,
    /// Instances that were replaced, the latest last.
    pub retired: VecDeque<String>,
    /// When a notice says it will be gone.
    pub gone_at: Option<Instant>,
    /// No new work before this time.
    pub suspended_until: Option<Instant>,
    /// It wants nothing from this box before this time.
    pub backoff_until: Option<Instant>,
    /// Failures since it last answered.
    pub failures: u32,
    /// Requests this box has open there.
    pub open: u32,
    /// Tokens this box expects to be worked on there.
    pub open_tokens: u64,
    /// What the other entry boxes have open there, as last told.
    pub others_load: Load,
    /// When the others' load was told.
    pub others_load_at: Option<Instant>,
    /// Recent failures, each worth 1 at first and less with time.
    pub recent_failures: DecayingSum,
    /// Answers that arrive from there piece by piece.
    pub responding: u32,
    /// When bytes of such an answer last came.
    pub last_progress: Option<Instant>,
    /// Admits requests while the endpoint names a limit.
    pub gate: Gate,
    /// Prompt parts that requests brought there, as far as this box knows, and when last.
    pub cached_parts: BTreeMap<PartId, Instant>,
}

/// What is open at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens of work that has not begun.
    pub tokens: u64,
}

/// Names a part of a prompt that requests may share.
pub type PartId = u64;

/// A sum of events, each of which counts less with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    value: f64,
    at: Option<Instant>,
}

/// Time in which an event of a [`DecayingSum`] sum loses half of its worth.
const HALF_LIFE: Duration = Duration::from_secs(2);

impl DecayingSum {
    /// The sum at `now`.
    pub fn value(&self, now: Instant) -> f64 {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// The sum's worth a second, if it came evenly.
    pub fn rate(&self, now: Instant) -> f64 {
        self.value(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Adds an event.
    pub fn add(&mut self, now: Instant, worth: f64) {
        self.value = self.value(now) + worth;
        self.at = Some(now);
    }
}

impl Endpoint {
    /// A new endpoint that serves.
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
            backoff_until: None,
            failures: 0,
            open: 0,
            open_tokens: 0,
            others_load: Load::default(),
            others_load_at: None,
            recent_failures: DecayingSum::default(),
            responding: 0,
            last_progress: None,
            cached_parts: BTreeMap::new(),
        }
    }

    /// Whether new work may go there at `now`.
    pub fn takes_work(&self, now: Instant) -> bool {
        let state = matches!(self.state, EndpointState::Serving | EndpointState::Suspect);
        state && self.takes_work_from().is_none_or(|from| from <= now)
    }

    /// When its suspension and its rest are over, if it has either.
    pub(crate) fn takes_work_from(&self) -> Option<Instant> {
        self.suspended_until.max(self.backoff_until)
    }

    /// How long nothing has come of the answers that should be arriving; none if there are none.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let last_progress = self.last_progress.filter(|_| self.responding > 0)?;
        Some(now.saturating_duration_since(last_progress))
    }

    /// Whether there is room for one more request.
    pub fn has_room(&self) -> bool {
        self.open < self.spec.max_open
    }

    /// Whether an instance was replaced before.
    pub fn is_retired(&self, instance: &str) -> bool {
        self.retired.iter().any(|retired| retired == instance)
    }

    /// Drops the prompt parts that no longer count once there are many.
    pub(crate) fn forget_parts(&mut self, now: Instant) {
        if self.cached_parts.len() > PARTS_MOST {
            self.cached_parts.retain(|_, at| now < *at + CACHED_PART_MAX_AGE);
        }
    }

    /// Takes `instance` as the current one; true if it replaces another.
    pub(crate) fn adopt(&mut self, instance: &str) -> bool {
        if self.instance.as_deref() == Some(instance) {
            return false;
        }
        let Some(old) = self.instance.replace(instance.to_owned()) else { return false };
        if self.retired.len() == RETIRED_MOST {
            self.retired.pop_front();
        }
        self.retired.push_back(old);
        true
    }

    /// Notes a failure and withholds work for a time that doubles with each.
    pub(crate) fn suspend(&mut self, now: Instant) {
        let doublings = self.failures.min(SUSPENSION_MOST.as_millis().ilog2());
        let pause = SUSPENSION_FIRST.saturating_mul(1 << doublings).min(SUSPENSION_MOST);
        self.failures += 1;
        self.suspended_until = Some(now + pause);
    }

    /// Forgets the failures.
    pub(crate) fn restore(&mut self) {
        self.failures = 0;
        self.suspended_until = None;
    }

    /// Starts over as a new instance.
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

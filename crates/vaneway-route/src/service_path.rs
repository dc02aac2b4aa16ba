//! Whether an entry box reaches the endpoints of a service at all.
//!
//! Why: an endpoint that fails is replaced by the next one. A box whose network path to all of them
//! is lost would try one after the other, for every request, while other boxes still reach them.
//! Failures at several endpoints in a row are therefore checked: if none of the endpoints accepts a
//! connection from this box, it is cut off from the service. Only a new connection ends that state:
//! a response may still arrive over a connection that was opened before.
//!
//! The states are defined by the state chart `charts/service_path.json`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use vaneway_chart::Chart;
use vaneway_chart::chart_names;

use crate::EndpointId;
use crate::ServiceId;

/// Number of endpoints that must fail without a response from any other before the path is checked.
const SUSPECT_FAILURES: usize = 2;

/// Minimum time between two checks of a service's path.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

chart_names! {
    /// States of the chart `service_path.json`.
    pub enum PathState {
        Open = "open",
        Checking = "checking",
        CutOff = "cut_off",
    }
}

chart_names! {
    /// Events of the chart `service_path.json`.
    pub enum PathEvent {
        Suspected = "suspected",
        Connected = "connected",
        Unreachable = "unreachable",
    }
}

chart_names! {
    /// Actions of the chart `service_path.json`.
    pub enum PathAction {
        Check = "check",
        Announce = "announce",
        Restore = "restore",
    }
}

/// The compiled chart `service_path.json`.
pub type PathChart = Chart<PathState, PathEvent, PathAction>;

/// The state chart of a service's path, compiled once.
///
/// # Panics
///
/// If the embedded file is invalid, which a test rules out.
pub fn path_chart() -> &'static PathChart {
    static CHART: OnceLock<PathChart> = OnceLock::new();
    CHART.get_or_init(|| {
        Chart::compile(include_str!("../charts/service_path.json"))
            .expect("embedded chart is checked")
    })
}

/// The path from this box to the endpoints of one service.
#[derive(Debug)]
struct ServicePath {
    state: PathState,
    /// Endpoints that have failed since the last response from any of the service.
    failed: BTreeSet<EndpointId>,
    checked_at: Option<Instant>,
}

impl Default for ServicePath {
    fn default() -> Self {
        Self { state: path_chart().initial(), failed: BTreeSet::new(), checked_at: None }
    }
}

/// The paths from this box to the endpoints of all services.
#[derive(Debug, Default)]
pub struct ServicePaths {
    paths: BTreeMap<ServiceId, ServicePath>,
    /// Services whose check has not begun.
    to_check: BTreeSet<ServiceId>,
}

impl ServicePaths {
    /// Records that an attempt failed at an endpoint of `service`, which has `usable` endpoints
    /// that are neither leaving nor gone.
    pub fn record_failure(
        &mut self,
        now: Instant,
        service: ServiceId,
        endpoint: EndpointId,
        usable: usize,
    ) {
        let path = self.paths.entry(service).or_default();
        path.failed.insert(endpoint);
        if path.failed.len() >= SUSPECT_FAILURES.min(usable) {
            self.suspect(now, service);
        }
    }

    /// Records a response of any endpoint of `service`.
    pub fn record_response(&mut self, service: ServiceId) {
        if let Some(path) = self.paths.get_mut(&service) {
            path.failed.clear();
        }
    }

    /// Has the path to `service` checked, unless it was checked just before.
    pub fn suspect(&mut self, now: Instant, service: ServiceId) {
        let path = self.paths.entry(service).or_default();
        if path.checked_at.is_none_or(|at| now >= at + CHECK_INTERVAL) {
            self.step(now, service, PathEvent::Suspected);
        }
    }

    /// The next service whose path is to be checked; [`ServicePaths::record_check`] must follow.
    pub fn next_check(&mut self) -> Option<ServiceId> {
        self.to_check.pop_first()
    }

    /// Records whether any endpoint of `service` accepted a connection. Returns the action that
    /// follows from it.
    pub fn record_check(
        &mut self,
        now: Instant,
        service: ServiceId,
        connected: bool,
    ) -> Option<PathAction> {
        let event = if connected { PathEvent::Connected } else { PathEvent::Unreachable };
        self.step(now, service, event)
    }

    /// Whether this box is cut off from the endpoints of `service`.
    pub fn is_cut_off(&self, service: ServiceId) -> bool {
        self.paths.get(&service).is_some_and(|path| path.state == PathState::CutOff)
    }

    /// The services from whose endpoints this box is cut off.
    pub fn cut_off(&self) -> impl Iterator<Item = ServiceId> + '_ {
        let cut_off = self.paths.iter().filter(|(_, path)| path.state == PathState::CutOff);
        cut_off.map(|(service, _)| *service)
    }

    fn step(&mut self, now: Instant, service: ServiceId, event: PathEvent) -> Option<PathAction> {
        let path = self.paths.entry(service).or_default();
        let step = path_chart().step(path.state, event);
        path.state = step.to;
        let action = step.actions.first().copied();
        if action == Some(PathAction::Check) {
            path.checked_at = Some(now);
            self.to_check.insert(service);
        }
        if event == PathEvent::Connected {
            path.failed.clear();
        }
        action
    }
}

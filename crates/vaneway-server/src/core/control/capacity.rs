//! Orders of replicas: the inputs of each service's planner, and the calls that place its orders.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_capacity::Answer;
use vaneway_capacity::Input;
use vaneway_capacity::Kind;
use vaneway_capacity::Order;
use vaneway_capacity::Planner;
use vaneway_capacity::Zone;
use vaneway_capacity::ZoneName;
use vaneway_engine::Demand;
use vaneway_engine::EngineSize;
use vaneway_engine::Rates;
use vaneway_ledger::ReportCoverage;
use vaneway_registry::Lifecycle;

use crate::core::configuration::CapacitySpec;
use crate::core::configuration::ServiceSpec;
use crate::core::control::cloud_calls;
use crate::core::control::cloud_calls::CallResult;
use crate::core::control::entry_updates;
use crate::core::control::protocol::CloudProtocol;
use crate::core::control::rollouts;
use crate::core::control::sizing;
use crate::core::control::state::Control;
use crate::core::settings::CloudSettings;
use crate::util::clock;
use crate::util::logline::Line;

/// Maximum age of the last heartbeat of a replica that counts as running.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(5);

/// Time after the start of a control box until it has received a heartbeat of every replica.
const REGISTRY_WARM_UP: Duration = Duration::from_secs(3);

/// Time for which work must have been observed before the demand is acted on. A little longer than
/// the rates are measured over, since a new leader has not received all of the work.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(5);

/// The demand for a service, and the reports that it is based on.
#[derive(Debug, Clone, Copy)]
struct ObservedDemand {
    demand: Demand,
    coverage: ReportCoverage,
}

/// The planners of the services for which replicas may be ordered.
#[derive(Debug, Default)]
pub struct Orders {
    planners: BTreeMap<String, Planner>,
    /// When work for a service was first observed here.
    observed_since: BTreeMap<String, Instant>,
    /// The rates of work for a service when all entry boxes last reported.
    rates: BTreeMap<String, Rates>,
}

impl Orders {
    /// Places the orders that are due.
    pub async fn place_due<C: CloudProtocol>(
        &mut self,
        control: &Control,
        cloud: &CloudSettings,
        protocol: &C,
    ) {
        let Some(current) = control.machine.borrow().current_configuration().cloned() else {
            return;
        };
        if clock::elapsed(control.started) < REGISTRY_WARM_UP {
            return;
        }
        let configuration = &current.configuration;
        for service in &configuration.services {
            let Some(spec) = &service.capacity else { continue };
            let (input, observed) = self.input(control, service, spec);
            let planner = self.planner(control, service);
            record_lower_bound(planner, observed);
            planner.observe_callers(sizing::callers(control, &service.name));
            for order in planner.plan(clock::now(), &input) {
                if !cloud_calls::holds_duty(control) {
                    return;
                }
                let answer = place(control, cloud, protocol, &service.name, &order).await;
                let line = Line::new("capacity_order")
                    .with("service", &service.name)
                    .with("availability_zone", &order.zone)
                    .with("kind", format!("{:?}", order.kind))
                    .with("count", order.count)
                    .with("limited", format!("{:.2}", input.lost_to_limits))
                    .with("answer", format!("{answer:?}"));
                let line = sizing::with_decision(line, planner.decision());
                with_demand(line, observed, control).info();
                planner.record_answer(clock::now(), &order, answer);
            }
        }
    }

    /// Updates the planners with the load and the replicas while another box places the orders.
    ///
    /// The failure that led to an election may also have taken down replicas. A new leader must not
    /// mistake the remaining replicas for what the load needs: until it knows the demand, it would
    /// order only a third of what is needed, for five seconds in which hardly any request is
    /// answered in time.
    pub fn observe(&mut self, control: &Control) {
        let Some(current) = control.machine.borrow().current_configuration().cloned() else {
            return;
        };
        if clock::elapsed(control.started) < REGISTRY_WARM_UP {
            return;
        }
        for service in &current.configuration.services {
            let Some(spec) = &service.capacity else { continue };
            let (input, observed) = self.input(control, service, spec);
            let planner = self.planner(control, service);
            record_lower_bound(planner, observed);
            planner.observe_callers(sizing::callers(control, &service.name));
            planner.observe(clock::now(), &input);
        }
    }

    fn planner(&mut self, control: &Control, service: &ServiceSpec) -> &mut Planner {
        let planner = self.planners.entry(service.name.clone());
        planner.or_insert_with(|| Planner::new(control.settings.capacity))
    }

    /// The input of a service's planner, and the demand that was observed. The input contains the
    /// demand only if all of it was observed.
    fn input(
        &mut self,
        control: &Control,
        service: &ServiceSpec,
        spec: &CapacitySpec,
    ) -> (Input, Option<ObservedDemand>) {
        let mut input = input(control, &service.name, spec);
        let observed = self.demand(control, service, input.running.values().sum());
        let replicas = observed.map(|observed| observed.demand.replicas());
        input.demand =
            replicas.filter(|_| observed.is_some_and(|observed| observed.coverage.is_complete()));
        if let Some(demand) = replicas.filter(|demand| *demand > 0.0) {
            let runs = self.rates.get(&service.name).map_or(0.0, |rates| rates.runs);
            input.lost_to_limits = replicas_lost_to_limits(control, &service.name, runs / demand);
        }
        (input, observed)
    }

    /// The demand for a service; none while too little of its engines has been observed, or not for
    /// long enough, or while no entry box reports.
    fn demand(
        &mut self,
        control: &Control,
        service: &ServiceSpec,
        running: u32,
    ) -> Option<ObservedDemand> {
        let engine = service.engine.as_ref()?;
        let ledger = control.usage_ledger.borrow();
        let reported = ledger.rates(control.now(), &service.name);
        if reported.runs > 0.0 {
            self.observed_since.entry(service.name.clone()).or_insert_with(clock::now);
        }
        let since = *self.observed_since.get(&service.name)?;
        let speeds = ledger.speeds(&service.name);
        if !speeds.are_reliable() {
            return None;
        }
        let size = EngineSize { batch_slots: engine.slots, memory_tokens: engine.memory_tokens };
        let coverage = ledger.work_coverage(control.now(), entry_updates::sharers(control).known);
        let ReportCoverage { reporting, known, .. } = coverage;
        let last = self.rates.get(&service.name).copied();
        let rates = reported.extrapolate(reporting, known, last)?;
        if reporting >= known {
            self.rates.insert(service.name.clone(), reported);
        }
        let settled = clock::elapsed(since) >= MIN_OBSERVATION_TIME;
        settled.then(|| ObservedDemand { demand: speeds.demand(rates, size, running), coverage })
    }
}

/// Passes a demand that was only partly observed to the planner, as a lower bound: it may order
/// more replicas because of it, but not fewer.
fn record_lower_bound(planner: &mut Planner, observed: Option<ObservedDemand>) {
    if let Some(ObservedDemand { demand, .. }) =
        observed.filter(|observed| !observed.coverage.is_complete())
    {
        planner.observe_min_demand(clock::now(), demand.replicas());
    }
}

/// Adds the demand in replicas, the resources that determine it, and the reports that it is based
/// on.
fn with_demand(line: Line, observed: Option<ObservedDemand>, control: &Control) -> Line {
    let Some(ObservedDemand { demand, coverage }) = observed else {
        let known = entry_updates::sharers(control).known;
        let coverage = control.usage_ledger.borrow().work_coverage(control.now(), known);
        return with_coverage(line.with("demand", "unknown"), coverage);
    };
    let replicas = |count: f64| format!("{count:.2}");
    with_coverage(line, coverage)
        .with("demand", replicas(demand.replicas()))
        .with("binding", demand.binding())
        .with("reading", replicas(demand.prefill))
        .with("generating", replicas(demand.generating))
        .with("memory", replicas(demand.memory))
}

/// Adds the reports that a decision is based on.
fn with_coverage(line: Line, coverage: ReportCoverage) -> Line {
    line.with("heard", coverage.reporting)
        .with("throughout", coverage.reporting_throughout)
        .with("known", coverage.known)
        .with("news_ms_old", coverage.oldest_age.as_millis())
}

/// What is running of a service and what may be ordered; the demand is added later.
fn input(control: &Control, service: &str, spec: &CapacitySpec) -> Input {
    let now = clock::now();
    let mut running = BTreeMap::<(ZoneName, Kind), u32>::new();
    let mut leaving = BTreeMap::<ZoneName, u32>::new();
    for (_, record) in control.registry.borrow().iter() {
        let Some(details) = record.details.as_ref().filter(|d| d.service == service) else {
            continue;
        };
        // A version that is brought in is no surplus, and the end of the one before no reclaim.
        if !rollouts::carries_load(control, details) {
            continue;
        }
        let is_alive = now.saturating_duration_since(record.last_report_at) < MAX_HEARTBEAT_AGE;
        let kind = if details.reclaimable { Kind::Reclaimable } else { Kind::OnDemand };
        let zone = details.availability_zone.clone();
        if record.lifecycle == Lifecycle::Ready && is_alive {
            *running.entry((zone, kind)).or_default() += 1;
        } else if kind == Kind::Reclaimable && record.lifecycle == Lifecycle::Draining && is_alive {
            *leaving.entry(zone).or_default() += 1;
        }
    }
    let zones = spec.prices.iter();
    Input {
        demand: None,
        zones: zones.map(|(name, price)| Zone { name: name.clone(), price: *price }).collect(),
        min_per_zone: spec.least,
        max_per_zone: spec.most,
        startup_time: spec.start_takes,
        running,
        leaving,
        lost_to_limits: 0.0,
    }
}

/// Capacity of a service's replicas that is lost to the rate limits that they advertise, in
/// replicas. A fully used replica would serve `full_rate` requests per second.
fn replicas_lost_to_limits(control: &Control, service: &str, full_rate: f64) -> f64 {
    if full_rate <= 0.0 {
        return 0.0;
    }
    let limits = control.limits.borrow();
    let registry = control.registry.borrow();
    let lost = registry.iter().filter_map(|(instance, record)| {
        let limit = limits
            .get(instance)
            .filter(|limit| limit.matches_incarnation(record.born) && !limit.lifted)?;
        let serves = record.details.as_ref().is_some_and(|details| details.service == service);
        let served = (limit.rate.per_second() / full_rate).min(1.0);
        (serves && record.lifecycle == Lifecycle::Ready).then_some(1.0 - served)
    });
    lost.sum()
}

async fn place<C: CloudProtocol>(
    control: &Control,
    cloud: &CloudSettings,
    protocol: &C,
    service: &str,
    order: &Order,
) -> Answer {
    let req = protocol.capacity_order(&control.holder(), service, order);
    match cloud_calls::call(control, cloud, req).await {
        CallResult::Answered(status) => protocol.order_answer(status),
        CallResult::Unknown => Answer::Unknown,
    }
}

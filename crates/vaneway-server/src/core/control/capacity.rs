//! Orders of replicas: what the planners of the services go by, and the calls that carry out what
//! they decide.

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
use vaneway_registry::Standing;

use crate::core::configuration::CapacitySpec;
use crate::core::configuration::Configuration;
use crate::core::configuration::OrganisationSpec;
use crate::core::configuration::QuotaUnit;
use crate::core::control::duties;
use crate::core::control::duties::CallEnd;
use crate::core::control::protocol::CloudProtocol;
use crate::core::control::state::Control;
use crate::core::settings::CloudSettings;
use crate::util::logline::Line;

/// Tokens of prompts that an engine reads in a second, between the tokens of other requests. The
/// users' sheets give 32.4 a millisecond for the engine alone.
const ENGINE_TOKENS_A_SECOND: f64 = 29_000.0;

/// Part of what quotas allow that is taken for the demand before any was measured: organisations
/// rarely use all, and engines keep much of the prompts.
const QUOTA_DEMAND: f64 = 0.25;

/// Silence after which a replica no longer counts as running.
const HEARD_WITHIN: Duration = Duration::from_secs(5);

/// Time after the start of a control box before it knows all replicas by their heartbeats.
const KNOWS_AFTER: Duration = Duration::from_secs(3);

/// Time after the first work before the demand that was measured stands alone.
const MEASURED_AFTER: Duration = Duration::from_secs(4);

/// The planners of the services for which replicas may be ordered.
#[derive(Debug, Default)]
pub struct Orders {
    planners: BTreeMap<String, Planner>,
    /// When the first demand was measured.
    demand_since: Option<Instant>,
}

impl Orders {
    /// Gives the orders that are due.
    pub async fn give<C: CloudProtocol>(
        &mut self,
        control: &Control,
        cloud: &CloudSettings,
        protocol: &C,
    ) {
        let Some(held) = control.machine.borrow().held().cloned() else { return };
        if control.started.elapsed() < KNOWS_AFTER {
            return;
        }
        let configuration = &held.configuration;
        for service in &configuration.services {
            let Some(spec) = &service.capacity else { continue };
            let demand = self.demand(control, configuration, &service.name);
            let input = input(control, &service.name, spec, demand);
            let planner = self.planners.entry(service.name.clone());
            let planner = planner.or_insert_with(|| Planner::new(control.settings.capacity));
            for order in planner.plan(Instant::now(), &input) {
                if !duties::holds_duty(control) {
                    return;
                }
                let answer = place(control, cloud, protocol, &service.name, &order).await;
                Line::new("capacity_order")
                    .with("service", &service.name)
                    .with("availability_zone", &order.zone)
                    .with("kind", format!("{:?}", order.kind))
                    .with("count", order.count)
                    .with("demand", format!("{:.2}", input.demand.unwrap_or_default()))
                    .with("answer", format!("{answer:?}"))
                    .info();
                planner.answered(Instant::now(), &order, answer);
            }
        }
    }

    /// The demand for a service in replicas: measured, or by the quotas before there is any.
    fn demand(
        &mut self,
        control: &Control,
        configuration: &Configuration,
        service: &str,
    ) -> Option<f64> {
        let now = control.now();
        let tokens = control.use_ledger.borrow().demand(now, service);
        if tokens > 0.0 {
            self.demand_since.get_or_insert_with(Instant::now);
        }
        let measured = self.demand_since.is_some_and(|since| since.elapsed() > MEASURED_AFTER);
        let tokens = if measured {
            tokens
        } else {
            tokens.max(quota_tokens(&configuration.organisations)? * QUOTA_DEMAND)
        };
        Some(tokens / ENGINE_TOKENS_A_SECOND)
    }
}

/// Tokens a second that all organisations may use; none if one has no limit in tokens.
fn quota_tokens(organisations: &[OrganisationSpec]) -> Option<f64> {
    let rates = organisations.iter().map(|organisation| match organisation.unit {
        QuotaUnit::Tokens { .. } => organisation.rate,
        QuotaUnit::Requests => None,
    });
    let rates: Option<Vec<f64>> = rates.collect();
    rates.filter(|rates| !rates.is_empty()).map(|rates| rates.iter().sum())
}

fn input(control: &Control, service: &str, spec: &CapacitySpec, demand: Option<f64>) -> Input {
    let now = Instant::now();
    let mut running = BTreeMap::<(ZoneName, Kind), u32>::new();
    let mut leaving = BTreeMap::<ZoneName, u32>::new();
    for (_, known) in control.registry.borrow().iter() {
        let Some(details) = known.details.as_ref().filter(|d| d.service == service) else {
            continue;
        };
        let heard = now.saturating_duration_since(known.heard) < HEARD_WITHIN;
        let kind = if details.reclaimable { Kind::Reclaimable } else { Kind::OnDemand };
        let zone = details.availability_zone.clone();
        if known.standing == Standing::Ready && heard {
            *running.entry((zone, kind)).or_default() += 1;
        } else if kind == Kind::Reclaimable && known.standing == Standing::Draining && heard {
            *leaving.entry(zone).or_default() += 1;
        }
    }
    let zones = spec.prices.iter();
    Input {
        demand,
        zones: zones.map(|(name, price)| Zone { name: name.clone(), price: *price }).collect(),
        least: spec.least,
        most: spec.most,
        start_takes: spec.start_takes,
        running,
        leaving,
    }
}

async fn place<C: CloudProtocol>(
    control: &Control,
    cloud: &CloudSettings,
    protocol: &C,
    service: &str,
    order: &Order,
) -> Answer {
    let req = protocol.capacity_order(&control.holder(), service, order);
    match duties::call(control, cloud, req).await {
        CallEnd::Answered(status) => protocol.order_answer(status),
        CallEnd::Unknown => Answer::Unknown,
    }
}

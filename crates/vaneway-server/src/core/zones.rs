//! Choices of endpoints with regard to availability zones, as operators see them.
//!
//! `vaneway_route` decides whether a request leaves the availability zone. This module sets it up
//! from the settings, counts the choices by service and pair of zones, and logs why requests leave.

use vaneway_relay::Event;
use vaneway_route::EndpointId;
use vaneway_route::Pool;
use vaneway_route::Query;
use vaneway_route::ZoneDecision;
use vaneway_route::ZoneReason;

use crate::core::entry::Entry;
use crate::core::settings::Settings;
use crate::util::logline::Line;

/// Label of an availability zone that the settings don't list, so that labels are bounded.
const OTHER_ZONE: &str = "other";

/// Creates the pool of the endpoints in the settings.
pub fn pool(settings: &Settings, seed: u64) -> Pool {
    let routing = &settings.routing;
    let mut pool = Pool::new(settings.replicas.clone(), routing.policy, seed);
    if let Some(leaving) = &routing.leaving_zone {
        pool.set_leaving_zone(leaving.clone());
    }
    pool
}

impl Entry {
    /// Chooses an endpoint for a request like [`Entry::choose`]; counts its zone, and logs why it
    /// leaves its own.
    pub fn choose_for(&self, request: &str, service: &str, query: Query<'_>) -> Event {
        let event = self.choose(query);
        if let Event::Chosen { endpoint } = event {
            let to = self.count_zone(service, endpoint);
            let decision = self.pool.borrow().zone_decision();
            if let Some(decision) = decision.filter(|last| last.reason != ZoneReason::Home) {
                log_leaving(request, service, &to, &decision);
            }
        }
        event
    }

    /// Counts a choice, and returns the endpoint's zone.
    fn count_zone(&self, service: &str, endpoint: EndpointId) -> String {
        let pool = self.pool.borrow();
        let zone = &pool.get(endpoint).spec.availability_zone;
        let is_listed = self.settings.availability_zones.contains(zone);
        let label = if is_listed { zone.as_str() } else { OTHER_ZONE };
        let labels = [service, &self.settings.availability_zone, label];
        self.metrics.zones.with_label_values(&labels).inc();
        zone.clone()
    }
}

fn log_leaving(request: &str, service: &str, to: &str, decision: &ZoneDecision) {
    let ms = |seconds: f64| format!("{:.1}", seconds * 1_000.0);
    let line = Line::new("zone_left")
        .with("request", request)
        .with("service", service)
        .with("to", to)
        .with("reason", decision.reason.name())
        .with("home_wait_ms", decision.home_wait_s.map(ms).unwrap_or_default())
        .with("wait_ms", ms(decision.wait_s))
        .with("cost_ms", ms(decision.cost_s))
        .with("leaving_share", format!("{:.2}", decision.leaving_share))
        .with("loads_age_ms", decision.loads_age.map_or(-1, |age| age.as_millis() as i64));
    // Parts of prompts lie anywhere, also while no zone lacks endpoints.
    match decision.reason {
        ZoneReason::Parts => line.debug(),
        _ => line.info(),
    }
}

//! Detects unresponsive endpoints from the responses that should be arriving from them.
//!
//! Why: a box that has lost power or its network connection sends nothing, so requests sent there
//! hang until their deadline. Event streams are a free probe: if some are in progress and none of
//! them makes progress, something is wrong. A network partition affects a whole availability zone,
//! so the observations of some endpoints of a zone are applied to those without streams.
//!
//! If all endpoints appear unresponsive, it may be this box that was paused. Unresponsive endpoints
//! are therefore only ranked below others and never excluded.

use std::time::Duration;
use std::time::Instant;

use crate::Endpoint;

/// Time without data in any of an endpoint's responses after which it counts as unresponsive:
/// engines under load send a chunk of some response every few tens of milliseconds.
pub const UNRESPONSIVE_THRESHOLD: Duration = Duration::from_millis(400);

/// State of one availability zone in which responses are in progress.
#[derive(Debug)]
struct Zone<'a> {
    name: &'a str,
    /// Whether data of some response from the zone arrived recently.
    is_responsive: bool,
}

/// State of the availability zones in which responses are in progress; other zones are omitted.
#[derive(Debug)]
pub(crate) struct UnresponsiveZones<'a>(Vec<Zone<'a>>);

/// Whether all responses from an endpoint have stopped; none if no responses are in progress.
fn is_unresponsive(endpoint: &Endpoint, now: Instant) -> Option<bool> {
    endpoint.time_since_progress(now).map(|time| time >= UNRESPONSIVE_THRESHOLD)
}

impl<'a> UnresponsiveZones<'a> {
    /// Determines the state of each zone at `now`.
    pub(crate) fn of(endpoints: &'a [Endpoint], now: Instant) -> Self {
        let mut zones: Vec<Zone<'a>> = Vec::new();
        for endpoint in endpoints.iter().filter(|endpoint| !endpoint.is_neighbour()) {
            let Some(is_unresponsive) = is_unresponsive(endpoint, now) else { continue };
            let name = endpoint.spec.availability_zone.as_str();
            match zones.iter_mut().find(|zone| zone.name == name) {
                Some(zone) => zone.is_responsive |= !is_unresponsive,
                None => zones.push(Zone { name, is_responsive: !is_unresponsive }),
            }
        }
        Self(zones)
    }

    /// Whether an endpoint counts as unresponsive, by its own responses or else by its zone.
    pub(crate) fn covers(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let of_zone = || {
            let zone = self.0.iter().find(|zone| zone.name == endpoint.spec.availability_zone);
            zone.is_some_and(|zone| !zone.is_responsive)
        };
        is_unresponsive(endpoint, now).unwrap_or_else(of_zone)
    }
}

//! Endpoints that seem to be out of reach, by the answers that should be arriving from them.
//!
//! Why: a box without power or behind a cut says nothing, so that requests sent there hang until
//! their deadline. Streams of events are a free probe: where some are under way and none of them
//! moves, something is wrong. A cut takes a whole availability zone, so what is seen of some
//! endpoints of a zone is taken to hold for those of which nothing can be seen.
//!
//! Where everything is silent, it may well be this box that stood still. Silence therefore only
//! makes endpoints worth less than others and never excludes them.

use std::time::Duration;
use std::time::Instant;

use crate::Endpoint;

/// Pause in all of an endpoint's answers after which it counts as silent: engines under load make a
/// piece of some answer every few ten milliseconds.
pub const UNRESPONSIVE_THRESHOLD: Duration = Duration::from_millis(400);

/// What is seen of the endpoints of one availability zone.
#[derive(Debug)]
struct Zone<'a> {
    name: &'a str,
    /// Whether some answer of the zone moves.
    heard: bool,
}

/// What is seen of the availability zones from which answers should be arriving.
#[derive(Debug)]
pub(crate) struct SilentZones<'a>(Vec<Zone<'a>>);

/// Whether all answers of an endpoint have stopped; none if there are none.
fn is_unresponsive(endpoint: &Endpoint, now: Instant) -> Option<bool> {
    endpoint.silence(now).map(|silence| silence >= UNRESPONSIVE_THRESHOLD)
}

impl<'a> SilentZones<'a> {
    /// What is seen at `now`.
    pub(crate) fn of(endpoints: &'a [Endpoint], now: Instant) -> Self {
        let mut zones: Vec<Zone<'a>> = Vec::new();
        for endpoint in endpoints {
            let Some(silent) = is_unresponsive(endpoint, now) else { continue };
            let name = endpoint.spec.availability_zone.as_str();
            match zones.iter_mut().find(|zone| zone.name == name) {
                Some(zone) => zone.heard |= !silent,
                None => zones.push(Zone { name, heard: !silent }),
            }
        }
        Self(zones)
    }

    /// Whether an endpoint counts as silent.
    pub(crate) fn covers(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let of_zone = || {
            let zone = self.0.iter().find(|zone| zone.name == endpoint.spec.availability_zone);
            zone.is_some_and(|zone| !zone.heard)
        };
        is_unresponsive(endpoint, now).unwrap_or_else(of_zone)
    }
}

//! Prompt parts cached at endpoints, which a control box forwards between entry boxes, without I/O.
//!
//! Each of hundreds of entry boxes sends to any one endpoint only seldom. From its own requests it
//! would know hardly any of the prompt parts that are cached there, so it would send requests to
//! endpoints that have to process their prompts again, and would overestimate the work outstanding
//! at endpoints.
//!
//! Data flow: an entry box reports the parts that its requests brought to endpoints
//! ([`PartLedger::record`]), unless it knows that they were reported already. New ones are sent to
//! all entry boxes once ([`PartLedger::take_updates`]).

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_registry::InstanceId;
use vaneway_route::CACHED_PART_MAX_AGE;
use vaneway_route::PartId;

/// Prompt parts by the endpoint that caches them.
pub type CachedParts = Vec<(InstanceId, Vec<PartId>)>;

/// Age up to which a repeated report of a part is not forwarded: it is from an entry box that had
/// not received the first one yet.
const REPEATED_REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Most parts that are queued for forwarding; any beyond it are known only to the boxes that
/// reported them.
const MAX_QUEUED_UPDATES: usize = 16_384;

/// The prompt parts that are known to be cached.
#[derive(Debug, Default)]
pub struct PartLedger {
    /// When a part was last reported to be at an endpoint.
    reported_at: BTreeMap<InstanceId, BTreeMap<PartId, Instant>>,
    updates: Vec<(InstanceId, PartId)>,
}

impl PartLedger {
    /// Records parts that requests brought to endpoints.
    pub fn record(&mut self, now: Instant, parts: &[(InstanceId, Vec<PartId>)]) {
        for (instance, parts) in parts {
            let reported_at = self.reported_at.entry(instance.clone()).or_default();
            for part in parts {
                let before = reported_at.insert(*part, now);
                let is_update = before.is_none_or(|at| now >= at + REPEATED_REPORT_MAX_AGE);
                if is_update && self.updates.len() < MAX_QUEUED_UPDATES {
                    self.updates.push((instance.clone(), *part));
                }
            }
        }
    }

    /// Returns the parts to forward that were recorded since the last call.
    pub fn take_updates(&mut self) -> CachedParts {
        let mut updates = BTreeMap::<InstanceId, Vec<PartId>>::new();
        for (instance, part) in self.updates.drain(..) {
            updates.entry(instance).or_default().push(part);
        }
        updates.into_iter().collect()
    }

    /// Removes all parts of an endpoint, which has restarted.
    pub fn remove_endpoint(&mut self, instance: &InstanceId) {
        self.reported_at.remove(instance);
        self.updates.retain(|(at, _)| at != instance);
    }

    /// Removes the parts that were last reported [`CACHED_PART_MAX_AGE`] or longer ago.
    pub fn expire(&mut self, now: Instant) {
        for parts in self.reported_at.values_mut() {
            parts.retain(|_, at| now < *at + CACHED_PART_MAX_AGE);
        }
        self.reported_at.retain(|_, parts| !parts.is_empty());
    }

    /// All known parts, for an entry box that has just subscribed.
    pub fn all(&self) -> CachedParts {
        let all = self.reported_at.iter();
        all.map(|(instance, parts)| (instance.clone(), parts.keys().copied().collect())).collect()
    }
}

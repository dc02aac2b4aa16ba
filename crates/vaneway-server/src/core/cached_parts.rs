//! Prompt parts that entry boxes brought to endpoints, as a control box passes it on, without I/O.
//!
//! Why: of hundreds of entry boxes each sees an endpoint seldom. By itself it knows hardly any of the parts
//! that are kept there, sends requests to where their prompts have to be read again, and takes the work
//! given to endpoints for more than it is.
//!
//! Data flow: an entry box tells which parts it brought where ([`PartLedger::record`]), unless it knows
//! that they are told already. What is news goes to all entry boxes once ([`PartLedger::take_updates`]).

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_registry::InstanceId;
use vaneway_route::CACHED_PART_MAX_AGE;
use vaneway_route::PartId;

/// Prompt parts by the endpoint that keeps them.
pub type CachedParts = Vec<(InstanceId, Vec<PartId>)>;

/// Age up to which a part that is told again is no news: entry boxes that had not heard of it yet.
const TOLD_LATELY: Duration = Duration::from_secs(1);

/// Parts that wait to be passed on; beyond it they are known to those that brought them.
const NEWS_MOST: usize = 16_384;

/// What is known of kept parts.
#[derive(Debug, Default)]
pub struct PartLedger {
    /// When a part was last told to be at an endpoint.
    known: BTreeMap<InstanceId, BTreeMap<PartId, Instant>>,
    news: Vec<(InstanceId, PartId)>,
}

impl PartLedger {
    /// Learns of parts that were brought to endpoints.
    pub fn record(&mut self, now: Instant, parts: &[(InstanceId, Vec<PartId>)]) {
        for (instance, parts) in parts {
            let known = self.known.entry(instance.clone()).or_default();
            for part in parts {
                let before = known.insert(*part, now);
                let is_news = before.is_none_or(|at| now >= at + TOLD_LATELY);
                if is_news && self.news.len() < NEWS_MOST {
                    self.news.push((instance.clone(), *part));
                }
            }
        }
    }

    /// What was learned since this was last asked.
    pub fn take_updates(&mut self) -> CachedParts {
        let mut news = BTreeMap::<InstanceId, Vec<PartId>>::new();
        for (instance, part) in self.news.drain(..) {
            news.entry(instance).or_default().push(part);
        }
        news.into_iter().collect()
    }

    /// Forgets all that was at an endpoint, which has started anew.
    pub fn remove_endpoint(&mut self, instance: &InstanceId) {
        self.known.remove(instance);
        self.news.retain(|(at, _)| at != instance);
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Instant) {
        for parts in self.known.values_mut() {
            parts.retain(|_, at| now < *at + CACHED_PART_MAX_AGE);
        }
        self.known.retain(|_, parts| !parts.is_empty());
    }

    /// All that is known, for an entry box that knows nothing.
    pub fn all(&self) -> CachedParts {
        let all = self.known.iter();
        all.map(|(instance, parts)| (instance.clone(), parts.keys().copied().collect())).collect()
    }
}

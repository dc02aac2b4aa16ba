//! What an entry box tells of its work at registered endpoints, and what it learns of all boxes' work there.

use std::collections::BTreeMap;

use vaneway_registry::InstanceId;
use vaneway_route::Load;
use vaneway_route::PartId;

use crate::core::cached_parts::CachedParts;
use crate::core::entry::Entry;
use crate::core::loads::Loads;
use crate::util::clock;

/// What this box has open at each registered endpoint that has anything.
pub fn open_loads(entry: &Entry) -> Loads {
    let pool = entry.pool.borrow();
    let registered = entry.registered.borrow();
    let loads = registered.iter().map(|(instance, endpoint)| {
        let endpoint = pool.get(*endpoint);
        let load = Load { requests: endpoint.open, tokens: endpoint.open_tokens };
        (instance.clone(), load)
    });
    loads.filter(|(_, load)| *load != Load::default()).collect()
}

/// Learns what all entry boxes have open at some endpoints, or at all if `whole`; `own` is what this
/// box told of its part.
pub fn learn_loads(
    entry: &Entry,
    whole: bool,
    loads: &[(InstanceId, Load)],
    own: &BTreeMap<InstanceId, Load>,
) {
    let now = clock::now();
    let mut pool = entry.pool.borrow_mut();
    let registered = entry.registered.borrow();
    if whole {
        for endpoint in registered.values() {
            pool.set_others_load(now, *endpoint, Load::default());
        }
    }
    for (instance, load) in loads {
        let Some(endpoint) = registered.get(instance) else { continue };
        let own = own.get(instance).copied().unwrap_or_default();
        // What this box told last may not be in the sum yet.
        let others = Load {
            requests: load.requests.saturating_sub(own.requests),
            tokens: load.tokens.saturating_sub(own.tokens),
        };
        pool.set_others_load(now, *endpoint, others);
    }
}

/// Prompt parts that requests of this box brought to registered endpoints, where that is news.
pub fn take_brought(entry: &Entry) -> CachedParts {
    let mut pool = entry.pool.borrow_mut();
    let mut parts = BTreeMap::<InstanceId, Vec<PartId>>::new();
    for (endpoint, part) in pool.take_new_parts() {
        // An endpoint from the registry is named by its instance.
        let instance = &pool.get(endpoint).spec.name;
        if entry.registered.borrow().contains_key(instance) {
            parts.entry(instance.clone()).or_default().push(part);
        }
    }
    parts.into_iter().collect()
}

/// Learns which prompt parts requests of any box brought to endpoints.
pub fn learn_parts(entry: &Entry, parts: &[(InstanceId, Vec<PartId>)]) {
    let now = clock::now();
    let mut pool = entry.pool.borrow_mut();
    let registered = entry.registered.borrow();
    for (instance, parts) in parts {
        if let Some(endpoint) = registered.get(instance) {
            pool.record_cached_parts(now, *endpoint, parts);
        }
    }
}

//! Reports of this entry box's load at registered endpoints, and updates of all boxes' load there.

use std::collections::BTreeMap;

use vaneway_ledger::Loads;
use vaneway_registry::InstanceId;
use vaneway_route::Load;
use vaneway_route::PartId;

use crate::core::cached_parts::CachedParts;
use crate::core::entry::Entry;
use crate::util::clock;

/// This box's load at each registered endpoint where it has any.
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

/// Applies the load of all entry boxes at some endpoints, or at all of them if `is_full`; `own` is
/// this box's load as last reported.
pub fn apply_loads(
    entry: &Entry,
    is_full: bool,
    loads: &[(InstanceId, Load)],
    own: &BTreeMap<InstanceId, Load>,
) {
    let now = clock::now();
    let mut pool = entry.pool.borrow_mut();
    let registered = entry.registered.borrow();
    if is_full {
        for endpoint in registered.values() {
            pool.set_others_load(now, *endpoint, Load::default());
        }
    }
    for (instance, load) in loads {
        let Some(endpoint) = registered.get(instance) else { continue };
        let own = own.get(instance).copied().unwrap_or_default();
        // The sum may not yet contain what this box reported last.
        let others = Load {
            requests: load.requests.saturating_sub(own.requests),
            tokens: load.tokens.saturating_sub(own.tokens),
        };
        pool.set_others_load(now, *endpoint, others);
    }
}

/// Returns the prompt parts that this box's requests brought to registered endpoints, as far as not
/// reported yet.
pub fn take_new_parts(entry: &Entry) -> CachedParts {
    let mut pool = entry.pool.borrow_mut();
    let mut parts = BTreeMap::<InstanceId, Vec<PartId>>::new();
    for (endpoint, part) in pool.take_new_parts() {
        // The spec of an endpoint from the registry has the instance's id as its name.
        let instance = &pool.get(endpoint).spec.name;
        if entry.registered.borrow().contains_key(instance) {
            parts.entry(instance.clone()).or_default().push(part);
        }
    }
    parts.into_iter().collect()
}

/// Applies the prompt parts that requests of any box brought to endpoints.
pub fn apply_parts(entry: &Entry, parts: &[(InstanceId, Vec<PartId>)]) {
    let now = clock::now();
    let mut pool = entry.pool.borrow_mut();
    let registered = entry.registered.borrow();
    for (instance, parts) in parts {
        if let Some(endpoint) = registered.get(instance) {
            pool.record_cached_parts(now, *endpoint, parts);
        }
    }
}

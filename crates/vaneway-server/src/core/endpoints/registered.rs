//! Applies the registrations of endpoints to the pool of this entry box.
//!
//! Reports arrive from any control box, in any order; the registry determines which of them change
//! anything. A new endpoint is added to the pool. One that is draining or gone gets no new work;
//! requests that run there continue until their connection breaks, because endpoints that leave
//! finish their open requests.

use std::rc::Rc;
use std::time::Duration;

use vaneway_origins::Origin;
use vaneway_registry::Change;
use vaneway_registry::Details;
use vaneway_registry::EndpointRecord;
use vaneway_registry::InstanceId;
use vaneway_registry::Lifecycle;
use vaneway_registry::Report;
use vaneway_route::EndpointId;
use vaneway_route::EndpointSpec;
use vaneway_route::EndpointState;

use crate::core::entry::Entry;
use crate::core::limits;
use crate::core::rollouts;
use crate::util::clock;
use crate::util::logline::Line;

/// Time that an endpoint has to finish its open requests if it leaves without stating a deadline.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(2);

/// Back-off of an endpoint from the settings after it announced that it is leaving: longer than
/// most take to restart.
const RESTART_BACKOFF: Duration = Duration::from_secs(10);

/// Maximum requests queued at an endpoint for each of its slots; no more are sent there.
const MAX_QUEUED_PER_SLOT: u32 = 2;

/// Time after its start during which an entry box may not know all endpoints yet.
const STARTUP_TIME: Duration = Duration::from_secs(10);

/// Applies reports from a control box.
pub fn apply(entry: &Entry, reports: &[Report]) {
    let now = clock::now();
    for report in reports {
        let born_before = entry.registry.borrow().born(&report.instance);
        let change = entry.registry.borrow_mut().merge(now, report);
        if change != Change::Updated {
            continue;
        }
        let known = entry.registry.borrow().get(&report.instance).cloned();
        if let Some(known) = known {
            if known.born > born_before && born_before > 0
                || runs_other_software(entry, &report.instance, &known)
            {
                abandon(entry, &report.instance, &known);
            }
            apply_update(entry, &report.instance, &known);
        }
    }
}

/// Whether an endpoint runs another software version than it did when it was added to the pool: it
/// has restarted, also if it states no start time.
fn runs_other_software(entry: &Entry, instance: &InstanceId, known: &EndpointRecord) -> bool {
    let (Some(endpoint), Some(details)) =
        (entry.registered.borrow().get(instance).copied(), &known.details)
    else {
        return false;
    };
    entry.pool.borrow().get(endpoint).spec.software != details.software
}

/// Removes an endpoint whose process has restarted: its running requests and its cache are lost.
/// The new incarnation is added to the pool as another endpoint.
fn abandon(entry: &Entry, instance: &InstanceId, known: &EndpointRecord) {
    let Some(endpoint) = entry.registered.borrow_mut().remove(instance) else { return };
    doubt_streams(entry, endpoint, known);
    Line::new("endpoint_reborn").with("replica", instance).info();
    entry.update_pool(|pool, now, out| {
        pool.notice(now, endpoint, now, out);
        pool.expire(now, out);
    });
}

/// Records that streams which seemed to begin at the previous incarnation of an endpoint may have
/// begun at the `known` one, which runs other software and had started before it registered.
fn doubt_streams(entry: &Entry, endpoint: EndpointId, known: &EndpointRecord) {
    let Some(details) = &known.details else { return };
    if entry.pool.borrow().get(endpoint).spec.software == details.software {
        return;
    }
    let started = Duration::from_millis(known.born);
    let age = entry.cluster_time().saturating_sub(started);
    let since = clock::now().checked_sub(age);
    entry.origins.doubt(endpoint, since);
}

/// Adds endpoints that were ready before all boxes went down, but for those that have reported
/// since. Those that have not reported within `left` get no new work after it.
pub fn add_remembered(entry: &Rc<Entry>, reports: &[Report], left: Duration) {
    if entry.uptime() > STARTUP_TIME {
        return;
    }
    let unknown = |report: &&Report| {
        let has_reported = entry.registry.borrow().get(&report.instance).is_some();
        !has_reported && !entry.registered.borrow().contains_key(&report.instance)
    };
    let added = reports.iter().filter(unknown).filter_map(|report| {
        let endpoint = add(entry, &report.instance, report.details.as_ref()?);
        Some((report.instance.clone(), endpoint))
    });
    let added: Vec<_> = added.collect();
    if added.is_empty() {
        return;
    }
    Line::new("endpoints_remembered").with("count", added.len()).info();
    let entry = Rc::clone(entry);
    let expiry = async move {
        entry.timers.sleep(left).await;
        for (instance, endpoint) in added {
            expire(&entry, &instance, endpoint);
        }
    };
    compio::runtime::spawn(expiry).detach();
}

/// Stops sending work to a remembered endpoint that has not reported. Its open requests may finish,
/// because it responds; if it reports later, it is added as a new endpoint.
fn expire(entry: &Entry, instance: &InstanceId, endpoint: EndpointId) {
    if entry.registry.borrow().get(instance).is_some() {
        return;
    }
    Line::new("endpoint_not_heard_of").with("replica", instance).info();
    entry.registered.borrow_mut().remove(instance);
    entry.update_pool(|pool, now, out| pool.notice(now, endpoint, now + DRAIN_TIMEOUT, out));
}

fn apply_update(entry: &Entry, instance: &InstanceId, known: &EndpointRecord) {
    let registered = entry.registered.borrow().get(instance).copied();
    let endpoint = match (registered, &known.details) {
        (Some(endpoint), _) => endpoint,
        (None, Some(details)) if known.lifecycle == Lifecycle::Ready => {
            add(entry, instance, details)
        }
        // It was never in the pool, so there is nothing to remove.
        (None, _) => return,
    };
    Line::new("endpoint")
        .with("replica", instance)
        .with("standing", known.lifecycle.name())
        .with("sequence", known.sequence)
        .with("address", known.details.as_ref().map_or(String::new(), |d| d.address.to_string()))
        .with("software", known.details.as_ref().map_or("", |d| &d.software))
        .info();
    if known.lifecycle > Lifecycle::Ready {
        let now = clock::now();
        let gone_at = known.ends_at.unwrap_or(now + DRAIN_TIMEOUT);
        entry.update_pool(|pool, now, out| pool.notice(now, endpoint, gone_at, out));
    }
}

/// Stops sending new work to an endpoint that announced in a response that it is leaving. Its open
/// requests may finish. Other boxes receive the announcement in their own responses or through the
/// endpoint's registration.
///
/// An endpoint from the settings is backed off instead: it restarts as the same endpoint, without
/// any report of that.
pub fn mark_leaving(entry: &Entry, endpoint: EndpointId, request: &str) {
    let (name, state) = {
        let pool = entry.pool.borrow();
        let endpoint = pool.get(endpoint);
        (endpoint.spec.name.clone(), endpoint.state)
    };
    if matches!(state, EndpointState::Leaving | EndpointState::Gone) {
        return;
    }
    Line::new("endpoint_says_leaving").with("replica", &name).with("request", request).info();
    if entry.registered.borrow().values().any(|registered| *registered == endpoint) {
        entry.update_pool(|pool, now, out| pool.notice(now, endpoint, now + DRAIN_TIMEOUT, out));
    } else {
        entry.pool.borrow_mut().back_off(endpoint, clock::now() + RESTART_BACKOFF);
    }
}

/// The origin of every stream of a service, if all its endpoints that this box knows of run one
/// software version, those included that are gone or no longer report. None if this box may not know
/// all at which the stream can have begun: a control box says so that has known them for as long as a
/// stream lasts.
pub fn sole_origin(entry: &Entry, service: &str) -> Option<Origin> {
    if !entry.origins.knows_endpoints() {
        return None;
    }
    let id = entry.service_id(service);
    let registry = entry.registry.borrow();
    let pool = entry.pool.borrow();
    // The pool also has those that were ready before all boxes went down.
    let mut versions = registry.software_versions(service).chain(pool.software_versions(id));
    let software = versions.next()?;
    versions
        .all(|other| other == software)
        .then(|| Origin { service: service.to_owned(), software: software.clone() })
}

fn add(entry: &Entry, instance: &InstanceId, details: &Details) -> EndpointId {
    let spec = EndpointSpec {
        name: instance.clone(),
        service: entry.service_id(&details.service),
        address: details.address,
        availability_zone: details.availability_zone.clone(),
        box_name: instance.clone(),
        reclaimable: details.reclaimable,
        max_open: details.slots.saturating_mul(1 + MAX_QUEUED_PER_SLOT),
        software: details.software.clone(),
    };
    let held_until = rollouts::held_until(entry, &spec);
    let endpoint = entry.update_pool(|pool, _, _| pool.add(spec));
    if let Some(until) = held_until {
        entry.pool.borrow_mut().back_off(endpoint, until);
    }
    entry.registered.borrow_mut().insert(instance.clone(), endpoint);
    limits::apply(entry, instance);
    endpoint
}

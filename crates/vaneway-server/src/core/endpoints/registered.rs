//! Endpoints that registered themselves, as this entry box uses them.
//!
//! Reports arrive from any control box, in any order; the registry says what is news. A new
//! endpoint joins the pool; one that drains or ends gets no new work; what runs there goes on until
//! its connection breaks, since endpoints that leave finish what they have.

use std::rc::Rc;
use std::time::Duration;

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
use crate::util::clock;
use crate::util::logline::Line;

/// How long an endpoint that leaves without naming a time may finish what it has.
const FINISH_WITHIN: Duration = Duration::from_mins(2);

/// How long an endpoint that the settings name gets nothing after it has said that it leaves: longer than most take to start
/// again.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(10);

/// Requests that an endpoint queues for each one that it works on; more are not sent there.
const QUEUED_A_SLOT: u32 = 2;

/// Time after its start in which an entry box may not have heard of all endpoints yet.
const STARTED_WITHIN: Duration = Duration::from_secs(10);

/// Applies reports of a control box.
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
            if born_before > 0 && known.born > born_before {
                abandon(entry, &report.instance);
            }
            apply_news(entry, &report.instance, &known);
        }
    }
}

/// Gives up an endpoint that has started again: what ran there is lost, and what it kept too. The incarnation
/// that runs now joins the pool as another endpoint.
fn abandon(entry: &Entry, instance: &InstanceId) {
    let Some(endpoint) = entry.registered.borrow_mut().remove(instance) else { return };
    Line::new("endpoint_reborn").with("replica", instance).info();
    entry.update_pool(|pool, now, out| {
        pool.notice(now, endpoint, now, out);
        pool.expire(now, out);
    });
}

/// Uses endpoints that were ready before all boxes went down, unless this box has heard of any
/// since; those that are not heard of within `left` are used no more.
pub fn add_remembered(entry: &Rc<Entry>, reports: &[Report], left: Duration) {
    if entry.uptime() > STARTED_WITHIN {
        return;
    }
    let unknown = |report: &&Report| {
        let heard_of = entry.registry.borrow().get(&report.instance).is_some();
        !heard_of && !entry.registered.borrow().contains_key(&report.instance)
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
    let forgetting = async move {
        entry.timers.sleep(left).await;
        for (instance, endpoint) in added {
            forget(&entry, &instance, endpoint);
        }
    };
    compio::runtime::spawn(forgetting).detach();
}

/// Gives a remembered endpoint no more work if nothing was heard of it. What it has may finish, since
/// it answers, and if it is heard of later it is a new one here.
fn forget(entry: &Entry, instance: &InstanceId, endpoint: EndpointId) {
    if entry.registry.borrow().get(instance).is_some() {
        return;
    }
    Line::new("endpoint_not_heard_of").with("replica", instance).info();
    entry.registered.borrow_mut().remove(instance);
    entry.update_pool(|pool, now, out| pool.notice(now, endpoint, now + FINISH_WITHIN, out));
}

fn apply_news(entry: &Entry, instance: &InstanceId, known: &EndpointRecord) {
    let registered = entry.registered.borrow().get(instance).copied();
    let endpoint = match (registered, &known.details) {
        (Some(endpoint), _) => endpoint,
        (None, Some(details)) if known.lifecycle == Lifecycle::Ready => {
            add(entry, instance, details)
        }
        // Never used here, so there is nothing to take away.
        (None, _) => return,
    };
    Line::new("endpoint")
        .with("replica", instance)
        .with("standing", known.lifecycle.name())
        .with("sequence", known.sequence)
        .with("address", known.details.as_ref().map_or(String::new(), |d| d.address.to_string()))
        .info();
    if known.lifecycle > Lifecycle::Ready {
        let now = clock::now();
        let gone_at = known.ends_at.unwrap_or(now + FINISH_WITHIN);
        entry.update_pool(|pool, now, out| pool.notice(now, endpoint, gone_at, out));
    }
}

/// Gives an endpoint whose answer to a request says that it leaves no new work. What it has may finish. Other boxes learn it
/// from their own answers, or from its registration.
///
/// One that the settings name rests instead: it starts again as the same endpoint, without anyone saying so.
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
        entry.update_pool(|pool, now, out| pool.notice(now, endpoint, now + FINISH_WITHIN, out));
    } else {
        entry.pool.borrow_mut().back_off(endpoint, clock::now() + ASK_AGAIN_AFTER);
    }
}

fn add(entry: &Entry, instance: &InstanceId, details: &Details) -> EndpointId {
    let spec = EndpointSpec {
        name: instance.clone(),
        service: entry.service_id(&details.service),
        address: details.address,
        availability_zone: details.availability_zone.clone(),
        box_name: instance.clone(),
        reclaimable: details.reclaimable,
        max_open: details.slots.saturating_mul(1 + QUEUED_A_SLOT),
    };
    let endpoint = entry.update_pool(|pool, _, _| pool.add(spec));
    entry.registered.borrow_mut().insert(instance.clone(), endpoint);
    limits::apply(entry, instance);
    endpoint
}

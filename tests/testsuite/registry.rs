//! The registry of endpoints that register themselves: merging and expiry of reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use vaneway_registry::Change;
use vaneway_registry::Details;
use vaneway_registry::Lifecycle;
use vaneway_registry::Registry;
use vaneway_registry::Report;

use crate::property;

fn report(sequence: u64, lifecycle: Lifecycle) -> Report {
    Report {
        instance: "i-1".to_owned(),
        born: 0,
        sequence,
        lifecycle,
        ends_in_ms: None,
        age_ms: 0,
        details: Some(Details {
            service: "maps".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + sequence as u16)),
            availability_zone: "north".to_owned(),
            slots: 8,
            reclaimable: false,
            software: "v1".to_owned(),
        }),
    }
}

#[test]
fn late_heartbeat_does_not_revive_an_endpoint() {
    let now = Instant::now();
    let mut registry = Registry::default();
    assert_eq!(registry.merge(now, &report(4, Lifecycle::Ready)), Change::Updated);
    let gone = Report { details: None, ..report(0, Lifecycle::Gone) };
    assert_eq!(registry.merge(now, &gone), Change::Updated);
    let late = now + Duration::from_secs(5);
    assert_eq!(registry.merge(late, &report(3, Lifecycle::Ready)), Change::Refreshed);
    assert_eq!(registry.merge(late, &report(5, Lifecycle::Ready)), Change::Updated);
    let record = registry.get("i-1").unwrap();
    assert_eq!((record.lifecycle, record.sequence), (Lifecycle::Gone, 5));

    registry.expire(late + Duration::from_mins(9));
    assert_eq!(registry.len(), 1);
    registry.expire(late + Duration::from_mins(11));
    assert!(registry.is_empty());
}

#[test]
fn boxes_that_merged_the_same_reports_in_any_order_hold_the_same_state() {
    let now = Instant::now();
    let lifecycles = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone];
    property::check("registry order", 2_000, |(reports, rotation): (Vec<(u8, u8)>, u8)| {
        let reports: Vec<Report> = reports
            .iter()
            // A sequence number identifies one heartbeat, which has one lifecycle.
            .map(|(sequence, born)| Report {
                born: u64::from(*born % 3) + 1,
                ..report(u64::from(*sequence), lifecycles[usize::from(*sequence) % 3])
            })
            .collect();
        let mut one = Registry::default();
        for report in &reports {
            one.merge(now, report);
        }
        let mut other = Registry::default();
        let rotation = usize::from(rotation) % reports.len().max(1);
        for report in reports[rotation..].iter().chain(&reports[..rotation]).chain(&reports) {
            other.merge(now, report);
        }
        assert_eq!(one.reports(now), other.reports(now));
    });
}

#[test]
fn endpoint_that_restarts_under_its_id_is_a_new_incarnation() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let born = |born, sequence, lifecycle| Report { born, ..report(sequence, lifecycle) };
    registry.merge(now, &born(1_000, 40, Lifecycle::Ready));
    registry.merge(now, &Report { details: None, ..born(1_000, 0, Lifecycle::Gone) });
    assert_eq!(registry.merge(now, &born(2_000, 1, Lifecycle::Ready)), Change::Updated);
    // Late reports of the previous incarnation change nothing.
    assert_eq!(registry.merge(now, &born(1_000, 41, Lifecycle::Draining)), Change::Unchanged);
    assert_eq!(
        registry.merge(now, &Report { details: None, ..born(1_000, 0, Lifecycle::Gone) }),
        Change::Unchanged
    );
    let record = registry.get("i-1").unwrap();
    assert_eq!((record.born, record.sequence, record.lifecycle), (2_000, 1, Lifecycle::Ready));
    // An exit without an incarnation counts for the known one.
    assert_eq!(registry.merge(now, &born(0, 0, Lifecycle::Gone)), Change::Updated);
}

#[test]
fn earliest_announced_exit_counts() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let ending = |ms| Report { ends_in_ms: Some(ms), ..report(1, Lifecycle::Draining) };
    registry.merge(now, &ending(9_000));
    assert_eq!(registry.merge(now, &ending(2_000)), Change::Updated);
    assert_eq!(registry.merge(now, &ending(7_000)), Change::Unchanged);
    let record = registry.get("i-1").unwrap();
    assert_eq!(record.ends_at, Some(now + Duration::from_secs(2)));
}

/// Guards against versions that are still named, or no longer, after endpoints restarted with
/// others, moved to another service, or were forgotten.
#[test]
fn software_versions_of_a_service_are_those_of_its_known_endpoints() {
    let start = Instant::now();
    let services = ["maps", "chat"];
    property::check("registry versions", 2_000, |steps: Vec<(u8, u8, u8, u8)>| {
        let mut registry = Registry::default();
        let mut now = start;
        for (what, instance, version, minutes) in steps {
            now += Duration::from_mins(u64::from(minutes % 4));
            let lifecycle = if what & 0b1 == 0 { Lifecycle::Ready } else { Lifecycle::Gone };
            let mut report = report(u64::from(what >> 4), lifecycle);
            report.instance = format!("i-{}", instance % 5);
            report.born = u64::from(instance >> 5);
            if let Some(details) = &mut report.details {
                details.service = services[usize::from(version >> 7)].to_owned();
                details.software = format!("v{}", version % 3);
            }
            report.details = report.details.filter(|_| what & 0b10 == 0);
            registry.merge(now, &report);
            if what & 0b1100 == 0 {
                registry.expire(now);
            }
            for service in services {
                let known = registry.iter().filter_map(|(_, known)| known.details.as_ref());
                let known = known.filter(|details| details.service == service);
                let expected: BTreeSet<_> = known.map(|details| &details.software).collect();
                assert!(registry.software_versions(service).eq(expected));
            }
        }
    });
}

//! Which boxes forward through which others, and when a box takes itself to be cut off, without I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use vaneway_relay::AnswerForm;
use vaneway_relay::Chunk;
use vaneway_relay::Event;
use vaneway_relay::Outcome;
use vaneway_relay::Plan;
use vaneway_relay::Relay;
use vaneway_relay::RetryBudget;
use vaneway_relay::WaitPolicy;
use vaneway_route::Choice;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::EndpointSpec;
use vaneway_route::NEIGHBOUR_SERVICE;
use vaneway_route::NeighbourQuery;
use vaneway_route::PathAction;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::ServicePaths;
use vaneway_server::core::cluster::wire::Neighbour;
use vaneway_server::core::control::neighbours::Ring;

/// Availability zones of the fleet.
const ZONES: usize = 5;

/// Neighbours of each box.
const NEIGHBOURS: usize = 6;

fn fleet(boxes: usize) -> Vec<Neighbour> {
    let each = (0..boxes).map(|i| Neighbour {
        name: format!("entry-{i}"),
        address: ([127, 0, 0, 1], 1 + i as u16).into(),
        availability_zone: format!("zone-{}", i % ZONES),
    });
    each.collect()
}

fn neighbours(fleet: &[Neighbour]) -> BTreeMap<String, Vec<Neighbour>> {
    let ring = Ring::new(fleet.iter().cloned());
    fleet.iter().map(|each| (each.name.clone(), ring.neighbours_of(&each.name))).collect()
}

/// Guards against boxes whose neighbours are all in their own zone, which may be cut off as a whole,
/// and against a box that all others forward through.
#[test]
fn each_box_has_neighbours_in_other_zones_and_is_the_neighbour_of_few() {
    let fleet = fleet(295);
    let mut named: BTreeMap<String, usize> = BTreeMap::new();
    for own in &fleet {
        let neighbours = neighbours_of(&fleet, own);
        let names: BTreeSet<&str> = neighbours.iter().map(|each| each.name.as_str()).collect();
        assert_eq!(names.len(), NEIGHBOURS, "{}", own.name);
        assert!(!names.contains(own.name.as_str()));
        let elsewhere =
            neighbours.iter().filter(|each| each.availability_zone != own.availability_zone);
        assert_eq!(elsewhere.count(), 4);
        for name in names {
            *named.entry(name.to_owned()).or_default() += 1;
        }
    }
    let most = named.values().max().copied().unwrap_or_default();
    assert!(most <= 4 * NEIGHBOURS, "{most} boxes forward through one");
}

fn neighbours_of(fleet: &[Neighbour], own: &Neighbour) -> Vec<Neighbour> {
    Ring::new(fleet.iter().cloned()).neighbours_of(&own.name)
}

/// Guards against a box that starts or stops and changes what all others are told.
#[test]
fn box_that_stops_changes_the_neighbours_of_few() {
    let all = fleet(295);
    let before = neighbours(&all);
    let after = neighbours(&all[1..]);
    let changed = after.iter().filter(|(name, list)| before[*name] != **list).count();
    assert!((1..=4 * NEIGHBOURS).contains(&changed), "{changed} lists changed");
    assert_eq!(neighbours(&fleet(1))["entry-0"], []);
}

/// Guards against a box that takes the failure of one endpoint, or failures between responses of
/// others, for a lost path, and against one that takes late responses for an open path.
#[test]
fn path_is_checked_after_failures_at_two_endpoints_and_opens_with_a_connection_only() {
    let now = Instant::now();
    let (service, usable) = (0, 3);
    let mut paths = ServicePaths::default();
    paths.record_failure(now, service, 1, usable);
    paths.record_failure(now, service, 1, usable);
    assert_eq!(paths.next_check(), None, "one endpoint may have ended");
    paths.record_response(service);
    paths.record_failure(now, service, 2, usable);
    assert_eq!(paths.next_check(), None, "another has responded");
    paths.record_failure(now, service, 3, usable);
    assert_eq!(paths.next_check(), Some(service));

    assert_eq!(paths.record_check(now, service, false), Some(PathAction::Announce));
    paths.record_response(service);
    assert!(paths.is_cut_off(service), "a response may come over an earlier connection");
    assert_eq!(paths.record_check(now, service, false), None);
    assert_eq!(paths.record_check(now, service, true), Some(PathAction::Restore));
    assert!(!paths.is_cut_off(service));

    // The only endpoint of another service.
    paths.record_failure(now, 1, 9, 1);
    assert_eq!(paths.next_check(), Some(1));
    assert_eq!(paths.record_check(now, 1, true), None);
    paths.record_failure(now, 1, 9, 1);
    assert_eq!(paths.next_check(), None, "it was checked just before");
    paths.record_failure(now + Duration::from_secs(1), 1, 9, 1);
    assert_eq!(paths.next_check(), Some(1));
}

/// A pool of neighbours, of which the first is in another zone.
fn pool_of_neighbours(count: u32) -> (Pool, Vec<EndpointId>) {
    let mut pool = Pool::new(Vec::new(), Policy::Random, 1);
    let ids = (0..count).map(|i| {
        pool.add(EndpointSpec {
            name: format!("entry-{i}"),
            service: NEIGHBOUR_SERVICE,
            address: ([127, 0, 0, 1], 1 + i as u16).into(),
            availability_zone: if i == 0 { "elsewhere" } else { "home" }.to_owned(),
            box_name: format!("entry-{i}"),
            reclaimable: false,
            max_open: 10,
            software: String::new(),
        })
    });
    let ids = ids.collect();
    (pool, ids)
}

/// Guards against a stream that is held until its deadline because each neighbour was asked once,
/// and against a request without a response that is sent to the same neighbours again and again.
#[test]
fn neighbour_is_asked_again_only_for_a_stream_that_has_begun() {
    let now = Instant::now();
    let (mut pool, ids) = pool_of_neighbours(2);
    let query = NeighbourQuery { among: &ids, home: "home", ..NeighbourQuery::default() };
    assert_eq!(pool.choose_neighbour(now, query), Choice::Endpoint(ids[1]));
    let query = NeighbourQuery { tried: &ids[1..], ..query };
    for may_return in [false, true] {
        let query = NeighbourQuery { may_return, ..query };
        assert_eq!(pool.choose_neighbour(now, query), Choice::Endpoint(ids[0]));
    }
    let query = NeighbourQuery { tried: &ids, ..query };
    assert_eq!(pool.choose_neighbour(now, query), Choice::Unavailable { until: None });
    let query = NeighbourQuery { may_return: true, ..query };
    assert_eq!(pool.choose_neighbour(now, query), Choice::Endpoint(ids[1]));
    pool.handle(now, ids[1], EndpointEvent::Failed, &mut Vec::new());
    assert_eq!(pool.choose_neighbour(now, query), Choice::Endpoint(ids[0]));
    pool.handle(now, ids[0], EndpointEvent::Failed, &mut Vec::new());
    assert_eq!(pool.choose_neighbour(now, query), Choice::Unavailable { until: None });
}

/// Guards against a stream that is held until its deadline although every neighbour has stated that
/// no endpoint of its software version is left.
#[test]
fn none_is_left_once_no_neighbour_has_an_endpoint_of_the_version() {
    let now = Instant::now();
    let (mut pool, ids) = pool_of_neighbours(2);
    let query = NeighbourQuery {
        among: &ids,
        tried: &ids,
        may_return: true,
        without_version: &ids[1..],
        ..NeighbourQuery::default()
    };
    assert_eq!(pool.choose_neighbour(now, query), Choice::Endpoint(ids[0]));
    for may_return in [false, true] {
        let query = NeighbourQuery { may_return, without_version: &ids, ..query };
        assert_eq!(pool.choose_neighbour(now, query), Choice::NoneLeft);
    }
}

/// Guards against a stream that is given up, and a request that is kept waiting, once all neighbours
/// were asked.
#[test]
fn only_a_stream_that_has_begun_may_return_to_a_neighbour() {
    let now = Instant::now();
    let mut relay = Relay::new(Plan {
        repeatable: true,
        form: AnswerForm::EventStream { resumable: true },
        wants_usage: false,
        max_attempts: 2,
        deadline: now + Duration::from_mins(1),
        wait_policy: WaitPolicy::IfExpectedBy { deadline: now },
        prompt_tokens: 0,
        max_tokens: 0,
        seed: 1,
    });
    let mut budget = RetryBudget::new(10, 10);
    let events = [
        Event::Begin,
        Event::Chosen { endpoint: 0 },
        Event::Ended { attempt: 1, outcome: Outcome::NotSent },
        Event::Woken,
        Event::Chosen { endpoint: 1 },
        Event::Head { attempt: 2 },
    ];
    for event in events {
        relay.handle(now, event, &mut budget, &mut Vec::new());
        assert!(!relay.may_return());
    }
    let chunk = Chunk::event(Some(1), "1".to_owned());
    relay.handle(now, Event::Chunk { attempt: 2, chunk }, &mut budget, &mut Vec::new());
    assert!(relay.may_return());
    assert_eq!(relay.tried(), [0, 1]);
}

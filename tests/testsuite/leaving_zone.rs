//! Leaving the availability zone: whether it pays, and for how many requests.
//!
//! Each load has bounds from what callers and operators need: the requests in time of the best split
//! that is possible, not many more bytes between zones than that split needs, and no swings.

use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use vaneway_limit::AdvertisedLimit;
use vaneway_limit::BoxNumber;
use vaneway_limit::Sender;
use vaneway_route::Choice;
use vaneway_route::EndpointSpec;
use vaneway_route::LeavingZone;
use vaneway_route::Load;
use vaneway_route::MessageSizes;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::PromptPart;
use vaneway_route::Query;
use vaneway_route::QueueLimit;
use vaneway_route::Work;
use vaneway_route::ZoneLink;
use vaneway_route::ZonePair;
use vaneway_route::ZoneReason;

use crate::simulated_zones::DELAY;
use crate::simulated_zones::ENDPOINTS;
use crate::simulated_zones::Outcome;
use crate::simulated_zones::Zones;

/// A price of traffic at which a request of 2,000 tokens costs less than a millisecond.
const CHEAP_S_PER_GB: f64 = 10.0;

/// A price at which the same request with a response of 50 tokens costs 39 ms.
const EXPENSIVE_S_PER_GB: f64 = 3_000.0;

/// Numbers of entry boxes.
const BOXES: [u32; 3] = [6, 61, 350];

fn leaving(seconds_per_gb: f64) -> LeavingZone {
    LeavingZone {
        link: ZoneLink { seconds_per_gb, delay: DELAY },
        pairs: Vec::new(),
        min_advantage: Duration::from_millis(20),
        sizes: MessageSizes { prompt_token: 4.0, response_token: 100.0, plain: 4_000.0 },
    }
}

/// Each zone has the endpoints for its demand, which needs 0.7 of them.
fn calm() -> Zones {
    Zones {
        boxes: 61,
        demand: |_, _| 0.7,
        endpoints: [ENDPOINTS; 4],
        prompt_tokens: 2_000,
        response_tokens: 50,
        leaving: Some(leaving(CHEAP_S_PER_GB)),
        dark: Duration::ZERO..Duration::ZERO,
        cut: Duration::ZERO..Duration::ZERO,
    }
}

/// The first zone has half of its endpoints.
fn half() -> Zones {
    Zones { endpoints: [ENDPOINTS / 2, ENDPOINTS, ENDPOINTS, ENDPOINTS], ..calm() }
}

/// Requests that leave beyond 1.2 times those of the best split, as a share of all: the waits of two
/// zones differ at random, also where their demand doesn't.
const MORE_LEFT: f64 = 0.05;

/// Swings a minute and zone that aren't the demand's.
const MAX_SWINGS: f64 = 0.0;

fn check(zones: &Zones, min_in_time: f64, max_swings: f64) {
    for boxes in BOXES {
        let outcome = Zones { boxes, ..zones.clone() }.run(1);
        assert!(outcome.in_time >= min_in_time, "{boxes} boxes: {outcome:?}");
        assert!(outcome.left <= 1.2 * outcome.must_leave + MORE_LEFT, "{boxes} boxes: {outcome:?}");
        assert!(outcome.swings <= max_swings, "{boxes} boxes: {outcome:?}");
    }
}

#[test]
fn zones_that_lack_nothing_serve_their_own_requests() {
    check(&calm(), 0.99, MAX_SWINGS);
}

#[test]
fn zone_short_by_a_tenth_lets_about_a_tenth_leave() {
    let demand = |zone, _| if zone == 0 { 1.1 } else { 0.7 };
    check(&Zones { demand, ..calm() }, 0.99, MAX_SWINGS);
}

#[test]
fn zone_short_by_half_lets_what_it_lacks_leave() {
    check(&half(), 0.99, MAX_SWINGS);
}

#[test]
fn zone_without_endpoints_lets_all_leave_and_spreads_them() {
    let endpoints = [0, ENDPOINTS, ENDPOINTS, ENDPOINTS];
    check(&Zones { endpoints, ..calm() }, 0.98, MAX_SWINGS);
}

/// Nobody gains by leaving while all zones are short.
#[test]
fn zones_that_are_all_short_serve_their_own_requests() {
    check(&Zones { demand: |_, _| 1.2, ..calm() }, 0.95, MAX_SWINGS);
}

/// A wave is a swing of the demand itself: one in 8 s for each zone.
#[test]
fn wave_through_four_zones_is_shared_as_it_passes() {
    let demand = |zone, at: Duration| {
        if at.as_secs() as usize / 2 % 4 == zone { 1.4 } else { 0.6 }
    };
    check(&Zones { demand, ..calm() }, 0.98, 7.5 + MAX_SWINGS);
}

/// The cut is a swing of its own, in 8 s for one of four zones.
#[test]
fn zone_that_returns_after_a_cut_gets_its_own_requests_back() {
    let cut = Duration::from_secs(4)..Duration::from_secs(7);
    check(&Zones { cut: cut.clone(), ..calm() }, 0.98, 2.0 + MAX_SWINGS);
    for boxes in BOXES {
        let outcome = Zones { boxes, cut: cut.clone(), ..calm() }.run(2);
        // About 420 requests arrive in the last second.
        assert!(outcome.left_at_end <= 40, "{boxes} boxes: {outcome:?}");
    }
}

/// Guards against requests that leave because a zone whose load isn't known looks empty.
#[test]
fn boxes_without_loads_leave_for_lack_of_room_alone() {
    let dark = Duration::from_secs(3)..Duration::from_secs(10);
    // Boxes that don't know each other's work choose at random, so that some requests wait long.
    check(&Zones { dark: dark.clone(), ..calm() }, 0.94, MAX_SWINGS);
    check(&Zones { dark, ..half() }, 0.94, MAX_SWINGS);
}

#[test]
fn plain_service_leaves_the_zone_by_the_same_decision() {
    check(&Zones { prompt_tokens: 0, ..calm() }, 0.99, MAX_SWINGS);
    check(&Zones { prompt_tokens: 0, ..half() }, 0.99, MAX_SWINGS);
}

/// Without the settings, plain requests wait at home however long that takes.
#[test]
fn plain_service_without_the_settings_waits_at_home() {
    let outcome = Zones { prompt_tokens: 0, leaving: None, ..half() }.run(1);
    assert!(outcome.in_time < 0.9 && outcome.wait_ms > 300.0, "{outcome:?}");
}

/// A busy zone beside idle ones, none of which lacks endpoints.
#[test]
fn fewer_requests_leave_the_dearer_the_bytes_and_the_larger_the_responses() {
    let run = |leaving: LeavingZone| -> Outcome {
        let demand = |zone, _| if zone == 0 { 0.9 } else { 0.3 };
        Zones { demand, leaving: Some(leaving), ..calm() }.run(1)
    };
    let cheap = run(leaving(CHEAP_S_PER_GB));
    let dear = run(leaving(EXPENSIVE_S_PER_GB));
    let sizes = MessageSizes { response_token: 2_000.0, ..leaving(0.0).sizes };
    let dear_and_large = run(LeavingZone { sizes, ..leaving(EXPENSIVE_S_PER_GB) });
    assert!(dear.left < 0.8 * cheap.left, "{dear:?} {cheap:?}");
    assert!(dear_and_large.left < 0.5 * dear.left, "{dear_and_large:?} {dear:?}");
    assert!(dear_and_large.in_time >= 0.98, "{dear_and_large:?}");
}

/// Two endpoints in each of two zones; those of the home zone `a` have much work.
fn busy_at_home(policy: Policy, leaving: &LeavingZone) -> (Pool, Instant) {
    let now = Instant::now();
    let specs = (0..4).map(|i| EndpointSpec {
        name: format!("engine-{i}"),
        service: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 1 + i)),
        availability_zone: if i < 2 { "a" } else { "b" }.to_owned(),
        box_name: format!("engine-{i}"),
        reclaimable: false,
        max_open: 288,
        software: "v1".to_owned(),
    });
    let mut pool = Pool::new(specs.collect(), policy, 1);
    pool.set_leaving_zone(leaving.clone());
    for id in 0..4 {
        let tokens = if id < 2 { 20_000 } else { 0 };
        pool.set_others_load(now, id, Load { requests: 0, tokens });
    }
    (pool, now)
}

fn query() -> Query<'static> {
    let number = Some(BoxNumber { number: 0, of: 2 });
    Query { home: "a", sender: Sender { now: Duration::ZERO, number }, ..Query::default() }
}

/// Zones of some choices: the number at home.
fn at_home(pool: &mut Pool, now: Instant, query: Query<'_>) -> usize {
    let choices = (0..20).map(|_| pool.choose(now, query));
    choices.filter(|choice| matches!(choice, Choice::Endpoint(0 | 1))).count()
}

#[test]
fn requests_with_terms_of_their_own_are_placed_by_these() {
    let (mut pool, now) = busy_at_home(Policy::TwoChoices, &leaving(CHEAP_S_PER_GB));
    assert_eq!(at_home(&mut pool, now, query()), 0);
    let decision = pool.zone_decision().expect("the zone was decided");
    assert_eq!(decision.reason, ZoneReason::Wait);
    assert_eq!(decision.loads_age, Some(Duration::ZERO));

    // A resumed stream and an isolated request.
    assert_eq!(at_home(&mut pool, now, Query { software: Some("v1"), ..query() }), 20);
    assert_eq!(at_home(&mut pool, now, Query { isolation_hash: Some(7), ..query() }), 20);
    assert_eq!(pool.zone_decision(), None);

    // A service with an advertised limit.
    let rate = "1000".parse().expect("a rate");
    let seen_at = Duration::ZERO;
    pool.set_limit(0, AdvertisedLimit { born: 0, rate, lifted: false, seen_at });
    assert_eq!(at_home(&mut pool, now, query()), 20);
}

#[test]
fn pair_of_zones_has_its_own_price_and_delay() {
    let link = ZoneLink { seconds_per_gb: 0.0, delay: Duration::from_secs(2) };
    let zones = ["b".to_owned(), "a".to_owned()];
    let far = LeavingZone { pairs: vec![ZonePair { zones, link }], ..leaving(CHEAP_S_PER_GB) };
    let cost = |to| Duration::from_secs_f64(far.cost("a", to, None));
    assert_eq!((cost("b"), cost("a")), (Duration::from_secs(4), Duration::ZERO));
    assert!(cost("c") < Duration::from_millis(10));
    let (mut pool, now) = busy_at_home(Policy::ExpectedWork, &far);
    assert_eq!(at_home(&mut pool, now, query()), 20, "the wait at home is less than 1 s");
}

/// Guards against all boxes that leave at once for a zone which has a little less work.
#[test]
fn small_difference_lets_a_small_share_leave() {
    let (mut pool, now) = busy_at_home(Policy::ExpectedWork, &leaving(CHEAP_S_PER_GB));
    let parts = vec![PromptPart { id: 1, tokens: 10_000 }];
    let work = Work { prompt_tokens: 10_000, max_tokens: 1, parts };
    for id in 0..4 {
        let tokens = if id < 2 { 3_000 } else { 2_000 };
        pool.set_others_load(now, id, Load { requests: 0, tokens });
    }
    let number = Some(BoxNumber { number: 0, of: 60 });
    let sender = Sender { number, ..Sender::default() };
    let query = Query { work: Some(&work), sender, ..query() };
    let choices: Vec<Choice> = (0..300).map(|_| pool.choose(now, query)).collect();
    let left = choices[100..].iter().filter(|c| matches!(c, Choice::Endpoint(2 | 3))).count();
    assert!(left <= 10, "{left} of 200 leave");
}

/// Decisions without the settings, as they were before the settings existed.
#[test]
fn decisions_without_the_settings_stay_the_same() {
    assert_eq!(digest(None), GOLDEN);
    assert_ne!(digest(Some(&leaving(CHEAP_S_PER_GB))), GOLDEN);
}

const GOLDEN: u64 = 0x2d6f_5f7d_2341_be29;

/// A digest of 600 choices of each policy over three zones, with prompt parts, loads, losses, and
/// room that becomes scarce.
fn digest(leaving: Option<&LeavingZone>) -> u64 {
    let mut hasher = DefaultHasher::new();
    for policy in Policy::ALL {
        let spec = |i: u16| EndpointSpec {
            name: format!("engine-{i}"),
            service: 0,
            address: SocketAddr::from(([127, 0, 0, 1], 1 + i)),
            availability_zone: ["a", "b", "c"][usize::from(i) % 3].to_owned(),
            box_name: format!("engine-{i}"),
            reclaimable: false,
            max_open: 288,
            software: String::new(),
        };
        let mut pool = Pool::new((0..21).map(spec).collect(), policy, 7);
        if let Some(leaving) = leaving {
            pool.set_leaving_zone(leaving.clone());
        }
        let mut now = Instant::now();
        for i in 0..600_u32 {
            now += Duration::from_millis(7);
            let parts = vec![
                PromptPart { id: u64::from(i % 5), tokens: 900 },
                PromptPart { id: u64::from(1_000 + i), tokens: 300 + i },
            ];
            let work = Work { prompt_tokens: 1_200 + i, max_tokens: 50, parts };
            let limit = QueueLimit {
                seconds_per_token: 40e-6,
                max_wait: Duration::from_millis(640),
                unreported_tokens: f64::from(i) * 300.0,
                standing: None,
            };
            let sender =
                Sender { now: Duration::ZERO, number: Some(BoxNumber { number: 3, of: 61 }) };
            let query = Query {
                home: if i % 7 == 0 { "b" } else { "a" },
                prefix: u64::from(i % 11),
                work: Some(&work),
                queue_limit: (i > 300).then_some(limit),
                sender,
                ..Query::default()
            };
            let choice = pool.choose(now, query);
            format!("{choice:?}").hash(&mut hasher);
            if let Choice::Endpoint(id) = choice {
                let tokens = pool.begin_attempt(now, id, 0, Some(&work));
                if i % 3 != 0 {
                    pool.begin_response(now, id, tokens);
                }
                let others = Load { requests: i % 9, tokens: u64::from(i) * 13 };
                pool.set_others_load(now, (id + i) % 21, others);
            }
        }
    }
    hasher.finish()
}

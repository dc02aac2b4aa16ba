//! The choice among endpoints by expected work (policy `expected_work`), without I/O.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use vaneway_limit::AdvertisedLimit;
use vaneway_limit::BoxNumber;
use vaneway_limit::Sender;
use vaneway_route::CACHED_PART_MAX_AGE;
use vaneway_route::Choice;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::EndpointSpec;
use vaneway_route::Load;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::PromptPart;
use vaneway_route::Query;
use vaneway_route::QueueLimit;
use vaneway_route::UNRESPONSIVE_THRESHOLD;
use vaneway_route::Work;

const SERVICE: u32 = 0;

/// A pool of endpoints, each named after its availability zone, and a manual clock.
struct Fleet {
    pool: Pool,
    now: Instant,
}

impl Fleet {
    fn in_zones(zones: &[&str]) -> Self {
        Self::with_seed(zones, 1)
    }

    fn with_seed(zones: &[&str], seed: u64) -> Self {
        let spec = |(i, zone): (usize, &&str)| EndpointSpec {
            name: format!("{zone}-{i}"),
            service: SERVICE,
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + i as u16)),
            availability_zone: (*zone).to_owned(),
            box_name: format!("box-{i}"),
            reclaimable: false,
            max_open: 100,
            software: String::new(),
        };
        let specs = zones.iter().enumerate().map(spec).collect();
        Self { pool: Pool::new(specs, Policy::ExpectedWork, seed), now: Instant::now() }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    /// Starts a stream from an endpoint, up to its first event.
    fn start_stream(&mut self, endpoint: EndpointId) {
        let tokens = self.pool.begin_attempt(self.now, endpoint, 0, None);
        self.pool.begin_response(self.now, endpoint, tokens);
    }

    fn choose(&mut self, home: &str) -> Choice {
        let query = Query {
            software: None,
            service: SERVICE,
            home,
            avoid: &[],
            prefix: 0,
            work: None,
            isolation_hash: None,
            queue_limit: None,
            sender: Sender::default(),
            versions: None,
        };
        self.pool.choose(self.now, query)
    }
}

#[test]
fn endpoint_whose_responses_stop_gets_no_requests_while_another_responds() {
    let mut fleet = Fleet::in_zones(&["a", "b"]);
    fleet.start_stream(0);
    fleet.start_stream(1);
    fleet.advance(UNRESPONSIVE_THRESHOLD);
    fleet.pool.record_progress(fleet.now, 1);
    assert!(fleet.pool.is_unresponsive(fleet.now, 0));
    assert_eq!(fleet.choose("a"), Choice::Endpoint(1));
    fleet.pool.record_progress(fleet.now, 0);
    assert!(!fleet.pool.is_unresponsive(fleet.now, 0));
    assert_eq!(fleet.choose("a"), Choice::Endpoint(0));
}

#[test]
fn zone_whose_responses_all_stop_gets_no_requests_even_at_idle_endpoints() {
    let mut fleet = Fleet::in_zones(&["a", "a", "b"]);
    fleet.start_stream(0);
    fleet.start_stream(2);
    fleet.advance(UNRESPONSIVE_THRESHOLD);
    fleet.pool.record_progress(fleet.now, 2);
    assert!(fleet.pool.is_unresponsive(fleet.now, 1), "all responses in its zone have stopped");
    assert_eq!(fleet.choose("a"), Choice::Endpoint(2));
}

#[test]
fn idle_endpoint_is_not_unresponsive_while_another_of_its_zone_responds() {
    let mut fleet = Fleet::in_zones(&["a", "a", "b"]);
    fleet.start_stream(0);
    fleet.start_stream(1);
    fleet.advance(UNRESPONSIVE_THRESHOLD);
    fleet.pool.record_progress(fleet.now, 1);
    assert!(fleet.pool.is_unresponsive(fleet.now, 0));
    assert!(!fleet.pool.is_unresponsive(fleet.now, 1));
    fleet.pool.end_attempt(0, 0, true);
    assert!(!fleet.pool.is_unresponsive(fleet.now, 0), "no response is due, and its zone responds");
}

#[test]
fn box_that_was_stalled_itself_chooses_as_before() {
    let mut fleet = Fleet::in_zones(&["a", "b"]);
    fleet.start_stream(0);
    fleet.start_stream(1);
    fleet.advance(Duration::from_secs(10));
    assert_eq!(fleet.choose("b"), Choice::Endpoint(1), "all are equally unresponsive");
}

/// Guards against entry boxes that all choose the same least loaded endpoints, as 74 of them did on
/// the grown further deployment.
#[test]
fn boxes_with_the_same_state_do_not_all_choose_the_same_endpoint() {
    let zones = ["a"; 40];
    let mut chosen = std::collections::BTreeMap::<EndpointId, u32>::new();
    for seed in 0..60 {
        let mut fleet = Fleet::with_seed(&zones, seed);
        // All boxes have received the same loads: the first endpoints have slightly less.
        for endpoint in 4..40 {
            fleet.start_stream(endpoint);
        }
        let Choice::Endpoint(endpoint) = fleet.choose("a") else {
            panic!("an endpoint has free capacity")
        };
        *chosen.entry(endpoint).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or_default();
    assert!(most <= 15, "{chosen:?}");
}

/// A request with a shared prompt part of 5,000 tokens followed by `own_tokens` tokens of its own.
fn work(own_tokens: u32) -> Work {
    let parts = vec![PromptPart { id: 7, tokens: 5_000 }, PromptPart { id: 8, tokens: own_tokens }];
    Work { prompt_tokens: 5_000 + own_tokens, max_tokens: 10, parts }
}

#[test]
fn part_that_another_box_sent_to_an_endpoint_counts_as_cached_there() {
    let mut fleet = Fleet::in_zones(&["a"; 40]);
    let work = work(300);
    let query = Query {
        software: None,
        service: SERVICE,
        home: "a",
        avoid: &[],
        prefix: 0,
        work: Some(&work),
        isolation_hash: None,
        queue_limit: None,
        sender: Sender::default(),
        versions: None,
    };
    let Choice::Endpoint(chosen) = fleet.pool.choose(fleet.now, query) else {
        panic!("40 endpoints are available")
    };
    // The other boxes have too many tokens outstanding at the endpoint that this box would choose.
    let busy = Load { requests: 20, tokens: 20_000 };
    fleet.pool.set_others_load(fleet.now, chosen, busy);
    let elsewhere = (chosen + 1) % 40;
    fleet.pool.record_cached_parts(fleet.now, elsewhere, &[7]);
    assert_eq!(fleet.pool.choose(fleet.now, query), Choice::Endpoint(elsewhere));
    // The endpoint has to process the request's own part only; the load reported to all boxes
    // counts just that.
    assert_eq!(fleet.pool.begin_attempt(fleet.now, elsewhere, 1, Some(&work)), 300);
    assert_eq!(
        fleet.pool.take_new_parts(),
        [],
        "a part that others reported is not reported again"
    );
    // A cached part expires.
    fleet.advance(CACHED_PART_MAX_AGE);
    assert_eq!(fleet.pool.begin_attempt(fleet.now, elsewhere, 1, Some(&work)), 5_300);
}

#[test]
fn cached_part_is_reported_once_and_again_before_it_expires() {
    let mut fleet = Fleet::in_zones(&["a", "a"]);
    let work = work(300);
    fleet.pool.begin_attempt(fleet.now, 0, 1, Some(&work));
    fleet.pool.begin_attempt(fleet.now, 0, 1, Some(&work));
    assert_eq!(fleet.pool.take_new_parts(), [(0, 7)]);
    assert_eq!(fleet.pool.take_new_parts(), []);
    fleet.pool.begin_attempt(fleet.now, 1, 1, Some(&work));
    assert_eq!(fleet.pool.take_new_parts(), [(1, 7)]);
    fleet.advance(CACHED_PART_MAX_AGE / 2);
    fleet.pool.begin_attempt(fleet.now, 0, 1, Some(&work));
    assert_eq!(fleet.pool.take_new_parts(), [(0, 7)]);
}

/// Guards against requests that are refused because of load from other boxes although this box's
/// share of the limit is unused: no other box can use that share before this one is informed, so the
/// load from other boxes is no reason to refuse.
#[test]
fn box_uses_its_share_of_a_limit_however_loaded_the_others_are() {
    for seed in 0..20 {
        let mut fleet = Fleet::with_seed(&["a", "a"], seed);
        let now = Duration::from_secs(1_000);
        for endpoint in [0, 1] {
            let rate = "2".parse().expect("a rate");
            fleet.pool.set_limit(
                endpoint,
                AdvertisedLimit { born: 0, rate, lifted: false, seen_at: now },
            );
        }
        let number = Some(BoxNumber { number: 0, of: 1 });
        let query = Query {
            software: None,
            service: SERVICE,
            home: "a",
            avoid: &[],
            prefix: 0,
            work: None,
            isolation_hash: None,
            queue_limit: Some(QueueLimit {
                seconds_per_token: 0.001,
                max_wait: Duration::from_millis(500),
                unreported_tokens: 1_000_000.0,
                standing: None,
            }),
            sender: Sender { now, number },
            versions: None,
        };
        let choices: Vec<Choice> = (0..6).map(|_| fleet.pool.choose(fleet.now, query)).collect();
        let sent = choices.iter().filter(|choice| matches!(choice, Choice::Endpoint(_))).count();
        // Two requests a second at each endpoint, plus what rounding leaves over.
        assert!(sent >= 4, "seed {seed}: {choices:?}");
        assert_eq!(choices.last(), Some(&Choice::Limited), "seed {seed}");
    }
}

/// Guards against a back-off that ends early: by a shorter one, or by the response to a request
/// that was under way.
#[test]
fn endpoint_in_back_off_is_not_chosen_until_the_longest_back_off_is_over() {
    let mut fleet = Fleet::in_zones(&["a", "a"]);
    let over = fleet.now + Duration::from_secs(3);
    fleet.pool.back_off(0, over);
    fleet.pool.back_off(0, fleet.now + Duration::from_secs(1));
    fleet.pool.handle(fleet.now, 0, EndpointEvent::Answered, &mut Vec::new());
    fleet.advance(Duration::from_secs(2));
    for _ in 0..20 {
        assert_eq!(fleet.choose("a"), Choice::Endpoint(1));
    }

    fleet.pool.back_off(1, over + Duration::from_secs(1));
    assert_eq!(fleet.choose("a"), Choice::Unavailable { until: Some(over) });
    assert_eq!(fleet.pool.backoff_until(SERVICE), Some(over));
    fleet.now = over;
    assert_eq!(fleet.choose("a"), Choice::Endpoint(0));
}

/// Guards against versions that are forgotten with the endpoint that ran them, or mixed up between
/// services.
#[test]
fn software_versions_of_a_service_are_those_of_all_its_endpoints() {
    let now = Instant::now();
    let spec = |service, software: &str| EndpointSpec {
        name: software.to_owned(),
        service,
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: "a".to_owned(),
        box_name: software.to_owned(),
        reclaimable: false,
        max_open: 1,
        software: software.to_owned(),
    };
    let mut pool = Pool::new(vec![spec(0, "v1"), spec(1, "v3")], Policy::Random, 1);
    let versions = |pool: &Pool, service| pool.software_versions(service).cloned().collect();
    assert_eq!((versions(&pool, 0), versions(&pool, 2)), (vec!["v1".to_owned()], Vec::new()));
    let added = pool.add(spec(0, "v2"));
    pool.add(spec(0, "v1"));
    pool.handle(now, added, EndpointEvent::Removed, &mut Vec::new());
    assert_eq!(versions(&pool, 0), ["v1", "v2"]);
    assert_eq!(versions(&pool, 1), ["v3"]);
}

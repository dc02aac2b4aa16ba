//! Simulates entry boxes that send more requests to brittle endpoints than these can run, without
//! I/O.
//!
//! Each box has its own pool of endpoints and its own copy of the limits. What it knows of the
//! others is late: their open requests as well as the limits that follow from refusals. The bounds
//! are what operators allow, and half of what the endpoints' places can run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_limit::AdvertisedLimit;
use vaneway_limit::BoxNumber;
use vaneway_limit::EndpointLimit;
use vaneway_limit::EndpointLimits;
use vaneway_limit::Rate;
use vaneway_limit::Sender;
use vaneway_route::Choice;
use vaneway_route::EndpointId;
use vaneway_route::EndpointSpec;
use vaneway_route::Load;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::Query;

const SERVICE: u32 = 0;

/// Number of entry boxes.
const BOXES: u32 = 4;

/// Number of endpoints.
const ENDPOINTS: u32 = 2;

/// Requests that an endpoint runs at once.
const PLACES: u32 = 8;

/// Refusals a second that an endpoint bears.
const MAX_REFUSALS: usize = 4;

/// How long an endpoint runs a request.
const RUN_TIME: Duration = Duration::from_millis(400);

/// Time between two requests that arrive at a box: twice as much load as the places can run.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of reports to the control box, and of its updates to the entry boxes.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Network delay between an entry box and an endpoint, in milliseconds.
const ENDPOINT_DELAY_MS: Range<u64> = 1..4;

/// Network delay between an entry box and the control box, in milliseconds.
const CONTROL_DELAY_MS: Range<u64> = 15..50;

/// How much a request may arrive late at its box, in milliseconds.
const ARRIVAL_JITTER_MS: Range<u64> = 0..3;

/// The cluster time at the start.
const START: Duration = Duration::from_secs(1_700_000_000);

/// Number of simulations of a test.
const SEEDS: u64 = 60;

/// Numbers an entry box from 0.
type BoxId = usize;

enum Event {
    /// A request arrives at a box.
    Arrival(BoxId),
    /// A box's request arrives at an endpoint.
    AtEndpoint(BoxId, EndpointId),
    /// A box receives the head of the response to a request that runs.
    Accepted(BoxId, EndpointId),
    /// A box receives a refusal.
    Refused(BoxId, EndpointId),
    /// An endpoint completes a request.
    Completed(BoxId, EndpointId),
    /// A box receives the end of a response.
    Ended(BoxId, EndpointId),
    /// A box reports its open requests.
    Report(BoxId),
    /// The control box receives a box's open requests by endpoint.
    Reported(BoxId, Vec<u32>),
    /// The control box sends each box the open requests of the others.
    Publish,
    /// A box receives the open requests of the others.
    Others(BoxId, Vec<u32>),
    /// A box receives limits that another box observed.
    Limits(BoxId, Vec<EndpointLimit>),
}

struct EntryBox {
    pool: Pool,
    limits: EndpointLimits,
    number: BoxNumber,
}

struct Simulation {
    rng: Pcg64Mcg,
    started: Instant,
    /// Time since the start.
    now: Duration,
    boxes: Vec<EntryBox>,
    /// Number of requests that each endpoint runs.
    running: Vec<u32>,
    /// When each endpoint refused a request.
    refusals: Vec<Vec<Duration>>,
    /// Each box's open requests by endpoint, as the control box knows them.
    reported: Vec<Vec<u32>>,
    served: u32,
    events: BTreeMap<(Duration, u64), Event>,
    /// Number of events so far, which orders events of the same moment.
    count: u64,
}

fn name(endpoint: EndpointId) -> String {
    format!("i-{endpoint}")
}

fn spec(endpoint: EndpointId) -> EndpointSpec {
    EndpointSpec {
        name: name(endpoint),
        service: SERVICE,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + endpoint as u16)),
        availability_zone: "a".to_owned(),
        box_name: format!("box-{endpoint}"),
        reclaimable: false,
        max_open: 100,
        software: String::new(),
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let boxes = (0..BOXES).map(|number| {
            let specs = (0..ENDPOINTS).map(spec).collect();
            let mut pool = Pool::new(specs, Policy::ExpectedWork, seed ^ u64::from(number));
            for endpoint in 0..ENDPOINTS {
                pool.set_brittle(endpoint, Some(PLACES));
            }
            let number = BoxNumber { number, of: BOXES };
            EntryBox { pool, limits: EndpointLimits::default(), number }
        });
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            started: Instant::now(),
            now: Duration::ZERO,
            boxes: boxes.collect(),
            running: vec![0; ENDPOINTS as usize],
            refusals: vec![Vec::new(); ENDPOINTS as usize],
            reported: vec![vec![0; ENDPOINTS as usize]; BOXES as usize],
            served: 0,
            events: BTreeMap::new(),
            count: 0,
        }
    }

    /// Simulates callers that send requests to all boxes for a while, and waits for the responses.
    fn run(seed: u64, load_for: Duration) -> Self {
        let mut simulation = Self::new(seed);
        for entry_box in 0..simulation.boxes.len() {
            simulation.within(REPORT_INTERVAL, Event::Report(entry_box));
            let mut at = Duration::ZERO;
            while at < load_for {
                let jitter = simulation.draw(ARRIVAL_JITTER_MS);
                simulation.at(at + jitter, Event::Arrival(entry_box));
                at += ARRIVAL_INTERVAL;
            }
        }
        simulation.within(REPORT_INTERVAL, Event::Publish);
        let end = load_for + 2 * RUN_TIME;
        while let Some(((at, _), event)) = simulation.events.pop_first() {
            if at >= end {
                break;
            }
            simulation.now = at;
            simulation.handle(event);
        }
        simulation
    }

    fn draw(&mut self, range_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range_ms))
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn after(&mut self, delay_ms: Range<u64>, event: Event) {
        let delay = self.draw(delay_ms);
        self.at(self.now + delay, event);
    }

    /// Schedules an event at a moment drawn from the next `time`.
    fn within(&mut self, time: Duration, event: Event) {
        self.after(0..time.as_millis() as u64, event);
    }

    fn instant(&self) -> Instant {
        self.started + self.now
    }

    fn handle(&mut self, event: Event) {
        let now = self.instant();
        match event {
            Event::Arrival(from) => self.send(from),
            Event::AtEndpoint(from, to) => self.arrive(from, to),
            Event::Accepted(at, endpoint) => {
                let limits = &mut self.boxes[at].limits;
                let lifted = limits.record_response(START + self.now, &name(endpoint), 0, None);
                self.apply(at, endpoint, lifted);
            }
            Event::Refused(at, endpoint) => {
                self.boxes[at].pool.end_attempt(endpoint, 0, false);
                self.boxes[at].pool.record_refusal(now, endpoint);
                let borne: Rate = MAX_REFUSALS.to_string().parse().expect("a rate");
                let limits = &mut self.boxes[at].limits;
                let limit =
                    limits.record_refusal(START + self.now, &name(endpoint), 0, borne.quarter());
                self.apply(at, endpoint, limit);
            }
            Event::Completed(from, endpoint) => {
                self.running[endpoint as usize] -= 1;
                self.served += 1;
                self.after(ENDPOINT_DELAY_MS, Event::Ended(from, endpoint));
            }
            Event::Ended(at, endpoint) => self.boxes[at].pool.end_attempt(endpoint, 0, false),
            Event::Report(from) => {
                let pool = &self.boxes[from].pool;
                let open = (0..ENDPOINTS).map(|endpoint| pool.get(endpoint).open).collect();
                self.after(CONTROL_DELAY_MS, Event::Reported(from, open));
                self.at(self.now + REPORT_INTERVAL, Event::Report(from));
            }
            Event::Reported(from, open) => self.reported[from] = open,
            Event::Publish => self.publish(),
            Event::Others(at, open) => {
                for (endpoint, requests) in open.into_iter().enumerate() {
                    let load = Load { requests, tokens: 0 };
                    self.boxes[at].pool.set_others_load(now, endpoint as EndpointId, load);
                }
            }
            Event::Limits(at, limits) => {
                let time = START + self.now;
                let entry_box = &mut self.boxes[at];
                for changed in entry_box.limits.merge(time, &limits) {
                    let endpoint = (0..ENDPOINTS).find(|id| name(*id) == changed.endpoint);
                    entry_box.pool.set_limit(endpoint.expect("a known endpoint"), changed.limit);
                }
            }
        }
    }

    /// Sends a request to an endpoint that a box chooses; without one it is refused by the box.
    fn send(&mut self, from: BoxId) {
        let now = self.instant();
        let EntryBox { pool, number, .. } = &mut self.boxes[from];
        let sender = Sender { now: START + self.now, number: Some(*number) };
        let query = Query { service: SERVICE, home: "a", sender, ..Query::default() };
        if let Choice::Endpoint(endpoint) = pool.choose(now, query) {
            pool.begin_attempt(now, endpoint, 0, None);
            self.after(ENDPOINT_DELAY_MS, Event::AtEndpoint(from, endpoint));
        }
    }

    fn arrive(&mut self, from: BoxId, endpoint: EndpointId) {
        let running = &mut self.running[endpoint as usize];
        if *running >= PLACES {
            self.refusals[endpoint as usize].push(self.now);
            return self.after(ENDPOINT_DELAY_MS, Event::Refused(from, endpoint));
        }
        *running += 1;
        self.after(ENDPOINT_DELAY_MS, Event::Accepted(from, endpoint));
        self.at(self.now + RUN_TIME, Event::Completed(from, endpoint));
    }

    /// Applies a limit that follows from a response at a box, and sends it to the others.
    fn apply(&mut self, at: BoxId, endpoint: EndpointId, limit: Option<AdvertisedLimit>) {
        let Some(limit) = limit else { return };
        let entry_box = &mut self.boxes[at];
        entry_box.pool.set_limit(endpoint, limit);
        let updates = entry_box.limits.take_updates();
        for to in (0..self.boxes.len()).filter(|to| *to != at) {
            let to_control = self.draw(CONTROL_DELAY_MS);
            let to_box = self.draw(CONTROL_DELAY_MS);
            self.at(self.now + to_control + to_box, Event::Limits(to, updates.clone()));
        }
    }

    fn publish(&mut self) {
        let sum = |endpoint: usize| self.reported.iter().map(|open| open[endpoint]).sum::<u32>();
        let all: Vec<u32> = (0..ENDPOINTS as usize).map(sum).collect();
        for to in 0..self.boxes.len() {
            let own = &self.reported[to];
            let others = all.iter().zip(own).map(|(all, own)| all - own).collect();
            self.after(CONTROL_DELAY_MS, Event::Others(to, others));
        }
        self.at(self.now + REPORT_INTERVAL, Event::Publish);
    }

    /// The most refusals of an endpoint within a second.
    fn most_refusals(&self) -> usize {
        let in_a_second = |times: &[Duration], first: Duration| {
            times.iter().filter(|at| **at >= first && **at < first + Duration::from_secs(1)).count()
        };
        let most = |times: &Vec<Duration>| {
            times.iter().map(|first| in_a_second(times, *first)).max().unwrap_or_default()
        };
        self.refusals.iter().map(most).max().unwrap_or_default()
    }
}

/// Simulates a load of that duration; each time no endpoint may refuse more than it bears, and half
/// of what the places can run must be served.
fn check(load_for: Duration) {
    let places = f64::from(ENDPOINTS * PLACES);
    let half = places * load_for.as_secs_f64() / RUN_TIME.as_secs_f64() / 2.0;
    for seed in 0..SEEDS {
        let simulation = Simulation::run(seed, load_for);
        let (served, refusals) = (simulation.served, simulation.most_refusals());
        assert!(
            f64::from(served) >= half,
            "seed {seed}: {served} served, at least {half} expected"
        );
        assert!(refusals <= MAX_REFUSALS, "seed {seed}: {refusals} refusals in a second");
    }
}

/// Guards against a single refusal after which boxes send a brittle endpoint hardly anything for
/// seconds, though its places are free.
#[test]
fn refusal_does_not_leave_the_places_of_a_brittle_endpoint_empty() {
    check(Duration::from_secs(3));
}

/// Guards against brittle endpoints that are limited again and again under a lasting load.
#[test]
fn places_of_brittle_endpoints_are_used_under_a_lasting_load() {
    check(Duration::from_secs(20));
}

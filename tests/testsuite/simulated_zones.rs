//! Simulated availability zones with entry boxes and endpoints, of which some zones have too few.
//!
//! The product's pools choose the endpoints. Each endpoint processes one request after the other, at
//! a fixed speed; boxes receive the loads of 100 ms before, every 100 ms.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_limit::BoxNumber;
use vaneway_limit::Sender;
use vaneway_route::Choice;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::LeavingZone;
use vaneway_route::Load;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::PromptPart;
use vaneway_route::Query;
use vaneway_route::QueueLimit;
use vaneway_route::Work;

use crate::support::simulated_engines;

/// Names of the zones.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Endpoints of a zone that lacks none.
pub(crate) const ENDPOINTS: u32 = 12;

/// Time that an endpoint takes for a prompt token.
pub(crate) const SECONDS_PER_TOKEN: f64 = 40e-6;

/// Time from a request's arrival to the first event within which it is in time.
const OBJECTIVE: Duration = Duration::from_millis(800);

/// Network delay in one direction between zones.
pub(crate) const DELAY: Duration = Duration::from_millis(1);

/// Time between two load updates, and their age on arrival.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Resolution of the simulated time.
const TICK: Duration = Duration::from_millis(1);

/// Window in which the share of requests that leave a zone is measured.
const WINDOW: Duration = Duration::from_millis(250);

/// What is simulated.
#[derive(Debug, Clone)]
pub(crate) struct Zones {
    pub(crate) boxes: u32,
    /// Demand of each zone as a share of what [`ENDPOINTS`] endpoints serve, by time.
    pub(crate) demand: fn(usize, Duration) -> f64,
    /// Endpoints that each zone has.
    pub(crate) endpoints: [u32; 4],
    /// Mean tokens of a prompt; 0 for a plain service, whose requests take as long as 300 tokens.
    pub(crate) prompt_tokens: u32,
    /// Tokens of a response.
    pub(crate) response_tokens: u32,
    /// None for the policy's own preference of the home zone.
    pub(crate) leaving: Option<LeavingZone>,
    /// Time in which boxes receive no loads.
    pub(crate) dark: std::ops::Range<Duration>,
    /// Time in which the endpoints of the first zone are gone.
    pub(crate) cut: std::ops::Range<Duration>,
}

/// Results.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// Requests in time, as a share of those that the best split serves.
    pub(crate) in_time: f64,
    /// Mean wait of the requests that were sent, in milliseconds.
    pub(crate) wait_ms: f64,
    /// Share of all requests that left their zone.
    pub(crate) left: f64,
    /// Share that must leave in the best split.
    pub(crate) must_leave: f64,
    /// Changes from few to many requests that leave a zone, per minute and zone.
    pub(crate) swings: f64,
    /// Requests that left, of the last second.
    pub(crate) left_at_end: u32,
}

/// Start and end of the measured time.
const MEASURED: std::ops::Range<Duration> = Duration::from_secs(2)..Duration::from_secs(10);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Response(usize, EndpointId, u64),
    Request(usize, EndpointId),
}

impl Zones {
    fn seconds(&self, tokens: u32) -> f64 {
        f64::from(if self.prompt_tokens == 0 { 300 } else { tokens }) * SECONDS_PER_TOKEN
    }

    fn pools(&self, seed: u64) -> Vec<Pool> {
        let mut specs = simulated_engines(self.endpoints.iter().sum());
        let zones = self.endpoints.iter().zip(ZONES);
        let zones = zones.flat_map(|(count, zone)| (0..*count).map(move |_| zone));
        specs.iter_mut().zip(zones).for_each(|(spec, zone)| spec.availability_zone = zone.into());
        let policy =
            if self.prompt_tokens == 0 { Policy::TwoChoices } else { Policy::ExpectedWork };
        let pool = |i: u32| {
            let mut pool = Pool::new(specs.clone(), policy, seed * 1_000 + u64::from(i));
            if let Some(leaving) = &self.leaving {
                pool.set_leaving_zone(leaving.clone());
            }
            pool
        };
        (0..self.boxes).map(pool).collect()
    }

    /// Requests in time and those that must leave, per second, in the best split.
    fn best(&self, at: Duration) -> (f64, f64) {
        let is_cut = self.cut.contains(&at);
        let (mut served, mut missing, mut spare) = (0.0, 0.0, 0.0);
        for zone in 0..ZONES.len() {
            let demand = self.rate(zone, at);
            let count = if is_cut && zone == 0 { 0 } else { self.endpoints[zone] };
            let capacity = f64::from(count) / self.seconds(self.prompt_tokens);
            served += demand.min(capacity);
            missing += (demand - capacity).max(0.0);
            spare += (capacity - demand).max(0.0);
        }
        (served + f64::min(missing, spare), f64::min(missing, spare))
    }

    /// Requests a second of a zone.
    fn rate(&self, zone: usize, at: Duration) -> f64 {
        (self.demand)(zone, at) * f64::from(ENDPOINTS) / self.seconds(self.prompt_tokens)
    }

    pub(crate) fn run(&self, seed: u64) -> Outcome {
        let start = Instant::now();
        let total: u32 = self.endpoints.iter().sum();
        let windows = (MEASURED.end.as_millis() / WINDOW.as_millis()) as usize;
        let mut run = Run {
            zones: self,
            now: start,
            elapsed: Duration::ZERO,
            random: Pcg64Mcg::seed_from_u64(seed),
            pools: self.pools(seed),
            busy_until: vec![start; total as usize],
            ends: BinaryHeap::new(),
            in_transit: Vec::new(),
            number: 0,
            totals: Totals::default(),
            by_window: vec![[(0.0, 0.0); ZONES.len()]; windows],
        };
        while run.elapsed < MEASURED.end {
            run.tick();
            run.elapsed += TICK;
            run.now += TICK;
        }
        let outcome = run.outcome();
        println!("{} boxes, seed {seed}: {outcome:?}", self.boxes);
        outcome
    }
}

/// Sums over the measured time.
#[derive(Debug, Default)]
struct Totals {
    offered: f64,
    sent: f64,
    in_time: f64,
    left: f64,
    wait_ms: f64,
    best: f64,
    must_leave: f64,
    left_at_end: u32,
}

/// A running simulation.
struct Run<'a> {
    zones: &'a Zones,
    now: Instant,
    elapsed: Duration,
    random: Pcg64Mcg,
    pools: Vec<Pool>,
    busy_until: Vec<Instant>,
    ends: BinaryHeap<Reverse<(Instant, End)>>,
    in_transit: Vec<Vec<Load>>,
    number: u64,
    totals: Totals,
    /// Requests sent and those that left, by window and zone.
    by_window: Vec<[(f64, f64); ZONES.len()]>,
}

impl Run<'_> {
    fn tick(&mut self) {
        self.end_requests();
        self.apply_cut();
        let is_due = self.elapsed.as_millis().is_multiple_of(EXCHANGE_INTERVAL.as_millis());
        if is_due && !self.zones.dark.contains(&self.elapsed) {
            exchange(&mut self.pools, &mut self.in_transit, self.now);
        }
        if MEASURED.contains(&self.elapsed) {
            let (served, leaving) = self.zones.best(self.elapsed);
            self.totals.best += served * TICK.as_secs_f64();
            self.totals.must_leave += leaving * TICK.as_secs_f64();
        }
        for zone in 0..ZONES.len() {
            let rate = self.zones.rate(zone, self.elapsed) * TICK.as_secs_f64();
            let extra = self.random.random_bool(rate.fract());
            for _ in 0..rate.floor() as u32 + u32::from(extra) {
                self.send(zone);
            }
        }
    }

    fn end_requests(&mut self) {
        while self.ends.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, end))) = self.ends.pop() else { break };
            match end {
                End::Response(i, id, tokens) => self.pools[i].begin_response(self.now, id, tokens),
                End::Request(i, id) => self.pools[i].end_attempt(id, 0, true),
            }
        }
    }

    fn send(&mut self, zone: usize) {
        let Zones { boxes, prompt_tokens, response_tokens, .. } = *self.zones;
        self.number += 1;
        let of_zone = (boxes + ZONES.len() as u32 - 1 - zone as u32) / ZONES.len() as u32;
        let i = zone + ZONES.len() * self.random.random_range(0..of_zone) as usize;
        let tokens = (f64::from(prompt_tokens) * self.random.random_range(0.5..1.5)) as u32;
        let parts = vec![PromptPart { id: self.number, tokens }];
        let work = Work { prompt_tokens: tokens, max_tokens: response_tokens, parts };
        let rate: f64 = (0..ZONES.len()).map(|zone| self.zones.rate(zone, self.elapsed)).sum();
        let queue_limit = QueueLimit {
            seconds_per_token: SECONDS_PER_TOKEN,
            max_wait: OBJECTIVE.mul_f64(0.8),
            unreported_tokens: rate * 0.2 * f64::from(prompt_tokens),
            standing: None,
        };
        let number = Some(BoxNumber { number: i as u32, of: boxes });
        let query = Query {
            home: ZONES[zone],
            work: Some(&work).filter(|_| tokens > 0),
            queue_limit: Some(queue_limit).filter(|_| tokens > 0),
            sender: Sender { now: self.elapsed, number },
            ..Query::default()
        };
        let is_measured = MEASURED.contains(&self.elapsed);
        self.totals.offered += f64::from(u8::from(is_measured));
        let Choice::Endpoint(id) = self.pools[i].choose(self.now, query) else { return };
        let counted = self.pools[i].begin_attempt(self.now, id, 1, query.work);
        let begins = self.busy_until[id as usize].max(self.now);
        let responds = begins + Duration::from_secs_f64(self.zones.seconds(tokens));
        self.busy_until[id as usize] = responds;
        self.ends.push(Reverse((responds, End::Response(i, id, counted))));
        let ended = responds + Duration::from_millis(u64::from(response_tokens)) + TICK;
        self.ends.push(Reverse((ended, End::Request(i, id))));
        let has_left = pools_zone(&self.zones.endpoints, id) != zone;
        let window = (self.elapsed.as_millis() / WINDOW.as_millis()) as usize;
        self.by_window[window][zone].0 += 1.0;
        self.by_window[window][zone].1 += f64::from(u8::from(has_left));
        if is_measured {
            let way = if has_left { 2 * DELAY } else { Duration::ZERO };
            self.record(has_left, begins + way, responds + way);
        }
    }

    fn record(&mut self, has_left: bool, begins: Instant, responds: Instant) {
        let totals = &mut self.totals;
        totals.sent += 1.0;
        totals.left += f64::from(u8::from(has_left));
        totals.wait_ms += begins.duration_since(self.now).as_secs_f64() * 1_000.0;
        totals.in_time += f64::from(u8::from(responds <= self.now + OBJECTIVE));
        let is_last_second = self.elapsed + Duration::from_secs(1) >= MEASURED.end;
        totals.left_at_end += u32::from(has_left && is_last_second);
    }

    /// The endpoints of the first zone are gone while it is cut off.
    fn apply_cut(&mut self) {
        let event = match self.elapsed {
            _ if self.zones.cut.is_empty() => return,
            at if at == self.zones.cut.start => EndpointEvent::Removed,
            at if at == self.zones.cut.end => EndpointEvent::Replaced,
            _ => return,
        };
        for pool in &mut self.pools {
            for id in 0..self.zones.endpoints[0] {
                pool.handle(self.now, id, event, &mut Vec::new());
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let minutes = MEASURED.end.saturating_sub(MEASURED.start).as_secs_f64() / 60.0;
        let totals = &self.totals;
        Outcome {
            in_time: totals.in_time / totals.best,
            wait_ms: totals.wait_ms / totals.sent,
            left: totals.left / totals.offered,
            must_leave: totals.must_leave / totals.offered,
            swings: swings(&self.by_window) / minutes / ZONES.len() as f64,
            left_at_end: totals.left_at_end,
        }
    }
}

fn pools_zone(endpoints: &[u32; 4], id: EndpointId) -> usize {
    let mut first = 0;
    endpoints
        .iter()
        .position(|count| {
            first += count;
            id < first
        })
        .expect("an endpoint of a zone")
}

/// Delivers the loads of the exchange before, and takes those of now.
fn exchange(pools: &mut [Pool], in_transit: &mut Vec<Vec<Load>>, now: Instant) {
    let own = |pool: &Pool| -> Vec<Load> {
        let load = |e: &vaneway_route::Endpoint| Load { requests: e.open, tokens: e.open_tokens };
        pool.endpoints().iter().map(load).collect()
    };
    let before = std::mem::replace(in_transit, pools.iter().map(own).collect());
    let Some(count) = before.first().map(Vec::len) else { return };
    let sum = |id: usize| {
        let loads = before.iter().map(|loads| loads[id]);
        loads.fold(Load::default(), |a, b| Load {
            requests: a.requests + b.requests,
            tokens: a.tokens + b.tokens,
        })
    };
    let sums: Vec<Load> = (0..count).map(sum).collect();
    for (pool, own) in pools.iter_mut().zip(&before) {
        for (id, (sum, own)) in sums.iter().zip(own).enumerate() {
            let others =
                Load { requests: sum.requests - own.requests, tokens: sum.tokens - own.tokens };
            pool.set_others_load(now, id as EndpointId, others);
        }
    }
}

/// Number of times that the share of requests that leave a zone rises from 0.25 below its mean, or
/// less, to 0.25 above it, or more.
fn swings(by_window: &[[(f64, f64); ZONES.len()]]) -> f64 {
    let first = (MEASURED.start.as_millis() / WINDOW.as_millis()) as usize;
    let mut count = 0.0;
    for zone in 0..ZONES.len() {
        let shares = by_window[first..].iter().map(|window| window[zone]);
        let shares: Vec<f64> = shares.map(|(sent, left)| left / f64::max(sent, 1.0)).collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let mut was_low = false;
        for share in shares {
            was_low |= share <= mean - 0.25;
            if was_low && share >= mean + 0.25 {
                count += 1.0;
                was_low = false;
            }
        }
    }
    count
}

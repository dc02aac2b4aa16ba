//! A simulated fleet of entry boxes and of engines most of which are reclaimed within seconds.
//!
//! The product's pools choose the endpoint of a request and decide whether it can be in time;
//! engines, callers and the load reports between boxes are simulated from a seed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_limit::Sender;
use vaneway_quota::Demand;
use vaneway_route::Arrival;
use vaneway_route::Choice;
use vaneway_route::Claim;
use vaneway_route::Competitors;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::FairShares;
use vaneway_route::Load;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::PromptPart;
use vaneway_route::Query;
use vaneway_route::QueueLimit;
use vaneway_route::Work;

use crate::simulated_demand::Caller;
use crate::simulated_demand::Decisions;
use crate::simulated_demand::Outcome;
use crate::simulated_demand::RequestClass;
use crate::simulated_demand::Surge;
use crate::support::simulated_engines;

/// Parameters of a simulation: the fleet, its load and the shortage.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shortage<'a> {
    pub(crate) boxes: usize,
    pub(crate) engines: u32,
    pub(crate) classes: &'a [RequestClass],
    /// When engines are reclaimed, and how many.
    pub(crate) losses: &'a [(Duration, u32)],
    /// When all engines are available again.
    pub(crate) restored_at: Duration,
    pub(crate) duration: Duration,
    /// Share of the objective that a request may wait in the queue; `None` to send requests
    /// wherever an endpoint has free capacity.
    pub(crate) queue_share: Option<f64>,
    /// The organisations that send the requests.
    pub(crate) callers: &'a [Caller],
    pub(crate) surges: &'a [Surge],
    /// Whether boxes decide by rank and organisation; `None` for pools without these decisions.
    pub(crate) decisions: Option<Decisions>,
}

/// One organisation that sends all requests.
pub(crate) const ONE_CALLER: [Caller; 1] =
    [Caller { part: 1.0, weight: 1.0, retry_delay_s: (0.6, 1.4) }];

/// Results of a simulation: values by second of arrival.
#[derive(Debug)]
pub(crate) struct Served {
    pub(crate) in_time: Vec<f64>,
    pub(crate) late: Vec<f64>,
    pub(crate) offered: Vec<f64>,
    /// Upper bound of what any scheduler could have served in time.
    pub(crate) bound: Vec<f64>,
    /// All requests.
    pub(crate) outcomes: Vec<Outcome>,
}

/// Prompt tokens that an engine processes per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 32.4;

/// Duration of an engine step besides prompt processing, in milliseconds.
const STEP_OVERHEAD_MS: f64 = 6.12;

/// Prompt tokens that a step processes at most.
const MAX_PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Time per prompt token of an engine that is never idle, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 =
    1.0 / PREFILL_TOKENS_PER_MS + STEP_OVERHEAD_MS / MAX_PREFILL_TOKENS_PER_STEP as f64;

/// Requests that an engine runs concurrently.
const BATCH_SLOTS: usize = 96;

/// Value of a request that was refused, is retried, and is in time counted from the retry, as a
/// share of its full value: the mean of a request in time and a late one.
const RETRIED_VALUE: f64 = 0.55;

/// Number of waiting requests at which an engine refuses further ones.
const MAX_WAITING: usize = 96;

/// Time between two exchanges of open requests and cached prompt parts between boxes.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

type RequestNumber = usize;

#[derive(Debug, Clone, Copy)]
struct Request {
    class: usize,
    organisation: usize,
    arrived: Instant,
    /// When the caller last sent it.
    sent: Instant,
    attempts: u32,
    /// Whether its response has started.
    started: bool,
    /// Index of the entry box that serves it.
    box_index: usize,
    /// Uncached prompt tokens that the box's pool counts for it.
    counted_tokens: u64,
}

#[derive(Debug, Default)]
struct Engine {
    down: bool,
    /// Requests with the prompt tokens that are still to process.
    waiting: VecDeque<(RequestNumber, u32)>,
    /// Requests with the response tokens that are still to generate.
    running: Vec<(RequestNumber, u32)>,
    /// When the current step ends; `None` if the engine is idle.
    free_at: Option<Instant>,
}

pub(crate) struct SimulatedShortage<'a> {
    shortage: Shortage<'a>,
    start: Instant,
    now: Instant,
    random: Pcg64Mcg,
    pools: Vec<Pool>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    /// Requests that callers will send, each with its time.
    pending: Vec<(Instant, RequestNumber)>,
    served: Served,
    /// Prompt tokens that callers send per second, averaged over about the last second.
    inflow: f64,
    /// The demand that each box counts.
    competitors: Vec<Competitors>,
    /// Demand of each organisation at all boxes, and what boxes received of it last.
    demands: Vec<Demand>,
    known_shares: FairShares,
}

/// Resolution of the simulated time.
const TICK: Duration = Duration::from_millis(1);

impl<'a> SimulatedShortage<'a> {
    pub(crate) fn run(shortage: Shortage<'a>, seed: u64) -> Served {
        println!("queue share {:?}, seed {seed}", shortage.queue_share);
        let now = Instant::now();
        let seconds = shortage.duration.as_secs() as usize + 1;
        let zeros = || vec![0.0; seconds];
        let served = Served {
            in_time: zeros(),
            late: zeros(),
            offered: zeros(),
            bound: zeros(),
            outcomes: Vec::new(),
        };
        let mut fleet = Self {
            shortage,
            start: now,
            now,
            random: Pcg64Mcg::seed_from_u64(seed),
            pools: (0..shortage.boxes).map(|i| pool(shortage.engines, seed + i as u64)).collect(),
            engines: (0..shortage.engines).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            pending: Vec::new(),
            served,
            inflow: 0.0,
            competitors: (0..shortage.boxes).map(|_| Competitors::default()).collect(),
            demands: vec![Demand::default(); shortage.callers.len()],
            known_shares: FairShares::new(BTreeMap::new()),
        };
        let end = now + shortage.duration;
        let mut exchange_at = now;
        while fleet.now < end {
            fleet.apply_losses();
            fleet.generate_arrivals();
            fleet.send_due();
            fleet.step_engines();
            if fleet.now >= exchange_at {
                fleet.exchange_loads();
                exchange_at += EXCHANGE_INTERVAL;
            }
            fleet.now += TICK;
            // Exponential average with a time constant of one second.
            fleet.inflow *= 1.0 - TICK.as_secs_f64();
        }
        fleet.compute_bound();
        fleet.served
    }

    fn second(&self, at: Instant) -> usize {
        (at - self.start).as_secs() as usize
    }

    fn apply_losses(&mut self) {
        let elapsed = self.now - self.start;
        for (at, count) in self.shortage.losses {
            if elapsed == *at {
                let up: Vec<usize> =
                    (0..self.engines.len()).filter(|i| !self.engines[*i].down).collect();
                for i in up.into_iter().take(*count as usize) {
                    self.reclaim_engine(i);
                }
            }
        }
        if elapsed == self.shortage.restored_at {
            for i in 0..self.engines.len() {
                self.engines[i].down = false;
                for pool in &mut self.pools {
                    let id = i as EndpointId;
                    pool.handle(self.now, id, EndpointEvent::Replaced, &mut Vec::new());
                }
            }
        }
    }

    /// Reclaims an engine; all boxes are informed, and its requests are sent again.
    fn reclaim_engine(&mut self, i: usize) {
        let engine = &mut self.engines[i];
        engine.down = true;
        engine.free_at = None;
        let lost: Vec<_> = engine.waiting.drain(..).chain(engine.running.drain(..)).collect();
        for (request, _) in lost {
            self.end_request(request, i as EndpointId);
            self.pending.push((self.now + TICK, request));
        }
        for pool in &mut self.pools {
            pool.handle(self.now, i as EndpointId, EndpointEvent::Removed, &mut Vec::new());
        }
    }

    fn generate_arrivals(&mut self) {
        let kinds = self.shortage.classes.iter().enumerate();
        let by_caller =
            |(class, spec)| (0..self.shortage.callers.len()).map(move |o| (class, spec, o));
        for (class, spec, organisation) in kinds.flat_map(by_caller) {
            let rate = self.shortage.rate(class, organisation, self.now - self.start);
            if self.random.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                let request = Request {
                    class,
                    organisation,
                    arrived: self.now,
                    sent: self.now,
                    attempts: 0,
                    started: false,
                    box_index: 0,
                    counted_tokens: 0,
                };
                self.requests.push(request);
                self.served.outcomes.push(Outcome {
                    class,
                    organisation,
                    arrived: self.now - self.start,
                    served: None,
                    is_in_time: false,
                });
                self.pending.push((self.now, self.requests.len() - 1));
                let second = self.second(self.now);
                self.served.offered[second] += spec.value;
            }
        }
    }

    fn send_due(&mut self) {
        let now = self.now;
        let (due, later) = self.pending.iter().partition(|(at, _)| *at <= now);
        self.pending = later;
        let due: Vec<(Instant, RequestNumber)> = due;
        for (_, request) in due {
            self.send(request);
        }
    }

    fn send(&mut self, number: RequestNumber) {
        let box_index = self.random.random_range(0..self.pools.len());
        let request = &mut self.requests[number];
        request.box_index = box_index;
        request.sent = self.now;
        request.attempts += 1;
        let spec = self.shortage.classes[request.class];
        self.inflow += f64::from(spec.prompt.1);
        let request = &mut self.requests[number];
        let work = work(number, request.class, spec);
        let left = spec.objective.saturating_sub(self.now - request.arrived);
        let Request { attempts, organisation, .. } = *request;
        let queue_limit = self.shortage.queue_share.map(|share| QueueLimit {
            seconds_per_token: PREFILL_MS_PER_TOKEN / 1_000.0,
            max_wait: if attempts > 1 {
                spec.objective.mul_f64(share)
            } else {
                left.mul_f64(share)
            },
            unreported_tokens: self.inflow * EXCHANGE_INTERVAL.as_secs_f64(),
            standing: None,
        });
        let queue_limit =
            queue_limit.map(|limit| self.compete(limit, box_index, spec, organisation));
        let query = Query {
            software: None,
            service: 0,
            home: "a",
            avoid: &[],
            prefix: 0,
            work: Some(&work),
            isolation_hash: None,
            queue_limit,
            sender: Sender::default(),
            versions: None,
        };
        let pool = &mut self.pools[box_index];
        let Choice::Endpoint(endpoint) = pool.choose(self.now, query) else {
            return self.refuse(number);
        };
        let uncached_tokens = pool.begin_attempt(self.now, endpoint, 0, Some(&work));
        self.requests[number].counted_tokens = uncached_tokens;
        let engine = &mut self.engines[endpoint as usize];
        if engine.waiting.len() >= MAX_WAITING {
            self.end_request(number, endpoint);
            return self.refuse(number);
        }
        engine.waiting.push_back((number, uncached_tokens as u32));
        engine.free_at.get_or_insert(self.now);
    }

    /// Applies the decisions by rank and organisation to the limit of a request.
    fn compete(
        &mut self,
        limit: QueueLimit,
        box_index: usize,
        spec: RequestClass,
        organisation: usize,
    ) -> QueueLimit {
        let since_start = self.now - self.start;
        self.demands[organisation].add(since_start, f64::from(spec.prompt.1));
        let (Some(decisions), Some(share)) = (self.shortage.decisions, self.shortage.queue_share)
        else {
            return limit;
        };
        let now = self.now;
        let name = organisation_name(organisation);
        let rank = if decisions.order { spec.rank } else { 0 };
        let competitors = &mut self.competitors[box_index];
        competitors.count(
            now,
            Arrival {
                rank,
                organisation: &name,
                tokens: f64::from(spec.prompt.1),
                objective: spec.objective,
            },
        );
        let shares = Some(&self.known_shares).filter(|_| decisions.shares);
        competitors.limit(now, (rank, &name), shares, share, limit)
    }

    /// Refuses a request; its caller retries once.
    fn refuse(&mut self, number: RequestNumber) {
        if self.requests[number].attempts < 2 {
            let (least, most) =
                self.shortage.callers[self.requests[number].organisation].retry_delay_s;
            let wait = Duration::from_secs_f64(self.random.random_range(least..most));
            self.pending.push((self.now + wait, number));
        }
    }

    fn end_request(&mut self, number: RequestNumber, endpoint: EndpointId) {
        let Request { box_index, counted_tokens, started, .. } = self.requests[number];
        let tokens = if started { 0 } else { counted_tokens };
        self.pools[box_index].end_attempt(endpoint, tokens, started);
        self.requests[number].started = false;
    }

    fn step_engines(&mut self) {
        for i in 0..self.engines.len() {
            if self.engines[i].free_at.is_some_and(|at| at <= self.now) {
                self.step(i);
            }
        }
    }

    /// One engine step: a token for each running request, and a chunk of the next prompts.
    fn step(&mut self, i: usize) {
        let engine = &mut self.engines[i];
        let mut finished = Vec::new();
        for run in &mut engine.running {
            run.1 = run.1.saturating_sub(1);
            if run.1 == 0 {
                finished.push(run.0);
            }
        }
        engine.running.retain(|run| run.1 > 0);
        let mut prefilled = 0;
        let mut started_now = Vec::new();
        let mut given_up = Vec::new();
        while prefilled < MAX_PREFILL_TOKENS_PER_STEP
            && engine.running.len() + started_now.len() < BATCH_SLOTS
        {
            let Some((number, uncached_tokens)) = engine.waiting.front_mut() else { break };
            let request = &self.requests[*number];
            let spec = self.shortage.classes[request.class];
            if self.now - request.sent > spec.caller_timeout {
                given_up.push(*number);
                engine.waiting.pop_front();
                continue;
            }
            let chunk = (*uncached_tokens).min(MAX_PREFILL_TOKENS_PER_STEP - prefilled);
            *uncached_tokens -= chunk;
            prefilled += chunk;
            if *uncached_tokens == 0 {
                started_now.push((*number, spec.response_tokens));
                engine.waiting.pop_front();
            }
        }
        let step_time = Duration::from_secs_f64(
            (STEP_OVERHEAD_MS + f64::from(prefilled) / PREFILL_TOKENS_PER_MS) / 1_000.0,
        );
        let idle = engine.waiting.is_empty() && engine.running.is_empty() && started_now.is_empty();
        engine.free_at = (!idle).then_some(self.now + step_time);
        engine.running.extend(&started_now);
        for number in finished {
            self.end_request(number, i as EndpointId);
        }
        for number in given_up {
            self.end_request(number, i as EndpointId);
            self.refuse(number);
        }
        for (number, _) in started_now {
            self.start_response(number, i as EndpointId, self.now + step_time);
        }
    }

    fn start_response(&mut self, number: RequestNumber, endpoint: EndpointId, at: Instant) {
        let request = &mut self.requests[number];
        request.started = true;
        let request = *request;
        self.pools[request.box_index].begin_response(self.now, endpoint, request.counted_tokens);
        let spec = self.shortage.classes[request.class];
        let second = self.second(request.arrived);
        let outcome = &mut self.served.outcomes[number];
        outcome.served = Some(at - self.start);
        outcome.is_in_time = at - request.sent <= spec.objective;
        if at - request.arrived <= spec.objective {
            self.served.in_time[second] += spec.value;
        } else if at - request.sent <= spec.objective {
            self.served.in_time[second] += spec.value * RETRIED_VALUE;
        } else {
            self.served.late[second] += spec.value / 10.0;
        }
    }

    /// Informs all boxes of the others' open requests and of newly cached prompt parts.
    fn exchange_loads(&mut self) {
        let since_start = self.now - self.start;
        let demands = self.demands.iter().map(|demand| demand.rate(since_start));
        let callers = self.shortage.callers.iter().zip(demands).enumerate();
        let claim = |(i, (caller, demand)): (usize, (&Caller, f64))| {
            (organisation_name(i), Claim { demand, weight: caller.weight })
        };
        self.known_shares = FairShares::new(callers.map(claim).collect());
        let new_parts: Vec<_> = self.pools.iter_mut().flat_map(Pool::take_new_parts).collect();
        for pool in &mut self.pools {
            for (endpoint, part) in &new_parts {
                pool.record_cached_parts(self.now, *endpoint, &[*part]);
            }
        }
        for endpoint in 0..self.shortage.engines {
            let own = |pool: &Pool| {
                let endpoint = pool.get(endpoint);
                Load { requests: endpoint.open, tokens: endpoint.open_tokens }
            };
            let all = self.pools.iter().map(own).fold(Load::default(), |all, one| Load {
                requests: all.requests + one.requests,
                tokens: all.tokens + one.tokens,
            });
            for pool in &mut self.pools {
                let one = own(pool);
                let others =
                    Load { requests: all.requests - one.requests, tokens: all.tokens - one.tokens };
                pool.set_others_load(self.now, endpoint, others);
            }
        }
    }

    /// Computes for each second the value whose prompts the available engines can process, the most
    /// valuable per token first.
    fn compute_bound(&mut self) {
        let seconds =
            |class: &RequestClass| f64::from(class.prompt.1) * PREFILL_MS_PER_TOKEN / 1_000.0;
        let worth = |class: &RequestClass| class.value / seconds(class);
        let mut classes: Vec<(usize, &RequestClass)> =
            self.shortage.classes.iter().enumerate().collect();
        classes.sort_by(|(_, a), (_, b)| worth(b).total_cmp(&worth(a)));
        for (second, bound) in self.served.bound.iter_mut().enumerate() {
            let at = Duration::from_secs(second as u64);
            let lost = self.shortage.losses.iter().filter(|(when, _)| *when <= at);
            let lost: u32 =
                if at >= self.shortage.restored_at { 0 } else { lost.map(|(_, n)| n).sum() };
            let mut left = f64::from(self.shortage.engines - lost);
            for (index, class) in &classes {
                let callers = 0..self.shortage.callers.len();
                let rate: f64 = callers.map(|o| self.shortage.rate(*index, o, at)).sum();
                let share = (left / (rate * seconds(class))).min(1.0);
                left -= share * rate * seconds(class);
                *bound += share * rate * class.value;
            }
        }
    }
}

impl Shortage<'_> {
    /// Requests a second of a class from an organisation.
    fn rate(&self, class: usize, organisation: usize, at: Duration) -> f64 {
        let usual = self.classes[class].rate * self.callers[organisation].part;
        let factor = |surge: &Surge| surge.factor(class, organisation, at);
        usual * self.surges.iter().map(factor).product::<f64>()
    }
}

fn organisation_name(index: usize) -> String {
    format!("organisation-{index}")
}

fn pool(engines: u32, seed: u64) -> Pool {
    Pool::new(simulated_engines(engines), Policy::ExpectedWork, seed)
}

/// Number of different shared prompt parts of a class.
const SHARED_PARTS_PER_CLASS: u64 = 4;

fn work(number: RequestNumber, class: usize, spec: RequestClass) -> Work {
    let shared = PromptPart {
        id: class as u64 * 100 + number as u64 % SHARED_PARTS_PER_CLASS,
        tokens: spec.prompt.0,
    };
    let own = PromptPart { id: 1_000 + number as u64, tokens: spec.prompt.1 };
    let prompt_tokens = spec.prompt.0 + spec.prompt.1;
    Work { prompt_tokens, max_tokens: spec.response_tokens, parts: vec![shared, own] }
}

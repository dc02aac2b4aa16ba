//! A simulated service whose fleet the product's planner sizes.
//!
//! The planner and the forecast are the product's; callers, replicas and the cloud are simulated
//! from a seed. A replica processes prompts in their order. A request goes to one drawn at random:
//! the worst that boxes with outdated loads do.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_capacity::Answer;
use vaneway_capacity::Callers;
use vaneway_capacity::Input;
use vaneway_capacity::Kind;
use vaneway_capacity::Objective;
use vaneway_capacity::Order;
use vaneway_capacity::Planner;
use vaneway_capacity::Policy;
use vaneway_capacity::Zone;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestKind {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Mean seconds to process a prompt, and the standard deviation of its logarithm.
    pub(crate) prompt: (f64, f64),
    /// Seconds within which the first event is due.
    pub(crate) objective: f64,
}

/// What happens on a day, in seconds from its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Day<'a> {
    /// Swing of a wave of 40 s, as a share of the rate.
    pub(crate) wave: f64,
    /// Begin, end and factor of a burst.
    pub(crate) burst: Option<(f64, f64, f64)>,
    /// Zones that are reclaimed, with nothing to be had until [`Self::nothing_until`].
    pub(crate) reclaims: &'a [(f64, usize)],
    /// When reclaimable replicas can be had again.
    pub(crate) nothing_until: f64,
    /// Whether a replica is 2.5 times slower for 0.6 s with a probability of 0.15.
    pub(crate) slow_spells: bool,
    /// Whether the load is absent for the first seconds.
    pub(crate) begins_at: f64,
}

/// What a day brought.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Results {
    /// Share of the requests that were in time.
    pub(crate) in_time: f64,
    /// Lowest share of any two seconds with traffic.
    pub(crate) worst: f64,
    /// Mean number of replicas.
    pub(crate) replicas: f64,
    /// Replicas at the end.
    pub(crate) at_end: u32,
    /// Most reclaimable replicas that were let go at once, beyond one in each zone, as a share of
    /// all.
    pub(crate) most_let_go: f64,
}

const DAY_S: f64 = 60.0;
const STEP_S: f64 = 0.5;
const BOOT_S: f64 = 4.0;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Replicas in each zone at first.
const FIRST: u32 = 15;
const MAX_PER_ZONE: u32 = 30;
/// Seconds over which the demand is measured, and after which it is first known.
const DEMAND_S: f64 = 4.0;
const KNOWN_AFTER_S: f64 = 5.0;
const SPREAD_S: f64 = 16.0;

#[derive(Debug)]
struct Replica {
    zone: usize,
    kind: Kind,
    runs_from: f64,
    busy_until: f64,
    slow: bool,
}

#[derive(Debug)]
struct Request {
    at: f64,
    seconds: f64,
    objective: f64,
    in_time: bool,
}

struct Simulation<'a> {
    day: Day<'a>,
    start: Instant,
    planner: Planner,
    replicas: Vec<Replica>,
    requests: Vec<Request>,
    rng: Pcg64Mcg,
}

/// Plays a day with the planner's policy.
pub(crate) fn play(policy: Policy, kinds: &[RequestKind], day: Day<'_>, seed: u64) -> Results {
    let replica = |zone| (0..FIRST).map(move |_| Replica::new(zone, Kind::Reclaimable, 0.0));
    let mut simulation = Simulation {
        day,
        start: Instant::now(),
        planner: Planner::new(policy),
        replicas: (0..ZONES.len()).flat_map(replica).collect(),
        requests: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(seed),
    };
    let mut results = Results::default();
    for step in 0..(DAY_S / STEP_S) as u32 {
        let now = f64::from(step) * STEP_S;
        simulation.reclaim(now);
        let running = simulation.running(now);
        let let_go = simulation.plan(now).saturating_sub(ZONES.len() as u32);
        results.most_let_go = results.most_let_go.max(f64::from(let_go) / running.max(1) as f64);
        results.replicas += simulation.running(now) as f64 * STEP_S / DAY_S;
        simulation.serve(now, kinds);
    }
    results.in_time = share_in_time(&simulation.requests);
    let windows = simulation.requests.chunk_by(|a, b| (a.at / 2.0) as u32 == (b.at / 2.0) as u32);
    results.worst = windows.map(share_in_time).fold(1.0, f64::min);
    results.at_end = simulation.running(DAY_S) as u32;
    results
}

fn share_in_time(requests: &[Request]) -> f64 {
    let in_time = requests.iter().filter(|request| request.in_time).count();
    in_time as f64 / requests.len().max(1) as f64
}

impl Replica {
    fn new(zone: usize, kind: Kind, runs_from: f64) -> Self {
        Self { zone, kind, runs_from, busy_until: 0.0, slow: false }
    }
}

impl Simulation<'_> {
    fn running(&self, now: f64) -> usize {
        self.replicas.iter().filter(|replica| replica.runs_from <= now).count()
    }

    fn reclaim(&mut self, now: f64) {
        for (_, zone) in self.day.reclaims.iter().filter(|(at, _)| (now..now + STEP_S).contains(at))
        {
            self.replicas.retain(|r| r.zone != *zone || r.kind == Kind::OnDemand);
        }
    }

    /// Carries out the planner's orders; returns how many reclaimable replicas were let go.
    fn plan(&mut self, now: f64) -> u32 {
        let mut input = Input {
            demand: None,
            zones: ZONES.map(|name| Zone { name: name.to_owned(), price: 1.0 }).into(),
            min_per_zone: 1,
            max_per_zone: MAX_PER_ZONE,
            startup_time: Duration::from_secs_f64(BOOT_S),
            running: BTreeMap::new(),
            leaving: BTreeMap::new(),
            lost_to_limits: 0.0,
        };
        for replica in self.replicas.iter().filter(|replica| replica.runs_from <= now) {
            *input.running.entry((ZONES[replica.zone].to_owned(), replica.kind)).or_default() += 1;
        }
        for (at, zone) in self.day.reclaims {
            if (*at..*at + 1.0).contains(&now) {
                input.leaving.insert(ZONES[*zone].to_owned(), 1);
            }
        }
        let since =
            |seconds: f64| self.requests.iter().rev().take_while(move |r| r.at >= now - seconds);
        if now >= self.day.begins_at + KNOWN_AFTER_S {
            input.demand =
                Some(since(DEMAND_S).map(|request| request.seconds).sum::<f64>() / DEMAND_S);
        }
        let (work, squares): (f64, f64) = since(SPREAD_S)
            .fold((0.0, 0.0), |(work, squares), r| (work + r.seconds, squares + r.seconds.powi(2)));
        let objectives = since(SPREAD_S).map(|request| Objective {
            within: Duration::from_secs_f64(request.objective),
            requests: 1,
        });
        let latest = since(2.0).count();
        let in_time = since(2.0).filter(|request| request.in_time).count() as f64 / latest as f64;
        self.planner.observe_callers((work > 0.0).then(|| Callers {
            prompt_rest_s: squares / (2.0 * work),
            objectives: objectives.collect(),
            in_time: (latest >= 50).then_some(in_time),
        }));
        let at = self.start + Duration::from_secs_f64(now);
        let mut let_go = 0;
        for order in self.planner.plan(at, &input) {
            let answer = self.carry_out(now, &order, &mut let_go);
            self.planner.record_answer(at, &order, answer);
        }
        let_go
    }

    fn carry_out(&mut self, now: f64, order: &Order, let_go: &mut u32) -> Answer {
        let zone = ZONES.iter().position(|name| *name == order.zone).unwrap();
        let of_order = |replica: &Replica| replica.zone == zone && replica.kind == order.kind;
        let have = self.replicas.iter().filter(|replica| of_order(replica)).count() as u32;
        let since_reclaim = self.day.reclaims.first().is_some_and(|(at, _)| now >= *at);
        if order.count > have
            && order.kind == Kind::Reclaimable
            && since_reclaim
            && now < self.day.nothing_until
        {
            return Answer::Refused;
        }
        for _ in have..order.count {
            self.replicas.push(Replica::new(zone, order.kind, now + BOOT_S));
        }
        for _ in order.count..have {
            // Those that start leave first.
            let last = self.replicas.iter().rposition(of_order).unwrap();
            let replica = self.replicas.remove(last);
            let is_running = replica.kind == Kind::Reclaimable && replica.runs_from <= now;
            *let_go += u32::from(is_running);
        }
        Answer::Taken
    }

    /// Serves the requests of one step.
    fn serve(&mut self, now: f64, kinds: &[RequestKind]) {
        if now < self.day.begins_at {
            return;
        }
        let wave = 1.0 + self.day.wave * (now * std::f64::consts::TAU / 40.0).sin();
        let burst = self.day.burst.filter(|(begin, end, _)| (*begin..*end).contains(&now));
        let factor = wave * burst.map_or(1.0, |(.., factor)| factor);
        let mut arrivals = Vec::new();
        for kind in kinds {
            let mut at = now;
            loop {
                at -= self.rng.random::<f64>().max(1e-9).ln() / (kind.rate * factor);
                if at >= now + STEP_S {
                    break;
                }
                let normal = (-2.0 * self.rng.random::<f64>().max(1e-9).ln()).sqrt()
                    * (std::f64::consts::TAU * self.rng.random::<f64>()).cos();
                let (mean, spread) = kind.prompt;
                let seconds = mean * (spread * normal - spread * spread / 2.0).exp();
                arrivals.push(Request { at, seconds, objective: kind.objective, in_time: false });
            }
        }
        arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
        for replica in &mut self.replicas {
            replica.slow = self.day.slow_spells && self.rng.random::<f64>() < 0.15;
        }
        for mut request in arrivals {
            let running: Vec<usize> =
                (0..self.replicas.len()).filter(|i| self.replicas[*i].runs_from <= now).collect();
            if !running.is_empty() {
                let replica = &mut self.replicas[running[self.rng.random_range(0..running.len())]];
                let begins = replica.busy_until.max(request.at);
                // One that could not be in time even so is refused.
                if begins - request.at <= request.objective * 0.8 {
                    let slowdown = if replica.slow { 2.5 } else { 1.0 };
                    replica.busy_until = begins + request.seconds * slowdown;
                    request.in_time = replica.busy_until - request.at <= request.objective;
                }
            }
            self.requests.push(request);
        }
    }
}

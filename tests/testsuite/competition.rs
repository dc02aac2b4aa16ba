//! Order and shares in a shortage: who is served while callers demand more than engines can do.
//!
//! Three classes of requests of the same size compete for engines that have enough for all of them
//! usually. Five organisations of very different size send each class in the same proportions. The
//! bounds are what callers need: the urgent are served in time, no class or organisation is served
//! less than a quarter as often as all, and an organisation within its share gets what it demands.

use std::time::Duration;

use vaneway_server::core::queue_limit;

use crate::simulated_demand::Caller;
use crate::simulated_demand::Decisions;
use crate::simulated_demand::Outcome;
use crate::simulated_demand::RequestClass;
use crate::simulated_demand::Surge;
use crate::simulated_shortage::ONE_CALLER;
use crate::simulated_shortage::Served;
use crate::simulated_shortage::Shortage;
use crate::simulated_shortage::SimulatedShortage;

const URGENT: usize = 0;
const LEAST_URGENT: usize = 2;

const CLASSES: [RequestClass; 3] = [
    class(40.0, Duration::from_secs(1), 4.0, 0),
    class(60.0, Duration::from_millis(1_500), 2.0, 1),
    class(60.0, Duration::from_secs(2), 1.0, 2),
];

const fn class(rate: f64, objective: Duration, value: f64, rank: u32) -> RequestClass {
    RequestClass {
        rate,
        prompt: (1_000, 1_600),
        response_tokens: 40,
        objective,
        caller_timeout: Duration::from_secs(4),
        value,
        rank,
    }
}

const SMALLEST: usize = 0;
const SURGING: usize = 2;
const LARGEST: usize = 4;

/// Organisations that send from 2 to 40 of a hundred requests; their weights are in proportion.
const CALLERS: [Caller; 5] = [caller(0.02), caller(0.08), caller(0.2), caller(0.3), caller(0.4)];

const fn caller(part: f64) -> Caller {
    Caller { part, weight: part, retry_delay_s: (0.6, 1.4) }
}

const FROM: Duration = Duration::from_secs(5);
const UNTIL: Duration = Duration::from_secs(15);

const BOTH: Option<Decisions> = Some(Decisions { order: true, shares: true });

const LOAD: Shortage<'_> = Shortage {
    boxes: 61,
    engines: 18,
    classes: &CLASSES,
    losses: &[],
    restored_at: Duration::MAX,
    duration: Duration::from_secs(20),
    queue_share: Some(queue_limit::MAX_QUEUE_SHARE),
    callers: &CALLERS,
    surges: &[],
    decisions: BOTH,
};

/// A class of which four times as many requests arrive as usual.
const fn burst(class: usize, from: Duration, until: Duration) -> Surge {
    Surge { class: Some(class), organisation: None, from, until, factor: 4.0 }
}

/// An organisation that sends six times as much as usual.
const SIX_TIMES: Surge =
    Surge { class: None, organisation: Some(SURGING), from: FROM, until: UNTIL, factor: 6.0 };

const FLEETS: [usize; 3] = [6, 61, 350];

const SEEDS: std::ops::Range<u64> = 1..4;

/// Runs a load with each number of boxes and each seed.
fn for_each_fleet(load: Shortage<'_>, check: impl Fn(&Served, &str)) {
    for boxes in FLEETS {
        for seed in SEEDS {
            let served = SimulatedShortage::run(Shortage { boxes, ..load }, seed);
            check(&served, &format!("{boxes} boxes, seed {seed}"));
        }
    }
}

/// The outcomes of requests that arrived during the surge, from one second after its begin.
fn during(served: &Served) -> impl Iterator<Item = &Outcome> {
    let since = FROM + Duration::from_secs(1);
    served.outcomes.iter().filter(move |outcome| (since..UNTIL).contains(&outcome.arrived))
}

/// Fraction of the requests that are served in time.
fn in_time(served: &Served, which: impl Fn(&Outcome) -> bool) -> f64 {
    let all: Vec<&Outcome> = during(served).filter(|outcome| which(outcome)).collect();
    let count = all.iter().filter(|outcome| outcome.is_in_time).count();
    count as f64 / all.len() as f64
}

/// Value served in time during the surge, relative to what any scheduler could have served.
fn share_of_bound(served: &Served) -> f64 {
    let sum = |values: &[f64]| values[6..15].iter().sum::<f64>();
    sum(&served.in_time) / sum(&served.bound).min(sum(&served.offered))
}

/// The longest time between two served requests of an organisation during the surge.
fn longest_wait(served: &Served, organisation: usize) -> Duration {
    let own = during(served).filter(|outcome| outcome.organisation == organisation);
    let mut times: Vec<Duration> = own.filter_map(|outcome| outcome.served).collect();
    times.sort();
    times.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).max().unwrap_or(Duration::MAX)
}

/// A class or an organisation that is served less often than this fraction of all is starved.
const STARVED: f64 = 0.25;

fn assert_none_starves(served: &Served, context: &str) {
    let all = in_time(served, |_| true);
    for i in 0..CLASSES.len() {
        let share = in_time(served, |outcome| outcome.class == i);
        assert!(share >= STARVED * all, "{context}: {share:.2} of class {i}, {all:.2} of all");
    }
    for i in 0..CALLERS.len() {
        let share = in_time(served, |outcome| outcome.organisation == i);
        let name = format!("{share:.2} of organisation {i}, {all:.2} of all");
        assert!(share >= STARVED * all, "{context}: {name}");
    }
}

/// Guards against an urgent class whose room is taken by others when its demand rises.
#[test]
fn urgent_burst_is_served_before_all_others() {
    let load = Shortage { surges: &[burst(URGENT, FROM, UNTIL)], ..LOAD };
    for_each_fleet(load, |served, context| {
        let urgent = in_time(served, |outcome| outcome.class == URGENT);
        assert!(urgent >= 0.95, "{context}: {urgent:.2} of the urgent");
        let share = share_of_bound(served);
        assert!(share >= 0.85, "{context}: {share:.2} of what any scheduler could");
        assert_none_starves(served, context);
    });
}

/// Guards against a class with a long objective that fills the queues beyond what the urgent can
/// wait: without an order, 0.08 to 0.11 of the urgent were served in time in this load.
#[test]
fn burst_of_the_least_urgent_leaves_the_urgent_their_room() {
    let load = Shortage { surges: &[burst(LEAST_URGENT, FROM, UNTIL)], ..LOAD };
    for_each_fleet(load, |served, context| {
        let urgent = in_time(served, |outcome| outcome.class == URGENT);
        assert!(urgent >= 0.85, "{context}: {urgent:.2} of the urgent");
        let share = share_of_bound(served);
        assert!(share >= 0.85, "{context}: {share:.2} of what any scheduler could");
        assert_none_starves(served, context);
    });
}

#[test]
fn burst_of_the_least_urgent_and_then_of_the_urgent_leaves_the_urgent_their_room() {
    let middle = (FROM + UNTIL) / 2;
    let surges = [burst(LEAST_URGENT, FROM, middle), burst(URGENT, middle, UNTIL)];
    let load = Shortage { surges: &surges, ..LOAD };
    for_each_fleet(load, |served, context| {
        let urgent = in_time(served, |outcome| outcome.class == URGENT);
        assert!(urgent >= 0.9, "{context}: {urgent:.2} of the urgent");
        let share = share_of_bound(served);
        assert!(share >= 0.85, "{context}: {share:.2} of what any scheduler could");
        assert_none_starves(served, context);
    });
}

/// Guards against a strict order, by which 0.01 of the less urgent were served in this load, where
/// 0.36 of all were.
#[test]
fn deep_shortage_starves_no_class() {
    let load = Shortage { engines: 7, surges: &[burst(URGENT, FROM, UNTIL)], ..LOAD };
    for_each_fleet(load, |served, context| {
        let all = in_time(served, |_| true);
        for i in 0..CLASSES.len() {
            let share = in_time(served, |outcome| outcome.class == i);
            assert!(share >= STARVED * all, "{context}: {share:.2} of class {i}, {all:.2} of all");
        }
    });
}

/// Guards against urgent requests that fill queues beyond what others with a shorter objective can
/// wait: none of these were served in this load.
#[test]
fn deep_shortage_starves_no_class_if_the_urgent_can_wait_longest() {
    let mut classes = CLASSES;
    classes[URGENT].objective = CLASSES[LEAST_URGENT].objective;
    classes[LEAST_URGENT].objective = CLASSES[URGENT].objective;
    let surges = [burst(URGENT, FROM, UNTIL)];
    let load = Shortage { classes: &classes, engines: 10, surges: &surges, ..LOAD };
    for_each_fleet(load, |served, context| {
        let urgent = in_time(served, |outcome| outcome.class == URGENT);
        assert!(urgent >= 0.6, "{context}: {urgent:.2} of the urgent");
        assert_none_starves(served, context);
    });
}

fn assert_others_get_their_demand(served: &Served, context: &str) {
    for i in (0..CALLERS.len()).filter(|i| *i != SURGING) {
        let share = in_time(served, |outcome| outcome.organisation == i);
        assert!(share >= 0.9, "{context}: {share:.2} of organisation {i}");
    }
    let wait = longest_wait(served, SMALLEST);
    assert!(wait <= Duration::from_secs(3), "{context}: the smallest waited {wait:?}");
    let share = share_of_bound(served);
    assert!(share >= 0.85, "{context}: {share:.2} of what any scheduler could");
    assert_none_starves(served, context);
}

/// Guards against an organisation whose requests take the share of the others.
#[test]
fn organisation_that_sends_six_times_as_much_leaves_the_others_their_share() {
    let load = Shortage { surges: &[SIX_TIMES], ..LOAD };
    for_each_fleet(load, assert_others_get_their_demand);
}

/// Guards against an organisation that gets more of the room by repeating refused requests at once.
#[test]
fn organisation_that_repeats_at_once_leaves_the_others_their_share() {
    let mut callers = CALLERS;
    callers[SURGING].retry_delay_s = (0.002, 0.02);
    callers[LARGEST].retry_delay_s = (0.002, 0.02);
    let load = Shortage { surges: &[SIX_TIMES], callers: &callers, ..LOAD };
    for_each_fleet(load, assert_others_get_their_demand);
}

/// Guards against room that shares leave unused: a lone organisation gets as much as without shares.
#[test]
fn lone_organisation_gets_all_of_the_room() {
    let load = Shortage { surges: &[burst(URGENT, FROM, UNTIL)], callers: &ONE_CALLER, ..LOAD };
    for_each_fleet(load, |served, context| {
        let share = share_of_bound(served);
        assert!(share >= 0.85, "{context}: {share:.2} of what any scheduler could");
    });
}

fn times(served: &Served) -> Vec<Option<Duration>> {
    served.outcomes.iter().map(|outcome| outcome.served).collect()
}

/// Guards against decisions that change anything while there is room for all: with twice as many
/// engines, no queue gets as long as the most urgent can wait.
#[test]
fn calm_is_served_as_without_order_and_shares() {
    for boxes in FLEETS {
        for seed in SEEDS {
            let load = Shortage { boxes, engines: 2 * LOAD.engines, ..LOAD };
            let with = SimulatedShortage::run(load, seed);
            let without = SimulatedShortage::run(Shortage { decisions: None, ..load }, seed);
            assert!(times(&with) == times(&without), "{boxes} boxes, seed {seed}");
        }
    }
}

/// Guards against a changed decision where there is nothing to decide: with one rank and one
/// organisation, a shortage is served exactly as without order and shares.
#[test]
fn shortage_of_one_rank_and_one_organisation_is_served_as_without_order_and_shares() {
    let classes = CLASSES.map(|class| RequestClass { rank: 0, ..class });
    let surges = [burst(URGENT, FROM, UNTIL)];
    let load = Shortage { classes: &classes, callers: &ONE_CALLER, surges: &surges, ..LOAD };
    for seed in SEEDS {
        let with = SimulatedShortage::run(load, seed);
        let without = SimulatedShortage::run(Shortage { decisions: None, ..load }, seed);
        assert!(times(&with) == times(&without), "seed {seed}");
    }
}

//! A shortage in which the demand exceeds the capacity of the remaining engines.
//!
//! Three waves of reclaims remove 50 of 60 engines within 8 s, and replacements are unavailable for
//! 15 s. Without a queue limit, requests wait at the remaining engines until they are late, so that
//! hardly any is served in time although the engines are never idle, and callers retry. The figures
//! are those of a deployment with three classes of streams.

use std::time::Duration;

use vaneway_server::core::queue_limit;

use crate::simulated_demand::RequestClass;
use crate::simulated_shortage::ONE_CALLER;
use crate::simulated_shortage::Served;
use crate::simulated_shortage::Shortage;
use crate::simulated_shortage::SimulatedShortage;

const CLASSES: [RequestClass; 3] = [
    RequestClass {
        rate: 57.7,
        prompt: (6_300, 2_890),
        response_tokens: 51,
        objective: Duration::from_millis(1_200),
        caller_timeout: Duration::from_millis(4_800),
        value: 4.0,
        rank: 0,
    },
    RequestClass {
        rate: 133.0,
        prompt: (568, 1_800),
        response_tokens: 24,
        objective: Duration::from_millis(800),
        caller_timeout: Duration::from_millis(3_200),
        value: 2.0,
        rank: 0,
    },
    RequestClass {
        rate: 77.8,
        prompt: (172, 543),
        response_tokens: 240,
        objective: Duration::from_millis(600),
        caller_timeout: Duration::from_millis(3_200),
        value: 0.46,
        rank: 0,
    },
];

const SHORTAGE: Shortage<'_> = Shortage {
    boxes: 69,
    engines: 60,
    classes: &CLASSES,
    losses: &[
        (Duration::from_secs(3), 20),
        (Duration::from_secs(5), 20),
        (Duration::from_secs(11), 10),
    ],
    restored_at: Duration::from_secs(26),
    duration: Duration::from_secs(34),
    queue_share: Some(queue_limit::MAX_QUEUE_SHARE),
    callers: &ONE_CALLER,
    surges: &[],
    decisions: None,
};

/// Share of the value that any scheduler could have served in time that was served in time, over a
/// range of seconds.
fn share_of_bound(served: &Served, seconds: std::ops::Range<usize>) -> f64 {
    let sum = |values: &[f64]| values[seconds.clone()].iter().sum::<f64>();
    sum(&served.in_time) / sum(&served.bound).min(sum(&served.offered))
}

/// Seeds of the simulations.
const SEEDS: std::ops::Range<u64> = 1..4;

/// Seconds in which ten engines remain and their queues have settled.
const SCARCE: std::ops::Range<usize> = 12..26;

/// Guards against queues at the remaining engines in which requests become late: at least 0.85 of
/// what any scheduler could serve in time must be served in time, throughout.
#[test]
fn remaining_engines_in_a_shortage_serve_requests_in_time() {
    for seed in SEEDS {
        let served = SimulatedShortage::run(SHORTAGE, seed);
        let share = share_of_bound(&served, SCARCE);
        assert!(share >= 0.85, "seed {seed}: {share:.2} of what could be served in time");
    }
}

/// Guards against a slow recovery and against refusals without a shortage: at least 0.95 of what
/// any scheduler could serve in time must be served in time before the shortage, and from 2 s after
/// the engines are back.
#[test]
fn requests_are_in_time_again_as_soon_as_capacity_is_back() {
    for seed in SEEDS {
        let served = SimulatedShortage::run(SHORTAGE, seed);
        let calm = share_of_bound(&served, 0..3);
        let recovered = share_of_bound(&served, 28..32);
        assert!(
            calm >= 0.95 && recovered >= 0.95,
            "seed {seed}: {calm:.2} before, {recovered:.2} after"
        );
    }
}

/// Checks that this load needs a queue limit: without one hardly anything is served in time.
#[test]
fn queues_without_a_limit_collapse() {
    let served = SimulatedShortage::run(Shortage { queue_share: None, ..SHORTAGE }, 1);
    let share = share_of_bound(&served, SCARCE);
    assert!(share < 0.5, "{share:.2} of what could be served in time");
}

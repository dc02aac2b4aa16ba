//! Requests that end the endpoint which runs them.
//!
//! Pattern: a share of one class's requests makes whatever engine runs them crash, a few hundred milliseconds after
//! the run began. Boxes send what broke off to another engine, and callers whose request failed send it again to
//! another box. The fleet and its load are those of a large deployment with many small entry boxes: 69 of these, 60
//! engines, 270 requests a second of which 3% of a class of a fifth are deadly.

use std::time::Duration;

use crate::simulated_crashes::Load;
use crate::simulated_crashes::SimulatedCrashes;

const FLEET: Load = Load {
    boxes: 69,
    engines: 60,
    rate: 270.0,
    deadly: 0.006,
    one_content: false,
    lasts: Duration::from_secs(20),
    answers_after: Duration::from_millis(200),
    crashes: &[],
};

/// Engines that crash by themselves, and when: twice a third of the fleet, 3 s apart.
const WAVES: &[(Duration, u32)] = &[(Duration::from_secs(5), 23), (Duration::from_secs(8), 23)];

/// Seeds of the plays.
const SEEDS: std::ops::Range<u64> = 1..7;

/// The aim: a request ends two endpoints at the most in the mean, and never more than three.
#[test]
fn deadly_request_ends_few_endpoints_over_all_boxes_and_tries() {
    for seed in SEEDS {
        let outcomes = SimulatedCrashes::play(FLEET, seed);
        assert!(outcomes.ended_by_one <= 3, "seed {seed}: {outcomes:?}");
        assert!(outcomes.ended <= 2 * outcomes.deadly, "seed {seed}: {outcomes:?}");
    }
}

/// The aim: the rest of a service keeps 95% of its answers, and one deadly request doesn't condemn its neighbours.
#[test]
fn requests_beside_deadly_ones_are_served() {
    for seed in SEEDS {
        let outcomes = SimulatedCrashes::play(FLEET, seed);
        assert!(outcomes.condemned < outcomes.deadly, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
    }
}

/// Engines that crash by themselves are no fault of what ran there.
#[test]
fn requests_that_meet_two_waves_of_crashes_are_served() {
    for seed in SEEDS {
        let load = Load { deadly: 0.0, crashes: WAVES, ..FLEET };
        let outcomes = SimulatedCrashes::play(load, seed);
        assert_eq!(outcomes.sent_in_vain, 0, "seed {seed}: {outcomes:?}");
        assert_eq!(outcomes.condemned, 0, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
    }
}

/// A content that many callers send at once, a fifth of a class of a fifth, ends no engine once three have ended under it
/// and all boxes could know.
#[test]
fn content_that_many_send_is_sent_nowhere_once_three_endpoints_ended() {
    for seed in SEEDS {
        let load = Load { deadly: 0.04, one_content: true, ..FLEET };
        let outcomes = SimulatedCrashes::play(load, seed);
        assert_eq!(outcomes.sent_after_three, 0, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
    }
}

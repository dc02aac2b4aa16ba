//! Requests that crash the endpoint which runs them.
//!
//! A share of the requests of one class crashes each engine that runs them, a few hundred
//! milliseconds after the run began. Boxes send an interrupted request to another engine, and
//! callers whose request failed send it again through another box. The fleet and its load are those
//! of a large deployment with many small entry boxes: 69 of these, 60 engines, and 270 requests a
//! second; a fifth of them belong to that class, and 3% of the class are deadly.

use std::time::Duration;

use crate::simulated_crashes::Deadly;
use crate::simulated_crashes::Load;
use crate::simulated_crashes::SimulatedCrashes;

const FLEET: Load = Load {
    boxes: 69,
    engines: 60,
    rate: 270.0,
    deadly: 0.006,
    deadly_by: Deadly::Request,
    duration: Duration::from_secs(20),
    time_to_first_event: Duration::from_millis(200),
    unrelated_crashes: &[],
};

/// Times and numbers of engines that crash for another reason: about a third of the fleet, twice,
/// 3 s apart.
const WAVES: &[(Duration, u32)] = &[(Duration::from_secs(5), 23), (Duration::from_secs(8), 23)];

/// Seeds of the simulations.
const SEEDS: std::ops::Range<u64> = 1..7;

/// Requirement: a deadly request crashes at most two endpoints on average, and never more than
/// three.
#[test]
fn deadly_request_crashes_few_endpoints_over_all_boxes_and_attempts() {
    for seed in SEEDS {
        let outcomes = SimulatedCrashes::simulate(FLEET, seed);
        assert!(outcomes.max_crashes_by_one <= 3, "seed {seed}: {outcomes:?}");
        assert!(outcomes.crashes_caused <= 2 * outcomes.deadly, "seed {seed}: {outcomes:?}");
    }
}

/// Requirement: 95% of the other requests of a service are served, and requests that ran beside a
/// deadly one are not rejected for it.
#[test]
fn requests_beside_deadly_ones_are_served() {
    for seed in SEEDS {
        let outcomes = SimulatedCrashes::simulate(FLEET, seed);
        assert!(outcomes.rejected < outcomes.deadly, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
    }
}

/// Guards against requests that are rejected because they ran on engines which crashed for another
/// reason.
#[test]
fn requests_that_meet_two_waves_of_crashes_are_served() {
    for seed in SEEDS {
        let load = Load { deadly: 0.0, unrelated_crashes: WAVES, ..FLEET };
        let outcomes = SimulatedCrashes::simulate(load, seed);
        assert_eq!(outcomes.sent_to_known_crashed, 0, "seed {seed}: {outcomes:?}");
        assert_eq!(outcomes.rejected, 0, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
    }
}

/// Many callers send the same deadly content at once, a fifth of a class that is a fifth of all
/// requests. Guards against boxes that send it to an engine after it has crashed three engines and
/// all boxes could have received the records of that.
#[test]
fn content_that_many_send_is_sent_to_no_endpoint_once_three_have_crashed() {
    for seed in SEEDS {
        let load = Load { deadly: 0.04, deadly_by: Deadly::SharedContent, ..FLEET };
        let outcomes = SimulatedCrashes::simulate(load, seed);
        assert_eq!(outcomes.sent_after_three_crashes, 0, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served * 100 >= outcomes.others * 95, "seed {seed}: {outcomes:?}");
    }
}

//! What an organisation gets of its limit while it is pressed: in a fleet of entry boxes, with
//! prompts of very different size, also while no control box is reachable.

use std::time::Duration;

use crate::simulated_fleet::Limit;
use crate::simulated_fleet::START;
use crate::simulated_fleet::SimulatedFleet;

/// Sizes of requests: most are short, few are as long as ninety of them.
const LONG_PROMPTS: [u64; 10] = [600, 600, 900, 1_400, 2_400, 2_400, 4_800, 9_200, 18_000, 54_600];

const LIMIT: Limit = Limit { rate: 400_000.0, burst: 400_000.0 };

/// Usual demand, as a part of the limit, and the factor by which the organisation exceeds it.
const USUAL: f64 = 0.6;
const PRESSED: f64 = 5.7;

fn fleet(boxes: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(boxes, seed, LIMIT);
    fleet.sizes = &LONG_PROMPTS;
    fleet.offer(USUAL * LIMIT.rate, Duration::from_secs(4));
    fleet
}

/// Offers a rate for a time and returns the part of the limit's rate that is admitted.
fn admitted(fleet: &mut SimulatedFleet, rate: f64, time: Duration) -> f64 {
    let before = fleet.admitted.len();
    fleet.offer(rate, time);
    let units: u64 = fleet.admitted[before..].iter().map(|(_, units)| units).sum();
    units as f64 / (LIMIT.rate * time.as_secs_f64())
}

const FLEETS: [usize; 3] = [6, 61, 350];

const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Offers far more than the limit to a fleet until its bucket is empty.
fn pressed(boxes: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = fleet(boxes, seed);
    fleet.offer(PRESSED * USUAL * LIMIT.rate, Duration::from_secs(3));
    fleet
}

fn assert_within_limit(fleet: &SimulatedFleet) {
    let (most, allowed) = (fleet.max_admitted_since(START), LIMIT.allowed());
    assert!(most <= allowed, "{most} of {allowed}");
}

/// Guards against a limit of which a part is left unused while far more is asked for.
#[test]
fn pressed_organisation_gets_its_limit() {
    for boxes in FLEETS {
        for seed in SEEDS {
            let mut fleet = pressed(boxes, seed);
            let part = admitted(&mut fleet, PRESSED * USUAL * LIMIT.rate, Duration::from_secs(6));
            assert!(part >= 0.9, "{boxes} boxes, seed {seed}: {part:.2} of the limit");
            assert_within_limit(&fleet);
        }
    }
}

/// Guards against units that are lost while no control box is reachable: what the boxes' own shares
/// hold back then is given out soon after.
#[test]
fn pressed_organisation_gets_its_limit_soon_after_control_boxes_are_back() {
    let rate = PRESSED * USUAL * LIMIT.rate;
    for boxes in FLEETS {
        for seed in SEEDS {
            let mut fleet = pressed(boxes, seed);
            fleet.offer(rate, Duration::from_secs(6));
            fleet.cut_off = (0..boxes).collect();
            let outage = Duration::from_millis(1_500);
            let away = admitted(&mut fleet, rate, outage) * outage.as_secs_f64();
            fleet.reconnect_all();
            let recovery = Duration::from_millis(5_500);
            let after = admitted(&mut fleet, rate, recovery) * recovery.as_secs_f64();
            let part = (away + after) / (outage + recovery).as_secs_f64();
            assert!(part >= 0.95, "{boxes} boxes, seed {seed}: {part:.2} of the limit");
            assert_within_limit(&fleet);
        }
    }
}

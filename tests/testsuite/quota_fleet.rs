//! Quotas in a fleet of entry boxes that a control box informs of each other's usage, under load
//! that arrives at any box.
//!
//! docs/incidents/quota-over-limit.md describes the incident that these tests guard against.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_ledger::UsageLedger;
use vaneway_server::core::quotas::Quotas;

use crate::simulated_fleet::ALLOWANCE;
use crate::simulated_fleet::Limit;
use crate::simulated_fleet::ORGANISATION;
use crate::simulated_fleet::START;
use crate::simulated_fleet::SimulatedFleet;
use crate::simulated_fleet::configuration;

/// A limit far below the organisation's demand.
const LOWERED: Limit = Limit { rate: 58_304.0, burst: 209_892.0 };

/// Guards against boxes that all admit a request at the same time when an empty bucket has refilled
/// enough for one, and against overdrafts that are not recorded.
#[test]
fn organisation_that_exceeds_its_limit_many_times_for_long_gets_no_more_than_the_limit() {
    for seed in 1..=8 {
        let mut fleet = SimulatedFleet::new(76, seed, LOWERED);
        fleet.offer(2.0 * LOWERED.rate, Duration::from_secs(12));
        fleet.offer(16.0 * LOWERED.rate, Duration::from_secs(12));
        let most = fleet.max_admitted_since(START);
        let allowed = LOWERED.allowed();
        println!("seed {seed}: {most} of {allowed}");
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
        assert!(most >= LOWERED.rate * 8.0, "seed {seed}: {most} of {allowed}");
    }
}

/// Guards against a full bucket at each box after a change of the limit.
#[test]
fn limit_that_is_raised_under_a_flood_gives_no_second_burst() {
    let limit = Limit { rate: 200_000.0, burst: 200_000.0 };
    let raised = Limit { rate: 240_000.0, burst: 240_000.0 };
    for seed in 1..=8 {
        let mut fleet = SimulatedFleet::new(76, seed, limit);
        fleet.offer(100_000.0, Duration::from_secs(4));
        fleet.offer(1_000_000.0, Duration::from_millis(1_500));
        fleet.configure(raised);
        fleet.offer(1_000_000.0, Duration::from_secs(10));
        let most = fleet.max_admitted_since(START);
        let allowed = raised.allowed();
        println!("seed {seed}: {most} of {allowed}");
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

#[test]
fn limit_that_boxes_change_one_after_the_other_gives_no_second_burst() {
    let limit = Limit { rate: 200_000.0, burst: 200_000.0 };
    let raised = Limit { rate: 240_000.0, burst: 240_000.0 };
    for seed in 1..=8 {
        let mut fleet = SimulatedFleet::new(76, seed, limit);
        fleet.offer(1_000_000.0, Duration::from_millis(1_500));
        fleet.configure_gradually(raised, Duration::from_millis(2_500));
        fleet.offer(1_000_000.0, Duration::from_secs(3));
        fleet.configure_gradually(limit, Duration::from_millis(2_500));
        fleet.offer(1_000_000.0, Duration::from_secs(6));
        let most = fleet.max_admitted_since(START);
        let allowed = raised.allowed();
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

#[test]
fn organisation_that_leaves_the_configuration_and_returns_gets_no_second_burst() {
    let limit = Limit { rate: 200_000.0, burst: 200_000.0 };
    let mut fleet = SimulatedFleet::new(76, 1, limit);
    for _ in 0..5 {
        fleet.offer(1_000_000.0, Duration::from_secs(2));
        fleet.remove_and_restore_organisation(limit);
    }
    let (most, allowed) = (fleet.max_admitted_since(START), limit.allowed());
    assert!(most <= allowed, "{most} of {allowed}");
}

/// Number of random schedules. In a manual run of 800, each stayed within the limit.
const SCHEDULES: u64 = 100;

/// Seeds of schedules in which an organisation once exceeded its limit, all with a flood during
/// cuts or restarts: boxes computed the shares that they admitted from usage data that was up to
/// 0.6 s old (709, 436, 465, 365).
const FAILED_ONCE: [u64; 4] = [365, 436, 465, 709];

/// Guards against schedules of network delays, cuts, restarts and configuration changes in which an
/// organisation that sends up to five times its limit gets more than operators allow. (That without
/// disturbances it is refused nothing within its limit is tested separately below.)
#[test]
fn no_schedule_of_disturbances_lets_an_organisation_exceed_its_allowance() {
    let mut violations = Vec::new();
    for seed in (1..=SCHEDULES).chain(FAILED_ONCE) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let rate = [40_000.0, 120_000.0, 320_000.0][random.random_range(0..3)];
        let limit = Limit { rate, burst: rate };
        let count = [3, 13, 76][random.random_range(0..3)];
        let mut fleet = SimulatedFleet::new(count, seed, limit);
        let mut disturbances = Vec::new();
        for _ in 0..14 {
            let load_factor = random.random_range(0.3..5.0);
            let time = Duration::from_millis(random.random_range(300..2_500));
            let disturbance = random.random_range(0..8);
            disturbances.push((disturbance, load_factor, time));
            match disturbance {
                0 => fleet.network_delay = Duration::from_millis(random.random_range(2..120)),
                1 => {
                    fleet.reconnect_all();
                    fleet.cut_off = (0..random.random_range(0..=count)).collect();
                }
                2 => fleet.restart(random.random_range(0..=count)),
                3 => fleet.remove_and_restore_organisation(limit),
                4 | 5 => fleet.reconnect_all(),
                _ => {}
            }
            fleet.offer(load_factor * rate, time);
        }
        let (most, allowed) = (fleet.max_admitted_since(START), limit.allowed());
        println!(
            "seed {seed}: {count} boxes, rate {rate}: {:.3} of what is allowed",
            most / allowed
        );
        if most > allowed {
            violations.push((seed, most / allowed, disturbances));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against an excess in a fleet of the intended size (295 entry boxes) with usage data that
/// is 0.3 s old.
#[test]
fn flood_in_a_large_fleet_with_old_usage_data_stays_in_bounds() {
    let limit = Limit { rate: 409_000.0, burst: 409_000.0 };
    for seed in 1..=2 {
        let mut fleet = SimulatedFleet::new(295, seed, limit);
        fleet.network_delay = Duration::from_millis(105);
        fleet.offer(0.56 * limit.rate, Duration::from_secs(4));
        fleet.offer(4.4 * limit.rate, Duration::from_secs(14));
        let (most, allowed) = (fleet.max_admitted_since(START), limit.allowed());
        println!("seed {seed}: {:.3} of what is allowed", most / allowed);
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
        assert!(most >= 8.0 * limit.rate, "seed {seed}: {most} of {allowed}");
    }
}

#[test]
fn organisation_within_its_limit_is_refused_nothing() {
    for seed in 1..=8 {
        let limit = Limit { rate: 200_000.0, burst: 200_000.0 };
        let mut fleet = SimulatedFleet::new(76, seed, limit);
        fleet.offer(0.6 * limit.rate, Duration::from_secs(20));
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

#[test]
fn new_organisation_is_served_at_once() {
    let limit = Limit { rate: 200_000.0, burst: 200_000.0 };
    let mut fleet = SimulatedFleet::new(13, 1, limit);
    let mut configuration = configuration(fleet.version + 1, limit);
    configuration.organisations[0].name = "new".to_owned();
    for quotas in &fleet.boxes {
        quotas.configure(fleet.now, configuration.version, &configuration.organisations);
        assert_eq!(quotas.charge(fleet.now, "request", "new", 900), Ok(()));
    }
    fleet.boxes[0] = Quotas::new(Some(ALLOWANCE));
    assert!(fleet.boxes[0].are_synced(), "no organisation is configured yet");
    fleet.boxes[0].configure(fleet.now, configuration.version, &configuration.organisations);
    assert!(!fleet.boxes[0].are_synced());
    assert!(fleet.boxes[0].charge(fleet.now, "request", "new", 900).is_err());
}

/// Guards against reports that list every organisation: with many organisations, such reports by
/// each box ten times a second kept the control boxes of a large fleet busy all the time.
#[test]
fn report_lists_only_organisations_with_recent_requests_unless_it_is_full() {
    let limit = Limit { rate: 200_000.0, burst: 200_000.0 };
    let mut fleet = SimulatedFleet::new(1, 1, limit);
    fleet.offer(100_000.0, Duration::from_secs(1));
    let reported = |fleet: &SimulatedFleet, all| fleet.boxes[0].own_usage(fleet.now, 0, all).len();
    assert_eq!((reported(&fleet, false), reported(&fleet, true)), (1, 1));
    fleet.offer(0.0, Duration::from_secs(2));
    assert_eq!((reported(&fleet, false), reported(&fleet, true)), (0, 1));
}

#[test]
fn control_box_that_starts_counts_no_earlier_demand_as_present_demand() {
    let limit = Limit { rate: 200_000.0, burst: 200_000.0 };
    let mut fleet = SimulatedFleet::new(3, 1, limit);
    fleet.offer(100_000.0, Duration::from_secs(10));
    fleet.offer(0.0, Duration::from_secs(3));
    fleet.ledger = UsageLedger::default();
    (0..3).for_each(|i| fleet.send_report_from(i, 0));
    fleet.offer(10_000.0, Duration::from_secs(2));
    let totals = fleet.ledger.quotas().totals(fleet.now, 0);
    let demand = totals.get(ORGANISATION).map_or(0, |total| total.demand);
    assert!(demand < 50_000, "demand of {demand} a second, though 10,000 are offered");
}

/// Share of the allowed units that an organisation gets at most in 8 s, under a flood, while the
/// entry boxes reconnect one after the other within 3 s to a control box that has just started.
/// `known` maps the number of reconnected boxes to the number that the control box assumes may be
/// running.
fn share_while_boxes_reconnect(seed: u64, known: impl Fn(usize) -> usize) -> f64 {
    let mut fleet = SimulatedFleet::new(LARGE_FLEET, seed, LOWERED);
    fleet.offer(8.0 * LOWERED.rate, Duration::from_secs(10));
    let from = fleet.now;
    fleet.replace_control_box();
    fleet.offer(8.0 * LOWERED.rate, Duration::from_secs(2));
    for i in 0..LARGE_FLEET {
        fleet.known_boxes = known(i + 1) as u32;
        fleet.reconnect(i);
        fleet.offer(8.0 * LOWERED.rate, Duration::from_millis(10));
    }
    fleet.offer(8.0 * LOWERED.rate, Duration::from_secs(8));
    fleet.max_admitted_since(from) / LOWERED.allowed()
}

/// Number of entry boxes of a large fleet.
const LARGE_FLEET: usize = 295;

/// Guards against an excess while entry boxes reconnect to a restarted control box. An organisation
/// once got 1.015 of what is allowed after control boxes had been unreachable for seconds; this
/// simulation does not reproduce it, neither where the control box counts the boxes that may still
/// reconnect nor where it counts only those that have reconnected.
#[test]
fn organisation_gets_no_more_while_boxes_reconnect_to_a_restarted_control_box() {
    for seed in 1..=2 {
        let all = share_while_boxes_reconnect(seed, |_| LARGE_FLEET);
        let connected = share_while_boxes_reconnect(seed, |connected| connected);
        println!(
            "seed {seed}: {all:.3} of what is allowed; counting only connected boxes {connected:.3}"
        );
        assert!(all <= 1.0 && connected <= 1.0, "seed {seed}");
    }
}

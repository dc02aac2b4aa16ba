//! Sizing a fleet by what callers get, on simulated days.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use vaneway_capacity::Bound;
use vaneway_capacity::Callers;
use vaneway_capacity::InTime;
use vaneway_capacity::Input;
use vaneway_capacity::Kind;
use vaneway_capacity::Objective;
use vaneway_capacity::Planner;
use vaneway_capacity::Policy;
use vaneway_capacity::Zone;

use crate::simulated_sizing::Day;
use crate::simulated_sizing::RequestKind;
use crate::simulated_sizing::play;

/// Prompts that differ much, before tight objectives.
const UNEVEN: [RequestKind; 3] = [
    RequestKind { rate: 104.0, prompt: (0.080, 1.4), objective: 0.8 },
    RequestKind { rate: 214.0, prompt: (0.010, 1.0), objective: 0.4 },
    RequestKind { rate: 198.0, prompt: (0.022, 1.3), objective: 0.5 },
];

/// Prompts that are much alike, before loose objectives.
const EVEN: [RequestKind; 2] = [
    RequestKind { rate: 300.0, prompt: (0.030, 0.5), objective: 1.2 },
    RequestKind { rate: 100.0, prompt: (0.030, 0.5), objective: 1.0 },
];

const UTILISATION: Policy = Policy {
    busy_most: 0.6,
    busy_scarce: 0.7,
    on_demand_least: 0,
    last_share: 0.4,
    demand_kept: Duration::from_secs(20),
    scarce_kept: Duration::from_secs(6),
    distrust: Duration::from_secs(3),
    in_time: None,
};

const IN_TIME: Policy = Policy { in_time: Some(InTime { target: 0.95 }), ..UTILISATION };

const DAYS: [(&str, Day<'static>); 6] = [
    ("steady", Day { ..CALM }),
    ("wave", Day { wave: 0.3, ..CALM }),
    ("burst", Day { burst: Some((30.0, 34.0, 1.4)), ..CALM }),
    ("slow spells", Day { slow_spells: true, ..CALM }),
    ("late start", Day { begins_at: 20.0, ..CALM }),
    (
        "reclaims",
        Day {
            wave: 0.3,
            reclaims: &[(20.0, 0), (22.0, 2), (24.0, 1)],
            nothing_until: 34.0,
            ..CALM
        },
    ),
];

const CALM: Day<'static> = Day {
    wave: 0.0,
    burst: None,
    reclaims: &[],
    nothing_until: 0.0,
    slow_spells: false,
    begins_at: 0.0,
};

const SEED: u64 = 7;

#[test]
fn uneven_prompts_are_in_time_where_a_fixed_utilisation_leaves_callers_late() {
    for (name, day) in DAYS {
        let fixed = play(UTILISATION, &UNEVEN, day, SEED);
        let sized = play(IN_TIME, &UNEVEN, day, SEED);
        println!("{name}: {fixed:?} {sized:?}");
        assert!(1.0 - sized.in_time < 0.75 * (1.0 - fixed.in_time), "{name}: {fixed:?} {sized:?}");
    }
}

/// Guards against replicas ordered for callers that need none: prompts that are alike are in time
/// at the target utilisation.
#[test]
fn fleet_that_has_enough_is_not_enlarged() {
    for (name, day) in DAYS {
        let fixed = play(UTILISATION, &EVEN, day, SEED);
        let sized = play(IN_TIME, &EVEN, day, SEED);
        println!("{name}: {fixed:?} {sized:?}");
        assert!(f64::from(sized.at_end) <= 1.1 * f64::from(fixed.at_end), "{fixed:?} {sized:?}");
        assert!(sized.in_time >= fixed.in_time - 0.001, "{name}: {fixed:?} {sized:?}");
    }
}

/// Guards against a fleet that loses most of its replicas on its first reading of the demand: 28 of
/// 44 left at once five seconds after the first work, and the next reclaim found four in each zone.
#[test]
fn fleet_shrinks_by_steps() {
    for kinds in [&UNEVEN[..], &EVEN[..]] {
        for (name, day) in DAYS {
            let sized = play(IN_TIME, kinds, day, SEED);
            assert!(sized.most_let_go <= 0.1, "{name}: {sized:?}");
        }
    }
}

/// A fleet of 12 replicas in each of 4 zones that keeps `demand` of them busy.
fn fleet(demand: Option<f64>) -> Input {
    let zones = ["a", "b", "c", "d"];
    Input {
        demand,
        zones: zones.map(|name| Zone { name: name.to_owned(), price: 1.0 }).into(),
        min_per_zone: 1,
        max_per_zone: 30,
        startup_time: Duration::from_secs(4),
        running: zones.map(|name| ((name.to_owned(), Kind::Reclaimable), 12)).into(),
        leaving: BTreeMap::new(),
        lost_to_limits: 0.0,
    }
}

fn callers(in_time: f64) -> Callers {
    let objectives = vec![Objective { within: Duration::from_millis(400), requests: 100 }];
    Callers { prompt_rest_s: 0.1, objectives, in_time: Some(in_time) }
}

/// Plans for `seconds` with replicas that follow every order at once; returns how many run.
fn plan_for(planner: &mut Planner, start: Instant, input: &mut Input, seconds: u32) -> u32 {
    for second in 0..seconds {
        let now = start + Duration::from_secs(second.into());
        for order in planner.plan(now, input) {
            input.running.insert((order.zone.clone(), order.kind), order.count);
            planner.record_answer(now, &order, vaneway_capacity::Answer::Taken);
        }
    }
    input.running.values().sum()
}

#[test]
fn what_callers_get_changes_nothing_unless_the_policy_asks_for_it() {
    let start = Instant::now();
    for demand in [None, Some(2.0), Some(6.7), Some(20.0), Some(60.0)] {
        let mut unaware = Planner::new(UTILISATION);
        let mut aware = Planner::new(UTILISATION);
        for second in 0..60 {
            let now = start + Duration::from_secs(second);
            let input = fleet(demand.filter(|_| second > 5));
            aware.observe_callers(Some(callers(if second % 2 == 0 { 0.2 } else { 1.0 })));
            assert_eq!(aware.plan(now, &input), unaware.plan(now, &input));
        }
        assert_eq!(aware.decision(), None);
    }
}

/// Guards against a fleet that never shrinks because callers are late for another reason than its
/// size, and against one that shrinks to the forecast although callers are late.
#[test]
fn late_callers_hold_a_bounded_part_of_the_fleet() {
    let size_with = |in_time| {
        let start = Instant::now();
        let mut planner = Planner::new(IN_TIME);
        planner.observe_callers(Some(callers(in_time)));
        let mut input = fleet(None);
        plan_for(&mut planner, start, &mut input, 1);
        input.demand = Some(5.0);
        let size = plan_for(&mut planner, start, &mut input, 60);
        (size, planner.decision().unwrap())
    };
    let (served, decision) = size_with(1.0);
    assert_eq!((decision.bound, served), (Bound::Forecast, 16));
    let (late, decision) = size_with(0.5);
    assert_eq!((decision.bound, late), (Bound::Late, 24));
}

/// Guards against on-demand substitutes by utilisation alone: half of the callers were refused or late
/// while all reclaimable replicas were gone, although replicas were to be had.
#[test]
fn on_demand_replicas_that_stand_in_are_as_many_as_callers_need() {
    let substitutes = |policy: Policy, prompt_rest_s| {
        let start = Instant::now();
        let mut planner = Planner::new(policy);
        planner.observe_callers(Some(Callers { prompt_rest_s, ..callers(0.5) }));
        let mut input = fleet(Some(5.0));
        plan_for(&mut planner, start, &mut input, 1);
        for ((zone, _), count) in std::mem::take(&mut input.running) {
            input.leaving.insert(zone, count);
        }
        let orders = planner.plan(start + Duration::from_secs(1), &input);
        let on_demand = orders.iter().filter(|order| order.kind == Kind::OnDemand);
        on_demand.map(|order| order.count).sum::<u32>()
    };
    let uneven = substitutes(IN_TIME, 0.1);
    let forecast = callers(0.5).replicas(5.0, 0.95, 1);
    assert!(uneven >= forecast, "{uneven} on demand, {forecast} needed");
    assert_eq!(substitutes(IN_TIME, 0.001), substitutes(UTILISATION, 0.001));
}

/// Guards against a control box that takes over and orders what utilisation alone requires, or that
/// begins to shrink the fleet anew.
#[test]
fn control_box_that_takes_over_goes_on_from_the_same_size() {
    let start = Instant::now();
    let mut leader = Planner::new(IN_TIME);
    let mut follower = Planner::new(IN_TIME);
    let mut input = fleet(None);
    for second in 0..20 {
        let now = start + Duration::from_secs(second);
        input.demand = Some(5.0).filter(|_| second > 5);
        for planner in [&mut leader, &mut follower] {
            planner.observe_callers(Some(callers(1.0)));
        }
        follower.observe(now, &input);
        for order in leader.plan(now, &input) {
            input.running.insert((order.zone.clone(), order.kind), order.count);
            leader.record_answer(now, &order, vaneway_capacity::Answer::Taken);
        }
    }
    let now = start + Duration::from_secs(20);
    let orders = leader.plan(now, &input);
    assert_eq!(follower.plan(now, &input), orders);
    assert_eq!(follower.decision(), leader.decision());
}

//! Control boxes with little processor time and a large fleet of entry boxes.
//!
//! docs/incidents/control-overload.md describes the incident that these tests guard against.

use std::collections::BTreeMap;
use std::path::Path;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Fleet;
use vaneway_test_support::Throttle;
use vaneway_test_support::fleet;

/// Number of entry boxes in the largest fleet.
const ENTRIES: usize = 300;

/// Number of control boxes in that fleet.
const BOXES: u8 = 5;

/// Number of requests after which the quota usage of all retained slots, 12 s, has been reported.
const REQUESTS: u64 = 12_000;

/// Guards against control boxes that elect no leader because entry boxes close their connections
/// and connect again before they are admitted.
#[test]
fn control_boxes_that_start_together_elect_a_leader_and_update_a_large_fleet() {
    restart_with_share_of_a_core(0.3);
}

/// Guards against consensus messages that are delayed by the reports of entry boxes, where these
/// are more than control boxes have processor time for.
#[test]
fn control_boxes_with_too_little_time_for_all_reports_elect_a_leader_and_update_a_large_fleet() {
    restart_with_share_of_a_core(0.06);
}

/// Restarts all control boxes of a large fleet together, each with a share of a core.
fn restart_with_share_of_a_core(core_share: f64) {
    let mut boxes = ThrottledGroup::start(core_share);
    let fleet = Fleet::start(&boxes.group, ENTRIES);
    fleet.wait_for_version(1);
    fleet.wait_for_requests(REQUESTS);

    boxes.restart(&ALL, &[]);
    boxes.put_in_force(2, &fleet);
    boxes.assert_all_respond();
}

/// Faults of control boxes between two changes.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// All are killed.
    AllKilled,
    /// The one that leads is killed.
    LeaderKilled,
    /// All are killed, and one loses its disk.
    AllKilledOneWiped,
    /// Two are killed while the others continue to run.
    TwoKilled,
}

/// Number of faults, each followed by a change, for one seed.
const ROUNDS: u64 = 6;

/// Number of entry boxes in the test with several rounds.
const ENTRIES_OF_ROUNDS: usize = 120;

/// Guards against an accepted change that is lost, or is not in force at every entry box, after
/// faults of control boxes that have 0.15 of a core each. `VANEWAY_SEED` selects another series of
/// faults.
#[test]
fn accepted_configurations_survive_series_of_faults() {
    let seed = std::env::var("VANEWAY_SEED").map_or(1, |seed| seed.parse().expect("a number"));
    println!("seed {seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut boxes = ThrottledGroup::start(0.15);
    let fleet = Fleet::start(&boxes.group, ENTRIES_OF_ROUNDS);
    fleet.wait_for_version(1);
    let faults =
        [Fault::AllKilled, Fault::LeaderKilled, Fault::AllKilledOneWiped, Fault::TwoKilled];
    for version in 2..2 + ROUNDS {
        let fault = faults[rng.random_range(0..faults.len())];
        let one = rng.random_range(0..ALL.len());
        println!("version {version} after {fault:?}, box {one}");
        match fault {
            Fault::AllKilled => boxes.restart(&ALL, &[]),
            Fault::LeaderKilled => {
                let leader = boxes.group.leader();
                boxes.restart(&[leader], &[]);
            }
            Fault::AllKilledOneWiped => boxes.restart(&ALL, &[one]),
            Fault::TwoKilled => boxes.restart(&[one, (one + 1) % ALL.len()], &[]),
        }
        boxes.put_in_force(version, &fleet);
        // A disk may be lost again only once all five boxes are voters.
        boxes.group.wait_for_voters();
    }
    boxes.assert_all_respond();
}

/// All control boxes.
const ALL: [usize; BOXES as usize] = [0, 1, 2, 3, 4];

/// Control boxes, of which each is throttled to a share of a core from its first restart on.
struct ThrottledGroup {
    /// Declared before `group`, so that throttles are dropped before the processes.
    throttles: BTreeMap<usize, Throttle>,
    group: ControlGroup,
    core_share: f64,
}

impl ThrottledGroup {
    /// Starts the boxes with a first configuration and the fleet's endpoints, without throttles.
    fn start(core_share: f64) -> Self {
        let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), BOXES);
        group.configure(&fleet::configuration(1));
        fleet::register_endpoints(&group);
        Self { throttles: BTreeMap::new(), group, core_share }
    }

    /// Kills boxes, of which some lose their disks, and starts them together, throttled.
    fn restart(&mut self, killed: &[usize], wiped: &[usize]) {
        for i in killed {
            self.throttles.remove(i);
            self.group.kill(*i);
        }
        for i in wiped {
            self.group.wipe(*i);
        }
        for i in killed {
            self.group.start_box(*i, false);
        }
        for i in killed {
            let throttle = Throttle::start(self.group.process(*i), self.core_share);
            self.throttles.insert(*i, throttle);
        }
    }

    fn put_in_force(&self, version: u64, fleet: &Fleet) {
        self.group.configure(&fleet::configuration(version));
        fleet.wait_for_version(version);
        assert_eq!(self.group.configuration()["version"], version);
    }

    fn assert_all_respond(&self) {
        for i in ALL {
            let responds = |at| at == i && !self.group.state(i).is_null();
            self.group.until("the box responds", responds);
        }
    }
}

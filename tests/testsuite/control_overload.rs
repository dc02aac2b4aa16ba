//! Control boxes with little processor time and a large fleet of entry boxes.
//!
//! What happened once, and why, is in docs/incidents/control-overload.md.

use std::collections::BTreeMap;
use std::path::Path;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Fleet;
use vaneway_test_support::Throttle;
use vaneway_test_support::fleet;

/// Entry boxes: as many as the largest fleet has.
const ENTRIES: usize = 300;

/// Control boxes of that fleet.
const BOXES: u8 = 5;

/// Requests after which the use of quotas of all slots that are kept has been told: 12 s of them.
const REQUESTS: u64 = 12_000;

/// Guards against entry boxes that give up and come again before control boxes have taken them in, so that none leads.
#[test]
fn control_boxes_that_start_together_lead_and_tell_a_large_fleet() {
    restart_with_part_of_a_core(0.3);
}

/// Guards against an agreement that waits behind what entry boxes tell, where they have more to tell than there is time for.
#[test]
fn control_boxes_with_too_little_time_for_all_reports_still_lead_and_tell_a_large_fleet() {
    restart_with_part_of_a_core(0.06);
}

/// Starts all control boxes of a large fleet together, each with a part of a core.
fn restart_with_part_of_a_core(part: f64) {
    let mut boxes = ThrottledGroup::start(part);
    let fleet = Fleet::start(&boxes.group, ENTRIES);
    fleet.wait_for_version(1);
    fleet.wait_for_requests(REQUESTS);

    boxes.restart(&ALL, &[]);
    boxes.put_in_force(2, &fleet);
    boxes.check_all_answer();
}

/// What befalls control boxes between two changes.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// All are killed.
    AllKilled,
    /// The one that leads is killed.
    LeaderKilled,
    /// All are killed, and one loses its disk.
    AllKilledOneWiped,
    /// Two are killed while the others go on.
    TwoKilled,
}

/// Rounds of one seed.
const ROUNDS: u64 = 6;

/// Entry boxes where many rounds are played.
const ENTRIES_OF_ROUNDS: usize = 120;

/// Each change that was accepted is in force at every entry box and can be read back, whatever befell the
/// control boxes before and however little time they have. `VANEWAY_SEED` plays another series.
#[test]
fn accepted_configurations_last_through_series_of_troubles() {
    let seed = std::env::var("VANEWAY_SEED").map_or(1, |seed| seed.parse().expect("a number"));
    println!("seed {seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut boxes = ThrottledGroup::start(0.15);
    let fleet = Fleet::start(&boxes.group, ENTRIES_OF_ROUNDS);
    fleet.wait_for_version(1);
    let troubles =
        [Trouble::AllKilled, Trouble::LeaderKilled, Trouble::AllKilledOneWiped, Trouble::TwoKilled];
    for version in 2..2 + ROUNDS {
        let trouble = troubles[rng.random_range(0..troubles.len())];
        let one = rng.random_range(0..ALL.len());
        println!("version {version} after {trouble:?}, box {one}");
        match trouble {
            Trouble::AllKilled => boxes.restart(&ALL, &[]),
            Trouble::LeaderKilled => {
                let leader = boxes.group.leader();
                boxes.restart(&[leader], &[]);
            }
            Trouble::AllKilledOneWiped => boxes.restart(&ALL, &[one]),
            Trouble::TwoKilled => boxes.restart(&[one, (one + 1) % ALL.len()], &[]),
        }
        boxes.put_in_force(version, &fleet);
        // The next loss of a disk may come only when there are five voters again.
        boxes.group.wait_for_voters();
    }
    boxes.check_all_answer();
}

/// All control boxes.
const ALL: [usize; BOXES as usize] = [0, 1, 2, 3, 4];

/// Control boxes that get a part of a core each once they were started again.
struct ThrottledGroup {
    /// Dropped before the processes.
    throttles: BTreeMap<usize, Throttle>,
    group: ControlGroup,
    part: f64,
}

impl ThrottledGroup {
    /// Starts boxes with a first configuration and the fleet's endpoints, not throttled yet.
    fn start(part: f64) -> Self {
        let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), BOXES);
        group.configure(&fleet::configuration(1));
        fleet::register_endpoints(&group);
        Self { throttles: BTreeMap::new(), group, part }
    }

    /// Kills boxes, of which some lose their disks, and starts them together with their part of a core.
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
            let throttle = Throttle::start(self.group.process(*i), self.part);
            self.throttles.insert(*i, throttle);
        }
    }

    fn put_in_force(&self, version: u64, fleet: &Fleet) {
        self.group.configure(&fleet::configuration(version));
        fleet.wait_for_version(version);
        assert_eq!(self.group.configuration()["version"], version);
    }

    fn check_all_answer(&self) {
        for i in ALL {
            let answers = |at| at == i && !self.group.state(i).is_null();
            self.group.until("the box still answers", answers);
        }
    }
}

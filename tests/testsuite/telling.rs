//! What entry boxes are told of each other, and by which control boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use serde_json::json;
use vaneway_registry::InstanceId;
use vaneway_route::CACHED_PART_MAX_AGE;
use vaneway_route::Load;
use vaneway_server::core::cached_parts::PartLedger;
use vaneway_server::core::cluster::advertised_control_boxes::AdvertisedControlBoxes;
use vaneway_server::core::cluster::publishers::MAX_PUBLISHERS;
use vaneway_server::core::cluster::publishers::Publisher;
use vaneway_server::core::cluster::publishers::choose;
use vaneway_server::core::entry_incarnation::EntryIncarnation;
use vaneway_server::core::loads::LoadLedger;
use vaneway_server::core::loads::Loads;
use vaneway_test_support::AdvertisingControlBox;
use vaneway_test_support::Process;
use vaneway_test_support::control_group::ControlGroup;
use vaneway_test_support::naming_control_box;

use crate::property;

fn address(i: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i], 7_600))
}

/// Control boxes that were heard just now, the first of them in the entry box's availability zone.
fn known(count: u8) -> Vec<Publisher> {
    let publisher = |i| Publisher {
        address: address(i),
        same_zone: i == 0,
        since_last_message: Duration::from_millis(100),
        connection_age: Duration::from_mins(1),
    };
    (0..count).map(publisher).collect()
}

#[test]
fn control_box_of_the_own_zone_tells_and_each_other_one_tells_its_part_of_the_entry_boxes() {
    let known = known(5);
    let mut told = BTreeMap::<SocketAddr, u32>::new();
    for i in 0..400 {
        let chosen = choose(&format!("entry-{i}"), &known);
        assert_eq!((chosen.len(), chosen[0]), (MAX_PUBLISHERS, address(0)));
        *told.entry(chosen[1]).or_default() += 1;
    }
    let counts: Vec<u32> = told.into_values().collect();
    assert!(
        counts.len() == 4 && counts.iter().all(|count| (70..130).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn control_box_that_went_silent_or_has_just_connected_tells_only_if_there_is_no_better_one() {
    let mut known = known(3);
    known[0].since_last_message = Duration::from_millis(700);
    let chosen = choose("entry", &known);
    assert!(!chosen.contains(&address(0)), "{chosen:?}");
    known[0].since_last_message = Duration::ZERO;
    known[0].connection_age = Duration::from_millis(200);
    assert_eq!(choose("entry", &known), chosen);
    known.truncate(1);
    assert_eq!(choose("entry", &known), [address(0)]);
}

/// Entry boxes share quotas by how many they may be. A control box that counted only those that are connected
/// already would share out whole quotas among the first.
#[test]
fn control_box_that_starts_again_counts_entry_boxes_that_may_still_come() {
    let mut group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 1);
    group.leader();
    let entries: Vec<_> = (0..3).map(|i| group.start_entry(&format!("entry-{i}"))).collect();
    for entry in &entries {
        entry.wait_for_log(&["event=quotas_heard"]);
    }
    let is = |group: &ControlGroup, connected: u64, known: u64| {
        let state = group.state(0);
        state["entry_boxes"] == connected && state["entry_boxes_known"] == known
    };
    group.until("all are known", |_| is(&group, 3, 3));
    group.process(0).wait_for_log(&["event=endpoints_written", "entries=3"]);

    group.kill(0);
    drop(entries);
    group.start_box(0, false);
    let _first = group.start_entry("entry-0");
    group.until("one is back and two are known besides", |_| is(&group, 1, 3));
}

#[test]
fn two_control_boxes_tell_each_entry_box_also_after_one_of_them_died() {
    let mut group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 4);
    group.wait_for_voters();
    let entries: Vec<_> = (0..3).map(|i| group.start_entry(&format!("entry-{i}"))).collect();
    let told = |group: &ControlGroup, what: &str| {
        let told = |i| group.state(i)[what].as_u64().unwrap_or_default() as usize;
        group.running().into_iter().map(told).sum::<usize>()
    };
    let each_is_told = |group: &ControlGroup| {
        let quotas = told(group, "entry_boxes_told_quotas") == MAX_PUBLISHERS * entries.len();
        quotas && told(group, "entry_boxes_told_loads") == entries.len()
    };
    group.until("each entry box is told", |_| each_is_told(&group));
    group.kill(0);
    group.until("each entry box is told by the others", |_| each_is_told(&group));
}

/// Found on scale-1 of odalaigh-vane-large: a window's counts waited for entry boxes that had stopped as planned,
/// and were lost when all control boxes were killed meanwhile.
#[test]
fn entry_box_that_stops_as_planned_tells_all_control_boxes_that_it_has_told_all() {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 3);
    group.wait_for_voters();
    let entry = group.start_entry("entry-1");
    group.until("the entry box is known", |i| group.state(i)["entry_boxes"] == 1);
    entry.signal("TERM");
    assert_eq!(entry.wait(), Some(0));
    for i in group.running() {
        group.process(i).wait_for_log(&["event=entry_done", "entry=entry-1"]);
    }
}

/// An entry box in a folder of its own that knows one control box.
fn entry_that_knows(folder: &Path, seed: SocketAddr) -> Process {
    let settings = json!({
        "name": "entry-1",
        "availability_zone": "a",
        "availability_zones": ["a", "b"],
        "listen": "127.0.0.1:0",
        "operators": { "listen": "127.0.0.1:0" },
        "control": { "seeds": [seed], "port": seed.port() },
        "stop": { "accept_ms": 200, "finish_ms": 5_000 },
    });
    Process::spawn(Path::new(env!("CARGO_BIN_EXE_vaneway")), folder, &settings)
}

/// Reports that an entry box makes in half a second, long after it was told which control boxes there are.
const REPORTS: usize = 5;

/// A control box that has just been let in reads the agreement's log from its beginning, and named the control boxes that
/// there were then, itself not among them. All entry boxes left it, for it and every later leader to know nothing of
/// their requests.
#[test]
fn entry_box_stays_with_a_control_box_that_does_not_know_yet_that_it_takes_part() {
    let folder = tempfile::tempdir().unwrap();
    let listeners: [_; 2] = naming_control_box::bind();
    let [old, newcomer] = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
    let [of_old, of_newcomer] = listeners;
    let _old = AdvertisingControlBox::spawn(of_old, vec![old, newcomer]);
    let behind = AdvertisingControlBox::spawn(of_newcomer, vec![old]);
    let _entry = entry_that_knows(folder.path(), old);
    behind.wait_for_reports(REPORTS);
}

#[test]
fn control_box_is_left_once_no_connected_one_names_it() {
    let [a, b, c] = [1, 2, 3].map(address);
    let mut named = AdvertisedControlBoxes::default();
    let all = |named: &AdvertisedControlBoxes| named.all().into_iter().collect::<Vec<_>>();
    named.record(a, &[a, b], |_| true);
    named.record(b, &[a], |_| true);
    assert_eq!(all(&named), [a, b], "one that is behind takes nothing away");
    named.record(a, &[a, c], |_| true);
    assert_eq!(all(&named), [a, c]);
    named.record(c, &[b, c], |other| *other == c);
    assert_eq!(
        all(&named),
        [b, c],
        "what one named that was lost counts until another one names some"
    );
}

/// Something that a control box hears, or the loss of an entry box.
#[derive(Debug, TypeGenerator)]
struct Step {
    what: u8,
    entry: u8,
    /// Endpoints and the requests open there.
    told: Vec<(u8, u8)>,
}

/// What a control box knows is the sum of what the entry boxes last told, whatever is lost or told twice;
/// and who takes in all changes knows as much.
#[test]
fn sums_of_loads_are_those_of_what_each_entry_box_last_told() {
    property::check("sums of loads", 500, |steps: Vec<Step>| {
        let mut ledger = LoadLedger::default();
        let mut last = BTreeMap::<EntryIncarnation, BTreeMap<InstanceId, Load>>::new();
        let mut heard = BTreeMap::<InstanceId, Load>::new();
        for Step { what, entry, told } in steps {
            let entry = (format!("entry-{}", entry % 3), u64::from(entry % 2));
            let load = |(endpoint, requests): (u8, u8)| {
                let requests = u32::from(requests % 3);
                let load = Load { requests, tokens: u64::from(requests) * 100 };
                (format!("i-{}", endpoint % 4), load)
            };
            let told: BTreeMap<InstanceId, Load> = told.into_iter().map(load).collect();
            let loads: Loads = told.clone().into_iter().collect();
            let known = last.entry(entry.clone()).or_default();
            match what % 4 {
                0 => {
                    ledger.remove(&entry);
                    known.clear();
                }
                1 => {
                    ledger.replace(&entry, &loads);
                    *known = told;
                }
                _ => {
                    ledger.update(&entry, &loads);
                    known.extend(told);
                }
            }
            let mut sums = BTreeMap::<InstanceId, Load>::new();
            for (id, load) in last.values().flatten() {
                let sum = sums.entry(id.clone()).or_default();
                sum.requests += load.requests;
                sum.tokens += load.tokens;
            }
            sums.retain(|_, sum| *sum != Load::default());
            assert_eq!(ledger.all().into_iter().collect::<BTreeMap<_, _>>(), sums);
            heard.extend(ledger.take_changed());
            heard.retain(|_, sum| *sum != Load::default());
            assert_eq!(heard, sums);
        }
    });
}

#[test]
fn part_that_several_entry_boxes_tell_at_once_is_passed_on_once() {
    let start = Instant::now();
    let brought = |parts: &[u64]| vec![("i-1".to_owned(), parts.to_vec())];
    let mut ledger = PartLedger::default();
    ledger.record(start, &brought(&[7, 8]));
    ledger.record(start + Duration::from_millis(60), &brought(&[7, 9]));
    assert_eq!(ledger.take_updates(), brought(&[7, 8, 9]));
    ledger.record(start + Duration::from_millis(120), &brought(&[7]));
    assert_eq!(ledger.take_updates(), []);
    // Whoever uses it later says so, and it lasts longer than what nobody uses.
    ledger.record(start + CACHED_PART_MAX_AGE / 2, &brought(&[7]));
    assert_eq!(ledger.take_updates(), brought(&[7]));
    ledger.expire(start + CACHED_PART_MAX_AGE + Duration::from_millis(60));
    assert_eq!(ledger.all(), brought(&[7]));
    ledger.expire(start + 2 * CACHED_PART_MAX_AGE);
    assert_eq!(ledger.all(), []);
}

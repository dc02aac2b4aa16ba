//! Updates to entry boxes about each other, and the choice of the control boxes that publish them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use serde_json::json;
use vaneway_ledger::EntryIncarnation;
use vaneway_ledger::LoadLedger;
use vaneway_ledger::Loads;
use vaneway_registry::InstanceId;
use vaneway_route::CACHED_PART_MAX_AGE;
use vaneway_route::Load;
use vaneway_server::core::cached_parts::PartLedger;
use vaneway_server::core::cluster::advertised_control_boxes::AdvertisedControlBoxes;
use vaneway_server::core::cluster::publishers::MAX_PUBLISHERS;
use vaneway_server::core::cluster::publishers::Publisher;
use vaneway_server::core::cluster::publishers::choose;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::util::frames;
use vaneway_test_support::AdvertisingControlBox;
use vaneway_test_support::Process;
use vaneway_test_support::control_group::ControlGroup;
use vaneway_test_support::naming_control_box;

use crate::property;

fn address(i: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i], 7_600))
}

/// Control boxes that sent a message just now, the first of them in the entry box's availability
/// zone.
fn recent_publishers(count: u8) -> Vec<Publisher> {
    let publisher = |i| Publisher {
        address: address(i),
        same_zone: i == 0,
        since_last_message: Duration::from_millis(100),
        connection_age: Duration::from_mins(1),
    };
    (0..count).map(publisher).collect()
}

#[test]
fn control_box_of_the_same_zone_publishes_and_the_others_share_the_entry_boxes_evenly() {
    let publishers = recent_publishers(5);
    let mut chosen_as_second = BTreeMap::<SocketAddr, u32>::new();
    for i in 0..400 {
        let chosen = choose(&format!("entry-{i}"), &publishers);
        assert_eq!((chosen.len(), chosen[0]), (MAX_PUBLISHERS, address(0)));
        *chosen_as_second.entry(chosen[1]).or_default() += 1;
    }
    let counts: Vec<u32> = chosen_as_second.into_values().collect();
    assert!(
        counts.len() == 4 && counts.iter().all(|count| (70..130).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn unresponsive_or_newly_connected_control_box_publishes_only_if_no_better_one_exists() {
    let mut publishers = recent_publishers(3);
    publishers[0].since_last_message = Duration::from_millis(700);
    let chosen = choose("entry", &publishers);
    assert!(!chosen.contains(&address(0)), "{chosen:?}");
    publishers[0].since_last_message = Duration::ZERO;
    publishers[0].connection_age = Duration::from_millis(200);
    assert_eq!(choose("entry", &publishers), chosen);
    publishers.truncate(1);
    assert_eq!(choose("entry", &publishers), [address(0)]);
}

/// Guards against a restarted control box that counts only the entry boxes already connected: since
/// quotas are divided by the number of boxes that may be running, the first ones to connect would
/// get the complete quotas.
#[test]
fn restarted_control_box_counts_entry_boxes_that_may_still_reconnect() {
    let mut group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 1);
    group.leader();
    let entries: Vec<_> = (0..3).map(|i| group.start_entry(&format!("entry-{i}"))).collect();
    for entry in &entries {
        entry.wait_for_log(&["event=quotas_heard"]);
    }
    let has_counts = |group: &ControlGroup, connected: u64, known: u64| {
        let state = group.state(0);
        state["entry_boxes"] == connected && state["entry_boxes_known"] == known
    };
    group.until("all entry boxes are known", |_| has_counts(&group, 3, 3));
    group.process(0).wait_for_log(&["event=endpoints_written", "entries=3"]);

    group.kill(0);
    drop(entries);
    group.start_box(0, false);
    let _first = group.start_entry("entry-0");
    group.until("one entry box is connected and three are known", |_| has_counts(&group, 1, 3));
}

#[test]
fn two_control_boxes_publish_to_each_entry_box_even_after_one_of_them_was_killed() {
    let mut group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 4);
    group.wait_for_voters();
    let entries: Vec<_> = (0..3).map(|i| group.start_entry(&format!("entry-{i}"))).collect();
    let total = |group: &ControlGroup, key: &str| {
        let value = |i| group.state(i)[key].as_u64().unwrap_or_default() as usize;
        group.running().into_iter().map(value).sum::<usize>()
    };
    let all_receive_updates = |group: &ControlGroup| {
        let quotas = total(group, "entry_boxes_told_quotas") == MAX_PUBLISHERS * entries.len();
        quotas && total(group, "entry_boxes_told_loads") == entries.len()
    };
    group.until("each entry box receives updates", |_| all_receive_updates(&group));
    group.kill(0);
    group.until("each entry box receives updates from the others", |_| all_receive_updates(&group));
}

/// Guards against usage windows that wait for reports of entry boxes which have stopped as planned:
/// on scale-1 of odalaigh-vane-large, such a window's counts were lost when all control boxes were
/// killed meanwhile.
#[test]
fn entry_box_that_stops_as_planned_sends_its_final_report_to_all_control_boxes() {
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

/// Starts an entry box in `folder` that knows one control box.
fn start_entry_with_seed(folder: &Path, seed: SocketAddr) -> Process {
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

/// Number of reports that an entry box sends in half a second, which ends long after it received
/// the list of control boxes.
const MIN_REPORTS: usize = 5;

/// Guards against entry boxes that leave a control box which has just been added: it reads the Raft
/// log from the beginning and advertised the members of that time, which did not include it. All
/// entry boxes left it, so that it and every later leader knew nothing of their requests.
#[test]
fn entry_box_stays_with_a_control_box_that_does_not_know_its_own_membership_yet() {
    let folder = tempfile::tempdir().unwrap();
    let listeners: [_; 2] = naming_control_box::bind();
    let [old, newcomer] = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
    let [of_old, of_newcomer] = listeners;
    let _old = AdvertisingControlBox::spawn(of_old, vec![old, newcomer]);
    let lagging = AdvertisingControlBox::spawn(of_newcomer, vec![old]);
    let _entry = start_entry_with_seed(folder.path(), old);
    lagging.wait_for_reports(MIN_REPORTS);
}

#[test]
fn control_box_is_left_once_no_connected_one_advertises_it() {
    let [a, b, c] = [1, 2, 3].map(address);
    let mut advertised = AdvertisedControlBoxes::default();
    let all =
        |advertised: &AdvertisedControlBoxes| advertised.all().into_iter().collect::<Vec<_>>();
    advertised.record(a, &[a, b], |_| true);
    advertised.record(b, &[a], |_| true);
    assert_eq!(all(&advertised), [a, b], "a control box that lags behind removes none");
    advertised.record(a, &[a, c], |_| true);
    assert_eq!(all(&advertised), [a, c]);
    advertised.record(c, &[b, c], |other| *other == c);
    assert_eq!(
        all(&advertised),
        [b, c],
        "the list of a lost control box counts until another one advertises a list"
    );
}

/// A load report that a control box receives, or the loss of an entry box.
#[derive(Debug, TypeGenerator)]
struct Step {
    /// Selects a loss, a full report or a change report.
    kind: u8,
    entry: u8,
    /// Endpoints and the requests open there.
    loads: Vec<(u8, u8)>,
}

/// Guards against sums at a control box that differ from the sum of the entry boxes' latest reports
/// after losses or repeated reports, and against receivers of all changes that arrive at other
/// sums.
#[test]
fn sums_of_loads_match_the_latest_report_of_each_entry_box() {
    property::check("sums of loads", 500, |steps: Vec<Step>| {
        let mut ledger = LoadLedger::default();
        let mut latest_loads = BTreeMap::<EntryIncarnation, BTreeMap<InstanceId, Load>>::new();
        let mut received = BTreeMap::<InstanceId, Load>::new();
        for Step { kind, entry, loads } in steps {
            let entry = (format!("entry-{}", entry % 3), u64::from(entry % 2));
            let load = |(endpoint, requests): (u8, u8)| {
                let requests = u32::from(requests % 3);
                let load = Load { requests, tokens: u64::from(requests) * 100 };
                (format!("i-{}", endpoint % 4), load)
            };
            let reported: BTreeMap<InstanceId, Load> = loads.into_iter().map(load).collect();
            let loads: Loads = reported.clone().into_iter().collect();
            let latest = latest_loads.entry(entry.clone()).or_default();
            match kind % 4 {
                0 => {
                    ledger.remove(&entry);
                    latest.clear();
                }
                1 => {
                    ledger.replace(&entry, &loads);
                    *latest = reported;
                }
                _ => {
                    ledger.update(&entry, &loads);
                    latest.extend(reported);
                }
            }
            let mut sums = BTreeMap::<InstanceId, Load>::new();
            for (id, load) in latest_loads.values().flatten() {
                let sum = sums.entry(id.clone()).or_default();
                sum.requests += load.requests;
                sum.tokens += load.tokens;
            }
            sums.retain(|_, sum| *sum != Load::default());
            assert_eq!(ledger.all().into_iter().collect::<BTreeMap<_, _>>(), sums);
            received.extend(ledger.take_changed());
            received.retain(|_, sum| *sum != Load::default());
            assert_eq!(received, sums);
        }
    });
}

#[test]
fn part_that_several_entry_boxes_report_at_once_is_forwarded_once() {
    let start = Instant::now();
    let cached_parts = |parts: &[u64]| vec![("i-1".to_owned(), parts.to_vec())];
    let mut ledger = PartLedger::default();
    ledger.record(start, &cached_parts(&[7, 8]));
    ledger.record(start + Duration::from_millis(60), &cached_parts(&[7, 9]));
    assert_eq!(ledger.take_updates(), cached_parts(&[7, 8, 9]));
    ledger.record(start + Duration::from_millis(120), &cached_parts(&[7]));
    assert_eq!(ledger.take_updates(), []);
    // A later use is reported again, and keeps the part longer than unused ones.
    ledger.record(start + CACHED_PART_MAX_AGE / 2, &cached_parts(&[7]));
    assert_eq!(ledger.take_updates(), cached_parts(&[7]));
    ledger.expire(start + CACHED_PART_MAX_AGE + Duration::from_millis(60));
    assert_eq!(ledger.all(), cached_parts(&[7]));
    ledger.expire(start + 2 * CACHED_PART_MAX_AGE);
    assert_eq!(ledger.all(), []);
}

/// Guards against an entry box that can't read what a control box of an earlier version sends, and
/// takes it for a box that doesn't answer.
#[test]
fn messages_of_an_earlier_version_can_be_read() {
    let pong = frames::decode::<ToEntry>(&[1, 5, 1, 7]);
    assert_eq!(pong, Some(ToEntry::Pong { sent_us: 5, time_us: Some(7) }));
    let rollouts = frames::decode::<ToEntry>(&[16, 0, 1]);
    assert_eq!(rollouts, Some(ToEntry::Rollouts { rollouts: Vec::new(), confirmed: true }));
}

//! Quarantine records that control boxes forward: exits of endpoints, and the requests that they
//! crashed under.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use vaneway_quarantine::Case;
use vaneway_quarantine::EpochTime;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::Progress;
use vaneway_quarantine::QuarantineRecord;
use vaneway_quarantine::Verdict;
use vaneway_server::core::cluster::wire::BetweenControl;
use vaneway_server::core::cluster::wire::FromEntry;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::core::cluster::wire::Wanted;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::WireControl;
use vaneway_test_support::WireEntry;
use vaneway_test_support::control_group::empty_configuration;

/// Number of control boxes.
const BOXES: u8 = 3;

/// Age at which the exit of an endpoint and a suspicion have expired.
const EXPIRED_AGE: Duration = Duration::from_secs(61);

/// Pings that each control box has answered before the last record is sent, which ends the count.
const PINGS: usize = 20;

/// Bounds the number of messages counted for a record, in case they are sent without end.
const MAX_COUNTED: usize = 1_000;

/// Guards against control boxes that send the exit of an endpoint to each other in an endless loop
/// once the record has expired.
#[test]
fn expired_exit_is_forwarded_once_at_most() {
    assert_forwarded_once_at_most(|at| QuarantineRecord::EndpointExited {
        endpoint: incarnation("old"),
        at,
    });
}

/// Guards against control boxes that send a suspicion to each other in an endless loop once the
/// record has expired.
#[test]
fn expired_suspicion_is_forwarded_once_at_most() {
    assert_forwarded_once_at_most(|at| {
        let crashes = BTreeMap::from([(incarnation("old"), Progress::Reading)]);
        let case = Case { crashes, verdict: Verdict::Suspected, at };
        QuarantineRecord::Case { fingerprint: 1, case }
    });
}

/// Guards against records that each control box forwards to all others, also if a control box sent
/// them. A record from a control box may be forwarded to entry boxes only.
#[test]
fn records_from_a_control_box_are_not_forwarded_to_the_other_control_boxes() {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), BOXES);
    group.configure(&empty_configuration(1));
    wait_until_all_are_connected(&group);
    let mut entries: Vec<WireEntry> =
        group.running().into_iter().map(|i| entry_that_subscribes(&group, i)).collect();
    let at = cluster_time(&mut entries[0]);
    let sent = QuarantineRecord::EndpointExited { endpoint: incarnation("told"), at };

    let peer = WireControl::connect(group.cluster_address(0));
    peer.send(BetweenControl::QuarantineRecords(vec![sent.clone()]));
    let mut at_first = 0;
    count_until(&mut entries[0], &sent, |message| contains_record(message, &sent), &mut at_first);
    assert_eq!(at_first, 1);

    // The first box forwards the record of an entry box after all that it forwarded before.
    let last = QuarantineRecord::EndpointExited { endpoint: incarnation("last"), at };
    entries[0].send(FromEntry::QuarantineRecords(vec![last.clone()]));
    for entry in &mut entries[1..] {
        let mut count = 0;
        count_until(entry, &sent, |message| contains_record(message, &last), &mut count);
        assert_eq!(count, 0);
    }
}

/// Sends an expired record to one of several control boxes, and asserts that the entry boxes at
/// each of them receive it at most once.
fn assert_forwarded_once_at_most(record: fn(EpochTime) -> QuarantineRecord) {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), BOXES);
    group.configure(&empty_configuration(1));
    wait_until_all_are_connected(&group);
    let mut entries: Vec<WireEntry> =
        group.running().into_iter().map(|i| entry_that_subscribes(&group, i)).collect();

    let old = record(cluster_time(&mut entries[0]).saturating_sub(EXPIRED_AGE));
    entries[0].send(FromEntry::QuarantineRecords(vec![old.clone()]));
    let mut counts = [0; BOXES as usize];
    for (entry, count) in entries.iter_mut().zip(&mut counts) {
        for _ in 0..PINGS {
            let number = entry.send_ping();
            let is_pong = |message: &ToEntry| match message {
                ToEntry::Pong { sent_us, .. } => *sent_us == number,
                _ => false,
            };
            count_until(entry, &old, is_pong, count);
        }
    }
    assert_at_most_one(&counts);
    assert_eq!(group.configuration()["version"], 1);

    let last = QuarantineRecord::EndpointExited {
        endpoint: incarnation("last"),
        at: cluster_time(&mut entries[0]),
    };
    entries[0].send(FromEntry::QuarantineRecords(vec![last.clone()]));
    for (entry, count) in entries.iter_mut().zip(&mut counts) {
        count_until(entry, &old, |message| contains_record(message, &last), count);
    }
    assert_at_most_one(&counts);
}

fn assert_at_most_one(counts: &[usize]) {
    let forwarded_once = counts.iter().all(|count| *count <= 1);
    assert!(forwarded_once, "messages with the same record, by control box: {counts:?}");
}

/// Adds to `count` the messages with a record that an entry box receives, up to the one for which
/// `is_last` holds.
fn count_until(
    entry: &mut WireEntry,
    record: &QuarantineRecord,
    is_last: impl Fn(&ToEntry) -> bool,
    count: &mut usize,
) {
    while *count < MAX_COUNTED {
        let message = entry.next_message();
        *count += usize::from(contains_record(&message, record));
        if is_last(&message) {
            return;
        }
    }
}

fn contains_record(message: &ToEntry, record: &QuarantineRecord) -> bool {
    matches!(message, ToEntry::QuarantineRecords(records) if records.contains(record))
}

fn incarnation(name: &str) -> Incarnation {
    Incarnation::new(name, 1)
}

fn wait_until_all_are_connected(group: &ControlGroup) {
    for i in group.running() {
        for other in group.running().into_iter().filter(|other| *other != i) {
            let address = format!("address={}", group.cluster_address(other));
            group.process(i).wait_for_log(&["event=peer_connected", &address]);
        }
    }
}

/// An entry box that has subscribed to the updates of a control box.
fn entry_that_subscribes(group: &ControlGroup, i: usize) -> WireEntry {
    let mut entry = WireEntry::connect(group.cluster_address(i), &format!("entry-{i}"));
    entry.send(FromEntry::Subscribe(Wanted { quotas: false, loads: true }));
    entry.ping();
    entry
}

/// Pings until the control box knows the cluster time; returns that time.
fn cluster_time(entry: &mut WireEntry) -> EpochTime {
    std::iter::repeat_with(|| entry.ping())
        .flatten()
        .next()
        .expect("the control box responds to pings")
}

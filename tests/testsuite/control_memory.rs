//! Memory of control boxes while entry boxes read updates slowly.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use vaneway_agreement::Append;
use vaneway_agreement::Entry;
use vaneway_agreement::Event;
use vaneway_agreement::Install;
use vaneway_agreement::Members;
use vaneway_agreement::Message;
use vaneway_agreement::Payload;
use vaneway_agreement::Snapshot;
use vaneway_registry::Details;
use vaneway_registry::Lifecycle;
use vaneway_registry::Report;
use vaneway_server::core::cluster::wire::FromEntry;
use vaneway_server::core::control::memory::strip_writes;
use vaneway_server::util::frames::EncodedFrame;
use vaneway_server::util::send_queue::BufferedBytes;
use vaneway_server::util::send_queue::SendQueue;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::SlowReaders;
use vaneway_test_support::WireEntry;
use vaneway_test_support::configurations::with_routes;
use vaneway_test_support::control_group::empty_configuration;
use vaneway_test_support::slow_readers::BoxVersion;

/// Number of entry boxes, a part of a large fleet.
const READERS: usize = 90;

/// Read rate of each: a tenth of a link of 10 Mbit/s; other control boxes and requests use the
/// remainder.
const SLOW_BYTES_A_SECOND: usize = 125_000;

/// Read rate that exceeds all bytes that are queued for one reader.
const FAST_BYTES_A_SECOND: usize = 20 << 20;

/// Number of routes in the users' largest configurations.
const ROUTES: usize = 5_000;

/// Number of configuration changes in quick succession.
const CHANGES: u64 = 24;

/// Maximum memory of control work on each node, in bytes.
const MAX_MEMORY: u64 = 256 << 20;

/// Guards against a control box that is killed at its memory limit, and against an acknowledged
/// change that entry boxes never receive: superseded versions stayed queued for each slow entry
/// box, and the newest version was dropped.
#[test]
fn burst_of_large_configurations_stays_within_memory_and_the_last_one_reaches_slow_entry_boxes() {
    configuration_burst(BoxVersion::Present);
}

/// Guards against the same faults with entry boxes of an earlier version, which do not request
/// configurations.
#[test]
fn burst_of_large_configurations_stays_within_memory_with_entry_boxes_of_an_earlier_version() {
    configuration_burst(BoxVersion::Earlier);
}

/// Number of endpoints of a large deployment.
const ENDPOINTS: usize = 2_000;

/// Number of times that all endpoints change, so often that the updates of one entry box exceed
/// what a control box may queue for it.
const ENDPOINT_CHANGES: u64 = 96;

/// Number of endpoints in a message; the updates that follow from it are too short to be shared by
/// queues.
const ENDPOINTS_PER_MESSAGE: usize = 100;

/// Guards against updates of endpoints that are queued for each entry box as they arise, and exceed
/// the memory of a control box together.
#[test]
fn burst_of_endpoint_changes_stays_within_memory_and_reaches_all_entry_boxes() {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 1);
    group.configure(&empty_configuration(1));
    let control = group.cluster_address(0);
    let readers =
        SlowReaders::connect(control, READERS, SLOW_BYTES_A_SECOND, BoxVersion::Present, 1);

    let mut sender = WireEntry::connect(control, "sender");
    for sequence in 1..=ENDPOINT_CHANGES {
        for reports in reports(sequence).chunks(ENDPOINTS_PER_MESSAGE) {
            sender.send(FromEntry::Leaving(reports.to_vec()));
        }
        sender.ping();
    }
    let peak = group.process(0).peak_resident_bytes();
    println!("{peak} bytes resident at most");
    assert!(peak <= MAX_MEMORY, "{peak} bytes resident, {MAX_MEMORY} allowed");

    readers.set_rate(FAST_BYTES_A_SECOND);
    readers.wait_for_endpoints(ENDPOINTS, ENDPOINT_CHANGES);
}

/// Reports of all endpoints with their heartbeat `sequence`, each of which changes the endpoint.
fn reports(sequence: u64) -> Vec<Report> {
    let report = |i: usize| Report {
        instance: format!("endpoint-of-a-large-deployment-{i}"),
        born: 1,
        sequence,
        lifecycle: Lifecycle::Ready,
        ends_in_ms: None,
        age_ms: 0,
        details: Some(Details {
            service: "service".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            availability_zone: "zone".to_owned(),
            slots: sequence as u32,
            reclaimable: false,
            software: "v1".to_owned(),
        }),
    };
    (0..ENDPOINTS).map(report).collect()
}

/// Number of entry boxes in a large fleet.
const ENTRY_BOXES: usize = 295;

/// Guards against send queues that are bounded each, and whose sum exceeds the memory of a control
/// box.
#[test]
fn bytes_queued_for_all_entry_boxes_fit_into_memory() {
    let buffered = Rc::new(BufferedBytes::default());
    let queues: Vec<SendQueue> = (0..ENTRY_BOXES).map(|_| SendQueue::new(&buffered)).collect();
    let message = EncodedFrame::new(&vec![0_u8; 15 << 10]);
    'all: for _ in 0..270 {
        for queue in &queues {
            queue.send_encoded(&message);
            if buffered.queued() as u64 > MAX_MEMORY {
                break 'all;
            }
        }
    }
    assert!(buffered.queued() as u64 <= MAX_MEMORY, "{} bytes are queued", buffered.queued());
}

fn configuration_burst(box_version: BoxVersion) {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 1);
    group.leader();
    let control = group.cluster_address(0);
    let readers = SlowReaders::connect(control, READERS, SLOW_BYTES_A_SECOND, box_version, 0);

    for version in 1..=CHANGES {
        group.configure(&with_routes(version, ROUTES));
    }
    let peak = group.process(0).peak_resident_bytes();
    println!("{peak} bytes resident at most");
    assert!(peak <= MAX_MEMORY, "{peak} bytes resident, {MAX_MEMORY} allowed");

    readers.set_rate(FAST_BYTES_A_SECOND);
    readers.wait_for_version(CHANGES);
}

/// Guards against a control box with a stalled disk that buffers entries without bound, and against
/// one that therefore receives no more heartbeats of its leader.
#[test]
fn append_to_a_box_whose_disk_is_behind_counts_as_a_heartbeat_only() {
    let append = |entries: Vec<Entry>| Event::Message {
        from: 7,
        message: Message::Append(Append {
            term: 3,
            prev_index: 4,
            prev_term: 2,
            entries,
            commit: 4,
            round: 9,
        }),
    };
    let entry = Entry { term: 3, index: 5, payload: Payload::Command(vec![0; 1_000]) };
    assert_eq!(strip_writes(append(vec![entry])), Some(append(vec![])));

    let snapshot =
        Snapshot { index: 9, term: 3, members: Members::with_voters([7]), data: vec![0; 1_000] };
    let install = Message::Install(Install { term: 3, snapshot, round: 9 });
    assert_eq!(strip_writes(Event::Message { from: 7, message: install }), None);
    assert_eq!(strip_writes(Event::Tick), Some(Event::Tick));
}

/// Guards against an entry box of an earlier version that is sent a change, which it cannot decode,
/// and keeps an old configuration.
#[test]
fn entry_box_of_an_earlier_version_that_connects_again_is_sent_the_full_configuration() {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 1);
    group.configure(&with_routes(1, 10));
    group.configure(&with_routes(2, 10));
    let control = group.cluster_address(0);
    let readers = SlowReaders::connect(control, 1, FAST_BYTES_A_SECOND, BoxVersion::Earlier, 1);
    readers.wait_for_version(2);
}

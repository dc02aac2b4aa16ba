//! Memory of control boxes while entry boxes take slowly what they are told.

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
use vaneway_server::core::control::memory::strip_writes;
use vaneway_server::util::frames::EncodedFrame;
use vaneway_server::util::send_queue::BufferedBytes;
use vaneway_server::util::send_queue::SendQueue;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::SlowReaders;
use vaneway_test_support::configurations::with_routes;
use vaneway_test_support::slow_readers::BoxVersion;

/// Entry boxes of a large fleet's part.
const READERS: usize = 90;

/// What each takes: a tenth of a link of 10 Mbit/s, whose rest goes to other control boxes and to requests.
const SLOW_BYTES_A_SECOND: usize = 125_000;

/// More than each has to take in all.
const FAST_BYTES_A_SECOND: usize = 20 << 20;

/// Routes of the users' largest configurations.
const ROUTES: usize = 5_000;

/// Changes of a storm.
const CHANGES: u64 = 24;

/// Memory that control may take on each node.
const MEMORY_MOST: u64 = 256 << 20;

/// Guards against a control box that its memory's limit ends, and against an acknowledged change that entry boxes never get:
/// versions that were overtaken waited for each slow entry box, and the newest one was dropped.
#[test]
fn storm_of_large_configurations_stays_within_memory_and_its_last_one_reaches_slow_entry_boxes() {
    storm(BoxVersion::Present);
}

/// Guards against the same beside entry boxes of an earlier version, which don't ask for configurations.
#[test]
fn storm_of_large_configurations_stays_within_memory_beside_entry_boxes_of_an_earlier_version() {
    storm(BoxVersion::Earlier);
}

/// Entry boxes of a large fleet.
const ENTRY_BOXES: usize = 295;

/// Guards against queues that each have a bound and are larger than a control box's memory in sum.
#[test]
fn what_waits_for_all_entry_boxes_fits_into_memory() {
    let held = Rc::new(BufferedBytes::default());
    let queues: Vec<SendQueue> = (0..ENTRY_BOXES).map(|_| SendQueue::new(&held)).collect();
    let message = EncodedFrame::new(&vec![0_u8; 15 << 10]);
    'all: for _ in 0..270 {
        for queue in &queues {
            queue.send_encoded(&message);
            if held.queued() as u64 > MEMORY_MOST {
                break 'all;
            }
        }
    }
    assert!(held.queued() as u64 <= MEMORY_MOST, "{} bytes wait", held.queued());
}

fn storm(of: BoxVersion) {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 1);
    group.leader();
    let control = group.cluster_address(0);
    let readers = SlowReaders::connect(control, READERS, SLOW_BYTES_A_SECOND, of, 0);

    for version in 1..=CHANGES {
        group.configure(&with_routes(version, ROUTES));
    }
    let most = group.process(0).peak_resident_bytes();
    println!("{most} bytes resident at most");
    assert!(most <= MEMORY_MOST, "{most} bytes, {MEMORY_MOST} allowed");

    readers.set_rate(FAST_BYTES_A_SECOND);
    readers.wait_for_version(CHANGES);
}

/// Guards against a control box with a stalled disk that takes in entries without end, and against one that no longer
/// hears its leader because of it.
#[test]
fn append_to_a_box_whose_disk_is_behind_counts_as_a_sign_of_life_only() {
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

/// Guards against an entry box of an earlier version that is told a change, which it can't read, and stays behind.
#[test]
fn entry_box_of_an_earlier_version_that_connects_again_is_sent_the_whole_configuration() {
    let group = ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), 1);
    group.configure(&with_routes(1, 10));
    group.configure(&with_routes(2, 10));
    let control = group.cluster_address(0);
    let readers = SlowReaders::connect(control, 1, FAST_BYTES_A_SECOND, BoxVersion::Earlier, 1);
    readers.wait_for_version(2);
}

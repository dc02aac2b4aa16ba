//! Marks: a termination notice to one box makes every box stop sending new requests to the
//! endpoint.

use std::collections::VecDeque;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use hyper::Method;
use vaneway_marks::Action;
use vaneway_marks::Instance;
use vaneway_marks::Marks;
use vaneway_marks::Message;
use vaneway_server::core::cluster::datagram::Envelope;
use vaneway_server::core::cluster::datagram::seal;
use vaneway_server::core::cluster::datagram::unseal;
use vaneway_test_support::Caller;
use vaneway_test_support::CloudPlatform;
use vaneway_test_support::EntryGroup;
use vaneway_test_support::Process;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::deployment::TOKEN;
use vaneway_test_support::deployment::until;

use crate::property;
use crate::support::block_on;
use crate::support::engine;
use crate::support::replicas;
use crate::support::vanectl_json;

/// Notice period that is longer than a test.
const LONG_NOTICE: Duration = Duration::from_hours(1);

fn state_of(entry: &Process, replica: usize) -> String {
    vanectl_json(entry, &["endpoints"])[replica]["state"].as_str().unwrap().to_owned()
}

#[test]
fn notice_to_one_box_reaches_all_with_a_third_of_datagrams_lost() {
    let (a, b) = (engine(), engine());
    let platform = CloudPlatform::spawn(Duration::ZERO);
    platform.start_box("box-a");
    let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
    let mut group = EntryGroup::start(program, 3, &replicas(&[&a, &b]), platform.address());
    for proxy in &group.proxies {
        proxy.set_loss_and_reordering(33, 20);
    }

    block_on(async {
        platform.reclaim("box-a", LONG_NOTICE);
        until(|| group.running().all(|entry| state_of(entry, 0) == "leaving")).await;

        let before = a.stats().fresh;
        for entry in group.running() {
            let caller = Caller::new(entry.listen(), TOKEN);
            for i in 0..5 {
                assert_eq!(caller.chat(MODEL, &format!("prompt {i}"), 2).await.status, 200);
            }
        }
        assert_eq!((a.stats().fresh, b.stats().fresh), (before, 15));

        // A box that was down when the notice arrived gets the mark from its peers.
        group.kill(2);
        group.restart(2);
        until(|| state_of(group.entry(2), 0) == "leaving").await;
    });
}

#[test]
fn datagrams_without_the_key_are_dropped_and_counted() {
    let a = engine();
    let platform = CloudPlatform::spawn(Duration::ZERO);
    let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
    let group = EntryGroup::start(program, 2, &replicas(&[&a]), platform.address());
    let entry = group.entry(0);
    let instance = Instance { box_name: "box-a".to_owned(), instance: "i-9".to_owned() };
    let mark = vaneway_marks::Mark { instance, gone_in_ms: 0 };
    let message = Message::Push { marks: vec![mark] };
    let forged = seal("another key", &Envelope { from: "entry-2".to_owned(), message });

    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&forged, entry.cluster()).unwrap();

    block_on(async {
        let operators = Caller::new(entry.operators(), "");
        loop {
            let metrics = operators.send(Method::GET, "/metrics", "").await.body;
            let metrics = String::from_utf8_lossy(&metrics).into_owned();
            if metrics.lines().any(|line| line == "vaneway_datagrams_dropped_total 1") {
                break;
            }
        }
    });
    assert_eq!(state_of(entry, 0), "serving");
}

#[test]
fn modified_datagrams_are_not_decoded() {
    let envelope = Envelope { from: "entry-1".to_owned(), message: Message::Hello };
    let datagram = seal("key", &envelope);
    assert_eq!(unseal("key", &datagram), Some(envelope));
    property::check("datagrams", 2_000, |(at, bit, bytes): (u8, u8, Vec<u8>)| {
        let mut changed = datagram.clone();
        let at = usize::from(at) % changed.len();
        changed[at] ^= 1 << (bit % 8);
        assert_eq!(unseal("key", &changed), None);
        assert_eq!(unseal("key", &bytes), None);
    });
}

#[derive(Debug, TypeGenerator)]
struct Losses {
    /// Node at which each mark is recorded first.
    recorded_at: Vec<u8>,
    /// Whether each message in turn is lost; the pattern repeats.
    lost: Vec<bool>,
}

/// Delivers all messages that are not lost, and the ones sent in return, until none is in flight.
fn settle(
    nodes: &mut [Marks],
    mut sent: VecDeque<(usize, usize, Message)>,
    now: Instant,
    mut lost: impl FnMut() -> bool,
) {
    while let Some((from, to, message)) = sent.pop_front() {
        if lost() {
            continue;
        }
        // Peers are numbered without the node itself.
        let peer = if from < to { from } else { from - 1 };
        let mut out = Vec::new();
        nodes[to].handle(now, peer, message, &mut out);
        queue(to, out, &mut sent);
    }
}

fn queue(from: usize, out: Vec<Action>, sent: &mut VecDeque<(usize, usize, Message)>) {
    for action in out {
        if let Action::Send { to, message } = action {
            sent.push_back((from, if to < from { to } else { to + 1 }, message));
        }
    }
}

#[test]
fn marks_reach_every_node_once_enough_datagrams_pass() {
    const NODES: usize = 6;
    property::check("spread of marks", 300, |losses: Losses| {
        let now = Instant::now();
        let gone_at = now + LONG_NOTICE;
        let mut nodes: Vec<_> = (0..NODES).map(|i| Marks::new(NODES - 1, i as u64)).collect();
        let mut count = 0;
        let mut lost = || {
            count += 1;
            losses.lost.get(count % losses.lost.len().max(1)).copied().unwrap_or_default()
        };
        for (i, at) in losses.recorded_at.iter().take(20).enumerate() {
            let at = usize::from(*at) % NODES;
            let instance = Instance { box_name: format!("box-{i}"), instance: "i".to_owned() };
            let (mut out, mut sent) = (Vec::new(), VecDeque::new());
            nodes[at].record(now, &instance, gone_at, &mut out);
            queue(at, out, &mut sent);
            settle(&mut nodes, sent, now, &mut lost);
        }
        let marks = losses.recorded_at.len().min(20);
        let complete = |nodes: &[Marks]| nodes.iter().all(|node| node.len() == marks);
        let mut ticks = 0;
        while !complete(&nodes) {
            // Messages are lost in the first 20 rounds; the marks must have spread in fewer than
            // 60.
            ticks += 1;
            assert!(
                ticks < 60,
                "marks do not spread: {:?}",
                nodes.iter().map(Marks::len).collect::<Vec<_>>()
            );
            for i in 0..NODES {
                let (mut out, mut sent) = (Vec::new(), VecDeque::new());
                nodes[i].tick(now, &mut out);
                queue(i, out, &mut sent);
                settle(&mut nodes, sent, now, || ticks < 20 && lost());
            }
        }
    });
}

#[test]
fn marks_expire_some_time_after_the_box_is_gone() {
    let now = Instant::now();
    let mut marks = Marks::new(0, 1);
    let instance = Instance { box_name: "box".to_owned(), instance: "i".to_owned() };
    marks.record(now, &instance, now + Duration::from_secs(5), &mut Vec::new());
    marks.tick(now + Duration::from_mins(1), &mut Vec::new());
    assert_eq!(marks.len(), 1);
    marks.tick(now + Duration::from_hours(1), &mut Vec::new());
    assert!(marks.is_empty());
}

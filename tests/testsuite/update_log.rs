//! The log from which each receiver is sent what it has not been sent yet.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use vaneway_registry::Lifecycle;
use vaneway_registry::Report;
use vaneway_server::core::cluster::wire::ToEntry;
use vaneway_server::core::control::update_log::Position;
use vaneway_server::core::control::update_log::UpdateLog;
use vaneway_server::util::frames;
use vaneway_server::util::frames::EncodedFrame;

use crate::property;

/// Number of generated cases.
const CASES: u32 = 4_000;

/// Number of receivers.
const RECEIVERS: usize = 3;

/// Number of different keys.
const KEYS: u8 = 12;

/// Maximum number of keys in an update.
const MAX_KEYS: usize = 3;

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    /// The state of a key changes.
    Change(u8),
    /// The state of a key is removed.
    Remove(u8),
    /// The log forgets the keys without state.
    Compact,
    /// A change is encoded once for all that were sent everything before.
    ChangeEncoded(u8),
    /// Time passes, in milliseconds.
    Wait(u8),
    /// A receiver has room for an update.
    Room(u8),
    /// A receiver connects again, without any state.
    Reconnect(u8),
}

/// A receiver, and the version of each key that it has.
#[derive(Debug, Default)]
struct Receiver {
    sent: Position,
    versions: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Model {
    now: Instant,
    log: UpdateLog<String>,
    version: u64,
    state: BTreeMap<String, u64>,
    receivers: [Receiver; RECEIVERS],
}

/// Guards against receivers of different speeds of which one misses a change, or is sent one at a
/// time more than fits into an update.
#[test]
fn each_receiver_has_the_present_state_once_it_was_sent_everything() {
    property::check("update_log", CASES, |steps: Vec<Step>| {
        let mut model = Model {
            now: Instant::now(),
            log: UpdateLog::default(),
            version: 0,
            state: BTreeMap::new(),
            receivers: Default::default(),
        };
        for step in steps {
            model.step(&step);
        }
        for receiver in 0..RECEIVERS {
            while model.send_next(receiver) {}
            let versions = &model.receivers[receiver].versions;
            for (key, version) in &model.state {
                assert_eq!(versions.get(key), Some(version), "key {key} of receiver {receiver}");
            }
        }
    });
}

impl Model {
    fn step(&mut self, step: &Step) {
        let key = |i: &u8| format!("key-{}", i % KEYS);
        match step {
            Step::Change(i) => self.change(key(i)),
            Step::Remove(i) => {
                self.state.remove(&key(i));
            }
            Step::Compact => self.log.retain(|key| self.state.contains_key(key)),
            Step::ChangeEncoded(i) => {
                let before = self.log.latest();
                self.change(key(i));
                let update = update(&self.state, &[key(i)]).expect("the key has a state");
                self.log.keep_encoded(before, EncodedFrame::new(&update));
            }
            Step::Wait(milliseconds) => self.now += Duration::from_millis((*milliseconds).into()),
            Step::Room(i) => {
                self.send_next(usize::from(*i) % RECEIVERS);
            }
            Step::Reconnect(i) => self.receivers[usize::from(*i) % RECEIVERS] = Receiver::default(),
        }
    }

    fn change(&mut self, key: String) {
        self.version += 1;
        self.state.insert(key.clone(), self.version);
        self.log.record(key);
    }

    /// Sends a receiver its next update; returns false if it was sent everything.
    fn send_next(&mut self, receiver: usize) -> bool {
        let receiver = &mut self.receivers[receiver];
        let state = &self.state;
        let next = self.log.next(self.now, receiver.sent, MAX_KEYS, |keys| update(state, keys));
        let Some((frame, up_to)) = next else { return false };
        assert!(up_to > receiver.sent);
        receiver.sent = up_to;
        let Some(frame) = frame else { return true };
        let mut received = frame.frame()[..].into();
        let Some(ToEntry::Registry(reports)) = frames::take_message(&mut received) else {
            panic!("not an update");
        };
        assert!(reports.len() <= MAX_KEYS);
        for Report { instance, sequence, .. } in reports {
            let known = receiver.versions.entry(instance).or_default();
            *known = sequence.max(*known);
        }
        true
    }
}

/// An update with the present state of these keys; none if none of them has a state.
fn update(state: &BTreeMap<String, u64>, keys: &[String]) -> Option<ToEntry> {
    let report = |key: &String| {
        Some(Report {
            instance: key.clone(),
            born: 0,
            sequence: *state.get(key)?,
            lifecycle: Lifecycle::Ready,
            ends_in_ms: None,
            age_ms: 0,
            details: None,
        })
    };
    let reports: Vec<Report> = keys.iter().filter_map(report).collect();
    (!reports.is_empty()).then_some(ToEntry::Registry(reports))
}

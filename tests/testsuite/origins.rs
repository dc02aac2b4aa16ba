//! Guarantees of the store of origins: a stream is resumed only where it began, whatever happens to
//! boxes and messages, and memory is bounded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use vaneway_origins::MAX_STREAMS;
use vaneway_origins::MAX_UPDATE_STREAMS;
use vaneway_origins::ORIGIN_RETENTION;
use vaneway_origins::Origin;
use vaneway_origins::OriginRecord;
use vaneway_origins::Origins;
use vaneway_origins::StreamKey;

use crate::property;

/// Unit of time of the simulations, much longer than the rounding of ages.
const STEP: Duration = Duration::from_millis(100);

/// How long an origin is found at least after it was recorded, here or at a box that sent it.
const LEAST_RETENTION: Duration = Duration::from_millis(59_998);

fn origin(software: &str) -> Origin {
    Origin { service: "chat".to_owned(), software: software.to_owned() }
}

fn streams_in(records: &[OriginRecord]) -> usize {
    records.iter().map(|record| record.streams.len()).sum()
}

/// A control box that has received `records` at `now`.
fn control_box(now: Instant, records: &[OriginRecord]) -> Origins {
    let mut origins = Origins::new();
    origins.merge(now, records);
    origins
}

#[test]
fn origin_reaches_other_boxes_and_expires_everywhere() {
    let start = Instant::now();
    let mut entry_box = Origins::new();
    assert!(entry_box.is_empty());
    assert_eq!(entry_box.find(start, 1), None);
    entry_box.record(start, 1, &origin("v1"));
    entry_box.record(start, 2, &origin("v2"));

    let sent_at = start + Duration::from_secs(20);
    let control_box = control_box(sent_at, &entry_box.take_updates(sent_at));
    let last = start + LEAST_RETENTION;
    for boxes in [&entry_box, &control_box] {
        assert_eq!(boxes.len(), 2);
        for now in [sent_at, last] {
            assert_eq!(boxes.find(now, 1), Some(&origin("v1")));
            assert_eq!(boxes.find(now, 2), Some(&origin("v2")));
            assert_eq!(boxes.find(now, 3), None);
        }
        assert_eq!(boxes.find(start + ORIGIN_RETENTION, 1), None);
    }
    assert!(entry_box.all(start + ORIGIN_RETENTION).is_empty());
}

#[test]
fn origin_recorded_again_is_retained_longer() {
    let start = Instant::now();
    let renewed = start + Duration::from_secs(40);
    let mut entry_box = Origins::new();
    entry_box.record(start, 1, &origin("v1"));
    let first = entry_box.take_updates(start);
    entry_box.record(renewed, 1, &origin("v1"));
    let mut control_box = control_box(renewed, &entry_box.take_updates(renewed));
    // An older message that arrives late changes nothing.
    control_box.merge(renewed, &first);

    let last = renewed + LEAST_RETENTION;
    for boxes in [&entry_box, &control_box] {
        assert_eq!(boxes.find(last, 1), Some(&origin("v1")));
        assert_eq!(boxes.find(renewed + ORIGIN_RETENTION, 1), None);
    }
}

#[test]
fn contradictory_origins_give_none_until_they_expire() {
    let start = Instant::now();
    let later = start + Duration::from_secs(30);
    let mut first = Origins::new();
    first.record(start, 1, &origin("v1"));
    let mut second = Origins::new();
    second.record(later, 1, &origin("v2"));
    let messages = [first.all(later), second.all(later)];
    for order in [[0, 1], [1, 0]] {
        let mut control_box = Origins::new();
        for i in order {
            control_box.merge(later, &messages[i]);
        }
        assert_eq!(control_box.find(later, 1), None);
        control_box.merge(later, &messages[0]);
        assert_eq!(control_box.find(start + ORIGIN_RETENTION, 1), None);
        let expired = later + ORIGIN_RETENTION;
        control_box.record(expired, 1, &origin("v1"));
        assert_eq!(control_box.find(expired, 1), Some(&origin("v1")));
    }
}

#[test]
fn contradiction_is_passed_on() {
    let now = Instant::now();
    let mut entry_box = Origins::new();
    entry_box.record(now, 1, &origin("v1"));
    entry_box.record(now, 1, &origin("v2"));
    entry_box.record(now, 1, &origin("v2"));
    entry_box.record(now, 2, &origin("v2"));
    let sent = [entry_box.all(now), entry_box.take_updates(now)];
    for records in sent {
        let mut other = Origins::new();
        other.record(now, 1, &origin("v2"));
        other.merge(now, &records);
        assert_eq!(other.find(now, 1), None);
        assert_eq!(other.find(now, 2), Some(&origin("v2")));
    }
}

#[test]
fn updates_contain_what_was_recorded_here_once() {
    let now = Instant::now();
    let mut other = Origins::new();
    other.record(now, 1, &origin("v1"));
    let mut entry_box = control_box(now, &other.all(now));
    entry_box.record(now, 2, &origin("v1"));
    for _ in 0..10 {
        entry_box.record(now, 3, &origin("v2"));
    }
    assert_eq!(streams_in(&entry_box.all(now)), 3);
    let updates = entry_box.take_updates(now);
    assert_eq!(streams_in(&updates), 2);
    assert_eq!(control_box(now, &updates).find(now, 1), None);
    assert!(entry_box.take_updates(now).is_empty());
    // A renewal is sent again.
    entry_box.record(now, 2, &origin("v1"));
    assert_eq!(streams_in(&entry_box.take_updates(now)), 1);
}

#[test]
fn many_updates_are_taken_in_several_bounded_parts() {
    let now = Instant::now();
    let count = 2 * MAX_UPDATE_STREAMS + 1;
    let mut entry_box = Origins::new();
    for key in 0..count as u64 {
        entry_box.record(now, key, &origin("v1"));
    }
    let sizes = [(); 4].map(|()| streams_in(&entry_box.take_updates(now)));
    assert_eq!(sizes, [MAX_UPDATE_STREAMS, MAX_UPDATE_STREAMS, 1, 0]);
}

#[test]
fn oldest_streams_are_forgotten_first_beyond_the_maximum() {
    let start = Instant::now();
    let mut origins = Origins::new();
    let mut now = start;
    for key in 0..MAX_STREAMS as u64 {
        now = start + Duration::from_micros(50 * key);
        origins.record(now, key, &origin("v1"));
    }
    // The first one was renewed, so it is no longer among the oldest.
    origins.record(now, 0, &origin("v1"));
    for key in 0..1_000 {
        origins.record(now, MAX_STREAMS as u64 + key, &origin("v1"));
        assert_eq!(origins.len(), MAX_STREAMS);
    }
    assert_eq!(origins.find(now, 0), Some(&origin("v1")));
    assert!((1..=1_000).all(|key| origins.find(now, key).is_none()));
    assert!((1_001..MAX_STREAMS as u64 + 1_000).all(|key| origins.find(now, key).is_some()));
    assert_eq!(streams_in(&origins.all(now)), MAX_STREAMS);
}

/// Number of characters that print everything that is in memory.
fn size(origins: &Origins) -> usize {
    format!("{origins:?}").len()
}

#[test]
fn memory_does_not_grow_with_renewals_nor_with_expired_streams_and_origins() {
    let start = Instant::now();
    let retained = (ORIGIN_RETENTION.as_millis() / STEP.as_millis()) as usize;
    for takes_updates in [true, false] {
        let mut origins = Origins::new();
        let mut largest = 0;
        for i in 0..20 * retained {
            let now = start + STEP * i as u32;
            // One stream that is renewed all the time, and one of an origin of its own that is
            // renewed once.
            origins.record(now, 0, &origin("v1"));
            let build = origin(&format!("build {i:05}"));
            origins.record(now, i as u64 + 1, &build);
            origins.record(now, i as u64 + 1, &build);
            if takes_updates {
                origins.take_updates(now);
            }
            assert!(origins.len() <= retained + 20, "{} streams", origins.len());
            if i < 3 * retained && i % 100 == 0 {
                largest = largest.max(size(&origins));
            }
        }
        // Numbers get longer.
        let (size, most) = (size(&origins), largest + largest / 10);
        assert!(size <= most, "{size} characters after {largest}");
        let end = start + STEP * 20 * retained as u32;
        assert!(streams_in(&origins.take_updates(end)) <= retained);
    }
}

#[test]
fn record_that_expires_is_not_taken_in() {
    let start = Instant::now();
    let mut entry_box = Origins::new();
    entry_box.record(start, 1, &origin("v1"));
    let last = start + Duration::from_micros(59_999_500);
    let records = entry_box.all(last);
    assert_eq!(streams_in(&records), 1);
    assert!(control_box(last, &records).is_empty());
}

#[test]
fn records_sent_back_and_forth_expire() {
    let start = Instant::now();
    let at = |micros: u64| start + Duration::from_micros(micros);
    let mut one = Origins::new();
    one.record(at(0), 1, &origin("v1"));
    let mut other = Origins::new();
    other.record(at(500), 2, &origin("v1"));
    // The milliseconds of the two begin at different times, so that times rounded down would add
    // one at each exchange.
    let retention = ORIGIN_RETENTION.as_millis() as u64;
    for millis in 0..retention {
        let (there, back) = (at(millis * 1_000 + 700), at(millis * 1_000 + 1_200));
        other.merge(there, &one.all(there));
        one.merge(back, &other.all(back));
    }
    let end = at((retention + 1) * 1_000);
    for origins in [&one, &other] {
        assert_eq!(origins.find(end, 1), None);
        assert!(origins.all(end).is_empty());
    }
}

#[test]
fn more_origins_than_a_box_can_store_give_no_wrong_answer() {
    let now = Instant::now();
    let count = u64::from(u16::MAX) + 100;
    let mut origins = Origins::new();
    let nth = |key: u64| origin(&format!("build {key}"));
    for key in 0..count {
        origins.record(now, key, &nth(key));
    }
    for key in 0..count {
        let found = origins.find(now, key);
        assert!(found.is_none_or(|found| *found == nth(key)));
        assert_eq!(found.is_some(), key < u64::from(u16::MAX));
    }
}

const ENTRY_BOXES: usize = 3;
const CONTROL_BOXES: usize = 2;

/// Number of streams of a simulation, few so that they meet at several boxes.
const STREAMS: u8 = 6;

/// Step of a simulation; numbers are taken modulo the number of what they choose from.
#[derive(Debug, TypeGenerator)]
enum Input {
    /// An entry box begins a stream, or resumes it after a control box named its origin.
    Begin {
        entry_box: u8,
        stream: u8,
    },
    Resume {
        entry_box: u8,
        control_box: u8,
        stream: u8,
    },
    /// Another stream with the same key begins at another origin.
    Reuse {
        entry_box: u8,
        stream: u8,
    },
    /// An entry box sends its updates to all control boxes.
    Send {
        entry_box: u8,
    },
    /// An entry box connects to a control box and sends all that it retains.
    Connect {
        entry_box: u8,
        control_box: u8,
    },
    /// A message arrives, maybe late and out of order, and maybe again later.
    Deliver {
        message: u8,
        again: bool,
    },
    Lose {
        message: u8,
    },
    Restart {
        any_box: u8,
    },
    Wait {
        steps: u16,
    },
}

/// The store of a box, with a model of it: the origin and the time of what was recorded for each
/// stream; no origin if there were several.
#[derive(Debug, Default)]
struct SimulatedBox {
    origins: Origins,
    model: Model,
}

type Model = BTreeMap<StreamKey, (Option<Origin>, Instant)>;

/// What a message says in the terms of the model: the age of each record.
type ModelRecords = Vec<(StreamKey, Option<Origin>, Duration)>;

#[derive(Debug, Clone)]
struct Message {
    control_box: usize,
    records: Vec<OriginRecord>,
    model: ModelRecords,
}

impl SimulatedBox {
    fn record(&mut self, now: Instant, key: StreamKey, origin: &Origin) {
        self.origins.record(now, key, origin);
        self.merge_into_model(now, key, Some(origin), Duration::ZERO);
    }

    fn merge(&mut self, now: Instant, message: &Message) {
        self.origins.merge(now, &message.records);
        for (key, origin, age) in &message.model {
            self.merge_into_model(now, *key, origin.as_ref(), *age);
        }
    }

    fn merge_into_model(
        &mut self,
        now: Instant,
        key: StreamKey,
        origin: Option<&Origin>,
        age: Duration,
    ) {
        if age >= ORIGIN_RETENTION {
            return;
        }
        self.model.retain(|_, (_, at)| now < *at + ORIGIN_RETENTION);
        let at = now.checked_sub(age).expect("the clock began long before the simulation");
        let known = self.model.entry(key).or_insert_with(|| (origin.cloned(), at));
        known.1 = known.1.max(at);
        if known.0.as_ref() != origin {
            known.0 = None;
        }
    }

    fn unexpired(&self, now: Instant, key: StreamKey) -> Option<&Option<Origin>> {
        let known = self.model.get(&key).filter(|(_, at)| now < *at + ORIGIN_RETENTION);
        known.map(|(origin, _)| origin)
    }

    fn model_records(&self, now: Instant) -> ModelRecords {
        let unexpired = self.model.iter().filter(|(_, (_, at))| now < *at + ORIGIN_RETENTION);
        unexpired.map(|(key, (origin, at))| (*key, origin.clone(), now - *at)).collect()
    }
}

/// Entry boxes that report to control boxes.
struct Fleet {
    now: Instant,
    entry_boxes: Vec<SimulatedBox>,
    /// Streams that each entry box has recorded and not yet sent.
    unsent: Vec<BTreeSet<StreamKey>>,
    control_boxes: Vec<SimulatedBox>,
    messages: Vec<Message>,
}

impl Fleet {
    fn new() -> Self {
        let boxes = |count| (0..count).map(|_| SimulatedBox::default()).collect();
        Self {
            now: Instant::now() + 2 * ORIGIN_RETENTION,
            entry_boxes: boxes(ENTRY_BOXES),
            unsent: vec![BTreeSet::new(); ENTRY_BOXES],
            control_boxes: boxes(CONTROL_BOXES),
            messages: Vec::new(),
        }
    }

    fn step(&mut self, input: &Input) {
        let entry = |i: u8| usize::from(i) % ENTRY_BOXES;
        let control = |i: u8| usize::from(i) % CONTROL_BOXES;
        match *input {
            Input::Begin { entry_box, stream } => {
                let key = key(stream);
                self.record(entry(entry_box), key, &beginning(key));
            }
            Input::Resume { entry_box, control_box, stream } => {
                let found =
                    self.control_boxes[control(control_box)].origins.find(self.now, key(stream));
                if let Some(found) = found.cloned() {
                    self.record(entry(entry_box), key(stream), &found);
                }
            }
            Input::Reuse { entry_box, stream } => {
                self.record(entry(entry_box), key(stream), &origin("another build"));
            }
            Input::Send { entry_box } => self.send(entry(entry_box)),
            Input::Connect { entry_box, control_box } => {
                self.connect(entry(entry_box), control(control_box));
            }
            Input::Deliver { message, again } => self.deliver(message, again),
            Input::Lose { message } => {
                if !self.messages.is_empty() {
                    self.messages.remove(usize::from(message) % self.messages.len());
                }
            }
            Input::Restart { any_box } => self.restart(any_box),
            Input::Wait { steps } => self.now += STEP * u32::from(steps % 300),
        }
        self.compare_with_models();
    }

    fn record(&mut self, entry_box: usize, key: StreamKey, origin: &Origin) {
        self.entry_boxes[entry_box].record(self.now, key, origin);
        self.unsent[entry_box].insert(key);
    }

    fn send(&mut self, entry_box: usize) {
        let records = self.entry_boxes[entry_box].origins.take_updates(self.now);
        let unsent = std::mem::take(&mut self.unsent[entry_box]);
        let mut model = self.entry_boxes[entry_box].model_records(self.now);
        model.retain(|(key, ..)| unsent.contains(key));
        assert_eq!(streams_in(&records), model.len());
        for control_box in 0..CONTROL_BOXES {
            let (records, model) = (records.clone(), model.clone());
            self.messages.push(Message { control_box, records, model });
        }
    }

    fn connect(&mut self, entry_box: usize, control_box: usize) {
        let records = self.entry_boxes[entry_box].origins.all(self.now);
        let model = self.entry_boxes[entry_box].model_records(self.now);
        assert_eq!(streams_in(&records), model.len());
        self.messages.push(Message { control_box, records, model });
    }

    fn deliver(&mut self, message: u8, again: bool) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(usize::from(message) % self.messages.len());
        self.control_boxes[message.control_box].merge(self.now, &message);
        if again {
            self.messages.push(message);
        }
    }

    fn restart(&mut self, any_box: u8) {
        let i = usize::from(any_box) % (ENTRY_BOXES + CONTROL_BOXES);
        if let Some(i) = i.checked_sub(ENTRY_BOXES) {
            self.control_boxes[i] = SimulatedBox::default();
        } else {
            self.entry_boxes[i] = SimulatedBox::default();
            self.unsent[i].clear();
        }
    }

    fn compare_with_models(&self) {
        for simulated in self.entry_boxes.iter().chain(&self.control_boxes) {
            for key in (0..STREAMS).map(key) {
                let found = simulated.origins.find(self.now, key);
                let expected = simulated.unexpired(self.now, key);
                assert_eq!(found, expected.and_then(Option::as_ref), "stream {key}");
                let is_contradictory = simulated.origins.is_contradictory(self.now, key);
                assert_eq!(is_contradictory, expected == Some(&None), "stream {key}");
            }
            assert!(simulated.origins.len() <= usize::from(STREAMS));
        }
    }

    /// All entry boxes connect to all control boxes, without loss or delay.
    fn reconnect_all(&mut self) {
        self.messages.clear();
        for entry_box in 0..ENTRY_BOXES {
            for control_box in 0..CONTROL_BOXES {
                self.connect(entry_box, control_box);
            }
        }
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
    }
}

fn key(stream: u8) -> StreamKey {
    StreamKey::from(stream % STREAMS)
}

/// The origin of each stream of a simulation, two streams at each.
fn beginning(key: StreamKey) -> Origin {
    origin(&format!("build {}", key / 2))
}

/// Guards against a stream that is resumed at another software version than the one that began it.
#[test]
fn no_box_names_an_origin_other_than_the_one_that_began_the_stream() {
    property::check("origins of streams", 20_000, |inputs: Vec<Input>| {
        let mut fleet = Fleet::new();
        for input in inputs.iter().filter(|input| !matches!(input, Input::Reuse { .. })) {
            fleet.step(input);
            for simulated in fleet.entry_boxes.iter().chain(&fleet.control_boxes) {
                for key in (0..STREAMS).map(key) {
                    let found = simulated.origins.find(fleet.now, key);
                    assert!(found.is_none_or(|found| *found == beginning(key)));
                }
            }
        }
    });
}

#[test]
fn contradictory_origins_are_found_at_no_box_that_received_both() {
    property::check("contradictory origins", 20_000, |inputs: Vec<Input>| {
        let mut fleet = Fleet::new();
        for input in &inputs {
            fleet.step(input);
        }
    });
}

#[test]
fn control_box_knows_what_entry_boxes_retain_once_they_have_connected() {
    property::check("origins after connecting", 20_000, |inputs: Vec<Input>| {
        let mut fleet = Fleet::new();
        for input in inputs.iter().filter(|input| !matches!(input, Input::Reuse { .. })) {
            fleet.step(input);
        }
        fleet.reconnect_all();
        fleet.compare_with_models();
        for key in (0..STREAMS).map(key) {
            let is_retained =
                |entry_box: &SimulatedBox| entry_box.origins.find(fleet.now, key).is_some();
            if fleet.entry_boxes.iter().any(is_retained) {
                for control_box in &fleet.control_boxes {
                    assert_eq!(control_box.origins.find(fleet.now, key), Some(&beginning(key)));
                }
            }
        }
    });
}

/// Guards against a doubt that stands for an origin, so that a stream goes on at another software
/// version: the first record of the stream had been forgotten for want of room.
#[test]
fn doubt_stays_doubt_after_the_first_record_was_forgotten() {
    let now = Instant::now();
    let mut entry_box = Origins::new();
    entry_box.record(now, 1, &origin("v1"));
    for other in 0..MAX_STREAMS as u64 {
        entry_box.record(now, 2 + other, &origin("v1"));
    }
    assert_eq!((entry_box.find(now, 1), entry_box.is_contradictory(now, 1)), (None, false));

    entry_box.doubt(now, 1);
    assert_eq!((entry_box.find(now, 1), entry_box.is_contradictory(now, 1)), (None, true));
    let updates = std::iter::from_fn(|| Some(entry_box.take_updates(now)));
    let updates: Vec<_> = updates.take_while(|updates| !updates.is_empty()).flatten().collect();
    let mut control_box = control_box(now, &updates);
    for origins in [&mut entry_box, &mut control_box] {
        assert_eq!((origins.find(now, 1), origins.is_contradictory(now, 1)), (None, true));
        origins.record(now, 1, &origin("v1"));
        assert_eq!(origins.find(now, 1), None);
    }
}

/// Guards against a doubt that reaches only boxes which know the stream, and against one that does
/// not end.
#[test]
fn doubt_reaches_boxes_that_do_not_know_the_stream_and_expires() {
    let now = Instant::now();
    let mut entry_box = Origins::new();
    entry_box.doubt(now, 1);
    for records in [entry_box.all(now), entry_box.take_updates(now)] {
        let mut control_box = control_box(now, &records);
        assert_eq!((control_box.find(now, 1), control_box.is_contradictory(now, 1)), (None, true));
        let mut other = Origins::new();
        other.merge(now, &control_box.all(now));
        assert!(other.is_contradictory(now, 1));
        let expired = now + ORIGIN_RETENTION;
        control_box.record(expired, 1, &origin("v1"));
        assert_eq!(control_box.find(expired, 1), Some(&origin("v1")));
    }
}

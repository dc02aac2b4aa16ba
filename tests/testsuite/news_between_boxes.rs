//! Dissemination of quarantine records, endpoint reports and advertised limits between boxes,
//! outside the Raft log and without I/O.
//!
//! Control boxes forward what is new to them, to each other and to entry boxes; entry boxes send
//! all that they hold whenever they connect. Messages are delayed and reordered, clocks differ,
//! boxes restart, and the simulation lasts longer than every retention period. Here each control
//! box forwards everything that is new to it, more than the product does, so that the bound on the
//! records sent depends on the merges alone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_limit::EndpointLimit;
use vaneway_limit::EndpointLimits;
use vaneway_quarantine::Case;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::Progress;
use vaneway_quarantine::Quarantine;
use vaneway_quarantine::QuarantineRecord;
use vaneway_quarantine::Verdict;
use vaneway_registry::Change;
use vaneway_registry::Lifecycle;
use vaneway_registry::Registry;
use vaneway_registry::Report;

const CONTROL_BOXES: usize = 8;

const ENTRY_BOXES: usize = 4;

/// Time at which the simulation starts, by an exact clock.
const START: Duration = Duration::from_secs(1_700_000_000);

/// Period in which boxes make observations; everything sent later is a repetition.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(20);

/// Length of a simulation, longer than every retention period.
const SIMULATED_TIME: Duration = Duration::from_mins(15);

/// Upper bound of the network delay of a message.
const MAX_NETWORK_DELAY: Duration = Duration::from_millis(300);

/// Time between two expiry runs of a box.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Upper bound of how far a box's estimate of the cluster time is ahead.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(3);

/// Observations in one simulation.
const OBSERVATIONS: usize = 40;

/// Connections in one simulation; on each of them the connecting box sends its full state.
const CONNECTIONS: usize = 600;

/// Number of cases that a quarantine holds at most.
const MAX_CASES: u64 = 4_096;

/// Clocks of a box: its estimate of the cluster time, and its monotonic clock.
#[derive(Debug, Clone, Copy)]
struct Now {
    cluster: Duration,
    steady: Instant,
}

/// A kind of state that boxes disseminate.
trait Disseminated {
    type Record: Clone + Debug;

    fn new() -> Self;

    /// Makes an observation that no other box has; returns the records to send.
    fn observe(&mut self, now: Now, number: u64) -> Vec<Self::Record>;

    /// Merges records from another box; returns those that a control box forwards.
    fn receive(&mut self, now: Now, received: &[Self::Record]) -> Vec<Self::Record>;

    /// All records that a box sends when it connects.
    fn full_state(&self, now: Now) -> Vec<Self::Record>;

    /// Drops expired records.
    fn drop_expired(&mut self, now: Now);
}

impl Disseminated for Quarantine {
    type Record = QuarantineRecord;

    fn new() -> Self {
        Self::default()
    }

    fn observe(&mut self, now: Now, number: u64) -> Vec<QuarantineRecord> {
        let endpoint = Incarnation::new(&format!("i-{number}"), number % 3);
        if number.is_multiple_of(4) {
            self.record_exit(now.cluster, &endpoint);
        } else {
            // Few requests, each of which crashes several endpoints and occasionally succeeds.
            let fingerprint = number % 5;
            // Few parts as well, two of which are responded to occasionally.
            let parts = [number % 3, 3 + number % 4];
            self.record_crash_with_parts(now.cluster, &endpoint, fingerprint, 1, &parts);
            if number % 7 == 1 {
                self.record_answer(now.cluster + Duration::from_millis(20), 1, &parts);
            }
            self.record_crash(now.cluster, fingerprint, &[(endpoint, Progress::Reading)]);
            if number % 5 == 1 {
                self.clear(now.cluster + Duration::from_millis(20), fingerprint);
            }
        }
        self.take_updates()
    }

    fn receive(&mut self, now: Now, received: &[QuarantineRecord]) -> Vec<QuarantineRecord> {
        self.merge(now.cluster, received)
    }

    fn full_state(&self, now: Now) -> Vec<QuarantineRecord> {
        self.valid_records(now.cluster)
    }

    fn drop_expired(&mut self, _now: Now) {
        // A quarantine drops expired records in its merges.
    }
}

impl Disseminated for Registry {
    type Record = Report;

    fn new() -> Self {
        Self::default()
    }

    fn observe(&mut self, now: Now, number: u64) -> Vec<Report> {
        let lifecycles = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone];
        let report = Report {
            instance: format!("i-{}", number % 10),
            born: number / 20,
            sequence: number,
            lifecycle: lifecycles[number as usize % 3],
            ends_in_ms: number.is_multiple_of(2).then_some(5_000),
            age_ms: 0,
            details: None,
        };
        self.receive(now, &[report])
    }

    fn receive(&mut self, now: Now, received: &[Report]) -> Vec<Report> {
        let mut forwarded = Vec::new();
        for report in received {
            if self.merge(now.steady, report) == Change::Updated {
                forwarded.extend(self.report(now.steady, &report.instance));
            }
        }
        forwarded
    }

    fn full_state(&self, now: Now) -> Vec<Report> {
        self.reports(now.steady)
    }

    fn drop_expired(&mut self, now: Now) {
        self.expire(now.steady);
    }
}

impl Disseminated for EndpointLimits {
    type Record = EndpointLimit;

    fn new() -> Self {
        Self::default()
    }

    fn observe(&mut self, now: Now, number: u64) -> Vec<EndpointLimit> {
        let endpoint = format!("i-{}", number % 10);
        let rate = (!number.is_multiple_of(3)).then(|| "1.5".parse().expect("a rate"));
        self.record_response(now.cluster, &endpoint, number / 20, rate);
        self.take_updates()
    }

    fn receive(&mut self, now: Now, received: &[EndpointLimit]) -> Vec<EndpointLimit> {
        let forwarded = self.merge(now.cluster, received);
        self.forward(&forwarded);
        // Half of the endpoints are registered.
        EndpointLimits::remove_expired(self, now.cluster, |name, _| name < "i-5");
        self.take_updates()
    }

    fn full_state(&self, _now: Now) -> Vec<EndpointLimit> {
        self.all()
    }

    fn drop_expired(&mut self, now: Now) {
        EndpointLimits::remove_expired(self, now.cluster, |name, _| name < "i-5");
    }
}

/// Limits that follow from refusals of brittle endpoints.
struct Refusals(EndpointLimits);

impl Disseminated for Refusals {
    type Record = EndpointLimit;

    fn new() -> Self {
        Self(EndpointLimits::default())
    }

    fn observe(&mut self, now: Now, number: u64) -> Vec<EndpointLimit> {
        let rate = "1.5".parse().expect("a rate");
        self.0.record_refusal(now.cluster, &format!("i-{}", number % 10), number / 20, rate);
        self.0.take_updates()
    }

    fn receive(&mut self, now: Now, received: &[EndpointLimit]) -> Vec<EndpointLimit> {
        self.0.receive(now, received)
    }

    fn full_state(&self, _now: Now) -> Vec<EndpointLimit> {
        self.0.all()
    }

    fn drop_expired(&mut self, now: Now) {
        self.0.drop_expired(now);
    }
}

/// An event at a box.
#[derive(Debug)]
enum Event<P> {
    Observe(u64),
    Receive(Vec<P>),
    /// Connects to the box of this index and sends it all records.
    Connect(usize),
    DropExpired,
    /// Restarts, which loses the box's state.
    Restart,
}

/// A scheduled event of one box, ordered by time.
struct Due<P> {
    at: Duration,
    number: u64,
    box_index: usize,
    event: Event<P>,
}

impl<P> PartialEq for Due<P> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<P> Eq for Due<P> {}

impl<P> PartialOrd for Due<P> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<P> Ord for Due<P> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Simulation<T: Disseminated> {
    rng: Pcg64Mcg,
    started: Instant,
    boxes: Vec<T>,
    clock_leads: Vec<Duration>,
    due: BinaryHeap<Reverse<Due<T::Record>>>,
    events: u64,
    /// Records that boxes sent.
    sent: usize,
    /// Upper bound of `sent`, from the observations and full states sent so far.
    max_sent: usize,
}

impl<T: Disseminated> Simulation<T> {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = CONTROL_BOXES + ENTRY_BOXES;
        let clock_leads =
            (0..count).map(|_| rng.random_range(Duration::ZERO..MAX_CLOCK_LEAD)).collect();
        Self {
            rng,
            started: Instant::now(),
            boxes: (0..count).map(|_| T::new()).collect(),
            clock_leads,
            due: BinaryHeap::new(),
            events: 0,
            sent: 0,
            max_sent: 0,
        }
    }

    fn schedule(&mut self, at: Duration, box_index: usize, event: Event<T::Record>) {
        self.events += 1;
        self.due.push(Reverse(Due { at, number: self.events, box_index, event }));
    }

    fn schedule_all(&mut self) {
        let boxes = CONTROL_BOXES + ENTRY_BOXES;
        for number in 0..OBSERVATIONS as u64 {
            let at = self.rng.random_range(Duration::ZERO..OBSERVATION_PERIOD);
            let box_index = CONTROL_BOXES + self.rng.random_range(0..ENTRY_BOXES);
            self.schedule(at, box_index, Event::Observe(number));
        }
        for number in 0..CONNECTIONS {
            let at = self.rng.random_range(Duration::ZERO..SIMULATED_TIME);
            let box_index = self.rng.random_range(0..boxes);
            let to = self.rng.random_range(0..CONTROL_BOXES);
            self.schedule(at, box_index, Event::Connect(to));
            if number.is_multiple_of(10) {
                self.schedule(at, to, Event::Restart);
            }
        }
        for box_index in 0..boxes {
            let mut at = self.rng.random_range(Duration::ZERO..EXPIRY_INTERVAL);
            while at < SIMULATED_TIME {
                self.schedule(at, box_index, Event::DropExpired);
                at += EXPIRY_INTERVAL;
            }
        }
    }

    /// Sends records to other boxes, with a random delay for each.
    fn send(&mut self, at: Duration, to: Vec<usize>, records: &[T::Record]) {
        if records.is_empty() {
            return;
        }
        for box_index in to {
            self.sent += records.len();
            let delay = self.rng.random_range(Duration::ZERO..MAX_NETWORK_DELAY);
            self.schedule(at + delay, box_index, Event::Receive(records.to_vec()));
        }
    }

    /// Sends records that nobody forwarded before: each control box may forward each of them once,
    /// to all others.
    fn send_original(&mut self, at: Duration, to: Vec<usize>, records: &[T::Record]) {
        let max_forwards = CONTROL_BOXES * (CONTROL_BOXES + ENTRY_BOXES - 1);
        self.max_sent += records.len() * (to.len() + max_forwards);
        self.send(at, to, records);
    }

    fn handle(&mut self, due: Due<T::Record>) {
        let Due { at, box_index, event, .. } = due;
        let now =
            Now { cluster: START + at + self.clock_leads[box_index], steady: self.started + at };
        match event {
            Event::Observe(number) => {
                let records = self.boxes[box_index].observe(now, number);
                self.send_original(at, (0..CONTROL_BOXES).collect(), &records);
            }
            Event::Receive(records) => {
                let forwarded = self.boxes[box_index].receive(now, &records);
                if box_index < CONTROL_BOXES {
                    let others =
                        (0..self.boxes.len()).filter(|other| *other != box_index).collect();
                    self.send(at, others, &forwarded);
                }
            }
            Event::Connect(to) => {
                let all = self.boxes[box_index].full_state(now);
                self.send_original(at, vec![to], &all);
            }
            Event::DropExpired => self.boxes[box_index].drop_expired(now),
            Event::Restart => self.boxes[box_index] = T::new(),
        }
    }

    /// Runs a simulation and checks the bound after each event.
    fn run(seed: u64) {
        let mut simulation = Self::new(seed);
        simulation.schedule_all();
        while let Some(Reverse(due)) = simulation.due.pop() {
            let at = due.at;
            simulation.handle(due);
            let Self { sent, max_sent, .. } = simulation;
            assert!(
                simulation.sent <= simulation.max_sent,
                "seed {seed}: {sent} records were sent by {at:?}, at most {max_sent} are allowed"
            );
        }
    }
}

/// Guards against quarantine records that expire, are sent again and are forwarded between control
/// boxes without end.
#[test]
fn quarantine_record_is_forwarded_once_whatever_its_age() {
    (1..=4).for_each(Simulation::<Quarantine>::run);
}

/// Guards against two boxes that hold a crash and a clearance of the same time, exchange them, and
/// each adopt the other's record.
#[test]
fn boxes_that_hold_a_crash_and_a_clearance_of_the_same_time_converge_at_once() {
    let (now, fingerprint) = (START + Duration::from_secs(1), 1);
    let cases_of = |quarantine: &Quarantine| -> Vec<QuarantineRecord> {
        let all = quarantine.valid_records(START).into_iter();
        all.filter(|record| matches!(record, QuarantineRecord::Case { .. })).collect()
    };
    let record_crash = |quarantine: &mut Quarantine, at: Duration, name: &str| {
        let endpoint = Incarnation::new(name, 1);
        quarantine.record_crash(at, fingerprint, &[(endpoint, Progress::Reading)]);
    };
    let mut holds_crash = Quarantine::default();
    record_crash(&mut holds_crash, now, "i-1");
    let mut holds_clearance = Quarantine::default();
    record_crash(&mut holds_clearance, START, "i-2");
    assert!(holds_clearance.clear(now, fingerprint));

    let (crashed, cleared) = (cases_of(&holds_crash), cases_of(&holds_clearance));
    assert_eq!(holds_crash.merge(now, &cleared), Vec::new());
    assert_eq!(holds_clearance.merge(now, &crashed), crashed);
    assert_eq!(holds_clearance.verdict(fingerprint), Some(Verdict::Suspected));
    assert_eq!(cases_of(&holds_crash), cases_of(&holds_clearance));
}

/// Guards against a clearance that has no effect because the clock of the box that reported the
/// crash is ahead.
#[test]
fn request_is_cleared_though_the_clock_of_the_box_that_saw_a_crash_is_ahead() {
    let (now, fingerprint) = (START, 1);
    let mut ahead = Quarantine::default();
    let endpoint = Incarnation::new("i-1", 1);
    ahead.record_crash(now + MAX_CLOCK_LEAD, fingerprint, &[(endpoint, Progress::Reading)]);
    let mut quarantine = Quarantine::default();
    quarantine.merge(now, &ahead.valid_records(now));
    assert!(quarantine.clear(now, fingerprint));
    assert_eq!(quarantine.verdict(fingerprint), Some(Verdict::Cleared));
    ahead.merge(now + MAX_CLOCK_LEAD, &quarantine.valid_records(now));
    assert_eq!(ahead.verdict(fingerprint), Some(Verdict::Cleared));
}

/// Guards against cases that are evicted by later ones as soon as they are merged, and are
/// forwarded nevertheless.
#[test]
fn case_that_exceeds_the_capacity_is_not_forwarded() {
    let case = |fingerprint: u64| {
        let mut quarantine = Quarantine::default();
        let endpoint = Incarnation::new(&format!("i-{fingerprint}"), 1);
        let crashed_at = START + Duration::from_micros(fingerprint);
        quarantine.record_crash(crashed_at, fingerprint, &[(endpoint, Progress::Reading)]);
        quarantine.valid_records(crashed_at).pop().expect("the request's case")
    };
    let now = START + Duration::from_secs(1);
    let mut full = Quarantine::default();
    let cases: Vec<QuarantineRecord> = (2..=MAX_CASES + 1).map(case).collect();
    assert_eq!(full.merge(now, &cases).len(), cases.len());
    assert_eq!(full.merge(now, &[case(1)]), Vec::new());
    assert_eq!(full.merge(now, &[case(MAX_CASES + 2)]).len(), 1);
    assert_eq!(full.cases().len() as u64, MAX_CASES);
}

/// Guards against a clearance that expires before the condemnation that it lifted, which a box that
/// was cut off still holds.
#[test]
fn request_that_an_operator_released_is_not_condemned_again_by_a_box_that_was_cut_off() {
    let crashes = BTreeMap::from([(Incarnation::new("i-1", 1), Progress::Reading)]);
    let condemned = Case { crashes, verdict: Verdict::Condemned, at: START };
    let condemned = QuarantineRecord::Case { fingerprint: 1, case: condemned };
    let (mut cut_off, mut others) = (Quarantine::default(), Quarantine::default());
    cut_off.merge(START, std::slice::from_ref(&condemned));
    others.merge(START, &[condemned]);
    assert!(others.clear(START + Duration::from_secs(10), 1), "the request is released");
    let now = START + Duration::from_secs(71);
    let forwarded = others.merge(now, &cut_off.valid_records(now));
    assert_eq!(forwarded, [], "the request was released 61 s ago");
}

/// Guards against a lifted limit that a box which was cut off puts in force again once the record
/// that the limit was lifted has expired.
#[test]
fn lifted_limit_is_not_restored_by_a_box_that_was_cut_off() {
    let (mut cut_off, mut others) = (EndpointLimits::default(), EndpointLimits::default());
    cut_off.record_response(START, "i-1", 1, Some("0".parse().expect("a rate")));
    others.merge(START, &cut_off.all());
    others
        .record_response(START + Duration::from_secs(1), "i-1", 1, None)
        .expect("the limit is lifted");
    let now = START + Duration::from_secs(62);
    EndpointLimits::remove_expired(&mut others, now, |_, _| true);
    let forwarded = others.merge(now, &cut_off.all());
    assert_eq!(forwarded, [], "the limit was lifted 61 s ago");
}

/// Guards against reports of endpoints that no longer report, which are forwarded again and again.
#[test]
fn report_of_an_endpoint_is_forwarded_once_whatever_its_age() {
    (1..=4).for_each(Simulation::<Registry>::run);
}

/// Guards against an entry box that reports an endpoint long after it left: each of its reports
/// counted as new, and again as soon as the endpoint had expired.
#[test]
fn report_of_an_expired_endpoint_is_not_forwarded() {
    let now = Instant::now() + Duration::from_hours(1);
    let cases = [(Lifecycle::Gone, 11), (Lifecycle::Draining, 3), (Lifecycle::Ready, 3)];
    for (lifecycle, minutes) in cases {
        let mut registry = Registry::default();
        let report = Report {
            instance: "i-1".to_owned(),
            born: 1,
            sequence: 1,
            lifecycle,
            ends_in_ms: None,
            age_ms: minutes * 60_000,
            details: None,
        };
        assert_eq!(registry.merge(now, &report), Change::Unchanged, "{lifecycle:?}");
        assert!(registry.is_empty(), "{lifecycle:?}");
    }
}

/// Guards against limits of endpoints that no longer exist, which are forwarded again and again.
#[test]
fn advertised_limit_is_forwarded_once_whatever_its_age() {
    (1..=4).for_each(Simulation::<EndpointLimits>::run);
}

/// Guards against refusals that are forwarded again and again because each box knows another time of
/// them.
#[test]
fn refusal_of_a_brittle_endpoint_is_forwarded_once_whatever_its_age() {
    (1..=4).for_each(Simulation::<Refusals>::run);
}

/// Guards against boxes that hear only of the first of several refusals.
#[test]
fn each_refusal_of_a_brittle_endpoint_changes_what_other_boxes_know() {
    let (mut refused, mut other) = (EndpointLimits::default(), EndpointLimits::default());
    for second in 0..3 {
        let now = START + Duration::from_secs(second);
        refused.record_refusal(now, "i-1", 1, "1".parse().expect("a rate"));
        let updates = refused.take_updates();
        assert_eq!(other.merge(now, &updates), updates, "refusal after {second} s");
        assert_eq!(updates.len(), 1);
    }
}

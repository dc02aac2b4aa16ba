//! A simulated fleet of entry boxes and engines, in which some requests crash every engine that
//! runs them.
//!
//! Relays, pools and quarantine are the product's; time, runs and callers are simulated from a
//! seed. A caller whose request fails sends it again once, at a random box, unless the error is
//! final.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_limit::Sender;
use vaneway_quarantine::Fingerprint;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::PartVerdict;
use vaneway_quarantine::Progress;
use vaneway_quarantine::Quarantine;
use vaneway_quarantine::QuarantineRecord;
use vaneway_quarantine::ServiceHash;
use vaneway_quarantine::Verdict;
use vaneway_relay::Action;
use vaneway_relay::AnswerForm;
use vaneway_relay::AttemptId;
use vaneway_relay::Event;
use vaneway_relay::FailureKind;
use vaneway_relay::Outcome;
use vaneway_relay::Plan;
use vaneway_relay::Relay;
use vaneway_relay::RetryBudget;
use vaneway_relay::WaitPolicy;
use vaneway_route::Choice;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::PartId;
use vaneway_route::Policy;
use vaneway_route::Pool;
use vaneway_route::PromptPart;
use vaneway_route::Query;
use vaneway_route::Work;

use crate::support::simulated_engines;

/// Time from the start of a run to the crash of its engine, for requests that crash engines: a few
/// hundred milliseconds, during which the prompt is processed.
const CRASH_DELAY: Duration = Duration::from_millis(300);

/// Time from the first event of a response until the engine counts as surviving the prompt.
const SURVIVAL_DELAY: Duration = Duration::from_millis(250);

/// Time after which a crashed engine has restarted.
const RESTART_DELAY: Duration = Duration::from_secs(4);

/// Network delay between two boxes, or a caller and a box.
const NETWORK_DELAY: Duration = Duration::from_millis(3);

/// Time after which all boxes have received a record of one of them: a report to the control boxes
/// and an update from them.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);

/// Deadline of requests, from their arrival at a box.
const DEADLINE: Duration = Duration::from_secs(8);

/// What makes a request crash the engine that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deadly {
    /// Its own content.
    Request,
    /// Its content, which all such requests share, and so the fingerprint.
    SharedContent,
    /// A part of its prompt, which all such requests share, and no others.
    Part,
}

/// Time after the fifth crash from which hardly any request with a deadly part may be sent.
const MAX_TIME_TO_CONTAIN: Duration = Duration::from_secs(3);

/// The service of all engines.
const SERVICE: ServiceHash = 1;

/// The part of prompts that crashes engines.
const DEADLY_PART: PartId = 900;

/// The first part of all prompts.
const FIRST_PART: PartId = 901;

/// Size of a fleet and its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) boxes: usize,
    pub(crate) engines: u32,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Share of the requests that crash the engine which runs them.
    pub(crate) deadly: f64,
    /// What makes these requests crash engines.
    pub(crate) deadly_by: Deadly,
    /// Time during which requests arrive.
    pub(crate) duration: Duration,
    /// Time from the start of a run to the first event of its response.
    pub(crate) time_to_first_event: Duration,
    /// Times at which engines crash for other reasons, each with the number of engines.
    pub(crate) unrelated_crashes: &'static [(Duration, u32)],
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    /// Requests that crash engines (deadly requests).
    pub(crate) deadly: u64,
    /// Number of engine crashes that deadly requests caused.
    pub(crate) crashes_caused: u64,
    /// Highest number of engine crashes that one request caused.
    pub(crate) max_crashes_by_one: u64,
    /// Deadly requests sent to an engine after their content had crashed three engines and all
    /// boxes had received the records of that.
    pub(crate) sent_after_three_crashes: u64,
    /// Deadly requests sent to an engine later than [`MAX_TIME_TO_CONTAIN`] after the fifth crash.
    pub(crate) sent_late: u64,
    /// Requests sent to a crashed engine after all boxes had received the record of its crash.
    pub(crate) sent_to_known_crashed: u64,
    /// All other requests.
    pub(crate) others: u64,
    /// Other requests that were served.
    pub(crate) served: u64,
    /// Other requests that were refused as ones that crash endpoints.
    pub(crate) rejected: u64,
}

type RequestNumber = usize;
type SubmissionNumber = usize;

#[derive(Debug)]
enum SimulationEvent {
    /// A caller makes a new request.
    Arrival,
    /// A request reaches a box.
    RequestSent(RequestNumber),
    /// An event for the relay of a submission.
    ToRelay(SubmissionNumber, Event),
    /// A run has been responding for a while, unless its engine crashed before.
    RunSurvived(SubmissionNumber, AttemptId),
    /// A run completes, unless its engine crashed before.
    RunCompleted(SubmissionNumber, AttemptId),
    /// A request crashes the engine that runs it.
    EngineCrashed(EndpointId, SubmissionNumber, AttemptId),
    /// A crashed engine has restarted.
    EngineRestarted(EndpointId),
    /// This many engines crash for other reasons.
    UnrelatedCrashes(u32),
    /// All boxes receive the quarantine records of one of them.
    RecordsReceived(Vec<QuarantineRecord>),
}

#[derive(Debug, Default)]
struct SimulatedRequest {
    deadly: bool,
    /// How often its caller sent it.
    sent: u32,
    /// Engine crashes that it caused.
    crashes_caused: u64,
    served: bool,
    rejected: bool,
}

#[derive(Debug, Default)]
struct Engine {
    down: bool,
    /// When a box first noticed that it is down.
    seen_down_at: Option<Instant>,
    /// Number of its crashes, which identifies its incarnation.
    crashes: u64,
    /// Running attempts, each with its start.
    runs: BTreeMap<(SubmissionNumber, AttemptId), Instant>,
}

struct EntryBox {
    pool: Pool,
    budget: RetryBudget,
    quarantine: Quarantine,
}

/// A request as one box handles it.
struct Submission {
    request: RequestNumber,
    box_index: usize,
    relay: Relay,
    /// Engines that crashed while they ran it.
    crashes: Vec<(Incarnation, Progress)>,
}

/// The incarnation of an engine after this number of crashes.
fn incarnation(engine: EndpointId, crashes: u64) -> Incarnation {
    Incarnation::new(&format!("engine-{engine}"), crashes + 1)
}

impl EntryBox {
    /// Merges records of another box, as an entry box does.
    fn merge_records(&mut self, now: Instant, time: Duration, records: &[QuarantineRecord]) {
        for record in self.quarantine.merge(time, records) {
            let QuarantineRecord::EndpointExited { endpoint, .. } = record else { continue };
            let number = endpoint.name().split('-').nth(1).and_then(|number| number.parse().ok());
            let id: EndpointId = number.expect("an engine's name ends with its number");
            self.pool.record_exit(now, id, &mut Vec::new());
        }
    }
}

/// A running simulation.
pub(crate) struct SimulatedCrashes {
    load: Load,
    now: Instant,
    started: Instant,
    random: Pcg64Mcg,
    queue: BTreeMap<(Instant, u64), SimulationEvent>,
    queued: u64,
    boxes: Vec<EntryBox>,
    engines: Vec<Engine>,
    requests: Vec<SimulatedRequest>,
    submissions: Vec<Submission>,
    /// When deadly requests crashed engines.
    crash_times: Vec<Instant>,
    sent_after_three_crashes: u64,
    sent_late: u64,
    sent_to_known_crashed: u64,
}

impl SimulatedCrashes {
    /// Simulates a load until all its events have been handled.
    pub(crate) fn simulate(load: Load, seed: u64) -> Outcomes {
        println!("{load:?}, seed {seed}");
        let now = Instant::now();
        let mut fleet = Self {
            load,
            now,
            started: now,
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            queued: 0,
            boxes: (0..load.boxes).map(|i| entry_box(load, seed + i as u64)).collect(),
            engines: (0..load.engines).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            submissions: Vec::new(),
            crash_times: Vec::new(),
            sent_after_three_crashes: 0,
            sent_late: 0,
            sent_to_known_crashed: 0,
        };
        fleet.schedule(Duration::ZERO, SimulationEvent::Arrival);
        for (at, count) in load.unrelated_crashes {
            fleet.schedule(*at, SimulationEvent::UnrelatedCrashes(*count));
        }
        while let Some(((now, _), event)) = fleet.queue.pop_first() {
            fleet.now = now;
            fleet.handle_event(event);
        }
        fleet.outcomes()
    }

    fn outcomes(&self) -> Outcomes {
        let mut outcomes = Outcomes {
            sent_after_three_crashes: self.sent_after_three_crashes,
            sent_late: self.sent_late,
            sent_to_known_crashed: self.sent_to_known_crashed,
            ..Outcomes::default()
        };
        for request in &self.requests {
            if request.deadly {
                outcomes.deadly += 1;
                outcomes.crashes_caused += request.crashes_caused;
                outcomes.max_crashes_by_one =
                    outcomes.max_crashes_by_one.max(request.crashes_caused);
            } else {
                outcomes.others += 1;
                outcomes.served += u64::from(request.served);
                outcomes.rejected += u64::from(request.rejected);
            }
        }
        println!("{outcomes:?}");
        outcomes
    }

    fn schedule(&mut self, wait: Duration, event: SimulationEvent) {
        self.queued += 1;
        self.queue.insert((self.now + wait, self.queued), event);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.generate_arrival(),
            SimulationEvent::RequestSent(request) => self.submit(request),
            SimulationEvent::ToRelay(submission, event) => {
                self.handle_relay_event(submission, event);
            }
            SimulationEvent::RunSurvived(submission, attempt) => {
                if self.engines.iter().any(|e| e.runs.contains_key(&(submission, attempt))) {
                    self.record_answer(submission);
                }
            }
            SimulationEvent::RunCompleted(submission, attempt) => {
                self.complete_run(submission, attempt);
            }
            SimulationEvent::EngineCrashed(engine, submission, attempt) => {
                // Its box may have cancelled the attempt before.
                if self.engines[engine as usize].runs.contains_key(&(submission, attempt)) {
                    self.crash_engine(engine, Some(self.submissions[submission].request));
                }
            }
            SimulationEvent::EngineRestarted(engine) => self.restart_engine(engine),
            SimulationEvent::UnrelatedCrashes(count) => self.crash_random_engines(count),
            SimulationEvent::RecordsReceived(records) => {
                let now = self.time();
                for entry in &mut self.boxes {
                    entry.merge_records(self.now, now, &records);
                }
                self.end_condemned_submissions();
            }
        }
    }

    /// The cluster time.
    fn time(&self) -> Duration {
        self.now - self.started
    }

    /// Publishes the new records of a box to all boxes.
    fn publish_updates(&mut self, box_index: usize) {
        let updates = self.boxes[box_index].quarantine.take_updates();
        if !updates.is_empty() {
            self.schedule(PUBLISH_DELAY, SimulationEvent::RecordsReceived(updates));
        }
    }

    fn generate_arrival(&mut self) {
        if self.now >= self.started + self.load.duration {
            return;
        }
        let deadly = self.random.random_bool(self.load.deadly);
        self.requests.push(SimulatedRequest { deadly, ..SimulatedRequest::default() });
        self.schedule(NETWORK_DELAY, SimulationEvent::RequestSent(self.requests.len() - 1));
        let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / self.load.rate;
        self.schedule(Duration::from_secs_f64(gap), SimulationEvent::Arrival);
    }

    /// Hands a request to a random box.
    fn submit(&mut self, request: RequestNumber) {
        self.requests[request].sent += 1;
        let box_index = self.random.random_range(0..self.boxes.len());
        if self.is_condemned(box_index, request) {
            self.requests[request].rejected = true;
            return;
        }
        let plan = Plan {
            repeatable: true,
            form: AnswerForm::EventStream { resumable: true },
            wants_usage: false,
            max_attempts: 2,
            deadline: self.now + DEADLINE,
            wait_policy: WaitPolicy::IfExpectedBy { deadline: self.now + DEADLINE / 8 },
            prompt_tokens: 0,
            max_tokens: 0,
            seed: request as u64,
        };
        self.submissions.push(Submission {
            request,
            box_index,
            relay: Relay::new(plan),
            crashes: Vec::new(),
        });
        self.handle_relay_event(self.submissions.len() - 1, Event::Begin);
    }

    fn handle_relay_event(&mut self, submission: SubmissionNumber, event: Event) {
        let mut actions = Vec::new();
        let this = &mut self.submissions[submission];
        let budget = &mut self.boxes[this.box_index].budget;
        this.relay.handle(self.now, event, budget, &mut actions);
        for action in actions {
            self.apply_action(submission, &action);
        }
    }

    fn apply_action(&mut self, submission: SubmissionNumber, action: &Action) {
        match *action {
            Action::Choose => {
                let event = self.choose(submission);
                self.schedule(Duration::ZERO, SimulationEvent::ToRelay(submission, event));
            }
            Action::Start { attempt, endpoint, .. } => self.start(submission, attempt, endpoint),
            Action::Wake { at } => {
                self.schedule(at - self.now, SimulationEvent::ToRelay(submission, Event::Woken));
            }
            Action::Complete => self.complete(submission),
            Action::Fail { failure } => self.fail(submission, failure.kind),
            Action::Detach { attempt } => {
                for engine in &mut self.engines {
                    engine.runs.remove(&(submission, attempt));
                }
            }
            Action::Transfer { .. }
            | Action::Cancel { .. }
            | Action::Release { .. }
            | Action::Emit { .. } => {}
        }
    }

    fn choose(&mut self, submission: SubmissionNumber) -> Event {
        let this = &self.submissions[submission];
        let work = self.work(this.request);
        if self.is_condemned(this.box_index, this.request) {
            return Event::Condemned;
        }
        let query = Query {
            software: None,
            service: 0,
            home: "a",
            avoid: this.relay.tried(),
            prefix: 0,
            work: Some(&work),
            isolation_hash: (!this.crashes.is_empty()).then_some(self.fingerprint(this.request)),
            queue_limit: None,
            sender: Sender::default(),
            versions: None,
        };
        match self.boxes[this.box_index].pool.choose(self.now, query) {
            Choice::Endpoint(endpoint) => Event::Chosen { endpoint },
            Choice::Full | Choice::Limited | Choice::QueuesTooLong => {
                Event::Unavailable { full: true, until: None }
            }
            Choice::Unavailable { until } => Event::Unavailable { full: false, until },
            Choice::NoneLeft => Event::NoneLeft,
        }
    }

    fn start(&mut self, submission: SubmissionNumber, attempt: AttemptId, endpoint: EndpointId) {
        let engine = &mut self.engines[endpoint as usize];
        if engine.down {
            let seen_at = *engine.seen_down_at.get_or_insert(self.now);
            self.sent_to_known_crashed += u64::from(self.now > seen_at + PUBLISH_DELAY);
            self.record_exit(submission, endpoint);
            // A port without a listener refuses a connection immediately.
            let event = Event::Ended { attempt, outcome: Outcome::NotSent };
            self.schedule(NETWORK_DELAY, SimulationEvent::ToRelay(submission, event));
            return;
        }
        engine.runs.insert((submission, attempt), self.now);
        if self.requests[self.submissions[submission].request].deadly {
            let is_later = |crash: usize, delay| {
                self.crash_times.get(crash - 1).is_some_and(|at| self.now > *at + delay)
            };
            self.sent_after_three_crashes += u64::from(is_later(3, PUBLISH_DELAY));
            self.sent_late += u64::from(is_later(5, MAX_TIME_TO_CONTAIN));
            self.schedule(
                CRASH_DELAY,
                SimulationEvent::EngineCrashed(endpoint, submission, attempt),
            );
        } else {
            let run_time = Duration::from_millis(self.random.random_range(300..1_500));
            self.schedule(run_time, SimulationEvent::RunCompleted(submission, attempt));
            let survived = self.load.time_to_first_event + SURVIVAL_DELAY;
            self.schedule(survived, SimulationEvent::RunSurvived(submission, attempt));
        }
    }

    fn complete_run(&mut self, submission: SubmissionNumber, attempt: AttemptId) {
        let running = |engine: &Engine| engine.runs.contains_key(&(submission, attempt));
        let Some(engine) = self.engines.iter_mut().find(|engine| running(engine)) else { return };
        engine.runs.remove(&(submission, attempt));
        self.handle_relay_event(submission, Event::Ended { attempt, outcome: Outcome::Done });
    }

    fn crash_engine(&mut self, endpoint: EndpointId, cause: Option<RequestNumber>) {
        let engine = &mut self.engines[endpoint as usize];
        if engine.down {
            return;
        }
        engine.down = true;
        engine.seen_down_at = (!engine.runs.is_empty()).then_some(self.now);
        engine.crashes += 1;
        let runs = std::mem::take(&mut engine.runs);
        if let Some(request) = cause {
            self.requests[request].crashes_caused += 1;
            self.crash_times.push(self.now);
        }
        self.schedule(RESTART_DELAY, SimulationEvent::EngineRestarted(endpoint));
        for ((submission, attempt), since) in runs {
            let is_cause = cause == Some(self.submissions[submission].request);
            let answering = self.now - since >= self.load.time_to_first_event && !is_cause;
            let progress = if answering { Progress::Answering } else { Progress::Reading };
            self.record_exit(submission, endpoint);
            let event = match self.record_request_crash(submission, endpoint, progress) {
                Verdict::Condemned => Event::Condemned,
                _ => Event::Ended { attempt, outcome: Outcome::Unknown },
            };
            self.schedule(NETWORK_DELAY, SimulationEvent::ToRelay(submission, event));
        }
    }

    /// Records at the box of a submission that an engine crashed while it ran the request; returns
    /// the box's verdict on the request.
    fn record_request_crash(
        &mut self,
        submission: SubmissionNumber,
        endpoint: EndpointId,
        progress: Progress,
    ) -> Verdict {
        let now = self.time();
        let request = self.submissions[submission].request;
        let fingerprint = self.fingerprint(request);
        let parts = self.shared_parts(request);
        let this = &mut self.submissions[submission];
        let crashed = incarnation(endpoint, self.engines[endpoint as usize].crashes);
        let box_index = this.box_index;
        let quarantine = &mut self.boxes[box_index].quarantine;
        if progress == Progress::Reading {
            quarantine.record_crash_with_parts(now, &crashed, fingerprint, SERVICE, &parts);
        }
        this.crashes.push((crashed, progress));
        let verdict = quarantine.record_crash(now, fingerprint, &this.crashes);
        let has_condemned_part =
            matches!(self.part_verdict(box_index, request), PartVerdict::Condemned(_));
        self.publish_updates(box_index);
        if has_condemned_part { Verdict::Condemned } else { verdict }
    }

    /// Records at the box of a submission that an engine responds to it.
    fn record_answer(&mut self, submission: SubmissionNumber) {
        let now = self.time();
        let Submission { request, box_index, .. } = self.submissions[submission];
        let parts = self.shared_parts(request);
        self.boxes[box_index].quarantine.record_answer(now, SERVICE, &parts);
        self.publish_updates(box_index);
    }

    /// What is held at a box against the parts of a request.
    fn part_verdict(&self, box_index: usize, request: RequestNumber) -> PartVerdict {
        let quarantine = &self.boxes[box_index].quarantine;
        quarantine.part_verdict(self.time(), SERVICE, &self.shared_parts(request))
    }

    fn is_condemned(&self, box_index: usize, request: RequestNumber) -> bool {
        let verdict = self.boxes[box_index].quarantine.verdict(self.fingerprint(request));
        verdict == Some(Verdict::Condemned)
            || matches!(self.part_verdict(box_index, request), PartVerdict::Condemned(_))
    }

    fn shared_parts(&self, request: RequestNumber) -> Vec<PartId> {
        self.work(request).shared().iter().map(|part| part.id).collect()
    }

    /// Records at the box of a submission that no process listens at an engine's address.
    fn record_exit(&mut self, submission: SubmissionNumber, endpoint: EndpointId) {
        let now = self.time();
        let crashed = incarnation(endpoint, self.engines[endpoint as usize].crashes);
        let box_index = self.submissions[submission].box_index;
        let entry = &mut self.boxes[box_index];
        entry.quarantine.record_exit(now, &crashed);
        entry.pool.record_exit(self.now, endpoint, &mut Vec::new());
        self.publish_updates(box_index);
    }

    /// Restarts an engine; it registers again, so all boxes treat it as a new incarnation.
    fn restart_engine(&mut self, engine: EndpointId) {
        self.engines[engine as usize].down = false;
        for entry in &mut self.boxes {
            entry.pool.handle(self.now, engine, EndpointEvent::Replaced, &mut Vec::new());
        }
    }

    fn crash_random_engines(&mut self, count: u32) {
        for _ in 0..count {
            let endpoint = self.random.random_range(0..self.load.engines);
            self.crash_engine(endpoint, None);
        }
    }

    /// Ends the submissions of requests whose verdict is now `Condemned` at their boxes.
    fn end_condemned_submissions(&mut self) {
        for submission in 0..self.submissions.len() {
            let Submission { request, box_index, .. } = self.submissions[submission];
            let is_sent = self.submissions[submission].relay.endpoint().is_some();
            if is_sent && self.is_condemned(box_index, request) {
                self.handle_relay_event(submission, Event::Condemned);
            }
        }
    }

    /// A prompt with parts that many requests share and one of its own.
    fn work(&self, request: RequestNumber) -> Work {
        let subject = PromptPart { id: request as PartId % 47, tokens: 6_300 };
        let own = PromptPart { id: 1_000 + request as PartId, tokens: 2_890 };
        let mut parts = vec![subject, own];
        if self.load.deadly_by == Deadly::Part {
            parts.insert(0, PromptPart { id: FIRST_PART, tokens: 0 });
            if self.requests[request].deadly {
                parts.insert(2, PromptPart { id: DEADLY_PART, tokens: 0 });
            }
        }
        Work { prompt_tokens: 9_190, max_tokens: 51, parts }
    }

    /// The fingerprint by which all boxes recognise a request.
    fn fingerprint(&self, request: RequestNumber) -> Fingerprint {
        if self.load.deadly_by == Deadly::SharedContent && self.requests[request].deadly {
            return Fingerprint::MAX;
        }
        request as Fingerprint
    }

    fn complete(&mut self, submission: SubmissionNumber) {
        let now = self.time();
        let Submission { request, box_index, .. } = self.submissions[submission];
        self.requests[request].served = true;
        let fingerprint = self.fingerprint(request);
        self.boxes[box_index].quarantine.clear(now, fingerprint);
        self.record_answer(submission);
    }

    /// Returns an error to the caller, which retries once unless the error is final.
    fn fail(&mut self, submission: SubmissionNumber, kind: FailureKind) {
        let request = self.submissions[submission].request;
        if kind == FailureKind::CrashesEndpoints {
            self.requests[request].rejected = true;
            return;
        }
        if self.requests[request].sent < 2 {
            self.schedule(2 * NETWORK_DELAY, SimulationEvent::RequestSent(request));
        }
    }
}

fn entry_box(load: Load, seed: u64) -> EntryBox {
    EntryBox {
        pool: Pool::new(simulated_engines(load.engines), Policy::ExpectedWork, seed),
        // The share of one of 69 boxes where operators allow retries of a fifth of the requests
        // plus 178.
        budget: RetryBudget::new(15, 1),
        quarantine: Quarantine::default(),
    }
}

//! Guarantees of the relay for streams of numbered events, in every order of inputs.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use vaneway_relay::Action;
use vaneway_relay::AnswerForm;
use vaneway_relay::Chunk;
use vaneway_relay::Event;
use vaneway_relay::Outcome;
use vaneway_relay::Plan;
use vaneway_relay::Relay;
use vaneway_relay::RetryBudget;
use vaneway_relay::RunState;
use vaneway_relay::Start;
use vaneway_relay::WaitPolicy;
use vaneway_relay::request_chart;

use crate::property;

const MAX_ATTEMPTS: u32 = 2;

#[derive(Debug, TypeGenerator)]
enum Input {
    Chosen(u8),
    Woken,
    Head,
    /// The next event of the current attempt.
    Next,
    /// An event of an attempt that is over.
    Late(u8),
    Ended(u8),
    Gone(u8),
}

/// A relay of an event stream, with what its caller and its endpoints have received.
struct Stream {
    relay: Relay,
    budget: RetryBudget,
    now: Instant,
    resumable: bool,
    current: Option<(u32, u32)>,
    next: u32,
    seen: Vec<u32>,
    /// Number of attempts whose endpoint may have run the request.
    runs: u32,
    /// Number of attempts that reached an endpoint.
    reached: u32,
    /// Number of completed responses and errors that the caller received.
    responses: u32,
}

impl Stream {
    fn new(resumable: bool) -> Self {
        let now = Instant::now();
        let plan = Plan {
            repeatable: resumable,
            form: AnswerForm::EventStream { resumable },
            wants_usage: false,
            max_attempts: MAX_ATTEMPTS,
            deadline: now + Duration::from_mins(1),
            wait_policy: WaitPolicy::AtMost(Duration::from_millis(100)),
            prompt_tokens: 0,
            max_tokens: 0,
            seed: 1,
        };
        Self {
            relay: Relay::new(plan),
            budget: RetryBudget::new(10, 10),
            now,
            resumable,
            current: None,
            next: 1,
            seen: Vec::new(),
            runs: 0,
            reached: 0,
            responses: 0,
        }
    }

    fn event(&mut self, input: &Input) -> Option<Event> {
        Some(match input {
            Input::Chosen(endpoint) => Event::Chosen { endpoint: u32::from(endpoint % 3) },
            Input::Woken => Event::Woken,
            Input::Head => Event::Head { attempt: self.current?.0 },
            Input::Next => {
                let attempt = self.current?.0;
                let number = self.next;
                self.next += 1;
                Event::Chunk { attempt, chunk: Chunk::event(Some(number), number.to_string()) }
            }
            Input::Late(number) => {
                let attempt = self.relay.counts().attempts.checked_sub(1)?;
                let number = u32::from(*number);
                Event::Chunk { attempt, chunk: Chunk::event(Some(number), number.to_string()) }
            }
            Input::Ended(outcome) => {
                let (attempt, _) = self.current.take()?;
                let has_sent_events = self.next > 1 && self.seen.last() == Some(&(self.next - 1));
                // An endpoint that has sent an event did not refuse the request.
                let outcomes = if has_sent_events {
                    [Outcome::Unknown, Outcome::Done, Outcome::Unknown, Outcome::Done]
                } else {
                    [Outcome::NotSent, Outcome::Refused, Outcome::Unknown, Outcome::Done]
                };
                let outcome = outcomes[usize::from(outcome % 4)];
                self.runs += u32::from(matches!(outcome, Outcome::Unknown | Outcome::Done));
                self.reached += u32::from(outcome != Outcome::NotSent);
                Event::Ended { attempt, outcome }
            }
            Input::Gone(endpoint) => {
                let endpoint = u32::from(endpoint % 3);
                if self.current.take_if(|(_, at)| *at == endpoint).is_some() {
                    self.runs += 1;
                    self.reached += 1;
                }
                Event::Gone { endpoint }
            }
        })
    }

    fn step(&mut self, event: Event) {
        self.now += Duration::from_millis(5);
        let mut actions = Vec::new();
        self.relay.handle(self.now, event, &mut self.budget, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Start { attempt, endpoint, how } => {
                assert!(
                    self.resumable || self.runs == 0,
                    "a request that may not be repeated ran, and was sent again"
                );
                assert!(self.reached < MAX_ATTEMPTS, "sent to more endpoints than allowed");
                self.current = Some((attempt, endpoint));
                let last_seen = self.seen.last().copied().unwrap_or(0);
                self.next = match how {
                    Start::Fresh => {
                        assert_eq!(last_seen, 0, "started again after {last_seen} events");
                        1
                    }
                    Start::Resume { after } | Start::Continue { after } => {
                        assert_eq!(after, last_seen);
                        after + 1
                    }
                };
            }
            Action::Emit { chunk } => self.seen.extend(chunk.offset),
            Action::Complete => self.responses += 1,
            Action::Fail { failure } => {
                self.responses += 1;
                let ran = self.runs > 0 || !self.seen.is_empty();
                assert!(
                    failure.run != RunState::NotRun || !ran,
                    "reported as not run, but it may have run"
                );
            }
            Action::Detach { .. }
            | Action::Cancel { .. }
            | Action::Choose
            | Action::Transfer { .. }
            | Action::Wake { .. }
            | Action::Release { .. } => {}
        }
    }
}

#[test]
fn every_event_arrives_once_and_in_order_and_nothing_runs_more_often_than_allowed() {
    property::check("event streams", 20_000, |(resumable, inputs): (bool, Vec<Input>)| {
        let mut stream = Stream::new(resumable);
        stream.step(Event::Begin);
        for input in &inputs {
            if request_chart().is_final(stream.relay.state()) {
                break;
            }
            if let Some(event) = stream.event(input) {
                stream.step(event);
            }
        }
        let in_order: Vec<u32> = (1..=stream.seen.len() as u32).collect();
        assert_eq!(stream.seen, in_order);
        assert!(stream.responses <= 1, "the stream ended more than once");
    });
}

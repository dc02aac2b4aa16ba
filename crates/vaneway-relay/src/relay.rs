//! The decisions for one accepted request, from admission to the last byte of its response.
//!
//! Overview:
//!
//! - [`Plan`] has the rules for the request, [`Event`] is the input and [`Action`] the output.
//! - [`Relay::handle`] translates an event into an event of the state chart. This translation
//!   decides which outcome may be followed by another attempt, when moving a stream is worth it,
//!   and which error is returned to the caller.
//! - [`Relay::step`] performs the transition in the chart and turns its actions into [`Action`]s.
//!
//! Attempts are numbered. Events with the number of an attempt that is no longer current are
//! dropped, so that a late response can't reach the caller.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Action;
use crate::AnswerForm;
use crate::AttemptCounts;
use crate::AttemptId;
use crate::Chunk;
use crate::ChunkDecision;
use crate::EndpointId;
use crate::Event;
use crate::Failure;
use crate::FailureKind;
use crate::Outcome;
use crate::Plan;
use crate::RequestEvent;
use crate::RequestState;
use crate::RetryBudget;
use crate::RunState;
use crate::Splice;
use crate::Start;
use crate::WaitPolicy;
use crate::request::RequestAction;
use crate::request_chart;

/// Maximum number of consecutive attempts that reach an engine and yield no new token, so that
/// engines that always abort their responses can't keep a stream open until its deadline. Attempts
/// that reach no engine don't count: they cost nothing, and a replacement may start before the
/// deadline.
const MAX_UNPRODUCTIVE_ATTEMPTS: u32 = 8;

/// Maximum number of attempts of one request that never reach their endpoint.
const MAX_UNSENT_ATTEMPTS: u32 = 8;

/// Time before a reclaim that is reserved for moving the stream.
const MOVE_MARGIN: Duration = Duration::from_millis(400);

/// Longest pause before the second retry. It doubles with each further retry; the actual pause is a
/// random 50 to 100 % of it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Upper bound of the pause between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The running attempt.
#[derive(Debug, Clone, Copy)]
struct Current {
    attempt: AttemptId,
    endpoint: EndpointId,
    /// Whether the head of its response arrived.
    accepted: bool,
    /// When its endpoint's box is reclaimed, if announced.
    gone_at: Option<Instant>,
}

/// The state of one accepted request.
#[derive(Debug)]
pub struct Relay {
    plan: Plan,
    state: RequestState,
    splice: Splice,
    current: Option<Current>,
    /// The endpoint that held the stream's state when its last attempt ended.
    source: Option<EndpointId>,
    /// The endpoint chosen for the next attempt.
    target: Option<EndpointId>,
    /// Whether the endpoint of the next attempt holds the stream's state.
    resumable: bool,
    tried: Vec<EndpointId>,
    counts: AttemptCounts,
    run_state: RunState,
    failure: FailureKind,
    pause_until: Option<Instant>,
    waiting_since: Option<Instant>,
    first_chunk_at: Option<Instant>,
    /// Consecutive attempts that yielded no new token.
    unproductive_attempts: u32,
    /// Attempts that never reached their endpoint.
    unsent_attempts: u32,
    rng: Pcg64Mcg,
}

impl Relay {
    /// A request that was accepted but not begun.
    pub fn new(plan: Plan) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        Self {
            plan,
            state: request_chart().initial(),
            splice: Splice::new(),
            current: None,
            source: None,
            target: None,
            resumable: false,
            tried: Vec::new(),
            counts: AttemptCounts::default(),
            run_state: RunState::NotRun,
            failure: FailureKind::NoEndpoint,
            pause_until: None,
            waiting_since: None,
            first_chunk_at: None,
            unproductive_attempts: 0,
            unsent_attempts: 0,
            rng,
        }
    }

    /// The current state in the chart.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// The rules for the request.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The response so far.
    pub fn splice(&self) -> &Splice {
        &self.splice
    }

    /// Counts of the attempts so far.
    pub fn counts(&self) -> AttemptCounts {
        self.counts
    }

    /// Endpoints of all attempts so far.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Whether another attempt may be made where one was made before, if nothing else is left to
    /// try: a stream of which the caller has a part goes on wherever it can. A request whose
    /// response has not begun is refused instead, so that its caller need not wait.
    pub fn may_return(&self) -> bool {
        self.splice.has_sent()
    }

    /// The endpoint of the running attempt.
    pub fn endpoint(&self) -> Option<EndpointId> {
        self.current.map(|current| current.endpoint)
    }

    /// Whether an attempt is running whose response has not begun.
    pub fn has_no_response(&self) -> bool {
        self.current.is_some_and(|current| !current.accepted)
    }

    /// Applies an event and appends the actions to carry out to `out`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: Event,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        match event {
            Event::Begin => {
                budget.deposit();
                self.step(now, RequestEvent::Begin, out);
            }
            Event::Chosen { endpoint } => self.chosen(now, endpoint, out),
            Event::Unavailable { full, until } => self.unavailable(now, full, until, out),
            Event::NoneLeft => {
                self.failure = FailureKind::SoftwareGone;
                self.step(now, RequestEvent::Hopeless, out);
            }
            Event::Woken => self.woken(now, out),
            Event::Transferred { attempt, complete } => {
                self.transferred(now, attempt, complete, out);
            }
            Event::Head { attempt } => self.head(attempt),
            Event::Chunk { attempt, chunk } => self.chunk(now, attempt, chunk, out),
            Event::Ended { attempt, outcome } => self.ended(now, attempt, outcome, budget, out),
            Event::Overran { attempt } => self.overran(now, attempt, budget, out),
            Event::Condemned => self.condemned(now, out),
            Event::Answered { attempt } => self.answered(now, attempt, budget, out),
            Event::Leaving { endpoint, gone_at } => self.leaving(now, endpoint, gone_at, out),
            Event::Gone { endpoint } => self.gone(now, endpoint, budget, out),
            Event::Expired => {
                self.failure = FailureKind::DeadlineExceeded;
                self.step(now, RequestEvent::Expired, out);
            }
            Event::CallerGone => self.step(now, RequestEvent::CallerGone, out),
        }
    }

    fn chosen(&mut self, now: Instant, endpoint: EndpointId, out: &mut Vec<Action>) {
        self.target = Some(endpoint);
        self.waiting_since = None;
        let has_begun = self.splice.sent_tokens() > 0;
        match self.source {
            Some(source) if has_begun && source != endpoint => {
                self.step(now, RequestEvent::ChosenMove, out);
            }
            _ => self.step(now, RequestEvent::Chosen, out),
        }
    }

    fn unavailable(
        &mut self,
        now: Instant,
        full: bool,
        until: Option<Instant>,
        out: &mut Vec<Action>,
    ) {
        let since = *self.waiting_since.get_or_insert(now);
        let is_hopeless = match self.plan.wait_policy {
            WaitPolicy::AtMost(longest) => now >= since + longest,
            WaitPolicy::IfExpectedBy { deadline } => until.is_none_or(|until| until > deadline),
        };
        if !self.splice.has_sent() && is_hopeless {
            self.failure = if full { FailureKind::Overloaded } else { FailureKind::NoEndpoint };
            self.step(now, RequestEvent::Hopeless, out);
            return;
        }
        let next_poll = now + INITIAL_BACKOFF;
        self.pause_until = Some(until.map_or(next_poll, |until| until.clamp(now, next_poll)));
        self.step(now, RequestEvent::Unavailable, out);
    }

    fn woken(&mut self, now: Instant, out: &mut Vec<Action>) {
        match (self.state, self.current) {
            (RequestState::Running, Some(Current { endpoint, gone_at: Some(at), .. })) => {
                self.leaving(now, endpoint, at, out);
            }
            (RequestState::Waiting, _) if self.pause_until.is_none_or(|at| at <= now) => {
                self.step(now, RequestEvent::Woken, out);
            }
            _ => {}
        }
    }

    fn transferred(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        complete: bool,
        out: &mut Vec<Action>,
    ) {
        if self.state != RequestState::Transferring || attempt != self.counts.attempts + 1 {
            return;
        }
        self.resumable = complete;
        if complete {
            self.counts.transferred += 1;
        }
        self.step(now, RequestEvent::Transferred, out);
    }

    fn head(&mut self, attempt: AttemptId) {
        if let Some(current) = self.current.as_mut().filter(|c| c.attempt == attempt) {
            current.accepted = true;
            self.run_state = RunState::Ran;
        }
    }

    fn chunk(&mut self, now: Instant, attempt: AttemptId, chunk: Chunk, out: &mut Vec<Action>) {
        if self.current.is_none_or(|current| current.attempt != attempt) {
            return;
        }
        self.first_chunk_at.get_or_insert(now);
        self.run_state = RunState::Ran;
        match self.splice.push(chunk) {
            ChunkDecision::Emit(chunk) => {
                self.unproductive_attempts = 0;
                out.push(Action::Emit { chunk });
            }
            ChunkDecision::Drop => {}
            ChunkDecision::Gap => {
                out.push(Action::Detach { attempt });
                self.current = None;
                self.resumable = false;
                self.unproductive_attempts += 1;
                self.retry_stream(now, out);
            }
        }
    }

    fn ended(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        outcome: Outcome,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        let Some(current) = self.current.filter(|current| current.attempt == attempt) else {
            return;
        };
        self.current = None;
        if self.is_complete(outcome) {
            self.step(now, RequestEvent::Finished, out);
            return;
        }
        if self.splice.has_sent() && self.plan.form == AnswerForm::TokenStream {
            // Only an attempt that the endpoint accepted leaves state there.
            self.source = current.accepted.then_some(current.endpoint);
            self.resumable = false;
            self.unproductive_attempts += u32::from(outcome != Outcome::NotSent);
            self.retry_stream(now, out);
        } else {
            self.retry_request(now, outcome, budget, out);
        }
    }

    fn overran(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        if !self.splice.has_sent() {
            self.ended(now, attempt, Outcome::Unknown, budget, out);
        } else if self.current.take_if(|current| current.attempt == attempt).is_some() {
            self.failure = FailureKind::AttemptsExhausted;
            self.step(now, RequestEvent::LostForGood, out);
        }
    }

    fn condemned(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.failure = FailureKind::CrashesEndpoints;
        if let Some(Current { attempt, .. }) = self.abort_current() {
            out.push(Action::Detach { attempt });
        }
        let event = match self.state {
            RequestState::Choosing => RequestEvent::Hopeless,
            _ => RequestEvent::LostForGood,
        };
        self.step(now, event, out);
    }

    fn answered(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        if self.splice.has_sent() {
            // The caller has a part of a stream, so this response is of no use to it.
            self.ended(now, attempt, Outcome::Refused, budget, out);
        } else if self.current.is_some_and(|current| current.attempt == attempt) {
            self.current = None;
            self.step(now, RequestEvent::Finished, out);
        }
    }

    /// Whether the caller has the complete response when an attempt ends with `outcome`.
    fn is_complete(&self, outcome: Outcome) -> bool {
        if self.plan.form != AnswerForm::TokenStream {
            return outcome == Outcome::Done;
        }
        let usage_missing = self.plan.wants_usage && outcome != Outcome::Done;
        self.splice.is_finished() && !usage_missing
    }

    /// Resumes a stream of which the caller has a part. Not charged to the retry budget, since the
    /// request was accepted and its response has begun.
    fn retry_stream(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.unproductive_attempts >= MAX_UNPRODUCTIVE_ATTEMPTS {
            self.failure = FailureKind::AttemptsExhausted;
            self.step(now, RequestEvent::LostForGood, out);
            return;
        }
        self.pause(now, Duration::ZERO, out);
    }

    /// Retries a request, unless the caller has part of a token stream (see `retry_stream`).
    fn retry_request(
        &mut self,
        now: Instant,
        outcome: Outcome,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        let unknown = !matches!(outcome, Outcome::NotSent | Outcome::Refused);
        if unknown {
            self.may_have_run();
        }
        if unknown && !self.may_run_again() {
            self.failure = FailureKind::OutcomeUnknown;
            if !self.splice.has_sent() {
                self.run_state = RunState::Unknown;
            }
            self.step(now, RequestEvent::LostForGood, out);
            return;
        }
        if !self.may_retry(outcome, budget) {
            self.failure = FailureKind::AttemptsExhausted;
            self.step(now, RequestEvent::LostForGood, out);
            return;
        }
        self.counts.retries += 1;
        let pause = self.backoff();
        self.pause(now, pause, out);
    }

    /// Whether the request may be run again.
    fn may_run_again(&self) -> bool {
        match self.plan.form {
            AnswerForm::EventStream { resumable } if self.splice.has_sent() => resumable,
            AnswerForm::Buffered | AnswerForm::TokenStream | AnswerForm::EventStream { .. } => {
                self.plan.repeatable
            }
        }
    }

    /// Whether another attempt is allowed. One that never reached its endpoint cost that endpoint
    /// nothing, so it counts neither against the budget nor against the maximum of attempts.
    fn may_retry(&mut self, outcome: Outcome, budget: &mut RetryBudget) -> bool {
        if outcome == Outcome::NotSent {
            self.unsent_attempts += 1;
            return self.unsent_attempts <= MAX_UNSENT_ATTEMPTS;
        }
        self.counts.attempts - self.unsent_attempts < self.plan.max_attempts && budget.withdraw()
    }

    /// The pause before the next retry: none before the first one, which goes to another endpoint,
    /// then a growing one.
    fn backoff(&mut self) -> Duration {
        let Some(doublings) = self.counts.retries.checked_sub(2) else { return Duration::ZERO };
        let longest = INITIAL_BACKOFF.saturating_mul(1 << doublings.min(10)).min(MAX_BACKOFF);
        longest.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn pause(&mut self, now: Instant, pause: Duration, out: &mut Vec<Action>) {
        self.pause_until = Some(now + pause);
        self.step(now, RequestEvent::Lost, out);
    }

    fn leaving(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        gone_at: Instant,
        out: &mut Vec<Action>,
    ) {
        if self.state == RequestState::Transferring && self.target == Some(endpoint) {
            self.step(now, RequestEvent::Leaving, out);
            return;
        }
        let Some(current) = self.current.as_mut().filter(|c| c.endpoint == endpoint) else {
            return;
        };
        current.gone_at = Some(gone_at);
        let current = *current;
        let move_deadline = gone_at.checked_sub(MOVE_MARGIN).unwrap_or(gone_at);
        if self.should_stay(now, current, move_deadline) {
            if move_deadline > now {
                out.push(Action::Wake { at: move_deadline });
            }
            return;
        }
        self.source = current.accepted.then_some(endpoint);
        self.resumable = false;
        self.step(now, RequestEvent::Leaving, out);
    }

    /// Whether an attempt at a leaving endpoint should stay there: because the request may not be
    /// sent again, or because the attempt is expected to end in time.
    fn should_stay(&self, now: Instant, current: Current, move_deadline: Instant) -> bool {
        if self.plan.form != AnswerForm::TokenStream {
            return true;
        }
        if !self.splice.has_sent() && !current.accepted {
            return !self.plan.repeatable;
        }
        let Some(first_at) = self.first_chunk_at else { return !self.plan.repeatable };
        let sent = self.splice.sent_tokens().max(1);
        let time_per_token = now.saturating_duration_since(first_at) / sent;
        let remaining_tokens = self.plan.max_tokens.saturating_sub(sent);
        now + time_per_token.saturating_mul(remaining_tokens) < move_deadline
    }

    fn gone(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        if self.source == Some(endpoint) {
            self.source = None;
        }
        let Some(current) = self.current.filter(|c| c.endpoint == endpoint) else { return };
        out.push(Action::Detach { attempt: current.attempt });
        let outcome = Outcome::Unknown;
        self.ended(now, current.attempt, outcome, budget, out);
        if self.source == Some(endpoint) {
            self.source = None;
        }
    }

    fn step(&mut self, now: Instant, event: RequestEvent, out: &mut Vec<Action>) {
        let step = request_chart().step(self.state, event);
        self.state = step.to;
        for action in &step.actions {
            self.perform(now, *action, out);
        }
    }

    fn perform(&mut self, now: Instant, action: RequestAction, out: &mut Vec<Action>) {
        match action {
            RequestAction::Choose => {
                self.target = None;
                out.push(Action::Choose);
            }
            RequestAction::Start => self.start(out),
            RequestAction::Transfer => {
                if let (Some(from), Some(to)) = (self.source, self.target) {
                    let attempt = self.counts.attempts + 1;
                    out.push(Action::Transfer {
                        attempt,
                        from,
                        to,
                        tokens: self.splice.sent_tokens(),
                    });
                }
            }
            RequestAction::Pause => {
                let at = self.pause_until.unwrap_or(now);
                out.push(Action::Wake { at });
            }
            RequestAction::Detach => {
                if let Some(current) = self.abort_current() {
                    out.push(Action::Detach { attempt: current.attempt });
                }
            }
            RequestAction::Cancel => {
                if let Some(Current { attempt, endpoint, .. }) = self.abort_current() {
                    out.push(Action::Cancel { attempt, endpoint });
                }
                self.release(out);
            }
            RequestAction::Complete => {
                self.release(out);
                out.push(Action::Complete);
            }
            RequestAction::Fail => {
                let failure = Failure { kind: self.failure, run: self.run_state };
                out.push(Action::Fail { failure });
            }
        }
    }

    /// Takes the running attempt in order to abort it. Its endpoint may have run the request.
    fn abort_current(&mut self) -> Option<Current> {
        let current = self.current.take()?;
        self.may_have_run();
        Some(current)
    }

    fn may_have_run(&mut self) {
        if self.run_state == RunState::NotRun {
            self.run_state = RunState::Unknown;
        }
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        let Some(endpoint) = self.target.take() else { return };
        let after = self.splice.sent_tokens();
        let resumes = self.resumable || self.source == Some(endpoint);
        let how = match after {
            0 => Start::Fresh,
            _ if resumes => Start::Resume { after },
            _ => Start::Continue { after },
        };
        self.count_start(how);
        self.counts.attempts += 1;
        let attempt = self.counts.attempts;
        if !self.tried.contains(&endpoint) {
            self.tried.push(endpoint);
        }
        if self.source != Some(endpoint) {
            self.release(out);
        }
        self.source = None;
        self.resumable = false;
        self.splice.begin(if how == Start::Fresh { 0 } else { after });
        self.current = Some(Current { attempt, endpoint, accepted: false, gone_at: None });
        out.push(Action::Start { attempt, endpoint, how });
    }

    fn count_start(&mut self, how: Start) {
        match how {
            Start::Fresh if self.run_state == RunState::Ran => {
                self.counts.recomputed_tokens += u64::from(self.plan.prompt_tokens);
            }
            Start::Fresh => {}
            Start::Resume { .. } => self.counts.resumed += 1,
            Start::Continue { after } => {
                self.counts.recomputed += 1;
                self.counts.recomputed_tokens += u64::from(self.plan.prompt_tokens + after);
            }
        }
    }

    fn release(&mut self, out: &mut Vec<Action>) {
        if let Some(endpoint) = self.source.take() {
            out.push(Action::Release { endpoint });
        }
    }
}

//! One call that passes through: method, path, headers and body to an endpoint, and its answer
//! back, whole or as a stream of events.
//!
//! Why a whole answer is held back until it is there, up to a limit: a call that may be repeated
//! can then survive an endpoint that dies in the middle of its answer. A longer answer is passed
//! on as it comes; if it breaks off, the caller sees a body that is cut off. Of an event stream
//! each whole event is passed on at once, so that another endpoint can go on behind it.
//!
//! Data flow: [`call`] starts a task that drives a [`Relay`]: it waits for the next event
//! (`Call::poll_event`), lets the relay decide, and carries out its actions. The caller is watched
//! all the time; when it is gone, the attempt's connection is closed.

use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use futures_channel::oneshot;
use futures_util::FutureExt as _;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream::unfold;
use hyper::Response;
use hyper::http::response;
use vaneway_chart::ChartName as _;
use vaneway_relay::Action;
use vaneway_relay::AnswerForm;
use vaneway_relay::AttemptEvent;
use vaneway_relay::AttemptId;
use vaneway_relay::Chunk;
use vaneway_relay::Event;
use vaneway_relay::Failure;
use vaneway_relay::FailureKind;
use vaneway_relay::Outcome;
use vaneway_relay::Patience;
use vaneway_relay::Plan;
use vaneway_relay::Relay;
use vaneway_relay::RunState;
use vaneway_relay::Start;
use vaneway_relay::request_chart;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::SILENT_AFTER;

use crate::core::callers::api_error::ApiError;
use crate::core::calls::call_events::CallEvents;
use crate::core::calls::events::EventCutter;
use crate::core::calls::events::RawEvent;
use crate::core::endpoints::link::LinkBody;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::protocol::EndpointProtocol;
use crate::core::endpoints::protocol::Sending;
use crate::core::endpoints::protocol::Verdict;
use crate::core::endpoints::upstream::Answered;
use crate::core::endpoints::upstream::SendError;
use crate::core::entry::Entry;
use crate::core::entry::Occupancy;
use crate::util::body::CallerBody;
use crate::util::logline::Line;
use crate::util::outbox::Outbox;
use crate::util::outbox::outbox;
use crate::util::timers::Sleep;

/// Time between two looks whether an endpoint that owes an answer is out of reach.
const SILENCE_LOOK_EVERY: Duration = Duration::from_millis(100);

/// Limits of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Most endpoints that it may reach.
    pub max_attempts: u32,
    /// When the caller is given up.
    pub deadline: Instant,
    /// When it waits for an endpoint.
    pub patience: Patience,
    /// Longest wait for an answer to begin, and for the first event of a stream.
    pub head_within: Duration,
    /// Longest pause between two events of a stream.
    pub pause_within: Duration,
}

/// What an attempt brings.
enum Item {
    /// An event stream began.
    Head(response::Parts),
    /// Its next event.
    Event(RawEvent),
    /// An answer to pass on.
    Answer(Response<CallerBody>),
    /// An answer that says that the endpoint failed, to pass on if no other endpoint does better.
    Failed(Response<CallerBody>),
    /// The attempt ended; nothing follows.
    Ended {
        outcome: Outcome,
        cause: String,
        /// Whether another endpoint has the address now.
        replaced: bool,
    },
}

impl Item {
    fn ended(outcome: Outcome, cause: impl Into<String>) -> Self {
        Self::Ended { outcome, cause: cause.into(), replaced: false }
    }
}

/// Sends a call to an endpoint of its service and returns the answer once its head is known.
///
/// # Errors
///
/// The one error that the caller is told.
pub async fn call<E: EndpointProtocol>(
    entry: Rc<Entry>,
    protocol: Rc<E>,
    request: CallRequest,
    limits: CallLimits,
) -> Result<Response<CallerBody>, ApiError> {
    let open = entry.open.enter(&request.organisation, &request.service_name);
    let plan = Plan {
        repeatable: request.repeatable,
        form: request.form,
        wants_usage: false,
        max_attempts: limits.max_attempts,
        deadline: limits.deadline,
        patience: limits.patience,
        prompt_tokens: 0,
        max_tokens: 0,
        seed: entry.request_seed(open.request().number),
    };
    let (tx, rx) = oneshot::channel();
    let call = Call {
        events: CallEvents::new(open, &entry.timers, plan.deadline),
        relay: Relay::new(plan),
        reply: Reply { tx: Some(tx), answer: Answer::Nothing },
        failure: None,
        stalled: None,
        began: false,
        received: Instant::now(),
        request: Rc::new(request),
        entry,
        protocol,
        limits,
    };
    compio::runtime::spawn(drive(call)).detach();
    rx.await.unwrap_or_else(|oneshot::Canceled| Err(ended_early()))
}

fn ended_early() -> ApiError {
    log::error!("event=request_task_ended_early");
    let mut error = ApiError::not_now("internal", "the request's task ended early");
    error.run = RunState::Unknown;
    error
}

/// The answer as far as it is there. A later attempt takes the place of an earlier one, unless
/// events are under way to the caller already.
enum Answer {
    Nothing,
    /// An endpoint's own failure, for the caller if no other endpoint does better.
    Failed(Response<CallerBody>),
    Whole(Response<CallerBody>),
    /// Head of an event stream, which the caller gets with its first event.
    Head(response::Parts),
    /// Events are under way to the caller.
    Events(Outbox),
}

/// The way to the caller.
struct Reply {
    tx: Option<oneshot::Sender<Result<Response<CallerBody>, ApiError>>>,
    answer: Answer,
}

impl Reply {
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match (&mut self.tx, &self.answer) {
            (Some(tx), _) => tx.poll_canceled(cx),
            (None, Answer::Events(outbox)) => outbox.poll_gone(cx),
            (None, _) => Poll::Pending,
        }
    }

    fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        match &self.answer {
            Answer::Events(outbox) => outbox.poll_room(cx),
            _ => Poll::Ready(()),
        }
    }

    fn send(&mut self, answer: Result<Response<CallerBody>, ApiError>) {
        if let Some(tx) = self.tx.take() {
            // A caller that is gone needs no answer.
            let _gone = tx.send(answer);
        }
    }

    /// Takes the head of an event stream; the first one stays.
    fn begin(&mut self, head: response::Parts) {
        if matches!(self.answer, Answer::Nothing | Answer::Failed(_)) {
            self.answer = Answer::Head(head);
        }
    }

    /// Takes an endpoint's failure, unless the caller has events already.
    fn fail(&mut self, response: Response<CallerBody>) {
        if !matches!(self.answer, Answer::Events(_)) {
            self.answer = Answer::Failed(response);
        }
    }

    fn push(&mut self, limit: usize, bytes: &[u8]) {
        match std::mem::replace(&mut self.answer, Answer::Nothing) {
            Answer::Head(head) => {
                let (outbox, body) = outbox(limit);
                self.answer = Answer::Events(outbox);
                self.send(Ok(Response::from_parts(head, CallerBody::Fed(body))));
            }
            answer => self.answer = answer,
        }
        if let Answer::Events(outbox) = &self.answer {
            outbox.push(bytes);
        }
    }
}

struct Call<E> {
    entry: Rc<Entry>,
    protocol: Rc<E>,
    request: Rc<CallRequest>,
    limits: CallLimits,
    events: CallEvents,
    relay: Relay,
    reply: Reply,
    failure: Option<Failure>,
    /// Runs while the caller takes nothing.
    stalled: Option<Sleep>,
    /// Whether an endpoint began to work on it.
    began: bool,
    received: Instant,
}

/// An attempt under way.
struct Running<S> {
    attempt: AttemptId,
    endpoint: EndpointId,
    items: Pin<Box<S>>,
}

async fn drive<E: EndpointProtocol>(mut call: Call<E>) {
    let mut running = None;
    let mut actions = Vec::new();
    while !request_chart().is_final(call.relay.state()) {
        let event = poll_fn(|cx| call.poll_event(cx, &mut running)).await;
        call.decide(event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Start { attempt, endpoint, how } => {
                    let items = Box::pin(call.start(endpoint, how));
                    running = Some(Running { attempt, endpoint, items });
                }
                Action::Detach { .. } | Action::Cancel { .. } => running = None,
                action => call.perform(action),
            }
        }
        call.events.open.request().note(&call.relay);
    }
    drop(running);
    call.finish();
}

impl<E: EndpointProtocol> Call<E> {
    fn decide(&mut self, event: Event, actions: &mut Vec<Action>) {
        let mut budgets = self.entry.budgets.borrow_mut();
        let budget = &mut budgets[self.request.service as usize];
        self.relay.handle(Instant::now(), event, budget, actions);
    }

    fn poll_event<S: Stream<Item = Item>>(
        &mut self,
        cx: &mut Context<'_>,
        running: &mut Option<Running<S>>,
    ) -> Poll<Event> {
        if let Poll::Ready(event) = self.events.poll_next(cx) {
            return Poll::Ready(event);
        }
        if self.reply.poll_gone(cx).is_ready() || self.poll_stalled(cx).is_ready() {
            return Poll::Ready(Event::CallerGone);
        }
        let Some(current) = running else { return Poll::Pending };
        if self.reply.poll_room(cx).is_pending() {
            return Poll::Pending;
        }
        let item = std::task::ready!(current.items.poll_next_unpin(cx));
        let item = item.unwrap_or_else(|| Item::ended(Outcome::Unknown, "the attempt ended early"));
        let (attempt, endpoint) = (current.attempt, current.endpoint);
        if !matches!(item, Item::Head(_) | Item::Event(_)) {
            *running = None;
        }
        Poll::Ready(self.received(attempt, endpoint, item))
    }

    /// Ready once the caller has left its answer unread for too long.
    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.reply.poll_room(cx).is_ready() {
            self.stalled = None;
            return Poll::Pending;
        }
        let limit = self.entry.settings.limits.caller_stall;
        let stalled = self.stalled.get_or_insert_with(|| self.entry.timers.sleep(limit));
        stalled.poll_unpin(cx)
    }

    fn received(&mut self, attempt: AttemptId, endpoint: EndpointId, item: Item) -> Event {
        match item {
            Item::Head(mut head) => {
                self.protocol.pass_headers(&mut head.headers);
                self.reply.begin(head);
                Event::Head { attempt }
            }
            Item::Event(RawEvent { number, bytes }) => {
                self.count_begun();
                let Ok(data) = String::from_utf8(bytes.into()) else {
                    let cause = "an event is not valid UTF-8";
                    return self.ended(attempt, endpoint, Outcome::Unknown, cause);
                };
                Event::Chunk { attempt, chunk: Chunk::event(number, data) }
            }
            Item::Answer(response) => {
                self.count_begun();
                self.entry.report(endpoint, EndpointEvent::Answered);
                self.count_attempt(Outcome::Done);
                if self.relay.splice().opened() {
                    return Event::Answered { attempt };
                }
                self.reply.answer = Answer::Whole(response);
                Event::Ended { attempt, outcome: Outcome::Done }
            }
            Item::Failed(response) => {
                let cause = format!("the endpoint answered {}", response.status().as_u16());
                self.reply.fail(response);
                // It answers, so it is not lost.
                self.note_end(attempt, endpoint, Outcome::Unknown, &cause)
            }
            Item::Ended { outcome, cause, replaced } => {
                if replaced {
                    self.entry.report(endpoint, EndpointEvent::Removed);
                }
                self.ended(attempt, endpoint, outcome, &cause)
            }
        }
    }

    fn ended(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        outcome: Outcome,
        cause: &str,
    ) -> Event {
        match outcome {
            Outcome::Done => self.entry.report(endpoint, EndpointEvent::Answered),
            Outcome::Refused => {
                self.entry.pool.borrow_mut().refused(Instant::now(), endpoint);
            }
            Outcome::NotSent | Outcome::Unknown => {
                self.entry.report(endpoint, EndpointEvent::Failed);
            }
        }
        self.note_end(attempt, endpoint, outcome, cause)
    }

    /// Counts and logs the end of an attempt.
    fn note_end(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        outcome: Outcome,
        cause: &str,
    ) -> Event {
        if outcome == Outcome::Unknown {
            self.count_begun();
        }
        if outcome != Outcome::Done {
            Line::new("attempt_ended")
                .with("request", &self.request.id)
                .with("attempt", attempt)
                .with("replica", &self.entry.pool.borrow().get(endpoint).spec.name)
                .with("outcome", outcome.name())
                .with("events", self.relay.splice().sent())
                .with("after_ms", self.received.elapsed().as_millis())
                .with("cause", cause)
                .info();
        }
        self.count_attempt(outcome);
        Event::Ended { attempt, outcome }
    }

    fn count_attempt(&self, outcome: Outcome) {
        let labels = [self.request.service_name.as_str(), outcome.name()];
        self.entry.metrics.attempts.with_label_values(&labels).inc();
    }

    /// Counts the request once as one that an endpoint began to work on.
    fn count_begun(&mut self) {
        if !std::mem::replace(&mut self.began, true) {
            self.entry.count_begun(&self.request.organisation);
        }
    }

    /// One attempt, which owns all that it needs.
    fn start(&self, endpoint: EndpointId, how: Start) -> impl Stream<Item = Item> + use<E> {
        let after = match how {
            Start::Fresh => None,
            Start::Resume { after } | Start::Continue { after } => Some(after),
        };
        let mut occupancy = self.entry.occupy(endpoint, 1, self.request.work.as_ref());
        if let Some(work) = &self.request.work {
            occupancy.watch(&self.request.service_name, work.prompt_tokens.into());
        }
        let sending = Attempt {
            occupancy,
            entry: Rc::clone(&self.entry),
            protocol: Rc::clone(&self.protocol),
            request: Rc::clone(&self.request),
            limits: self.limits,
            endpoint,
            after,
        };
        unfold(Stage::Sending(Box::new(sending)), |stage| async move {
            match stage {
                // Boxed, so that its memory is free while the answer is read.
                Stage::Sending(sending) => Some(Box::pin(sending.send()).await),
                Stage::Reading(reading) => Some(next_event(reading).await),
                Stage::Over => None,
            }
        })
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Choose => {
                let request = &self.request;
                let tried = self.relay.tried();
                let work = request.work.as_ref();
                let event =
                    self.entry.choose(request.service as usize, tried, request.prefix, work);
                if matches!(event, Event::Unavailable { .. }) {
                    log::debug!("event=no_endpoint request={} {event:?}", request.id);
                }
                self.events.push(event);
            }
            Action::Wake { at } => self.events.wake_at(at),
            Action::Emit { chunk } => {
                let limit = self.entry.settings.limits.stream_bytes;
                if self.relay.splice().sent() <= 1 {
                    let taken = self.received.elapsed().as_secs_f64();
                    self.entry.metrics.first_token.observe(taken);
                }
                self.reply.push(limit, chunk.data.as_bytes());
            }
            Action::Fail { failure } => self.failure = Some(failure),
            // Dealt with at the end or by the loop, or not used by this form of answer.
            Action::Complete
            | Action::Transfer { .. }
            | Action::Release { .. }
            | Action::Detach { .. }
            | Action::Cancel { .. }
            | Action::Start { .. } => {}
        }
    }

    fn finish(mut self) {
        let end = match (self.failure, self.relay.state()) {
            (Some(failure), _) => failure.kind.code(),
            (None, state) => state.name(),
        };
        self.entry.metrics.requests.with_label_values(&[&self.request.service_name, end]).inc();
        match (self.failure, std::mem::replace(&mut self.reply.answer, Answer::Nothing)) {
            // What an endpoint said of its failure goes before what this box can say.
            (_, Answer::Failed(response)) | (None, Answer::Whole(response)) => {
                self.reply.send(Ok(response));
            }
            (None, Answer::Events(outbox)) => outbox.finish(),
            // A stream that ended without an event.
            (None, Answer::Head(head)) => {
                let body = CallerBody::full(bytes::Bytes::new());
                self.reply.send(Ok(Response::from_parts(head, body)));
            }
            (None, Answer::Nothing) => {
                let failure = Failure { kind: FailureKind::OutcomeUnknown, run: RunState::Unknown };
                self.reply.send(Err(ApiError::failed(failure)));
            }
            // An answer that has begun is cut off, since its outbox is dropped unfinished.
            (Some(failure), _) => {
                self.events.log_failure(&self.request.id, failure, self.relay.moves().attempts);
                self.reply.send(Err(ApiError::failed(failure)));
            }
        }
    }
}

/// What one attempt needs.
struct Attempt<E> {
    entry: Rc<Entry>,
    protocol: Rc<E>,
    request: Rc<CallRequest>,
    limits: CallLimits,
    endpoint: EndpointId,
    occupancy: Occupancy,
    after: Option<u32>,
}

enum Stage<E> {
    Sending(Box<Attempt<E>>),
    Reading(Box<Reading>),
    Over,
}

/// An event stream that is being read.
struct Reading {
    entry: Rc<Entry>,
    addr: std::net::SocketAddr,
    body: LinkBody,
    attempt: vaneway_relay::Attempt,
    cutter: EventCutter,
    limits: CallLimits,
    occupancy: Occupancy,
}

impl<E: EndpointProtocol> Attempt<E> {
    async fn send(self: Box<Self>) -> (Item, Stage<E>) {
        let Self { entry, protocol, request, limits, endpoint, occupancy, after } = *self;
        let spec = entry.pool.borrow().get(endpoint).spec.clone();
        let left = limits.deadline.saturating_duration_since(Instant::now());
        let req = protocol.request(&request, Sending { to: &spec, left, after });
        let head_by = Instant::now() + limits.head_within;
        let fresh = entry.settings.routing.fresh_for_at_most_once && !request.repeatable;
        let sent = entry.connections.send(&entry.timers, spec.address, req, fresh, head_by);
        let sent = unless_silent(&entry, endpoint, request.repeatable, sent).await;
        let Answered { response, attempt } = match sent {
            Some(Ok(answered)) => answered,
            Some(Err(SendError { outcome, cause })) => {
                return (Item::ended(outcome, cause), Stage::Over);
            }
            None => {
                let cause = "other answers of the endpoint or its zone have stopped arriving";
                return (Item::ended(Outcome::Unknown, cause), Stage::Over);
            }
        };
        let (head, body) = response.into_parts();
        let item = match protocol.judge(&request, &head) {
            Verdict::Answer => {
                let streamed = matches!(request.form, AnswerForm::Events { .. });
                if streamed && head.status.is_success() {
                    let reading = Reading {
                        addr: spec.address,
                        cutter: EventCutter::default(),
                        limits,
                        occupancy,
                        entry,
                        body,
                        attempt,
                    };
                    return (Item::Head(head), Stage::Reading(Box::new(reading)));
                }
                let response = Response::from_parts(head, body);
                let failed = response.status().is_server_error() && request.repeatable;
                let answered = Answered { response, attempt };
                match read_answer(entry, &*protocol, spec.address, answered).await {
                    Item::Answer(response) if failed => Item::Failed(response),
                    item => item,
                }
            }
            Verdict::Refused => {
                entry.connections.put_refused(&entry.timers, spec.address, body).await;
                Item::ended(Outcome::Refused, "the endpoint did not run it")
            }
            Verdict::Replaced => Item::Ended {
                outcome: Outcome::Refused,
                cause: "another endpoint has the address".to_owned(),
                replaced: true,
            },
            Verdict::Foreign => {
                Item::ended(Outcome::Unknown, "the answer belongs to another request")
            }
        };
        (item, Stage::Over)
    }
}

/// Waits for `work`, the beginning of an answer; none if meanwhile its endpoint seems to be out of
/// reach and the request may be sent to another one.
async fn unless_silent<T>(
    entry: &Entry,
    endpoint: EndpointId,
    repeatable: bool,
    work: impl Future<Output = T>,
) -> Option<T> {
    if !repeatable {
        return Some(work.await);
    }
    let mut work = pin!(work);
    let mut look_at = Instant::now() + SILENT_AFTER;
    loop {
        if let Some(done) = entry.timers.until(look_at, work.as_mut()).await {
            return Some(done);
        }
        let now = Instant::now();
        if entry.pool.borrow().is_silent(now, endpoint) {
            return None;
        }
        look_at = now + SILENCE_LOOK_EVERY;
    }
}

async fn next_event<E>(mut reading: Box<Reading>) -> (Item, Stage<E>) {
    let broken = loop {
        if let Some(event) = reading.cutter.next_event() {
            reading.occupancy.heard();
            return (Item::Event(event), Stage::Reading(reading));
        }
        let limits = &reading.limits;
        let within =
            if reading.occupancy.is_arriving() { limits.pause_within } else { limits.head_within };
        let until = Instant::now() + within;
        let timers = reading.entry.timers.clone();
        match timers.until(until, reading.body.data()).await {
            Some(Some(Ok(data))) => reading.cutter.push(&data),
            Some(None) => return end_of_stream(reading),
            Some(Some(Err(error))) => break error.to_string(),
            None => break "the endpoint was silent for too long".to_owned(),
        }
    };
    let outcome = reading.attempt.handle(AttemptEvent::Broken).unwrap_or(Outcome::Unknown);
    (Item::ended(outcome, broken), Stage::Over)
}

fn end_of_stream<E>(mut reading: Box<Reading>) -> (Item, Stage<E>) {
    let rest = std::mem::take(&mut reading.cutter).rest();
    if !rest.is_empty() {
        let event = RawEvent { number: None, bytes: rest };
        return (Item::Event(event), Stage::Reading(reading));
    }
    let Reading { entry, addr, body, mut attempt, mut occupancy, .. } = *reading;
    occupancy.ended();
    let outcome = attempt.handle(AttemptEvent::End).unwrap_or(Outcome::Done);
    entry.connections.put(addr, body);
    (Item::ended(outcome, ""), Stage::Over)
}

/// Reads an answer whole, or up to the limit and passes the rest on as it comes.
async fn read_answer<E: EndpointProtocol>(
    entry: Rc<Entry>,
    protocol: &E,
    addr: std::net::SocketAddr,
    answered: Answered,
) -> Item {
    let Answered { response, mut attempt } = answered;
    let (mut head, mut body) = response.into_parts();
    let mut held = BytesMut::new();
    match body.read_into(&mut held, entry.settings.limits.answer_bytes).await {
        Ok(whole) => {
            protocol.pass_headers(&mut head.headers);
            let body = if whole {
                entry.connections.put(addr, body);
                CallerBody::full(held.freeze())
            } else {
                pass_on(entry, addr, &held, body)
            };
            Item::Answer(Response::from_parts(head, body))
        }
        Err(error) => {
            let outcome = attempt.handle(AttemptEvent::Broken).unwrap_or(Outcome::Unknown);
            Item::ended(outcome, error.to_string())
        }
    }
}

/// Passes the rest of a long answer on as the caller takes it.
fn pass_on(
    entry: Rc<Entry>,
    addr: std::net::SocketAddr,
    held: &[u8],
    mut body: LinkBody,
) -> CallerBody {
    let (tx, rx) = outbox(entry.settings.limits.stream_bytes);
    tx.push(held);
    compio::runtime::spawn(async move {
        if feed(&entry, &tx, &mut body).await {
            tx.finish();
            entry.connections.put(addr, body);
        }
    })
    .detach();
    CallerBody::Fed(rx)
}

/// Moves a body into an outbox; true if all of it arrived.
async fn feed(entry: &Entry, tx: &Outbox, body: &mut LinkBody) -> bool {
    loop {
        let until = Instant::now() + entry.settings.limits.caller_stall;
        let room = poll_fn(|cx| match tx.poll_gone(cx) {
            Poll::Ready(()) => Poll::Ready(false),
            Poll::Pending => tx.poll_room(cx).map(|()| true),
        });
        if entry.timers.until(until, room).await != Some(true) {
            return false;
        }
        match entry.timers.until(until, body.data()).await {
            Some(Some(Ok(data))) => tx.push(&data),
            Some(None) => return true,
            Some(Some(Err(_))) | None => return false,
        }
    }
}

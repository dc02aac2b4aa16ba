//! One forwarded call: sends method, path, headers and body to an endpoint and returns its
//! response, in one piece or as a stream of events.
//!
//! A response in one piece is buffered until it is complete, up to a limit, so that a repeatable
//! call survives an endpoint that crashes in the middle of its response. A longer response is
//! forwarded as it arrives; if it is interrupted, the caller gets a truncated body. Of an event
//! stream each complete event is forwarded at once, so that another endpoint can continue after it.
//!
//! Data flow: [`call`] starts a task that drives a [`Relay`]: it waits for the next event
//! (`Call::poll_event`), lets the relay decide, and carries out its actions. The caller's
//! connection is watched all the time; when it is closed, the attempt's connection is closed.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use futures_channel::oneshot;
use futures_util::FutureExt as _;
use futures_util::Stream;
use futures_util::StreamExt as _;
use hyper::HeaderMap;
use hyper::Response;
use vaneway_chart::ChartName as _;
use vaneway_origins::ORIGIN_RETENTION;
use vaneway_origins::Origin;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::Progress;
use vaneway_registry::SoftwareVersion;
use vaneway_registry::StartMillis;
use vaneway_relay::Action;
use vaneway_relay::AttemptId;
use vaneway_relay::Chunk;
use vaneway_relay::Event;
use vaneway_relay::Failure;
use vaneway_relay::FailureKind;
use vaneway_relay::Outcome;
use vaneway_relay::Plan;
use vaneway_relay::Relay;
use vaneway_relay::RequestState;
use vaneway_relay::RetryBudget;
use vaneway_relay::RunState;
use vaneway_relay::Start;
use vaneway_relay::request_chart;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::Query;
use vaneway_route::QueueLimit;
use vaneway_route::UNRESPONSIVE_THRESHOLD;

use crate::core::callers::api_error::ApiError;
use crate::core::calls::attempt::CallAttempt;
use crate::core::calls::attempt::CallItem;
use crate::core::calls::attempt::EndpointObservation;
use crate::core::calls::call_events::CallEvents;
use crate::core::calls::call_limits::CallLimits;
use crate::core::calls::events::RawEvent;
use crate::core::calls::reply::PendingResponse;
use crate::core::calls::reply::ResponseSender;
use crate::core::competition;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::protocol::EndpointProtocol;
use crate::core::entry::Entry;
use crate::core::neighbours;
use crate::core::neighbours::wire;
use crate::core::prompt_parts;
use crate::core::prompt_parts::MIN_RESPONSE_TIME;
use crate::core::quarantine;
use crate::core::quarantine::Placement;
use crate::core::queue_limit;
use crate::core::stream_origins::REPORT_TIMEOUT;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::logline::Line;
use crate::util::timers::Sleep;

/// Sends a call to an endpoint of its service and returns the response once its head is known.
///
/// # Errors
///
/// The error to return to the caller.
pub async fn call<E: EndpointProtocol>(
    entry: Rc<Entry>,
    protocol: Rc<E>,
    request: CallRequest,
    limits: CallLimits,
) -> Result<Response<ResponseBody>, ApiError> {
    let open = entry.open.insert(&request.organisation, &request.service_name);
    let plan = Plan {
        repeatable: request.repeatable,
        form: request.form,
        wants_usage: false,
        max_attempts: limits.max_attempts,
        deadline: limits.deadline,
        wait_policy: limits.wait_policy,
        prompt_tokens: 0,
        max_tokens: 0,
        seed: entry.request_seed(open.request().number),
    };
    let (tx, rx) = oneshot::channel();
    if let Some(work) = request.work.as_ref().filter(|_| !request.is_forwarded) {
        entry.inflow.count(&request, work, &limits);
    }
    // The box that accepted a forwarded call has its budget.
    let own_budget = request.is_forwarded.then(|| RetryBudget::new(0, 0));
    let request = Rc::new(request);
    open.request().set_call(Rc::clone(&request));
    let call = Call {
        events: CallEvents::new(open, &entry.timers, plan.deadline),
        relay: Relay::new(plan),
        reply: ResponseSender { tx: Some(tx), pending: PendingResponse::Empty },
        own_budget,
        failure: None,
        stall_timer: None,
        started: false,
        succeeded: false,
        born: 0,
        without_version: Vec::new(),
        crashes: Vec::new(),
        responding_since: None,
        survival_recorded: false,
        responding_software: SoftwareVersion::new(),
        software: request.software.clone(),
        origin_recorded_at: None,
        received_at: clock::now(),
        request,
        entry,
        protocol,
        limits,
    };
    compio::runtime::spawn(drive(call)).detach();
    rx.await.unwrap_or_else(|oneshot::Canceled| Err(task_ended_early()))
}

fn task_ended_early() -> ApiError {
    log::error!("event=request_task_ended_early");
    let mut error = ApiError::temporarily_refused("internal", "the request's task ended early");
    error.run = RunState::Unknown;
    error
}

struct Call<E> {
    entry: Rc<Entry>,
    protocol: Rc<E>,
    request: Rc<CallRequest>,
    limits: CallLimits,
    events: CallEvents,
    relay: Relay,
    reply: ResponseSender,
    /// The budget to use instead of the service's.
    own_budget: Option<RetryBudget>,
    failure: Option<Failure>,
    /// Runs while the caller reads nothing.
    stall_timer: Option<Sleep>,
    /// Whether an endpoint may have begun to run it.
    started: bool,
    /// Whether the response that is forwarded reports success.
    succeeded: bool,
    /// Start time of the incarnation that the attempt runs at, as known when the attempt began.
    born: StartMillis,
    /// Neighbours that have no endpoint left of the software version that began the stream.
    without_version: Vec<EndpointId>,
    /// Endpoints that crashed while running it.
    crashes: Vec<(Incarnation, Progress)>,
    /// When the first event of the attempt arrived.
    responding_since: Option<Instant>,
    /// Whether it is recorded that an endpoint survives the prompt.
    survival_recorded: bool,
    /// Software version of the endpoint whose response has begun.
    responding_software: SoftwareVersion,
    /// The software version that began the stream, once an event of it was sent.
    software: Option<SoftwareVersion>,
    /// When it was last recorded where the stream began.
    origin_recorded_at: Option<Instant>,
    received_at: Instant,
}

/// The running attempt.
struct Running<S> {
    attempt: AttemptId,
    endpoint: EndpointId,
    started_at: Instant,
    items: Pin<Box<S>>,
}

async fn drive<E: EndpointProtocol>(mut call: Call<E>) {
    let mut running = None;
    let mut actions = Vec::new();
    while !request_chart().is_final(call.relay.state()) {
        let event = poll_fn(|cx| call.poll_event(cx, &mut running)).await;
        if let Some(running) = &running {
            call.note_silence(&event, running);
        }
        call.decide(event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Start { attempt, endpoint, how } => {
                    call.born = quarantine::born(&call.entry, endpoint);
                    call.responding_since = None;
                    let items = Box::pin(call.start(endpoint, how));
                    let started_at = clock::now();
                    running = Some(Running { attempt, endpoint, started_at, items });
                }
                Action::Detach { .. } | Action::Cancel { .. } => running = None,
                action => {
                    if matches!(action, Action::Emit { .. }) {
                        call.report_origin().await;
                    }
                    call.perform(action);
                }
            }
        }
        call.events.open.request().record_state(&call.relay);
    }
    drop(running);
    call.finish();
}

impl<E: EndpointProtocol> Call<E> {
    fn decide(&mut self, event: Event, actions: &mut Vec<Action>) {
        let mut budgets = self.entry.budgets.borrow_mut();
        let budget = match &mut self.own_budget {
            Some(budget) => budget,
            None => &mut budgets[self.request.service as usize],
        };
        self.relay.handle(clock::now(), event, budget, actions);
    }

    fn poll_event<S: Stream<Item = CallItem>>(
        &mut self,
        cx: &mut Context<'_>,
        running: &mut Option<Running<S>>,
    ) -> Poll<Event> {
        if let Poll::Ready(event) = self.events.poll_next(cx) {
            return Poll::Ready(event);
        }
        if self.reply.poll_closed(cx).is_ready() || self.poll_caller_stalled(cx).is_ready() {
            return Poll::Ready(Event::CallerGone);
        }
        let Some(current) = running else { return Poll::Pending };
        if self.reply.poll_capacity(cx).is_pending() {
            return Poll::Pending;
        }
        let item = std::task::ready!(current.items.poll_next_unpin(cx));
        let item =
            item.unwrap_or_else(|| CallItem::ended(Outcome::Unknown, "the attempt ended early"));
        let (attempt, endpoint) = (current.attempt, current.endpoint);
        if !matches!(item, CallItem::Head(_) | CallItem::Event(_)) {
            *running = None;
        }
        Poll::Ready(self.event_for(attempt, endpoint, item))
    }

    /// Records a request that ends while its endpoint has not responded for long: the deadlines of
    /// some requests are shorter than the time after which a silent connection breaks.
    fn note_silence<S>(&self, event: &Event, running: &Running<S>) {
        let gave_up = matches!(event, Event::Expired | Event::CallerGone);
        let is_long = clock::elapsed(running.started_at) >= UNRESPONSIVE_THRESHOLD;
        if gave_up && is_long && self.relay.has_no_response() {
            self.entry.record_path_failure(running.endpoint);
        }
    }

    /// Ready once the caller has not read from its response for too long.
    fn poll_caller_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.reply.poll_capacity(cx).is_ready() {
            self.stall_timer = None;
            return Poll::Pending;
        }
        let limit = self.entry.settings.limits.caller_stall_timeout;
        let stall_timer = self.stall_timer.get_or_insert_with(|| self.entry.timers.sleep(limit));
        stall_timer.poll_unpin(cx)
    }

    fn event_for(&mut self, attempt: AttemptId, endpoint: EndpointId, item: CallItem) -> Event {
        match item {
            CallItem::Head(mut head) => {
                self.entry.record_path_response(endpoint);
                self.responding_software = self.software_of(endpoint, &mut head.headers);
                self.protocol.prepare_headers(&mut head.headers);
                if self.request.is_forwarded {
                    wire::add_software(&mut head.headers, &self.responding_software);
                }
                self.succeeded = head.status.is_success();
                self.reply.set_head(head);
                Event::Head { attempt }
            }
            CallItem::Event(RawEvent { number, bytes }) => {
                self.count_started();
                self.note_event();
                let Ok(data) = String::from_utf8(bytes.into()) else {
                    let cause = "an event is not valid UTF-8";
                    return self.ended(attempt, endpoint, Outcome::Unknown, cause);
                };
                Event::Chunk { attempt, chunk: Chunk::event(number, data) }
            }
            CallItem::Response(response) => {
                self.count_started();
                // A long response is still arriving; what its end shows is recorded then.
                let is_whole = matches!(response.body(), ResponseBody::Full(_));
                self.succeeded = is_whole && response.status().is_success();
                self.entry.apply_event(endpoint, EndpointEvent::Answered);
                self.count_attempt(Outcome::Done);
                if self.relay.splice().has_sent() {
                    return Event::Answered { attempt };
                }
                self.reply.pending = PendingResponse::Complete(response);
                Event::Ended { attempt, outcome: Outcome::Done }
            }
            CallItem::Failed(response) => {
                let cause = format!("the endpoint answered {}", response.status().as_u16());
                self.reply.set_failed(response);
                // It responds, so it isn't reported as failed.
                self.record_end(attempt, endpoint, Outcome::Unknown, &cause)
            }
            CallItem::Condemned => Event::Condemned,
            // The neighbour responds and reaches endpoints, so it isn't reported as failed.
            CallItem::NoEndpoint => {
                let cause = "no endpoint accepts requests of the neighbour";
                self.record_end(attempt, endpoint, Outcome::NotSent, cause)
            }
            CallItem::NoneLeft => {
                self.without_version.push(endpoint);
                let cause = "the neighbour has no endpoint left of the software version";
                self.record_end(attempt, endpoint, Outcome::NotSent, cause)
            }
            CallItem::Ended { outcome, cause, observation } => {
                let event = self.ended(attempt, endpoint, outcome, &cause);
                match observation {
                    EndpointObservation::Nothing => event,
                    // No other box has been asked yet.
                    EndpointObservation::Down => {
                        quarantine::confirm_exit(&self.entry, endpoint, self.incarnation(endpoint));
                        event
                    }
                    EndpointObservation::Replaced => {
                        quarantine::record_exit(&self.entry, endpoint, &self.incarnation(endpoint));
                        self.entry.apply_event(endpoint, EndpointEvent::Removed);
                        event
                    }
                    EndpointObservation::Crashed(progress) => {
                        quarantine::record_exit(&self.entry, endpoint, &self.incarnation(endpoint));
                        if self.record_crash(endpoint, progress) { Event::Condemned } else { event }
                    }
                }
            }
        }
    }

    /// Records which software version began the stream, and waits until that is reported before the
    /// caller has its first event: it may take the stream up at another box as soon as it has one.
    async fn report_origin(&mut self) {
        let is_first = self.origin_recorded_at.is_none();
        self.record_origin();
        if is_first && self.origin_recorded_at.is_some() {
            let until = clock::now() + REPORT_TIMEOUT;
            // Late reports leave the stream unknown if this box is lost before.
            let _in_time = self.entry.timers.timeout_at(until, self.entry.origins.reported()).await;
        }
    }

    /// Records which software version began the stream, and again while it goes on, so that it isn't
    /// forgotten.
    fn record_origin(&mut self) {
        let software = self.software.get_or_insert_with(|| self.responding_software.clone());
        let Some(stream) = self.request.stream else { return };
        if self.origin_recorded_at.is_some_and(|at| clock::elapsed(at) < ORIGIN_RETENTION / 2) {
            return;
        }
        self.origin_recorded_at = Some(clock::now());
        let service = self.request.service_name.clone();
        let origin = Origin { service, software: software.clone() };
        if let Some(endpoint) = self.relay.endpoint() {
            self.entry.origins.record(stream, endpoint, &origin);
        }
    }

    /// Software version of the endpoint whose response begins with `headers`, which a neighbour
    /// states for the endpoint that it chose.
    fn software_of(&self, endpoint: EndpointId, headers: &mut HeaderMap) -> SoftwareVersion {
        let pool = self.entry.pool.borrow();
        let spec = &pool.get(endpoint).spec;
        if spec.is_neighbour() {
            return wire::take_software(headers).unwrap_or_default();
        }
        spec.software.clone()
    }

    /// The incarnation of the endpoint that the attempt runs at.
    fn incarnation(&self, endpoint: EndpointId) -> Incarnation {
        Incarnation::new(&self.entry.pool.borrow().get(endpoint).spec.name, self.born)
    }

    /// Records that the endpoint crashed while running the request. Returns whether the request is
    /// condemned, so that it may not run anywhere else.
    fn record_crash(&mut self, endpoint: EndpointId, progress: Progress) -> bool {
        let incarnation = self.incarnation(endpoint);
        if !self.survives_prompt() {
            prompt_parts::record_crash(&self.entry, &self.request, &incarnation);
        }
        self.crashes.push((incarnation, progress));
        quarantine::record_crash(&self.entry, &self.request, &self.crashes);
        quarantine::placement(&self.entry, &self.request, true) == Placement::Forbidden
    }

    /// Whether the endpoint has been responding for long enough to show that it survives the prompt.
    fn survives_prompt(&self) -> bool {
        self.responding_since.is_some_and(|since| clock::elapsed(since) >= MIN_RESPONSE_TIME)
    }

    fn note_event(&mut self) {
        self.responding_since.get_or_insert_with(clock::now);
        if self.survives_prompt() {
            self.record_survival();
        }
    }

    /// Records, once, that an endpoint survives the prompt.
    fn record_survival(&mut self) {
        if !std::mem::replace(&mut self.survival_recorded, true) {
            prompt_parts::record_answer(&self.entry, &self.request);
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
            Outcome::Done => self.entry.apply_event(endpoint, EndpointEvent::Answered),
            Outcome::Refused => {
                self.entry.pool.borrow_mut().record_refusal(clock::now(), endpoint);
            }
            Outcome::NotSent | Outcome::Unknown => {
                self.entry.apply_event(endpoint, EndpointEvent::Failed);
            }
        }
        self.record_end(attempt, endpoint, outcome, cause)
    }

    /// Counts and logs the end of an attempt.
    fn record_end(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        outcome: Outcome,
        cause: &str,
    ) -> Event {
        if outcome == Outcome::Unknown {
            self.count_started();
        }
        if outcome != Outcome::Done {
            Line::new("attempt_ended")
                .with("request", &self.request.id)
                .with("attempt", attempt)
                .with("replica", &self.entry.pool.borrow().get(endpoint).spec.name)
                .with("outcome", outcome.name())
                .with("events", self.relay.splice().sent_tokens())
                .with("after_ms", clock::elapsed(self.received_at).as_millis())
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

    /// Counts the request, once, as one that an endpoint began to run.
    fn count_started(&mut self) {
        if !std::mem::replace(&mut self.started, true) && !self.request.is_forwarded {
            self.entry.count_started(&self.request.organisation);
        }
    }

    /// Creates an attempt, which owns everything that it needs.
    fn start(&self, endpoint: EndpointId, how: Start) -> impl Stream<Item = CallItem> + use<E> {
        let after = match how {
            Start::Fresh => self.request.resume_after,
            Start::Resume { after } | Start::Continue { after } => Some(after),
        };
        let is_neighbour = self.entry.pool.borrow().get(endpoint).is_neighbour();
        // A neighbour accounts for the work at the endpoint that it chooses.
        let work = self.request.work.as_ref().filter(|_| !is_neighbour);
        let mut occupancy = self.entry.begin_attempt(endpoint, 1, work);
        if let Some(work) = work {
            occupancy.track_run(&self.request.service_name, work.prompt_tokens.into());
        }
        let attempt = CallAttempt {
            occupancy,
            entry: Rc::clone(&self.entry),
            protocol: Rc::clone(&self.protocol),
            request: Rc::clone(&self.request),
            limits: self.limits,
            endpoint,
            after,
            software: self.software.clone(),
        };
        attempt.items()
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Choose => {
                let request = &self.request;
                let event = self.choose();
                if matches!(event, Event::Unavailable { .. }) {
                    log::debug!("event=no_endpoint request={} {event:?}", request.id);
                }
                self.events.push(event);
            }
            Action::Wake { at } => self.events.wake_at(at),
            Action::Emit { chunk } => {
                let queue = &self.entry.connections.bounds().queue;
                if self.relay.splice().sent_tokens() <= 1 {
                    let taken = clock::elapsed(self.received_at).as_secs_f64();
                    self.entry.metrics.first_token.observe(taken);
                }
                self.reply.push_event(queue, chunk.data.as_bytes());
            }
            Action::Fail { failure } => self.failure = Some(failure),
            // Handled in `finish` or in the loop, or not used for this form of response.
            Action::Complete
            | Action::Transfer { .. }
            | Action::Release { .. }
            | Action::Detach { .. }
            | Action::Cancel { .. }
            | Action::Start { .. } => {}
        }
    }

    fn choose(&self) -> Event {
        let request = &self.request;
        let isolation_hash =
            match quarantine::placement(&self.entry, request, !self.crashes.is_empty()) {
                Placement::Forbidden => return Event::Condemned,
                Placement::Isolated(fingerprint) => Some(fingerprint),
                Placement::Anywhere => None,
            };
        if request.stream.is_some_and(|stream| self.entry.origins.is_uncertain(stream)) {
            return Event::NoneLeft;
        }
        let event = neighbours::choose(&self.entry, request, &self.relay, &self.without_version);
        if let Some(event) = event {
            return event;
        }
        let query = Query {
            service: request.service,
            avoid: self.relay.tried(),
            prefix: request.prefix,
            work: request.work.as_ref(),
            software: self.software.as_deref(),
            isolation_hash,
            queue_limit: self.queue_limit(),
            ..Query::default()
        };
        competition::choose(&self.entry, request, query)
    }

    /// The bound on an endpoint's queue that lets the first event arrive in time. It applies only
    /// until the request is sent to an endpoint: one that has begun is continued in any case, also
    /// if another box began it.
    fn queue_limit(&self) -> Option<QueueLimit> {
        let request = &self.request;
        if request.work.is_none() || self.software.is_some() || !self.relay.tried().is_empty() {
            return None;
        }
        queue_limit::queue_limit(&self.entry, request, self.limits.wait_policy)
    }

    fn finish(mut self) {
        let end = match (self.failure, self.relay.state()) {
            (Some(failure), _) => failure.kind.code(),
            (None, state) => state.name(),
        };
        if !self.request.is_forwarded {
            let labels = [self.request.service_name.as_str(), end];
            self.entry.metrics.requests.with_label_values(&labels).inc();
        }
        // An error may be returned before the endpoint runs the request, so it doesn't show that
        // the endpoint survives the run.
        if self.relay.state() == RequestState::Complete && self.succeeded {
            quarantine::clear_request(&self.entry, &self.request);
            self.record_survival();
        }
        let is_condemned = self.failure.is_some_and(|f| f.kind == FailureKind::CrashesEndpoints);
        let pending = match std::mem::replace(&mut self.reply.pending, PendingResponse::Empty) {
            // The error of a condemned request takes precedence over an endpoint's own error
            // response.
            PendingResponse::Failed(_) if is_condemned => PendingResponse::Empty,
            pending => pending,
        };
        match (self.failure, pending) {
            // Otherwise an endpoint's own error response takes precedence over that of this box.
            (_, PendingResponse::Failed(response))
            | (None, PendingResponse::Complete(response)) => {
                self.reply.send(Ok(response));
            }
            (None, PendingResponse::Streaming(outbox)) => outbox.finish(),
            // The stream ended without an event.
            (None, PendingResponse::Head(head)) => {
                let body = ResponseBody::full(bytes::Bytes::new());
                self.reply.send(Ok(Response::from_parts(head, body)));
            }
            (None, PendingResponse::Empty) => {
                let failure = Failure { kind: FailureKind::OutcomeUnknown, run: RunState::Unknown };
                self.reply.send(Err(ApiError::failed(failure)));
            }
            // A response that has begun is truncated, since its outbox is dropped unfinished.
            (Some(failure), _) => {
                self.events.log_failure(&self.request.id, failure, self.relay.counts().attempts);
                self.log_not_resumed(failure);
                let error = self.error_for(failure);
                self.reply.send(Err(error));
            }
        }
    }

    /// Logs which endpoints of the required software version this box knew when a stream that a
    /// caller takes up has failed.
    fn log_not_resumed(&self, failure: Failure) {
        let Some(software) = self.request.software.as_deref() else { return };
        let query =
            Query { service: self.request.service, software: Some(software), ..Query::default() };
        let counts = self.entry.count_fitting(query);
        Line::new("stream_not_resumed")
            .with("request", &self.request.id)
            .with("code", failure.kind.code())
            .with("software", software)
            .with("events", self.relay.splice().sent_tokens())
            .with("cut_off", self.entry.paths.is_cut_off(self.request.service))
            .with("known", counts.known)
            .with("staying", counts.staying)
            .with("exited", counts.exited)
            .with("available", counts.available)
            .with("within_limit", counts.within_limit)
            .with("with_room", counts.with_room)
            .info();
    }

    /// The error for the caller. While all endpoints have requested back-off, a retry before the
    /// first back-off ends is useless.
    fn error_for(&self, failure: Failure) -> ApiError {
        let mut error = ApiError::failed(failure);
        if failure.kind == FailureKind::NoEndpoint {
            let over = self.entry.pool.borrow().backoff_until(self.request.service);
            let left = over.map(|over| over.saturating_duration_since(clock::now()));
            error.retry_after = error.retry_after.map(|after| after.max(left.unwrap_or_default()));
        }
        error
    }
}

//! One request to a model: from its admission to the last byte of its response.
//!
//! Overview: [`call`] starts a task that drives a [`Relay`] and returns the response once its status
//! is known. The task loops over three steps: wait for the next event (`Driver::poll_event`), let
//! the relay decide, carry out its actions (`Driver::perform`). The caller's connection is watched
//! all the time: while the caller reads too slowly, nothing is read from the engine; when it
//! disconnects, the attempt is cancelled at the engine.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::Stream;
use futures_util::StreamExt as _;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde_json::json;
use vaneway_limit::NumberError;
use vaneway_limit::Rate;
use vaneway_registry::SoftwareVersion;
use vaneway_relay::Action;
use vaneway_relay::AnswerForm;
use vaneway_relay::AttemptId;
use vaneway_relay::Chunk;
use vaneway_relay::Event;
use vaneway_relay::Failure;
use vaneway_relay::Outcome;
use vaneway_relay::Plan;
use vaneway_relay::Relay;
use vaneway_relay::RequestState;
use vaneway_relay::Start;
use vaneway_relay::WaitPolicy;
use vaneway_relay::request_chart;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::Query;
use vaneway_route::ServiceId;

use crate::core::callers::answer::CallerResponse;
use crate::core::callers::api_error::ApiError;
use crate::core::calls::call_events::CallEvents;
use crate::core::calls::model_request::ModelRequest;
use crate::core::calls::open_requests::OpenRequest;
use crate::core::endpoints::protocol;
use crate::core::endpoints::protocol::LEAVING_HEADER;
use crate::core::endpoints::registered;
use crate::core::endpoints::upstream::AttemptItem;
use crate::core::endpoints::upstream::ConnectionPool;
use crate::core::endpoints::upstream::ModelAttempt;
use crate::core::endpoints::upstream::Reuse;
use crate::core::endpoints::upstream::model_attempt;
use crate::core::entry::Entry;
use crate::core::limits;
use crate::core::limits::LimitObservation;
use crate::core::occupancy::Occupancy;
use crate::core::retry_after;
use crate::core::retry_after::Refusal;
use crate::core::settings::Organisation;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::logline::Line;
use crate::util::timers::Sleep;

/// Maximum duration of a KV transfer; after it the state is recomputed instead.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an engine's response to a control request, in bytes.
const MAX_CONTROL_RESPONSE_BYTES: usize = 64 << 10;

/// Maximum wait for an engine to confirm that it freed a request's state.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a request and returns the response once its status is known.
pub async fn call(
    entry: Rc<Entry>,
    organisation: Organisation,
    request: ModelRequest,
    repeatable: bool,
) -> Response<ResponseBody> {
    let service = &entry.settings.services[request.service];
    let open = entry.open.insert(&organisation.name, &service.name);
    let number = open.request().number;
    let plan = Plan {
        repeatable,
        form: AnswerForm::TokenStream,
        wants_usage: request.wants_usage,
        max_attempts: service.max_attempts,
        deadline: clock::now() + service.deadline,
        wait_policy: WaitPolicy::AtMost(service.endpoint_wait_timeout),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        seed: entry.request_seed(number),
    };
    let (response, response_rx) = if request.stream {
        CallerResponse::stream(entry.connections.bounds().queue.clone())
    } else {
        CallerResponse::buffered(request.interface)
    };
    let driver = Driver {
        id: entry.request_id(number),
        events: CallEvents::new(open, &entry.timers, plan.deadline),
        relay: Relay::new(plan),
        stall_timer: None,
        failure: None,
        counted_tokens: 0,
        occupancy: None,
        software: None,
        error_response: None,
        response,
        request,
        entry,
    };
    compio::runtime::spawn(drive(driver)).detach();
    match response_rx.await {
        Ok(response) => response,
        Err(oneshot_closed) => {
            log::error!("event=request_task_ended_early error={oneshot_closed:?}");
            let message = "the request's task ended early";
            let mut error = ApiError::temporarily_refused("internal", message);
            error.run = vaneway_relay::RunState::Unknown;
            error.into_response()
        }
    }
}

struct Driver {
    entry: Rc<Entry>,
    events: CallEvents,
    id: String,
    request: ModelRequest,
    relay: Relay,
    response: CallerResponse,
    /// Runs while the caller reads nothing.
    stall_timer: Option<Sleep>,
    occupancy: Option<(EndpointId, Occupancy)>,
    /// The software version that began the stream, once a chunk of it was sent; none if its engine
    /// declares none.
    software: Option<SoftwareVersion>,
    error_response: Option<(StatusCode, Bytes)>,
    failure: Option<Failure>,
    /// Tokens that are counted in the metrics.
    counted_tokens: u32,
}

/// Gives an attempt access to the entry's connections.
struct SharedConnections(Rc<Entry>);

impl std::ops::Deref for SharedConnections {
    type Target = ConnectionPool;

    fn deref(&self) -> &ConnectionPool {
        &self.0.connections
    }
}

async fn drive(mut driver: Driver) {
    let mut attempt = None;
    let mut actions = Vec::new();
    while !request_chart().is_final(driver.relay.state()) {
        let next = poll_fn(|cx| driver.poll_event(cx, &mut attempt));
        let event = next.await;
        driver.decide(event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Start { attempt: id, endpoint, how } => {
                    let started = driver.start(id, endpoint, how);
                    attempt = Some((id, Box::pin(model_attempt(started))));
                }
                Action::Detach { .. } | Action::Cancel { .. } => {
                    attempt = None;
                    driver.perform(action);
                }
                action => driver.perform(action),
            }
        }
        driver.open().record_state(&driver.relay);
    }
    drop(attempt);
    driver.finish();
}

impl Driver {
    fn open(&self) -> &Rc<OpenRequest> {
        self.events.open.request()
    }

    fn decide(&mut self, event: Event, actions: &mut Vec<Action>) {
        let budget = &mut self.entry.budgets.borrow_mut()[self.request.service];
        self.relay.handle(clock::now(), event, budget, actions);
    }

    /// Polls all sources for the next event.
    fn poll_event<S: Stream<Item = AttemptItem>>(
        &mut self,
        cx: &mut Context<'_>,
        attempt: &mut Option<(AttemptId, Pin<Box<S>>)>,
    ) -> Poll<Event> {
        if let Poll::Ready(event) = self.events.poll_next(cx) {
            return Poll::Ready(event);
        }
        if self.response.poll_closed(cx).is_ready() || self.poll_caller_stalled(cx).is_ready() {
            return Poll::Ready(Event::CallerGone);
        }
        match attempt {
            Some((id, stream)) if self.response.poll_capacity(cx).is_ready() => {
                if let Some(item) = std::task::ready!(stream.poll_next_unpin(cx)) {
                    return Poll::Ready(self.event_for(*id, item));
                }
                *attempt = None;
                Poll::Pending
            }
            _ => Poll::Pending,
        }
    }

    /// Ready once the caller has read nothing for longer than the limit.
    fn poll_caller_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.response.poll_capacity(cx).is_ready() {
            self.stall_timer = None;
            return Poll::Pending;
        }
        let entry = &self.entry;
        let limit = entry.settings.limits.caller_stall_timeout;
        let stall_timer = self.stall_timer.get_or_insert_with(|| entry.timers.sleep(limit));
        stall_timer.poll_unpin(cx)
    }

    fn event_for(&mut self, attempt: AttemptId, item: AttemptItem) -> Event {
        match item {
            AttemptItem::Head { limit, leaving } => {
                self.report(EndpointEvent::Answered);
                self.record_limit(limit);
                if leaving {
                    self.record_leaving();
                }
                Event::Head { attempt }
            }
            AttemptItem::Data { id, data } => match Chunk::read(&id, data) {
                Ok(chunk) => Event::Chunk { attempt, chunk },
                Err(error) => self.attempt_ended(attempt, Outcome::Unknown, &error.to_string()),
            },
            AttemptItem::Rejected { status, body } => {
                self.error_response = Some((status, body));
                Event::Answered { attempt }
            }
            AttemptItem::Refused { status, headers, cause } => {
                self.record_back_off(status, &headers);
                if protocol::has_flag(&headers, &LEAVING_HEADER) {
                    self.record_leaving();
                }
                self.attempt_ended(attempt, Outcome::Refused, &cause)
            }
            AttemptItem::Overran { cause } => {
                self.attempt_ended(attempt, Outcome::Unknown, &cause);
                Event::Overran { attempt }
            }
            AttemptItem::Ended { outcome, cause } => self.attempt_ended(attempt, outcome, &cause),
        }
    }

    fn attempt_ended(&mut self, attempt: AttemptId, outcome: Outcome, cause: &str) -> Event {
        let service = &self.open().service;
        self.entry.metrics.attempts.with_label_values(&[service, outcome.name()]).inc();
        if outcome != Outcome::Done {
            self.log_attempt(attempt, outcome, cause);
        }
        if matches!(outcome, Outcome::NotSent | Outcome::Unknown) {
            self.report(EndpointEvent::Failed);
        }
        Event::Ended { attempt, outcome }
    }

    fn log_attempt(&self, attempt: AttemptId, outcome: Outcome, cause: &str) {
        let endpoint = self.occupancy.as_ref().map(|(endpoint, _)| *endpoint);
        let replica = endpoint.map(|id| self.entry.pool.borrow().get(id).spec.name.clone());
        Line::new("attempt_ended")
            .with("request", &self.id)
            .with("attempt", attempt)
            .with("replica", replica.unwrap_or_default())
            .with("outcome", outcome.name())
            .with("sent_tokens", self.relay.splice().sent_tokens())
            .with("cause", cause)
            .info();
    }

    fn record_limit(&self, advertised: Result<Option<Rate>, NumberError>) {
        let Some((endpoint, _)) = self.occupancy else { return };
        let (request, service) = (&*self.id, &*self.open().service);
        let observation = LimitObservation {
            endpoint,
            request,
            service,
            succeeded: true,
            refused: false,
            advertised,
            max_refusals: Ok(None),
        };
        limits::observe_response(&self.entry, &observation);
    }

    fn record_leaving(&self) {
        if let Some((endpoint, _)) = self.occupancy {
            registered::mark_leaving(&self.entry, endpoint, &self.id);
        }
    }

    fn record_back_off(&self, status: StatusCode, headers: &HeaderMap) {
        let Some((endpoint, _)) = self.occupancy else { return };
        let (request, service) = (&*self.id, &*self.open().service);
        let refusal = Refusal { endpoint, request, service, status, headers };
        retry_after::apply_refusal(&self.entry, &refusal);
    }

    fn report(&self, event: EndpointEvent) {
        if let Some((endpoint, _)) = &self.occupancy {
            self.entry.apply_event(*endpoint, event);
        }
    }

    fn start(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        how: Start,
    ) -> ModelAttempt<SharedConnections> {
        let occupancy = self.entry.begin_attempt(endpoint, self.request.expected_tokens(), None);
        self.occupancy = Some((endpoint, occupancy));
        let plan = self.relay.plan();
        if attempt > 1 {
            self.log_attempt_start(attempt, endpoint, how);
        }
        ModelAttempt {
            connections: SharedConnections(Rc::clone(&self.entry)),
            timers: self.entry.timers.clone(),
            addr: self.entry.address(endpoint),
            req: self.request.to_engine_request(&self.id, attempt, how, self.relay.splice().text()),
            reuse: if plan.repeatable { Reuse::Any } else { Reuse::Never },
            stall_timeout: self.entry.settings.services[self.request.service].stall_timeout,
            head_deadline: plan.deadline,
            max_tokens: self.request.stated_tokens,
        }
    }

    fn log_attempt_start(&self, attempt: AttemptId, endpoint: EndpointId, how: Start) {
        let kind = match how {
            Start::Fresh => "fresh",
            Start::Resume { .. } => "resume",
            Start::Continue { .. } => "continue",
        };
        Line::new("attempt_started")
            .with("request", &self.id)
            .with("attempt", attempt)
            .with("replica", &self.entry.pool.borrow().get(endpoint).spec.name)
            .with("how", kind)
            .with("sent_tokens", self.relay.splice().sent_tokens())
            .info();
    }

    /// Carries out every action but the start of an attempt.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Choose => {
                let event = self.choose();
                self.events.push(event);
            }
            Action::Transfer { attempt, from, to, tokens } => {
                self.transfer(attempt, from, to, tokens);
            }
            Action::Wake { at } => self.events.wake_at(at),
            Action::Emit { chunk } => {
                self.record_software();
                self.count_tokens();
                self.response.chunk(chunk);
            }
            Action::Cancel { endpoint, .. } => {
                self.occupancy = None;
                self.release(endpoint);
            }
            Action::Release { endpoint } => self.release(endpoint),
            Action::Detach { .. } => self.occupancy = None,
            Action::Fail { failure } => self.failure = Some(failure),
            // The loop starts attempts, and `finish` completes the response after it.
            Action::Complete | Action::Start { .. } => {}
        }
    }

    fn count_tokens(&mut self) {
        let sent = self.relay.splice().sent_tokens();
        let before = std::mem::replace(&mut self.counted_tokens, sent);
        if before == 0 && sent > 0 {
            self.entry.metrics.first_token.observe(self.open().age().as_secs_f64());
        }
        self.entry.metrics.tokens.inc_by(u64::from(sent - before));
    }

    fn choose(&mut self) -> Event {
        self.occupancy = None;
        let chosen = self.entry.choose_for(
            &self.id,
            &self.open().service,
            Query {
                service: self.request.service as ServiceId,
                avoid: self.relay.tried(),
                prefix: self.request.prefix,
                software: self.software.as_deref(),
                ..Query::default()
            },
        );
        match chosen {
            // An engine that replaces the lost one may have the version.
            Event::NoneLeft => Event::Unavailable { full: false, until: None },
            chosen => chosen,
        }
    }

    /// Records which software version began the stream, with its first chunk.
    fn record_software(&mut self) {
        let (None, Some((endpoint, _))) = (&self.software, &self.occupancy) else { return };
        let software = self.entry.pool.borrow().get(*endpoint).spec.software.clone();
        self.software = Some(software).filter(|software| !software.is_empty());
    }

    /// Has the target fetch the stream's KV cache; the result is delivered as an event.
    fn transfer(&self, attempt: AttemptId, from: EndpointId, to: EndpointId, tokens: u32) {
        let entry = Rc::clone(&self.entry);
        let open = Rc::clone(self.open());
        let body = json!({
            "request": self.id, "from": entry.address(from).to_string(), "tokens": tokens
        });
        compio::runtime::spawn(async move {
            let until = clock::now() + TRANSFER_TIMEOUT;
            let to = entry.address(to);
            let complete = post(&entry, to, "/v1/kv/import", body.to_string(), until).await;
            open.signal(Event::Transferred { attempt, complete });
        })
        .detach();
    }

    /// Has an engine free the state of the request.
    fn release(&self, endpoint: EndpointId) {
        let entry = Rc::clone(&self.entry);
        let path = format!("/v1/requests/{}/cancel", self.id);
        compio::runtime::spawn(async move {
            let until = clock::now() + CANCEL_TIMEOUT;
            let addr = entry.address(endpoint);
            if !post(&entry, addr, &path, String::new(), until).await {
                log::debug!("event=cancel_failed addr={addr}");
            }
        })
        .detach();
    }

    fn finish(self) {
        self.count_moves();
        match self.relay.state() {
            RequestState::Complete => {
                self.count_end("complete");
                match self.error_response {
                    Some((status, body)) => self.response.forward(status, body),
                    None => self.response.complete(self.relay.splice().text()),
                }
            }
            RequestState::Abandoned => {
                self.count_end("abandoned");
                Line::new("caller_gone")
                    .with("request", &self.id)
                    .with("sent_tokens", self.relay.splice().sent_tokens())
                    .info();
            }
            _ => {
                if let Some(failure) = self.failure {
                    let attempts = self.relay.counts().attempts;
                    self.events.log_failure(&self.id, failure, attempts);
                    self.count_end(failure.kind.code());
                    self.response.fail(ApiError::failed(failure));
                }
            }
        }
    }

    fn count_end(&self, end: &str) {
        let service = &self.open().service;
        self.entry.metrics.requests.with_label_values(&[service.as_str(), end]).inc();
    }

    fn count_moves(&self) {
        let counts = self.relay.counts();
        let metrics = &self.entry.metrics;
        let kinds = [
            ("resumed", counts.resumed),
            ("transferred", counts.transferred),
            ("recomputed", counts.recomputed),
            ("retried", counts.retries),
        ];
        for (kind, count) in kinds {
            if count > 0 {
                metrics.moves.with_label_values(&[kind]).inc_by(u64::from(count));
            }
        }
        metrics.recomputed_tokens.inc_by(counts.recomputed_tokens);
    }
}

/// Sends a control request to an engine. Returns whether it succeeded.
async fn post(
    entry: &Entry,
    addr: std::net::SocketAddr,
    path: &str,
    body: String,
    until: Instant,
) -> bool {
    let req = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the parts of the request are valid");
    let limit = MAX_CONTROL_RESPONSE_BYTES;
    entry
        .connections
        .exchange(&entry.timers, addr, req, limit, until)
        .await
        .is_ok_and(|(status, _)| status.is_success())
}

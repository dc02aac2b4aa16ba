//! One request to a model: from its body to the last byte of its response.
//!
//! Overview: [`read`] checks the body and finds the service. [`call`] starts a task that drives a
//! [`Relay`] and returns the response once its status is known. The task loops over three steps:
//! wait for the next event (`Driver::poll_event`), let the relay decide, carry out its actions
//! (`Driver::perform`). The caller's connection is watched all the time: while the caller reads too
//! slowly, nothing is read from the engine; when it disconnects, the attempt is cancelled at the
//! engine.

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
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
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
use crate::core::callers::answer::Interface;
use crate::core::callers::api_error::ApiError;
use crate::core::calls::call_events::CallEvents;
use crate::core::calls::open_requests::OpenRequest;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::endpoints::protocol;
use crate::core::endpoints::protocol::LEAVING_HEADER;
use crate::core::endpoints::registered;
use crate::core::endpoints::upstream::AttemptItem;
use crate::core::endpoints::upstream::ConnectionPool;
use crate::core::endpoints::upstream::ModelAttempt;
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
use crate::util::hash;
use crate::util::logline::Line;
use crate::util::timers::Sleep;

/// Bytes of a prompt per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Number of leading bytes of a prompt that routing by prefix hashes.
const HASHED_PREFIX_BYTES: usize = 1_024;

/// Tokens assumed for the response to a request without a maximum.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// Maximum duration of a KV transfer; after it the state is recomputed instead.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an engine's response to a control request, in bytes.
const MAX_CONTROL_RESPONSE_BYTES: usize = 64 << 10;

/// Maximum wait for an engine to confirm that it freed a request's state.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A checked request to a model.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Index of the service in the settings.
    pub service: usize,
    interface: Interface,
    /// The body sent to engines, always with streaming turned on.
    body: Bytes,
    stream: bool,
    wants_usage: bool,
    prompt_tokens: u32,
    max_tokens: u32,
    prefix: u64,
}

#[derive(Deserialize)]
struct RequestView<'a> {
    model: Option<String>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Parses and checks the body of a request to a model.
///
/// # Errors
///
/// An [`ApiError`] that says what to send instead.
pub fn read(entry: &Entry, interface: Interface, body: Bytes) -> Result<ModelRequest, ApiError> {
    let view: RequestView<'_> = serde_json::from_slice(&body)
        .map_err(|error| ApiError::bad_request(format!("invalid request body: {error}")))?;
    let model = view
        .model
        .ok_or_else(|| ApiError::bad_request("the body must have a `model`, see /v1/models"))?;
    let service = entry.settings.service_of_model(&model).ok_or_else(|| {
        let message = format!("no service provides the model `{model}`, see /v1/models");
        ApiError::rejected(StatusCode::NOT_FOUND, "unknown_model", message)
    })?;
    let prompt = match interface {
        Interface::Chat => view.messages.ok_or("`messages`"),
        Interface::Text => view.prompt.ok_or("a `prompt`"),
    };
    let prompt =
        prompt.map_err(|name| ApiError::bad_request(format!("the body must have {name}")))?.get();
    if view.n.is_some_and(|n| n != 1) {
        return Err(ApiError::bad_request(
            "only one choice per request is supported; leave out `n`",
        ));
    }
    let hashed_prefix = &prompt.as_bytes()[..prompt.len().min(HASHED_PREFIX_BYTES)];
    let max_tokens = view.max_completion_tokens.or(view.max_tokens);
    let mut request = ModelRequest {
        service,
        interface,
        stream: view.stream,
        wants_usage: !view.stream || view.stream_options.is_some_and(|o| o.include_usage),
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
        max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prefix: hash::of(hashed_prefix),
        body: Bytes::new(),
    };
    request.body = if view.stream { body } else { with_streaming(&body)? };
    Ok(request)
}

fn parse_object(body: &[u8]) -> Result<Map<String, Value>, ApiError> {
    let parsed = serde_json::from_slice(body);
    parsed
        .map_err(|error| ApiError::bad_request(format!("the body must be a JSON object: {error}")))
}

/// The body with streaming turned on, for callers that want the response in one piece.
fn with_streaming(body: &[u8]) -> Result<Bytes, ApiError> {
    let mut map = parse_object(body)?;
    map.insert("stream".to_owned(), true.into());
    map.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    Ok(Bytes::from(Value::Object(map).to_string()))
}

impl ModelRequest {
    /// The HTTP request to an engine.
    fn to_engine_request(
        &self,
        id: &str,
        attempt: AttemptId,
        how: Start,
        text: &str,
    ) -> EndpointRequest {
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(self.interface.path())
            .header("content-type", "application/json")
            .header("x-request-id", id)
            .header("x-attempt", attempt);
        let mut body = self.body.clone();
        match how {
            Start::Fresh => {}
            Start::Resume { after } => builder = builder.header("last-event-id", after),
            Start::Continue { after } => body = self.with_continuation(after, text),
        }
        builder.body(Full::new(body)).expect("the parts of the request are valid")
    }

    /// The body with the part of the response that the caller has.
    fn with_continuation(&self, after: u32, text: &str) -> Bytes {
        let Ok(mut map) = parse_object(&self.body) else { return self.body.clone() };
        map.insert("continuation".to_owned(), json!({ "tokens": after, "text": text }));
        Bytes::from(Value::Object(map).to_string())
    }

    fn expected_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_tokens)
    }
}

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
        CallerResponse::stream(entry.settings.limits.stream_bytes)
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
            new_connection: !plan.repeatable,
            stall_timeout: self.entry.settings.services[self.request.service].stall_timeout,
            head_deadline: plan.deadline,
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
        let chosen = self.entry.choose(Query {
            service: self.request.service as ServiceId,
            avoid: self.relay.tried(),
            prefix: self.request.prefix,
            software: self.software.as_deref(),
            ..Query::default()
        });
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

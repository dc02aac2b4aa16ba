//! One call of a plain service: method, path, headers and body pass through.
//!
//! Why the answer is held back until it is whole, up to a limit: a call that may be repeated can
//! then survive an endpoint that dies in the middle of its answer. A longer answer is passed on
//! as it comes; if it breaks off, the caller sees a body that is cut off.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt as _;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::http::request::Builder;
use vaneway_relay::Action;
use vaneway_relay::AttemptEvent;
use vaneway_relay::AttemptId;
use vaneway_relay::Event;
use vaneway_relay::Failure;
use vaneway_relay::FailureKind;
use vaneway_relay::Outcome;
use vaneway_relay::Plan;
use vaneway_relay::Relay;
use vaneway_relay::RunState;
use vaneway_relay::request_chart;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;

use crate::core::api_error::ApiError;
use crate::core::api_error::RUN_HEADER;
use crate::core::body::CallerBody;
use crate::core::call_events::CallEvents;
use crate::core::entry::Entry;
use crate::core::link::EndpointRequest;
use crate::core::link::LinkBody;
use crate::core::settings::Organisation;
use crate::core::settings::Service;
use crate::core::upstream::Answered;
use crate::core::upstream::SendError;
use crate::util::logline::Line;
use crate::util::outbox::Outbox;
use crate::util::outbox::outbox;

/// Headers that belong to one connection and do not pass through.
const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// A checked call of a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// Position of the service in the settings.
    pub service: usize,
    /// The method.
    pub method: Method,
    /// Path and query within the service.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

impl PlainRequest {
    fn to_endpoint(&self, id: &str, organisation: &str, host: &str) -> EndpointRequest {
        let builder = Request::builder().method(self.method.clone()).uri(&self.path);
        let own = [HOST, AUTHORIZATION];
        let passes = |name: &&HeaderName| !own.contains(name) && !HOP_HEADERS.contains(name);
        let add = |builder: Builder, name| {
            let values = self.headers.get_all(name).iter();
            values.fold(builder, |builder, value| builder.header(name, value))
        };
        let builder = self.headers.keys().filter(passes).fold(builder, add);
        builder
            .header(HOST, host)
            .header("x-request-id", id)
            .header("x-organisation", organisation)
            .body(Full::new(self.body.clone()))
            .expect("the parts of the request are valid")
    }
}

/// What an attempt brings.
enum Ended {
    /// An answer to pass on.
    Answer(Response<CallerBody>),
    /// No answer.
    Lost(SendError),
}

/// Calls a plain service and returns its answer, or one error.
pub async fn call(
    entry: Rc<Entry>,
    organisation: Organisation,
    request: PlainRequest,
) -> Response<CallerBody> {
    let service = &entry.settings.services[request.service];
    let open = entry.open.enter(&organisation.name, &service.name);
    let number = open.request().number;
    let plan = Plan {
        repeatable: request.repeatable,
        streamed: false,
        wants_usage: false,
        max_attempts: service.max_attempts,
        deadline: Instant::now() + service.deadline,
        patience: service.patience,
        prompt_tokens: 0,
        max_tokens: 0,
        seed: entry.request_seed(number),
    };
    let call = Call {
        id: entry.request_id(number),
        organisation: &organisation,
        service,
        events: CallEvents::new(open, &entry.timers, plan.deadline),
        relay: Relay::new(plan),
        response: None,
        failure: None,
        entry: &entry,
        request: &request,
    };
    call.run().await
}

struct Call<'a> {
    entry: &'a Rc<Entry>,
    organisation: &'a Organisation,
    service: &'a Service,
    request: &'a PlainRequest,
    id: String,
    events: CallEvents,
    relay: Relay,
    response: Option<Response<CallerBody>>,
    failure: Option<Failure>,
}

impl Call<'_> {
    async fn run(mut self) -> Response<CallerBody> {
        let mut attempt = None;
        let mut actions = Vec::new();
        while !request_chart().is_final(self.relay.state()) {
            let event = poll_fn(|cx| self.poll_event(cx, &mut attempt)).await;
            let budget = &mut self.entry.budgets.borrow_mut()[self.request.service];
            self.relay.handle(Instant::now(), event, budget, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Start { attempt: id, endpoint, .. } => {
                        attempt = Some((id, endpoint, Box::pin(self.attempt(endpoint))));
                    }
                    Action::Detach { .. } | Action::Cancel { .. } => attempt = None,
                    action => self.perform(&action),
                }
            }
            self.events.open.request().note(&self.relay);
        }
        drop(attempt);
        self.finish()
    }

    fn poll_event<F: Future<Output = Ended>>(
        &mut self,
        cx: &mut Context<'_>,
        attempt: &mut Option<(AttemptId, EndpointId, Pin<Box<F>>)>,
    ) -> Poll<Event> {
        if let Poll::Ready(event) = self.events.poll_next(cx) {
            return Poll::Ready(event);
        }
        let Some((id, endpoint, work)) = attempt else { return Poll::Pending };
        let ended = std::task::ready!(work.poll_unpin(cx));
        let (id, endpoint) = (*id, *endpoint);
        *attempt = None;
        Poll::Ready(self.ended(id, endpoint, ended))
    }

    fn ended(&mut self, attempt: AttemptId, endpoint: EndpointId, ended: Ended) -> Event {
        let outcome = match ended {
            Ended::Answer(response) => {
                self.response = Some(response);
                self.entry.report(endpoint, EndpointEvent::Answered);
                Outcome::Done
            }
            Ended::Lost(error) => {
                if error.outcome != Outcome::Refused {
                    self.entry.report(endpoint, EndpointEvent::Failed);
                }
                self.log_attempt(attempt, endpoint, &error);
                error.outcome
            }
        };
        let labels = [self.service.name.as_str(), outcome.name()];
        self.entry.metrics.attempts.with_label_values(&labels).inc();
        Event::Ended { attempt, outcome }
    }

    fn log_attempt(&self, attempt: AttemptId, endpoint: EndpointId, error: &SendError) {
        Line::new("attempt_ended")
            .with("request", &self.id)
            .with("attempt", attempt)
            .with("replica", &self.entry.pool.borrow().get(endpoint).spec.name)
            .with("outcome", error.outcome.name())
            .with("cause", &error.cause)
            .info();
    }

    /// One attempt, which owns all that it needs.
    fn attempt(&self, endpoint: EndpointId) -> impl Future<Output = Ended> + use<> {
        let occupancy = self.entry.occupy(endpoint, 1);
        let entry = Rc::clone(self.entry);
        let addr = entry.address(endpoint);
        let req = self.request.to_endpoint(&self.id, &self.organisation.name, &addr.to_string());
        let fresh = !self.request.repeatable;
        let head_by = Instant::now() + self.service.stall;
        let not_run_header = self.service.not_run_header.clone();
        async move {
            let sent = entry.connections.send(&entry.timers, addr, req, fresh, head_by).await;
            let answered = match sent {
                Ok(answered) => answered,
                Err(error) => return Ended::Lost(error),
            };
            let status = answered.response.status();
            let headers = answered.response.headers();
            let not_run = not_run_header.is_some_and(|name| headers.contains_key(name));
            if status == StatusCode::SERVICE_UNAVAILABLE && not_run {
                let cause = "the service answered that it did not run the call".to_owned();
                return Ended::Lost(SendError { outcome: Outcome::Refused, cause });
            }
            let ended = read_answer(Rc::clone(&entry), addr, answered).await;
            drop(occupancy);
            ended
        }
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Choose => {
                let event = self.entry.choose(self.request.service, self.relay.tried(), 0);
                self.events.push(event);
            }
            Action::Wake { at } => self.events.wake_at(*at),
            Action::Fail { failure } => self.failure = Some(*failure),
            // Streams only, or dealt with by the loop.
            Action::Transfer { .. }
            | Action::Emit { .. }
            | Action::Release { .. }
            | Action::Detach { .. }
            | Action::Cancel { .. }
            | Action::Complete
            | Action::Start { .. } => {}
        }
    }

    fn finish(self) -> Response<CallerBody> {
        let end = self.failure.map_or("complete", |failure| failure.kind.code());
        self.entry.metrics.requests.with_label_values(&[self.service.name.as_str(), end]).inc();
        if let (Some(response), None) = (self.response, self.failure) {
            return response;
        }
        let failure = self
            .failure
            .unwrap_or(Failure { kind: FailureKind::OutcomeUnknown, run: RunState::Unknown });
        self.events.log_failure(&self.id, failure, self.relay.moves().attempts);
        ApiError::failed(failure).into_response()
    }
}

/// Reads an answer whole, or up to the limit and passes the rest on as it comes.
async fn read_answer(entry: Rc<Entry>, addr: std::net::SocketAddr, answered: Answered) -> Ended {
    let Answered { response, mut attempt } = answered;
    let (mut head, mut body) = response.into_parts();
    let mut held = BytesMut::new();
    match body.read_into(&mut held, entry.settings.limits.answer_bytes).await {
        Ok(whole) => {
            clean(&mut head.headers);
            let body = if whole {
                entry.connections.put(addr, body);
                CallerBody::full(held.freeze())
            } else {
                pass_on(entry, addr, &held, body)
            };
            Ended::Answer(Response::from_parts(head, body))
        }
        Err(error) => {
            let outcome = attempt.handle(AttemptEvent::Broken).unwrap_or(Outcome::Unknown);
            Ended::Lost(SendError { outcome, cause: error.to_string() })
        }
    }
}

fn clean(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.insert(RUN_HEADER, HeaderValue::from_static(RunState::Ran.name()));
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

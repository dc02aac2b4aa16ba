//! One attempt at an endpoint: the request is sent, the answer's head is judged, and what follows is
//! handed over piece by piece.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::Stream;
use futures_util::stream::unfold;
use hyper::Response;
use hyper::http::response;
use vaneway_quarantine::Progress;
use vaneway_relay::AnswerForm;
use vaneway_relay::AttemptEvent;
use vaneway_relay::Outcome;
use vaneway_route::EndpointId;
use vaneway_route::UNRESPONSIVE_THRESHOLD;

use crate::core::calls::call_limits::CallLimits;
use crate::core::calls::events::EventCutter;
use crate::core::calls::events::RawEvent;
use crate::core::endpoints::link::ConnectionBody;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::protocol::Dispatch;
use crate::core::endpoints::protocol::EndpointProtocol;
use crate::core::endpoints::protocol::ResponseKind;
use crate::core::endpoints::registered;
use crate::core::endpoints::upstream::SendError;
use crate::core::endpoints::upstream::StartedResponse;
use crate::core::entry::Entry;
use crate::core::limits;
use crate::core::limits::LimitObservation;
use crate::core::occupancy::Occupancy;
use crate::core::quarantine;
use crate::core::retry_after;
use crate::core::retry_after::Refusal;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::outbox::Outbox;
use crate::util::outbox::outbox;

/// Time between two looks whether an endpoint that owes an answer is out of reach.
const SILENCE_LOOK_EVERY: Duration = Duration::from_millis(100);

/// What an attempt brings.
pub(super) enum CallItem {
    /// An event stream began.
    Head(response::Parts),
    /// Its next event.
    Event(RawEvent),
    /// An answer to pass on.
    Answer(Response<ResponseBody>),
    /// An answer that says that the endpoint failed, to pass on if no other endpoint does better.
    Failed(Response<ResponseBody>),
    /// The attempt ended; nothing follows.
    Ended {
        outcome: Outcome,
        cause: String,
        /// What was seen of its endpoint with that.
        seen: Seen,
    },
}

/// What the end of an attempt shows of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Seen {
    /// Nothing more than the outcome.
    Nothing,
    /// Another endpoint has the address now.
    Replaced,
    /// Nothing listens at its address.
    Down,
    /// The endpoint has ended while it ran the request.
    Ended(Progress),
}

impl CallItem {
    pub(super) fn ended(outcome: Outcome, cause: impl Into<String>) -> Self {
        Self::Ended { outcome, cause: cause.into(), seen: Seen::Nothing }
    }

    /// An attempt that broke off with its connection.
    async fn broken(
        entry: &Entry,
        request: &CallRequest,
        endpoint: EndpointId,
        progress: Progress,
        outcome: Outcome,
        cause: impl Into<String>,
    ) -> Self {
        let ended = outcome == Outcome::Unknown
            && quarantine::endpoint_has_exited(entry, request, endpoint).await;
        let seen = if ended { Seen::Ended(progress) } else { Seen::Nothing };
        Self::Ended { outcome, cause: cause.into(), seen }
    }
}

/// What one attempt needs.
pub(super) struct Attempt<E> {
    pub(super) entry: Rc<Entry>,
    pub(super) protocol: Rc<E>,
    pub(super) request: Rc<CallRequest>,
    pub(super) limits: CallLimits,
    pub(super) endpoint: EndpointId,
    pub(super) occupancy: Occupancy,
    pub(super) after: Option<u32>,
}

enum Stage<E> {
    Sending(Box<Attempt<E>>),
    Reading(Box<Reading>),
    Over,
}

/// An event stream that is being read.
struct Reading {
    entry: Rc<Entry>,
    request: Rc<CallRequest>,
    endpoint: EndpointId,
    addr: std::net::SocketAddr,
    body: ConnectionBody,
    attempt: vaneway_relay::Attempt,
    cutter: EventCutter,
    limits: CallLimits,
    occupancy: Occupancy,
}

impl<E: EndpointProtocol> Attempt<E> {
    /// What it brings, in order. Dropping it closes the connection unless the answer came to its end.
    pub(super) fn items(self) -> impl Stream<Item = CallItem> + use<E> {
        unfold(Stage::Sending(Box::new(self)), |stage| async move {
            match stage {
                // Boxed, so that its memory is free while the answer is read.
                Stage::Sending(sending) => Some(Box::pin(sending.send()).await),
                Stage::Reading(reading) => Some(next_event(reading).await),
                Stage::Over => None,
            }
        })
    }

    async fn send(self: Box<Self>) -> (CallItem, Stage<E>) {
        let Self { entry, protocol, request, limits, endpoint, occupancy, after } = *self;
        let spec = entry.pool.borrow().get(endpoint).spec.clone();
        let time_left = limits.deadline.saturating_duration_since(clock::now());
        let req = protocol
            .request(&request, Dispatch { endpoint: &spec, time_left, resume_after: after });
        let head_by = clock::now() + limits.head_within;
        let fresh = entry.settings.routing.fresh_for_at_most_once && !request.repeatable;
        let sent = entry.connections.send(&entry.timers, spec.address, req, fresh, head_by);
        let sent = unless_silent(&entry, endpoint, request.repeatable, sent).await;
        let StartedResponse { response, attempt } = match sent {
            Some(Ok(answered)) => answered,
            Some(Err(SendError { outcome, cause, is_down: true })) => {
                return (CallItem::Ended { outcome, cause, seen: Seen::Down }, Stage::Over);
            }
            Some(Err(SendError { outcome, cause, is_down: false })) => {
                return (
                    CallItem::broken(&entry, &request, endpoint, Progress::Reading, outcome, cause)
                        .await,
                    Stage::Over,
                );
            }
            None => {
                let cause = "other answers of the endpoint or its zone have stopped arriving";
                return (CallItem::ended(Outcome::Unknown, cause), Stage::Over);
            }
        };
        let (head, body) = response.into_parts();
        let verdict = protocol.classify(&request, &head);
        if !matches!(verdict, ResponseKind::Replaced | ResponseKind::Mismatched) {
            let heard = LimitObservation {
                endpoint,
                request: &request.id,
                service: &request.service_name,
                succeeded: verdict == ResponseKind::Answer && head.status.is_success(),
                named: protocol.advertised_limit(&head.headers),
            };
            limits::observe_response(&entry, &heard);
            if protocol.is_leaving(&head.headers) {
                registered::mark_leaving(&entry, endpoint, &request.id);
            }
        }
        let item = match verdict {
            ResponseKind::Answer => {
                let streamed = matches!(request.form, AnswerForm::EventStream { .. });
                if streamed && head.status.is_success() {
                    let reading = Reading {
                        endpoint,
                        addr: spec.address,
                        cutter: EventCutter::default(),
                        limits,
                        occupancy,
                        entry,
                        request,
                        body,
                        attempt,
                    };
                    return (CallItem::Head(head), Stage::Reading(Box::new(reading)));
                }
                let response = Response::from_parts(head, body);
                let failed = response.status().is_server_error() && request.repeatable;
                let answered = StartedResponse { response, attempt };
                let read = read_answer(entry, &*protocol, &request, endpoint, answered).await;
                match read {
                    CallItem::Answer(response) if failed => CallItem::Failed(response),
                    item => item,
                }
            }
            ResponseKind::Refused => {
                let refusal = Refusal {
                    endpoint,
                    request: &request.id,
                    service: &request.service_name,
                    status: head.status,
                    headers: &head.headers,
                };
                retry_after::apply_refusal(&entry, &refusal);
                entry.connections.release_refused(&entry.timers, spec.address, body).await;
                CallItem::ended(Outcome::Refused, "the endpoint did not run it")
            }
            ResponseKind::Replaced => CallItem::Ended {
                outcome: Outcome::Refused,
                cause: "another endpoint has the address".to_owned(),
                seen: Seen::Replaced,
            },
            ResponseKind::Mismatched => {
                CallItem::ended(Outcome::Unknown, "the answer belongs to another request")
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
    let mut look_at = clock::now() + UNRESPONSIVE_THRESHOLD;
    loop {
        if let Some(done) = entry.timers.timeout_at(look_at, work.as_mut()).await {
            return Some(done);
        }
        let now = clock::now();
        if entry.pool.borrow().is_unresponsive(now, endpoint) {
            return None;
        }
        look_at = now + SILENCE_LOOK_EVERY;
    }
}

async fn next_event<E>(mut reading: Box<Reading>) -> (CallItem, Stage<E>) {
    let broken = loop {
        if let Some(event) = reading.cutter.next_event() {
            reading.occupancy.record_chunk();
            return (CallItem::Event(event), Stage::Reading(reading));
        }
        let limits = &reading.limits;
        let within =
            if reading.occupancy.is_arriving() { limits.pause_within } else { limits.head_within };
        let until = clock::now() + within;
        let timers = reading.entry.timers.clone();
        match timers.timeout_at(until, reading.body.data()).await {
            Some(Some(Ok(data))) => reading.cutter.push(&data),
            Some(None) => return end_of_stream(reading),
            Some(Some(Err(error))) => break error.to_string(),
            None => break "the endpoint was silent for too long".to_owned(),
        }
    };
    let outcome = reading.attempt.handle(AttemptEvent::Broken).unwrap_or(Outcome::Unknown);
    let progress =
        if reading.occupancy.is_arriving() { Progress::Answering } else { Progress::Reading };
    let Reading { entry, request, endpoint, .. } = &*reading;
    let item = CallItem::broken(entry, request, *endpoint, progress, outcome, broken).await;
    (item, Stage::Over)
}

fn end_of_stream<E>(mut reading: Box<Reading>) -> (CallItem, Stage<E>) {
    let rest = std::mem::take(&mut reading.cutter).rest();
    if !rest.is_empty() {
        let event = RawEvent { number: None, bytes: rest };
        return (CallItem::Event(event), Stage::Reading(reading));
    }
    let Reading { entry, addr, body, mut attempt, mut occupancy, .. } = *reading;
    occupancy.mark_complete();
    let outcome = attempt.handle(AttemptEvent::End).unwrap_or(Outcome::Done);
    entry.connections.release(addr, body);
    (CallItem::ended(outcome, ""), Stage::Over)
}

/// Reads an answer whole, or up to the limit and passes the rest on as it comes.
async fn read_answer<E: EndpointProtocol>(
    entry: Rc<Entry>,
    protocol: &E,
    request: &CallRequest,
    endpoint: EndpointId,
    answered: StartedResponse,
) -> CallItem {
    let addr = entry.address(endpoint);
    let StartedResponse { response, mut attempt } = answered;
    let (mut head, mut body) = response.into_parts();
    let mut held = BytesMut::new();
    match body.read_into(&mut held, entry.settings.limits.answer_bytes).await {
        Ok(whole) => {
            protocol.prepare_headers(&mut head.headers);
            let body = if whole {
                entry.connections.release(addr, body);
                ResponseBody::full(held.freeze())
            } else {
                pass_on(entry, addr, &held, body)
            };
            CallItem::Answer(Response::from_parts(head, body))
        }
        Err(error) => {
            let outcome = attempt.handle(AttemptEvent::Broken).unwrap_or(Outcome::Unknown);
            let cause = error.to_string();
            CallItem::broken(&entry, request, endpoint, Progress::Reading, outcome, cause).await
        }
    }
}

/// Passes the rest of a long answer on as the caller takes it.
fn pass_on(
    entry: Rc<Entry>,
    addr: std::net::SocketAddr,
    held: &[u8],
    mut body: ConnectionBody,
) -> ResponseBody {
    let (tx, rx) = outbox(entry.settings.limits.stream_bytes);
    tx.push(held);
    compio::runtime::spawn(async move {
        if feed(&entry, &tx, &mut body).await {
            tx.finish();
            entry.connections.release(addr, body);
        }
    })
    .detach();
    ResponseBody::Streamed(rx)
}

/// Moves a body into an outbox; true if all of it arrived.
async fn feed(entry: &Entry, tx: &Outbox, body: &mut ConnectionBody) -> bool {
    loop {
        let until = clock::now() + entry.settings.limits.caller_stall_timeout;
        let room = poll_fn(|cx| match tx.poll_closed(cx) {
            Poll::Ready(()) => Poll::Ready(false),
            Poll::Pending => tx.poll_capacity(cx).map(|()| true),
        });
        if entry.timers.timeout_at(until, room).await != Some(true) {
            return false;
        }
        match entry.timers.timeout_at(until, body.data()).await {
            Some(Some(Ok(data))) => tx.push(&data),
            Some(None) => return true,
            Some(Some(Err(_))) | None => return false,
        }
    }
}

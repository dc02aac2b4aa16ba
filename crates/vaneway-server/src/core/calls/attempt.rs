//! One attempt at an endpoint: sends the request, classifies the response head, and yields the rest
//! of the response item by item.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream::unfold;
use hyper::Response;
use hyper::http::response;
use vaneway_quarantine::Incarnation;
use vaneway_quarantine::Progress;
use vaneway_registry::SoftwareVersion;
use vaneway_relay::AnswerForm;
use vaneway_relay::AttemptEvent;
use vaneway_relay::Outcome;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;
use vaneway_route::UNRESPONSIVE_THRESHOLD;

use crate::core::calls::answer_end;
use crate::core::calls::answer_end::BrokenOff;
use crate::core::calls::answer_end::Received;
use crate::core::calls::answer_end::Sender;
use crate::core::calls::call_limits::CallLimits;
use crate::core::calls::events;
use crate::core::calls::events::EventSplitter;
use crate::core::calls::events::LAST_EVENT_ID;
use crate::core::calls::events::RawEvent;
use crate::core::calls::events::is_event_stream;
use crate::core::calls::rollout_sample::Sample;
use crate::core::endpoints::link::ConnectionBody;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::protocol::Dispatch;
use crate::core::endpoints::protocol::EndpointProtocol;
use crate::core::endpoints::protocol::ResponseKind;
use crate::core::endpoints::registered;
use crate::core::endpoints::response_owner::ResponseOwner;
use crate::core::endpoints::upstream::OF_EARLIER_REQUEST;
use crate::core::endpoints::upstream::Reuse;
use crate::core::endpoints::upstream::SendError;
use crate::core::endpoints::upstream::StartedResponse;
use crate::core::entry::Entry;
use crate::core::exit_check;
use crate::core::limits;
use crate::core::limits::LimitObservation;
use crate::core::neighbours::wire;
use crate::core::neighbours::wire::AttemptResult;
use crate::core::neighbours::wire::Resumption;
use crate::core::occupancy::Occupancy;
use crate::core::quarantine;
use crate::core::quarantine::Placement;
use crate::core::retry_after;
use crate::core::retry_after::Refusal;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::logline::Line;
use crate::util::outbox::Outbox;
use crate::util::outbox::outbox_within;

/// Time between two checks whether an endpoint with an open request is unresponsive.
const UNRESPONSIVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why an attempt ends at an endpoint that has become unresponsive.
const UNRESPONSIVE: &str =
    "responses of the endpoint or its availability zone have stopped arriving";

/// How many times as long as a pause may last a pause with comments may: they show that the endpoint is
/// at work, and mustn't hold its place without end.
const MAX_PAUSES_WITH_COMMENTS: u32 = 4;

/// Maximum size of what a neighbour sends in place of an endpoint's response, in bytes.
const MAX_CASE_BYTES: usize = 64 << 10;

/// Maximum time until that has arrived after the response's head.
const CASE_TIMEOUT: Duration = Duration::from_millis(50);

/// An item of an attempt's result.
pub(super) enum CallItem {
    /// An event stream began.
    Head(response::Parts),
    /// The next event of the stream.
    Event(RawEvent),
    /// A response to forward.
    Response(Response<ResponseBody>),
    /// A response that reports a failure of the endpoint, forwarded if no other attempt succeeds.
    Failed(Response<ResponseBody>),
    /// A neighbour reports that the request is condemned.
    Condemned,
    /// A neighbour reports that no endpoint accepts requests of it at present.
    NoEndpoint,
    /// A neighbour reports that it has no endpoint left of the required software version.
    NoneLeft,
    /// The attempt ended; nothing follows.
    Ended {
        outcome: Outcome,
        cause: String,
        /// What the end of the attempt shows about the endpoint.
        observation: EndpointObservation,
    },
}

/// What the end of an attempt shows about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointObservation {
    /// Nothing beyond the outcome.
    Nothing,
    /// Its address belongs to another endpoint now.
    Replaced,
    /// Nothing listens on its address.
    Down,
    /// The endpoint crashed while running the request.
    Crashed(Progress),
}

impl CallItem {
    pub(super) fn ended(outcome: Outcome, cause: impl Into<String>) -> Self {
        Self::Ended { outcome, cause: cause.into(), observation: EndpointObservation::Nothing }
    }

    /// The end of an attempt that got no response.
    async fn unanswered(
        entry: &Entry,
        request: &CallRequest,
        endpoint: EndpointId,
        error: SendError,
    ) -> Self {
        let SendError { outcome, cause, is_down } = error;
        if is_down {
            return Self::Ended { outcome, cause, observation: EndpointObservation::Down };
        }
        Self::broken(entry, request, endpoint, Progress::Reading, outcome, cause).await
    }

    /// The end of an attempt whose connection broke.
    async fn broken(
        entry: &Entry,
        request: &CallRequest,
        endpoint: EndpointId,
        progress: Progress,
        outcome: Outcome,
        cause: impl Into<String>,
    ) -> Self {
        let is_neighbour = entry.pool.borrow().get(endpoint).is_neighbour();
        let crashed = outcome == Outcome::Unknown
            && !is_neighbour
            && exit_check::endpoint_has_exited(entry, &request.id, endpoint).await;
        let observation = if crashed {
            EndpointObservation::Crashed(progress)
        } else {
            EndpointObservation::Nothing
        };
        Self::Ended { outcome, cause: cause.into(), observation }
    }
}

/// The parameters of one attempt.
pub(super) struct CallAttempt<E> {
    pub(super) entry: Rc<Entry>,
    pub(super) protocol: Rc<E>,
    pub(super) request: Rc<CallRequest>,
    pub(super) limits: CallLimits,
    pub(super) endpoint: EndpointId,
    pub(super) occupancy: Occupancy,
    pub(super) after: Option<u32>,
    /// The software version that began the stream, once an event of it was sent.
    pub(super) software: Option<SoftwareVersion>,
}

enum Stage<E> {
    Sending(Box<CallAttempt<E>>),
    Reading(Box<EventStreamReader>),
    /// All events have arrived.
    Complete(Box<EventStreamReader>),
    Over,
}

/// An event stream that is being read.
struct EventStreamReader {
    entry: Rc<Entry>,
    request: Rc<CallRequest>,
    sender: Sender,
    /// Whether the answer may bring no event: the caller takes up a stream whose events it may all
    /// have. An attempt that resumes one that broke off is expected to bring some.
    may_be_empty: bool,
    /// Whether an event, not only comments, has arrived.
    has_event: bool,
    addr: std::net::SocketAddr,
    body: ConnectionBody,
    attempt: vaneway_relay::Attempt,
    splitter: EventSplitter,
    limits: CallLimits,
    occupancy: Occupancy,
}

impl<E: EndpointProtocol> CallAttempt<E> {
    /// The items of the result, in order. Dropping the stream closes the connection unless the
    /// response has ended.
    pub(super) fn items(self) -> impl Stream<Item = CallItem> + use<E> {
        let mut sample = Sample::begin(&self.entry, self.endpoint, &self.request);
        let items = unfold(Stage::Sending(Box::new(self)), |stage| async move {
            match stage {
                // Boxed, so that its memory is freed before the response is read.
                Stage::Sending(sending) => Some(Box::pin(sending.send()).await),
                Stage::Reading(reader) => Some(next_event(reader).await),
                Stage::Complete(reader) => Some((complete(*reader), Stage::Over)),
                Stage::Over => None,
            }
        });
        items.inspect(move |item| {
            if let Some(sample) = &mut sample {
                sample.observe(item);
            }
        })
    }

    async fn send(self: Box<Self>) -> (CallItem, Stage<E>) {
        let Self { entry, protocol, request, limits, endpoint, occupancy, after, software } = *self;
        let spec = entry.pool.borrow().get(endpoint).spec.clone();
        let sender = Sender { endpoint, born: quarantine::born(&entry, endpoint) };
        let time_left = limits.deadline.saturating_duration_since(clock::now());
        let is_neighbour = spec.is_neighbour();
        let req = if is_neighbour {
            let resumption = Resumption { after, software: software.as_deref() };
            wire::request(&entry, &request, &limits, &spec, resumption)
        } else {
            protocol.request(&request, Dispatch { endpoint: &spec, time_left, resume_after: after })
        };
        let head_deadline = clock::now() + limits.head_timeout;
        let reuse = reuse_for(&entry, &request);
        let sent = entry.connections.send(&entry.timers, spec.address, req, reuse, head_deadline);
        let sent = unless_unresponsive(&entry, endpoint, request.repeatable, sent).await;
        let StartedResponse { response, attempt } = match sent {
            Some(Ok(started)) => started,
            Some(Err(error)) => {
                return (
                    CallItem::unanswered(&entry, &request, endpoint, error).await,
                    Stage::Over,
                );
            }
            None => return (CallItem::ended(Outcome::Unknown, UNRESPONSIVE), Stage::Over),
        };
        let (mut head, mut body) = response.into_parts();
        if is_neighbour {
            let result = AttemptResult::take(&mut head);
            if result != AttemptResult::Answer {
                return (end_at_neighbour(&entry, &request, result, body).await, Stage::Over);
            }
        }
        let owner = body.owner();
        let kind = protocol.classify(&request, &head, owner);
        if !is_neighbour {
            observe_head(&entry, &*protocol, &request, endpoint, &head, kind);
        }
        let item = match kind {
            ResponseKind::Answer => {
                let streamed = matches!(request.form, AnswerForm::EventStream { .. });
                if streamed && head.status.is_success() && is_event_stream(&head.headers) {
                    body.expect_stream(request.work.as_ref().map(|work| work.max_tokens));
                    let reader = EventStreamReader {
                        sender,
                        may_be_empty: after.is_none()
                            && request.headers.contains_key(LAST_EVENT_ID),
                        has_event: false,
                        addr: spec.address,
                        splitter: EventSplitter::default(),
                        limits,
                        occupancy,
                        entry,
                        request,
                        body,
                        attempt,
                    };
                    return (CallItem::Head(head), Stage::Reading(Box::new(reader)));
                }
                let response = Response::from_parts(head, body);
                let failed = response.status().is_server_error() && request.repeatable;
                let started = StartedResponse { response, attempt };
                let read =
                    read_response(entry, &*protocol, &request, sender, started, time_left).await;
                match read {
                    CallItem::Response(response) if failed => CallItem::Failed(response),
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
                CallItem::ended(
                    Outcome::Refused,
                    "the endpoint refused the request without running it",
                )
            }
            ResponseKind::Replaced => CallItem::Ended {
                outcome: Outcome::Refused,
                cause: "the address belongs to another endpoint now".to_owned(),
                observation: EndpointObservation::Replaced,
            },
            ResponseKind::Mismatched => CallItem::ended(Outcome::Unknown, mismatch_cause(owner)),
        };
        (item, Stage::Over)
    }
}

/// Which idle connections a request may be sent over.
fn reuse_for(entry: &Entry, request: &CallRequest) -> Reuse {
    match request.repeatable {
        true => Reuse::Any,
        false if entry.settings.routing.fresh_for_at_most_once => Reuse::Never,
        false => Reuse::Rested,
    }
}

/// Why an attempt ends at a response that is not shown to be that of its request.
fn mismatch_cause(owner: ResponseOwner) -> &'static str {
    match owner {
        ResponseOwner::Earlier => OF_EARLIER_REQUEST,
        _ => "the response doesn't show that it belongs to the request",
    }
}

/// Takes in what an endpoint says of itself in the head of a response: its limit, and whether it is
/// leaving.
fn observe_head<E: EndpointProtocol>(
    entry: &Entry,
    protocol: &E,
    request: &CallRequest,
    endpoint: EndpointId,
    head: &response::Parts,
    kind: ResponseKind,
) {
    if matches!(kind, ResponseKind::Replaced | ResponseKind::Mismatched) {
        return;
    }
    let limit_observation = LimitObservation {
        endpoint,
        request: &request.id,
        service: &request.service_name,
        succeeded: kind == ResponseKind::Answer && head.status.is_success(),
        refused: kind == ResponseKind::Refused,
        advertised: protocol.advertised_limit(&head.headers),
        max_refusals: protocol.max_refusals(&head.headers),
    };
    limits::observe_response(entry, &limit_observation);
    if protocol.is_leaving(&head.headers) {
        registered::mark_leaving(entry, endpoint, &request.id);
    }
}

/// The end of an attempt by a neighbour that has no response of an endpoint.
async fn end_at_neighbour(
    entry: &Entry,
    request: &CallRequest,
    result: AttemptResult,
    mut body: ConnectionBody,
) -> CallItem {
    let mut cases = BytesMut::new();
    let read = body.read_into(&mut cases, MAX_CASE_BYTES);
    let until = clock::now() + CASE_TIMEOUT;
    if matches!(entry.timers.timeout_at(until, read).await, Some(Ok(true))) {
        wire::merge_cases(entry, cases);
    }
    match result {
        _ if quarantine::placement(entry, request, false) == Placement::Forbidden => {
            CallItem::Condemned
        }
        AttemptResult::Refused => {
            CallItem::ended(Outcome::Refused, "the endpoints of a neighbour refused the request")
        }
        AttemptResult::Unreachable => {
            CallItem::ended(Outcome::NotSent, "the neighbour reaches no endpoint")
        }
        AttemptResult::NoEndpoint => CallItem::NoEndpoint,
        AttemptResult::NoneLeft => CallItem::NoneLeft,
        AttemptResult::Condemned => CallItem::Condemned,
        AttemptResult::Unknown | AttemptResult::Answer => {
            CallItem::ended(Outcome::Unknown, "the attempt of a neighbour broke off")
        }
    }
}

/// Waits for `work`, the beginning of a response. Returns none if meanwhile the endpoint becomes
/// unresponsive and the request may be sent to another one.
async fn unless_unresponsive<T>(
    entry: &Entry,
    endpoint: EndpointId,
    repeatable: bool,
    work: impl Future<Output = T>,
) -> Option<T> {
    if !repeatable {
        return Some(work.await);
    }
    let mut work = pin!(work);
    let mut check_at = clock::now() + UNRESPONSIVE_THRESHOLD;
    loop {
        if let Some(done) = entry.timers.timeout_at(check_at, work.as_mut()).await {
            return Some(done);
        }
        let now = clock::now();
        if entry.pool.borrow().is_unresponsive(now, endpoint) {
            return None;
        }
        check_at = now + UNRESPONSIVE_CHECK_INTERVAL;
    }
}

async fn next_event<E>(mut reader: Box<EventStreamReader>) -> (CallItem, Stage<E>) {
    let quiet_since = clock::now();
    let cause = loop {
        if let Some(event) = reader.splitter.next_event() {
            reader.occupancy.record_chunk();
            reader.has_event = true;
            reader.body.passed_on();
            return (CallItem::Event(event), Stage::Reading(reader));
        }
        let limits = &reader.limits;
        let timeout =
            if reader.occupancy.is_responding() { limits.gap_timeout } else { limits.head_timeout };
        let until = (clock::now() + timeout).min(quiet_since + timeout * MAX_PAUSES_WITH_COMMENTS);
        let timers = reader.entry.timers.clone();
        match timers.timeout_at(until, reader.body.data()).await {
            Some(Some(Ok(data))) => reader.splitter.push(&data),
            Some(None) => match end_of_stream(&mut reader).await {
                Ok(remainder) if remainder.is_empty() => return (complete(*reader), Stage::Over),
                Ok(remainder) => {
                    let event = RawEvent { number: None, bytes: remainder };
                    return (CallItem::Event(event), Stage::Complete(reader));
                }
                Err(broken_off) => break broken_off.to_string(),
            },
            Some(Some(Err(error))) => break error.to_string(),
            None => break "the endpoint sent nothing for too long".to_owned(),
        }
    };
    let outcome = reader.attempt.handle(AttemptEvent::Broken).unwrap_or(Outcome::Unknown);
    let progress =
        if reader.occupancy.is_responding() { Progress::Answering } else { Progress::Reading };
    let EventStreamReader { entry, request, sender, .. } = &*reader;
    let item = CallItem::broken(entry, request, sender.endpoint, progress, outcome, cause).await;
    (item, Stage::Over)
}

/// Returns the bytes after the last event of a stream whose bytes have ended.
async fn end_of_stream(reader: &mut EventStreamReader) -> Result<Bytes, BrokenOff> {
    let remainder = std::mem::take(&mut reader.splitter).into_remainder();
    let has_event =
        reader.has_event || remainder.as_ref().is_some_and(|bytes| events::has_event(bytes));
    let received = match remainder {
        None => Received::PartOfEvent,
        Some(_) if !has_event && !reader.may_be_empty => Received::NoEvent,
        Some(_) => Received::All,
    };
    let framing = reader.body.framing();
    answer_end::check(&reader.entry, reader.sender, framing, received).await?;
    Ok(remainder.unwrap_or_default())
}

fn complete(reader: EventStreamReader) -> CallItem {
    let EventStreamReader { entry, addr, body, mut attempt, mut occupancy, .. } = reader;
    occupancy.mark_complete();
    let outcome = attempt.handle(AttemptEvent::End).unwrap_or(Outcome::Done);
    entry.connections.release(addr, body);
    CallItem::ended(outcome, "")
}

/// Reads a complete response if it fits into the limit; otherwise forwards its rest as it arrives.
async fn read_response<E: EndpointProtocol>(
    entry: Rc<Entry>,
    protocol: &E,
    request: &Rc<CallRequest>,
    sender: Sender,
    started: StartedResponse,
    time_left: Duration,
) -> CallItem {
    let addr = entry.address(sender.endpoint);
    let StartedResponse { response, mut attempt } = started;
    let (mut head, mut body) = response.into_parts();
    let mut buffered = BytesMut::new();
    let limit = entry.settings.limits.answer_bytes;
    let cause = match body.read_into(&mut buffered, limit).await {
        Ok(true) => match check_whole(&entry, sender, &head, &buffered, &body).await {
            Ok(()) => {
                protocol.prepare_headers(&mut head.headers);
                entry.connections.release(addr, body);
                let body = ResponseBody::full(buffered.freeze());
                return CallItem::Response(Response::from_parts(head, body));
            }
            Err(broken_off) => broken_off.to_string(),
        },
        Ok(false) => {
            protocol.prepare_headers(&mut head.headers);
            let is_success = head.status.is_success();
            let request = Rc::clone(request);
            let body = forward_rest(entry, request, sender, is_success, buffered, body, time_left);
            return CallItem::Response(Response::from_parts(head, body));
        }
        Err(error) => error.to_string(),
    };
    let outcome = attempt.handle(AttemptEvent::Broken).unwrap_or(Outcome::Unknown);
    let progress = if buffered.is_empty() { Progress::Reading } else { Progress::Answering };
    CallItem::broken(&entry, request, sender.endpoint, progress, outcome, cause).await
}

/// Checks that a response whose bytes have all arrived is complete.
async fn check_whole(
    entry: &Entry,
    sender: Sender,
    head: &response::Parts,
    bytes: &[u8],
    body: &ConnectionBody,
) -> Result<(), BrokenOff> {
    let is_stream = events::declares_event_stream(&head.headers);
    let received = if is_stream && events::is_inside_event(bytes) {
        Received::PartOfEvent
    } else {
        Received::All
    };
    answer_end::check(entry, sender, body.framing(), received).await
}

/// Checks that a body whose bytes have ended is complete.
async fn check_end(entry: &Entry, sender: Sender, body: &ConnectionBody) -> Result<(), BrokenOff> {
    answer_end::check(entry, sender, body.framing(), Received::All).await
}

/// Forwards the rest of a long response at the speed of the caller. The endpoint may take `patience`
/// for it, beside the time that the caller takes.
fn forward_rest(
    entry: Rc<Entry>,
    request: Rc<CallRequest>,
    sender: Sender,
    is_success: bool,
    buffered: BytesMut,
    mut body: ConnectionBody,
    patience: Duration,
) -> ResponseBody {
    let (tx, rx) = outbox_within(&entry.connections.bounds().queue);
    tx.begin(buffered);
    body.passed_on();
    compio::runtime::spawn(async move {
        let end = match copy_body(&entry, &tx, &mut body, patience).await {
            CopyEnd::EndOfBody => check_end(&entry, sender, &body).await.map_err(|e| e.to_string()),
            CopyEnd::Broken(cause) => Err(cause),
            CopyEnd::CallerGone => return,
        };
        match end {
            Ok(()) => {
                tx.finish();
                entry.connections.release(entry.address(sender.endpoint), body);
                if is_success {
                    quarantine::clear_request(&entry, &request);
                }
            }
            Err(cause) => {
                drop(tx);
                record_broken_rest(&entry, &request, sender, &cause).await;
            }
        }
    })
    .detach();
    ResponseBody::Streamed(rx)
}

/// Records that a long response broke off after its attempt had counted as answered.
async fn record_broken_rest(entry: &Entry, request: &CallRequest, sender: Sender, cause: &str) {
    let Sender { endpoint, born } = sender;
    let spec = entry.pool.borrow().get(endpoint).spec.clone();
    Line::new("long_answer_broken_off")
        .with("request", &request.id)
        .with("replica", &spec.name)
        .with("cause", cause)
        .info();
    entry.apply_event(endpoint, EndpointEvent::Failed);
    if !spec.is_neighbour() && exit_check::endpoint_has_exited(entry, &request.id, endpoint).await {
        let incarnation = Incarnation::new(&spec.name, born);
        quarantine::record_exit(entry, endpoint, &incarnation);
        quarantine::record_crash(entry, request, &[(incarnation, Progress::Answering)]);
    }
}

/// How the copy of a body ended.
enum CopyEnd {
    /// The bytes of the body have ended.
    EndOfBody,
    /// The connection broke, or nothing arrived for too long.
    Broken(String),
    /// The caller left or read nothing for too long.
    CallerGone,
}

/// Copies a body into an outbox.
async fn copy_body(
    entry: &Entry,
    tx: &Outbox,
    body: &mut ConnectionBody,
    patience: Duration,
) -> CopyEnd {
    let mut patience = patience;
    loop {
        let until = clock::now() + entry.settings.limits.caller_stall_timeout;
        let capacity = poll_fn(|cx| match tx.poll_closed(cx) {
            Poll::Ready(()) => Poll::Ready(false),
            Poll::Pending => tx.poll_capacity(cx).map(|()| true),
        });
        if entry.timers.timeout_at(until, capacity).await != Some(true) {
            return CopyEnd::CallerGone;
        }
        let waiting_since = clock::now();
        let until = until.min(waiting_since + patience);
        let read = entry.timers.timeout_at(until, body.data()).await;
        patience = patience.saturating_sub(clock::elapsed(waiting_since));
        match read {
            Some(Some(Ok(data))) => {
                tx.push(&data);
                body.passed_on();
            }
            Some(None) => return CopyEnd::EndOfBody,
            Some(Some(Err(error))) => return CopyEnd::Broken(error.to_string()),
            None => return CopyEnd::Broken("the endpoint sent nothing for too long".to_owned()),
        }
    }
}

//! Connection pool for endpoints, and attempts at model engines.
//!
//! Why: which error a caller may get depends on exactly how far an attempt got. [`ConnectionPool`]
//! keeps idle connections to each endpoint and reports every failure as an [`Outcome`]. hyper
//! returns a request that was never written to the connection; besides a failed connect, this is
//! the only case that counts as not sent.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use eventsource_stream::EventStream;
use eventsource_stream::EventStreamError;
use eventsource_stream::Eventsource as _;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream::unfold;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::http::response;
use vaneway_limit::NumberError;
use vaneway_limit::Rate;
use vaneway_relay::Attempt;
use vaneway_relay::AttemptEvent;
use vaneway_relay::Outcome;

use crate::core::endpoints::answer_bounds::AnswerBounds;
use crate::core::endpoints::answer_bounds::Excess;
use crate::core::endpoints::link::Connection;
use crate::core::endpoints::link::ConnectionBody;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::endpoints::link::NoResponse;
use crate::core::endpoints::link::ReadError;
use crate::core::endpoints::link::SharedBody;
use crate::core::endpoints::protocol;
use crate::core::endpoints::protocol::LEAVING_HEADER;
use crate::core::endpoints::protocol::LIMIT_HEADER;
use crate::core::endpoints::response_owner::ResponseOwner;
use crate::core::settings::Limits;
use crate::util::clock;
use crate::util::socket;
use crate::util::timers::Timers;

/// Maximum time to open a connection: far more than a round trip between regions. TCP resends a
/// lost SYN only after a second, and trying another endpoint is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a reply from the peer's operating system after which a connection on which data
/// should arrive is closed: longer than the second or so for which a sound endpoint may be silent.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a connection has rested before a request that may run once is sent over it. An
/// endpoint may close a connection after a response without announcing it, and its close arrives
/// after the response.
pub const MIN_REST: Duration = Duration::from_millis(100);

/// Maximum idle connections kept for one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Maximum time to wait for the end of a body after its last event; a connection that takes longer
/// is not reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(10);

/// Why an attempt ends at a surplus response.
pub const OF_EARLIER_REQUEST: &str = "the response belongs to an earlier request on the connection";

/// Maximum bytes of an engine's error response that are forwarded.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Why an attempt ended without a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendError {
    /// What is known about the request's execution.
    pub outcome: Outcome,
    /// Description of the error, for the log.
    pub cause: String,
    /// Whether the endpoint's address refused the connection, because nothing listens there.
    pub is_down: bool,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt ended as {}: {}", self.outcome.name(), self.cause)
    }
}

impl std::error::Error for SendError {}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct StartedResponse {
    /// The response. After its body has been read to the end, [`ConnectionPool::release`] returns
    /// the connection to the pool.
    pub response: Response<ConnectionBody>,
    /// The state of the attempt.
    pub attempt: Attempt,
}

/// Which idle connections a request may be sent over; without one, a new connection is opened.
///
/// The endpoint may be closing an idle connection at this moment, which would needlessly leave the
/// outcome of a request that may run once unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any: the request can be repeated.
    Any,
    /// Those that have rested so long that a close which followed the last response has arrived, and
    /// whose endpoint returns the ids of requests, so that the response can be told from others.
    Rested,
    /// None.
    Never,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// When its last response ended.
    since: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// The latest used ones last.
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    reset_on_close: bool,
    bounds: Rc<AnswerBounds>,
}

impl ConnectionPool {
    /// Creates a pool whose answers have the bounds that settings state.
    pub fn with_limits(limits: &Limits) -> Self {
        Self { bounds: AnswerBounds::of(limits), ..Self::default() }
    }

    /// Creates a pool whose connections are reset when they are closed, so that data that was
    /// written but has not arrived, for example because of a network partition, never arrives.
    pub fn reset_on_close() -> Self {
        Self { reset_on_close: true, ..Self::default() }
    }

    /// The bounds of answers.
    pub fn bounds(&self) -> &Rc<AnswerBounds> {
        &self.bounds
    }

    /// Sends `req` to `addr` and waits for the head of the response until `head_deadline`.
    ///
    /// # Errors
    ///
    /// [`SendError`], whose outcome says whether the endpoint may have run the request.
    pub async fn send(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        req: EndpointRequest,
        reuse: Reuse,
        head_deadline: Instant,
    ) -> Result<StartedResponse, SendError> {
        let mut req = req;
        let mut reuse = reuse;
        loop {
            let mut attempt = Attempt::new();
            let idle = self.take_idle(addr, reuse, req.headers());
            let reused = idle.is_some();
            let connection = match idle {
                Some(connection) => connection,
                None => self.open(timers, addr, &mut attempt).await?,
            };
            attempt.handle(AttemptEvent::Written);
            let sent = timers.timeout_at(head_deadline, connection.send(req)).await;
            match sent {
                Some(Ok(response)) => {
                    attempt.handle(AttemptEvent::Head);
                    return Ok(StartedResponse { response, attempt });
                }
                Some(Err(NoResponse { error, unsent })) => match unsent {
                    // The endpoint closed the idle connection: retry on a new one.
                    Some(returned) if reused => {
                        req = returned;
                        reuse = Reuse::Never;
                    }
                    returned => {
                        let event = match returned {
                            Some(_) => AttemptEvent::Returned,
                            None => AttemptEvent::Broken,
                        };
                        return Err(ended(&mut attempt, event, error));
                    }
                },
                None => {
                    let cause = "timed out waiting for the response head";
                    return Err(ended(&mut attempt, AttemptEvent::Broken, cause));
                }
            }
        }
    }

    /// Sends a small repeatable request and reads its complete response, with a body of at most
    /// `limit` bytes, until `until`.
    ///
    /// # Errors
    ///
    /// [`SendError`] if no complete response arrives.
    pub async fn exchange(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        req: EndpointRequest,
        limit: usize,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let (head, body) = self.exchange_head(timers, addr, req, limit, until).await?;
        Ok((head.status, body))
    }

    /// Like [`ConnectionPool::exchange`], but returns the complete head of the response.
    ///
    /// # Errors
    ///
    /// As [`ConnectionPool::exchange`].
    pub async fn exchange_head(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        req: EndpointRequest,
        limit: usize,
        until: Instant,
    ) -> Result<(response::Parts, Bytes), SendError> {
        let StartedResponse { response, mut attempt } =
            self.send(timers, addr, req, Reuse::Any, until).await?;
        let (head, mut body) = response.into_parts();
        if body.owner() == ResponseOwner::Earlier {
            return Err(ended(&mut attempt, AttemptEvent::Broken, OF_EARLIER_REQUEST));
        }
        let mut buffer = BytesMut::new();
        let cause = match timers.timeout_at(until, body.read_into(&mut buffer, limit)).await {
            Some(Ok(true)) => {
                self.release(addr, body);
                return Ok((head, buffer.freeze()));
            }
            Some(Ok(false)) => "response body exceeds the size limit".to_owned(),
            Some(Err(error)) => error.to_string(),
            None => "timed out waiting for the end of the response".to_owned(),
        };
        Err(ended(&mut attempt, AttemptEvent::Broken, cause))
    }

    async fn open(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        attempt: &mut Attempt,
    ) -> Result<Connection, SendError> {
        let stream = socket::connect_timeout(timers, addr, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|error| {
            let is_down = error.kind() == ErrorKind::ConnectionRefused;
            SendError { is_down, ..ended(attempt, AttemptEvent::Returned, error) }
        })?;
        if let Err(error) = stream.set_peer_timeout(PEER_TIMEOUT) {
            return Err(ended(attempt, AttemptEvent::Returned, error));
        }
        if self.reset_on_close
            && let Err(error) = stream.reset_on_close()
        {
            return Err(ended(attempt, AttemptEvent::Returned, error));
        }
        Connection::open(stream, &self.bounds)
            .await
            .map_err(|error| ended(attempt, AttemptEvent::Returned, error))
    }

    /// Takes the latest used idle connection that a request with these headers may be sent over.
    fn take_idle(&self, addr: SocketAddr, reuse: Reuse, headers: &HeaderMap) -> Option<Connection> {
        let min_rest = match reuse {
            Reuse::Any => Duration::ZERO,
            Reuse::Rested => MIN_REST,
            Reuse::Never => return None,
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        let must_return_ids = reuse == Reuse::Rested;
        let is_usable = |idle: &IdleConnection| {
            let requests = idle.connection.requests();
            clock::elapsed(idle.since) >= min_rest
                && requests.accepts(headers)
                && (requests.return_ids() || !must_return_ids)
        };
        while let Some(latest) = connections.iter().rposition(is_usable) {
            let mut connection = connections.remove(latest).connection;
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response has been read to the end, unless that was
    /// the end of the connection.
    pub fn release(&self, addr: SocketAddr, body: ConnectionBody) {
        if !body.framing().shows_end() {
            return;
        }
        let released = IdleConnection { connection: body.into_connection(), since: clock::now() };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(released);
        }
    }

    /// Returns a connection to the pool after a refusal, if the refusal's body ends within
    /// `BODY_END_TIMEOUT`.
    pub async fn release_refused(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        mut body: ConnectionBody,
    ) {
        let mut buffer = BytesMut::new();
        let read = body.read_into(&mut buffer, MAX_ERROR_BYTES);
        let read = timers.timeout_at(clock::now() + BODY_END_TIMEOUT, read).await;
        if matches!(read, Some(Ok(true))) {
            self.release(addr, body);
        }
    }

    /// The number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the idle connections to an address, because its endpoint is gone.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}

/// Applies the event that ends an attempt, and returns the resulting error.
fn ended(attempt: &mut Attempt, event: AttemptEvent, cause: impl fmt::Display) -> SendError {
    let outcome = attempt.handle(event).unwrap_or(Outcome::Unknown);
    SendError { outcome, cause: cause.to_string(), is_down: false }
}

/// An item of the stream of one attempt at a model engine.
#[derive(Debug)]
pub enum AttemptItem {
    /// The engine accepted the request.
    Head {
        /// The limit that it advertises, if any.
        limit: Result<Option<Rate>, NumberError>,
        /// Whether it announces that it is leaving.
        leaving: bool,
    },
    /// One server-sent event.
    Data {
        /// The event's id, the token offset.
        id: String,
        /// The event's data, a chunk.
        data: String,
    },
    /// The engine responded with an error that a retry would not resolve.
    Rejected {
        /// The response's status.
        status: StatusCode,
        /// The response's body.
        body: Bytes,
    },
    /// The engine did not run the request.
    Refused {
        /// The response's status.
        status: StatusCode,
        /// The response's headers.
        headers: HeaderMap,
        /// Description of the refusal, for the log.
        cause: String,
    },
    /// The engine sent more than was asked for.
    Overran {
        /// Description of the error, for the log.
        cause: String,
    },
    /// The attempt ended.
    Ended {
        /// What is known about the request's execution.
        outcome: Outcome,
        /// Description of the error, for the log; empty if the attempt is complete.
        cause: String,
    },
}

/// Parameters of [`model_attempt`].
#[derive(Debug)]
pub struct ModelAttempt<C> {
    /// The connection pool.
    pub connections: C,
    /// The timer service.
    pub timers: Timers,
    /// The endpoint's address.
    pub addr: SocketAddr,
    /// The request.
    pub req: EndpointRequest,
    /// Which idle connections it may be sent over.
    pub reuse: Reuse,
    /// Maximum time between two events before the attempt counts as broken.
    pub stall_timeout: Duration,
    /// Deadline for the head of the response.
    pub head_deadline: Instant,
    /// Tokens that were asked for; none if no maximum was stated.
    pub max_tokens: Option<u32>,
}

type Events = EventStream<SharedBody>;

enum Stage<C> {
    Sending(Box<ModelAttempt<C>>),
    Reading(Box<Reading<C>>),
    Over,
}

struct Reading<C> {
    connections: C,
    timers: Timers,
    addr: SocketAddr,
    stall_timeout: Duration,
    body: SharedBody,
    attempt: Attempt,
    events: Events,
}

/// Runs one attempt at a model engine and returns the stream of its items. Dropping the stream
/// closes the connection unless the response was read to the end.
pub fn model_attempt<C>(attempt: ModelAttempt<C>) -> impl Stream<Item = AttemptItem>
where
    C: std::ops::Deref<Target = ConnectionPool>,
{
    unfold(Stage::Sending(Box::new(attempt)), |stage| async move {
        match stage {
            // Boxed, so that its memory is freed before the response body is read.
            Stage::Sending(attempt) => Some(Box::pin(start(*attempt)).await),
            Stage::Reading(reading) => Some(next_event(reading).await),
            Stage::Over => None,
        }
    })
}

async fn start<C>(attempt: ModelAttempt<C>) -> (AttemptItem, Stage<C>)
where
    C: std::ops::Deref<Target = ConnectionPool>,
{
    let ModelAttempt {
        connections,
        timers,
        addr,
        req,
        reuse,
        stall_timeout,
        head_deadline,
        max_tokens,
    } = attempt;
    let sent = connections.send(&timers, addr, req, reuse, head_deadline).await;
    let started = match sent {
        Ok(started) => started,
        Err(SendError { outcome, cause, .. }) => {
            return (AttemptItem::Ended { outcome, cause }, Stage::Over);
        }
    };
    let StartedResponse { response, mut attempt } = started;
    if response.body().owner() == ResponseOwner::Earlier {
        let SendError { outcome, cause, .. } =
            ended(&mut attempt, AttemptEvent::Broken, OF_EARLIER_REQUEST);
        return (AttemptItem::Ended { outcome, cause }, Stage::Over);
    }
    let status = response.status();
    let limit = protocol::parse_limit(response.headers(), &LIMIT_HEADER);
    let leaving = protocol::has_flag(response.headers(), &LEAVING_HEADER);
    let (head, mut body) = response.into_parts();
    if status == StatusCode::OK {
        body.expect_tokens(max_tokens);
        let body = SharedBody::new(body);
        let events = body.clone().eventsource();
        let reading = Reading { connections, timers, addr, stall_timeout, body, attempt, events };
        return (AttemptItem::Head { limit, leaving }, Stage::Reading(Box::new(reading)));
    }
    let mut buffer = BytesMut::new();
    let read = body.read_into(&mut buffer, MAX_ERROR_BYTES);
    let read = timers.timeout_at(clock::now() + stall_timeout, read).await;
    // Engines frame their errors, so one that ends with its connection has broken off.
    let is_complete = matches!(read, Some(Ok(true))) && body.framing().shows_end();
    if is_complete {
        connections.release(addr, body);
    }
    (engine_error(&mut attempt, head, is_complete.then(|| buffer.freeze())), Stage::Over)
}

/// Classifies an engine's error response by the engine protocol of docs/INTERFACES.md; `body` is none
/// unless it arrived completely. Overload, a lost state and a stopping engine are refusals; an engine
/// fault leaves the outcome unknown; any other error is the response to the request itself.
fn engine_error(attempt: &mut Attempt, head: response::Parts, body: Option<Bytes>) -> AttemptItem {
    let response::Parts { status, headers, .. } = head;
    let part = if body.is_some() { "" } else { " and a part of its body" };
    let cause = format!("engine responded with status {}{part}", status.as_u16());
    match (status, body) {
        (
            StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE,
            _,
        ) => AttemptItem::Refused { status, headers, cause },
        (_, Some(body)) if status.is_client_error() => AttemptItem::Rejected { status, body },
        _ => {
            let SendError { outcome, cause, .. } = ended(attempt, AttemptEvent::Broken, cause);
            AttemptItem::Ended { outcome, cause }
        }
    }
}

async fn next_event<C>(mut reading: Box<Reading<C>>) -> (AttemptItem, Stage<C>)
where
    C: std::ops::Deref<Target = ConnectionPool>,
{
    let until = clock::now() + reading.stall_timeout;
    let broken = match reading.timers.timeout_at(until, reading.events.next()).await {
        Some(Some(Ok(event))) if event.data == "[DONE]" => {
            return (finish(*reading).await, Stage::Over);
        }
        Some(Some(Ok(event))) => {
            reading.body.passed_on();
            let item = AttemptItem::Data { id: event.id, data: event.data };
            return (item, Stage::Reading(reading));
        }
        Some(Some(Err(EventStreamError::Transport(ReadError::TooLong(Excess::Body))))) => {
            return (AttemptItem::Overran { cause: Excess::Body.to_string() }, Stage::Over);
        }
        Some(Some(Err(error))) => error.to_string(),
        Some(None) => "event stream ended before its last event".to_owned(),
        None => "no event from the engine within the stall timeout".to_owned(),
    };
    let SendError { outcome, cause, .. } =
        ended(&mut reading.attempt, AttemptEvent::Broken, broken);
    (AttemptItem::Ended { outcome, cause }, Stage::Over)
}

/// Ends an attempt whose last event has arrived. The connection is reused only if the body ends
/// within `BODY_END_TIMEOUT`.
async fn finish<C>(reading: Reading<C>) -> AttemptItem
where
    C: std::ops::Deref<Target = ConnectionPool>,
{
    let Reading { connections, timers, addr, body, mut attempt, mut events, .. } = reading;
    let outcome = attempt.handle(AttemptEvent::End).unwrap_or(Outcome::Done);
    let until = clock::now() + BODY_END_TIMEOUT;
    let ended = timers.timeout_at(until, events.next()).await;
    drop(events);
    if let (Some(None), Some(body)) = (ended, body.into_body()) {
        connections.release(addr, body);
    }
    AttemptItem::Ended { outcome, cause: String::new() }
}

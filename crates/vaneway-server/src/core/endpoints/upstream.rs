//! Connections to endpoints and attempts over them.
//!
//! Why: what may be told to a caller depends on exactly how far an attempt got. [`ConnectionPool`]
//! keeps idle connections for each endpoint and reports every failure as an
//! [`Outcome`]: hyper hands a request back if it never reached the
//! connection, which is the only case besides a failed connect that counts as not sent.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use eventsource_stream::EventStream;
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

use crate::core::endpoints::link::Connection;
use crate::core::endpoints::link::ConnectionBody;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::endpoints::link::SharedBody;
use crate::core::endpoints::protocol;
use crate::core::endpoints::protocol::LEAVING_HEADER;
use crate::core::endpoints::protocol::LIMIT_HEADER;
use crate::util::clock;
use crate::util::socket;
use crate::util::timers::Timers;

/// Longest wait for a connection to open: far more than a crossing of regions takes. An opening
/// packet that is lost is sent again only after a second, and another endpoint is asked sooner.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);

/// Silence after which a connection on which something should arrive is given up: above what a
/// packet that was lost and sent again takes.
const SILENCE_MOST: Duration = Duration::from_secs(1);

/// Most idle connections kept for one endpoint.
const IDLE_MOST: usize = 64;

/// Longest wait for the end of a body after its last event; a connection that takes longer is
/// not kept.
const END_WITHIN: Duration = Duration::from_millis(10);

/// Most bytes of an engine's error that are passed on.
const ERROR_BYTES_MOST: usize = 64 << 10;

/// Why an attempt ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendError {
    /// What is known of the attempt.
    pub outcome: Outcome,
    /// What happened, for the log.
    pub cause: String,
    /// Whether nothing listens at the endpoint's address.
    pub is_down: bool,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt ended as {}: {}", self.outcome.name(), self.cause)
    }
}

impl std::error::Error for SendError {}

/// An answer that has begun.
#[derive(Debug)]
pub struct StartedResponse {
    /// The answer. Once its body was read to the end, [`ConnectionPool::release`] takes the connection
    /// back.
    pub response: Response<ConnectionBody>,
    /// Where the attempt stands.
    pub attempt: Attempt,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
    reset_on_close: bool,
}

impl ConnectionPool {
    /// Connections that are reset when they are closed, so that what was written and has not
    /// arrived, for example because the network is cut, never will.
    pub fn reset_on_close() -> Self {
        Self { idle: RefCell::default(), reset_on_close: true }
    }

    /// Sends `req` to `addr` and waits for the head of the answer until `head_deadline`.
    ///
    /// With `new_connection`, no idle connection is used: the endpoint may be closing it at this moment,
    /// which would leave the outcome of a call that may not be repeated unknown for no good
    /// reason.
    ///
    /// # Errors
    ///
    /// [`SendError`] says whether the endpoint may have run the request.
    pub async fn send(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        req: EndpointRequest,
        new_connection: bool,
        head_deadline: Instant,
    ) -> Result<StartedResponse, SendError> {
        let mut req = req;
        let mut new_connection = new_connection;
        loop {
            let mut attempt = Attempt::new();
            let idle = if new_connection { None } else { self.take(addr) };
            let reused = idle.is_some();
            let link = match idle {
                Some(link) => link,
                None => self.open(timers, addr, &mut attempt).await?,
            };
            attempt.handle(AttemptEvent::Written);
            let sent = timers.timeout_at(head_deadline, link.send(req)).await;
            match sent {
                Some(Ok(response)) => {
                    attempt.handle(AttemptEvent::Head);
                    return Ok(StartedResponse { response, attempt });
                }
                Some(Err(mut error)) => match error.take_message() {
                    // The endpoint closed an idle connection: try once more on a new one.
                    Some(returned) if reused => {
                        req = returned;
                        new_connection = true;
                    }
                    returned => {
                        let event = match returned {
                            Some(_) => AttemptEvent::Returned,
                            None => AttemptEvent::Broken,
                        };
                        return Err(ended(&mut attempt, event, error.error()));
                    }
                },
                None => {
                    let cause = "no answer within the time allowed";
                    return Err(ended(&mut attempt, AttemptEvent::Broken, cause));
                }
            }
        }
    }

    /// Sends a small request that may be repeated and reads its whole answer, of at most `limit`
    /// bytes, until `until`.
    ///
    /// # Errors
    ///
    /// [`SendError`] if no whole answer came.
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

    /// Like [`ConnectionPool::exchange`], with the whole head of the answer.
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
            self.send(timers, addr, req, false, until).await?;
        let (head, mut body) = response.into_parts();
        let mut held = BytesMut::new();
        let cause = match timers.timeout_at(until, body.read_into(&mut held, limit)).await {
            Some(Ok(true)) => {
                self.release(addr, body);
                return Ok((head, held.freeze()));
            }
            Some(Ok(false)) => "the answer is too long".to_owned(),
            Some(Err(error)) => error.to_string(),
            None => "the answer did not end in time".to_owned(),
        };
        Err(ended(&mut attempt, AttemptEvent::Broken, cause))
    }

    async fn open(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        attempt: &mut Attempt,
    ) -> Result<Connection, SendError> {
        let stream = socket::connect_timeout(timers, addr, CONNECT_WITHIN).await;
        let stream = stream.map_err(|error| {
            let is_down = error.kind() == ErrorKind::ConnectionRefused;
            SendError { is_down, ..ended(attempt, AttemptEvent::Returned, error) }
        })?;
        if let Err(error) = stream.set_peer_timeout(SILENCE_MOST) {
            return Err(ended(attempt, AttemptEvent::Returned, error));
        }
        if self.reset_on_close
            && let Err(error) = stream.reset_on_close()
        {
            return Err(ended(attempt, AttemptEvent::Returned, error));
        }
        Connection::open(stream)
            .await
            .map_err(|error| ended(attempt, AttemptEvent::Returned, error))
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&addr)?;
        while let Some(mut link) = links.pop() {
            if link.is_ready() {
                return Some(link);
            }
        }
        None
    }

    /// Takes a connection back after its answer was read to the end.
    pub fn release(&self, addr: SocketAddr, body: ConnectionBody) {
        let link = body.into_connection();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(addr).or_default();
        if links.len() < IDLE_MOST {
            links.push(link);
        }
    }

    /// Takes a connection back after a refusal, if its body ends soon.
    pub async fn release_refused(
        &self,
        timers: &Timers,
        addr: SocketAddr,
        mut body: ConnectionBody,
    ) {
        let mut held = BytesMut::new();
        let read = body.read_into(&mut held, ERROR_BYTES_MOST);
        let read = timers.timeout_at(clock::now() + END_WITHIN, read).await;
        if matches!(read, Some(Ok(true))) {
            self.release(addr, body);
        }
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the idle connections to an endpoint that is gone.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}

fn ended(attempt: &mut Attempt, event: AttemptEvent, cause: impl fmt::Display) -> SendError {
    let outcome = attempt.handle(event).unwrap_or(Outcome::Unknown);
    SendError { outcome, cause: cause.to_string(), is_down: false }
}

/// What an attempt at a model engine brings.
#[derive(Debug)]
pub enum AttemptItem {
    /// The engine accepted the request.
    Head {
        /// Requests a second that it takes from all entry boxes together, if it names that.
        limit: Result<Option<Rate>, NumberError>,
        /// Whether it says that it leaves.
        leaving: bool,
    },
    /// One server-sent event.
    Data {
        /// The event's id, the token offset.
        id: String,
        /// The event's data, a chunk.
        data: String,
    },
    /// The engine answered with an error that another attempt can't mend.
    Rejected {
        /// The answer's status.
        status: StatusCode,
        /// The answer's body.
        body: Bytes,
    },
    /// The engine did not run the request.
    Refused {
        /// The answer's status.
        status: StatusCode,
        /// The answer's headers.
        headers: HeaderMap,
        /// What happened, for the log.
        cause: String,
    },
    /// The attempt ended.
    Ended {
        /// What is known of it.
        outcome: Outcome,
        /// What happened, for the log.
        cause: String,
    },
}

/// What [`model_attempt`] needs.
#[derive(Debug)]
pub struct ModelAttempt<C> {
    /// The connections to use.
    pub connections: C,
    /// The timer service.
    pub timers: Timers,
    /// The endpoint's address.
    pub addr: SocketAddr,
    /// The request.
    pub req: EndpointRequest,
    /// Whether to open a new connection.
    pub new_connection: bool,
    /// Longest silence before the attempt counts as broken.
    pub stall_timeout: Duration,
    /// When the first sign of an answer must be there.
    pub head_deadline: Instant,
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

/// One attempt at a model engine, as a stream of what it brings. Dropping it closes the
/// connection unless the answer was read to the end.
pub fn model_attempt<C>(attempt: ModelAttempt<C>) -> impl Stream<Item = AttemptItem>
where
    C: std::ops::Deref<Target = ConnectionPool>,
{
    unfold(Stage::Sending(Box::new(attempt)), |stage| async move {
        match stage {
            // Boxed, so that its memory is free while the answer is read.
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
        new_connection,
        stall_timeout,
        head_deadline,
    } = attempt;
    let sent = connections.send(&timers, addr, req, new_connection, head_deadline).await;
    let answered = match sent {
        Ok(answered) => answered,
        Err(SendError { outcome, cause, .. }) => {
            return (AttemptItem::Ended { outcome, cause }, Stage::Over);
        }
    };
    let StartedResponse { response, mut attempt } = answered;
    let status = response.status();
    let limit = protocol::parse_limit(response.headers(), &LIMIT_HEADER);
    let leaving = protocol::has_flag(response.headers(), &LEAVING_HEADER);
    let (head, mut body) = response.into_parts();
    if status == StatusCode::OK {
        let body = SharedBody::new(body);
        let events = body.clone().eventsource();
        let reading = Reading { connections, timers, addr, stall_timeout, body, attempt, events };
        return (AttemptItem::Head { limit, leaving }, Stage::Reading(Box::new(reading)));
    }
    let mut held = BytesMut::new();
    let read = body.read_into(&mut held, ERROR_BYTES_MOST);
    if let Some(Ok(true)) = timers.timeout_at(clock::now() + stall_timeout, read).await {
        connections.release(addr, body);
    }
    (engine_error(&mut attempt, head, held.freeze()), Stage::Over)
}

/// What an engine's error means, by the engine protocol of docs/INTERFACES.md: overload, a lost
/// state and a stopping engine are refusals; a fault in the engine leaves the outcome unknown;
/// everything else is an answer to the request itself.
fn engine_error(attempt: &mut Attempt, head: response::Parts, body: Bytes) -> AttemptItem {
    let response::Parts { status, headers, .. } = head;
    let cause = format!("the engine answered {}", status.as_u16());
    match status {
        StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AttemptItem::Refused { status, headers, cause }
        }
        _ if status.is_client_error() => AttemptItem::Rejected { status, body },
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
            let item = AttemptItem::Data { id: event.id, data: event.data };
            return (item, Stage::Reading(reading));
        }
        Some(Some(Err(error))) => error.to_string(),
        Some(None) => "the stream ended before its last event".to_owned(),
        None => "the engine was silent for too long".to_owned(),
    };
    let SendError { outcome, cause, .. } =
        ended(&mut reading.attempt, AttemptEvent::Broken, broken);
    (AttemptItem::Ended { outcome, cause }, Stage::Over)
}

/// Ends an attempt whose last event arrived. The connection is kept only if the body ends there.
async fn finish<C>(reading: Reading<C>) -> AttemptItem
where
    C: std::ops::Deref<Target = ConnectionPool>,
{
    let Reading { connections, timers, addr, body, mut attempt, mut events, .. } = reading;
    let outcome = attempt.handle(AttemptEvent::End).unwrap_or(Outcome::Done);
    let soon = clock::now() + END_WITHIN;
    let ended = timers.timeout_at(soon, events.next()).await;
    drop(events);
    if let (Some(None), Some(body)) = (ended, body.into_body()) {
        connections.release(addr, body);
    }
    AttemptItem::Ended { outcome, cause: String::new() }
}

//! An HTTP connection to an endpoint that is polled by its user, not by a separate task.
//!
//! Why: hyper passes a body on one chunk at a time, so a task between the socket and the reader
//! costs two task switches and, further down, one write to the caller for each chunk. Polled in
//! place, all chunks of one read arrive in one poll and are forwarded in one write. Measurements of
//! both are in docs/EXPERIMENTS.md.
//!
//! Data flow: [`Connection::send`] writes a request, skips surplus responses to earlier ones and
//! returns the head of the response with a [`ConnectionBody`]. Polling the body drives the
//! connection. After the end of the body, [`ConnectionBody::into_connection`] returns the connection
//! for the next request. Dropping either closes the connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use http_body::Body as _;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::header::CONNECTION;
use hyper::http::response;

use crate::core::endpoints::answer_bounds::AnswerBounds;
use crate::core::endpoints::answer_bounds::AnswerMeter;
use crate::core::endpoints::answer_bounds::Excess;
use crate::core::endpoints::framing::Framing;
use crate::core::endpoints::replay_stream::ReplayStream;
use crate::core::endpoints::response_owner::ConnectionRequests;
use crate::core::endpoints::response_owner::REQUEST_ID;
use crate::core::endpoints::response_owner::ResponseOwner;
use crate::util::allowance::Allowance;
use crate::util::logline::Line;
use crate::util::socket::SocketStream;

/// A request as it is sent to an endpoint.
pub type EndpointRequest = Request<Full<Bytes>>;

/// Size of a connection's read buffer: dozens of tokens, and half of hyper's default.
const READ_BYTES: usize = 4_096;

/// Maximum number of surplus responses that are skipped before the response to a request.
const MAX_SKIPPED: u32 = 4;

/// Maximum bytes of the body of a surplus response that is skipped.
const MAX_SKIPPED_BYTES: usize = 64 << 10;

type HttpConnection = http1::Connection<ReplayStream, Full<Bytes>>;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Future that performs the connection's I/O.
    driver: Pin<Box<HttpConnection>>,
    /// Whether `driver` has completed.
    closed: bool,
    /// Whether the last read of the socket found no data.
    drained: Rc<Cell<bool>>,
    /// The bytes without data that may still be read.
    allowance: Rc<Allowance>,
    bounds: Rc<AnswerBounds>,
    /// Bytes of the latest request that were written.
    sent: Rc<Cell<usize>>,
    requests: ConnectionRequests,
}

/// Why a body can't be read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// The connection broke, or what arrived is no answer.
    Broken(hyper::Error),
    /// The answer exceeds a bound.
    TooLong(Excess),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::TooLong(excess) => excess.fmt(f),
        }
    }
}

impl std::error::Error for ReadError {}

impl Connection {
    /// Creates an HTTP connection on a connected socket, whose answers have these bounds.
    ///
    /// # Errors
    ///
    /// If hyper's handshake fails.
    pub async fn open(mut stream: SocketStream, bounds: &Rc<AnswerBounds>) -> hyper::Result<Self> {
        let allowance = stream.bound_reads();
        let drained = stream.drained();
        let stream = ReplayStream::new(stream);
        let sent = stream.sent();
        let (sender, driver) = handshake(stream).await?;
        Ok(Self {
            sender,
            driver,
            closed: false,
            drained,
            allowance,
            bounds: Rc::clone(bounds),
            sent,
            requests: ConnectionRequests::default(),
        })
    }

    /// Whether another request can be sent. Reads the socket, to detect that the endpoint closed
    /// the idle connection before a request is lost on it, though the event loop has not run since.
    pub fn is_ready(&mut self) -> bool {
        self.drained.set(false);
        self.allowance.grant_head(self.bounds.head_bytes);
        self.drive(&mut Context::from_waker(Waker::noop()));
        !self.closed && self.sender.is_ready()
    }

    /// The requests that it has carried.
    pub fn requests(&self) -> &ConnectionRequests {
        &self.requests
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        if !self.closed && self.driver.as_mut().poll(cx).is_ready() {
            self.closed = true;
        }
    }

    /// Sends a request and waits for the head of the response. Surplus responses to earlier requests
    /// are skipped, since the response to this one follows them; one that can't be skipped is returned.
    ///
    /// # Errors
    ///
    /// [`NoResponse`], which contains the request if none of it was written.
    pub async fn send(
        mut self,
        req: EndpointRequest,
    ) -> Result<Response<ConnectionBody>, NoResponse> {
        let method = req.method().clone();
        self.requests.begin(&method, req.headers());
        self.sent.set(0);
        let copy = self.requests.may_have_surplus().then(|| req.clone());
        let mut response = self.transfer(req).await.map_err(NoResponse::of)?;
        let mut skipped = 0;
        loop {
            let (head, body) = response.into_parts();
            let framing = Framing::of(&method, &head);
            let owner = self.requests.owner(&head.headers);
            self.allowance.grant_body();
            let meter = self.bounds.meter();
            let mut body = ConnectionBody { connection: self, body, framing, owner, meter };
            let Some(copy) = copy.as_ref().filter(|_| owner == ResponseOwner::Earlier) else {
                return Ok(Response::from_parts(head, body));
            };
            let is_skipped = skipped < MAX_SKIPPED && skip(&head, &mut body).await;
            log_surplus(copy, &head, is_skipped);
            if !is_skipped {
                return Ok(Response::from_parts(head, body));
            }
            skipped += 1;
            self = body.connection.for_replay().await.map_err(NoResponse::after_sending)?;
            let next = self.transfer(copy.clone()).await;
            response = next.map_err(|error| NoResponse::after_sending(error.into_error()))?;
        }
    }

    /// Hands a request to the HTTP connection and waits for the head of the first response.
    async fn transfer(
        &mut self,
        req: EndpointRequest,
    ) -> Result<Response<Incoming>, TrySendError<EndpointRequest>> {
        self.allowance.grant_head(self.bounds.head_bytes);
        let response = self.sender.try_send_request(req);
        futures_util::pin_mut!(response);
        poll_fn(|cx| {
            if let Poll::Ready(response) = response.as_mut().poll(cx) {
                return Poll::Ready(response);
            }
            self.drive(cx);
            response.as_mut().poll(cx)
        })
        .await
    }

    /// The connection with a new HTTP connection, to which the request under way is handed again.
    async fn for_replay(self) -> hyper::Result<Self> {
        let Self { driver, drained, allowance, bounds, sent, requests, .. } = self;
        let http1::Parts { io, read_buf, .. } = Pin::into_inner(driver).into_parts();
        let (sender, driver) = handshake(io.replay(read_buf)).await?;
        Ok(Self { sender, driver, closed: false, drained, allowance, bounds, sent, requests })
    }
}

/// Starts an HTTP connection on a stream.
async fn handshake(
    stream: ReplayStream,
) -> hyper::Result<(http1::SendRequest<Full<Bytes>>, Pin<Box<HttpConnection>>)> {
    let mut builder = http1::Builder::new();
    let (sender, driver) = builder.read_buf_exact_size(Some(READ_BYTES)).handshake(stream).await?;
    Ok((sender, Box::pin(driver)))
}

/// Reads a surplus response to its end. Returns false if its end doesn't show, or is that of the
/// connection, or if it is too long.
async fn skip(head: &response::Parts, body: &mut ConnectionBody) -> bool {
    let ends_connection = head.version != Version::HTTP_11 || closes_connection(&head.headers);
    if !body.framing.shows_end() || ends_connection {
        return false;
    }
    let read = body.read_into(&mut BytesMut::new(), MAX_SKIPPED_BYTES).await;
    matches!(read, Ok(true))
}

/// Whether the sender of a message closes its connection after it.
fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn log_surplus(req: &EndpointRequest, head: &response::Parts, is_skipped: bool) {
    let id = |headers: &HeaderMap| {
        let id = headers.get(REQUEST_ID).map(|id| String::from_utf8_lossy(id.as_bytes()));
        id.unwrap_or_default().into_owned()
    };
    Line::new("surplus_response")
        .with("request", id(req.headers()))
        .with("belongs_to", id(&head.headers))
        .with("status", head.status.as_u16())
        .with("skipped", is_skipped)
        .info();
}

/// Why no response to a request arrived.
#[derive(Debug)]
pub struct NoResponse {
    /// hyper's error.
    pub error: hyper::Error,
    /// The request, if none of it was written.
    pub unsent: Option<EndpointRequest>,
}

impl NoResponse {
    fn of(mut error: TrySendError<EndpointRequest>) -> Self {
        let unsent = error.take_message();
        Self { error: error.into_error(), unsent }
    }

    /// The request was sent and only its response is missing.
    fn after_sending(error: hyper::Error) -> Self {
        Self { error, unsent: None }
    }
}

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.error.fmt(f)
    }
}

impl std::error::Error for NoResponse {}

/// The body of a response, with the connection on which it arrives.
#[derive(Debug)]
pub struct ConnectionBody {
    connection: Connection,
    body: Incoming,
    framing: Framing,
    owner: ResponseOwner,
    meter: AnswerMeter,
}

impl ConnectionBody {
    /// How the end of the body shows.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// The request to which the response belongs.
    pub fn owner(&self) -> ResponseOwner {
        self.owner
    }

    /// Bounds the body as that of an event stream for which `tokens` were asked, if that is known.
    pub fn expect_stream(&mut self, tokens: Option<u32>) {
        let bounds = &self.connection.bounds;
        self.meter = match tokens {
            Some(_) => bounds.stream_meter(tokens),
            None => bounds.open_stream_meter(),
        };
    }

    /// Bounds the body as that of a stream of tokens; none were stated if none.
    pub fn expect_tokens(&mut self, tokens: Option<u32>) {
        self.meter = self.connection.bounds.stream_meter(tokens);
    }

    /// Notes that the reader has passed on the data that it held.
    pub fn passed_on(&mut self) {
        self.meter.passed_on();
    }

    /// Polls for the next chunk of data; none at the end.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, ReadError>>> {
        loop {
            let mut frame = Pin::new(&mut self.body).poll_frame(cx);
            if frame.is_pending() {
                self.connection.drive(cx);
                frame = Pin::new(&mut self.body).poll_frame(cx);
            }
            return match std::task::ready!(frame) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => {
                        self.connection.allowance.grant_after(data.len());
                        let added = self.meter.add(data.len());
                        Poll::Ready(Some(added.map(|()| data).map_err(ReadError::TooLong)))
                    }
                    // Trailers are not used.
                    Err(_trailers) => continue,
                },
                Some(Err(error)) => Poll::Ready(Some(Err(ReadError::Broken(error)))),
                None => Poll::Ready(None),
            };
        }
    }

    /// Waits for the next chunk of data; none at the end.
    pub async fn data(&mut self) -> Option<Result<Bytes, ReadError>> {
        poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Appends data to `buffer` until the end of the body or until the buffer exceeds `limit`
    /// bytes or its share of the box's memory; true at the end of the body.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the body is truncated or too long.
    pub async fn read_into(
        &mut self,
        buffer: &mut BytesMut,
        limit: usize,
    ) -> Result<bool, ReadError> {
        while buffer.len() <= limit && !self.meter.is_over_share() {
            match self.data().await {
                Some(data) => buffer.extend_from_slice(&data?),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Returns the connection. It can be reused only after the end of the body.
    pub fn into_connection(self) -> Connection {
        self.connection
    }
}

/// A shared body: a stream reads it while its owner retains the connection.
#[derive(Debug, Clone)]
pub struct SharedBody(Rc<RefCell<ConnectionBody>>);

impl SharedBody {
    /// Makes `body` shareable.
    pub fn new(body: ConnectionBody) -> Self {
        Self(Rc::new(RefCell::new(body)))
    }

    /// Notes that the reader has passed on the data that it held.
    pub fn passed_on(&self) {
        self.0.borrow_mut().passed_on();
    }

    /// Returns the body if this is the last reference to it.
    pub fn into_body(self) -> Option<ConnectionBody> {
        Rc::into_inner(self.0).map(RefCell::into_inner)
    }
}

impl Stream for SharedBody {
    type Item = Result<Bytes, ReadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.borrow_mut().poll_data(cx)
    }
}

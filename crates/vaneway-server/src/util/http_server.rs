//! HTTP/1.1 server on one listening address, for callers, endpoints and probes.
//!
//! hyper closes a connection that is idle for too long. A request head that has begun must be
//! complete within a shorter time, which is enforced here: [`Activity`] records when its first byte
//! arrived.
//!
//! A planned stop ([`HttpServer::finish`]) closes the listening socket and idle connections, and
//! each other connection after its current response.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::FutureExt as _;
use futures_util::future::Shared;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::outbox::TruncatedBody;
use crate::util::socket::SocketListener;
use crate::util::socket::SocketStream;
use crate::util::timers::Sleep;
use crate::util::timers::Timers;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Limits for one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum time from the first byte of a request's head until it is complete.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Limits for probes and for short requests from within the deployment, with heads of at most
    /// `header_bytes`.
    pub fn for_internal_calls(header_bytes: usize) -> Self {
        const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
        const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
        Self { header_bytes, header_timeout: HEADER_TIMEOUT, idle_timeout: IDLE_TIMEOUT }
    }
}

/// Handles the requests to a server.
pub trait Handler: 'static {
    /// Handles one request.
    fn handle(
        self: Rc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static;

    /// Limits for a new connection.
    fn limits(&self) -> ConnectionLimits;

    /// Called with the new number of open connections whenever it changes. Does nothing by default,
    /// since most handlers don't need the number.
    fn connections_changed(&self, _count: usize) {}
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    /// Dropped to make every connection close after its current request.
    finish: oneshot::Sender<Infallible>,
}

type Finish = Shared<oneshot::Receiver<Infallible>>;

/// Starts a server on `addr`.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind<H: Handler>(
    addr: SocketAddr,
    timers: Timers,
    handler: Rc<H>,
) -> io::Result<HttpServer> {
    let listener = SocketListener::bind(addr)?;
    let address = listener.local_addr()?;
    let (finish, rx) = oneshot::channel();
    compio::runtime::spawn(accept(listener, timers, handler, rx.shared())).detach();
    Ok(HttpServer { address, finish })
}

impl HttpServer {
    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listening socket, idle connections, and each other connection after its
    /// current request.
    pub fn finish(self) {
        drop(self.finish);
    }
}

async fn accept<H: Handler>(
    listener: SocketListener,
    timers: Timers,
    handler: Rc<H>,
    finish: Finish,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let accepted = listener.accept_next(&timers).fuse();
        let mut finished = finish.clone();
        futures_util::pin_mut!(accepted);
        futures_util::select_biased! {
            _ = finished => return,
            stream = accepted => {
                let count = ConnectionCount::new(Rc::clone(&open), Rc::clone(&handler));
                let serving = serve(stream, timers.clone(), count, finish.clone());
                compio::runtime::spawn(serving).detach();
            }
        }
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionCount<H: Handler> {
    open: Rc<Cell<usize>>,
    handler: Rc<H>,
}

impl<H: Handler> ConnectionCount<H> {
    fn new(open: Rc<Cell<usize>>, handler: Rc<H>) -> Self {
        open.update(|open| open + 1);
        handler.connections_changed(open.get());
        Self { open, handler }
    }
}

impl<H: Handler> Drop for ConnectionCount<H> {
    fn drop(&mut self) {
        self.open.update(|open| open - 1);
        self.handler.connections_changed(self.open.get());
    }
}

/// Whether a connection has a request in progress, when the first byte of the next request's head
/// arrived, and how the connection must end.
#[derive(Debug, Default)]
pub struct Activity {
    busy: Cell<bool>,
    head_started_at: Cell<Option<Instant>>,
    must_reset: Cell<bool>,
}

impl Activity {
    /// Records that bytes have been received.
    pub fn received(&self) {
        if !self.busy.get() && self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(clock::now()));
        }
    }

    /// Whether the connection must end with a reset, because an end in order would complete a
    /// response that is not complete.
    pub fn must_reset(&self) -> bool {
        self.must_reset.get()
    }

    fn begin_request(&self) {
        self.busy.set(true);
        self.head_started_at.set(None);
    }
}

/// Marks a connection as busy until it is dropped, which happens once the response has been sent.
#[derive(Debug)]
struct BusyGuard(Rc<Activity>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(false);
    }
}

/// The body of a response; the connection counts as busy while it exists.
#[derive(Debug)]
struct ServedBody {
    body: ResponseBody,
    busy_guard: BusyGuard,
}

impl ServedBody {
    /// The body of a response to a request with this version and method. Over HTTP/1.0 a streamed body
    /// has no end other than that of its connection, so only a reset shows that it is truncated.
    fn new(body: ResponseBody, version: Version, method: &Method, guard: BusyGuard) -> Self {
        let ends_connection = version == Version::HTTP_10
            && *method != Method::HEAD
            && matches!(body, ResponseBody::Streamed(_));
        guard.0.must_reset.set(ends_connection);
        Self { body, busy_guard: guard }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let this = self.get_mut();
        let frame = std::task::ready!(Pin::new(&mut this.body).poll_frame(cx));
        if frame.is_none() {
            this.busy_guard.0.must_reset.set(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn serve<H: Handler>(
    mut stream: SocketStream,
    timers: Timers,
    count: ConnectionCount<H>,
    finish: Finish,
) {
    let activity = Rc::new(Activity::default());
    stream.watch(Rc::clone(&activity));
    let handler = Rc::clone(&count.handler);
    let limits = handler.limits();
    let watched_activity = Rc::clone(&activity);
    // The future is boxed so that its memory is freed once the response has begun: hyper keeps the
    // memory for a handler's future for the lifetime of the connection.
    let service = service_fn(move |req: Request<Incoming>| {
        let (version, method) = (req.version(), req.method().clone());
        let guard = BusyGuard(Rc::clone(&activity));
        activity.begin_request();
        let handler = Rc::clone(&handler);
        Box::pin(async move {
            let response = handler.handle(req).await;
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, version, &method, guard)))
        })
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(stream, service);
    futures_util::pin_mut!(connection);
    let mut finish = Some(finish);
    let mut header_timer = None;
    let served = poll_fn(|cx| {
        if let Some(finished) = &mut finish
            && finished.poll_unpin(cx).is_ready()
        {
            finish = None;
            connection.as_mut().graceful_shutdown();
        }
        if let Poll::Ready(served) = connection.as_mut().poll(cx) {
            return Poll::Ready(Some(served));
        }
        let timed_out = poll_header_timeout(
            &watched_activity,
            &timers,
            limits.header_timeout,
            &mut header_timer,
            cx,
        );
        timed_out.map(|()| None)
    });
    match served.await {
        Some(Ok(())) => {}
        Some(Err(error)) => log::debug!("event=caller_connection_closed error={error:?}"),
        None => log::debug!("event=caller_connection_closed error=\"slow request head\""),
    }
    drop(count);
}

/// Ready once an incomplete request head has taken longer than `timeout`.
fn poll_header_timeout(
    activity: &Activity,
    timers: &Timers,
    timeout: Duration,
    timer: &mut Option<Sleep>,
    cx: &mut Context<'_>,
) -> Poll<()> {
    match activity.head_started_at.get() {
        None => {
            *timer = None;
            Poll::Pending
        }
        Some(since) => {
            let timer = timer.get_or_insert_with(|| timers.sleep_until(since + timeout));
            timer.poll_unpin(cx)
        }
    }
}

//! A listening address that answers HTTP/1.1, for callers, for endpoints and for probes.
//!
//! Limits on time: hyper ends a connection that rests for too long. A head that has begun must be
//! whole within a shorter time, which is watched here: [`Activity`] notes when its first byte
//! arrived.
//!
//! A planned stop ([`HttpServer::finish`]) closes the listening socket and idle connections, and
//! each other connection behind its present answer.

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
use hyper::Request;
use hyper::Response;
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

/// Smallest read buffer that hyper accepts.
const HEADER_BYTES_LEAST: usize = 8_192;

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// How long a head may take from its first byte.
    pub header_timeout: Duration,
    /// How long a connection may rest.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Limits for short questions and calls of the deployment's own, with heads of at most
    /// `header_bytes`.
    pub fn for_internal_calls(header_bytes: usize) -> Self {
        /// How long a head may take, and how long a connection may rest.
        const HEAD_WITHIN: Duration = Duration::from_secs(5);
        const IDLE_WITHIN: Duration = Duration::from_secs(30);
        Self { header_bytes, header_timeout: HEAD_WITHIN, idle_timeout: IDLE_WITHIN }
    }
}

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one request.
    fn handle(
        self: Rc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static;

    /// Limits of a connection that is opened now.
    fn limits(&self) -> ConnectionLimits;

    /// Learns that the number of open connections changed, which most handlers need not know.
    fn connections_changed(&self, _count: usize) {}
}

/// A listening address.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    /// Dropped to tell every connection to close after its present request.
    finish: oneshot::Sender<Infallible>,
}

type Finish = Shared<oneshot::Receiver<Infallible>>;

/// Starts to listen on `addr`.
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
    /// present request.
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

/// Where a connection stands between two requests.
#[derive(Debug, Default)]
pub struct Activity {
    busy: Cell<bool>,
    head_since: Cell<Option<Instant>>,
}

impl Activity {
    /// Notes that bytes arrived.
    pub fn received(&self) {
        if !self.busy.get() && self.head_since.get().is_none() {
            self.head_since.set(Some(clock::now()));
        }
    }

    fn begin(&self) {
        self.busy.set(true);
        self.head_since.set(None);
    }
}

/// Marks a connection as busy until its answer was sent.
#[derive(Debug)]
struct Busy(Rc<Activity>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
    }
}

/// The body of an answer, during which the connection counts as busy.
#[derive(Debug)]
struct ServedBody {
    body: ResponseBody,
    _busy: Busy,
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
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
    let watched = Rc::clone(&activity);
    // Boxed, so that its memory is free once the response has begun: hyper keeps the place of
    // a handler for as long as the connection.
    let service = service_fn(move |req| {
        let busy = Busy(Rc::clone(&activity));
        activity.begin();
        let handler = Rc::clone(&handler);
        Box::pin(async move {
            let response = handler.handle(req).await;
            Ok::<_, Infallible>(response.map(|body| ServedBody { body, _busy: busy }))
        })
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(HEADER_BYTES_LEAST))
        .serve_connection(stream, service);
    futures_util::pin_mut!(connection);
    let mut finish = Some(finish);
    let mut head_limit = None;
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
        let late = poll_head_limit(&watched, &timers, limits.header_timeout, &mut head_limit, cx);
        late.map(|()| None)
    });
    match served.await {
        Some(Ok(())) => {}
        Some(Err(error)) => log::debug!("event=caller_connection_closed error={error:?}"),
        None => log::debug!("event=caller_connection_closed error=\"slow request head\""),
    }
    drop(count);
}

/// Ready once a head that has begun takes too long.
fn poll_head_limit(
    activity: &Activity,
    timers: &Timers,
    within: Duration,
    limit: &mut Option<Sleep>,
    cx: &mut Context<'_>,
) -> Poll<()> {
    match activity.head_since.get() {
        None => {
            *limit = None;
            Poll::Pending
        }
        Some(since) => {
            let limit = limit.get_or_insert_with(|| timers.sleep_until(since + within));
            limit.poll_unpin(cx)
        }
    }
}

//! An HTTP connection to an endpoint that is polled by its user, not by a separate task.
//!
//! Why: hyper passes a body on one chunk at a time, so a task between the socket and the reader
//! costs two task switches and, further down, one write to the caller for each chunk. Polled in
//! place, all chunks of one read arrive in one poll and are forwarded in one write. Measurements of
//! both are in docs/EXPERIMENTS.md.
//!
//! Data flow: [`Connection::send`] writes a request and returns the head of the response with a
//! [`ConnectionBody`]. Polling the body drives the connection. After the end of the body,
//! [`ConnectionBody::into_connection`] returns the connection for the next request. Dropping either
//! closes the connection.

use std::cell::Cell;
use std::cell::RefCell;
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
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;

use crate::core::endpoints::framing::Framing;
use crate::util::socket::SocketStream;

/// A request as it is sent to an endpoint.
pub type EndpointRequest = Request<Full<Bytes>>;

/// Size of a connection's read buffer: dozens of tokens, and half of hyper's default.
const READ_BYTES: usize = 4_096;

type HttpConnection = http1::Connection<SocketStream, Full<Bytes>>;

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
}

impl Connection {
    /// Creates an HTTP connection on a connected socket.
    ///
    /// # Errors
    ///
    /// If hyper's handshake fails.
    pub async fn open(stream: SocketStream) -> hyper::Result<Self> {
        let drained = stream.drained();
        let (sender, driver) =
            http1::Builder::new().read_buf_exact_size(Some(READ_BYTES)).handshake(stream).await?;
        Ok(Self { sender, driver: Box::pin(driver), closed: false, drained })
    }

    /// Whether another request can be sent. Reads the socket, to detect that the endpoint closed
    /// the idle connection before a request is lost on it, though the event loop has not run since.
    pub fn is_ready(&mut self) -> bool {
        self.drained.set(false);
        self.drive(&mut Context::from_waker(Waker::noop()));
        !self.closed && self.sender.is_ready()
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        if !self.closed && self.driver.as_mut().poll(cx).is_ready() {
            self.closed = true;
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// hyper's error, which contains the request if none of it was written.
    pub async fn send(
        mut self,
        req: EndpointRequest,
    ) -> Result<Response<ConnectionBody>, Box<TrySendError<EndpointRequest>>> {
        let method = req.method().clone();
        let response = self.sender.try_send_request(req);
        futures_util::pin_mut!(response);
        let response = poll_fn(|cx| {
            if let Poll::Ready(response) = response.as_mut().poll(cx) {
                return Poll::Ready(response);
            }
            if !self.closed && self.driver.as_mut().poll(cx).is_ready() {
                self.closed = true;
            }
            response.as_mut().poll(cx)
        })
        .await;
        let (head, body) = response.map_err(Box::new)?.into_parts();
        let framing = Framing::of(&method, &head);
        Ok(Response::from_parts(head, ConnectionBody { connection: self, body, framing }))
    }
}

/// The body of a response, with the connection on which it arrives.
#[derive(Debug)]
pub struct ConnectionBody {
    connection: Connection,
    body: Incoming,
    framing: Framing,
}

impl ConnectionBody {
    /// How the end of the body shows.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Polls for the next chunk of data; none at the end.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Bytes>>> {
        loop {
            let mut frame = Pin::new(&mut self.body).poll_frame(cx);
            if frame.is_pending() {
                self.connection.drive(cx);
                frame = Pin::new(&mut self.body).poll_frame(cx);
            }
            return match std::task::ready!(frame) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                    // Trailers are not used.
                    Err(_trailers) => continue,
                },
                Some(Err(error)) => Poll::Ready(Some(Err(error))),
                None => Poll::Ready(None),
            };
        }
    }

    /// Waits for the next chunk of data; none at the end.
    pub async fn data(&mut self) -> Option<hyper::Result<Bytes>> {
        poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Appends data to `buffer` until the end of the body or until the buffer exceeds `limit`
    /// bytes; true at the end of the body.
    ///
    /// # Errors
    ///
    /// hyper's error if the body is truncated.
    pub async fn read_into(&mut self, buffer: &mut BytesMut, limit: usize) -> hyper::Result<bool> {
        while buffer.len() <= limit {
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

    /// Returns the body if this is the last reference to it.
    pub fn into_body(self) -> Option<ConnectionBody> {
        Rc::into_inner(self.0).map(RefCell::into_inner)
    }
}

impl Stream for SharedBody {
    type Item = hyper::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.borrow_mut().poll_data(cx)
    }
}

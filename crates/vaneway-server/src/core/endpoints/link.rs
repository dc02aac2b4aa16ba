//! A connection to an endpoint that is driven by whoever uses it.
//!
//! Why not by a task of its own: hyper hands a body over one chunk at a time, so a task between
//! the socket and the reader costs two task switches and, further down, one write to the caller
//! for each chunk. Driven in place, all chunks of one read arrive in one poll and leave in one
//! write. The figures before and after stand in docs/EXPERIMENTS.md.
//!
//! Data flow: [`Connection::send`] writes a request and returns the head of the answer with a
//! [`ConnectionBody`]; its frames drive the connection; once the body has ended, [`ConnectionBody::into_connection`]
//! gives the connection back for the next request. Dropping either closes the connection.

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

use crate::util::socket::SocketStream;

/// A request as endpoints get it.
pub type EndpointRequest = Request<Full<Bytes>>;

/// Size of a connection's read buffer: dozens of tokens, and half of what hyper takes by itself.
const READ_BYTES: usize = 4_096;

type HttpConnection = http1::Connection<SocketStream, Full<Bytes>>;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<HttpConnection>>,
    closed: bool,
}

impl Connection {
    /// Prepares a connected socket for requests.
    ///
    /// # Errors
    ///
    /// If hyper can't set the connection up.
    pub async fn open(stream: SocketStream) -> hyper::Result<Self> {
        let (sender, driver) =
            http1::Builder::new().read_buf_exact_size(Some(READ_BYTES)).handshake(stream).await?;
        Ok(Self { sender, driver: Box::pin(driver), closed: false })
    }

    /// Whether another request can be sent. Looks at the socket, so that a connection which the
    /// endpoint closed while it was idle is found before a request is lost on it.
    pub fn is_ready(&mut self) -> bool {
        self.drive(&mut Context::from_waker(Waker::noop()));
        !self.closed && self.sender.is_ready()
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        if !self.closed && self.driver.as_mut().poll(cx).is_ready() {
            self.closed = true;
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// hyper's error, which holds the request if none of it was written.
    pub async fn send(
        mut self,
        req: EndpointRequest,
    ) -> Result<Response<ConnectionBody>, Box<TrySendError<EndpointRequest>>> {
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
        let response = response.map_err(Box::new)?;
        Ok(response.map(|body| ConnectionBody { link: self, body }))
    }
}

/// The body of an answer, with the connection that it arrives on.
#[derive(Debug)]
pub struct ConnectionBody {
    link: Connection,
    body: Incoming,
}

impl ConnectionBody {
    /// The next piece of data; none at the end.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Bytes>>> {
        loop {
            let mut frame = Pin::new(&mut self.body).poll_frame(cx);
            if frame.is_pending() {
                self.link.drive(cx);
                frame = Pin::new(&mut self.body).poll_frame(cx);
            }
            return match std::task::ready!(frame) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                    // Trailers carry nothing that this product uses.
                    Err(_trailers) => continue,
                },
                Some(Err(error)) => Poll::Ready(Some(Err(error))),
                None => Poll::Ready(None),
            };
        }
    }

    /// Waits for the next piece of data; none at the end.
    pub async fn data(&mut self) -> Option<hyper::Result<Bytes>> {
        poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Reads on until the end or until more than `limit` bytes are held; true at the end.
    ///
    /// # Errors
    ///
    /// hyper's error if the body breaks off.
    pub async fn read_into(&mut self, held: &mut BytesMut, limit: usize) -> hyper::Result<bool> {
        while held.len() <= limit {
            match self.data().await {
                Some(data) => held.extend_from_slice(&data?),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// The connection, to be used again. Only after the end of the body is it of use.
    pub fn into_connection(self) -> Connection {
        self.link
    }
}

/// A body that a stream reads while its owner keeps the connection.
#[derive(Debug, Clone)]
pub struct SharedBody(Rc<RefCell<ConnectionBody>>);

impl SharedBody {
    /// Shares `body`.
    pub fn new(body: ConnectionBody) -> Self {
        Self(Rc::new(RefCell::new(body)))
    }

    /// The body, if this is the last to hold it.
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

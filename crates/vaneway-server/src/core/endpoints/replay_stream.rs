//! A socket on which a request that has been sent can be handed to another HTTP connection.
//!
//! Why: hyper takes the first response that arrives for that to its request, and everything after it
//! for an error. Where a surplus response came first, the response to the request is still to come on
//! the same socket.
//!
//! Data flow: the stream counts the bytes of each request that are written. After the surplus
//! response, [`ReplayStream::replay`] makes it ready for a new HTTP connection to which the same
//! request is handed again: the bytes that the socket has got are not written a second time, and those
//! that were read beyond the surplus response are read first.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Buf as _;
use bytes::Bytes;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::util::socket::SocketStream;

/// A connected socket that can replay a request.
#[derive(Debug)]
pub struct ReplayStream {
    socket: SocketStream,
    /// Bytes to read before those of the socket.
    unread: Bytes,
    /// Bytes of the request that the socket has got already and that are still to be handed again.
    replayed: usize,
    /// Bytes of the request that the socket has got.
    sent: Rc<Cell<usize>>,
    /// Whether nothing is read yet, since the request has not been handed again: hyper takes what it
    /// reads before it writes for an error.
    is_held: bool,
    /// Woken when the request is handed again.
    reader: Option<Waker>,
}

impl ReplayStream {
    /// A stream over a connected socket.
    pub fn new(socket: SocketStream) -> Self {
        Self {
            socket,
            unread: Bytes::new(),
            replayed: 0,
            sent: Rc::default(),
            is_held: false,
            reader: None,
        }
    }

    /// The number of bytes written since it was last set to 0, shared with the stream.
    pub fn sent(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.sent)
    }

    /// The stream for another HTTP connection, to which the request is handed again. `unread` was read
    /// from this stream and not used.
    #[must_use]
    pub fn replay(self, unread: Bytes) -> Self {
        // What is left of an earlier replay follows what was read of it.
        let unread = [unread, self.unread].concat().into();
        Self { unread, replayed: self.sent.get(), is_held: true, ..self }
    }

    /// Takes bytes of a write that the socket has got already; none if it has got none of them.
    fn take_replayed(&mut self, length: usize) -> Option<usize> {
        self.is_held = false;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        let taken = self.replayed.min(length);
        self.replayed -= taken;
        (taken > 0).then_some(taken)
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(length)) = &written {
            self.sent.update(|sent| sent + length);
        }
        written
    }
}

impl Read for ReplayStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_held {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if self.unread.is_empty() {
            return Pin::new(&mut self.socket).poll_read(cx, buf);
        }
        let length = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl Write for ReplayStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(taken) = self.take_replayed(buf.len()) {
            return Poll::Ready(Ok(taken));
        }
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(taken) = self.take_replayed(bufs.iter().map(|buf| buf.len()).sum()) {
            return Poll::Ready(Ok(taken));
        }
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

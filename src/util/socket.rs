//! Listening and connected sockets in the form that hyper takes.
//!
//! Why not the ready-made adaptor: it keeps buffers of its own for both directions besides
//! hyper's, which costs memory for each of thousands of open streams and a copy of every byte.
//! [`HttpStream`] waits for readiness and then reads and writes hyper's buffers directly. The
//! figures before and after stand in docs/EXPERIMENTS.md.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use hyper::rt::ReadBufCursor;
use socket2::Socket;

/// A connected socket that hyper reads and writes.
#[derive(Debug)]
pub struct HttpStream {
    fd: PollFd<Socket>,
    /// The last read found nothing, so the next one waits for readiness before it asks the
    /// kernel: hyper polls for reads each time it writes.
    drained: bool,
}

/// Binds a listening socket.
///
/// # Errors
///
/// The operating system's, for example when the address is in use.
pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Connects to `addr`.
///
/// # Errors
///
/// The operating system's, for example when nothing listens there.
pub async fn connect(addr: SocketAddr) -> io::Result<HttpStream> {
    HttpStream::new(TcpStream::connect(addr).await?)
}

impl HttpStream {
    /// Prepares an accepted or connected socket. Chunks are small and must leave at once, so
    /// Nagle's algorithm is off.
    ///
    /// # Errors
    ///
    /// The operating system's, for example when the peer is gone already.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = stream.into_poll_fd()?;
        stream.set_nonblocking(true)?;
        Ok(Self { fd: stream, drained: false })
    }
}

impl hyper::rt::Read for HttpStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // SAFETY: `recv` only writes initialized bytes into the slice.
        let free = unsafe { buf.as_mut() };
        loop {
            if self.drained {
                std::task::ready!(self.fd.poll_read_ready(cx))?;
                self.drained = false;
            }
            match self.fd.recv(free) {
                Ok(count) => {
                    // SAFETY: `recv` has initialized the first `count` bytes.
                    unsafe { buf.advance(count) };
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.drained = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl hyper::rt::Write for HttpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.fd.poll_write_with(cx, |socket| socket.send(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.fd.poll_write_with(cx, |socket| socket.send_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.fd.shutdown(Shutdown::Write))
    }
}

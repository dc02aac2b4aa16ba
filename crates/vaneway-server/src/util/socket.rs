//! Listening and connected sockets, also in the form that hyper takes.
//!
//! Why not the ready-made adaptor: it keeps buffers of its own for both directions besides
//! hyper's, which costs memory for each of thousands of open streams and a copy of every byte.
//! [`SocketStream`] waits for readiness and then reads and writes hyper's buffers directly. The
//! figures before and after stand in docs/EXPERIMENTS.md.

use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use compio::runtime::fd::PollFd;
use hyper::rt::ReadBufCursor;
use socket2::Domain;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

use crate::util::clock;
use crate::util::http_server::Activity;
use crate::util::timers::Timers;

/// A connected socket.
#[derive(Debug)]
pub struct SocketStream {
    fd: PollFd<Socket>,
    /// The last read found nothing, so the next one waits for readiness before it asks the
    /// kernel: hyper polls for reads each time it writes.
    drained: bool,
    /// Told whenever bytes arrive.
    activity: Option<Rc<Activity>>,
}

/// Connections that wait to be accepted at most.
const BACKLOG: i32 = 1_024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening socket.
///
/// The event loop's own would create and close sockets on helper threads, where one thread is to
/// do everything; neither call can block.
#[derive(Debug)]
pub struct SocketListener(PollFd<Socket>);

impl SocketListener {
    /// Binds a listening socket.
    ///
    /// # Errors
    ///
    /// The operating system's, for example when the address is in use.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = new_socket(addr)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        Self::from_std(socket.into())
    }

    /// Takes over a socket that listens already.
    ///
    /// # Errors
    ///
    /// The operating system's.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(Self(PollFd::new(listener.into())?))
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// The operating system's.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        let addr = self.0.local_addr()?;
        addr.as_socket().ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
    }

    /// Waits for the next connection. After a failure, which mostly means that descriptors ran
    /// out, it tries again a little later.
    pub async fn accept_next(&self, timers: &Timers) -> SocketStream {
        loop {
            match self.accept().await {
                Ok(stream) => return stream,
                Err(error) => {
                    log::warn!("event=accept_failed error={error:?}");
                    timers.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// The operating system's, for example when descriptors run out.
    pub async fn accept(&self) -> io::Result<SocketStream> {
        let accepted = poll_fn(|cx| self.0.poll_accept_with(cx, Socket::accept));
        let (socket, _peer) = accepted.await?;
        SocketStream::new(socket)
    }
}

fn new_socket(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Connects to `addr`.
///
/// # Errors
///
/// The operating system's, for example when nothing listens there.
pub async fn connect(addr: SocketAddr) -> io::Result<SocketStream> {
    let stream = SocketStream::new(new_socket(addr)?)?;
    match stream.fd.connect(&addr.into()) {
        Err(error) if error.raw_os_error() == Some(libc::EINPROGRESS) => {
            stream.fd.connect_ready().await?;
            stream.fd.take_error()?.map_or(Ok(stream), Err)
        }
        connected => connected.map(|()| stream),
    }
}

/// Connects to `addr`, or gives up after `within`.
///
/// # Errors
///
/// The operating system's; `TimedOut` if it took too long.
pub async fn connect_timeout(
    timers: &Timers,
    addr: SocketAddr,
    within: Duration,
) -> io::Result<SocketStream> {
    let connected = timers.timeout_at(clock::now() + within, connect(addr)).await;
    connected
        .unwrap_or_else(|| Err(io::Error::new(io::ErrorKind::TimedOut, "connecting took too long")))
}

impl SocketStream {
    /// Prepares a socket. Chunks are small and must leave at once, so
    /// Nagle's algorithm is off.
    ///
    /// # Errors
    ///
    /// The operating system's, for example when the peer is gone already.
    fn new(socket: Socket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        Ok(Self { fd: PollFd::new(socket)?, drained: false, activity: None })
    }
}

impl SocketStream {
    /// Tells `activity` whenever bytes arrive for hyper.
    pub fn watch(&mut self, activity: Rc<Activity>) {
        self.activity = Some(activity);
    }

    /// Reads some bytes; 0 at the end.
    pub fn poll_recv(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.fd.poll_read_with(cx, |socket| {
            let mut socket = socket;
            io::Read::read(&mut socket, buf)
        })
    }

    /// Waits until there may be bytes to read.
    pub fn poll_recv_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.fd.poll_read_ready(cx)
    }

    /// Writes some bytes.
    pub fn poll_send(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.fd.poll_write_with(cx, |socket| socket.send(buf))
    }

    /// Lets the connection be reset when it is closed: bytes that have not arrived are lost.
    ///
    /// # Errors
    ///
    /// The operating system's.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.fd.set_linger(Some(Duration::ZERO))
    }

    /// Lets the connection fail once the peer's box has been silent for about `within`, also
    /// while nothing is being sent. Without it, a connection to a box that lost its power or its
    /// network hangs for minutes.
    ///
    /// # Errors
    ///
    /// The operating system's.
    pub fn set_peer_timeout(&self, within: Duration) -> io::Result<()> {
        self.fd.set_tcp_user_timeout(Some(within))?;
        let probes = TcpKeepalive::new().with_time(within).with_interval(Duration::from_secs(1));
        self.fd.set_tcp_keepalive(&probes)
    }
}

impl hyper::rt::Read for SocketStream {
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
                    if let Some(activity) = &self.activity {
                        activity.received();
                    }
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

impl hyper::rt::Write for SocketStream {
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

//! Listening and connected TCP sockets, with an implementation of hyper's I/O traits.
//!
//! The existing adaptor for hyper is not used: it has buffers of its own for both directions in
//! addition to hyper's, which costs memory for each of thousands of open streams and a copy of
//! every byte. [`SocketStream`] waits for readiness and then reads into and writes from hyper's
//! buffers directly. docs/EXPERIMENTS.md has measurements of both.

use std::cell::Cell;
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

use crate::util::allowance::Allowance;
use crate::util::clock;
use crate::util::http_server::Activity;
use crate::util::timers::Timers;

/// A connected socket.
#[derive(Debug)]
pub struct SocketStream {
    fd: PollFd<Socket>,
    /// Whether the last read found no data. The next one then waits for readiness before it makes a
    /// system call, since hyper polls for reads each time it writes.
    drained: Rc<Cell<bool>>,
    /// Notified whenever bytes are received for hyper. It also says how the connection must end.
    activity: Option<Rc<Activity>>,
    /// How many bytes hyper may read; none if the reads have no bound.
    allowance: Option<Rc<Allowance>>,
    /// Whether the connection will be reset when it is closed.
    resets: bool,
}

/// When the operating system takes the peer of a connection to be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// Time without an acknowledgement of sent data or of a probe; none for the system's default.
    pub user_timeout: Option<Duration>,
    /// Idle time until the first probe.
    pub first_probe: Duration,
    /// Time between two probes.
    pub probe_interval: Duration,
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening socket.
///
/// The event loop's own listener creates and closes sockets on helper threads. The process is meant
/// to run on one thread, and neither call can block, so this type makes them directly.
#[derive(Debug)]
pub struct SocketListener(PollFd<Socket>);

impl SocketListener {
    /// Binds a listening socket.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error, for example that the address is in use.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = new_socket(addr)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        Self::from_std(socket.into())
    }

    /// Wraps a socket that is already listening.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(Self(PollFd::new(listener.into())?))
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        let addr = self.0.local_addr()?;
        addr.as_socket().ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
    }

    /// Waits for the next connection. After an error, which mostly means that file descriptors are
    /// exhausted, it retries after `ACCEPT_PAUSE`.
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
    /// If the operating system reports an error, for example that file descriptors are exhausted.
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
/// If the operating system reports an error, for example that the connection was refused.
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

/// Connects to `addr` within `timeout`.
///
/// # Errors
///
/// If the operating system reports an error; `TimedOut` if the timeout expires.
pub async fn connect_timeout(
    timers: &Timers,
    addr: SocketAddr,
    timeout: Duration,
) -> io::Result<SocketStream> {
    let connected = timers.timeout_at(clock::now() + timeout, connect(addr)).await;
    connected
        .unwrap_or_else(|| Err(io::Error::new(io::ErrorKind::TimedOut, "connection timed out")))
}

impl SocketStream {
    /// Configures a connected socket. Nagle's algorithm is disabled, since chunks are small and
    /// must be sent without delay.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error, for example that the peer has disconnected.
    fn new(socket: Socket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        Ok(Self {
            fd: PollFd::new(socket)?,
            drained: Rc::default(),
            activity: None,
            allowance: None,
            resets: false,
        })
    }
}

impl SocketStream {
    /// Notifies `activity` whenever bytes are received for hyper.
    pub fn watch(&mut self, activity: Rc<Activity>) {
        self.activity = Some(activity);
    }

    /// Bounds the bytes that hyper reads by an allowance, which is returned.
    pub fn bound_reads(&mut self) -> Rc<Allowance> {
        Rc::clone(self.allowance.get_or_insert_default())
    }

    /// Reads some bytes; 0 at the end of the stream.
    pub fn poll_recv(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.fd.poll_read_with(cx, |socket| {
            let mut socket = socket;
            io::Read::read(&mut socket, buf)
        })
    }

    /// Whether the last read found no data, shared with the socket: with `false`, the next read asks
    /// the operating system at once instead of the event loop, which may not have run since.
    pub fn drained(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.drained)
    }

    /// Waits until there may be bytes to read.
    pub fn poll_recv_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.fd.poll_read_ready(cx)
    }

    /// Writes some bytes.
    pub fn poll_send(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.fd.poll_write_with(cx, |socket| socket.send(buf))
    }

    /// Makes the connection be reset when it is closed: bytes that have not been delivered are
    /// lost.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.fd.set_linger(Some(Duration::ZERO))
    }

    /// Makes the connection end as its activity says, however it is closed: by this process or by the
    /// operating system when the process ends.
    fn prepare_end(&mut self) -> io::Result<()> {
        let must_reset = self.activity.as_ref().is_some_and(|activity| activity.must_reset());
        if self.resets != must_reset {
            self.fd.set_linger(must_reset.then_some(Duration::ZERO))?;
            self.resets = must_reset;
        }
        Ok(())
    }

    /// Makes the connection fail if the peer's operating system has not replied for about
    /// `timeout`, even while nothing is being sent. Without it, a connection to a box that lost
    /// power or its network hangs for minutes.
    ///
    /// The user timeout also decides when unanswered probes end the connection, whatever their
    /// number. The first probe is therefore sent in half of it, so that one that is lost is sent
    /// again before.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error.
    pub fn set_peer_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.fd.set_tcp_user_timeout(Some(timeout))?;
        // The operating system counts the time of probes in whole seconds.
        let interval = Duration::from_secs((timeout / 2).as_secs().max(1));
        let probes = TcpKeepalive::new().with_time(interval).with_interval(interval);
        self.fd.set_tcp_keepalive(&probes)
    }

    /// The user timeout, the time until the first probe, and the time between probes.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error.
    pub fn peer_timeouts(&self) -> io::Result<PeerTimeouts> {
        Ok(PeerTimeouts {
            user_timeout: self.fd.tcp_user_timeout()?,
            first_probe: self.fd.tcp_keepalive_time()?,
            probe_interval: self.fd.tcp_keepalive_interval()?,
        })
    }
}

impl hyper::rt::Read for SocketStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // SAFETY: `recv` only writes initialized bytes into the slice.
        let mut free = unsafe { buf.as_mut() };
        if let Some(allowance) = &self.allowance {
            let left = allowance.left()?.min(free.len());
            free = &mut free[..left];
        }
        loop {
            if self.drained.get() {
                std::task::ready!(self.fd.poll_read_ready(cx))?;
                self.drained.set(false);
            }
            match self.fd.recv(free) {
                Ok(count) => {
                    if let Some(activity) = &self.activity {
                        activity.received();
                    }
                    if let Some(allowance) = &self.allowance {
                        allowance.take(count);
                    }
                    // SAFETY: `recv` has initialized the first `count` bytes.
                    unsafe { buf.advance(count) };
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.drained.set(true),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl hyper::rt::Write for SocketStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_end()?;
        self.fd.poll_write_with(cx, |socket| socket.send(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_end()?;
        self.fd.poll_write_with(cx, |socket| socket.send_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.prepare_end()?;
        Poll::Ready(self.fd.shutdown(Shutdown::Write))
    }
}

//! A proxy that injects faults between two processes.
//!
//! TCP: delay, cut connections, half-open connections, refused or unanswered new connections, and a
//! cut after a number of bytes of the response. UDP: delay, loss and reordering, reproducible by a
//! seed.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use compio::buf::BufResult;
use compio::buf::IoBuf as _;
use compio::io::AsyncRead as _;
use compio::io::AsyncWrite as _;
use compio::io::AsyncWriteExt as _;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::net::UdpSocket;
use rand::RngExt;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

use crate::standin::Standin;

/// Interval at which a fault that holds bytes back is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Target of datagrams; they are lost while it is unknown.
    target: Option<SocketAddr>,
    delay: Duration,
    cut: bool,
    frozen: bool,
    /// Whether new connections are left in the listening socket's queue.
    accepts_none: bool,
    /// Bytes from the server that are forwarded before the connection is cut; none if it is not.
    response_left: Option<u64>,
    loss_percent: u32,
    reorder_percent: u32,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    _standin: Standin,
    faults: Arc<Mutex<Faults>>,
    /// The listening socket of a TCP proxy.
    listener: Option<std::net::TcpListener>,
    /// Keeps the port of a TCP proxy while the listening socket is shut down.
    _reservation: Option<Socket>,
    /// Connections that fill the listening socket's queue.
    fillers: Mutex<Vec<Socket>>,
}

/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Connections that fill the shortest queue of a listening socket, of which one may be accepted
/// yet.
const FILLERS: usize = 4;

fn lock(faults: &Mutex<Faults>) -> MutexGuard<'_, Faults> {
    faults.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Proxy {
    /// Starts a TCP proxy to `target`.
    ///
    /// # Panics
    ///
    /// If its socket can't be used.
    pub fn tcp(target: SocketAddr) -> Self {
        let faults = Arc::new(Mutex::new(Faults::default()));
        let for_thread = Arc::clone(&faults);
        let reservation = bound_socket(([127, 0, 0, 1], 0).into());
        let address = reservation.local_addr().ok().and_then(|address| address.as_socket());
        let address = address.expect("a bound socket");
        let listening = bound_socket(address);
        listening.listen(BACKLOG).expect("the socket is bound");
        let listener = std::net::TcpListener::from(listening);
        let accepting = listener.try_clone().expect("the socket can be cloned");
        let standin = Standin::spawn("proxy", move |_listener| async move {
            accept(accepting, target, for_thread).await;
        });
        Self {
            address,
            listener: Some(listener),
            _reservation: Some(reservation),
            ..Self::new(standin, faults)
        }
    }

    fn new(standin: Standin, faults: Arc<Mutex<Faults>>) -> Self {
        Self {
            address: standin.address(),
            _standin: standin,
            faults,
            listener: None,
            _reservation: None,
            fillers: Mutex::default(),
        }
    }

    /// Starts a UDP proxy, which forwards all datagrams to the target set by
    /// [`Proxy::set_target`]. `seed` determines which are lost or reordered.
    ///
    /// # Panics
    ///
    /// If the UDP port can't be bound.
    pub fn udp(seed: u64) -> Self {
        let faults = Arc::new(Mutex::new(Faults::default()));
        let for_thread = Arc::clone(&faults);
        // Bound before the thread starts, so that no datagram arrives at a closed port.
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("a bound socket");
        let standin = Standin::spawn("udp-proxy", move |_listener| async move {
            let socket = UdpSocket::from_std(socket).expect("a bound socket");
            forward_datagrams(socket, for_thread, seed).await;
        });
        Self { address, ..Self::new(standin, faults) }
    }

    /// The address to use instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delays bytes in both directions.
    pub fn delay(&self, delay: Duration) {
        lock(&self.faults).delay = delay;
    }

    /// Resets every connection and closes new ones at once, or ceases to.
    pub fn cut(&self, cut: bool) {
        lock(&self.faults).cut = cut;
    }

    /// Keeps connections open but forwards nothing, or ceases to.
    pub fn freeze(&self, frozen: bool) {
        lock(&self.faults).frozen = frozen;
    }

    /// Refuses new connections as if nothing listened, or ceases to; open ones stay as they are.
    ///
    /// # Panics
    ///
    /// If this isn't a TCP proxy.
    pub fn refuse(&self, refused: bool) {
        if refused {
            // Linux lets a listening socket that is shut down listen again at the same address.
            let socket = SockRef::from(self.listener());
            socket.shutdown(Shutdown::Both).expect("the socket listens");
        } else {
            self.listen(BACKLOG);
        }
    }

    /// Forwards nothing over open connections and leaves new ones without an answer, as a network
    /// does that loses every packet, or ceases to.
    ///
    /// # Panics
    ///
    /// If this isn't a TCP proxy.
    pub fn silence(&self, silent: bool) {
        {
            let mut faults = lock(&self.faults);
            faults.frozen = silent;
            faults.accepts_none = silent;
        }
        self.listen(if silent { 0 } else { BACKLOG });
        let mut fillers = self.fillers.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        fillers.clear();
        for _ in 0..if silent { FILLERS } else { 0 } {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            socket.set_nonblocking(true).expect("the socket can be made non-blocking");
            // A connection in progress counts as an error.
            let _in_progress = socket.connect(&self.address.into());
            fillers.push(socket);
        }
    }

    fn listener(&self) -> &std::net::TcpListener {
        self.listener.as_ref().expect("a TCP proxy")
    }

    fn listen(&self, backlog: i32) {
        SockRef::from(self.listener()).listen(backlog).expect("the socket is bound");
    }

    /// Cuts the connection once `bytes` more bytes from the server were forwarded; with 0, at the
    /// first byte of the next response. Later connections are not cut.
    pub fn cut_response_after(&self, bytes: u64) {
        lock(&self.faults).response_left = Some(bytes);
    }

    /// Sets the target of a UDP proxy.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.faults).target = Some(target);
    }

    /// Sets the percentages of datagrams that are lost and reordered.
    pub fn set_loss_and_reordering(&self, loss_percent: u32, reorder_percent: u32) {
        let mut faults = lock(&self.faults);
        faults.loss_percent = loss_percent;
        faults.reorder_percent = reorder_percent;
    }
}

/// A TCP socket that is bound to `address`. Several can be bound to the same one as long as none of
/// them listens.
fn bound_socket(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("the address can be shared");
    socket.bind(&address.into()).expect("a free port");
    socket
}

async fn accept(listener: std::net::TcpListener, target: SocketAddr, faults: Arc<Mutex<Faults>>) {
    let listener = TcpListener::from_std(listener).expect("a listening socket");
    loop {
        if lock(&faults).accepts_none {
            compio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _peer)) => {
                compio::runtime::spawn(connect(stream, target, Arc::clone(&faults))).detach();
            }
            // It is shut down while new connections are refused.
            Err(_) => compio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, faults: Arc<Mutex<Faults>>) {
    if lock(&faults).cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    // Without Nagle's algorithm, which would delay small messages.
    if caller.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let up = copy(caller.clone(), server.clone(), Arc::clone(&faults), false);
    let down = copy(server.clone(), caller.clone(), Arc::clone(&faults), true);
    let cut = wait_for_cut(&faults);
    futures_util::pin_mut!(up, down, cut);
    futures_util::future::select(futures_util::future::select(up, down), cut).await;
    // Closes with a reset instead of an orderly shutdown, as when a box crashes.
    let _already_closed = (caller.set_zero_linger(), server.set_zero_linger());
}

async fn wait_for_cut(faults: &Mutex<Faults>) {
    while !lock(faults).cut {
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, faults: Arc<Mutex<Faults>>, responses: bool) {
    let mut buf = Vec::with_capacity(16 << 10);
    loop {
        buf.clear();
        let BufResult(read, mut bytes) = from.read(buf).await;
        let Ok(mut count @ 1..) = read else { return };
        let delay = lock(&faults).delay;
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        while lock(&faults).frozen {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let mut last = false;
        if responses {
            let mut faults = lock(&faults);
            if let Some(left) = faults.response_left {
                last = count as u64 > left;
                count = count.min(left as usize);
                faults.response_left = (!last).then(|| left - count as u64);
            }
        }
        let BufResult(written, slice) = to.write_all(bytes.slice(..count)).await;
        bytes = compio::buf::IntoInner::into_inner(slice);
        if written.is_err() || last || to.flush().await.is_err() {
            return;
        }
        buf = bytes;
    }
}

async fn forward_datagrams(socket: UdpSocket, faults: Arc<Mutex<Faults>>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut held: Option<Vec<u8>> = None;
    loop {
        let BufResult(received, datagram) = socket.recv_from(Vec::with_capacity(64 << 10)).await;
        let now = *lock(&faults);
        let (Ok(_), Some(target)) = (received, now.target) else { continue };
        if now.cut || now.frozen || rng.random_range(0..100) < now.loss_percent {
            continue;
        }
        if !now.delay.is_zero() {
            compio::time::sleep(now.delay).await;
        }
        if held.is_none() && rng.random_range(0..100) < now.reorder_percent {
            held = Some(datagram);
            continue;
        }
        for datagram in std::iter::once(datagram).chain(held.take()) {
            // A datagram that can't be sent counts as lost.
            let BufResult(_lost, _datagram) = socket.send_to(datagram, target).await;
        }
    }
}

//! Loopback ports that stay bound while nothing listens on them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::PoisonError;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Maximum number of reserved ports, each of which takes a file descriptor.
const MAX_RESERVED: usize = 512;

/// The sockets that keep the latest reserved ports bound, the oldest first. They never listen.
static RESERVED: Mutex<VecDeque<Socket>> = Mutex::new(VecDeque::new());

/// Reserves a free loopback port until this process ends or many more have been reserved: the system
/// assigns it to nobody else. It refuses connections except while a socket listens that asked for it by number and that has
/// `SO_REUSEADDR`, as the listeners of stand-ins and of the product have.
///
/// # Panics
///
/// If no port can be bound.
pub fn reserve() -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // All sockets of a port need the option to share it.
    socket.set_reuse_address(true).expect("the option can be set");
    socket.bind(&any_port.into()).expect("a free port");
    let address = socket.local_addr().expect("a bound socket").as_socket();
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    reserved.push_back(socket);
    if reserved.len() > MAX_RESERVED {
        reserved.pop_front();
    }
    address.expect("an IP address")
}

/// Listens on a free loopback port, which stays reserved when the socket is closed ([`reserve`]).
///
/// Otherwise the next stand-in may get the port of one that has ended, or that shut its listening
/// socket down, and accept connections that are to be refused.
///
/// # Panics
///
/// If no port can be bound.
pub fn listen() -> TcpListener {
    TcpListener::bind(reserve()).expect("the port is free")
}

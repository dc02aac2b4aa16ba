//! Loopback ports that stay bound while nothing listens on them.

use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Listens on a free loopback port, which is not assigned to anybody else before the socket is
/// closed.
///
/// A socket for which the system chose a port loses it when it is shut down: the next stand-in may
/// get the port and accept connections that are to be refused. A port that was asked for by number
/// is kept.
///
/// # Panics
///
/// If no port can be bound.
pub fn listen() -> TcpListener {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let chosen = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // Both sockets need the option to share the port.
    chosen.set_reuse_address(true).expect("the option can be set");
    chosen.bind(&any_port.into()).expect("a free port");
    let address = chosen.local_addr().expect("a bound socket").as_socket();
    TcpListener::bind(address.expect("an IP address")).expect("the port is free")
}

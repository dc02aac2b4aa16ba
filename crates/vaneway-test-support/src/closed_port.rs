//! A reserved port that refuses connections.

use std::net::SocketAddr;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// A loopback port that is bound but not listened on, so that every connection to it is refused.
/// While it exists, the system assigns the port to nobody else.
#[derive(Debug)]
pub struct ClosedPort {
    _socket: Socket,
    address: SocketAddr,
}

impl ClosedPort {
    /// Binds a free port.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn reserve() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&any_port.into()).expect("a free port");
        let address = socket.local_addr().expect("a bound socket").as_socket();
        Self { _socket: socket, address: address.expect("an IP address") }
    }

    /// The address that refuses connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

//! A port where nothing listens and nobody else can listen.

use std::net::SocketAddr;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Holds a loopback port without listening, so that every connection to it is refused. The port
/// of a stand-in that ended may be given to the next one, which would answer instead.
#[derive(Debug)]
pub struct ClosedPort {
    _socket: Socket,
    address: SocketAddr,
}

impl ClosedPort {
    /// Takes a free port.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub fn reserve() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&any_port.into()).expect("a free port");
        let address = socket.local_addr().expect("a bound socket").as_socket();
        Self { _socket: socket, address: address.expect("an IP address") }
    }

    /// Where connections are refused.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

//! Listening and connected sockets in the form that hyper takes.

use std::io;
use std::net::SocketAddr;

use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::HyperStream;

/// A connected socket that hyper reads and writes.
pub type HttpStream = HyperStream<TcpStream>;

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
    Ok(http_stream(TcpStream::connect(addr).await?))
}

/// Prepares an accepted or connected socket. Chunks are small and must leave at once, so Nagle's
/// algorithm is off.
pub fn http_stream(stream: TcpStream) -> HttpStream {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error={error:?}");
    }
    HyperStream::new_plain(stream)
}

//! The platform's API for singleton duties: accepts every call.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use crate::http::Connection;

/// Starts it.
///
/// # Errors
///
/// If it can't listen.
pub fn spawn() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
    Ok(address)
}

fn serve(mut connection: Connection) {
    while let Ok(head) = connection.read_head(None) {
        if connection.read_body(&head, None).is_err() {
            return;
        }
        let answer =
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
        if connection.write(answer).is_err() {
            return;
        }
    }
}

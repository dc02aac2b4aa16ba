//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header; `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that have been read from it and not been used.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn unexpected_end() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Connection {
    /// Takes over a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        let _best_effort = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If it can't be opened within `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn read_more(&mut self, until: Option<Instant>) -> io::Result<()> {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk)? {
            0 => Err(unexpected_end()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head; waits until `until`, or as long as it takes.
    ///
    /// # Errors
    ///
    /// If the connection ends or the time is over.
    pub fn read_head(&mut self, until: Option<Instant>) -> io::Result<Head> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            self.read_more(until)?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Head { line, headers: headers.collect() })
    }

    fn take(&mut self, count: usize, until: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.read_more(until)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self, until: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.read_more(until)?;
        }
    }

    /// Reads a body that is framed by a length or by chunks.
    ///
    /// # Errors
    ///
    /// If the connection ends before the body does, or the time is over.
    pub fn read_body(&mut self, head: &Head, until: Option<Instant>) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.read_line(until)?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| unexpected_end())?;
                body.extend(self.take(size, until)?);
                self.read_line(until)?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = head.get("content-length").and_then(|length| length.parse().ok());
        self.take(length.unwrap_or(0), until)
    }
}

/// Sends a request over a new connection, reads the response and returns its head.
///
/// # Errors
///
/// If there is no complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Head> {
    let until = Some(Instant::now() + timeout);
    let mut connection = Connection::open(address, timeout)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    connection.write(&[head.as_bytes(), body.as_bytes()].concat())?;
    let head = connection.read_head(until)?;
    connection.read_body(&head, until)?;
    Ok(head)
}

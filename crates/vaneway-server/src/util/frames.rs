//! Length-prefixed frames over a TCP connection between two boxes of the system.
//!
//! [`drive`] writes the frames queued in a [`SendQueue`] and passes each complete frame that it
//! receives to a function, until the connection ends or an idle timeout expires. One task serves
//! both directions, since a box has a handful of such connections and most frames received on one
//! lead to a frame to send on it.
//!
//! A frame consists of its length (`u32`, little-endian) and its payload.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::util::clock;
use crate::util::send_queue::SendQueue;
use crate::util::socket::SocketStream;
use crate::util::timers::Timers;

/// Maximum length of a frame's payload: several times the largest configuration that operators may
/// send.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Size of a frame's length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// A message encoded as a frame, so that it is encoded once for several peers.
#[derive(Debug, Clone)]
pub struct EncodedFrame(Bytes);

impl EncodedFrame {
    /// Encodes a message.
    ///
    /// # Panics
    ///
    /// If the message can't be encoded, which depends on its type only.
    pub fn new<T: Serialize>(message: &T) -> Self {
        let mut frame = vec![0; LENGTH_BYTES];
        frame = postcard::to_extend(message, frame).expect("messages can be encoded");
        let length = (frame.len() - LENGTH_BYTES) as u32;
        frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        Self(Bytes::from(frame))
    }

    /// The encoded frame with its length prefix.
    pub fn frame(&self) -> &Bytes {
        &self.0
    }
}

/// Time without received bytes after which a connection has failed.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeouts {
    /// Timeout for the peer's operating system, which acknowledges segments and keepalive probes
    /// even while its process is busy.
    pub host: Duration,
    /// Timeout for the peer's process.
    pub process: Duration,
}

/// Sends and receives frames until the connection ends, is closed, or an idle timeout expires.
/// Returns the reason for the log: closed by either side, an error of the operating system, an idle
/// timeout, or a frame that is too long.
pub async fn drive(
    timers: &Timers,
    stream: &SocketStream,
    queue: &SendQueue,
    timeouts: IdleTimeouts,
    on_frame: impl AsyncFnMut(&[u8]),
) -> String {
    if let Err(error) = stream.set_peer_timeout(timeouts.host) {
        log::warn!("event=socket_option_failed error={error:?}");
    }
    let ended = exchange_frames(timers, stream, queue, timeouts.process, on_frame).await;
    queue.close();
    ended.err().map_or_else(|| "closed".to_owned(), |error| error.to_string())
}

async fn exchange_frames(
    timers: &Timers,
    stream: &SocketStream,
    queue: &SendQueue,
    idle_timeout: Duration,
    mut on_frame: impl AsyncFnMut(&[u8]),
) -> io::Result<()> {
    let mut received = BytesMut::new();
    let mut socket_drained = false;
    loop {
        let until = clock::now() + idle_timeout;
        let read = timers.timeout_at(
            until,
            poll_fn(|cx| poll_both(stream, queue, (&mut received, &mut socket_drained), cx)),
        );
        match read.await {
            None => return Err(io::ErrorKind::TimedOut.into()),
            Some(Err(error)) => return Err(error),
            Some(Ok(0)) => return Ok(()),
            Some(Ok(_)) => {
                dispatch_frames(&mut received, &mut on_frame).await?;
                queue.set_partial(received.len());
            }
        }
    }
}

/// Writes queued frames and reads some bytes; 0 means that the connection ended.
///
/// A read that does not fill the buffer has drained the socket, so the next one first waits until
/// the socket is readable. This function is polled after each read and for each write, and most of
/// the system calls would otherwise find nothing to read.
fn poll_both(
    stream: &SocketStream,
    queue: &SendQueue,
    (received, socket_drained): (&mut BytesMut, &mut bool),
    cx: &mut Context<'_>,
) -> Poll<io::Result<usize>> {
    if let Poll::Ready(written) = queue.poll_write(stream, cx) {
        return Poll::Ready(written.map(|()| 0));
    }
    if *socket_drained {
        std::task::ready!(stream.poll_recv_ready(cx))?;
        *socket_drained = false;
    }
    READ_BUF.with_borrow_mut(|buf| {
        let count = std::task::ready!(stream.poll_recv(cx, buf))?;
        *socket_drained = count < buf.len();
        received.extend_from_slice(&buf[..count]);
        Poll::Ready(Ok(count))
    })
}

thread_local! {
    /// Read buffer shared by all connections, since each copies the bytes out at once.
    static READ_BUF: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Passes each complete frame in `received` to `on_frame`.
async fn dispatch_frames(
    received: &mut BytesMut,
    on_frame: &mut impl AsyncFnMut(&[u8]),
) -> io::Result<()> {
    while let Some(frame) = take_frame(received)? {
        on_frame(&frame).await;
    }
    Ok(())
}

/// Removes the first frame from the received bytes and returns its payload, or `None` if the frame
/// is not complete yet.
///
/// # Errors
///
/// If the frame is longer than the maximum length.
pub fn take_frame(received: &mut BytesMut) -> io::Result<Option<BytesMut>> {
    let Some(length) = received.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if received.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    received.advance(LENGTH_BYTES);
    Ok(Some(received.split_to(length)))
}

/// Removes a frame from the front of `received` and decodes its message; `None` if the frame is
/// incomplete or invalid.
pub fn take_message<T: DeserializeOwned>(received: &mut BytesMut) -> Option<T> {
    decode(&take_frame(received).ok()??)
}

/// Decodes a message from a frame's payload; `None` if it can't be decoded.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    postcard::from_bytes(frame).ok()
}

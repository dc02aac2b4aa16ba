//! Frames of bytes over a TCP connection between two boxes of the system.
//!
//! Why one task for both directions: a box has a handful of such connections, and what arrives on
//! one mostly leads to something to send on it. [`drive`] writes what was queued in an [`Outgoing`]
//! and hands each whole frame that arrives to a function, until the connection ends or the other
//! side is silent for too long.
//!
//! A frame is its length (`u32`, little-endian) and its payload. What waits for a slow peer is
//! bounded: beyond the limit new frames are dropped, since everything that is sent this way is
//! either sent again or asked for again.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf as _;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::util::socket::SocketStream;
use crate::util::timers::Timers;

/// Longest frame: a configuration of the largest body that operators may send, several times over.
const FRAME_BYTES_MOST: usize = 32 << 20;

/// Bytes that wait for a slow peer at most; one frame may always wait.
const WAITING_BYTES_MOST: usize = 4 << 20;

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

#[derive(Debug, Default)]
struct Queue {
    bytes: BytesMut,
    closed: bool,
    waker: Option<Waker>,
}

/// Frames on their way to the peer; clones share the queue.
#[derive(Debug, Clone, Default)]
pub struct Outgoing(Rc<RefCell<Queue>>);

impl Outgoing {
    /// Queues a message; false if it was dropped because too much waits.
    ///
    /// # Panics
    ///
    /// If the message can't be encoded, which its type decides.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        let payload = postcard::to_stdvec(message).expect("messages can be encoded");
        self.send_bytes(&payload)
    }

    fn send_bytes(&self, payload: &[u8]) -> bool {
        let mut queue = self.0.borrow_mut();
        let waiting = queue.bytes.len();
        if queue.closed || (waiting > 0 && waiting + payload.len() > WAITING_BYTES_MOST) {
            return false;
        }
        queue.bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        queue.bytes.extend_from_slice(payload);
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
        true
    }

    /// Ends the connection.
    pub fn close(&self) {
        let mut queue = self.0.borrow_mut();
        queue.closed = true;
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.0.borrow().closed
    }

    /// Writes what waits; ready once the queue is closed or the connection broken.
    fn poll_write(&self, stream: &SocketStream, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut queue = self.0.borrow_mut();
        loop {
            if queue.closed {
                return Poll::Ready(Ok(()));
            }
            if queue.bytes.is_empty() {
                queue.waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let sent = std::task::ready!(stream.poll_send(cx, &queue.bytes))?;
            queue.bytes.advance(sent);
        }
    }
}

/// Moves frames in both directions until the connection ends, is closed, or brings nothing for
/// `silence`. `on_frame` returns false to end it.
///
/// # Errors
///
/// The operating system's; `TimedOut` after too long a silence, `InvalidData` if a frame is too
/// long.
pub async fn drive(
    timers: &Timers,
    stream: &SocketStream,
    outgoing: &Outgoing,
    silence: Duration,
    mut on_frame: impl FnMut(&[u8]) -> bool,
) -> io::Result<()> {
    let mut held = BytesMut::new();
    let ended = loop {
        let until = Instant::now() + silence;
        let read = timers.until(until, poll_fn(|cx| poll_both(stream, outgoing, &mut held, cx)));
        match read.await {
            None => break Err(io::ErrorKind::TimedOut.into()),
            Some(Err(error)) => break Err(error),
            Some(Ok(0)) => break Ok(()),
            Some(Ok(_)) => match take_frames(&mut held, &mut on_frame) {
                Ok(true) => {}
                Ok(false) => break Ok(()),
                Err(error) => break Err(error),
            },
        }
    };
    outgoing.close();
    ended
}

/// Writes what it can and reads some bytes; 0 means that the connection ended.
fn poll_both(
    stream: &SocketStream,
    outgoing: &Outgoing,
    held: &mut BytesMut,
    cx: &mut Context<'_>,
) -> Poll<io::Result<usize>> {
    if let Poll::Ready(written) = outgoing.poll_write(stream, cx) {
        return Poll::Ready(written.map(|()| 0));
    }
    let begin = held.len();
    held.resize(begin + READ_BYTES, 0);
    let read = stream.poll_recv(cx, &mut held[begin..]);
    let count = match &read {
        Poll::Ready(Ok(count)) => *count,
        _ => 0,
    };
    held.truncate(begin + count);
    read
}

/// Hands whole frames on; false if the receiver wants no more.
fn take_frames(held: &mut BytesMut, on_frame: &mut impl FnMut(&[u8]) -> bool) -> io::Result<bool> {
    while let Some(length) = held.first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_le_bytes(*length) as usize;
        if length > FRAME_BYTES_MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if held.len() < LENGTH_BYTES + length {
            return Ok(true);
        }
        held.advance(LENGTH_BYTES);
        let frame = held.split_to(length);
        if !on_frame(&frame) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Reads a message from a frame; none if it is in no known form.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    postcard::from_bytes(frame).ok()
}

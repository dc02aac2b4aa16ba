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

/// A message in the form in which it is sent, to encode it once for several peers.
#[derive(Debug)]
pub struct Encoded(Vec<u8>);

impl Encoded {
    /// Encodes a message.
    ///
    /// # Panics
    ///
    /// If the message can't be encoded, which its type decides.
    pub fn new<T: Serialize>(message: &T) -> Self {
        Self(postcard::to_stdvec(message).expect("messages can be encoded"))
    }
}

/// Frames on their way to the peer; clones share the queue.
#[derive(Debug, Clone, Default)]
pub struct Outgoing(Rc<RefCell<Queue>>);

impl Outgoing {
    /// Queues a message.
    ///
    /// # Panics
    ///
    /// If the message can't be encoded, which its type decides.
    pub fn send<T: Serialize>(&self, message: &T) {
        self.send_encoded(&Encoded::new(message));
    }

    /// Queues a message that goes to several peers.
    pub fn send_encoded(&self, Encoded(payload): &Encoded) {
        let mut queue = self.0.borrow_mut();
        let waiting = queue.bytes.len();
        if queue.closed {
            return;
        }
        if waiting > 0 && waiting + payload.len() > WAITING_BYTES_MOST {
            log::debug!("event=frame_dropped bytes={} waiting={waiting}", payload.len());
            return;
        }
        queue.bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        queue.bytes.extend_from_slice(payload);
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
    }

    /// Whether anything waits for the peer.
    pub fn is_waiting(&self) -> bool {
        !self.0.borrow().bytes.is_empty()
    }

    /// Ends the connection.
    pub fn close(&self) {
        let mut queue = self.0.borrow_mut();
        queue.closed = true;
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
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

/// How long a connection may be silent.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    /// Of the other side's operating system, which answers also while its process is busy.
    pub system: Duration,
    /// Of the other side's process.
    pub process: Duration,
}

/// Moves frames in both directions until the connection ends, is closed, or brings nothing for longer than
/// `silence` allows. Returns why it ended, for the log: closed by either side, the operating system's
/// error, too long a silence, or a frame that is too long.
pub async fn drive(
    timers: &Timers,
    stream: &SocketStream,
    outgoing: &Outgoing,
    silence: Silence,
    on_frame: impl AsyncFnMut(&[u8]),
) -> String {
    if let Err(error) = stream.fail_when_silent(silence.system) {
        log::warn!("event=socket_option_failed error={error:?}");
    }
    let ended = move_frames(timers, stream, outgoing, silence.process, on_frame).await;
    outgoing.close();
    ended.err().map_or_else(|| "closed".to_owned(), |error| error.to_string())
}

async fn move_frames(
    timers: &Timers,
    stream: &SocketStream,
    outgoing: &Outgoing,
    silence: Duration,
    mut on_frame: impl AsyncFnMut(&[u8]),
) -> io::Result<()> {
    let mut held = BytesMut::new();
    let mut drained = false;
    loop {
        let until = Instant::now() + silence;
        let read = timers
            .until(until, poll_fn(|cx| poll_both(stream, outgoing, (&mut held, &mut drained), cx)));
        match read.await {
            None => return Err(io::ErrorKind::TimedOut.into()),
            Some(Err(error)) => return Err(error),
            Some(Ok(0)) => return Ok(()),
            Some(Ok(_)) => take_frames(&mut held, &mut on_frame).await?,
        }
    }
}

/// Writes what it can and reads some bytes; 0 means that the connection ended.
///
/// A read that filled less than was offered found all that had come. The next one waits until the socket is
/// ready before it asks the system: this is polled after each read and for each write, and would
/// mostly find nothing.
fn poll_both(
    stream: &SocketStream,
    outgoing: &Outgoing,
    (held, drained): (&mut BytesMut, &mut bool),
    cx: &mut Context<'_>,
) -> Poll<io::Result<usize>> {
    if let Poll::Ready(written) = outgoing.poll_write(stream, cx) {
        return Poll::Ready(written.map(|()| 0));
    }
    if *drained {
        std::task::ready!(stream.poll_recv_ready(cx))?;
        *drained = false;
    }
    READ_BUF.with_borrow_mut(|buf| {
        let count = std::task::ready!(stream.poll_recv(cx, buf))?;
        *drained = count < buf.len();
        held.extend_from_slice(&buf[..count]);
        Poll::Ready(Ok(count))
    })
}

thread_local! {
    /// What was read last; one for all connections, since each hands it on at once.
    static READ_BUF: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Hands whole frames on.
async fn take_frames(held: &mut BytesMut, on_frame: &mut impl AsyncFnMut(&[u8])) -> io::Result<()> {
    while let Some(length) = held.first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_le_bytes(*length) as usize;
        if length > FRAME_BYTES_MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if held.len() < LENGTH_BYTES + length {
            return Ok(());
        }
        held.advance(LENGTH_BYTES);
        let frame = held.split_to(length);
        on_frame(&frame).await;
    }
    Ok(())
}

/// Reads a message from a frame; none if it is in no known form.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    postcard::from_bytes(frame).ok()
}

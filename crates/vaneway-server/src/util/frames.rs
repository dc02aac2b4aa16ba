//! Frames of bytes over a TCP connection between two boxes of the system.
//!
//! Why one task for both directions: a box has a handful of such connections, and what arrives on
//! one mostly leads to something to send on it. [`drive`] writes what was queued in an [`SendQueue`]
//! and hands each whole frame that arrives to a function, until the connection ends or the other
//! side is silent for too long.
//!
//! A frame is its length (`u32`, little-endian) and its payload.

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

/// Longest frame: a configuration of the largest body that operators may send, several times over.
const FRAME_BYTES_MOST: usize = 32 << 20;

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// A message as the frame in which it is sent, to encode it once for several peers.
#[derive(Debug, Clone)]
pub struct EncodedFrame(Bytes);

impl EncodedFrame {
    /// Encodes a message.
    ///
    /// # Panics
    ///
    /// If the message can't be encoded, which its type decides.
    pub fn new<T: Serialize>(message: &T) -> Self {
        let mut frame = vec![0; LENGTH_BYTES];
        frame = postcard::to_extend(message, frame).expect("messages can be encoded");
        let length = (frame.len() - LENGTH_BYTES) as u32;
        frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        Self(Bytes::from(frame))
    }

    /// The whole frame.
    pub fn frame(&self) -> &Bytes {
        &self.0
    }
}

/// How long a connection may be silent.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeouts {
    /// Of the other side's operating system, which answers also while its process is busy.
    pub host: Duration,
    /// Of the other side's process.
    pub process: Duration,
}

/// Moves frames in both directions until the connection ends, is closed, or brings nothing for longer than
/// `silence` allows. Returns why it ended, for the log: closed by either side, the operating system's
/// error, too long a silence, or a frame that is too long.
pub async fn drive(
    timers: &Timers,
    stream: &SocketStream,
    outgoing: &SendQueue,
    silence: IdleTimeouts,
    on_frame: impl AsyncFnMut(&[u8]),
) -> String {
    if let Err(error) = stream.set_peer_timeout(silence.host) {
        log::warn!("event=socket_option_failed error={error:?}");
    }
    let ended = move_frames(timers, stream, outgoing, silence.process, on_frame).await;
    outgoing.close();
    ended.err().map_or_else(|| "closed".to_owned(), |error| error.to_string())
}

async fn move_frames(
    timers: &Timers,
    stream: &SocketStream,
    outgoing: &SendQueue,
    silence: Duration,
    mut on_frame: impl AsyncFnMut(&[u8]),
) -> io::Result<()> {
    let mut held = BytesMut::new();
    let mut drained = false;
    loop {
        let until = clock::now() + silence;
        let read = timers.timeout_at(
            until,
            poll_fn(|cx| poll_both(stream, outgoing, (&mut held, &mut drained), cx)),
        );
        match read.await {
            None => return Err(io::ErrorKind::TimedOut.into()),
            Some(Err(error)) => return Err(error),
            Some(Ok(0)) => return Ok(()),
            Some(Ok(_)) => {
                take_frames(&mut held, &mut on_frame).await?;
                outgoing.set_partial(held.len());
            }
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
    outgoing: &SendQueue,
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
    while let Some(frame) = take_frame(held)? {
        on_frame(&frame).await;
    }
    Ok(())
}

/// Takes the payload of the first frame from what has arrived; none if it is not whole yet.
///
/// # Errors
///
/// If the frame is longer than any that is sent.
pub fn take_frame(held: &mut BytesMut) -> io::Result<Option<BytesMut>> {
    let Some(length) = held.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > FRAME_BYTES_MOST {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if held.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    held.advance(LENGTH_BYTES);
    Ok(Some(held.split_to(length)))
}

/// Reads a message from a frame; none if it is in no known form.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    postcard::from_bytes(frame).ok()
}

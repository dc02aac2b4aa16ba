//! What waits to be sent to another box.
//!
//! Why not one line of bytes: a box may read more slowly than there is news for it, and there are hundreds of boxes. So
//! what is replaced by newer news of its kind is sent with a [`Topic`], of which only the newest waits; what goes to several
//! boxes is encoded once and shared by their queues; and a box that nevertheless has too much waiting for it is not told less
//! in silence: its connection is ended, and over the next one it is told all that counts then.
//!
//! [`BufferedBytes`] knows what the queues of a box hold in sum.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;

use crate::util::frames::EncodedFrame;
use crate::util::logline::Line;
use crate::util::socket::SocketStream;

/// Bytes that wait for one peer at most, beside messages with a topic.
const WAITING_BYTES_MOST: usize = 4 << 20;

/// Length from which on a frame is shared by the queues in which it waits. Shorter ones are copied, so that many of them leave
/// by one system call.
const SHARED_FROM: usize = 16 << 10;

/// A kind of message of which only the newest waits for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Topic(pub u8);

/// Bytes that the connections of a box hold, in sum.
#[derive(Debug, Default)]
pub struct BufferedBytes {
    queued: Cell<usize>,
    partial: Cell<usize>,
}

impl BufferedBytes {
    /// Bytes that wait for peers, without messages with a topic.
    pub fn queued(&self) -> usize {
        self.queued.get()
    }

    /// Bytes that came of frames that are not whole yet.
    pub fn partial(&self) -> usize {
        self.partial.get()
    }
}

#[derive(Debug)]
enum Chunk {
    /// Frames that were copied.
    Copied(BytesMut),
    /// One frame that other queues may hold too.
    Shared { frame: Bytes, topic: Option<Topic> },
}

impl Chunk {
    fn rest(&mut self) -> &[u8] {
        match self {
            Self::Copied(bytes) => bytes,
            Self::Shared { frame, .. } => frame,
        }
    }

    fn advance(&mut self, count: usize) {
        match self {
            Self::Copied(bytes) => bytes.advance(count),
            Self::Shared { frame, .. } => frame.advance(count),
        }
    }
}

#[derive(Debug)]
struct Queue {
    chunks: VecDeque<Chunk>,
    /// Whether a part of the first chunk was sent, so that the rest must follow.
    begun: bool,
    /// Bytes that wait, without messages with a topic.
    queued: usize,
    /// Bytes that came of a frame that is not whole yet.
    partial: usize,
    closed: bool,
    waker: Option<Waker>,
    held: Rc<BufferedBytes>,
}

impl Drop for Queue {
    fn drop(&mut self) {
        self.held.queued.update(|sum| sum - self.queued);
        self.held.partial.update(|sum| sum - self.partial);
    }
}

impl Queue {
    fn push(&mut self, frame: &Bytes) {
        self.queued += frame.len();
        self.held.queued.update(|sum| sum + frame.len());
        match self.chunks.back_mut() {
            _ if frame.len() >= SHARED_FROM => {
                self.chunks.push_back(Chunk::Shared { frame: frame.clone(), topic: None });
            }
            Some(Chunk::Copied(bytes)) => bytes.extend_from_slice(frame),
            _ => self.chunks.push_back(Chunk::Copied(BytesMut::from(&**frame))),
        }
    }

    /// Puts a frame in the place of the one of its topic that waits, or at the end.
    fn replace(&mut self, topic: Topic, frame: &Bytes) {
        let begun = usize::from(self.begun);
        let mut queued = self.chunks.iter_mut().skip(begun);
        let older = queued.find(
            |chunk| matches!(chunk, Chunk::Shared { topic: Some(held), .. } if *held == topic),
        );
        let newer = Chunk::Shared { frame: frame.clone(), topic: Some(topic) };
        match older {
            Some(older) => *older = newer,
            None => self.chunks.push_back(newer),
        }
    }

    /// Takes off what was sent.
    fn sent(&mut self, count: usize) {
        let Some(first) = self.chunks.front_mut() else { return };
        first.advance(count);
        self.begun = true;
        if !matches!(first, Chunk::Shared { topic: Some(_), .. }) {
            self.queued -= count;
            self.held.queued.update(|sum| sum - count);
        }
        if first.rest().is_empty() {
            self.chunks.pop_front();
            self.begun = false;
        }
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn close(&mut self) {
        self.closed = true;
        self.wake();
    }
}

/// Frames on their way to the peer; clones share the queue.
#[derive(Debug, Clone)]
pub struct SendQueue(Rc<RefCell<Queue>>);

impl SendQueue {
    /// An empty queue; what it holds counts in `held`.
    pub fn new(held: &Rc<BufferedBytes>) -> Self {
        Self(Rc::new(RefCell::new(Queue {
            chunks: VecDeque::new(),
            begun: false,
            queued: 0,
            partial: 0,
            closed: false,
            waker: None,
            held: Rc::clone(held),
        })))
    }

    /// Queues a message.
    ///
    /// # Panics
    ///
    /// If the message can't be encoded, which its type decides.
    pub fn send<T: Serialize>(&self, message: &T) {
        self.send_encoded(&EncodedFrame::new(message));
    }

    /// Queues a message that goes to several peers. A peer that has too much waiting for it already loses its connection.
    pub fn send_encoded(&self, message: &EncodedFrame) {
        let mut queue = self.0.borrow_mut();
        if queue.closed {
            return;
        }
        let frame = message.frame();
        if queue.queued > 0 && queue.queued + frame.len() > WAITING_BYTES_MOST {
            Line::new("peer_too_slow")
                .with("bytes", frame.len())
                .with("waiting", queue.queued)
                .warn();
            queue.close();
            return;
        }
        queue.push(frame);
        queue.wake();
    }

    /// Queues a message that takes the place of the one of its topic that waits.
    pub fn send_newest(&self, topic: Topic, message: &EncodedFrame) {
        let mut queue = self.0.borrow_mut();
        if !queue.closed {
            queue.replace(topic, message.frame());
            queue.wake();
        }
    }

    /// Whether anything waits for the peer.
    pub fn has_queued(&self) -> bool {
        !self.0.borrow().chunks.is_empty()
    }

    /// Bytes that wait for the peer, without messages with a topic.
    pub fn queued_bytes(&self) -> usize {
        self.0.borrow().queued
    }

    /// Takes note of how many bytes of a frame that is not whole are kept.
    pub(super) fn set_partial(&self, bytes: usize) {
        let mut queue = self.0.borrow_mut();
        let before = std::mem::replace(&mut queue.partial, bytes);
        queue.held.partial.update(|sum| sum - before + bytes);
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.0.borrow_mut().close();
    }

    /// Writes what waits; ready once the queue is closed or the connection broken.
    pub(super) fn poll_write(
        &self,
        stream: &SocketStream,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let mut queue = self.0.borrow_mut();
        loop {
            if queue.closed {
                return Poll::Ready(Ok(()));
            }
            let Some(first) = queue.chunks.front_mut() else {
                queue.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let count = std::task::ready!(stream.poll_send(cx, first.rest()))?;
            queue.sent(count);
        }
    }
}

//! Queue of frames to send to another box.
//!
//! A peer may read more slowly than updates for it arise, and there are hundreds of peers, so a
//! plain byte buffer for each is not enough:
//!
//! - Messages that a newer one of the same kind replaces are sent with a [`Topic`]; only the newest
//!   message of a topic is queued.
//! - A message to several peers is encoded once, and its frame is shared by their queues.
//! - If too many bytes are still queued for a peer, nothing is dropped silently: its connection is
//!   closed, and the next connection begins with the full current state. The same happens to the
//!   peer with the longest queue if too many bytes are queued for all peers together, before the
//!   process exceeds its memory and all connections end.
//!
//! [`BufferedBytes`] counts the bytes in all queues of a box.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::rc::Weak;
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

/// Maximum number of bytes queued for one peer, not counting messages with a topic.
const MAX_QUEUED_BYTES: usize = 4 << 20;

/// Maximum number of bytes queued for all peers together, not counting messages with a topic: five
/// eighths of the memory of a control box, of which the rest is for its state.
const MAX_TOTAL_QUEUED_BYTES: usize = 160 << 20;

/// Length from which on a buffer of copied frames doesn't grow further, in bytes. A buffer has up to
/// twice the room that it needs.
const MAX_COPIED_BYTES: usize = 64 << 10;

/// Minimum length of frames that are shared between queues, in bytes. Shorter frames are copied, so
/// that many of them are sent by one system call.
const MIN_SHARED_BYTES: usize = 16 << 10;

/// A kind of message of which only the newest is queued for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Topic(pub u8);

/// Number of bytes buffered for all connections of a box.
#[derive(Debug, Default)]
pub struct BufferedBytes {
    queued: Cell<usize>,
    partial: Cell<usize>,
    queues: RefCell<Vec<Weak<RefCell<Queue>>>>,
}

impl BufferedBytes {
    /// Bytes queued for peers, not counting messages with a topic.
    pub fn queued(&self) -> usize {
        self.queued.get()
    }

    /// Bytes received of incomplete frames.
    pub fn partial(&self) -> usize {
        self.partial.get()
    }

    fn add(&self, queue: &Rc<RefCell<Queue>>) {
        let mut queues = self.queues.borrow_mut();
        queues.retain(|queue| queue.strong_count() > 0);
        queues.push(Rc::downgrade(queue));
    }

    /// Closes the longest queues until no more bytes are queued than allowed.
    fn close_longest(&self) {
        while self.queued.get() > MAX_TOTAL_QUEUED_BYTES {
            let queues = self.queues.borrow();
            let open = queues.iter().filter_map(Weak::upgrade);
            let open = open.filter(|queue| !queue.borrow().is_kept);
            let longest = open.max_by_key(|queue| queue.borrow().queued);
            let Some(longest) = longest.filter(|queue| queue.borrow().queued > 0) else { return };
            Line::new("peer_too_slow")
                .with("waiting", longest.borrow().queued)
                .with("waiting_for_all", self.queued.get())
                .warn();
            longest.borrow_mut().close();
        }
    }
}

#[derive(Debug)]
enum Chunk {
    /// Short frames, copied into one buffer.
    Copied(BytesMut),
    /// One frame that other queues may share.
    Shared { frame: Bytes, topic: Option<Topic> },
}

impl Chunk {
    fn remaining(&mut self) -> &[u8] {
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
    /// Whether a part of the first chunk has been sent, so that the rest must follow.
    first_chunk_begun: bool,
    /// Bytes queued, not counting messages with a topic.
    queued: usize,
    /// Bytes received of an incomplete frame.
    partial: usize,
    /// Whether it is kept open however many bytes are queued for all peers.
    is_kept: bool,
    closed: bool,
    waker: Option<Waker>,
    /// Woken when nothing is queued any longer.
    emptied: Option<Waker>,
    buffered: Rc<BufferedBytes>,
}

impl Drop for Queue {
    fn drop(&mut self) {
        self.buffered.queued.update(|sum| sum - self.queued);
        self.buffered.partial.update(|sum| sum - self.partial);
    }
}

impl Queue {
    fn push(&mut self, frame: &Bytes) {
        self.queued += frame.len();
        self.buffered.queued.update(|sum| sum + frame.len());
        match self.chunks.back_mut() {
            _ if frame.len() >= MIN_SHARED_BYTES => {
                self.chunks.push_back(Chunk::Shared { frame: frame.clone(), topic: None });
            }
            Some(Chunk::Copied(bytes)) if bytes.len() < MAX_COPIED_BYTES => {
                bytes.extend_from_slice(frame);
            }
            _ => self.chunks.push_back(Chunk::Copied(BytesMut::from(&**frame))),
        }
    }

    /// Replaces the queued frame of the same topic, or appends the frame if there is none.
    fn replace(&mut self, topic: Topic, frame: &Bytes) {
        let first_chunk_begun = usize::from(self.first_chunk_begun);
        let mut queued = self.chunks.iter_mut().skip(first_chunk_begun);
        let older = queued.find(
            |chunk| matches!(chunk, Chunk::Shared { topic: Some(other), .. } if *other == topic),
        );
        let newer = Chunk::Shared { frame: frame.clone(), topic: Some(topic) };
        match older {
            Some(older) => *older = newer,
            None => self.chunks.push_back(newer),
        }
    }

    /// Removes `count` sent bytes from the front of the queue.
    fn remove_sent(&mut self, count: usize) {
        let Some(first) = self.chunks.front_mut() else { return };
        first.advance(count);
        self.first_chunk_begun = true;
        if !matches!(first, Chunk::Shared { topic: Some(_), .. }) {
            self.queued -= count;
            self.buffered.queued.update(|sum| sum - count);
        }
        if first.remaining().is_empty() {
            self.chunks.pop_front();
            self.first_chunk_begun = false;
        }
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Closes the queue and discards what is queued, which is not sent any more.
    fn close(&mut self) {
        self.closed = true;
        self.chunks.clear();
        self.buffered.queued.update(|sum| sum - self.queued);
        self.queued = 0;
        self.wake();
        self.wake_emptied();
    }

    fn wake_emptied(&mut self) {
        if let Some(waker) = self.emptied.take() {
            waker.wake();
        }
    }
}

/// Queue of frames to one peer; clones share the queue.
#[derive(Debug, Clone)]
pub struct SendQueue(Rc<RefCell<Queue>>);

impl SendQueue {
    /// Creates an empty queue, whose bytes are counted in `buffered`.
    pub fn new(buffered: &Rc<BufferedBytes>) -> Self {
        let queue = Rc::new(RefCell::new(Queue {
            chunks: VecDeque::new(),
            first_chunk_begun: false,
            queued: 0,
            partial: 0,
            is_kept: false,
            closed: false,
            waker: None,
            emptied: None,
            buffered: Rc::clone(buffered),
        }));
        buffered.add(&queue);
        Self(queue)
    }

    /// Keeps the connection open however many bytes are queued for all peers together. For a control
    /// box, of which there are few, and without which the others can't agree.
    pub fn keep_open(&self) {
        self.0.borrow_mut().is_kept = true;
    }

    /// Queues a message.
    ///
    /// # Panics
    ///
    /// If the message can't be encoded, which depends on its type only.
    pub fn send<T: Serialize>(&self, message: &T) {
        self.send_encoded(&EncodedFrame::new(message));
    }

    /// Queues an encoded message. If too many bytes are already queued for the peer, its connection
    /// is closed instead; if too many are for all peers, the one with the longest queue is closed.
    pub fn send_encoded(&self, message: &EncodedFrame) {
        let mut queue = self.0.borrow_mut();
        if queue.closed {
            return;
        }
        let frame = message.frame();
        if queue.queued > 0 && queue.queued + frame.len() > MAX_QUEUED_BYTES {
            Line::new("peer_too_slow")
                .with("bytes", frame.len())
                .with("waiting", queue.queued)
                .warn();
            queue.close();
            return;
        }
        queue.push(frame);
        queue.wake();
        let buffered = Rc::clone(&queue.buffered);
        drop(queue);
        buffered.close_longest();
    }

    /// Queues a message in place of the queued one of the same topic, if there is one.
    pub fn send_newest(&self, topic: Topic, message: &EncodedFrame) {
        let mut queue = self.0.borrow_mut();
        if !queue.closed {
            queue.replace(topic, message.frame());
            queue.wake();
        }
    }

    /// Whether any frame is queued.
    pub fn has_queued(&self) -> bool {
        !self.0.borrow().chunks.is_empty()
    }

    /// Number of bytes queued, not counting messages with a topic.
    pub fn queued_bytes(&self) -> usize {
        self.0.borrow().queued
    }

    /// Waits until the operating system has taken everything that is queued, or the queue is closed.
    /// Only the last call that waits is woken.
    pub async fn written(&self) {
        poll_fn(|cx| {
            let mut queue = self.0.borrow_mut();
            if queue.closed || queue.chunks.is_empty() {
                return Poll::Ready(());
            }
            queue.emptied = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Sets the number of bytes received of an incomplete frame.
    pub(super) fn set_partial(&self, bytes: usize) {
        let mut queue = self.0.borrow_mut();
        let before = std::mem::replace(&mut queue.partial, bytes);
        queue.buffered.partial.update(|sum| sum - before + bytes);
    }

    /// Closes the queue, which ends the connection.
    pub fn close(&self) {
        self.0.borrow_mut().close();
    }

    /// Writes queued frames; ready once the queue is closed or the connection has failed.
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
            if queue.chunks.is_empty() {
                queue.wake_emptied();
            }
            let Some(first) = queue.chunks.front_mut() else {
                queue.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let count = std::task::ready!(stream.poll_send(cx, first.remaining()))?;
            queue.remove_sent(count);
        }
    }
}

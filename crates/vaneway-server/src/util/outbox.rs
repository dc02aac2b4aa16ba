//! A bounded queue of bytes from a task to the response body that it streams.
//!
//! The caller may read more slowly than the endpoint sends. The writer sees when the queue is full
//! and stops reading from the endpoint; it is also woken as soon as the caller disconnects. Writer
//! and reader run on one thread, so no lock or atomic is needed. All bytes queued since the last
//! read, up to `FRAME_BYTES`, are returned as one frame, which saves a system call for each chunk.

use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body::Frame;

use crate::util::held::Held;
use crate::util::held::HeldBytes;

/// Maximum bytes of a frame. The HTTP server holds a frame until its caller has read it, where it isn't
/// counted among the bytes held; a long first part of an answer would be a megabyte there.
const FRAME_BYTES: usize = 16 << 10;

/// Bounds of queues to callers.
#[derive(Debug, Clone)]
pub struct QueueLimits {
    /// Bytes of one queue from which it has no capacity.
    pub bytes: usize,
    /// Bytes held for all callers together.
    pub held: Rc<HeldBytes>,
}

#[derive(Debug, Default)]
struct Queue {
    bytes: BytesMut,
    /// The same bytes among those that the box holds; none if they aren't counted.
    held: Option<Held>,
    ended: Option<End>,
    /// Whether the reader has been made to wait once before it gets the error of a truncated body.
    truncation_delayed: bool,
    reader_dropped: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// How the writer ended the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Complete,
    Truncated,
}

/// The writing end. If it is dropped without [`Outbox::finish`], the body fails with
/// [`TruncatedBody`], so that a code path that abandons a response can't make a part of it look
/// complete.
#[derive(Debug)]
pub struct Outbox {
    queue: Rc<RefCell<Queue>>,
    limit: usize,
}

/// The reading end: a response body.
#[derive(Debug)]
pub struct OutboxBody(Rc<RefCell<Queue>>);

/// Error of a body that ended before it was complete. It makes the server abort the connection, so
/// that the caller can distinguish the response from a complete one.
#[derive(Debug, Clone, Copy)]
pub struct TruncatedBody;

impl std::fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was truncated")
    }
}

impl std::error::Error for TruncatedBody {}

impl From<Infallible> for TruncatedBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Creates a queue that has capacity within `limits`: while it is full, or over its share of what the
/// box may hold, its writer waits.
pub fn outbox_within(limits: &QueueLimits) -> (Outbox, OutboxBody) {
    let (outbox, body) = outbox(limits.bytes);
    outbox.queue.borrow_mut().held = Some(limits.held.holder());
    (outbox, body)
}

/// Creates a queue that has capacity while it holds less than `limit` bytes.
pub fn outbox(limit: usize) -> (Outbox, OutboxBody) {
    let queue = Rc::new(RefCell::new(Queue::default()));
    (Outbox { queue: Rc::clone(&queue), limit }, OutboxBody(queue))
}

impl Outbox {
    /// Appends bytes, even if that exceeds the limit.
    pub fn push(&self, bytes: &[u8]) {
        let mut queue = self.queue.borrow_mut();
        queue.bytes.extend_from_slice(bytes);
        if let Some(held) = &mut queue.held {
            held.add(bytes.len());
        }
        wake(&mut queue.reader);
    }

    /// Sets the first bytes, even if they exceed the limit.
    pub fn begin(&self, bytes: BytesMut) {
        let mut queue = self.queue.borrow_mut();
        if let Some(held) = &mut queue.held {
            held.add(bytes.len());
        }
        queue.bytes.unsplit(bytes);
        wake(&mut queue.reader);
    }

    /// Ready if the queue has capacity; otherwise the task is woken once it has.
    pub fn poll_capacity(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut queue = self.queue.borrow_mut();
        let is_over_share = queue.held.as_ref().is_some_and(Held::is_over_share);
        if queue.bytes.len() < self.limit && !is_over_share {
            return Poll::Ready(());
        }
        register_waker(&mut queue.writer, cx);
        Poll::Pending
    }

    /// Ready if the reader has been dropped; otherwise the task is woken once it is.
    pub fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut queue = self.queue.borrow_mut();
        if queue.reader_dropped {
            return Poll::Ready(());
        }
        register_waker(&mut queue.writer, cx);
        Poll::Pending
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        self.queue.borrow_mut().ended = Some(End::Complete);
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        let mut queue = self.queue.borrow_mut();
        queue.ended.get_or_insert(End::Truncated);
        wake(&mut queue.reader);
    }
}

impl Drop for OutboxBody {
    fn drop(&mut self) {
        let mut queue = self.0.borrow_mut();
        queue.reader_dropped = true;
        queue.held = None;
        wake(&mut queue.writer);
    }
}

impl Body for OutboxBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let mut queue = self.0.borrow_mut();
        if !queue.bytes.is_empty() {
            let length = queue.bytes.len().min(FRAME_BYTES);
            let bytes = queue.bytes.split_to(length).freeze();
            let left = queue.bytes.len();
            if let Some(held) = &mut queue.held {
                held.set(left);
            }
            wake(&mut queue.writer);
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match queue.ended {
            Some(End::Complete) => Poll::Ready(None),
            Some(End::Truncated) if queue.truncation_delayed => {
                Poll::Ready(Some(Err(TruncatedBody)))
            }
            // hyper drops what it has not written when a body fails. While the body is pending, it
            // writes the head and the bytes passed on so far.
            Some(End::Truncated) => {
                queue.truncation_delayed = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            None => {
                register_waker(&mut queue.reader, cx);
                Poll::Pending
            }
        }
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

fn register_waker(slot: &mut Option<Waker>, cx: &Context<'_>) {
    match slot {
        Some(known) => known.clone_from(cx.waker()),
        None => *slot = Some(cx.waker().clone()),
    }
}

//! Cooperative scheduling of deferrable work, so that urgent tasks wait for at most one turn of it.
//!
//! An event loop runs tasks in the order in which they became ready. If hundreds of connections
//! receive data at once, a Raft heartbeat queues behind all of them: for seconds on a box with
//! little processor time, while followers must receive a leader's heartbeat within half a second.
//! Work that can arise in large amounts therefore waits for a turn before each small unit. Turns
//! are granted one at a time, in the order of the requests, and the next one only after the event
//! loop has run every other task that became ready in the meantime.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;

use crate::util::clock;

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Waiting>,
    /// Longest wait for a turn that was granted since this was last read.
    longest_wait: Duration,
    /// Wakes the task that grants turns; set while no task waits for a turn.
    idle: Option<Waker>,
}

#[derive(Debug)]
struct Waiting {
    tx: oneshot::Sender<()>,
    since: Instant,
}

/// Scheduler of turns on the current event loop; clones share it.
#[derive(Debug, Clone)]
pub struct Turns(Rc<RefCell<Queue>>);

impl Turns {
    /// Spawns the task that grants turns on the current event loop until all clones are dropped.
    pub fn spawn() -> Self {
        let queue = Rc::new(RefCell::default());
        compio::runtime::spawn(grant_turns(Rc::downgrade(&queue))).detach();
        Self(queue)
    }

    /// Waits for a turn, which lasts until the caller next awaits a pending future.
    pub async fn next(&self) {
        let (tx, rx) = oneshot::channel();
        let idle = {
            let mut queue = self.0.borrow_mut();
            queue.waiting.push_back(Waiting { tx, since: clock::now() });
            queue.idle.take()
        };
        if let Some(waker) = idle {
            waker.wake();
        }
        // An error means that the event loop is shutting down.
        let _granted = rx.await;
    }

    /// Number of tasks that wait for a turn.
    pub fn waiting(&self) -> usize {
        self.0.borrow().waiting.len()
    }

    /// Returns the longest wait for a turn that was granted since the last call.
    pub fn take_longest_wait(&self) -> Duration {
        std::mem::take(&mut self.0.borrow_mut().longest_wait)
    }
}

impl Drop for Turns {
    fn drop(&mut self) {
        // The task that grants turns holds only a weak reference. When the last owner is dropped,
        // it must be woken to notice that.
        if Rc::strong_count(&self.0) == 1
            && let Some(waker) = self.0.borrow_mut().idle.take()
        {
            waker.wake();
        }
    }
}

async fn grant_turns(queue: Weak<RefCell<Queue>>) {
    while wait_for_demand(&queue).await {
        grant_next(&queue);
        yield_once().await;
    }
}

/// Waits until a task waits for a turn; returns false once all owners have been dropped.
async fn wait_for_demand(queue: &Weak<RefCell<Queue>>) -> bool {
    poll_fn(|cx| {
        let Some(queue) = queue.upgrade() else { return Poll::Ready(false) };
        let mut queue = queue.borrow_mut();
        if !queue.waiting.is_empty() {
            return Poll::Ready(true);
        }
        queue.idle = Some(cx.waker().clone());
        Poll::Pending
    })
    .await
}

/// Grants a turn to the first task that still waits for one.
fn grant_next(queue: &Weak<RefCell<Queue>>) {
    let Some(queue) = queue.upgrade() else { return };
    let mut queue = queue.borrow_mut();
    while let Some(Waiting { tx, since }) = queue.waiting.pop_front() {
        if tx.send(()).is_ok() {
            queue.longest_wait = queue.longest_wait.max(clock::elapsed(since));
            return;
        }
    }
}

/// Yields once, so that every task that is ready now runs first.
async fn yield_once() {
    let mut yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

//! Turns for work that can wait, so that other work never waits for more than one turn.
//!
//! Why: on one loop whatever is ready runs in the order in which it became ready. Hundreds of connections
//! that bring something at once are then a line in which a heartbeat of the agreement stands at the end, for
//! seconds at a box with little processor time, while a leader must be heard within half of one. So work of
//! which there can be much asks for a turn before each small piece. One turn is given at a time, in the
//! order of asking, and the next only after the loop has run what else became ready meanwhile.

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
    /// Longest wait of a turn that was given since it was last asked for.
    longest: Duration,
    /// Wakes the task that gives turns, while nobody waits for one.
    idle: Option<Waker>,
}

#[derive(Debug)]
struct Waiting {
    tx: oneshot::Sender<()>,
    since: Instant,
}

/// Gives turns on the current loop; clones share it.
#[derive(Debug, Clone)]
pub struct Turns(Rc<RefCell<Queue>>);

impl Turns {
    /// Starts to give turns on the current loop, until all clones are dropped.
    pub fn spawn() -> Self {
        let queue = Rc::new(RefCell::default());
        compio::runtime::spawn(give(Rc::downgrade(&queue))).detach();
        Self(queue)
    }

    /// Waits for a turn, which lasts until the caller waits for anything.
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
        // An error means that the loop is ending.
        let _given = rx.await;
    }

    /// How many wait for a turn.
    pub fn waiting(&self) -> usize {
        self.0.borrow().waiting.len()
    }

    /// Longest wait of a turn that was given since this was last asked.
    pub fn take_longest_wait(&self) -> Duration {
        std::mem::take(&mut self.0.borrow_mut().longest)
    }
}

impl Drop for Turns {
    fn drop(&mut self) {
        // The task that gives turns holds none itself; it must see that the last owner is gone.
        if Rc::strong_count(&self.0) == 1
            && let Some(waker) = self.0.borrow_mut().idle.take()
        {
            waker.wake();
        }
    }
}

async fn give(queue: Weak<RefCell<Queue>>) {
    while wait_for_demand(&queue).await {
        give_one(&queue);
        run_others().await;
    }
}

/// Waits until somebody wants a turn; false if nobody can any more.
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

/// Gives a turn to the first who still wants one.
fn give_one(queue: &Weak<RefCell<Queue>>) {
    let Some(queue) = queue.upgrade() else { return };
    let mut queue = queue.borrow_mut();
    while let Some(Waiting { tx, since }) = queue.waiting.pop_front() {
        if tx.send(()).is_ok() {
            queue.longest = queue.longest.max(clock::elapsed(since));
            return;
        }
    }
}

/// Lets every task run that is ready now.
async fn run_others() {
    let mut ran = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut ran, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

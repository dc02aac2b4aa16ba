//! The timer service of a process: one task that sleeps on behalf of all others.
//!
//! Thousands of requests each have a deadline that almost never expires. All tasks subscribe to one
//! queue ([`vaneway_timer::TimerQueue`]), which costs an entry in a map, and a single task sleeps
//! until the earliest deadline and wakes the tasks whose deadlines have passed.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt as _;
use vaneway_timer::TimerId;
use vaneway_timer::TimerQueue;

use crate::util::clock;

/// Maximum time between two checks of the clock while sleeping: the event loop's own timer does not
/// count the time during which the box is suspended.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Shared {
    queue: RefCell<TimerQueue<Waker>>,
    /// The deadline until which the service's task sleeps.
    sleeping_until: Cell<Option<Instant>>,
    task: RefCell<Option<Waker>>,
}

/// A running timer service; clones share it.
#[derive(Debug, Clone)]
pub struct Timers(Rc<Shared>);

impl Timers {
    /// Spawns the service's task on the current event loop.
    pub fn spawn() -> Self {
        let shared = Rc::new(Shared::default());
        let weak = Rc::downgrade(&shared);
        compio::runtime::spawn(async move {
            while let Some(shared) = weak.upgrade() {
                run_once(shared).await;
            }
        })
        .detach();
        Self(shared)
    }

    /// Returns a future that is ready at `at`.
    pub fn sleep_until(&self, at: Instant) -> Sleep {
        Sleep { timers: self.clone(), at, id: None }
    }

    /// Returns a future that is ready after `duration`.
    pub fn sleep(&self, duration: Duration) -> Sleep {
        self.sleep_until(clock::now() + duration)
    }

    /// Runs `work` until `at`; returns `None` if it has not completed by then.
    pub async fn timeout_at<T>(&self, at: Instant, work: impl Future<Output = T>) -> Option<T> {
        let work = work.fuse();
        let sleep = self.sleep_until(at).fuse();
        futures_util::pin_mut!(work, sleep);
        futures_util::select_biased! {
            done = work => Some(done),
            () = sleep => None,
        }
    }

    /// Number of pending subscriptions.
    pub fn pending(&self) -> usize {
        self.0.queue.borrow().len()
    }
}

/// Wakes the tasks whose deadlines have passed, then sleeps until the next deadline or until an
/// earlier one is set.
async fn run_once(shared: Rc<Shared>) {
    let now = clock::now();
    loop {
        let due = shared.queue.borrow_mut().pop_due(now);
        match due {
            Some(waker) => waker.wake(),
            None => break,
        }
    }
    let next = shared.queue.borrow().next_deadline();
    shared.sleeping_until.set(next);
    let earlier = std::future::poll_fn(|cx| {
        if shared.sleeping_until.get() == next {
            *shared.task.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    });
    match next {
        Some(at) => {
            let left = at.saturating_duration_since(clock::now());
            let sleep = compio::time::sleep(left.min(CLOCK_CHECK_INTERVAL)).fuse();
            let earlier = earlier.fuse();
            futures_util::pin_mut!(sleep, earlier);
            futures_util::select_biased! {
                () = sleep => {}
                () = earlier => {}
            }
        }
        None => earlier.await,
    }
}

/// A subscription to one deadline.
#[derive(Debug)]
pub struct Sleep {
    timers: Timers,
    at: Instant,
    id: Option<TimerId>,
}

impl Sleep {
    /// The time at which the future is ready.
    pub fn deadline(&self) -> Instant {
        self.at
    }

    /// Changes the deadline.
    pub fn reset(&mut self, at: Instant) {
        if at != self.at {
            self.unsubscribe();
            self.at = at;
        }
    }

    fn unsubscribe(&mut self) {
        if let Some(id) = self.id.take() {
            self.timers.0.queue.borrow_mut().cancel(id);
        }
    }

    fn subscribe(&mut self, waker: &Waker) {
        let shared = &self.timers.0;
        let mut queue = shared.queue.borrow_mut();
        if let Some(known) = self.id.and_then(|id| queue.get_mut(id)) {
            known.clone_from(waker);
            return;
        }
        self.id = Some(queue.subscribe(self.at, waker.clone()));
        let sleeping_until = shared.sleeping_until.get();
        if sleeping_until.is_none_or(|until| self.at < until) {
            shared.sleeping_until.set(Some(self.at));
            if let Some(task) = shared.task.borrow_mut().take() {
                task.wake();
            }
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.at <= clock::now() {
            self.unsubscribe();
            return Poll::Ready(());
        }
        self.subscribe(cx.waker());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.unsubscribe();
    }
}

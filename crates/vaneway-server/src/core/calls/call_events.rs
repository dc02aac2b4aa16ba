//! The events of one open request that come from this box itself: answers to the relay's own
//! actions, signals about endpoints, the wake-up it asked for and the deadline.

use std::collections::VecDeque;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use futures_util::FutureExt as _;
use vaneway_relay::Event;
use vaneway_relay::Failure;

use crate::core::calls::open_requests::OpenGuard;
use crate::util::logline::Line;
use crate::util::timers::Sleep;
use crate::util::timers::Timers;

/// Sources of events, in the order in which they are asked.
#[derive(Debug)]
pub struct CallEvents {
    /// The request in the table of open ones.
    pub open: OpenGuard,
    timers: Timers,
    todo: VecDeque<Event>,
    wake: Option<Sleep>,
    deadline: Sleep,
}

impl CallEvents {
    /// The events of a request that begins now and ends at `deadline`.
    pub fn new(open: OpenGuard, timers: &Timers, deadline: Instant) -> Self {
        Self {
            open,
            timers: timers.clone(),
            todo: VecDeque::from([Event::Begin]),
            wake: None,
            deadline: timers.sleep_until(deadline),
        }
    }

    /// Adds an event that comes before all others.
    pub fn push(&mut self, event: Event) {
        self.todo.push_back(event);
    }

    /// Asks for [`Event::Woken`] at `at`, in place of an earlier wish.
    pub fn wake_at(&mut self, at: Instant) {
        self.wake = Some(self.timers.sleep_until(at));
    }

    /// Logs what the caller is told of a request that failed.
    pub fn log_failure(&self, id: &str, failure: Failure, attempts: u32) {
        let open = self.open.request();
        Line::new("request_failed")
            .with("request", id)
            .with("organisation", &open.organisation)
            .with("service", &open.service)
            .with("code", failure.kind.code())
            .with("run", failure.run.name())
            .with("attempts", attempts)
            .warn();
    }

    /// The next event.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        if let Some(event) = self.todo.pop_front() {
            return Poll::Ready(event);
        }
        if let Poll::Ready(event) = self.open.request().poll_signal(cx) {
            return Poll::Ready(event);
        }
        if self.deadline.poll_unpin(cx).is_ready() {
            return Poll::Ready(Event::Expired);
        }
        if let Some(wake) = &mut self.wake
            && wake.poll_unpin(cx).is_ready()
        {
            self.wake = None;
            return Poll::Ready(Event::Woken);
        }
        Poll::Pending
    }
}

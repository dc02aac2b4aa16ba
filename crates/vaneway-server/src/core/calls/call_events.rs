//! The events of one open request that originate at this box: replies to the relay's own actions,
//! signals about endpoints, the wake-up that it requested, and the deadline.

use std::collections::VecDeque;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use futures_util::FutureExt as _;
use vaneway_relay::Event;
use vaneway_relay::Failure;

use crate::core::calls::open_requests::OpenRequestGuard;
use crate::util::logline::Line;
use crate::util::timers::Sleep;
use crate::util::timers::Timers;

/// The sources of events, in the order in which they are polled.
#[derive(Debug)]
pub struct CallEvents {
    /// The request's entry in the table of open requests.
    pub open: OpenRequestGuard,
    timers: Timers,
    queued: VecDeque<Event>,
    wake: Option<Sleep>,
    deadline: Sleep,
}

impl CallEvents {
    /// The events of a request that begins now and ends at `deadline`.
    pub fn new(open: OpenRequestGuard, timers: &Timers, deadline: Instant) -> Self {
        Self {
            open,
            timers: timers.clone(),
            queued: VecDeque::from([Event::Begin]),
            wake: None,
            deadline: timers.sleep_until(deadline),
        }
    }

    /// Queues an event; queued events precede those of all other sources.
    pub fn push(&mut self, event: Event) {
        self.queued.push_back(event);
    }

    /// Requests [`Event::Woken`] at `at`, replacing an earlier request.
    pub fn wake_at(&mut self, at: Instant) {
        self.wake = Some(self.timers.sleep_until(at));
    }

    /// Logs the failure that is returned to the caller.
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

    /// Polls for the next event.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        if let Some(event) = self.queued.pop_front() {
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

//! What an attempt takes up at its endpoint, and what is seen of its run there.

use std::rc::Rc;
use std::time::Instant;

use vaneway_engine::Run;
use vaneway_route::EndpointId;

use crate::core::entry::Entry;
use crate::util::clock;

/// Counts an attempt at an endpoint until it is dropped.
#[derive(Debug)]
pub struct Occupancy {
    entry: Rc<Entry>,
    endpoint: EndpointId,
    /// Tokens of work that has not begun.
    tokens: u64,
    /// Whether its answer arrives piece by piece.
    arriving: bool,
    /// What is seen of its run, if it is one of an engine.
    run: Option<WatchedRun>,
}

/// A run at an engine while it is watched.
#[derive(Debug)]
struct WatchedRun {
    service: String,
    unread: u64,
    sent: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    pauses: u32,
    whole: bool,
}

impl WatchedRun {
    fn heard(&mut self, now: Instant) {
        if self.first.is_some() {
            self.pauses += 1;
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// What was seen of it, if anything came.
    fn seen(&self) -> Option<Run> {
        let (first, last) = (self.first?, self.last?);
        Some(Run {
            unread: self.unread,
            first_after: first - self.sent,
            pauses: self.pauses,
            generating: last - first,
            whole: self.whole,
        })
    }
}

impl Occupancy {
    /// An attempt that begins, with `tokens` of work.
    pub(super) fn new(entry: Rc<Entry>, endpoint: EndpointId, tokens: u64) -> Self {
        Self { entry, endpoint, tokens, arriving: false, run: None }
    }

    /// Watches it as a run of an engine of `service` with a prompt of `prompt` tokens.
    pub fn track_run(&mut self, service: &str, prompt: u64) {
        self.entry.usage.borrow_mut().begin_run(service, prompt, self.tokens);
        self.run = Some(WatchedRun {
            service: service.to_owned(),
            unread: self.tokens,
            sent: clock::now(),
            first: None,
            last: None,
            pauses: 0,
            whole: false,
        });
    }

    /// Notes that the answer came to its end.
    pub fn mark_complete(&mut self) {
        if let Some(run) = &mut self.run {
            run.whole = true;
        }
    }

    /// Whether a piece of the answer has arrived.
    pub fn is_arriving(&self) -> bool {
        self.arriving
    }

    /// Counts that a piece of the answer arrived, and with the first that the work has begun.
    pub fn record_chunk(&mut self) {
        let now = clock::now();
        if let Some(run) = &mut self.run {
            run.heard(now);
        }
        let mut pool = self.entry.pool.borrow_mut();
        if std::mem::replace(&mut self.arriving, true) {
            pool.heard(now, self.endpoint);
        } else {
            pool.begun(now, self.endpoint, std::mem::take(&mut self.tokens));
        }
    }
}

impl Drop for Occupancy {
    fn drop(&mut self) {
        if let Some(run) = &self.run
            && let Some(seen) = run.seen()
        {
            self.entry.usage.borrow_mut().observe_run(&run.service, &seen);
        }
        self.entry.pool.borrow_mut().end(self.endpoint, self.tokens, self.arriving);
    }
}

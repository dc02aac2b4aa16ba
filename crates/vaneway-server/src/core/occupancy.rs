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
    uncached_tokens: u64,
    sent: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    gaps: u32,
    completed: bool,
}

impl WatchedRun {
    fn heard(&mut self, now: Instant) {
        if self.first.is_some() {
            self.gaps += 1;
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// What was seen of it, if anything came.
    fn seen(&self) -> Option<Run> {
        let (first, last) = (self.first?, self.last?);
        Some(Run {
            uncached_tokens: self.uncached_tokens,
            time_to_first_event: first - self.sent,
            gaps: self.gaps,
            generation_time: last - first,
            completed: self.completed,
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
            uncached_tokens: self.tokens,
            sent: clock::now(),
            first: None,
            last: None,
            gaps: 0,
            completed: false,
        });
    }

    /// Notes that the answer came to its end.
    pub fn mark_complete(&mut self) {
        if let Some(run) = &mut self.run {
            run.completed = true;
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
            pool.record_progress(now, self.endpoint);
        } else {
            pool.begin_response(now, self.endpoint, std::mem::take(&mut self.tokens));
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
        self.entry.pool.borrow_mut().end_attempt(self.endpoint, self.tokens, self.arriving);
    }
}

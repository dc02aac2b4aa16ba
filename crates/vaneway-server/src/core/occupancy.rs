//! Load that an attempt causes at its endpoint, and measurement of its run there.

use std::rc::Rc;
use std::time::Instant;

use vaneway_engine::Run;
use vaneway_route::EndpointId;

use crate::core::entry::Entry;
use crate::util::clock;

/// Accounts for an attempt at an endpoint until dropped.
#[derive(Debug)]
pub struct Occupancy {
    entry: Rc<Entry>,
    endpoint: EndpointId,
    /// Tokens of outstanding work; 0 once the response has started.
    tokens: u64,
    /// Whether the first chunk of the response has arrived.
    responding: bool,
    /// Measurement of its run, if the endpoint is an engine.
    run: Option<RunTracker>,
}

/// Measurement of a run at an engine.
#[derive(Debug)]
struct RunTracker {
    service: String,
    uncached_tokens: u64,
    sent: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    gaps: u32,
    completed: bool,
}

impl RunTracker {
    fn record_chunk(&mut self, now: Instant) {
        if self.first.is_some() {
            self.gaps += 1;
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// The measured run, if any chunk of the response arrived.
    fn measured(&self) -> Option<Run> {
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
    /// An attempt that starts, with `tokens` of work.
    pub(super) fn new(entry: Rc<Entry>, endpoint: EndpointId, tokens: u64) -> Self {
        Self { entry, endpoint, tokens, responding: false, run: None }
    }

    /// Starts measuring it as a run at an engine of `service`, with a prompt of `prompt` tokens.
    pub fn track_run(&mut self, service: &str, prompt: u64) {
        self.entry.usage.borrow_mut().begin_run(service, prompt, self.tokens);
        self.run = Some(RunTracker {
            service: service.to_owned(),
            uncached_tokens: self.tokens,
            sent: clock::now(),
            first: None,
            last: None,
            gaps: 0,
            completed: false,
        });
    }

    /// Records that the response is complete.
    pub fn mark_complete(&mut self) {
        if let Some(run) = &mut self.run {
            run.completed = true;
        }
    }

    /// Whether the first chunk of the response has arrived.
    pub fn is_responding(&self) -> bool {
        self.responding
    }

    /// Records that a chunk of the response arrived. The first one shows that the endpoint has
    /// begun the work.
    pub fn record_chunk(&mut self) {
        let now = clock::now();
        if let Some(run) = &mut self.run {
            run.record_chunk(now);
        }
        let mut pool = self.entry.pool.borrow_mut();
        if std::mem::replace(&mut self.responding, true) {
            pool.record_progress(now, self.endpoint);
        } else {
            pool.begin_response(now, self.endpoint, std::mem::take(&mut self.tokens));
        }
    }
}

impl Drop for Occupancy {
    fn drop(&mut self) {
        if let Some(run) = &self.run
            && let Some(measured) = run.measured()
        {
            self.entry.usage.borrow_mut().observe_run(&run.service, &measured);
        }
        self.entry.pool.borrow_mut().end_attempt(self.endpoint, self.tokens, self.responding);
    }
}

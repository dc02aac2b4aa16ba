//! Counts whether a caller got its first event in time, for sizing the fleet.
//!
//! Requests for engines alone are counted. Those that are refused for another reason than capacity
//! say nothing about the size of the fleet, and neither do callers that leave before the objective.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::Response;

use crate::core::callers::api_error::ApiError;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::util::body::ResponseBody;
use crate::util::clock;

/// A caller that waits for its first event. Dropped when it leaves.
#[derive(Debug)]
pub struct CallerWait {
    entry: Rc<Entry>,
    service: String,
    received: Instant,
    objective: Duration,
    is_over: bool,
}

impl CallerWait {
    /// Begins with a request that was admitted; none if it isn't for an engine.
    pub fn begin(
        entry: &Rc<Entry>,
        request: &CallRequest,
        received: Instant,
        objective: Duration,
    ) -> Option<Self> {
        request.work.as_ref()?;
        Some(Self {
            entry: Rc::clone(entry),
            service: request.service_name.clone(),
            received,
            objective,
            is_over: false,
        })
    }

    /// Counts the outcome: a response, which begins with its first event, or an error.
    pub fn end(mut self, result: &Result<Response<ResponseBody>, ApiError>) {
        self.is_over = true;
        let status = match result {
            Ok(response) => response.status(),
            Err(error) => error.status,
        };
        if status.is_success() {
            self.record(!self.is_late());
        } else if status.is_server_error() {
            self.record(false);
        }
    }

    fn is_late(&self) -> bool {
        clock::elapsed(self.received) > self.objective
    }

    fn record(&self, in_time: bool) {
        self.entry.usage.borrow_mut().record_caller(&self.service, self.objective, in_time);
    }
}

impl Drop for CallerWait {
    fn drop(&mut self) {
        if !self.is_over && self.is_late() {
            self.record(false);
        }
    }
}

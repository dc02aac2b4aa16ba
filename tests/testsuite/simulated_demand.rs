//! The demand of callers in a simulated shortage: classes of requests, organisations, and surges of
//! either.

use std::time::Duration;

use vaneway_route::Rank;

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClass {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Prompt tokens that requests share, and those of the request alone.
    pub(crate) prompt: (u32, u32),
    /// Tokens of the response.
    pub(crate) response_tokens: u32,
    /// Time from arrival to the first event within which a request is in time.
    pub(crate) objective: Duration,
    /// Time without a first event after which the caller gives up.
    pub(crate) caller_timeout: Duration,
    /// Value of a request that is in time; a late one has a tenth of it.
    pub(crate) value: f64,
    /// Rank among the classes; 0 is the most urgent.
    pub(crate) rank: Rank,
}

/// An organisation that sends requests of all classes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caller {
    /// Part of the requests of each class that it sends usually.
    pub(crate) part: f64,
    /// Weight of its share.
    pub(crate) weight: f64,
    /// Range of the time after which it retries a refused request, in seconds.
    pub(crate) retry_delay_s: (f64, f64),
}

/// A time in which a class or an organisation sends more than usual.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Surge {
    pub(crate) class: Option<usize>,
    pub(crate) organisation: Option<usize>,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
    /// Multiple of the usual rate.
    pub(crate) factor: f64,
}

impl Surge {
    /// Factor by which it multiplies the requests of a class and an organisation at a time.
    pub(crate) fn factor(&self, class: usize, organisation: usize, at: Duration) -> f64 {
        let concerns = self.class.is_none_or(|surging| surging == class)
            && self.organisation.is_none_or(|surging| surging == organisation)
            && (self.from..self.until).contains(&at);
        if concerns { self.factor } else { 1.0 }
    }
}

/// Which decisions boxes make in a shortage besides bounding queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Decisions {
    pub(crate) order: bool,
    pub(crate) shares: bool,
}

/// A request's outcome, for the results by class and organisation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) class: usize,
    pub(crate) organisation: usize,
    /// Time of its arrival since the start.
    pub(crate) arrived: Duration,
    /// Time of its first event since the start; none if it was not served.
    pub(crate) served: Option<Duration>,
    pub(crate) is_in_time: bool,
}

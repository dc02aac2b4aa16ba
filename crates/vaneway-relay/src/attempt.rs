//! One attempt to run a request at one endpoint, and its outcome.

use std::sync::OnceLock;

use serde::Serialize;
use vaneway_chart::Chart;
use vaneway_chart::chart_names;

chart_names! {
    /// States of the chart `attempt.json`.
    pub enum AttemptState {
        Connecting = "connecting",
        Sent = "sent",
        Answering = "answering",
        NotSent = "not_sent",
        Refused = "refused",
        Unknown = "unknown",
        Done = "done",
    }
}

chart_names! {
    /// Events of the chart `attempt.json`.
    pub enum AttemptEvent {
        /// The request was handed to the connection.
        Written = "written",
        /// The connection returned the request unsent.
        Returned = "returned",
        /// The endpoint reported that it did not run the request.
        Refusal = "refusal",
        /// The head of the response arrived.
        Head = "head",
        /// The response ended as its protocol requires.
        End = "end",
        /// The connection failed or a timeout expired.
        Broken = "broken",
        /// This box cancelled the attempt.
        Cancelled = "cancelled",
    }
}

chart_names! {
    /// The chart `attempt.json` has no actions.
    pub enum AttemptAction {
        /// Placeholder, since an enum needs a variant.
        None = "none",
    }
}

/// The compiled chart `attempt.json`.
pub type AttemptChart = Chart<AttemptState, AttemptEvent, AttemptAction>;

/// The chart of an attempt, compiled once.
///
/// # Panics
///
/// If the embedded file does not pass its check, which a test rules out.
pub fn attempt_chart() -> &'static AttemptChart {
    static CHART: OnceLock<AttemptChart> = OnceLock::new();
    CHART.get_or_init(|| {
        Chart::compile(include_str!("../charts/attempt.json")).expect("embedded chart is checked")
    })
}

/// What is known about an attempt that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint never received the request.
    NotSent,
    /// The endpoint reported that it did not run the request.
    Refused,
    /// The endpoint may have run the request.
    Unknown,
    /// The complete response arrived.
    Done,
}

impl Outcome {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

/// The state of one attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    state: AttemptState,
}

impl Default for Attempt {
    fn default() -> Self {
        Self::new()
    }
}

impl Attempt {
    /// An attempt that has sent nothing yet.
    pub fn new() -> Self {
        Self { state: attempt_chart().initial() }
    }

    /// Applies an event and returns the outcome if the attempt is over.
    pub fn handle(&mut self, event: AttemptEvent) -> Option<Outcome> {
        self.state = attempt_chart().step(self.state, event).to;
        self.outcome()
    }

    /// The current state in the chart.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// The outcome, once the attempt is over.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            AttemptState::Connecting | AttemptState::Sent | AttemptState::Answering => None,
            AttemptState::NotSent => Some(Outcome::NotSent),
            AttemptState::Refused => Some(Outcome::Refused),
            AttemptState::Unknown => Some(Outcome::Unknown),
            AttemptState::Done => Some(Outcome::Done),
        }
    }
}

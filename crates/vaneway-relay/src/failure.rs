//! What a caller is told of a request that failed.

use serde::Serialize;

/// Whether a request that failed was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It was certainly not run.
    NotRun,
    /// It was run, at least in part.
    Ran,
    /// It may have been run.
    Unknown,
}

impl RunState {
    /// The word that callers see.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// Every endpoint of the service is full.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// Attempts failed and no more are allowed.
    AttemptsExhausted,
    /// An attempt ended without an answer and may not be repeated.
    OutcomeUnknown,
    /// Endpoints ended under it, so it may run at no other one.
    #[serde(rename = "ends_endpoints")]
    CrashesEndpoints,
}

impl FailureKind {
    /// The stable code that callers see.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::AttemptsExhausted => "attempts_exhausted",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::CrashesEndpoints => "ends_endpoints",
        }
    }
}

/// What a caller is told of a request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Why it failed.
    pub kind: FailureKind,
    /// Whether it was run.
    pub run: RunState,
}

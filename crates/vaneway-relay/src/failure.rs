//! The failure of a request as reported to its caller.

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
    /// The name in responses to callers.
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
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// No endpoint is left of the software version that began the stream.
    SoftwareGone,
    /// Every endpoint of the service is full.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// Attempts failed and no more are allowed.
    AttemptsExhausted,
    /// An attempt ended without a response and may not be repeated.
    OutcomeUnknown,
    /// It crashed endpoints, so it may not run at another one.
    #[serde(rename = "ends_endpoints")]
    CrashesEndpoints,
}

impl FailureKind {
    /// The stable code in responses to callers.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::SoftwareGone => "software_gone",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::AttemptsExhausted => "attempts_exhausted",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::CrashesEndpoints => "ends_endpoints",
        }
    }
}

/// The failure of a request, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Why it failed.
    pub kind: FailureKind,
    /// Whether it was run.
    pub run: RunState,
}

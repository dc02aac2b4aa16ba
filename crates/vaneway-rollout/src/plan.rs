//! The next step of a roll-out, from what is known of it.

use std::time::Duration;

use crate::Finding;
use crate::Phase;

/// Fewest answers on trial from which a version may be found good.
pub const MIN_ANSWERS: u32 = 20;

/// Longest time before the deadline at which boxes are to send to the target alone: a change of the
/// leader and a few rounds of messages.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(3);

/// Part of the duration that the change may take at most.
const CHANGE_PART: u32 = 4;

/// Time before the deadline at which it is brought to its end: agreeing on a step takes less.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Ready replicas of the target for each of the old versions, from which they carry the load.
const MIN_REPLICAS_PART: f64 = 0.9;

/// What is known of a roll-out that is not over.
#[derive(Debug, Clone, PartialEq)]
pub struct Known {
    /// How far it has come.
    pub phase: Phase,
    /// Time since 1970.
    pub now: Duration,
    /// When it was ordered.
    pub started: Duration,
    /// When it should be over.
    pub deadline: Duration,
    /// Why the target is bad, if it is.
    pub finding: Option<Finding>,
    /// Answers of the target.
    pub answers: u32,
    /// Ready replicas of the target.
    pub ready: u32,
    /// Ready replicas of the versions that it replaces.
    pub ready_replaced: u32,
    /// Whether all connected entry boxes have carried out the last step.
    pub confirmed: bool,
    /// Open requests at the replaced versions.
    pub open_at_replaced: u32,
}

/// The next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing for now.
    Wait,
    /// Have boxes send to the target alone.
    Shift(String),
    /// Complete it.
    Complete(String),
    /// Take the target back.
    RollBack(String),
}

impl Known {
    /// The next step, with its reason.
    pub fn next(&self) -> Next {
        if let Some(finding) = &self.finding {
            return Next::RollBack(finding.to_string());
        }
        match self.phase {
            Phase::Running => self.next_of_trial(),
            Phase::Shifting => self.next_of_shift(),
            Phase::Completed | Phase::RolledBack => Next::Wait,
        }
    }

    fn carries_load(&self) -> bool {
        self.ready > 0
            && f64::from(self.ready) >= f64::from(self.ready_replaced) * MIN_REPLICAS_PART
    }

    fn next_of_trial(&self) -> Next {
        let duration = self.deadline.saturating_sub(self.started);
        let change_time = MAX_CHANGE_TIME.min(duration / CHANGE_PART);
        let has_evidence = self.answers >= MIN_ANSWERS;
        if self.now + change_time >= self.deadline && has_evidence && self.carries_load() {
            return Next::Shift(format!("{} answers show no fault", self.answers));
        }
        if self.now + END_MARGIN < self.deadline {
            return Next::Wait;
        }
        Next::RollBack(if has_evidence {
            format!("{} replicas don't carry the load of {}", self.ready, self.ready_replaced)
        } else {
            format!("only {} answers by the deadline", self.answers)
        })
    }

    fn next_of_shift(&self) -> Next {
        let is_due = self.now + END_MARGIN >= self.deadline;
        if self.confirmed && (is_due || self.open_at_replaced == 0) {
            return Next::Complete("all connected boxes send to it alone".to_owned());
        }
        Next::Wait
    }
}

//! Which requests of one box go to the version on trial.
//!
//! Every box holds the bound for its own requests, so the sum of all boxes holds it without any
//! message between them.

/// Part of the operators' share that is used for trials. The rest is for streams that began at the
/// version on trial and go on there.
const TRIAL_PART: f64 = 0.7;

/// Most trials that are saved up while no endpoint of the version accepts any: more would reach the
/// first replicas all at once.
const MAX_SAVED_TRIALS: f64 = 1.0;

/// Most resumptions that are saved up.
const MAX_SAVED_RESUMPTIONS: f64 = 4.0;

/// Number of starts of every box that the slack is divided over.
const STARTS: f64 = 4.0;

/// Where a request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// To the version on trial, or to the others if none of it accepts the request.
    Trial,
    /// To the others.
    Rest,
}

/// The share of a box's requests that may go to the version on trial.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    trials: f64,
    resumptions: f64,
    trials_per_request: f64,
    resumptions_per_request: f64,
}

impl Share {
    /// The share of one of `boxes` boxes, which together may send a version `share` of all requests
    /// and `slack` more.
    pub fn new(share: f64, slack: f64, boxes: u32) -> Self {
        let trials_per_request = share * TRIAL_PART;
        Self {
            trials: (slack / STARTS / f64::from(boxes.max(1))).clamp(0.0, MAX_SAVED_TRIALS),
            resumptions: 0.0,
            trials_per_request,
            resumptions_per_request: share - trials_per_request,
        }
    }

    /// The turn of a request's first attempt; a stream that goes on at the version on trial is a
    /// `resumption`.
    pub fn turn(&self, resumption: bool) -> Turn {
        let saved = if resumption { self.resumptions } else { self.trials };
        if saved >= 1.0 { Turn::Trial } else { Turn::Rest }
    }

    /// Counts a request that was sent, to the version on trial or to another.
    pub fn record(&mut self, resumption: bool, on_trial: bool) {
        if on_trial && resumption {
            self.resumptions -= 1.0;
        } else if on_trial {
            self.trials -= 1.0;
        }
        self.trials = (self.trials + self.trials_per_request).min(MAX_SAVED_TRIALS);
        let resumptions = self.resumptions + self.resumptions_per_request;
        self.resumptions = resumptions.min(MAX_SAVED_RESUMPTIONS);
    }
}

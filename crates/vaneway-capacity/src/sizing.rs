//! The number of replicas by what callers get.
//!
//! Data flow: [`Sizing::observe`] is passed what callers ask for and get; [`Sizing::preferred`]
//! returns the number of replicas that must remain after the loss of any one availability zone. The
//! whole fleet is at least what the forecast requires, and what remains is at least what the
//! utilisation requires. [`Sizing::minimum`] returns the number that on-demand replicas make up
//! while reclaimable ones are refused or were just reclaimed.
//!
//! Rules:
//!
//! 1. The fleet grows to that at once.
//! 2. It never shrinks by the first known demand: that one covers a few seconds of traffic, and a
//!    replica that leaves takes its cached prompt parts along, while a new one takes seconds to
//!    start and may not be available.
//! 3. It shrinks by a step per [`STEP_INTERVAL`], so that what callers get shows the effect of a
//!    step before the next one.
//! 4. While callers get less than the target, it shrinks to [`HELD_FACTOR`] times the forecast and
//!    no further: the forecast is too low then, or the cause isn't the size of the fleet.

use std::time::Duration;
use std::time::Instant;

use crate::Input;
use crate::forecast::Callers;
use crate::policy::InTime;

/// Time between two steps: entry boxes report once a second what callers get, and the wait behind
/// the longest prompts shows within one second more.
const STEP_INTERVAL: Duration = Duration::from_secs(2);

/// Share of the fleet by which one step reduces it. A step is at least one replica in each zone.
const STEP_SHARE: f64 = 0.1;

/// Multiple of the forecast at which a fleet is held while callers get less than the target.
const HELD_FACTOR: f64 = 1.5;

/// The rule that determined the size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// The target utilisation, after the loss of a zone.
    Utilisation,
    /// The forecast of requests that are in time.
    Forecast,
    /// A step towards a smaller fleet has not been watched for long enough.
    Step,
    /// Callers get less than the target, so no further step is taken.
    Late,
}

impl Bound {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Utilisation => "utilisation",
            Self::Forecast => "forecast",
            Self::Step => "step",
            Self::Late => "late",
        }
    }
}

/// What determined the size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// The rule.
    pub bound: Bound,
    /// Replicas in all that the forecast requires.
    pub forecast: u32,
    /// Replicas that must remain after the loss of any one zone.
    pub preferred: u32,
    /// Mean time for which a replica that is processing a prompt goes on with it, in seconds; 0 if
    /// unknown.
    pub prompt_rest_s: f64,
    /// Share of the latest requests that were in time; none if there were too few.
    pub in_time: Option<f64>,
    /// Target share.
    pub target: f64,
}

/// Sizing of one service's fleet.
#[derive(Debug, Clone)]
pub(crate) struct Sizing {
    policy: InTime,
    callers: Option<Callers>,
    /// Replicas that must remain after the loss of a zone, and when that last changed; none until
    /// the demand is known.
    size: Option<(u32, Instant)>,
    /// Replicas that were to remain while the demand was never known.
    size_while_unknown: u32,
    decision: Decision,
}

impl Sizing {
    pub(crate) fn new(policy: InTime) -> Self {
        let decision = Decision {
            bound: Bound::Utilisation,
            forecast: 0,
            preferred: 0,
            prompt_rest_s: 0.0,
            in_time: None,
            target: policy.target,
        };
        Self { policy, callers: None, size: None, size_while_unknown: 0, decision }
    }

    /// Records what callers ask for and get; none while it is unknown.
    pub(crate) fn observe(&mut self, callers: Option<Callers>) {
        self.callers = callers;
    }

    pub(crate) fn decision(&self) -> Decision {
        self.decision
    }

    /// Minimum replicas in all, whatever they cost, for the maximum `demand` of the last seconds,
    /// which requires `by_utilisation` of them at the utilisation for on-demand replicas. Callers wait
    /// behind long prompts as long at an on-demand replica as at any other. A demand of which only
    /// a lower bound is known counts too: control boxes are often cut off when replicas are lost.
    pub(crate) fn minimum(&self, demand: f64, by_utilisation: u32) -> u32 {
        self.callers.as_ref().map_or(by_utilisation, |callers| {
            callers.replicas(demand, self.policy.target, by_utilisation)
        })
    }

    /// Number of replicas that must remain after the loss of any one zone, for the maximum `demand`
    /// of late, which requires `by_utilisation` of them at the target utilisation.
    pub(crate) fn preferred(
        &mut self,
        now: Instant,
        input: &Input,
        demand: f64,
        by_utilisation: u32,
    ) -> u32 {
        let zones = input.zones.len().max(2) as u32;
        let remaining = |all: u32| (all * (zones - 1)).div_ceil(zones);
        let all = |remaining: u32| (remaining * zones).div_ceil(zones - 1);
        let callers = self.callers.as_ref().filter(|_| input.demand.is_some());
        let least = all(by_utilisation);
        let forecast =
            callers.map_or(least, |callers| callers.replicas(demand, self.policy.target, least));
        let in_time = callers.and_then(|callers| callers.in_time);
        let goal = remaining(forecast).max(by_utilisation);
        let is_late = in_time.is_some_and(|in_time| in_time < self.policy.target);
        let held = if is_late { (f64::from(goal) * HELD_FACTOR).ceil() as u32 } else { goal };
        let goal_bound = if goal > by_utilisation { Bound::Forecast } else { Bound::Utilisation };
        let (size, bound) = match self.size {
            // The fleet keeps its size while the demand is unknown.
            Some((size, _)) if input.demand.is_none() => (size.max(goal), Bound::Step),
            None if input.demand.is_none() => {
                self.size_while_unknown = goal;
                (goal, goal_bound)
            }
            None => (goal.max(self.size_while_unknown), Bound::Step),
            Some((size, _)) if goal >= size => (goal, goal_bound),
            Some((size, at)) if now.saturating_duration_since(at) < STEP_INTERVAL => {
                (size, Bound::Step)
            }
            Some((size, _)) => {
                let step = ((f64::from(size) * STEP_SHARE) as u32).max(zones - 1);
                let bound = if size > held { Bound::Step } else { Bound::Late };
                (size.saturating_sub(step).max(held.min(size)), bound)
            }
        };
        if input.demand.is_some() && self.size.is_none_or(|(before, _)| before != size) {
            self.size = Some((size, now));
        }
        self.decision = Decision {
            bound,
            forecast,
            preferred: size,
            prompt_rest_s: callers.map_or(0.0, |callers| callers.prompt_rest_s),
            in_time,
            target: self.policy.target,
        };
        size
    }
}

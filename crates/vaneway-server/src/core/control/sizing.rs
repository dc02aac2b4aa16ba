//! What the planner of a service is passed to size its fleet by what callers get.

use std::time::Duration;

use vaneway_capacity::Callers;
use vaneway_capacity::Decision;
use vaneway_capacity::Objective;

use crate::core::control::state::Control;
use crate::util::logline::Line;

/// Minimum number of requests within the latest seconds for their share in time to count. Below it,
/// one request more or less would pass for a change of several percent.
const MIN_REQUESTS: u64 = 50;

/// Minimum number of runs for a forecast: prompts that are ten times as long as the others are one
/// in a hundred of them.
const MIN_RUNS: u64 = 200;

/// What callers of a service get; none while too few requests were reported, or if fleets aren't
/// sized by it.
pub fn callers(control: &Control, service: &str) -> Option<Callers> {
    control.settings.capacity.in_time?;
    let slot = control.now().slot;
    let mut ledger = control.usage_ledger.borrow_mut();
    let prompt_token_s = ledger.speeds(service).prompt_token_s;
    let retained = ledger.callers().retained(slot, service);
    let in_time = ledger.callers().latest(slot, service).in_time(MIN_REQUESTS);
    if retained.runs < MIN_RUNS {
        return None;
    }
    let objectives = retained.objectives.iter().map(|counts| Objective {
        within: Duration::from_millis(counts.within_ms.into()),
        requests: counts.requests,
    });
    let prompt_rest_s = retained.prompt_rest_tokens() * prompt_token_s;
    Some(Callers { prompt_rest_s, objectives: objectives.collect(), in_time })
}

/// Adds what determined the size of a fleet to the line of an order.
pub fn with_decision(line: Line, decision: Option<Decision>) -> Line {
    let Some(decision) = decision else { return line };
    let in_time = decision.in_time.map_or("unknown".to_owned(), |share| format!("{share:.3}"));
    line.with("bound", decision.bound.name())
        .with("preferred", decision.preferred)
        .with("forecast", decision.forecast)
        .with("prompt_rest_ms", format!("{:.0}", decision.prompt_rest_s * 1e3))
        .with("in_time", in_time)
        .with("target", decision.target)
}

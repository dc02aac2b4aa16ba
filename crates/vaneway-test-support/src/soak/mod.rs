//! A randomized soak test: real processes under faults injected from outside, and a check of the
//! requests seen by callers and endpoints against the guarantees of the system.
//!
//! Data flow: a seed determines a plan of faults ([`plan`]). [`run`] starts control boxes, entry
//! boxes and stand-in endpoints behind proxies ([`world`]), lets callers continuously send requests
//! of every kind ([`callers`]), executes the plan, ends all faults, waits until every entry box
//! serves again, and collects every violation of a guarantee ([`promises`]).
//!
//! Not covered yet: lost disks, clock steps, partitions between boxes, persistent connections of
//! callers, quotas, leader duties.

pub mod callers;
pub mod plan;
pub mod promises;
pub mod world;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::limits;
use crate::soak::callers::Callers;
use crate::soak::promises::Evidence;
use crate::soak::world::World;

/// The result of one run.
#[derive(Debug)]
pub struct Report {
    /// Every violation of a guarantee, as a message.
    pub violations: Vec<String>,
    /// Number of requests sent by callers.
    pub requests: usize,
    /// Number of requests that received a complete response with status 200.
    pub served: usize,
    /// Number of requests that take a stream up.
    pub taken_up: usize,
    /// Number of these that received events.
    pub went_on: usize,
    /// Number of requests by kind and status; status 0 stands for no complete response.
    pub outcomes: BTreeMap<(String, u16), usize>,
    /// Log of each process, with the process's name.
    pub logs: Vec<(String, String)>,
}

/// Runs the plan of `seed`, in which new faults begin for `time`.
///
/// # Panics
///
/// If the deployment does not start, or does not serve again after the faults.
pub fn run(program: &Path, seed: u64, time: Duration) -> Report {
    let mut steps = plan::plan(seed, time);
    steps.extend(plan::limits(seed));
    steps.extend(plan::back_offs(seed, time));
    steps.extend(plan::configurations(seed, time));
    steps.extend(plan::unframed(seed, time));
    steps.extend(plan::kills(seed, time));
    steps.sort_by_key(|step| step.at);
    let mut world = World::start(program);
    let callers = Callers::start(seed, world.entry_addresses());
    let begin = Instant::now();
    for step in &steps {
        std::thread::sleep((begin + step.at).saturating_duration_since(Instant::now()));
        world.apply(&step.action);
    }
    world.heal();
    world.wait_until_configured();
    // All entry boxes must keep the limits only after `BINDING_DELAY`; one window more is counted.
    std::thread::sleep(limits::BINDING_DELAY + limits::COUNTING_WINDOW);
    let requests = callers.finish();
    let evidence = Evidence { requests: &requests, world: &world };
    let mut outcomes = BTreeMap::new();
    for request in &requests {
        let status = request.response.as_ref().map_or(0, |response| response.status);
        *outcomes.entry((format!("{:?}", request.kind), status)).or_default() += 1;
    }
    let taken_up = || requests.iter().filter(|request| request.after > 0);
    Report {
        outcomes,
        taken_up: taken_up().count(),
        went_on: taken_up().filter(|request| !request.events.is_empty()).count(),
        violations: promises::violations(&evidence),
        requests: requests.len(),
        served: requests.iter().filter(|request| request.is_served()).count(),
        logs: world.logs(),
    }
}

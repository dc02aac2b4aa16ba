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
pub mod deadly_part;
pub mod plan;
pub mod promises;
pub mod taken_up;
pub mod unending;
pub mod world;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::limits;
use crate::soak::callers::Callers;
use crate::soak::plan::Step;
use crate::soak::promises::Evidence;
use crate::soak::taken_up::Shares;
use crate::soak::taken_up::TakenUp;
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
    /// The requests that take a stream up.
    pub taken_up: Vec<TakenUp>,
    /// The streams taken up under the conditions under which they must go on.
    pub judged: Shares,
    /// Number of endpoints that crashed on a part of prompts.
    pub crashed_on_part: usize,
    /// Number of requests by kind and status; status 0 stands for no complete response.
    pub outcomes: BTreeMap<(String, u16), usize>,
    /// Log of each process, with the process's name.
    pub logs: Vec<(String, String)>,
}

/// Time for which one entry box is killed again and again: enough for several times as many streams
/// to be taken up as are needed to judge them.
const ONE_BOX_TIME: Duration = Duration::from_secs(6);

/// Executes steps at their times from now on.
fn execute(world: &mut World, steps: &[Step]) {
    let begin = Instant::now();
    for step in steps {
        std::thread::sleep((begin + step.at).saturating_duration_since(Instant::now()));
        world.apply(&step.action);
    }
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
    steps.extend(unending::plan(seed, time));
    steps.extend(plan::mortal(seed, time));
    steps.sort_by_key(|step| step.at);
    let mut world = World::start(program);
    let callers = Callers::start(seed, world.entry_addresses());
    let parts = Callers::start_parts(seed, world.entry_addresses());
    execute(&mut world, &steps);
    world.heal();
    world.wait_until_configured();
    // All entry boxes must keep the limits only after `BINDING_DELAY`; one window more is counted.
    std::thread::sleep(limits::BINDING_DELAY + limits::COUNTING_WINDOW);
    let streams = Callers::start_streams(seed, world.entry_addresses());
    let mut steps = plan::kills_of_one_box(seed, ONE_BOX_TIME);
    steps.extend(plan::mortal(seed, ONE_BOX_TIME));
    steps.sort_by_key(|step| step.at);
    execute(&mut world, &steps);
    world.heal();
    let mut requests = callers.finish();
    requests.extend(streams.finish());
    requests.extend(parts.finish());
    let evidence = Evidence { requests: &requests, world: &world };
    let taken_up = taken_up::taken_up(&evidence);
    let judged = Shares::of(&evidence, &taken_up);
    let mut violations = promises::violations(&evidence);
    violations.extend(judged.violation());
    violations.extend(deadly_part::violations(&evidence));
    violations.extend(world.unending().violations());
    let mut outcomes = BTreeMap::new();
    for request in &requests {
        let status = request.response.as_ref().map_or(0, |response| response.status);
        *outcomes.entry((format!("{:?}", request.kind), status)).or_default() += 1;
    }
    Report {
        outcomes,
        judged,
        crashed_on_part: world.crashed_on_part(),
        violations,
        requests: requests.len(),
        taken_up,
        served: requests.iter().filter(|request| request.is_served()).count(),
        logs: world.logs(),
    }
}

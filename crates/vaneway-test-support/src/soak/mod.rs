//! A randomized soak: real processes under faults from outside them, and what callers and endpoints then saw,
//! held against the promises.
//!
//! Data flow: a seed gives a plan of faults ([`plan`]), always the same. [`run`] starts control and entry boxes
//! before stand-in endpoints behind proxies ([`world`]), lets callers send requests of every kind all the time
//! ([`callers`]), carries the plan out, ends all faults, waits until every entry box serves again, and collects
//! every broken promise ([`promises`]).
//!
//! What it does not do yet: lose disks, step clocks, cut the boxes from each other, kept connections
//! of callers, quotas, duties.

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

/// What one run found.
#[derive(Debug)]
pub struct Report {
    /// Every broken promise.
    pub violations: Vec<String>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Those that were answered whole with success.
    pub served: usize,
    /// Requests by kind and status; 0 stands for no answer.
    pub outcomes: BTreeMap<(String, u16), usize>,
    /// What the processes logged, each with its name.
    pub logs: Vec<(String, String)>,
}

/// Runs the plan of `seed`, in which faults begin for `time`.
///
/// # Panics
///
/// If the deployment does not come up, or does not serve again after the faults.
pub fn run(program: &Path, seed: u64, time: Duration) -> Report {
    let mut steps = plan::plan(seed, time);
    steps.extend(plan::limits(seed));
    steps.extend(plan::back_offs(seed, time));
    steps.extend(plan::configurations(seed, time));
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
    // Limits bind all boxes only now.
    std::thread::sleep(limits::BINDING_DELAY + limits::COUNTING_WINDOW);
    let calls = callers.finish();
    let evidence = Evidence { calls: &calls, world: &world };
    let mut outcomes = BTreeMap::new();
    for call in &calls {
        let status = call.answer.as_ref().map_or(0, |answer| answer.status);
        *outcomes.entry((format!("{:?}", call.kind), status)).or_default() += 1;
    }
    Report {
        outcomes,
        violations: promises::violations(&evidence),
        requests: calls.len(),
        served: calls.iter().filter(|call| call.is_served()).count(),
        logs: world.logs(),
    }
}

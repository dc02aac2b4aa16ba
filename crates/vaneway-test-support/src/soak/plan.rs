//! The plan of faults that a seed gives.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::wire_endpoint::Behaviour;

/// Control boxes of a run.
pub const CONTROL_BOXES: usize = 3;

/// Entry boxes of a run.
pub const ENTRY_BOXES: usize = 2;

/// Endpoints that serve at a time.
pub const ENDPOINTS: usize = 3;

/// Longest time that a fault lasts.
const LASTS_MOST_MS: u64 = 1_200;

/// Mean time between the beginnings of two faults, so that several overlap.
const BETWEEN_MS: u64 = 350;

/// Something that the plan does at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Kills an entry box.
    KillEntry(usize),
    /// Starts an entry box unless it runs.
    StartEntry(usize),
    /// Stops an entry box as planned work does.
    StopEntry(usize),
    /// Stops the scheduling of an entry box, or lets it go on.
    PauseEntry(usize, bool),
    /// Kills a control box.
    KillControl(usize),
    /// Starts a control box unless it runs.
    StartControl(usize),
    /// Stops the scheduling of a control box, or lets it go on.
    PauseControl(usize, bool),
    /// Changes what an endpoint does with requests.
    Behave(usize, Behaviour),
    /// Resets an endpoint's connections and refuses new ones, or ceases to.
    Cut(usize, bool),
    /// Lets nothing pass to and from an endpoint while its connections stay open, or ceases to.
    Freeze(usize, bool),
    /// Delays all bytes to and from an endpoint.
    Delay(usize, Duration),
    /// Puts the next configuration in force.
    Configure,
    /// Puts a configuration in force that has so many routes more from now on.
    AddRoutes(usize),
    /// Lets an endpoint say that it leaves, and another take its place.
    Drain(usize),
    /// Lets an endpoint name so many requests a second as its limit from now on.
    AdvertiseLimit(usize, &'static str),
    /// Lets an endpoint ask for so many seconds of rest in its refusals from now on, or for none.
    RequestBackOff(usize, Option<&'static str>),
}

/// An action with its time from the beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// The steps of a seed, by time; faults begin within `time`, and each ends.
pub fn plan(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..BETWEEN_MS));
    while at < time {
        let end = at + Duration::from_millis(rng.random_range(50..LASTS_MOST_MS));
        let (begins, ends) = fault(&mut rng);
        steps.extend(begins.into_iter().map(|action| Step { at, action }));
        steps.extend(ends.into_iter().map(|action| Step { at: end, action }));
        at += Duration::from_millis(rng.random_range(0..2 * BETWEEN_MS));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Limits that endpoints name, in requests a second.
const LIMITS: [&str; 4] = ["0.2", "1", "1.5", "6"];

/// Sets the limits' random numbers apart from the faults', so that these are what they were without limits.
const LIMITS_STREAM: u64 = 0x4C49_4D49_5453;

/// The limits of a seed: one endpoint, or two, soon after the beginning.
pub fn limits(seed: u64) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LIMITS_STREAM);
    let first = rng.random_range(0..ENDPOINTS);
    let count = rng.random_range(1..ENDPOINTS);
    let limit = |i| {
        let at = Duration::from_millis(rng.random_range(0..1_000));
        let limit = LIMITS[rng.random_range(0..LIMITS.len())];
        Step { at, action: Action::AdvertiseLimit((first + i) % ENDPOINTS, limit) }
    };
    let mut limits: Vec<Step> = (0..count).map(limit).collect();
    limits.sort_by_key(|step| step.at);
    limits
}

/// Rests that endpoints ask for, in seconds.
const RESTS: [&str; 3] = ["1", "1.5", "3"];

/// Sets the rests' random numbers apart from the faults'.
const RESTS_STREAM: u64 = 0x5245_5354;

/// The rests of a seed within `time`: now and then an endpoint turns all away and asks for rest.
pub fn back_offs(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ RESTS_STREAM);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..1_000));
    while at < time {
        let endpoint = rng.random_range(0..ENDPOINTS);
        let rest = RESTS[rng.random_range(0..RESTS.len())];
        let end = at + Duration::from_millis(rng.random_range(50..LASTS_MOST_MS));
        let step = |at, action| Step { at, action };
        steps.extend([
            step(at, Action::RequestBackOff(endpoint, Some(rest))),
            step(at, Action::Behave(endpoint, Behaviour::Refuse)),
            step(end, Action::Behave(endpoint, Behaviour::Steady)),
            step(end, Action::RequestBackOff(endpoint, None)),
        ]);
        at += Duration::from_millis(rng.random_range(500..2_500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Routes by which a configuration grows, up to those of the users' large ones.
const ROUTES: [usize; 3] = [20, 350, 1_400];

/// Sets the configurations' random numbers apart from the faults'.
const CONFIGURATIONS_STREAM: u64 = 0x434F_4E46_4947;

/// The configurations of a seed within `time`: it grows at the beginning, then a series of changes.
pub fn configurations(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ CONFIGURATIONS_STREAM);
    let routes = ROUTES[rng.random_range(0..ROUTES.len())];
    let mut at = Duration::from_millis(rng.random_range(0..1_000));
    let mut steps = vec![Step { at, action: Action::AddRoutes(routes) }];
    at += Duration::from_millis(rng.random_range(0..1_000));
    while at < time {
        steps.push(Step { at, action: Action::Configure });
        at += Duration::from_millis(rng.random_range(80..600));
    }
    steps
}

/// The actions with which a fault begins and ends.
fn fault(rng: &mut Pcg64Mcg) -> (Vec<Action>, Vec<Action>) {
    let entry = rng.random_range(0..ENTRY_BOXES);
    let control = rng.random_range(0..CONTROL_BOXES);
    let endpoint = rng.random_range(0..ENDPOINTS);
    match rng.random_range(0..12_u32) {
        0 => (vec![Action::KillEntry(entry)], vec![Action::StartEntry(entry)]),
        1 => (vec![Action::StopEntry(entry)], vec![Action::StartEntry(entry)]),
        2 => (vec![Action::PauseEntry(entry, true)], vec![Action::PauseEntry(entry, false)]),
        3 => (vec![Action::KillControl(control)], vec![Action::StartControl(control)]),
        4 => {
            (vec![Action::PauseControl(control, true)], vec![Action::PauseControl(control, false)])
        }
        5 => {
            let all = || 0..CONTROL_BOXES;
            (all().map(Action::KillControl).collect(), all().map(Action::StartControl).collect())
        }
        6 => (vec![Action::Cut(endpoint, true)], vec![Action::Cut(endpoint, false)]),
        7 => (vec![Action::Freeze(endpoint, true)], vec![Action::Freeze(endpoint, false)]),
        8 => {
            let delay = Duration::from_millis(rng.random_range(5..80));
            (vec![Action::Delay(endpoint, delay)], vec![Action::Delay(endpoint, Duration::ZERO)])
        }
        9 => (vec![Action::Configure], vec![]),
        10 => (vec![Action::Drain(endpoint)], vec![]),
        _ => {
            let behaviour = match rng.random_range(0..8_u32) {
                0 => Behaviour::Refuse,
                1 => Behaviour::Fail,
                2 => Behaviour::LoseResponse,
                3 => Behaviour::RespondToAnother,
                4 => Behaviour::TruncateAfter(rng.random_range(1..9)),
                5 => Behaviour::Hang,
                6 => Behaviour::FailStream,
                _ => Behaviour::CloseBeforeEvent,
            };
            let usual = Action::Behave(endpoint, Behaviour::Steady);
            (vec![Action::Behave(endpoint, behaviour)], vec![usual])
        }
    }
}

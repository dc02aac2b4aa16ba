//! The plan of faults, determined by a seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::wire_endpoint::Behaviour;
use crate::wire_endpoint::EVENTS_PER_STREAM;

/// Number of control boxes of a run.
pub const CONTROL_BOXES: usize = 3;

/// Number of entry boxes of a run.
pub const ENTRY_BOXES: usize = 2;

/// Number of endpoints that serve at the same time.
pub const ENDPOINTS: usize = 3;

/// Upper bound of a fault's duration.
const MAX_FAULT_MS: u64 = 1_200;

/// Mean time between the beginnings of two faults; short enough that faults overlap.
const MEAN_FAULT_INTERVAL_MS: u64 = 350;

/// A fault that begins or ends, or another change to the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Kills an entry box.
    KillEntry(usize),
    /// Starts an entry box unless it is running.
    StartEntry(usize),
    /// Stops an entry box gracefully, by SIGTERM.
    StopEntry(usize),
    /// Pauses (true) or resumes the process of an entry box, by SIGSTOP and SIGCONT.
    PauseEntry(usize, bool),
    /// Kills a control box.
    KillControl(usize),
    /// Starts a control box unless it is running.
    StartControl(usize),
    /// Pauses (true) or resumes the process of a control box, by SIGSTOP and SIGCONT.
    PauseControl(usize, bool),
    /// Changes how an endpoint handles requests.
    Behave(usize, Behaviour),
    /// Resets an endpoint's connections and closes new ones (true), or ceases to.
    Cut(usize, bool),
    /// Forwards nothing to and from an endpoint while its connections stay open (true), or ceases
    /// to.
    Freeze(usize, bool),
    /// Delays all bytes to and from an endpoint.
    Delay(usize, Duration),
    /// Sends the next version of the configuration.
    Configure,
    /// Sends the next version of the configuration, with this many more routes from now on.
    AddRoutes(usize),
    /// Makes an endpoint announce that it is leaving, and starts another in its place.
    Drain(usize),
    /// Starts an endpoint in addition.
    AddEndpoint,
    /// Makes an endpoint advertise a limit in requests per second from now on.
    AdvertiseLimit(usize, &'static str),
    /// Starts an endpoint that responds to this many requests with whole streams, and then crashes
    /// inside the event after this one.
    StartUnframed(usize, u32),
    /// Starts an endpoint that crashes on a part of prompts.
    StartMortal,
    /// Starts an endpoint whose bytes never end, of this kind, which sends slowly (true) or fast.
    StartUnending(usize, bool),
    /// Makes an endpoint request a back-off of this many seconds in its refusals from now on, or
    /// none.
    RequestBackOff(usize, Option<&'static str>),
}

/// An action at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the beginning of the run.
    pub at: Duration,
    /// What to do.
    pub action: Action,
}

/// The faults of a seed as steps, ordered by time. Faults begin within `time`; each one that lasts
/// also ends.
pub fn plan(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..MEAN_FAULT_INTERVAL_MS));
    while at < time {
        let end = at + Duration::from_millis(rng.random_range(50..MAX_FAULT_MS));
        let (begins, ends) = fault(&mut rng);
        steps.extend(begins.into_iter().map(|action| Step { at, action }));
        steps.extend(ends.into_iter().map(|action| Step { at: end, action }));
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_FAULT_INTERVAL_MS));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Limits that endpoints advertise, in requests per second.
const LIMITS: [&str; 4] = ["0.2", "1", "1.5", "6"];

/// Separates the random numbers of limits from those of faults, so that adding limits left the
/// faults of each seed unchanged.
const LIMITS_STREAM: u64 = 0x4C49_4D49_5453;

/// The limits of a seed: one or two endpoints advertise one within the first second.
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

/// Back-offs that endpoints request, in seconds.
const BACK_OFFS: [&str; 3] = ["1", "1.5", "3"];

/// Separates the random numbers of back-offs from those of faults.
const BACK_OFFS_STREAM: u64 = 0x5245_5354;

/// The back-offs of a seed within `time`: every 0.5 to 2.5 s an endpoint begins to refuse all
/// requests and to request a back-off.
pub fn back_offs(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ BACK_OFFS_STREAM);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..1_000));
    while at < time {
        let endpoint = rng.random_range(0..ENDPOINTS);
        let back_off = BACK_OFFS[rng.random_range(0..BACK_OFFS.len())];
        let end = at + Duration::from_millis(rng.random_range(50..MAX_FAULT_MS));
        let step = |at, action| Step { at, action };
        steps.extend([
            step(at, Action::RequestBackOff(endpoint, Some(back_off))),
            step(at, Action::Behave(endpoint, Behaviour::Refuse)),
            step(end, Action::Behave(endpoint, Behaviour::Steady)),
            step(end, Action::RequestBackOff(endpoint, None)),
        ]);
        at += Duration::from_millis(rng.random_range(500..2_500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Numbers of routes by which the configuration grows, up to the size of users' large ones.
const ADDED_ROUTES: [usize; 3] = [20, 350, 1_400];

/// Separates the random numbers of configurations from those of faults.
const CONFIGURATIONS_STREAM: u64 = 0x434F_4E46_4947;

/// The configurations of a seed within `time`: one with more routes at the beginning, then a series
/// of changes.
pub fn configurations(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ CONFIGURATIONS_STREAM);
    let routes = ADDED_ROUTES[rng.random_range(0..ADDED_ROUTES.len())];
    let mut at = Duration::from_millis(rng.random_range(0..1_000));
    let mut steps = vec![Step { at, action: Action::AddRoutes(routes) }];
    at += Duration::from_millis(rng.random_range(0..1_000));
    while at < time {
        steps.push(Step { at, action: Action::Configure });
        at += Duration::from_millis(rng.random_range(80..600));
    }
    steps
}

/// A random fault: the actions that begin it and those that end it.
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

/// Maximum number of whole streams from an endpoint that crashes in the next one.
const MAX_WHOLE_STREAMS: usize = 8;

/// Separates the random numbers of endpoints that crash in a stream from those of faults.
const UNFRAMED_STREAM: u64 = 0x554E_4652_414D_4544;

/// The endpoints without framed responses of a seed within `time`: one starts at the beginning and
/// another one every 0.2 to 0.8 s.
pub fn unframed(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ UNFRAMED_STREAM);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < time {
        let whole = rng.random_range(0..=MAX_WHOLE_STREAMS);
        let last = rng.random_range(0..EVENTS_PER_STREAM);
        steps.push(Step { at, action: Action::StartUnframed(whole, last) });
        at += Duration::from_millis(rng.random_range(200..800));
    }
    steps
}

/// Separates the random numbers of endpoints that crash on a part from those of faults.
const MORTAL_STREAM: u64 = 0x4D4F_5254_414C_0000;

/// The endpoints of a seed within `time` that crash on a part of prompts: one starts at the beginning
/// and another one every 0.1 to 0.5 s.
pub fn mortal(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ MORTAL_STREAM);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < time {
        steps.push(Step { at, action: Action::StartMortal });
        at += Duration::from_millis(rng.random_range(100..500));
    }
    steps
}

/// Separates the random numbers of kills from those of faults.
const KILLS_STREAM: u64 = 0x4B49_4C4C_5300;

/// The kills of a seed within `time`, in addition to those among the faults: every 0.3 to 0.9 s an
/// entry box is killed and soon started again, so that callers take streams up at other boxes.
pub fn kills(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ KILLS_STREAM);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(300..900));
    while at < time {
        let entry = rng.random_range(0..ENTRY_BOXES);
        let end = at + Duration::from_millis(rng.random_range(50..300));
        steps.push(Step { at, action: Action::KillEntry(entry) });
        steps.push(Step { at: end, action: Action::StartEntry(entry) });
        at += Duration::from_millis(rng.random_range(300..900));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Separates the random numbers of the kills of one box from those of faults.
const ONE_BOX_STREAM: u64 = 0x4F4E_4520_424F_5800;

/// Number of endpoints that are started before the kills of one box: two of each version, so that
/// two serve whatever the faults before have left, and whatever limits the others advertise.
const ADDED_ENDPOINTS: usize = 4;

/// Time in which boxes find out which endpoints have been added.
const ADDED_TIME: Duration = Duration::from_secs(1);

/// After all faults, while all other boxes stay in touch: one entry box is killed again and again
/// and soon started again, and one endpoint at a time breaks off its streams, so that callers take
/// streams up at boxes that can know where they began.
pub fn kills_of_one_box(seed: u64, time: Duration) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ONE_BOX_STREAM);
    let entry = rng.random_range(0..ENTRY_BOXES);
    let add = |_| Step { at: Duration::ZERO, action: Action::AddEndpoint };
    let mut steps: Vec<Step> = (0..ADDED_ENDPOINTS).map(add).collect();
    let mut at = ADDED_TIME;
    while at < ADDED_TIME + time {
        let end = at + Duration::from_millis(rng.random_range(50..300));
        let endpoint = rng.random_range(0..ENDPOINTS);
        let (begins, ends) = if rng.random() {
            (Action::Cut(endpoint, true), Action::Cut(endpoint, false))
        } else {
            let broken = Behaviour::TruncateAfter(rng.random_range(1..EVENTS_PER_STREAM));
            let usual = Action::Behave(endpoint, Behaviour::Steady);
            (Action::Behave(endpoint, broken), usual)
        };
        let step = |at, action| Step { at, action };
        steps.extend([
            step(at, begins),
            step(at, Action::KillEntry(entry)),
            step(end, ends),
            step(end, Action::StartEntry(entry)),
        ]);
        at = end + Duration::from_millis(rng.random_range(300..700));
    }
    steps
}

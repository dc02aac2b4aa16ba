//! All endpoints that an entry box may use, and the choice among them.

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use vaneway_limit::AdvertisedLimit;
use vaneway_limit::Sender;

use crate::Endpoint;
use crate::EndpointAction;
use crate::EndpointEvent;
use crate::EndpointId;
use crate::EndpointSpec;
use crate::EndpointState;
use crate::Load;
use crate::PartId;
use crate::Policy;
use crate::ServiceId;
use crate::Work;
use crate::endpoint_chart;
use crate::expected;
use crate::expected::CACHED_PART_MAX_AGE;
use crate::policy::Chooser;
use crate::silence::SilentZones;

/// What a request needs of the endpoint to be chosen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Query<'a> {
    /// The service that must answer.
    pub service: ServiceId,
    /// The caller's box stands in this availability zone, which is preferred.
    pub home: &'a str,
    /// Endpoints tried already; used only when nothing else is left.
    pub avoid: &'a [EndpointId],
    /// Hash of the prompt's beginning, for affinity.
    pub prefix: u64,
    /// What the request will cost, if known.
    pub work: Option<&'a Work>,
    /// Hash by which the request is placed apart from others of its kind, in place of where it costs least: an
    /// endpoint ended under it, and those that ran beside it must not meet again at the next one.
    pub isolation_hash: Option<u64>,
    /// When its first event has to come, if that is to be held.
    pub queue_limit: Option<QueueLimit>,
    /// What the limits that endpoints name leave to this box.
    pub sender: Sender,
}

/// What decides whether an engine's queue is short enough for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueLimit {
    /// Seconds in which an engine reads a token of a prompt.
    pub seconds_per_token: f64,
    /// Time that the work before the request may take. Its own prompt does not count: one that takes long to read does
    /// so anywhere.
    pub max_wait: Duration,
    /// Prompt tokens that all boxes together bring before they hear of each other.
    pub unreported_tokens: f64,
}

/// The answer to a [`Query`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send it there.
    Endpoint(EndpointId),
    /// All that could take it are full.
    Full,
    /// All that could take it have named limits, and what this box may send of them is sent.
    Limited,
    /// All that could take it have more work than can be done in time.
    QueuesTooLong,
    /// None can take it before the given time, if one is known.
    Unavailable {
        /// When the first of them is over a suspension or a rest.
        until: Option<Instant>,
    },
}

/// What an endpoint's change means for work that runs there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Running work should move away before the time given.
    MoveWork {
        /// The endpoint that is leaving.
        endpoint: EndpointId,
        /// When it is gone.
        gone_at: Instant,
    },
    /// Running work there is lost.
    AbandonWork {
        /// The endpoint that is gone.
        endpoint: EndpointId,
    },
}

/// Notice assumed when the platform names none, the shortest that clouds give in practice.
const NOTICE_DEFAULT: Duration = Duration::from_secs(5);

/// Age from which a use of a kept prompt part is news to the other boxes again: often enough that a part in
/// use never counts as forgotten.
const PART_TOLD_AGAIN: Duration = Duration::from_secs(CACHED_PART_MAX_AGE.as_secs() / 2);

/// Brought prompt parts that wait to be told; beyond it they are known to this box alone.
const BROUGHT_MOST: usize = 4_096;

/// How long an endpoint that has ended gets no work: longer than most take to start again, and each look at one that is
/// gone costs a request its time and other endpoints an arrival.
const ENDED_FOR: Duration = Duration::from_secs(10);

/// How many times what boxes bring before they hear of each other the room in time must be for each box to place a
/// request as is best for it.
const AMPLE: f64 = 4.0;

/// What a refusal counts against one failure.
const REFUSAL_WORTH: f64 = 0.5;

/// The endpoints and the chooser.
#[derive(Debug)]
pub struct Pool {
    endpoints: Vec<Endpoint>,
    chooser: Chooser,
    candidates: Vec<EndpointId>,
    /// Prompt parts that requests of this box brought to endpoints where they were not known to be kept.
    brought: Vec<(EndpointId, PartId)>,
}

impl Pool {
    /// A pool of `specs`, choosing by `policy` with random numbers from `seed`.
    pub fn new(specs: Vec<EndpointSpec>, policy: Policy, seed: u64) -> Self {
        Self {
            endpoints: specs.into_iter().map(Endpoint::new).collect(),
            chooser: Chooser::new(policy, Pcg64Mcg::seed_from_u64(seed)),
            candidates: Vec::new(),
            brought: Vec::new(),
        }
    }

    /// Adds an endpoint.
    pub fn add(&mut self, spec: EndpointSpec) -> EndpointId {
        self.endpoints.push(Endpoint::new(spec));
        self.endpoints.len() as EndpointId - 1
    }

    /// Every endpoint, by id.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// One endpoint.
    pub fn get(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id as usize]
    }

    /// Applies what was seen of an endpoint.
    pub fn handle(
        &mut self,
        now: Instant,
        id: EndpointId,
        event: EndpointEvent,
        out: &mut Vec<Effect>,
    ) {
        let endpoint = &mut self.endpoints[id as usize];
        if event == EndpointEvent::Failed {
            endpoint.recent_failures.add(now, 1.0);
        }
        let step = endpoint_chart().step(endpoint.state, event);
        endpoint.state = step.to;
        for action in &step.actions {
            match action {
                EndpointAction::MoveWork => {
                    let gone_at = *endpoint.gone_at.get_or_insert(now + NOTICE_DEFAULT);
                    out.push(Effect::MoveWork { endpoint: id, gone_at });
                }
                EndpointAction::AbandonWork => out.push(Effect::AbandonWork { endpoint: id }),
                EndpointAction::Suspend => endpoint.suspend(now),
                EndpointAction::Restore => endpoint.restore(),
                EndpointAction::Reset => endpoint.reset(),
            }
        }
    }

    /// Notes that some box found an endpoint to have ended. It gets no work for `ENDED_FOR`, since it may have started
    /// again at its address.
    pub fn record_exit(&mut self, now: Instant, id: EndpointId, out: &mut Vec<Effect>) {
        self.handle(now, id, EndpointEvent::Failed, out);
        let endpoint = &mut self.endpoints[id as usize];
        if endpoint.state == EndpointState::Suspect {
            endpoint.suspended_until = Some(now + ENDED_FOR);
        }
    }

    /// Notes that an endpoint refused a request. It is not suspended for that, since it answers, but
    /// others are preferred for a while.
    pub fn record_refusal(&mut self, now: Instant, id: EndpointId) {
        self.endpoints[id as usize].recent_failures.add(now, REFUSAL_WORTH);
    }

    /// Notes that an endpoint wants nothing from this box before `until`. What it answers meanwhile ends no rest.
    pub fn back_off(&mut self, id: EndpointId, until: Instant) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.backoff_until = endpoint.backoff_until.max(Some(until));
    }

    /// Marks an endpoint as leaving, to be gone at `gone_at`. A second notice can only bring the
    /// time forward.
    pub fn notice(
        &mut self,
        now: Instant,
        id: EndpointId,
        gone_at: Instant,
        out: &mut Vec<Effect>,
    ) {
        let endpoint = &mut self.endpoints[id as usize];
        if endpoint.state != EndpointState::Gone {
            endpoint.gone_at = Some(endpoint.gone_at.map_or(gone_at, |at| at.min(gone_at)));
        }
        self.handle(now, id, EndpointEvent::Notice, out);
    }

    /// Learns which instance of an endpoint's box is said to run; true if it is the current one.
    ///
    /// The platform's list lags: it may name an instance that was replaced already, which must
    /// not bring that one back. So an instance once replaced is remembered and never returns.
    pub fn set_instance(
        &mut self,
        now: Instant,
        id: EndpointId,
        instance: &str,
        out: &mut Vec<Effect>,
    ) -> bool {
        let endpoint = &mut self.endpoints[id as usize];
        if endpoint.is_retired(instance) {
            return false;
        }
        if endpoint.adopt(instance) {
            self.handle(now, id, EndpointEvent::Replaced, out);
        }
        true
    }

    /// The next time at which a leaving endpoint is gone.
    pub fn next_deadline(&self) -> Option<Instant> {
        let leaving = self.endpoints.iter().filter(|e| e.state == EndpointState::Leaving);
        leaving.filter_map(|endpoint| endpoint.gone_at).min()
    }

    /// Lets the endpoints whose time has come be gone.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for id in 0..self.endpoints.len() as EndpointId {
            let endpoint = self.get(id);
            let over = endpoint.gone_at.is_some_and(|at| at <= now);
            if over && endpoint.state == EndpointState::Leaving {
                self.handle(now, id, EndpointEvent::Deadline, out);
            }
        }
    }

    /// Chooses an endpoint. Endpoints of the home availability zone go first, then those not
    /// tried before, then any. What is chosen counts against the limit that its endpoint names: every
    /// attempt is chosen here, first ones, repeated ones and those that go on elsewhere.
    pub fn choose(&mut self, now: Instant, query: Query<'_>) -> Choice {
        let choice = self.choose_among_open(now, query);
        if let Choice::Endpoint(id) = choice {
            self.endpoints[id as usize].gate.record_sent(query.sender);
        }
        choice
    }

    fn choose_among_open(&mut self, now: Instant, query: Query<'_>) -> Choice {
        let preferences: [fn(&Endpoint, bool, &Query<'_>) -> bool; 3] = [
            |endpoint, tried, query| !tried && endpoint.spec.availability_zone == query.home,
            |_, tried, _| !tried,
            |_, _, _| true,
        ];
        // Where the way counts as work, it is weighed against the rest.
        let weighed = self.chooser.policy() == Policy::ExpectedWork;
        for preferred in preferences.into_iter().skip(usize::from(weighed)) {
            self.collect(now, &query, preferred);
            if let Some(queue_limit) = query.queue_limit.filter(|_| !self.candidates.is_empty()) {
                match self.keep_those_in_time(now, queue_limit, query.sender) {
                    InTime::Some => {}
                    InTime::One(id) => return Choice::Endpoint(id),
                    InTime::None => return Choice::QueuesTooLong,
                }
            }
            let candidates = &self.candidates;
            if let Some(id) = self.chooser.pick(&self.endpoints, candidates, now, &query) {
                return Choice::Endpoint(id);
            }
        }
        self.nothing(now, &query)
    }

    fn collect(
        &mut self,
        now: Instant,
        query: &Query<'_>,
        preferred: fn(&Endpoint, bool, &Query<'_>) -> bool,
    ) {
        self.candidates.clear();
        for (id, endpoint) in self.endpoints.iter().enumerate() {
            let id = id as EndpointId;
            let fits = endpoint.spec.service == query.service
                && endpoint.takes_work(now)
                && endpoint.has_room()
                && endpoint.gate.is_open(query.sender);
            if fits && preferred(endpoint, query.avoid.contains(&id), query) {
                self.candidates.push(id);
            }
        }
    }

    /// Finds out whether a request can be in time and, if there is not enough room for all that comes, draws.
    ///
    /// What boxes know of an endpoint's queue is old. If all of them turned to those that seem to have room, these
    /// would be overrun before anyone hears of it: so a box takes no more than its part of the room that is left, and
    /// spreads it as the room is spread.
    ///
    /// What a limit leaves to this box is no other's, so there is nothing to draw.
    fn keep_those_in_time(
        &mut self,
        now: Instant,
        queue_limit: QueueLimit,
        sender: Sender,
    ) -> InTime {
        let most = queue_limit.max_wait.as_secs_f64() / queue_limit.seconds_per_token;
        let ahead = |id: EndpointId| expected::tokens_ahead(&self.endpoints[id as usize], now);
        let room = |id: EndpointId| most - ahead(id) as f64;
        let rooms: Vec<f64> = self.candidates.iter().map(|id| room(*id)).collect();
        let all: f64 = rooms.iter().map(|room| room.max(0.0)).sum();
        if all > AMPLE * queue_limit.unreported_tokens {
            let mut rooms = rooms.iter();
            self.candidates.retain(|_| rooms.next().is_some_and(|room| *room > 0.0));
            return InTime::Some;
        }
        let is_own = |id: EndpointId| self.endpoints[id as usize].gate.is_limited(sender.now);
        let with_room = self.candidates.iter().zip(&rooms).filter(|(_, room)| **room > 0.0);
        let own: Vec<EndpointId> = with_room.map(|(id, _)| *id).filter(|id| is_own(*id)).collect();
        if !own.is_empty() {
            self.candidates = own;
            return InTime::Some;
        }
        if self.chooser.draw() * queue_limit.unreported_tokens.max(all) >= all {
            return InTime::None;
        }
        let mut left = self.chooser.draw() * all;
        let mut drawn = None;
        for (id, room) in self.candidates.iter().zip(&rooms).filter(|(_, room)| **room > 0.0) {
            drawn = Some(*id);
            left -= room;
            if left <= 0.0 {
                break;
            }
        }
        drawn.map_or(InTime::None, InTime::One)
    }

    fn nothing(&self, now: Instant, query: &Query<'_>) -> Choice {
        let of_service = || self.endpoints.iter().filter(|e| e.spec.service == query.service);
        let mut takes_work = of_service().filter(|endpoint| endpoint.takes_work(now)).peekable();
        if takes_work.peek().is_some() {
            let is_limited = takes_work.all(|endpoint| !endpoint.gate.is_open(query.sender));
            return if is_limited { Choice::Limited } else { Choice::Full };
        }
        let first = self.first_to_take_work(query.service);
        Choice::Unavailable { until: first.and_then(Endpoint::takes_work_from) }
    }

    /// When a service's first endpoint is over its rest, if all want nothing until then. A suspension is this box's guess, and
    /// no such time.
    pub fn backoff_until(&self, service: ServiceId) -> Option<Instant> {
        let first = self.first_to_take_work(service)?;
        first.backoff_until.filter(|rest| Some(*rest) >= first.suspended_until)
    }

    /// The endpoint of a service that waits for the shortest time, be it for a rest or a suspension.
    fn first_to_take_work(&self, service: ServiceId) -> Option<&Endpoint> {
        let stays =
            |e: &&Endpoint| matches!(e.state, EndpointState::Serving | EndpointState::Suspect);
        let of_service = self.endpoints.iter().filter(|e| e.spec.service == service);
        of_service.filter(stays).min_by_key(|endpoint| endpoint.takes_work_from())
    }

    /// Counts an attempt that begins: `tokens` of work, or what the endpoint must read of a prompt.
    /// The shared parts of the prompt will be kept there. Returns the tokens that were counted.
    pub fn begin_attempt(
        &mut self,
        now: Instant,
        id: EndpointId,
        tokens: u64,
        work: Option<&Work>,
    ) -> u64 {
        let endpoint = &mut self.endpoints[id as usize];
        let tokens = work.map_or(tokens, |work| expected::unread(endpoint, work, now));
        endpoint.open += 1;
        endpoint.open_tokens += tokens;
        for part in work.map_or(&[][..], Work::shared) {
            let before = endpoint.cached_parts.insert(part.id, now);
            let is_news = before.is_none_or(|at| now >= at + PART_TOLD_AGAIN);
            if is_news && self.brought.len() < BROUGHT_MOST {
                self.brought.push((id, part.id));
            }
        }
        endpoint.forget_parts(now);
        tokens
    }

    /// Prompt parts that requests of this box brought to endpoints since this was last asked, where that is
    /// news to the other boxes.
    pub fn take_new_parts(&mut self) -> Vec<(EndpointId, PartId)> {
        std::mem::take(&mut self.brought)
    }

    /// Learns that requests of other boxes brought prompt parts to an endpoint.
    pub fn record_cached_parts(&mut self, now: Instant, id: EndpointId, parts: &[PartId]) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.cached_parts.extend(parts.iter().map(|part| (*part, now)));
        endpoint.forget_parts(now);
    }

    /// Counts that the answer of an attempt begins to arrive; `tokens` as [`Pool::begin_attempt`] returned
    /// them.
    pub fn begin_response(&mut self, now: Instant, id: EndpointId, tokens: u64) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.open_tokens -= tokens;
        endpoint.responding += 1;
        endpoint.last_progress = Some(now);
    }

    /// Notes that a piece of an answer arrived from an endpoint.
    pub fn record_progress(&mut self, now: Instant, id: EndpointId) {
        self.endpoints[id as usize].last_progress = Some(now);
    }

    /// Counts an attempt that ended, with `tokens` of work that had not begun; `arriving` if its
    /// answer had begun to arrive.
    pub fn end_attempt(&mut self, id: EndpointId, tokens: u64, arriving: bool) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.open -= 1;
        endpoint.open_tokens -= tokens;
        endpoint.responding -= u32::from(arriving);
    }

    /// Whether an endpoint seems to be out of reach: its answers have stopped arriving, or there
    /// are none and those of all others in its availability zone have.
    pub fn is_unresponsive(&self, now: Instant, id: EndpointId) -> bool {
        SilentZones::of(&self.endpoints, now).covers(self.get(id), now)
    }

    /// Puts in force what an endpoint named as its limit.
    pub fn set_limit(&mut self, id: EndpointId, named: AdvertisedLimit) {
        self.endpoints[id as usize].gate.set_limit(named);
    }

    /// Learns what the other entry boxes have open at an endpoint.
    pub fn set_others_load(&mut self, now: Instant, id: EndpointId, load: Load) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.others_load = load;
        endpoint.others_load_at = Some(now);
    }
}

/// Which candidates can bring a request's first event in time.
enum InTime {
    /// Those that are left, and there is ample room for what all boxes bring meanwhile.
    Some,
    /// This one, drawn from those that can.
    One(EndpointId),
    /// None, or only for a part of what comes, and the draw fell on others.
    None,
}

//! The pool of endpoints that an entry box can use, and the choice among them.

mod versions;

pub use versions::VersionFilter;
pub use versions::VersionRule;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use crate::shortage;
use crate::shortage::QueueFilter;
use crate::shortage::QueueLimit;
use crate::silence::UnresponsiveZones;

/// Requirements of a request for the endpoint to be chosen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Query<'a> {
    /// The service that must respond.
    pub service: ServiceId,
    /// Availability zone of this entry box; endpoints in it are preferred.
    pub home: &'a str,
    /// Endpoints tried already; chosen again only if there are no others.
    pub avoid: &'a [EndpointId],
    /// Hash of the prompt's beginning, for affinity.
    pub prefix: u64,
    /// Estimated cost of the request, if known.
    pub work: Option<&'a Work>,
    /// The software version that must respond; any if none.
    pub software: Option<&'a str>,
    /// Hash by which to choose the endpoint instead of by cost. Set if an endpoint crashed while it
    /// ran the request: it isolates the request from those that ran beside it, so that they don't
    /// run together at the next endpoint.
    pub isolation_hash: Option<u64>,
    /// Bound on the queue of the endpoint, if the time to the first event must be met.
    pub queue_limit: Option<QueueLimit>,
    /// Determines this box's share of the limits that endpoints advertise.
    pub sender: Sender,
    /// The versions that may be used; set by the pool.
    pub versions: Option<VersionFilter<'a>>,
}

impl Query<'_> {
    /// Whether an endpoint is one that must respond, whatever its state.
    pub(crate) fn fits(&self, endpoint: &Endpoint) -> bool {
        let has_version = self.software.is_none_or(|software| endpoint.spec.software == software);
        has_version
            && endpoint.spec.service == self.service
            && self.versions.is_none_or(|versions| versions.admits(endpoint))
    }
}

/// Requirements of a forwarded request for the neighbour to be chosen.
#[derive(Debug, Clone, Copy, Default)]
pub struct NeighbourQuery<'a> {
    /// The neighbours.
    pub among: &'a [EndpointId],
    /// Availability zone of this entry box; neighbours in it are preferred.
    pub home: &'a str,
    /// Neighbours tried already.
    pub tried: &'a [EndpointId],
    /// Whether one that was tried may be chosen again if there is no other. If not, a request that
    /// all have been tried for is refused at once.
    pub may_return: bool,
    /// Neighbours that have no endpoint of the required software version left.
    pub without_version: &'a [EndpointId],
}

/// The result of a [`Query`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this endpoint.
    Endpoint(EndpointId),
    /// All available endpoints are full.
    Full,
    /// All available endpoints advertise limits, and this box has used up its share of them.
    Limited,
    /// All available endpoints have queues that are too long for the request's [`QueueLimit`].
    QueuesTooLong,
    /// No endpoint accepts requests at present.
    Unavailable {
        /// When the first suspension or back-off ends, if that is known.
        until: Option<Instant>,
    },
    /// No endpoint of the required software version is left: all that there were are leaving, gone
    /// or have exited.
    NoneLeft,
}

/// Consequence of an endpoint's state change for the work that runs there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Running work should move to another endpoint before `gone_at`.
    MoveWork {
        /// The endpoint that is leaving.
        endpoint: EndpointId,
        /// When it will be gone.
        gone_at: Instant,
    },
    /// Running work is lost.
    AbandonWork {
        /// The endpoint that is gone.
        endpoint: EndpointId,
    },
}

/// Notice period assumed if the platform states none: the shortest that clouds give in practice.
const DEFAULT_NOTICE: Duration = Duration::from_secs(5);

/// Age from which another use of a cached prompt part is sent to the other boxes: often enough that
/// a part in use never expires there.
const PART_UPDATE_INTERVAL: Duration = Duration::from_secs(CACHED_PART_MAX_AGE.as_secs() / 2);

/// Maximum new prompt parts queued for the other boxes; further ones are known to this box alone.
const MAX_NEW_PARTS: usize = 4_096;

/// Suspension of an endpoint that has exited: longer than most take to restart. Each attempt at one
/// that is still gone delays a request and causes a retry at another endpoint.
const EXIT_SUSPENSION: Duration = Duration::from_secs(10);

/// Weight of a refusal in the recent failures, where a failure counts 1.
const REFUSAL_WEIGHT: f64 = 0.5;

/// All endpoints, with the policy that chooses among them.
#[derive(Debug)]
pub struct Pool {
    endpoints: Vec<Endpoint>,
    /// Software versions of all endpoints by service.
    software: BTreeMap<ServiceId, BTreeSet<String>>,
    /// What may be sent to versions of services that are brought in.
    gates: BTreeMap<ServiceId, versions::Gate>,
    pub(crate) chooser: Chooser,
    /// Candidates of the current choice; kept to reuse the allocation.
    candidates: Vec<EndpointId>,
    /// Prompt parts that requests of this box used at endpoints where they did not count as cached,
    /// to be sent to the other boxes.
    new_parts: Vec<(EndpointId, PartId)>,
}

impl Pool {
    /// Creates a pool of `specs` that chooses by `policy` with random numbers from `seed`.
    pub fn new(specs: Vec<EndpointSpec>, policy: Policy, seed: u64) -> Self {
        let mut pool = Self {
            endpoints: Vec::with_capacity(specs.len()),
            software: BTreeMap::new(),
            gates: BTreeMap::new(),
            chooser: Chooser::new(policy, Pcg64Mcg::seed_from_u64(seed)),
            candidates: Vec::new(),
            new_parts: Vec::new(),
        };
        for spec in specs {
            pool.add(spec);
        }
        pool
    }

    /// Adds an endpoint and returns its id.
    pub fn add(&mut self, spec: EndpointSpec) -> EndpointId {
        self.software.entry(spec.service).or_default().insert(spec.software.clone());
        self.endpoints.push(Endpoint::new(spec));
        self.endpoints.len() as EndpointId - 1
    }

    /// The software versions of a service's endpoints, those included that are gone. Takes as long
    /// as there are versions, not endpoints.
    pub fn software_versions(&self, service: ServiceId) -> impl Iterator<Item = &String> {
        self.software.get(&service).into_iter().flatten()
    }

    /// All endpoints, indexed by id.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// The endpoint with the given id.
    pub fn get(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id as usize]
    }

    /// Applies an event to an endpoint's state; appends the consequences for running work to `out`.
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
                    let gone_at = *endpoint.gone_at.get_or_insert(now + DEFAULT_NOTICE);
                    out.push(Effect::MoveWork { endpoint: id, gone_at });
                }
                EndpointAction::AbandonWork => out.push(Effect::AbandonWork { endpoint: id }),
                EndpointAction::Suspend => endpoint.suspend(now),
                EndpointAction::Restore => endpoint.restore(),
                EndpointAction::Reset => endpoint.reset(),
            }
        }
    }

    /// Records that some box found an endpoint's process to have exited. The endpoint gets no work
    /// for `EXIT_SUSPENSION`; it is not removed, because it may restart at the same address.
    pub fn record_exit(&mut self, now: Instant, id: EndpointId, out: &mut Vec<Effect>) {
        self.handle(now, id, EndpointEvent::Failed, out);
        let endpoint = &mut self.endpoints[id as usize];
        if endpoint.state == EndpointState::Suspect {
            endpoint.suspended_until = Some(now + EXIT_SUSPENSION);
            endpoint.exited_until = endpoint.suspended_until;
        }
    }

    /// Records that an endpoint refused a request. It is not suspended, because it responds, but
    /// others are preferred for a while.
    pub fn record_refusal(&mut self, now: Instant, id: EndpointId) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.recent_failures.add(now, REFUSAL_WEIGHT);
        endpoint.refused_at = Some(now);
    }

    /// Sends an endpoint no work before `until`, because it asked this box to back off. Its
    /// responses to open requests do not end the back-off.
    pub fn back_off(&mut self, id: EndpointId, until: Instant) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.backoff_until = endpoint.backoff_until.max(Some(until));
    }

    /// Marks an endpoint as leaving; it will be gone at `gone_at`. A further notice can only make
    /// that time earlier.
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

    /// Sets the instance of an endpoint's box that the platform lists; true if it is current.
    ///
    /// The platform's list lags: it may contain an instance that was replaced already. Replaced
    /// instances are therefore remembered and never become current again.
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
        if endpoint.replace_instance(instance) {
            self.handle(now, id, EndpointEvent::Replaced, out);
        }
        true
    }

    /// The earliest time at which a leaving endpoint will be gone.
    pub fn next_deadline(&self) -> Option<Instant> {
        let leaving = self.endpoints.iter().filter(|e| e.state == EndpointState::Leaving);
        leaving.filter_map(|endpoint| endpoint.gone_at).min()
    }

    /// Marks the leaving endpoints whose deadline has passed as gone.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for id in 0..self.endpoints.len() as EndpointId {
            let endpoint = self.get(id);
            let is_due = endpoint.gone_at.is_some_and(|at| at <= now);
            if is_due && endpoint.state == EndpointState::Leaving {
                self.handle(now, id, EndpointEvent::Deadline, out);
            }
        }
    }

    /// Chooses an endpoint: from those in the home availability zone, else from those not tried
    /// before, else from all. The choice counts against the endpoint's advertised limit; all
    /// attempts are chosen here, including retries and those that resume a stream.
    pub fn choose(&mut self, now: Instant, query: Query<'_>) -> Choice {
        let choice = self.choose_by_version(now, query);
        if let Choice::Endpoint(id) = choice {
            self.endpoints[id as usize].gate.record_sent(query.sender);
        }
        choice
    }

    fn choose_uncounted(&mut self, now: Instant, query: Query<'_>) -> Choice {
        let preferences: [fn(&Endpoint, bool, &Query<'_>) -> bool; 3] = [
            |endpoint, tried, query| !tried && endpoint.spec.availability_zone == query.home,
            |_, tried, _| !tried,
            |_, _, _| true,
        ];
        let decides_zone = self.chooser.begin_zone(&self.endpoints, now, &query);
        // This policy includes the network delay to other zones in the cost.
        let is_distance_in_cost = decides_zone || self.chooser.policy() == Policy::ExpectedWork;
        for preferred in preferences.into_iter().skip(usize::from(is_distance_in_cost)) {
            self.collect_candidates(now, &query, preferred);
            if let Some(queue_limit) = query.queue_limit.filter(|_| !self.candidates.is_empty()) {
                let rooms = shortage::rooms(&self.endpoints, &self.candidates, now, queue_limit);
                let is_limited =
                    |id: EndpointId| self.endpoints[id as usize].gate.is_limited(query.sender.now);
                let for_zones = if decides_zone { rooms.clone() } else { Vec::new() };
                self.chooser.limit_stay(&self.endpoints, &for_zones, &query);
                match shortage::filter(rooms, queue_limit, is_limited, &mut self.chooser) {
                    QueueFilter::Filtered(ids) => self.candidates = ids,
                    QueueFilter::Drawn(id) => {
                        let id = self.chooser.redraw(&self.endpoints, &for_zones, id, now, &query);
                        return Choice::Endpoint(id);
                    }
                    QueueFilter::Rejected => return Choice::QueuesTooLong,
                }
            }
            if decides_zone {
                self.chooser.narrow(&self.endpoints, &mut self.candidates, now, &query);
            }
            let candidates = &self.candidates;
            if let Some(id) = self.chooser.pick(&self.endpoints, candidates, now, &query) {
                self.chooser.settle_zone(&self.endpoints[id as usize], &query);
                return Choice::Endpoint(id);
            }
        }
        self.no_endpoint(now, &query)
    }

    /// Fills `candidates` with the endpoints that can accept the request and are `preferred`.
    fn collect_candidates(
        &mut self,
        now: Instant,
        query: &Query<'_>,
        preferred: fn(&Endpoint, bool, &Query<'_>) -> bool,
    ) {
        self.candidates.clear();
        for (id, endpoint) in self.endpoints.iter().enumerate() {
            let id = id as EndpointId;
            let fits = query.fits(endpoint)
                && endpoint.takes_work(now)
                && endpoint.has_room()
                && endpoint.has_place_for(now, query.sender)
                && endpoint.is_within_limit(now, query.sender);
            if fits && preferred(endpoint, query.avoid.contains(&id), query) {
                self.candidates.push(id);
            }
        }
    }

    /// Determines the result of a query that no endpoint can serve at present.
    fn no_endpoint(&self, now: Instant, query: &Query<'_>) -> Choice {
        let fitting = self.endpoints.iter().filter(|endpoint| query.fits(endpoint));
        let mut takes_work = fitting.filter(|endpoint| endpoint.takes_work(now)).peekable();
        if takes_work.peek().is_some() {
            let is_limited =
                takes_work.all(|endpoint| !endpoint.is_within_limit(now, query.sender));
            return if is_limited { Choice::Limited } else { Choice::Full };
        }
        let usable = || self.usable(query.service).map(|id| self.get(id));
        let usable = || usable().filter(|endpoint| query.fits(endpoint));
        if query.software.is_some() && usable().all(|endpoint| endpoint.has_exited(now)) {
            return Choice::NoneLeft;
        }
        let first = usable().min_by_key(|endpoint| endpoint.available_from());
        Choice::Unavailable { until: first.and_then(Endpoint::available_from) }
    }

    /// End of the back-off of the endpoint that becomes available first in a service. None if it has
    /// no back-off, or if its suspension ends later: a suspension is only this box's estimate.
    pub fn backoff_until(&self, service: ServiceId) -> Option<Instant> {
        let first = self.first_available(service)?;
        first.backoff_until.filter(|backoff| Some(*backoff) >= first.suspended_until)
    }

    /// Returns the endpoint of a service whose suspension and back-off end first.
    fn first_available(&self, service: ServiceId) -> Option<&Endpoint> {
        let usable = self.usable(service).map(|id| self.get(id));
        usable.min_by_key(|endpoint| endpoint.available_from())
    }

    /// Chooses a neighbour that accepts work: one that wasn't tried before others, then one in the
    /// home availability zone, then the one with the fewest open requests of this box, then any.
    pub fn choose_neighbour(&mut self, now: Instant, query: NeighbourQuery<'_>) -> Choice {
        let NeighbourQuery { among, home, tried, may_return, without_version } = query;
        if among.iter().all(|id| without_version.contains(id)) {
            return Choice::NoneLeft;
        }
        let first = (self.chooser.random_fraction() * among.len() as f64) as usize;
        let in_turn = among[first..].iter().chain(&among[..first]).copied();
        let may_serve =
            |id: &EndpointId| !without_version.contains(id) && (may_return || !tried.contains(id));
        let takes_work = |id: &EndpointId| {
            let neighbour = self.get(*id);
            may_serve(id) && neighbour.takes_work(now) && neighbour.has_room()
        };
        let chosen = in_turn.filter(takes_work).min_by_key(|id| {
            let neighbour = self.get(*id);
            let is_elsewhere = neighbour.spec.availability_zone != home;
            (tried.contains(id), is_elsewhere, neighbour.open)
        });
        chosen.map_or(Choice::Unavailable { until: None }, Choice::Endpoint)
    }

    /// The endpoints of a service that are neither leaving nor gone.
    pub fn usable(&self, service: ServiceId) -> impl Iterator<Item = EndpointId> + '_ {
        let is_usable = move |endpoint: &Endpoint| {
            let stays = matches!(endpoint.state, EndpointState::Serving | EndpointState::Suspect);
            stays && endpoint.spec.service == service
        };
        let ids = self.endpoints.iter().zip(0..);
        ids.filter(move |(endpoint, _)| is_usable(endpoint)).map(|(_, id)| id)
    }

    /// Up to `count` usable endpoints of a service, drawn at random.
    pub fn sample(&mut self, service: ServiceId, count: usize) -> Vec<EndpointId> {
        let mut usable: Vec<EndpointId> = self.usable(service).collect();
        while usable.len() > count {
            let drawn = self.chooser.random_fraction() * usable.len() as f64;
            usable.swap_remove(drawn as usize);
        }
        usable
    }

    /// Ends the suspensions of a service's endpoints, because the path to them was lost and is open
    /// again. Those that have ended nevertheless will fail again.
    pub fn restore_all(&mut self, now: Instant, service: ServiceId, out: &mut Vec<Effect>) {
        for endpoint in self.usable(service).collect::<Vec<_>>() {
            self.handle(now, endpoint, EndpointEvent::Answered, out);
        }
    }

    /// Counts an attempt that starts, with the uncached tokens of `work` or, without it, with
    /// `tokens`. The shared parts of the prompt then count as cached there. Returns the tokens that
    /// were counted.
    pub fn begin_attempt(
        &mut self,
        now: Instant,
        id: EndpointId,
        tokens: u64,
        work: Option<&Work>,
    ) -> u64 {
        let endpoint = &mut self.endpoints[id as usize];
        let tokens = work.map_or(tokens, |work| expected::uncached_tokens(endpoint, work, now));
        endpoint.open += 1;
        endpoint.open_tokens += tokens;
        for part in work.map_or(&[][..], Work::shared) {
            let before = endpoint.cached_parts.insert(part.id, now);
            let is_update_due = before.is_none_or(|at| now >= at + PART_UPDATE_INTERVAL);
            if is_update_due && self.new_parts.len() < MAX_NEW_PARTS {
                self.new_parts.push((id, part.id));
            }
        }
        endpoint.remove_expired_parts(now);
        tokens
    }

    /// Returns the prompt parts to send to the other boxes: those that requests of this box used at
    /// endpoints since the last call, unless the other boxes have a recent enough update of them.
    pub fn take_new_parts(&mut self) -> Vec<(EndpointId, PartId)> {
        std::mem::take(&mut self.new_parts)
    }

    /// Records prompt parts that requests of other boxes used at an endpoint.
    pub fn record_cached_parts(&mut self, now: Instant, id: EndpointId, parts: &[PartId]) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.cached_parts.extend(parts.iter().map(|part| (*part, now)));
        endpoint.remove_expired_parts(now);
    }

    /// Records that the response of an attempt starts to arrive; `tokens` as returned by
    /// [`Pool::begin_attempt`].
    pub fn begin_response(&mut self, now: Instant, id: EndpointId, tokens: u64) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.open_tokens -= tokens;
        endpoint.responding += 1;
        endpoint.last_progress = Some(now);
    }

    /// Records that data of a response arrived from an endpoint.
    pub fn record_progress(&mut self, now: Instant, id: EndpointId) {
        self.endpoints[id as usize].last_progress = Some(now);
    }

    /// Counts an attempt that ended; `tokens` are its outstanding tokens, and `responding` says
    /// whether its response had started to arrive.
    pub fn end_attempt(&mut self, id: EndpointId, tokens: u64, responding: bool) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.open -= 1;
        endpoint.open_tokens -= tokens;
        endpoint.responding -= u32::from(responding);
    }

    /// Whether an endpoint is unresponsive: its responses have stopped arriving, or it has none
    /// open and those of all others in its availability zone have stopped.
    pub fn is_unresponsive(&self, now: Instant, id: EndpointId) -> bool {
        UnresponsiveZones::of(&self.endpoints, now).covers(self.get(id), now)
    }

    /// Sets the number of requests that an endpoint runs at once, if it fails when it has to refuse
    /// many.
    pub fn set_brittle(&mut self, id: EndpointId, places: Option<u32>) {
        self.endpoints[id as usize].brittle_places = places;
    }

    /// Applies a limit that an endpoint advertised.
    pub fn set_limit(&mut self, id: EndpointId, limit: AdvertisedLimit) {
        self.endpoints[id as usize].gate.set_limit(limit);
    }

    /// Sets the load from the other entry boxes at an endpoint.
    pub fn set_others_load(&mut self, now: Instant, id: EndpointId, load: Load) {
        let endpoint = &mut self.endpoints[id as usize];
        endpoint.others_load = load;
        endpoint.others_load_at = Some(now);
    }
}

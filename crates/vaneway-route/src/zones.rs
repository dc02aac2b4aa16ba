//! Decides whether a request leaves the box's availability zone, and which share of requests does.
//!
//! Why: traffic between zones takes longer and costs money, yet a zone's own endpoints are sometimes
//! too few. All boxes of a zone decide alike, with loads that are outdated. If each asked only
//! whether leaving pays, all would leave at once until the next updates, and return at once
//! afterwards.
//!
//! Data flow: [`Zones::narrow`] adds up the work of each zone's candidates. Where the home zone has
//! more of it than another zone, by more than leaving costs, it works out how much work must move for
//! the two to be equal (water-filling), divides that by what the boxes of the home zone send until
//! they receive the next loads, and lets that share of the requests leave, by a random draw.
//! [`Zones::limit_stay`] bounds the share that stays by the room of the home zone's queues. The
//! policy then chooses among the endpoints of the drawn zone and those that have probably cached
//! parts of the prompt.
//!
//! All terms are in seconds of an endpoint, and compared in prompt tokens, which are the unit of an
//! endpoint's work in this crate. Money is converted by [`ZoneLink::seconds_per_gb`].

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::DecayingSum;
use crate::Endpoint;
use crate::EndpointId;
use crate::Pool;
use crate::Query;
use crate::QueueLimit;
use crate::ServiceId;
use crate::Work;
use crate::expected;
use crate::shortage::AMPLE_CAPACITY_RATIO;
use crate::silence::UnresponsiveZones;

/// Age of the loads that boxes receive of each other: one report to a control box, one from it.
const LOADS_AGE: Duration = Duration::from_millis(200);

/// Seconds per prompt token of a service whose speed isn't known yet.
const DEFAULT_SECONDS_PER_TOKEN: f64 = 40e-6;

/// Bytes in a gigabyte, by which traffic is priced.
const GB: f64 = 1e9;

/// Cost of the way between two availability zones.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ZoneLink {
    /// Price of a gigabyte in either direction, in seconds of an endpoint.
    pub seconds_per_gb: f64,
    /// Network delay in one direction.
    pub delay: Duration,
}

/// Two availability zones whose link differs from the others.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ZonePair {
    /// The zones, in any order.
    pub zones: [String; 2],
    /// Their link, in both directions.
    pub link: ZoneLink,
}

/// Sizes by which the bytes of a request are estimated before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct MessageSizes {
    /// Bytes per token of a prompt.
    pub prompt_token: f64,
    /// Bytes per token of a response.
    pub response_token: f64,
    /// Bytes of a request without a prompt and of its response, together.
    pub plain: f64,
}

/// Settings by which requests leave the availability zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LeavingZone {
    /// The link between any two zones that aren't among `pairs`.
    pub link: ZoneLink,
    /// Pairs of zones with links that differ.
    pub pairs: Vec<ZonePair>,
    /// Minimum by which the expected wait must be shorter, beyond the cost of leaving.
    pub min_advantage: Duration,
    /// Estimated sizes.
    pub sizes: MessageSizes,
}

impl LeavingZone {
    /// Cost of serving a request of zone `from` in zone `to`, in seconds of an endpoint: the delay
    /// there and back, and the price of the bytes in both directions.
    pub fn cost(&self, from: &str, to: &str, work: Option<&Work>) -> f64 {
        if from == to {
            return 0.0;
        }
        let has_zone = |pair: &&ZonePair, zone| pair.zones.iter().any(|own| own == zone);
        let pair = self.pairs.iter().find(|pair| has_zone(pair, from) && has_zone(pair, to));
        let link = pair.map_or(self.link, |pair| pair.link);
        2.0 * link.delay.as_secs_f64() + self.bytes(work) * link.seconds_per_gb / GB
    }

    /// Estimated bytes of a request and its response.
    fn bytes(&self, work: Option<&Work>) -> f64 {
        let Some(work) = work.filter(|work| work.prompt_tokens > 0) else {
            return self.sizes.plain;
        };
        let prompt = f64::from(work.prompt_tokens) * self.sizes.prompt_token;
        prompt + f64::from(work.max_tokens) * self.sizes.response_token
    }
}

/// Why a request is served where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneReason {
    /// Leaving the home zone doesn't pay, or not for this share of the requests.
    Home,
    /// The home zone has no endpoint for it.
    NoEndpoint,
    /// The queues of the home zone have too little room for all requests of the zone.
    Room,
    /// The wait in the home zone is longer, by more than leaving costs.
    Wait,
    /// An endpoint elsewhere has probably cached parts of its prompt.
    Parts,
}

impl ZoneReason {
    /// The reason's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::NoEndpoint => "no_endpoint",
            Self::Room => "room",
            Self::Wait => "wait",
            Self::Parts => "parts",
        }
    }
}

/// The decision for a request, with its inputs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ZoneDecision {
    /// Why the request is served where it is.
    pub reason: ZoneReason,
    /// Expected wait in the home zone, in seconds; none if it has no endpoint for the request.
    pub home_wait_s: Option<f64>,
    /// Expected wait in the drawn zone, in seconds.
    pub wait_s: f64,
    /// Cost of leaving for the drawn zone, in seconds of an endpoint.
    pub cost_s: f64,
    /// Share of the requests that leave the home zone at present.
    pub leaving_share: f64,
    /// Age of the oldest load of an endpoint that was compared; none if no loads are known.
    pub loads_age: Option<Duration>,
}

/// Work of one zone's candidates, in prompt tokens.
#[derive(Debug)]
struct Zone<'a> {
    name: &'a str,
    endpoints: f64,
    work: f64,
    /// Number of endpoints for which the load of the other boxes is known.
    known: f64,
    /// Cost of leaving for it, in prompt tokens.
    cost: f64,
}

impl Zone<'_> {
    /// Work per endpoint.
    fn level(&self) -> f64 {
        self.work / self.endpoints
    }

    /// Whether what is known of its load is enough to compare it.
    fn is_known(&self) -> bool {
        2.0 * self.known >= self.endpoints
    }
}

/// The settings, and what this box learns of its zone's demand.
#[derive(Debug)]
pub(crate) struct Zones {
    settings: LeavingZone,
    /// Work of the requests that arrive at this box, in prompt tokens.
    arrivals: BTreeMap<ServiceId, DecayingSum>,
    /// Speed of each service's endpoints, from the latest request that stated it.
    seconds_per_token: BTreeMap<ServiceId, f64>,
    /// Upper bound of the share that stays in the home zone, for the current request.
    max_stay: f64,
    /// The latest decision.
    last: Option<ZoneDecision>,
}

impl Zones {
    fn new(settings: LeavingZone) -> Self {
        Self {
            settings,
            arrivals: BTreeMap::new(),
            seconds_per_token: BTreeMap::new(),
            max_stay: 1.0,
            last: None,
        }
    }

    /// Whether a request's zone is decided here. A resumed stream, an isolated request, and one whose
    /// service has an endpoint with a limit are placed by their own rules: a box's share of a limit
    /// is used by no other box, whichever zone the endpoint is in.
    pub(crate) fn begin(
        &mut self,
        endpoints: &[Endpoint],
        now: Instant,
        query: &Query<'_>,
    ) -> bool {
        self.max_stay = 1.0;
        self.last = None;
        if let Some(limit) = query.queue_limit {
            self.seconds_per_token.insert(query.service, limit.seconds_per_token);
        }
        let is_limited = |endpoint: &Endpoint| {
            endpoint.spec.service == query.service
                && endpoint.takes_work(now)
                && (endpoint.brittle_places.is_some() || endpoint.gate.is_limited(query.sender.now))
        };
        query.software.is_none()
            && query.isolation_hash.is_none()
            && !endpoints.iter().any(is_limited)
    }

    /// Bounds the share of requests that stay by the room of the home zone's queues: as long as all
    /// zones together have ample room, the home zone must have ample room for its own requests; if
    /// not, it serves as much of its requests as all zones serve of theirs.
    pub(crate) fn limit_stay(
        &mut self,
        endpoints: &[Endpoint],
        rooms: &[(EndpointId, f64)],
        query: &Query<'_>,
        limit: QueueLimit,
    ) {
        let mut zones: Vec<&str> = vec![query.home];
        let (mut home, mut total) = (0.0, 0.0);
        for (id, room) in rooms {
            let zone = &*endpoints[*id as usize].spec.availability_zone;
            if !zones.contains(&zone) {
                zones.push(zone);
            }
            total += room.max(0.0);
            home += if zone == query.home { room.max(0.0) } else { 0.0 };
        }
        let ratio = (total / limit.unreported_tokens).min(AMPLE_CAPACITY_RATIO);
        let arriving = limit.unreported_tokens / zones.len() as f64;
        // Without arrivals or room the quotient isn't a number, and nothing bounds the share.
        self.max_stay = f64::min(1.0, home / (arriving * ratio));
    }

    /// Where a request goes for which an endpoint was drawn by room over all zones: to an endpoint of
    /// the zone that is drawn for it, by room again.
    pub(crate) fn redraw(
        &mut self,
        endpoints: &[Endpoint],
        rooms: &[(EndpointId, f64)],
        drawn: EndpointId,
        now: Instant,
        query: &Query<'_>,
        random: [f64; 2],
    ) -> EndpointId {
        let with_room = || rooms.iter().filter(|(_, room)| *room > 0.0);
        let candidates: Vec<EndpointId> = with_room().map(|(id, _)| *id).collect();
        let Some(zone) = self.draw_zone(endpoints, &candidates, now, query, random[0]) else {
            return drawn;
        };
        let in_zone =
            || with_room().filter(|(id, _)| endpoints[*id as usize].spec.availability_zone == zone);
        let mut left = random[1] * in_zone().map(|(_, room)| room).sum::<f64>();
        let mut chosen = drawn;
        for (id, room) in in_zone() {
            chosen = *id;
            left -= room;
            if left <= 0.0 {
                break;
            }
        }
        chosen
    }

    /// Whether the zone of the current request is decided.
    pub(crate) fn has_decided(&self) -> bool {
        self.last.is_some()
    }

    /// Cost of the way to an endpoint, in prompt tokens.
    pub(crate) fn distance(&self, endpoint: &Endpoint, query: &Query<'_>) -> f64 {
        let zone = &endpoint.spec.availability_zone;
        self.settings.cost(query.home, zone, query.work) / self.seconds_per_token(query.service)
    }

    fn seconds_per_token(&self, service: ServiceId) -> f64 {
        let known = self.seconds_per_token.get(&service).copied();
        known.filter(|seconds| *seconds > 0.0).unwrap_or(DEFAULT_SECONDS_PER_TOKEN)
    }

    /// Removes the candidates outside the zone that is drawn for the request. With `keep_parts`,
    /// those that have probably cached parts of its prompt remain.
    pub(crate) fn narrow(
        &mut self,
        endpoints: &[Endpoint],
        candidates: &mut Vec<EndpointId>,
        now: Instant,
        query: &Query<'_>,
        keep_parts: bool,
        random: f64,
    ) {
        let Some(zone) = self.draw_zone(endpoints, candidates, now, query, random) else { return };
        let with_parts = if keep_parts {
            expected::with_parts(endpoints, candidates, now, query)
        } else {
            Vec::new()
        };
        candidates.retain(|id| {
            endpoints[*id as usize].spec.availability_zone == zone || with_parts.contains(id)
        });
    }

    /// Draws the zone of a request; none if there are no candidates.
    fn draw_zone<'a>(
        &mut self,
        endpoints: &'a [Endpoint],
        candidates: &[EndpointId],
        now: Instant,
        query: &Query<'_>,
        random: f64,
    ) -> Option<&'a str> {
        let mut zones = self.zones(endpoints, candidates, now, query);
        let home = zones.iter().position(|zone| zone.name == query.home);
        let home = home.map(|i| zones.swap_remove(i));
        if home.is_none() && zones.is_empty() {
            return None;
        }
        let seconds = self.seconds_per_token(query.service);
        let arriving = self.arriving(now, query, zones.len() + 1);
        let min_advantage = self.settings.min_advantage.as_secs_f64() / seconds;
        let shares = shares(home.as_ref(), &zones, arriving, min_advantage);
        let by_wait: f64 = shares.iter().sum();
        let is_full = home.is_none() || zones.is_empty();
        let by_room = if is_full { 0.0 } else { (1.0 - self.max_stay - by_wait).max(0.0) };
        let endpoint_count: f64 = zones.iter().map(|zone| zone.endpoints).sum();
        let mut left = random;
        let share_of = |(zone, share): (&Zone<'_>, &f64)| {
            left -= share + by_room * zone.endpoints / endpoint_count;
            left < 0.0
        };
        let drawn = zones.iter().zip(&shares).position(share_of).map(|i| &zones[i]);
        let zone = drawn.or(home.as_ref()).or(zones.last())?;
        let reason = match &home {
            None => ZoneReason::NoEndpoint,
            Some(_) if drawn.is_none() => ZoneReason::Home,
            Some(_) if by_room > by_wait => ZoneReason::Room,
            Some(_) => ZoneReason::Wait,
        };
        self.last = Some(ZoneDecision {
            reason,
            home_wait_s: home.as_ref().map(|home| home.level() * seconds),
            wait_s: zone.level() * seconds,
            cost_s: zone.cost * seconds,
            leaving_share: if home.is_some() { by_wait + by_room } else { 1.0 },
            loads_age: oldest_load(endpoints, candidates, now),
        });
        Some(zone.name)
    }

    /// Counts a request, and returns the work that the boxes of the home zone send until they receive
    /// the next loads, in prompt tokens: at least this request.
    fn arriving(&mut self, now: Instant, query: &Query<'_>, zones: usize) -> f64 {
        let size = expected::request_work(query.work);
        let arrivals = self.arrivals.entry(query.service).or_default();
        arrivals.add(now, size);
        let boxes = boxes_per_zone(query, zones);
        (arrivals.rate(now) * LOADS_AGE.as_secs_f64() * boxes).max(size)
    }

    /// The zones of the candidates, with their work.
    fn zones<'a>(
        &self,
        endpoints: &'a [Endpoint],
        candidates: &[EndpointId],
        now: Instant,
        query: &Query<'_>,
    ) -> Vec<Zone<'a>> {
        let seconds = self.seconds_per_token(query.service);
        let unresponsive = UnresponsiveZones::of(endpoints, now);
        let is_alone = query.sender.number.is_none_or(|number| number.of <= 1);
        let mut zones: Vec<Zone<'a>> = Vec::new();
        for id in candidates {
            let endpoint = &endpoints[*id as usize];
            let name = &*endpoint.spec.availability_zone;
            let i = zones.iter().position(|zone| zone.name == name).unwrap_or_else(|| {
                let cost = self.settings.cost(query.home, name, query.work) / seconds;
                zones.push(Zone { name, endpoints: 0.0, work: 0.0, known: 0.0, cost });
                zones.len() - 1
            });
            let is_known = is_alone || expected::is_others_load_known(endpoint, now);
            zones[i].endpoints += 1.0;
            zones[i].known += f64::from(u8::from(is_known));
            zones[i].work += expected::open_work(endpoint, now)
                + expected::trouble(endpoint, now, &unresponsive);
        }
        zones
    }

    /// Records where the request goes after all.
    pub(crate) fn settle(&mut self, chosen: &Endpoint, query: &Query<'_>) {
        let left = chosen.spec.availability_zone != query.home;
        if let Some(last) =
            self.last.as_mut().filter(|last| left == (last.reason == ZoneReason::Home))
        {
            last.reason = if left { ZoneReason::Parts } else { ZoneReason::Home };
            last.cost_s =
                self.settings.cost(query.home, &chosen.spec.availability_zone, query.work);
        }
    }
}

/// Number of entry boxes in each zone, if they are spread evenly.
fn boxes_per_zone(query: &Query<'_>, zones: usize) -> f64 {
    let boxes = query.sender.number.map_or(1, |number| number.of);
    (f64::from(boxes) / zones as f64).max(1.0)
}

fn oldest_load(
    endpoints: &[Endpoint],
    candidates: &[EndpointId],
    now: Instant,
) -> Option<Duration> {
    let at = candidates.iter().filter_map(|id| endpoints[*id as usize].others_load_at).min()?;
    Some(now.saturating_duration_since(at))
}

/// The shares of the home zone's requests that leave for each of `zones`.
///
/// Water is poured: work moves from the home zone to the others, the lowest first, until their levels
/// are equal after the cost of leaving. Zones whose requests would leave for the same zone divide its
/// capacity between them. `arriving` is the work that the home zone's boxes send until they receive
/// the next loads; where the home zone has no endpoint, all of it is poured.
fn shares(home: Option<&Zone<'_>>, zones: &[Zone<'_>], arriving: f64, min: f64) -> Vec<f64> {
    // Nothing shows that a zone whose load isn't known has less work.
    let home_level = home.map_or(0.0, Zone::level);
    let level = |zone: &Zone<'_>| {
        if zone.is_known() { zone.level() } else { zone.level().max(home_level) }
    };
    let bottom = |zone: &Zone<'_>| level(zone) + zone.cost + if home.is_some() { min } else { 0.0 };
    let sharers = |zone: &Zone<'_>| {
        let others = zones.iter().filter(|other| other.level() > bottom(zone)).count();
        1.0 + others as f64
    };
    let mut vessels: Vec<(usize, f64, f64)> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| (i, zone.endpoints / sharers(zone), bottom(zone)))
        .collect();
    vessels.sort_by(|(_, _, a), (_, _, b)| a.total_cmp(b));
    let (mut width, mut volume) = match home {
        Some(home) => (home.endpoints, home.work),
        None => (0.0, arriving),
    };
    for (_, own_width, bottom) in &vessels {
        if width > 0.0 && *bottom >= volume / width {
            break;
        }
        width += own_width;
        volume += own_width * bottom;
    }
    let surface = volume / width;
    let mut shares = vec![0.0; zones.len()];
    for (i, own_width, bottom) in vessels {
        shares[i] = own_width * (surface - bottom).max(0.0) / arriving;
    }
    let total: f64 = shares.iter().sum();
    if total > 1.0 {
        for share in &mut shares {
            *share /= total;
        }
    }
    shares
}

impl Pool {
    /// Lets requests leave the availability zone by `settings`. Without them, the policy's own
    /// preference for the home zone applies.
    pub fn set_leaving_zone(&mut self, settings: LeavingZone) {
        self.chooser.zones = Some(Zones::new(settings));
    }

    /// The decision about the zone of the request that was chosen for last; none if it was placed by
    /// other rules.
    pub fn zone_decision(&self) -> Option<ZoneDecision> {
        self.chooser.zones.as_ref()?.last
    }
}

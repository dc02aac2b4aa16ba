//! Capacity planner without I/O: decides how many replicas of a service to order, in which
//! availability zone and of which kind.
//!
//! Why: reclaimable replicas cost a fraction of on-demand ones, but the cloud reclaims all of a
//! zone's replicas at once, with seconds of notice, and may refuse new ones for a while; starting
//! a replica takes seconds. The cheapest fleet that still meets the demand consists of reclaimable
//! replicas, spread so that the loss of any one zone leaves enough, with on-demand replicas as a
//! substitute while reclaimable ones are refused.
//!
//! Data flow: the caller passes the demand and the running replicas ([`Input`]) to
//! [`Planner::plan`] periodically, submits the [`Order`]s that it returns and reports the result of
//! each ([`Planner::record_answer`]). Orders are absolute counts, so they are idempotent, and a
//! planner that starts on another box continues from the replicas that run.
//!
//! Rules, in this order:
//!
//! 1. In a zone where reclaimable replicas were recently refused or reclaimed, no more than those
//!    that run are counted on. If the remaining capacity is too small, or would be after the loss
//!    of one more zone, on-demand replicas are ordered at once. A minimum of on-demand replicas is
//!    ordered regardless, in case all zones are lost.
//! 2. On-demand replicas are removed only while the remaining ones meet the demand without counting
//!    replicas that are still starting.
//! 3. The planner uses the recent maximum of the demand, so that a lull does not empty the fleet.
//!    For on-demand replicas, which are expensive, it looks back over a shorter period.
//! 4. While the demand is unknown, the fleet keeps the size that the last known demand required, or
//!    its initial size. A lower bound of the demand ([`Planner::observe_min_demand`]) can only
//!    enlarge it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

pub use forecast::Callers;
pub use forecast::Objective;
pub use policy::InTime;
pub use policy::Policy;
pub use sizing::Bound;
pub use sizing::Decision;

use crate::sizing::Sizing;

mod forecast;
mod policy;
mod sizing;

/// Name of an availability zone.
pub type ZoneName = String;

/// How a replica is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Runs until it is removed by an order.
    OnDemand,
    /// May be reclaimed by the cloud at short notice.
    Reclaimable,
}

/// An availability zone in which replicas may be ordered.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// Name of the zone.
    pub name: ZoneName,
    /// Price of one replica for one second.
    pub price: f64,
}

/// Observed state of a service and bounds for its orders.
#[derive(Debug, Clone, PartialEq)]
pub struct Input {
    /// Demand, as the number of replicas that it would keep fully busy; none while unknown.
    pub demand: Option<f64>,
    /// The zones, in any order.
    pub zones: Vec<Zone>,
    /// Minimum replicas in each zone, of both kinds together.
    pub min_per_zone: u32,
    /// Maximum replicas in each zone, of both kinds together.
    pub max_per_zone: u32,
    /// Time from an order until the replica serves its first request.
    pub startup_time: Duration,
    /// Replicas that run and are not leaving.
    pub running: BTreeMap<(ZoneName, Kind), u32>,
    /// Reclaimable replicas that are leaving, because of an order or because the cloud reclaims
    /// them.
    pub leaving: BTreeMap<ZoneName, u32>,
    /// Capacity of running replicas that is lost to the request limits they advertise, in replicas.
    pub lost_to_limits: f64,
}

/// An order for the absolute number of replicas of one kind in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The zone.
    pub zone: ZoneName,
    /// The kind of replica.
    pub kind: Kind,
    /// Number of replicas to have, including those that run.
    pub count: u32,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The cloud accepted it.
    Taken,
    /// The cloud has no such replicas available now.
    Refused,
    /// No definite result was received.
    Unknown,
}

/// Time after which an order without a definite result is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time beyond [`Input::startup_time`] after which an accepted order is repeated if the number of
/// running replicas still differs from it.
const START_GRACE: Duration = Duration::from_secs(3);

/// The latest order for one zone and kind.
#[derive(Debug, Clone, Copy)]
struct SentOrder {
    count: u32,
    at: Instant,
    /// Its result; none until it is reported.
    answer: Option<Answer>,
}

/// The planner of one service.
#[derive(Debug, Clone)]
pub struct Planner {
    policy: Policy,
    /// Recent demand maxima, oldest first; each is higher than all later ones.
    demand_maxima: Vec<(Instant, f64)>,
    /// Demand assumed until one is known.
    assumed_demand: f64,
    /// Whether the complete demand was ever known.
    demand_was_known: bool,
    /// Reclaimable replicas that ran before any order was given.
    initial_reclaimable: Option<u32>,
    /// The latest order for each zone and kind.
    sent: BTreeMap<(ZoneName, Kind), SentOrder>,
    /// When reclaimable replicas were last refused or reclaimed in each zone.
    last_shortage: BTreeMap<ZoneName, Instant>,
    /// The size by what callers get, if it is chosen by that.
    sizing: Option<Sizing>,
}

/// Target number of replicas of each kind in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneTarget {
    /// On-demand replicas.
    pub on_demand: u32,
    /// Reclaimable replicas.
    pub reclaimable: u32,
}

/// Number of replicas that a demand requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Replicas in all while reclaimable ones are available, at [`Policy::busy_most`].
    pub preferred: u32,
    /// Minimum replicas in all whatever they cost, at [`Policy::busy_scarce`].
    pub minimum: u32,
    /// Minimum on-demand replicas while reclaimable ones are refused or were just reclaimed: the
    /// capacity that remains if all zones are reclaimed before more replicas could start.
    pub on_demand_reserve: u32,
}

/// Replicas needed to serve `demand` at a utilisation of `utilisation`; at least one.
fn replicas(demand: f64, utilisation: f64) -> u32 {
    (demand / utilisation).ceil().max(1.0) as u32
}

impl Planner {
    /// Creates a planner that has sent no orders.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            demand_maxima: Vec::new(),
            assumed_demand: 0.0,
            demand_was_known: false,
            initial_reclaimable: None,
            sent: BTreeMap::new(),
            last_shortage: BTreeMap::new(),
            sizing: policy.in_time.map(Sizing::new),
        }
    }

    /// Records the demand and the fleet while another planner gives the orders, so that this one
    /// can take over with the demand's requirements and not with what a shortage has left running.
    pub fn observe(&mut self, now: Instant, input: &Input) {
        self.sent.clear();
        self.record_demand(now, input);
        // So that the size goes on from the other planner's when this one takes over.
        let demand = self.max_demand(now, input, self.policy.demand_kept);
        self.preferred(now, input, demand);
    }

    /// Records what callers ask for and get. Without [`Policy::in_time`] it has no effect.
    pub fn observe_callers(&mut self, callers: Option<Callers>) {
        if let Some(sizing) = &mut self.sizing {
            sizing.observe(callers);
        }
    }

    /// What determined the size of the fleet at the latest [`Planner::plan`], for the log; none
    /// without [`Policy::in_time`].
    pub fn decision(&self) -> Option<Decision> {
        self.sizing.as_ref().map(Sizing::decision)
    }

    /// Records a lower bound of a demand that is known only in part. [`Input::demand`] is none in
    /// this case.
    pub fn observe_min_demand(&mut self, now: Instant, demand: f64) {
        if self.demand_maxima.first().is_none_or(|(_, maximum)| demand > *maximum) {
            self.demand_maxima = vec![(now, demand)];
        }
    }

    /// Returns the orders to send now.
    pub fn plan(&mut self, now: Instant, input: &Input) -> Vec<Order> {
        self.record_demand(now, input);
        let demand = self.max_demand(now, input, self.policy.demand_kept);
        let recent = self.max_demand(now, input, self.policy.scarce_kept);
        // Replicas that limit themselves still run and are paid for, so their substitutes are
        // ordered in addition. They at most double the count, even if all replicas have limits.
        let with_substitutes =
            |count: u32| count + (input.lost_to_limits.round() as u32).min(count);
        let need = Need {
            preferred: with_substitutes(self.preferred(now, input, demand)),
            minimum: with_substitutes(self.minimum(recent)),
            on_demand_reserve: (recent * self.policy.last_share).ceil() as u32,
        };
        for zone in input.leaving.iter().filter(|(_, count)| **count > 0).map(|(zone, _)| zone) {
            let key = (zone.clone(), Kind::Reclaimable);
            let runs = input.running.get(&key).copied().unwrap_or_default();
            let ordered = self.sent.get(&key).map_or(0, |sent| sent.count);
            if runs >= ordered {
                // They leave because fewer were ordered.
                continue;
            }
            self.last_shortage.insert(zone.clone(), now);
            // Reclaimed by the cloud. Only an order shows whether more are available, so this one
            // is marked as refused, which makes it due again after half of `distrust`.
            if let Some(sent) = self.sent.get_mut(&key) {
                sent.answer = Some(Answer::Refused);
            }
        }
        let targets = self.targets(now, input, need);
        let mut orders = Vec::new();
        for zone in &input.zones {
            let target = targets[&zone.name];
            self.order(now, input, &zone.name, Kind::Reclaimable, target.reclaimable, &mut orders);
        }
        // Removed replicas are subtracted at once, but ordered ones are not added until they run.
        let mut running: u32 = input.running.values().sum();
        for zone in &input.zones {
            let target = targets[&zone.name].on_demand;
            let key = (zone.name.clone(), Kind::OnDemand);
            let runs = input.running.get(&key).copied().unwrap_or_default();
            let surplus = running.saturating_sub(need.minimum);
            let count = target.max(runs.saturating_sub(surplus));
            running -= runs.saturating_sub(count).min(running);
            self.order(now, input, &zone.name, Kind::OnDemand, count, &mut orders);
        }
        orders
    }

    fn preferred(&mut self, now: Instant, input: &Input, demand: f64) -> u32 {
        let by_utilisation = replicas(demand, self.policy.busy_most);
        let Some(sizing) = &mut self.sizing else { return by_utilisation };
        sizing.preferred(now, input, demand, by_utilisation)
    }

    fn minimum(&self, recent: f64) -> u32 {
        let by_utilisation = replicas(recent, self.policy.busy_scarce);
        let sizing = self.sizing.as_ref();
        sizing.map_or(by_utilisation, |sizing| sizing.minimum(recent, by_utilisation))
    }

    /// Records the result of an order.
    pub fn record_answer(&mut self, now: Instant, order: &Order, answer: Answer) {
        if answer == Answer::Refused && order.kind == Kind::Reclaimable {
            self.last_shortage.insert(order.zone.clone(), now);
        }
        if let Some(sent) = self.sent.get_mut(&(order.zone.clone(), order.kind)) {
            sent.answer = Some(answer);
        }
    }

    /// Returns the maximum demand of the latest `period`. While the demand is unknown, the last
    /// known one applies. Until one is known, the initial fleet is assumed to match the demand.
    fn max_demand(&self, now: Instant, input: &Input, period: Duration) -> f64 {
        let last = self.demand_maxima.last().map(|(at, _)| *at);
        let now = last.filter(|_| input.demand.is_none()).unwrap_or(now);
        let known = self.demand_maxima.iter().find(|(at, _)| now < *at + period);
        let known = known.map_or(0.0, |(_, maximum)| *maximum);
        if input.demand.is_some() || self.demand_was_known {
            known
        } else {
            known.max(self.assumed_demand)
        }
    }

    fn record_demand(&mut self, now: Instant, input: &Input) {
        self.record_initial_fleet(input);
        let Some(demand) = input.demand else { return };
        self.demand_was_known = true;
        let period = self.policy.demand_kept;
        self.demand_maxima.retain(|(at, higher)| now < *at + period && *higher > demand);
        self.demand_maxima.push((now, demand));
    }

    /// Records the size of the initial fleet. Its replicas report one after the other over some
    /// seconds. Reclaimable replicas ordered in the meantime are excluded; on-demand replicas never
    /// outnumber the initial fleet, so all of them are counted.
    fn record_initial_fleet(&mut self, input: &Input) {
        let running = |kind: Kind| -> u32 {
            input.running.iter().filter(|((_, of), _)| *of == kind).map(|(_, count)| count).sum()
        };
        let reclaimable = *self.initial_reclaimable.get_or_insert(running(Kind::Reclaimable));
        let initial = f64::from(running(Kind::OnDemand) + reclaimable);
        self.assumed_demand = self.assumed_demand.max(initial * self.policy.busy_most);
    }

    /// Whether new reclaimable replicas can be counted on in a zone.
    fn is_reliable(&self, now: Instant, zone: &str) -> bool {
        self.last_shortage.get(zone).is_none_or(|at| now >= *at + self.policy.distrust)
    }

    /// Returns the target for each zone that meets `need`.
    pub fn targets(
        &self,
        now: Instant,
        input: &Input,
        need: Need,
    ) -> BTreeMap<ZoneName, ZoneTarget> {
        let mut zones: Vec<&Zone> = input.zones.iter().collect();
        zones.sort_by(|a, b| a.price.total_cmp(&b.price));
        let mut targets: BTreeMap<ZoneName, ZoneTarget> =
            zones.iter().map(|zone| (zone.name.clone(), ZoneTarget::default())).collect();
        let count = zones.len() as u32;
        let base = self.policy.on_demand_least.min(need.preferred);
        for i in 0..base {
            let zone = zones[(i % count) as usize];
            targets.entry(zone.name.clone()).or_default().on_demand += 1;
        }
        // Divided by one zone less, so that the loss of any one zone leaves enough.
        let spread = (need.preferred - base).div_ceil(count.saturating_sub(1).max(1));
        for target in targets.values_mut() {
            let least = input.min_per_zone.saturating_sub(target.on_demand);
            let room = input.max_per_zone.saturating_sub(target.on_demand);
            target.reclaimable = spread.max(least).min(room);
        }
        self.replace_unreliable(now, input, need, &zones, &mut targets);
        targets
    }

    /// Adds on-demand replicas in place of reclaimable ones that can't be counted on now.
    fn replace_unreliable(
        &self,
        now: Instant,
        input: &Input,
        need: Need,
        zones: &[&Zone],
        targets: &mut BTreeMap<ZoneName, ZoneTarget>,
    ) {
        let counted = |zone: &str, target: &ZoneTarget| {
            let key = (zone.to_owned(), Kind::Reclaimable);
            let runs = input.running.get(&key).copied().unwrap_or_default();
            if self.is_reliable(now, zone) {
                target.reclaimable
            } else {
                runs.min(target.reclaimable)
            }
        };
        let mut on_demand: u32 = targets.values().map(|target| target.on_demand).sum();
        let reclaimable: u32 = targets.iter().map(|(zone, target)| counted(zone, target)).sum();
        let mut have = on_demand + reclaimable;
        let mut reserve = 0;
        if zones.iter().any(|zone| !self.is_reliable(now, &zone.name)) {
            // Another zone may be lost next, with no time left to order then.
            let next = targets.iter().map(|(zone, target)| counted(zone, target)).max();
            have -= next.unwrap_or_default();
            reserve = need.on_demand_reserve;
        }
        let mut full = false;
        while (have < need.minimum || on_demand < reserve) && !full {
            full = true;
            for zone in zones {
                let target = targets.entry(zone.name.clone()).or_default();
                let short = have < need.minimum || on_demand < reserve;
                if short && target.on_demand + counted(&zone.name, target) < input.max_per_zone {
                    target.on_demand += 1;
                    on_demand += 1;
                    have += 1;
                    full = false;
                }
            }
        }
        // Both kinds together must stay within the zone's maximum.
        for target in targets.values_mut() {
            target.reclaimable = target.reclaimable.min(input.max_per_zone - target.on_demand);
        }
    }

    /// Adds an order to `orders` unless the same one is in effect or still awaits its result.
    fn order(
        &mut self,
        now: Instant,
        input: &Input,
        zone: &str,
        kind: Kind,
        count: u32,
        orders: &mut Vec<Order>,
    ) {
        let key = (zone.to_owned(), kind);
        let runs = input.running.get(&key).copied().unwrap_or_default();
        if let Some(sent) = self.sent.get(&key) {
            let since = now.saturating_duration_since(sent.at);
            let wait = match sent.answer {
                Some(Answer::Taken) if runs == count => Duration::MAX,
                Some(Answer::Taken) => input.startup_time + START_GRACE,
                Some(Answer::Refused) => self.policy.distrust / 2,
                Some(Answer::Unknown) | None => RETRY_DELAY,
            };
            if sent.count == count && since < wait {
                return;
            }
        } else if runs == count {
            return;
        }
        self.sent.insert(key, SentOrder { count, at: now, answer: None });
        orders.push(Order { zone: zone.to_owned(), kind, count });
    }
}

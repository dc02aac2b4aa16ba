//! How many replicas of a service to order, in which availability zone and of which kind, without
//! I/O.
//!
//! Why: reclaimable replicas cost a fraction of on-demand ones, but the cloud takes all of a zone
//! back at once, with seconds of notice, and may refuse new ones for a while; starting one takes
//! seconds. The cheapest fleet that still serves is one of reclaimable replicas, spread so that what is
//! left after the loss of any one zone is enough, and of on-demand ones while reclaimable ones are refused.
//!
//! Data flow: the owner tells the demand and what runs ([`Input`]) again and again and carries out
//! the [`Order`]s that come back, then tells what became of each ([`Planner::record_answer`]). Orders
//! are absolute counts, so they may be repeated, and a planner that starts on another box goes on
//! from what runs.
//!
//! Rules, in this order:
//!
//! 1. Where reclaimable replicas are refused or were just taken back, none are counted on; if the
//!    rest is too little, or one more loss would leave too little, on-demand ones are ordered in their
//!    place, at once, and some in any case, for the loss of all zones.
//! 2. Replicas are taken away only while what is left is enough without those that only start.
//! 3. The demand counts at its highest of late, so that a lull does not empty the fleet; for
//!    on-demand replicas, which are dear, a shorter time back.
//! 4. While no demand is known, the fleet keeps the size that the last known one asked for, or that it had at
//!    first; a demand that is known only in part ([`Planner::observe_min_demand`]) makes it larger, never smaller.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Name of an availability zone.
pub type ZoneName = String;

/// How a replica is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Stays until it is taken away.
    OnDemand,
    /// May be taken back by the cloud.
    Reclaimable,
}

/// What may be ordered in one availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: ZoneName,
    /// Price of a replica's second.
    pub price: f64,
}

/// What the planner goes by.
#[derive(Debug, Clone, PartialEq)]
pub struct Input {
    /// Work that arrives, in replicas that it would keep busy all the time; none while unknown.
    pub demand: Option<f64>,
    /// The zones, in any order.
    pub zones: Vec<Zone>,
    /// Fewest replicas in a zone, of both kinds together.
    pub min_per_zone: u32,
    /// Most replicas in a zone, of both kinds together.
    pub max_per_zone: u32,
    /// Time from an order to a replica's first work.
    pub startup_time: Duration,
    /// Replicas that run and are not leaving.
    pub running: BTreeMap<(ZoneName, Kind), u32>,
    /// Reclaimable replicas that are leaving, on an order or because the cloud takes them back.
    pub leaving: BTreeMap<ZoneName, u32>,
    /// What of the running replicas is lost to limits that they name, in replicas.
    pub lost_to_limits: f64,
}

/// An order: so many replicas of this kind in this zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The zone.
    pub zone: ZoneName,
    /// The kind.
    pub kind: Kind,
    /// How many.
    pub count: u32,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The cloud took it.
    Taken,
    /// There are none to be had now.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// How the planner weighs cost against spare room.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Policy {
    /// Part of a replica's time that may be busy. Reclaimable ones are cheap, so there can be many.
    pub busy_most: f64,
    /// Part of a replica's time that may be busy while on-demand ones stand in for reclaimable
    /// ones.
    pub busy_scarce: f64,
    /// On-demand replicas that are always kept.
    pub on_demand_least: u32,
    /// Part of the demand that on-demand replicas can serve while reclaimable ones are refused or were
    /// just taken back, in case all of them are lost.
    pub last_share: f64,
    /// How long the highest demand counts.
    pub demand_kept: Duration,
    /// How long the highest demand counts for on-demand replicas that stand in for reclaimable
    /// ones: they are dear, so a burst that is over is soon forgotten.
    pub scarce_kept: Duration,
    /// Time after a refusal or a reclaim in which none are counted on.
    pub distrust: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            busy_most: 0.5,
            busy_scarce: 0.9,
            on_demand_least: 2,
            last_share: 0.0,
            demand_kept: Duration::from_secs(20),
            scarce_kept: Duration::from_secs(6),
            distrust: Duration::from_secs(3),
        }
    }
}

/// Time after which an order that nobody answered for is given again.
const AGAIN_AFTER: Duration = Duration::from_secs(2);

/// Time beyond a replica's start after which an order that brought nothing is given again.
const LATE_AFTER: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Sent {
    count: u32,
    at: Instant,
    answer: Option<Answer>,
}

/// The planner of one service.
#[derive(Debug, Clone)]
pub struct Planner {
    policy: Policy,
    /// The highest demands of late, the latest last; each is higher than all behind it.
    demands: Vec<(Instant, f64)>,
    /// Demand until one is known.
    assumed: f64,
    /// Whether a demand was ever known in full.
    knew_demand: bool,
    /// Reclaimable replicas that ran before any order was given.
    reclaimable_at_first: Option<u32>,
    sent: BTreeMap<(ZoneName, Kind), Sent>,
    /// When reclaimable replicas were last refused or taken back in a zone.
    distrusted: BTreeMap<ZoneName, Instant>,
}

/// How many replicas of each kind a zone should have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wanted {
    /// On-demand ones.
    pub on_demand: u32,
    /// Reclaimable ones.
    pub reclaimable: u32,
}

/// Replicas that a demand needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// With room to spare, as long as reclaimable ones are to be had.
    pub plenty: u32,
    /// At least, whatever they cost.
    pub scarce: u32,
    /// On-demand ones among them while reclaimable ones are refused or were just taken back: what is
    /// left if all zones are taken back before more could be started.
    pub last: u32,
}

fn replicas(demand: f64, busy: f64) -> u32 {
    (demand / busy).ceil().max(1.0) as u32
}

impl Planner {
    /// A planner that has ordered nothing.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            demands: Vec::new(),
            assumed: 0.0,
            knew_demand: false,
            reclaimable_at_first: None,
            sent: BTreeMap::new(),
            distrusted: BTreeMap::new(),
        }
    }

    /// Learns of the load and the fleet while another planner gives the orders, so that this one can go on from what
    /// the load needs and not from what a shortage has left.
    pub fn observe(&mut self, now: Instant, input: &Input) {
        self.sent.clear();
        self.learn_demand(now, input);
    }

    /// Learns that the demand, which is not known in full, is at least so high. The input then names none.
    pub fn observe_min_demand(&mut self, now: Instant, demand: f64) {
        if self.demands.first().is_none_or(|(_, highest)| demand > *highest) {
            self.demands = vec![(now, demand)];
        }
    }

    /// What to order now.
    pub fn plan(&mut self, now: Instant, input: &Input) -> Vec<Order> {
        self.learn_demand(now, input);
        let demand = self.highest_demand(now, input, self.policy.demand_kept);
        let recent = self.highest_demand(now, input, self.policy.scarce_kept);
        // They run and are paid for, so those that do their work come on top; never more than as many again, also if
        // whatever runs names limits.
        let beside = |count: u32| count + (input.lost_to_limits.round() as u32).min(count);
        let need = Need {
            plenty: beside(replicas(demand, self.policy.busy_most)),
            scarce: beside(replicas(recent, self.policy.busy_scarce)),
            last: (recent * self.policy.last_share).ceil() as u32,
        };
        for zone in input.leaving.iter().filter(|(_, count)| **count > 0).map(|(zone, _)| zone) {
            let key = (zone.clone(), Kind::Reclaimable);
            let runs = input.running.get(&key).copied().unwrap_or_default();
            let ordered = self.sent.get(&key).map_or(0, |sent| sent.count);
            if runs >= ordered {
                // They leave because fewer were ordered.
                continue;
            }
            self.distrusted.insert(zone.clone(), now);
            // Taken back. Whether more are to be had is known only by an order, so it is given
            // again at once.
            if let Some(sent) = self.sent.get_mut(&key) {
                sent.answer = Some(Answer::Refused);
            }
        }
        let wanted = self.wanted(now, input, need);
        let mut orders = Vec::new();
        for zone in &input.zones {
            let wanted = wanted[&zone.name];
            self.order(now, input, &zone.name, Kind::Reclaimable, wanted.reclaimable, &mut orders);
        }
        // What is taken away counts at once, what is ordered does not.
        let mut running: u32 = input.running.values().sum();
        for zone in &input.zones {
            let wanted = wanted[&zone.name].on_demand;
            let key = (zone.name.clone(), Kind::OnDemand);
            let runs = input.running.get(&key).copied().unwrap_or_default();
            let spare = running.saturating_sub(need.scarce);
            let count = wanted.max(runs.saturating_sub(spare));
            running -= runs.saturating_sub(count).min(running);
            self.order(now, input, &zone.name, Kind::OnDemand, count, &mut orders);
        }
        orders
    }

    /// Learns what became of an order.
    pub fn record_answer(&mut self, now: Instant, order: &Order, answer: Answer) {
        if answer == Answer::Refused && order.kind == Kind::Reclaimable {
            self.distrusted.insert(order.zone.clone(), now);
        }
        if let Some(sent) = self.sent.get_mut(&(order.zone.clone(), order.kind)) {
            sent.answer = Some(answer);
        }
    }

    /// The highest demand since `kept` before now. While none is known, what was known last stays; until one is,
    /// the fleet that ran at first is taken to be what the load needs.
    fn highest_demand(&self, now: Instant, input: &Input, kept: Duration) -> f64 {
        let last = self.demands.last().map(|(at, _)| *at);
        let now = last.filter(|_| input.demand.is_none()).unwrap_or(now);
        let known = self.demands.iter().find(|(at, _)| now < *at + kept);
        let known = known.map_or(0.0, |(_, highest)| *highest);
        if input.demand.is_some() || self.knew_demand { known } else { known.max(self.assumed) }
    }

    /// Takes in the demand of now.
    fn learn_demand(&mut self, now: Instant, input: &Input) {
        self.learn_first_fleet(input);
        let Some(demand) = input.demand else { return };
        self.knew_demand = true;
        let kept = self.policy.demand_kept;
        self.demands.retain(|(at, higher)| now < *at + kept && *higher > demand);
        self.demands.push((now, demand));
    }

    /// Learns how large the fleet was at first. Its replicas are heard of one after the other for some
    /// seconds; reclaimable ones that were ordered meanwhile are not among them, and on-demand ones are
    /// never more than it.
    fn learn_first_fleet(&mut self, input: &Input) {
        let running = |kind: Kind| -> u32 {
            input.running.iter().filter(|((_, of), _)| *of == kind).map(|(_, count)| count).sum()
        };
        let reclaimable = *self.reclaimable_at_first.get_or_insert(running(Kind::Reclaimable));
        let first = f64::from(running(Kind::OnDemand) + reclaimable);
        self.assumed = self.assumed.max(first * self.policy.busy_most);
    }

    fn is_trusted(&self, now: Instant, zone: &str) -> bool {
        self.distrusted.get(zone).is_none_or(|at| now >= *at + self.policy.distrust)
    }

    /// The fleet that the need asks for.
    pub fn wanted(&self, now: Instant, input: &Input, need: Need) -> BTreeMap<ZoneName, Wanted> {
        let mut zones: Vec<&Zone> = input.zones.iter().collect();
        zones.sort_by(|a, b| a.price.total_cmp(&b.price));
        let mut wanted: BTreeMap<ZoneName, Wanted> =
            zones.iter().map(|zone| (zone.name.clone(), Wanted::default())).collect();
        let count = zones.len() as u32;
        let base = self.policy.on_demand_least.min(need.plenty);
        for i in 0..base {
            let zone = zones[(i % count) as usize];
            wanted.entry(zone.name.clone()).or_default().on_demand += 1;
        }
        // Enough is left when any one zone's are lost.
        let spread = (need.plenty - base).div_ceil(count.saturating_sub(1).max(1));
        for wanted in wanted.values_mut() {
            let least = input.min_per_zone.saturating_sub(wanted.on_demand);
            let room = input.max_per_zone.saturating_sub(wanted.on_demand);
            wanted.reclaimable = spread.max(least).min(room);
        }
        self.replace_untrusted(now, input, need, &zones, &mut wanted);
        wanted
    }

    /// Adds on-demand replicas for reclaimable ones that can't be counted on now.
    fn replace_untrusted(
        &self,
        now: Instant,
        input: &Input,
        need: Need,
        zones: &[&Zone],
        wanted: &mut BTreeMap<ZoneName, Wanted>,
    ) {
        let counted = |zone: &str, wanted: &Wanted| {
            let key = (zone.to_owned(), Kind::Reclaimable);
            let runs = input.running.get(&key).copied().unwrap_or_default();
            if self.is_trusted(now, zone) {
                wanted.reclaimable
            } else {
                runs.min(wanted.reclaimable)
            }
        };
        let mut on_demand: u32 = wanted.values().map(|wanted| wanted.on_demand).sum();
        let reclaimable: u32 = wanted.iter().map(|(zone, wanted)| counted(zone, wanted)).sum();
        let mut have = on_demand + reclaimable;
        let mut last = 0;
        if zones.iter().any(|zone| !self.is_trusted(now, &zone.name)) {
            // Another zone may follow, and there would be no time to order then.
            let next = wanted.iter().map(|(zone, wanted)| counted(zone, wanted)).max();
            have -= next.unwrap_or_default();
            last = need.last;
        }
        let mut full = false;
        while (have < need.scarce || on_demand < last) && !full {
            full = true;
            for zone in zones {
                let wanted = wanted.entry(zone.name.clone()).or_default();
                let short = have < need.scarce || on_demand < last;
                if short && wanted.on_demand + counted(&zone.name, wanted) < input.max_per_zone {
                    wanted.on_demand += 1;
                    on_demand += 1;
                    have += 1;
                    full = false;
                }
            }
        }
        // Both kinds share the zone's room.
        for wanted in wanted.values_mut() {
            wanted.reclaimable = wanted.reclaimable.min(input.max_per_zone - wanted.on_demand);
        }
    }

    /// Gives an order unless it stands already.
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
                Some(Answer::Taken) => input.startup_time + LATE_AFTER,
                Some(Answer::Refused) => self.policy.distrust / 2,
                Some(Answer::Unknown) | None => AGAIN_AFTER,
            };
            if sent.count == count && since < wait {
                return;
            }
        } else if runs == count {
            return;
        }
        self.sent.insert(key, Sent { count, at: now, answer: None });
        orders.push(Order { zone: zone.to_owned(), kind, count });
    }
}

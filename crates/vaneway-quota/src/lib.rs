//! Quotas of organisations that many entry boxes share, without I/O.
//!
//! Why: an organisation's limit holds over all entry boxes together, and no entry box may ask
//! another before it admits a request. So each box counts what it admits in short slots of the
//! cluster's time, and tells the others some times a second. From its own counts and theirs it works
//! out the level of the one token bucket that all share.
//!
//! What is told of a slot only grows, so it may be told twice, late or by several control boxes,
//! and a box that starts or was cut off is told the latest slots again and knows what it must know.
//!
//! *Between two tellings* boxes may admit too much together: whatever arrives everywhere while none has heard
//! of the others. So all of them together admit no faster than empties a part of the known level (`MAX_GAIN`)
//! in the time that the news is old: each draws for its requests with a chance that it works out from the
//! level, the demand at all boxes, the age of what it knows and the request's size. Older news, a lower level
//! or a larger flood make the chances smaller, and the sum stays the same.
//!
//! *No debt is forgotten.* A limit that changes, an organisation that leaves and returns, and slots that are too
//! old to be kept leave the debt as it is: whatever forgot it would grant another burst.
//!
//! *A box that hears nothing new* for a while goes by a part of its own. Parts add up to the limit only
//! if a request that is larger than the part is admitted as seldom as it is large.

mod demand;

use std::collections::BTreeMap;
use std::time::Duration;

pub use self::demand::Demand;

/// A limit, in units (requests or tokens).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be taken on top at once.
    pub burst: f64,
}

/// Number of a slot of the cluster's time.
pub type Slot = u64;

/// Length of a slot.
pub const SLOT: Duration = Duration::from_millis(500);

/// Slots that are kept one by one: longer than any quota is measured over, and than use is told late.
pub const RETAINED_SLOTS: u64 = 24;

/// Part of the known level that all boxes together may take in the time that the news is old. A loop that
/// corrects itself by news of this age swings below zero with any larger part (1/e is the critical one for a
/// pure delay).
const MAX_GAIN: f64 = 1.0 / std::f64::consts::E;

/// Age of what is known from which on a box goes by a part of its own: some tellings. A flood that begins while
/// all news is late is not heard of for as long; with 0.5 s, 2 of 800 random schedules of cuts, restarts and
/// floods let an organisation take up to 1.004 of what is allowed, with 0.4 s none.
const MAX_USAGE_AGE: Duration = Duration::from_millis(400);

/// Time in which what a box was asked for has been told on every connection: more than two tellings. What is
/// told later is told whole.
const REPORTING_DEADLINE: Duration = Duration::from_secs(1);

/// Difference of the boxes' ideas of the cluster's time that is no step of it.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(100);

/// The slot of a time since 1970.
pub fn slot(time: Duration) -> Slot {
    (time.as_millis() / SLOT.as_millis()) as Slot
}

/// One organisation's quota at one entry box. Times are the cluster's, since 1970.
#[derive(Debug, Clone)]
pub struct Quota {
    /// The limit in force.
    limit: Limit,
    /// Limits that were in force, each before its slot.
    earlier_limits: BTreeMap<Slot, Limit>,
    own: BTreeMap<Slot, u64>,
    others: BTreeMap<Slot, u64>,
    /// Units beyond the limit at the begin of the first slot that is kept.
    debt: Debt,
    /// What this box gave up of its part, since it was too little for a request.
    forfeited: BTreeMap<Slot, f64>,
    /// Units and requests asked for here since this box started, admitted or not.
    requested_units: u64,
    requests: u64,
    demand: Demand,
    usage: Option<FleetUsage>,
    /// Entry boxes that share the limit.
    sharers: Sharers,
}

/// What was taken beyond what the limit allowed until the begin of a slot: the units that a bucket lacks.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Debt {
    until: Slot,
    units: f64,
}

/// How far a box knows of the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetUsage {
    /// Time until which the use of all boxes that are heard is known.
    pub as_of: Duration,
    /// Units that all boxes together were asked for in a second, admitted or not.
    pub demand: f64,
}

impl FleetUsage {
    /// Whether a box may go by it.
    fn is_recent(self, now: Duration) -> bool {
        !self.is_from_future(now) && now.saturating_sub(self.as_of) <= MAX_USAGE_AGE
    }

    /// Whether it is of a time that is not yet: the cluster's time stepped back at one of the boxes.
    fn is_from_future(self, now: Duration) -> bool {
        self.as_of > now + MAX_CLOCK_SKEW
    }
}

/// Entry boxes that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// Those whose use is told.
    pub reporting: u32,
    /// Those that may take part of it, also where their use is not heard: some may be cut off and
    /// go on admitting. Until it is told, a box takes nothing.
    pub known: u32,
}

/// What a decision of a quota goes by, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaView {
    /// Units that may be taken.
    pub level: f64,
    /// Level from which on every request is admitted; below it, a part of them.
    pub full_admission_level: f64,
    /// Age of what is known of the others; none if nothing ever was.
    pub usage_age: Option<Duration>,
    /// Boxes that share the limit.
    pub sharers: Sharers,
    /// Whether the box goes by the use of all, not by a part of its own.
    pub is_fleet_wide: bool,
}

/// The part of a limit that one box goes by.
#[derive(Debug, Clone, Copy)]
struct Share {
    fraction: f64,
    /// Whether it is that of all boxes whose use is told, so that their use counts too.
    is_fleet_wide: bool,
}

impl Quota {
    /// A quota of which nothing is known to be taken.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            earlier_limits: BTreeMap::new(),
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            debt: Debt::default(),
            forfeited: BTreeMap::new(),
            requested_units: 0,
            requests: 0,
            demand: Demand::default(),
            usage: None,
            sharers: Sharers { reporting: 1, known: 0 },
        }
    }

    /// Changes the limit. What was taken before stays taken: boxes change the limit at moments of their
    /// own, and each fresh start would be another burst.
    pub fn set_limit(&mut self, now: Duration, limit: Limit) {
        if self.limit != limit {
            let before = std::mem::replace(&mut self.limit, limit);
            self.earlier_limits.entry(slot(now)).or_insert(before);
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Takes `units` for a request of this box; `draw` is a number from 0 to 1, as likely in any part of it,
    /// that is the request's own.
    ///
    /// # Errors
    ///
    /// The time after which the quota will hold enough.
    pub fn take(&mut self, now: Duration, units: u64, draw: f64) -> Result<(), Duration> {
        self.expire(now);
        self.requested_units += units;
        self.requests += 1;
        self.demand.add(now, units as f64);
        let share = self.share(now);
        let level = self.level(now);
        let taken = if share.is_fleet_wide {
            self.admits_fleet_wide(now, units, draw, level)
        } else {
            self.admit_from_share(now, units, draw, level)
        };
        if taken {
            *self.own.entry(slot(now)).or_default() += units;
            return Ok(());
        }
        Err(self.retry_delay(now, units, share, level))
    }

    /// Whether a request is admitted by what all boxes took.
    fn admits_fleet_wide(&self, now: Duration, units: u64, draw: f64, level: f64) -> bool {
        // A request larger than the burst can only ever start from a full bucket.
        let needed = (units as f64).min(self.limit.burst * self.share(now).fraction);
        let full_admission_level = self.full_admission_level(now);
        let is_open = level >= full_admission_level
            || draw * full_admission_level * self.relative_size(units) < level;
        level >= needed && is_open
    }

    /// How large a request is against the mean. Chances in inverse proportion to sizes admit as many units as
    /// one chance for all, and far more requests: a short one is refused only when nearly all are.
    fn relative_size(&self, units: u64) -> f64 {
        let mean = self.requested_units as f64 / self.requests.max(1) as f64;
        units as f64 / mean.max(1.0)
    }

    /// Whether a request is admitted by this box's own part. One that is larger than what is left has the chance
    /// that fits its size, and what is left is given up if it loses: so all parts together admit no more
    /// than the limit, though each may be smaller than a request.
    fn admit_from_share(&mut self, now: Duration, units: u64, draw: f64, level: f64) -> bool {
        let units = units as f64;
        if level >= units {
            return true;
        }
        let won = level > 0.0 && draw * units < level;
        if !won {
            *self.forfeited.entry(slot(now)).or_default() += level.max(0.0);
        }
        won
    }

    /// Time until a request of this size may be admitted, if nothing else is.
    fn retry_delay(&self, now: Duration, units: u64, share: Share, level: f64) -> Duration {
        let limit = self.limit;
        if share.fraction <= 0.0 {
            return MAX_USAGE_AGE;
        }
        let burst = limit.burst * share.fraction;
        let enough = (units as f64).max(self.full_admission_level(now)).min(burst);
        let rate = (limit.rate * share.fraction).max(f64::MIN_POSITIVE);
        let seconds = (enough - level).max(0.0) / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// The level from which on every request is admitted: what the others are asked for before this box
    /// hears of it, and as much more as keeps the sum from swinging.
    fn full_admission_level(&self, now: Duration) -> f64 {
        let Some(usage) = self.usage.filter(|_| self.share(now).is_fleet_wide) else { return 0.0 };
        let others = (usage.demand - self.demand.rate(now)).max(0.0);
        others * now.saturating_sub(usage.as_of).as_secs_f64() / MAX_GAIN
    }

    /// What a request is decided by.
    pub fn view(&self, now: Duration) -> QuotaView {
        QuotaView {
            level: self.level(now),
            full_admission_level: self.full_admission_level(now),
            usage_age: self.usage.map(|usage| now.saturating_sub(usage.as_of)),
            sharers: self.sharers,
            is_fleet_wide: self.share(now).is_fleet_wide,
        }
    }

    /// Gives back what a request took that was not run.
    pub fn refund(&mut self, now: Duration, units: u64) {
        let own = self.own.entry(slot(now)).or_default();
        *own = own.saturating_sub(units);
    }

    /// Learns what the other boxes took in some slots.
    pub fn record_others_usage(&mut self, now: Duration, slots: &[(Slot, u64)]) {
        self.expire(now);
        for (slot, units) in slots {
            let known = self.others.entry(*slot).or_default();
            *known = (*known).max(*units);
        }
    }

    /// Learns which boxes share the limit, and how far all that they took is known; none if the control box
    /// that tells can't say it, or doesn't hear this box.
    pub fn update_fleet_usage(
        &mut self,
        now: Duration,
        usage: Option<FleetUsage>,
        sharers: Sharers,
    ) {
        self.sharers.known = sharers.known.max(1);
        // Two control boxes tell by turns: who is heard belongs to the newer news.
        let older = |usage: &FleetUsage| {
            self.usage.is_some_and(|held| !held.is_from_future(now) && held.as_of > usage.as_of)
        };
        if let Some(usage) = usage.filter(|usage| !older(usage)) {
            self.usage = Some(usage);
            self.sharers.reporting = sharers.reporting.max(1);
        }
        self.sharers.reporting = self.sharers.reporting.min(self.sharers.known);
    }

    /// What this box took in the slots from `first` on.
    pub fn own_usage_since(&self, first: Slot) -> impl Iterator<Item = (Slot, u64)> {
        self.own.range(first..).map(|(slot, units)| (*slot, *units))
    }

    /// Units asked for here since this box started, admitted or not.
    pub fn requested_units(&self) -> u64 {
        self.requested_units
    }

    /// Whether the control boxes may not know yet all that was asked for here and taken.
    pub fn has_unreported_demand(&self, now: Duration) -> bool {
        now.saturating_sub(self.demand.latest()) <= REPORTING_DEADLINE
    }

    /// Whether nothing is kept that still counts.
    pub fn is_idle(&self, now: Duration) -> bool {
        let first = slot(now).saturating_sub(RETAINED_SLOTS);
        let recent = |slots: &BTreeMap<Slot, u64>| slots.range(first..).next().is_some();
        !recent(&self.own) && !recent(&self.others) && self.debt.units <= 0.0
    }

    /// Units that may be taken now: the level of a bucket that fills at the limit's rate, and from which
    /// each slot's use was taken.
    pub fn level(&self, now: Duration) -> f64 {
        let share = self.share(now);
        let present = slot(now);
        let debt = if share.is_fleet_wide {
            self.fleet_debt(present, share.fraction)
        } else {
            self.share_debt(present, share.fraction)
        };
        let into = (now.as_secs_f64() / SLOT.as_secs_f64()).fract();
        let filled = self.limit.rate * share.fraction * SLOT.as_secs_f64() * into;
        let used = if share.is_fleet_wide {
            self.used_by_fleet(present)
        } else {
            self.used_of_share(present)
        };
        self.limit.burst * share.fraction - (debt - filled).max(0.0) - used
    }

    /// The debt at the begin of a slot, where `fraction` of the limit is for all boxes that are heard.
    fn fleet_debt(&self, until: Slot, fraction: f64) -> f64 {
        // After a step of the cluster's time there may be more slots than were ever kept.
        let first = self.debt.until.max(until.saturating_sub(2 * RETAINED_SLOTS));
        let add_slot = |debt, slot| self.debt_after(debt, slot, fraction, self.used_by_fleet(slot));
        (first..until).fold(self.debt.units, add_slot)
    }

    /// The debt of this box's own part at the begin of a slot: its share of what all had taken when the others
    /// were last heard of, and what it took since. So boxes that had taken little until then get no more
    /// than those that had taken much.
    fn share_debt(&self, until: Slot, fraction: f64) -> f64 {
        let reporting = f64::from(self.sharers.reporting);
        let reported = self.usage.map_or(0, |usage| slot(usage.as_of)).min(until);
        let first = reported.max(until.saturating_sub(RETAINED_SLOTS));
        let before = self.fleet_debt(first, fraction * reporting) / reporting;
        let add_slot = |debt, slot| self.debt_after(debt, slot, fraction, self.used_of_share(slot));
        (first..until).fold(before, add_slot)
    }

    fn debt_after(&self, debt: f64, slot: Slot, fraction: f64, used: f64) -> f64 {
        let filled = self.limit_in(slot).rate * fraction * SLOT.as_secs_f64();
        (debt + used - filled).max(0.0)
    }

    fn limit_in(&self, slot: Slot) -> Limit {
        let earlier = self.earlier_limits.range(slot + 1..).next();
        earlier.map_or(self.limit, |(_, limit)| *limit)
    }

    fn used_by_fleet(&self, slot: Slot) -> f64 {
        self.used_here(slot) + self.used_elsewhere(slot)
    }

    /// What a slot's use means for this box's own part: others' use that is known counts by its share.
    fn used_of_share(&self, slot: Slot) -> f64 {
        let forfeited = self.forfeited.get(&slot).copied().unwrap_or_default();
        let others = self.used_elsewhere(slot) / f64::from(self.sharers.reporting);
        self.used_here(slot) + others + forfeited
    }

    fn used_here(&self, slot: Slot) -> f64 {
        self.own.get(&slot).copied().unwrap_or_default() as f64
    }

    fn used_elsewhere(&self, slot: Slot) -> f64 {
        self.others.get(&slot).copied().unwrap_or_default() as f64
    }

    /// The part of the limit that this box goes by.
    fn share(&self, now: Duration) -> Share {
        let is_fleet_wide = self.usage.is_some_and(|usage| usage.is_recent(now));
        let Sharers { reporting, known } = self.sharers;
        let boxes = if is_fleet_wide { reporting } else { 1 };
        let fraction = if known == 0 { 0.0 } else { f64::from(boxes) / f64::from(known) };
        Share { fraction, is_fleet_wide }
    }

    /// Forgets slots that are too old, but not the debt that they left.
    fn expire(&mut self, now: Duration) {
        let first = slot(now).saturating_sub(RETAINED_SLOTS);
        if self.debt.until >= first {
            return;
        }
        let Sharers { reporting, known } = self.sharers;
        let units = self.fleet_debt(first, f64::from(reporting) / f64::from(known.max(reporting)));
        self.debt = Debt { until: first, units };
        self.own = self.own.split_off(&first);
        self.others = self.others.split_off(&first);
        self.forfeited = self.forfeited.split_off(&first);
        self.earlier_limits = self.earlier_limits.split_off(&first);
    }
}

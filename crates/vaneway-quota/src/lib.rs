//! Token-bucket quotas of organisations, shared by many entry boxes, without I/O.
//!
//! An organisation's limit holds for all entry boxes together, but an entry box must not query
//! another one before it admits a request. So each box counts the units that it admits in short
//! slots of the cluster time and reports these counts several times a second. From its own counts
//! and those of the others, each box computes the level of the one token bucket that all of them
//! share.
//!
//! A report never lowers the known count of a slot, so reports may be repeated, delayed or received
//! from several control boxes. A box that starts or was partitioned receives the latest slots
//! again, which is all that it needs.
//!
//! *Between two reports* the boxes may admit too much together: everything that arrives at any of
//! them before they know of each other's admissions. All boxes together therefore admit no more
//! than a fixed fraction of the known level (`MAX_GAIN`) within the age of the usage data: each
//! box draws at random for each request, with a probability computed from the level, the demand at
//! all boxes, the age of the usage data and the size of the request. Older data, a lower level or
//! higher demand lower the probability, and the sum stays the same.
//!
//! *Debt is never dropped.* A changed limit, an organisation that is removed and added again, and
//! slots that are too old to be kept all leave the debt as it is, since dropping it would grant
//! another burst.
//!
//! *A box without recent usage data* falls back to a fixed local share of the limit. The local
//! shares add up to the limit only if the probability of admitting a request larger than the share
//! is inversely proportional to its size.

mod demand;

use std::collections::BTreeMap;
use std::time::Duration;

pub use self::demand::Demand;

/// A rate limit in units, which are requests or tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Burst: units that may be taken at once, in addition to the rate.
    pub burst: f64,
}

/// Number of a slot of the cluster time: slot `n` begins `n` times [`SLOT`] after 1970.
pub type Slot = u64;

/// Length of a slot.
pub const SLOT: Duration = Duration::from_millis(500);

/// Number of slots that are kept individually: longer than any quota is measured over, and longer
/// than the delay of a usage report.
pub const RETAINED_SLOTS: u64 = 24;

/// Maximum fraction of the known level that all boxes together may take within the age of the usage
/// data. A feedback loop with that delay overshoots below zero with any larger gain (1/e is the
/// critical gain of a pure delay).
const MAX_GAIN: f64 = 1.0 / std::f64::consts::E;

/// Maximum age of the usage data that a decision may be based on: several reporting intervals.
/// Beyond it, a box falls back to its local share. A load spike that begins while all reports are
/// delayed goes unnoticed for as long: with 0.5 s, 2 of 800 random schedules of partitions,
/// restarts and load spikes let an organisation take up to 1.004 of what is allowed, with 0.4 s
/// none.
const MAX_USAGE_AGE: Duration = Duration::from_millis(400);

/// Time within which demand has been reported on every connection: more than two reporting
/// intervals. After that, it is repeated only in full reports.
const REPORTING_DEADLINE: Duration = Duration::from_secs(1);

/// Maximum difference between the boxes' estimates of the cluster time that does not count as a
/// clock step.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(100);

/// The slot that contains `time`, which is given since 1970.
pub fn slot(time: Duration) -> Slot {
    (time.as_millis() / SLOT.as_millis()) as Slot
}

/// One organisation's quota at one entry box. Times are cluster times since 1970.
#[derive(Debug, Clone)]
pub struct Quota {
    /// The limit in force.
    limit: Limit,
    /// Limits that were in force earlier; each one ended before the slot that is its key.
    earlier_limits: BTreeMap<Slot, Limit>,
    own_usage: BTreeMap<Slot, u64>,
    others_usage: BTreeMap<Slot, u64>,
    /// Units taken beyond the limit at the beginning of the first slot that is kept.
    debt: Debt,
    /// Units of its local share that this box gave up because they were too few for a request, by
    /// slot.
    forfeited: BTreeMap<Slot, f64>,
    /// Units and requests requested here since this box started, admitted or not.
    requested_units: u64,
    requests: u64,
    demand: Demand,
    usage: Option<FleetUsage>,
    /// Entry boxes that share the limit.
    sharers: Sharers,
}

/// Units taken beyond what the limit allowed until the beginning of a slot: what the bucket lacks.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Debt {
    until: Slot,
    units: f64,
}

/// Quota usage of all entry boxes, as known at one box.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetUsage {
    /// Cluster time up to which the usage of all reporting boxes is known.
    pub as_of: Duration,
    /// Units per second that were requested at all boxes together, admitted or not.
    pub demand: f64,
}

impl FleetUsage {
    /// Whether the data is recent enough to base a decision on.
    fn is_recent(self, now: Duration) -> bool {
        !self.is_from_future(now) && now.saturating_sub(self.as_of) <= MAX_USAGE_AGE
    }

    /// Whether the data is from the future: the cluster time of one of the boxes stepped back.
    fn is_from_future(self, now: Duration) -> bool {
        self.as_of > now + MAX_CLOCK_SKEW
    }
}

/// Maximum age of the demand that shares in a shortage may be based on: unlike what may be admitted
/// within a limit, an outdated share costs others no more than a delay.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(2);

/// Number of entry boxes that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// Boxes whose usage is reported.
    pub reporting: u32,
    /// Boxes that may use a share of the limit, including those that do not report: they may be
    /// partitioned and still admit requests. While this is 0 it is not known yet, and the box
    /// admits nothing.
    pub known: u32,
}

/// State that a quota decision is based on, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaView {
    /// Units that may be taken.
    pub level: f64,
    /// Level at or above which every request is admitted; below it, requests are admitted with a
    /// probability.
    pub full_admission_level: f64,
    /// Age of the usage data; none if none was ever received.
    pub usage_age: Option<Duration>,
    /// Number of boxes that share the limit.
    pub sharers: Sharers,
    /// Whether the decision is based on the usage of all boxes and not on the local share.
    pub is_fleet_wide: bool,
}

/// The fraction of a limit that one box computes with.
#[derive(Debug, Clone, Copy)]
struct Share {
    fraction: f64,
    /// Whether it is the share of all reporting boxes together, so that their usage counts as well.
    is_fleet_wide: bool,
}

impl Quota {
    /// A quota without any known usage.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            earlier_limits: BTreeMap::new(),
            own_usage: BTreeMap::new(),
            others_usage: BTreeMap::new(),
            debt: Debt::default(),
            forfeited: BTreeMap::new(),
            requested_units: 0,
            requests: 0,
            demand: Demand::default(),
            usage: None,
            sharers: Sharers { reporting: 1, known: 0 },
        }
    }

    /// Changes the limit and keeps the debt: boxes apply a new limit at different times, and
    /// starting from a full bucket each time would grant another burst.
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

    /// Takes `units` for a request at this box. `draw` is a uniform random number from 0 to 1 for
    /// this request.
    ///
    /// # Errors
    ///
    /// The quota is exhausted; returns the time until it holds enough units.
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
            *self.own_usage.entry(slot(now)).or_default() += units;
            return Ok(());
        }
        Err(self.retry_delay(now, units, share, level))
    }

    /// Whether a request is admitted, based on the usage of all boxes.
    fn admits_fleet_wide(&self, now: Duration, units: u64, draw: f64, level: f64) -> bool {
        // A request larger than the burst can only be admitted from a full bucket.
        let needed = (units as f64).min(self.limit.burst * self.share(now).fraction);
        let full_admission_level = self.full_admission_level(now);
        let passes_draw = level >= full_admission_level
            || draw * full_admission_level * self.relative_size(units) < level;
        level >= needed && passes_draw
    }

    /// Size of a request relative to the mean. Probabilities inversely proportional to the size
    /// admit as many units as one probability for all requests, but far more requests: a small
    /// request is refused only when nearly all are.
    fn relative_size(&self, units: u64) -> f64 {
        let mean = self.requested_units as f64 / self.requests.max(1) as f64;
        units as f64 / mean.max(1.0)
    }

    /// Whether a request is admitted, based on this box's local share. A request larger than the
    /// remaining level is admitted with a probability that is inversely proportional to its size;
    /// if it is refused, the remaining level is given up. So all local shares together admit no
    /// more than the limit, even if each is smaller than a request.
    fn admit_from_share(&mut self, now: Duration, units: u64, draw: f64, level: f64) -> bool {
        let units = units as f64;
        if level >= units {
            return true;
        }
        let admitted = level > 0.0 && draw * units < level;
        if !admitted {
            *self.forfeited.entry(slot(now)).or_default() += level.max(0.0);
        }
        admitted
    }

    /// Time until a request of this size may be admitted if no other one is.
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

    /// The level at or above which every request is admitted: the units that the other boxes may be
    /// asked for before this box learns of it, divided by the maximum gain to keep the sum from
    /// oscillating.
    fn full_admission_level(&self, now: Duration) -> f64 {
        let Some(usage) = self.usage.filter(|_| self.share(now).is_fleet_wide) else { return 0.0 };
        let others = (usage.demand - self.demand.rate(now)).max(0.0);
        others * now.saturating_sub(usage.as_of).as_secs_f64() / MAX_GAIN
    }

    /// Units per second that are requested at all boxes and that the limit allows for long, with the
    /// age of that knowledge; none if it is too old.
    pub fn fleet_demand(&self, now: Duration) -> Option<(f64, Duration)> {
        let usage = self.usage.filter(|usage| !usage.is_from_future(now))?;
        let age = now.saturating_sub(usage.as_of);
        (age <= MAX_DEMAND_AGE).then(|| (usage.demand.min(self.limit.rate), age))
    }

    /// The state that a request is decided by.
    pub fn view(&self, now: Duration) -> QuotaView {
        QuotaView {
            level: self.level(now),
            full_admission_level: self.full_admission_level(now),
            usage_age: self.usage.map(|usage| now.saturating_sub(usage.as_of)),
            sharers: self.sharers,
            is_fleet_wide: self.share(now).is_fleet_wide,
        }
    }

    /// Returns the units of a request that was admitted but not run.
    pub fn refund(&mut self, now: Duration, units: u64) {
        let own_usage = self.own_usage.entry(slot(now)).or_default();
        *own_usage = own_usage.saturating_sub(units);
    }

    /// Records the units that the other boxes took in some slots.
    pub fn record_others_usage(&mut self, now: Duration, slots: &[(Slot, u64)]) {
        self.expire(now);
        for (slot, units) in slots {
            let known = self.others_usage.entry(*slot).or_default();
            *known = (*known).max(*units);
        }
    }

    /// Updates which boxes share the limit and the fleet's usage. `usage` is none if the reporting
    /// control box cannot determine it, or does not receive this box's reports.
    pub fn update_fleet_usage(
        &mut self,
        now: Duration,
        usage: Option<FleetUsage>,
        sharers: Sharers,
    ) {
        self.sharers.known = sharers.known.max(1);
        // Updates of two control boxes alternate; the number of reporting boxes goes with the newer
        // one.
        let is_older = |usage: &FleetUsage| {
            self.usage.is_some_and(|known| !known.is_from_future(now) && known.as_of > usage.as_of)
        };
        if let Some(usage) = usage.filter(|usage| !is_older(usage)) {
            self.usage = Some(usage);
            self.sharers.reporting = sharers.reporting.max(1);
        }
        self.sharers.reporting = self.sharers.reporting.min(self.sharers.known);
    }

    /// Units that this box took, for each slot from `first` on.
    pub fn own_usage_since(&self, first: Slot) -> impl Iterator<Item = (Slot, u64)> {
        self.own_usage.range(first..).map(|(slot, units)| (*slot, *units))
    }

    /// Units requested here since this box started, admitted or not.
    pub fn requested_units(&self) -> u64 {
        self.requested_units
    }

    /// Whether the control boxes may not have received all demand and usage of this box yet.
    pub fn has_unreported_demand(&self, now: Duration) -> bool {
        now.saturating_sub(self.demand.latest()) <= REPORTING_DEADLINE
    }

    /// Whether no usage or debt remains that affects a decision.
    pub fn is_idle(&self, now: Duration) -> bool {
        let first = slot(now).saturating_sub(RETAINED_SLOTS);
        let recent = |slots: &BTreeMap<Slot, u64>| slots.range(first..).next().is_some();
        !recent(&self.own_usage) && !recent(&self.others_usage) && self.debt.units <= 0.0
    }

    /// Units that may be taken now: the level of a bucket that fills at the limit's rate and from
    /// which each slot's usage is taken.
    pub fn level(&self, now: Duration) -> f64 {
        let share = self.share(now);
        let current = slot(now);
        let debt = if share.is_fleet_wide {
            self.fleet_debt(current, share.fraction)
        } else {
            self.share_debt(current, share.fraction)
        };
        let elapsed_fraction = (now.as_secs_f64() / SLOT.as_secs_f64()).fract();
        let filled = self.limit.rate * share.fraction * SLOT.as_secs_f64() * elapsed_fraction;
        let used = if share.is_fleet_wide {
            self.used_by_fleet(current)
        } else {
            self.used_of_share(current)
        };
        self.limit.burst * share.fraction - (debt - filled).max(0.0) - used
    }

    /// The debt at the beginning of a slot, where `fraction` is the share of all reporting boxes.
    fn fleet_debt(&self, until: Slot, fraction: f64) -> f64 {
        // After a step of the cluster time, this may span more slots than are ever kept.
        let first = self.debt.until.max(until.saturating_sub(2 * RETAINED_SLOTS));
        let add_slot = |debt, slot| self.debt_after(debt, slot, fraction, self.used_by_fleet(slot));
        (first..until).fold(self.debt.units, add_slot)
    }

    /// The debt of the local share at the beginning of a slot: its fraction of the debt of all
    /// boxes at the last usage report, plus what this box took since. So boxes that had taken
    /// little by then get no more than those that had taken much.
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

    /// Usage of a slot that counts against the local share: own usage, forfeited units, and this
    /// box's fraction of the known usage of others.
    fn used_of_share(&self, slot: Slot) -> f64 {
        let forfeited = self.forfeited.get(&slot).copied().unwrap_or_default();
        let others = self.used_elsewhere(slot) / f64::from(self.sharers.reporting);
        self.used_here(slot) + others + forfeited
    }

    fn used_here(&self, slot: Slot) -> f64 {
        self.own_usage.get(&slot).copied().unwrap_or_default() as f64
    }

    fn used_elsewhere(&self, slot: Slot) -> f64 {
        self.others_usage.get(&slot).copied().unwrap_or_default() as f64
    }

    /// The fraction of the limit that this box computes with at `now`.
    fn share(&self, now: Duration) -> Share {
        let is_fleet_wide = self.usage.is_some_and(|usage| usage.is_recent(now));
        let Sharers { reporting, known } = self.sharers;
        let boxes = if is_fleet_wide { reporting } else { 1 };
        let fraction = if known == 0 { 0.0 } else { f64::from(boxes) / f64::from(known) };
        Share { fraction, is_fleet_wide }
    }

    /// Drops slots that are too old and adds up the debt that they leave.
    fn expire(&mut self, now: Duration) {
        let first = slot(now).saturating_sub(RETAINED_SLOTS);
        if self.debt.until >= first {
            return;
        }
        let Sharers { reporting, known } = self.sharers;
        let units = self.fleet_debt(first, f64::from(reporting) / f64::from(known.max(reporting)));
        self.debt = Debt { until: first, units };
        self.own_usage = self.own_usage.split_off(&first);
        self.others_usage = self.others_usage.split_off(&first);
        self.forfeited = self.forfeited.split_off(&first);
        self.earlier_limits = self.earlier_limits.split_off(&first);
    }
}

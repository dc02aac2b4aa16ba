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
//! Between two tellings boxes may admit too much together. Each therefore keeps back what the
//! others will have admitted before it hears of it: what they admitted lately in such a time, or as
//! much as it admitted itself, whichever is more, so that a burst that meets all boxes at once
//! stays in bounds from its beginning. A box that is told nothing for a while falls back to its
//! share.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

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

/// Slots that count: longer than any quota is measured over.
pub const SLOTS_KEPT: u64 = 24;

/// Silence after which the others' use counts as unknown: three tellings. What boxes admit meanwhile adds
/// up over all of them.
const TOLD_WITHIN: Duration = Duration::from_millis(500);

/// Time after which a box has heard of what another admitted: two tellings and the way.
const HEARD_AFTER: Duration = Duration::from_millis(350);

/// Whole slots by which the others' present use is judged.
const LATEST: u64 = 2;

/// Requests of one size that another box may admit before this box hears of it.
const LIKES_UNHEARD: f64 = 2.0;

/// The slot of a time since 1970.
pub fn slot(time: Duration) -> Slot {
    (time.as_millis() / SLOT.as_millis()) as Slot
}

/// One organisation's quota at one entry box. Times are the cluster's, since 1970.
#[derive(Debug, Clone)]
pub struct Quota {
    limit: Limit,
    /// Slot from which on the limit counts; what was taken before was taken under another.
    since: Slot,
    own: BTreeMap<Slot, f64>,
    /// What this box took so lately that others can't have heard of it.
    latest: VecDeque<(Duration, f64)>,
    others: BTreeMap<Slot, f64>,
    /// When the others' use was last told.
    told: Option<Duration>,
    /// Entry boxes that share the limit.
    sharers: Sharers,
}

/// Entry boxes that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// Those whose use is told.
    pub heard: u32,
    /// Those that may take part of it, also where their use is not heard: some may be cut off and
    /// go on admitting.
    pub known: u32,
}

/// What a decision of a quota goes by, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View {
    /// Units that may be taken, before the part that is kept back.
    pub level: f64,
    /// Units that are kept back for what the others take unheard.
    pub kept_back: f64,
    /// Time since the others' use was last told; none if it never was.
    pub told_ago: Option<Duration>,
    /// Boxes that share the limit.
    pub sharers: Sharers,
    /// Whether the box goes by the use of all, not by a part of its own.
    pub whole: bool,
}

/// The part of a limit that one box goes by.
#[derive(Debug, Clone, Copy)]
struct Share {
    limit: Limit,
    /// Whether it is that of all boxes whose use is told, so that their use counts too.
    whole: bool,
}

impl Quota {
    /// A quota of which nothing was taken.
    pub fn new(now: Duration, limit: Limit) -> Self {
        Self {
            limit,
            since: slot(now),
            own: BTreeMap::new(),
            latest: VecDeque::new(),
            others: BTreeMap::new(),
            told: None,
            sharers: Sharers { heard: 1, known: 1 },
        }
    }

    /// The quota of a box that has just started, while the limit may have been in force for long: what
    /// the others are told to have taken before counts, also what this box took before it went down.
    pub fn of_started_box(now: Duration, limit: Limit) -> Self {
        let since = slot(now).saturating_sub(SLOTS_KEPT);
        Self { since, ..Self::new(now, limit) }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, now: Duration, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.since = slot(now);
        }
    }

    /// Takes `units` for a request of this box.
    ///
    /// # Errors
    ///
    /// The time after which the quota will hold enough.
    pub fn take(&mut self, now: Duration, units: f64) -> Result<(), Duration> {
        self.forget(now);
        let share = self.share(now);
        // A request larger than the burst can only ever start from a full bucket.
        let needed = units.min(share.limit.burst);
        let free = self.level(now) - self.kept_back(now, share, units);
        if free >= needed {
            *self.own.entry(slot(now)).or_default() += units;
            self.latest.push_back((now, units));
            return Ok(());
        }
        let rate = share.limit.rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64((needed - free) / rate).unwrap_or(Duration::MAX))
    }

    /// What a request of this many units is decided by.
    pub fn view(&self, now: Duration, units: f64) -> View {
        let share = self.share(now);
        View {
            level: self.level(now),
            kept_back: self.kept_back(now, share, units),
            told_ago: self.told.map(|told| now.saturating_sub(told)),
            sharers: self.sharers,
            whole: share.whole,
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Gives back what a request took that was not run.
    pub fn give_back(&mut self, now: Duration, units: f64) {
        let own = self.own.entry(slot(now)).or_default();
        *own = (*own - units).max(0.0);
    }

    /// Learns what the other boxes took in some slots, and which boxes share the limit.
    pub fn tell(&mut self, now: Duration, slots: &[(Slot, f64)], sharers: Sharers) {
        for (slot, units) in slots {
            let known = self.others.entry(*slot).or_default();
            *known = known.max(*units);
        }
        self.told = Some(now);
        let heard = sharers.heard.max(1);
        self.sharers = Sharers { heard, known: sharers.known.max(heard) };
    }

    /// What this box took in the slots from `first` on.
    pub fn own(&self, first: Slot) -> impl Iterator<Item = (Slot, f64)> {
        self.own.range(first..).map(|(slot, units)| (*slot, *units))
    }

    /// Units that may be taken now: the level of a bucket that was full when the limit began to
    /// count, fills at the limit's rate, and from which each slot's use was taken.
    pub fn level(&self, now: Duration) -> f64 {
        let present = slot(now);
        let first = self.since.max(present.saturating_sub(SLOTS_KEPT));
        let Share { limit, whole } = self.share(now);
        let (level, from) = match self.told {
            Some(told) if !whole => self.level_when_cut_off(limit, first, slot(told).min(present)),
            _ => (limit.burst, first),
        };
        let used = |slot: Slot| if whole { self.used_by_all(slot) } else { self.used_here(slot) };
        let level = drain(limit, level, from..present, used);
        let part = (now.as_secs_f64() / SLOT.as_secs_f64()).fract();
        let filled = limit.rate * SLOT.as_secs_f64() * part;
        (level + filled).min(limit.burst) - used(present)
    }

    /// What is left to this box, with its own part `limit`, of what all had when the others' use was
    /// last told, and the slot of that time: boxes that had taken little until then get no more than
    /// those that had taken much.
    fn level_when_cut_off(&self, limit: Limit, first: Slot, told: Slot) -> (f64, Slot) {
        let heard = f64::from(self.sharers.heard);
        let all = Limit { rate: limit.rate * heard, burst: limit.burst * heard };
        let told = told.max(first);
        let level = drain(all, all.burst, first..told, |slot| self.used_by_all(slot));
        (level / heard, told)
    }

    fn used_here(&self, slot: Slot) -> f64 {
        self.own.get(&slot).copied().unwrap_or_default()
    }

    fn used_by_all(&self, slot: Slot) -> f64 {
        self.used_here(slot) + self.others.get(&slot).copied().unwrap_or_default()
    }

    /// What is kept back of the level for a request of this many units.
    fn kept_back(&self, now: Duration, share: Share, units: f64) -> f64 {
        // What requests of this size can take too much together is bounded by their size.
        let likes = units * f64::from(self.sharers.heard) * LIKES_UNHEARD;
        self.unheard(now, share).min(likes)
    }

    /// What the others will have taken before this box hears of it.
    fn unheard(&self, now: Duration, share: Share) -> f64 {
        if !share.whole {
            return 0.0;
        }
        let present = slot(now);
        let latest = self.others.range(present.saturating_sub(LATEST)..present);
        let taken: f64 = latest.map(|(_, units)| units).sum();
        let taken = taken * HEARD_AFTER.as_secs_f64() / (SLOT.as_secs_f64() * LATEST as f64);
        let own: f64 = self.latest.iter().map(|(_, units)| units).sum();
        taken.max(own * f64::from(self.sharers.heard - 1))
    }

    /// The part of the limit that this box goes by.
    fn share(&self, now: Duration) -> Share {
        let told = self.told.is_some_and(|told| now.saturating_sub(told) <= TOLD_WITHIN);
        let Sharers { heard, known } = self.sharers;
        let part = if told { f64::from(heard) } else { 1.0 } / f64::from(known);
        let limit = Limit { rate: self.limit.rate * part, burst: self.limit.burst * part };
        Share { limit, whole: told }
    }

    fn forget(&mut self, now: Duration) {
        let first = slot(now).saturating_sub(SLOTS_KEPT);
        self.own.retain(|slot, _| *slot >= first);
        self.others.retain(|slot, _| *slot >= first);
        while self.latest.pop_front_if(|(at, _)| *at + HEARD_AFTER < now).is_some() {}
    }
}

/// The level of a bucket after some slots, each with its use.
fn drain(limit: Limit, level: f64, slots: Range<Slot>, used: impl Fn(Slot) -> f64) -> f64 {
    let filled = limit.rate * SLOT.as_secs_f64();
    slots.fold(level, |level, slot| (level - used(slot) + filled).min(limit.burst))
}

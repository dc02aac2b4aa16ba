//! What entry boxes took of quotas, as a control box adds it up, without I/O.
//!
//! Why sums that are kept: a control box tells them some times a second, and whole to each entry box that
//! connects, while all slots of all boxes are a hundred thousand numbers. Added up anew for each one that
//! connected, they took 60% of the processor time of a control box to which 300 entry boxes came back at once.
//!
//! What is told of a slot only grows, so a report may come twice or late.

use std::collections::BTreeMap;
use std::time::Duration;

use vaneway_quota::Demand;
use vaneway_quota::RETAINED_SLOTS;
use vaneway_quota::Slot;

use crate::core::cluster_time::AHEAD_MOST;
use crate::core::cluster_time::ClusterNow;
use crate::core::entry_incarnation::EntryIncarnation;
use crate::core::quota_usage::OthersQuotaUsage;
use crate::core::quota_usage::OwnQuotaUsage;

/// Slots of quotas that a control box remembers.
const LEDGER_SLOTS: usize = RETAINED_SLOTS as usize + 4;

/// Units of each organisation.
type Units = BTreeMap<String, u64>;

/// What all entry boxes told one control box of quotas.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    /// What each start of an entry box told.
    told: BTreeMap<EntryIncarnation, Told>,
    /// The sums of all of them.
    totals: BTreeMap<Slot, Units>,
    /// The first slot of which more was told since it was last asked for.
    grown_from: Option<Slot>,
    demands: BTreeMap<String, Demand>,
}

/// What one start of an entry box told.
#[derive(Debug, Default)]
struct Told {
    /// Units that it was asked for since it started.
    asked: Units,
    /// Units that it took.
    taken: BTreeMap<Slot, Units>,
}

/// What all entry boxes took of each organisation's quota, and were asked for.
pub type QuotaTotals = BTreeMap<String, QuotaTotal>;

/// What all entry boxes took of an organisation's quota.
#[derive(Debug, Clone, Default)]
pub struct QuotaTotal {
    /// Units that they were asked for in a second, admitted or not.
    pub demand: u64,
    /// Units by slot.
    pub slots: BTreeMap<Slot, u64>,
}

/// Raises what is known of an organisation to `units`; returns by how much.
fn raise(known: &mut Units, organisation: &str, units: u64) -> u64 {
    if let Some(before) = known.get_mut(organisation) {
        let more = units.saturating_sub(*before);
        *before += more;
        return more;
    }
    known.insert(organisation.to_owned(), units);
    units
}

impl QuotaLedger {
    /// Takes in what an entry box told.
    pub(super) fn merge(
        &mut self,
        now: ClusterNow,
        entry: &EntryIncarnation,
        quotas: &[(String, OwnQuotaUsage)],
    ) {
        // What was asked for before this box heard of the entry for the first time says nothing of now.
        let is_new = !self.told.contains_key(entry);
        if is_new {
            self.told.insert(entry.clone(), Told::default());
        }
        let Some(told) = self.told.get_mut(entry) else { return };
        for (organisation, report) in quotas {
            let units = raise(&mut told.asked, organisation, report.asked);
            if units > 0 && !is_new {
                let demand = self.demands.entry(organisation.clone()).or_default();
                demand.add(now.time, units as f64);
            }
            for (slot, units) in &report.slots {
                if *slot > now.slot + AHEAD_MOST {
                    continue;
                }
                let known = told.taken.entry(*slot).or_default();
                let more = raise(known, organisation, *units);
                if more > 0 {
                    let total = self.totals.entry(*slot).or_default();
                    *total.entry(organisation.clone()).or_default() += more;
                    self.grown_from = Some(self.grown_from.map_or(*slot, |grown| grown.min(*slot)));
                }
            }
        }
        while self.totals.len() > LEDGER_SLOTS {
            self.totals.pop_first();
        }
        // Of a slot that is forgotten in the sums, nothing may be taken for news either.
        let first = self.totals.first_key_value().map_or(0, |(slot, _)| *slot);
        while told.taken.first_key_value().is_some_and(|(slot, _)| *slot < first) {
            told.taken.pop_first();
        }
    }

    /// Forgets the starts of entry boxes for which `kept` does not hold, once nothing of what they took is
    /// in the sums any more: told again, it would be added again.
    pub(super) fn forget(&mut self, kept: impl Fn(&EntryIncarnation) -> bool) {
        let first = self.totals.first_key_value().map_or(0, |(slot, _)| *slot);
        self.told.retain(|entry, told| kept(entry) || told.taken.range(first..).next().is_some());
    }

    /// The first slot to tell now, where each telling repeats so many of the latest: earlier ones too if more of
    /// them was told since the last call. An entry box that was cut off tells late, and the others must hear of
    /// it at once.
    pub fn first_slot_to_send(&mut self, repeated: u64) -> Slot {
        let last = self.totals.last_key_value().map_or(0, |(slot, _)| *slot);
        let latest = last.saturating_sub(repeated);
        self.grown_from.take().map_or(latest, |grown| grown.min(latest))
    }

    /// Units that all entry boxes took, in the slots from `first` on, of each organisation that took or wanted any.
    pub fn totals(&self, now: Duration, first: Slot) -> QuotaTotals {
        // An organisation that is refused everything is told of too: what it asks for decides.
        let wanted = self.demands.iter().filter(|(_, demand)| demand.rate(now) >= 1.0);
        let with_demand = |(organisation, demand): (&String, &Demand)| {
            let demand = demand.rate(now).round() as u64;
            (organisation.clone(), QuotaTotal { demand, slots: BTreeMap::new() })
        };
        let mut totals: QuotaTotals = wanted.map(with_demand).collect();
        for (slot, units) in self.totals.range(first..) {
            for (organisation, units) in units {
                if let Some(total) = totals.get_mut(organisation) {
                    total.slots.insert(*slot, *units);
                    continue;
                }
                let slots = BTreeMap::from([(*slot, *units)]);
                totals.insert(organisation.clone(), QuotaTotal { demand: 0, slots });
            }
        }
        totals
    }

    /// Units that the boxes but `entry` took in the slots from `first` on.
    pub fn others(
        &self,
        now: Duration,
        first: Slot,
        entry: &EntryIncarnation,
    ) -> Vec<(String, OthersQuotaUsage)> {
        let taken = self.told.get(entry).map(|told| &told.taken);
        let own = |slot: Slot, organisation: &str| taken?.get(&slot)?.get(organisation).copied();
        let rest = |(organisation, total): (String, QuotaTotal)| {
            let without_own =
                |(slot, units)| (slot, units - own(slot, &organisation).unwrap_or_default());
            let slots = total.slots.into_iter().map(without_own).collect();
            (organisation, OthersQuotaUsage { demand: total.demand, slots })
        };
        self.totals(now, first).into_iter().map(rest).collect()
    }
}

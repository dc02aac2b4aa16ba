//! Quota usage of all entry boxes, summed up at a control box, without I/O.
//!
//! The sums are maintained incrementally: a control box sends them several times a second, and in
//! full to each entry box that connects, while all slots of all boxes are a hundred thousand
//! numbers. Summed up anew for each box that connected, they took 60% of the processor time of a
//! control box to which 300 entry boxes reconnected at once.
//!
//! The usage that is reported for a slot only grows, so a report may be repeated or late.

use std::collections::BTreeMap;
use std::time::Duration;

use vaneway_quota::Demand;
use vaneway_quota::RETAINED_SLOTS;
use vaneway_quota::Slot;

use crate::cluster_time::ClusterNow;
use crate::cluster_time::MAX_AHEAD;
use crate::entry_incarnation::EntryIncarnation;
use crate::quota_usage::OthersQuotaUsage;
use crate::quota_usage::OwnQuotaUsage;

/// Number of quota slots that a control box retains.
const RETAINED_LEDGER_SLOTS: usize = RETAINED_SLOTS as usize + 4;

/// Units by organisation.
type Units = BTreeMap<String, u64>;

/// Quota usage as all entry boxes reported it to one control box.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    /// Reported usage by incarnation of an entry box.
    by_incarnation: BTreeMap<EntryIncarnation, ReportedUsage>,
    /// The sums over all incarnations.
    totals: BTreeMap<Slot, Units>,
    /// The first slot for which the usage has grown since the last call of
    /// [`QuotaLedger::first_slot_to_send`].
    grown_from: Option<Slot>,
    demands: BTreeMap<String, Demand>,
}

/// Quota usage as one incarnation of an entry box reported it.
#[derive(Debug, Default)]
struct ReportedUsage {
    /// Units requested since it started, admitted or not.
    requested: Units,
    /// Units admitted, by slot.
    admitted: BTreeMap<Slot, Units>,
}

/// Usage of each organisation's quota over all entry boxes.
pub type QuotaTotals = BTreeMap<String, QuotaTotal>;

/// Usage of one organisation's quota over all entry boxes.
#[derive(Debug, Clone, Default)]
pub struct QuotaTotal {
    /// Units requested per second, admitted or not.
    pub demand: u64,
    /// Units admitted, by slot.
    pub slots: BTreeMap<Slot, u64>,
}

/// Raises the known usage of an organisation to `units` if it was less; returns the increase.
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
    /// Merges the usage that an entry box reported.
    pub(crate) fn merge(
        &mut self,
        now: ClusterNow,
        entry: &EntryIncarnation,
        quotas: &[(String, OwnQuotaUsage)],
    ) {
        // The first cumulative count that is received from an entry box covers an unknown period,
        // so it is not counted as present demand.
        let is_new = !self.by_incarnation.contains_key(entry);
        if is_new {
            self.by_incarnation.insert(entry.clone(), ReportedUsage::default());
        }
        let Some(reported) = self.by_incarnation.get_mut(entry) else { return };
        for (organisation, report) in quotas {
            let units = raise(&mut reported.requested, organisation, report.asked);
            if units > 0 && !is_new {
                let demand = self.demands.entry(organisation.clone()).or_default();
                demand.add(now.time, units as f64);
            }
            for (slot, units) in &report.slots {
                if *slot > now.slot + MAX_AHEAD {
                    continue;
                }
                let known = reported.admitted.entry(*slot).or_default();
                let more = raise(known, organisation, *units);
                if more > 0 {
                    let total = self.totals.entry(*slot).or_default();
                    *total.entry(organisation.clone()).or_default() += more;
                    self.grown_from = Some(self.grown_from.map_or(*slot, |grown| grown.min(*slot)));
                }
            }
        }
        while self.totals.len() > RETAINED_LEDGER_SLOTS {
            self.totals.pop_first();
        }
        // Slots that the sums no longer hold must not be counted as new usage if they are reported
        // again.
        let first = self.totals.first_key_value().map_or(0, |(slot, _)| *slot);
        while reported.admitted.first_key_value().is_some_and(|(slot, _)| *slot < first) {
            reported.admitted.pop_first();
        }
    }

    /// Removes the incarnations of entry boxes for which `is_tracked` does not hold, once the sums
    /// contain nothing of their usage: until then, a repeated report would be added a second time.
    pub(crate) fn expire(&mut self, is_tracked: impl Fn(&EntryIncarnation) -> bool) {
        let first = self.totals.first_key_value().map_or(0, |(slot, _)| *slot);
        self.by_incarnation.retain(|entry, reported| {
            is_tracked(entry) || reported.admitted.range(first..).next().is_some()
        });
    }

    /// The first slot of the next update. Each update repeats the latest `repeated` slots, and
    /// earlier ones too if their usage has grown since the last call: an entry box that was cut off
    /// reports late, and the other boxes must learn of its usage at once.
    pub fn first_slot_to_send(&mut self, repeated: u64) -> Slot {
        let last = self.totals.last_key_value().map_or(0, |(slot, _)| *slot);
        let latest = last.saturating_sub(repeated);
        self.grown_from.take().map_or(latest, |grown| grown.min(latest))
    }

    /// Usage over all entry boxes in the slots from `first` on, of each organisation with usage or
    /// demand.
    pub fn totals(&self, now: Duration, first: Slot) -> QuotaTotals {
        // Includes organisations whose requests are all refused: their demand determines how much
        // is admitted.
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

    /// Usage over all entry boxes but `entry` in the slots from `first` on.
    pub fn others(
        &self,
        now: Duration,
        first: Slot,
        entry: &EntryIncarnation,
    ) -> Vec<(String, OthersQuotaUsage)> {
        let admitted = self.by_incarnation.get(entry).map(|reported| &reported.admitted);
        let own = |slot: Slot, organisation: &str| admitted?.get(&slot)?.get(organisation).copied();
        let others = |(organisation, total): (String, QuotaTotal)| {
            let without_own =
                |(slot, units)| (slot, units - own(slot, &organisation).unwrap_or_default());
            let slots = total.slots.into_iter().map(without_own).collect();
            (organisation, OthersQuotaUsage { demand: total.demand, slots })
        };
        self.totals(now, first).into_iter().map(others).collect()
    }
}

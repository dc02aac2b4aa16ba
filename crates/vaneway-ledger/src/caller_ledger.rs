//! What callers of all entry boxes ask of each service's engines and what they get, at one control
//! box.

use std::collections::BTreeMap;

use vaneway_quota::Slot;

use crate::caller_times::CallerTimes;
use crate::entry_incarnation::EntryIncarnation;

/// Number of slots for which reported requests are retained: 16 s. Prompts of extreme length are
/// rare, so their spread shows only over many requests.
const RETAINED_SLOTS: u64 = 32;

/// Number of slots over which the share of requests in time is measured: 2 s, the time for which a
/// change of the fleet is watched.
const LATEST_SLOTS: u64 = 4;

/// The requests by service.
type ByService = BTreeMap<String, CallerTimes>;

/// The reports of all entry boxes on what callers get.
#[derive(Debug, Default)]
pub struct CallerLedger {
    /// The latest report of each incarnation.
    reported: BTreeMap<EntryIncarnation, ByService>,
    /// Requests reported in the latest slots.
    slots: BTreeMap<Slot, ByService>,
}

impl CallerLedger {
    /// Merges a report. The first one of an incarnation covers an unknown period, so only what
    /// follows it is counted.
    pub fn merge(&mut self, now: Slot, entry: &EntryIncarnation, report: &[(String, CallerTimes)]) {
        let report: ByService = report.iter().cloned().collect();
        let Some(before) = self.reported.insert(entry.clone(), report.clone()) else { return };
        let slot = self.slots.entry(now).or_default();
        for (service, times) in &report {
            let added = match before.get(service) {
                Some(before) => times.since(before),
                None => times.clone(),
            };
            slot.entry(service.clone()).or_default().add(&added);
        }
        // After a backward clock step, slots that are still in the future would displace the
        // present ones.
        drop(self.slots.split_off(&(now + 1)));
        self.slots = self.slots.split_off(&now.saturating_sub(RETAINED_SLOTS));
    }

    /// Removes the incarnations that are no longer tracked.
    pub fn expire(&mut self, is_tracked: impl Fn(&EntryIncarnation) -> bool) {
        self.reported.retain(|entry, _| is_tracked(entry));
    }

    /// The retained requests for a service.
    pub fn retained(&self, now: Slot, service: &str) -> CallerTimes {
        self.sum(now, RETAINED_SLOTS, service)
    }

    /// The requests for a service in the latest slots.
    pub fn latest(&self, now: Slot, service: &str) -> CallerTimes {
        self.sum(now, LATEST_SLOTS, service)
    }

    fn sum(&self, now: Slot, slots: u64, service: &str) -> CallerTimes {
        let mut sum = CallerTimes::default();
        let slots = self.slots.range(now.saturating_sub(slots)..=now);
        slots.filter_map(|(_, services)| services.get(service)).for_each(|times| sum.add(times));
        sum
    }
}

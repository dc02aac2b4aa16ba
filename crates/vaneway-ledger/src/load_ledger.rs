//! Open requests and tokens at endpoints, summed up over all entry boxes, without I/O.
//!
//! The sums are maintained incrementally: each entry box changes a few of them between two reports,
//! whereas adding them up anew would take boxes × endpoints numbers each time.
//!
//! Data flow: entry boxes report all of their load when they connect and at intervals
//! ([`LoadLedger::replace`]), and only the changes in between ([`LoadLedger::update`]). The next
//! full report corrects whatever was lost. The sums that changed ([`LoadLedger::take_changed`]) are
//! sent to entry boxes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use vaneway_registry::InstanceId;
use vaneway_route::Load;

use crate::entry_incarnation::EntryIncarnation;

/// Load at some endpoints.
pub type Loads = Vec<(InstanceId, Load)>;

/// Load of all entry boxes at endpoints, as they reported it to a control box.
#[derive(Debug, Default)]
pub struct LoadLedger {
    reported: BTreeMap<EntryIncarnation, BTreeMap<InstanceId, Load>>,
    sums: BTreeMap<InstanceId, Load>,
    /// Endpoints whose sum changed since the last call of [`LoadLedger::take_changed`].
    changed: BTreeSet<InstanceId>,
}

impl LoadLedger {
    /// Replaces the complete load of an entry box.
    pub fn replace(&mut self, entry: &EntryIncarnation, loads: &[(InstanceId, Load)]) {
        let known = self.reported.get(entry);
        let now: BTreeMap<&InstanceId, Load> = loads.iter().map(|(id, load)| (id, *load)).collect();
        let removed = known.into_iter().flat_map(BTreeMap::keys).filter(|id| !now.contains_key(id));
        let removed: Loads = removed.map(|id| (id.clone(), Load::default())).collect();
        self.update(entry, &removed);
        self.update(entry, loads);
    }

    /// Updates the load of an entry box at some endpoints.
    pub fn update(&mut self, entry: &EntryIncarnation, loads: &[(InstanceId, Load)]) {
        let reported = self.reported.entry(entry.clone()).or_default();
        for (id, load) in loads {
            let before = if *load == Load::default() {
                reported.remove(id)
            } else {
                reported.insert(id.clone(), *load)
            };
            let before = before.unwrap_or_default();
            if before == *load {
                continue;
            }
            let sum = self.sums.entry(id.clone()).or_default();
            *sum = Load {
                requests: sum.requests - before.requests + load.requests,
                tokens: sum.tokens - before.tokens + load.tokens,
            };
            if *sum == Load::default() {
                self.sums.remove(id);
            }
            self.changed.insert(id.clone());
        }
    }

    /// Removes the load of an entry box that is gone.
    pub fn remove(&mut self, entry: &EntryIncarnation) {
        self.replace(entry, &[]);
        self.reported.remove(entry);
    }

    /// The sums of all endpoints that have any load.
    pub fn all(&self) -> Loads {
        self.sums.iter().map(|(id, load)| (id.clone(), *load)).collect()
    }

    /// Returns the sums that changed since the last call.
    pub fn take_changed(&mut self) -> Loads {
        let changed = std::mem::take(&mut self.changed).into_iter();
        let with_sum = changed.map(|id| {
            let sum = self.sums.get(&id).copied().unwrap_or_default();
            (id, sum)
        });
        with_sum.collect()
    }
}

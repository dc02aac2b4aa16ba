//! What entry boxes have open at endpoints, summed up over all of them, without I/O.
//!
//! Why sums that are kept: each entry box changes a few of them between two tellings, while there are as
//! many numbers as boxes times endpoints to add up anew.
//!
//! Data flow: entry boxes tell all of theirs when they connect and now and then ([`LoadLedger::replace`]),
//! and in between what changed ([`LoadLedger::update`]). Whatever was lost is right again with the next
//! whole telling. What changed in the sums ([`LoadLedger::take_changed`]) is told to entry boxes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use vaneway_registry::InstanceId;
use vaneway_route::Load;

use crate::core::entry_incarnation::EntryIncarnation;

/// What is open at some endpoints.
pub type Loads = Vec<(InstanceId, Load)>;

/// What all entry boxes have open at endpoints, as they told a control box.
#[derive(Debug, Default)]
pub struct LoadLedger {
    told: BTreeMap<EntryIncarnation, BTreeMap<InstanceId, Load>>,
    sums: BTreeMap<InstanceId, Load>,
    /// Endpoints whose sum changed since it was last asked for.
    changed: BTreeSet<InstanceId>,
}

impl LoadLedger {
    /// Takes in all that an entry box has open.
    pub fn replace(&mut self, entry: &EntryIncarnation, loads: &[(InstanceId, Load)]) {
        let known = self.told.get(entry);
        let now: BTreeMap<&InstanceId, Load> = loads.iter().map(|(id, load)| (id, *load)).collect();
        let ended = known.into_iter().flat_map(BTreeMap::keys).filter(|id| !now.contains_key(id));
        let ended: Loads = ended.map(|id| (id.clone(), Load::default())).collect();
        self.update(entry, &ended);
        self.update(entry, loads);
    }

    /// Takes in what an entry box has open at some endpoints.
    pub fn update(&mut self, entry: &EntryIncarnation, loads: &[(InstanceId, Load)]) {
        let told = self.told.entry(entry.clone()).or_default();
        for (id, load) in loads {
            let before = if *load == Load::default() {
                told.remove(id)
            } else {
                told.insert(id.clone(), *load)
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

    /// Forgets what an entry box that is gone has open.
    pub fn remove(&mut self, entry: &EntryIncarnation) {
        self.replace(entry, &[]);
        self.told.remove(entry);
    }

    /// The sums of all endpoints at which anything is open.
    pub fn all(&self) -> Loads {
        self.sums.iter().map(|(id, load)| (id.clone(), *load)).collect()
    }

    /// The sums that changed since this was last asked.
    pub fn take_changed(&mut self) -> Loads {
        let changed = std::mem::take(&mut self.changed).into_iter();
        let with_sum = changed.map(|id| {
            let sum = self.sums.get(&id).copied().unwrap_or_default();
            (id, sum)
        });
        with_sum.collect()
    }
}

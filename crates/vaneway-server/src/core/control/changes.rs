//! The latest changes of the configuration, from which entry boxes are told what differs from what they have.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::core::cluster::wire::ToEntry;
use crate::core::configuration::Configuration;
use crate::core::configuration::Version;
use crate::core::configuration_change::ConfigurationChange;
use crate::util::frames::EncodedFrame;

/// Changes that are kept at most.
const MAX_CHANGES: usize = 64;

/// Routes, services and organisations in them at most.
const MAX_PARTS: usize = 4_096;

/// The latest changes, the last of which made the configuration that is agreed on.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    kept: VecDeque<ConfigurationChange>,
    /// Answers to entry boxes, by the version that they have; 0 for the whole.
    encoded_updates: BTreeMap<Version, EncodedFrame>,
}

impl ConfigurationHistory {
    /// Takes note that a configuration was agreed on after another one.
    pub fn record(&mut self, before: Option<&Configuration>, now: &Configuration) {
        self.encoded_updates.clear();
        let change = before.and_then(|before| ConfigurationChange::between(before, now));
        let Some(change) = change else {
            self.kept.clear();
            return;
        };
        self.kept.push_back(change);
        let parts = |kept: &VecDeque<_>| kept.iter().map(ConfigurationChange::parts).sum::<usize>();
        while self.kept.len() > MAX_CHANGES || parts(&self.kept) > MAX_PARTS {
            self.kept.pop_front();
        }
    }

    /// What leads an entry box that has a version to the configuration `now`, which is agreed on.
    pub fn update_since(&mut self, now: &Configuration, have: Version) -> EncodedFrame {
        let change = self.since(have);
        let version = change.as_ref().map_or(0, |change| change.base);
        let update = self.encoded_updates.entry(version).or_insert_with(|| {
            EncodedFrame::new(&match change {
                Some(change) => ToEntry::ConfigurationChange(change),
                None => ToEntry::Configuration(now.clone()),
            })
        });
        update.clone()
    }

    /// What differs from a version; none if its changes are not kept.
    fn since(&self, have: Version) -> Option<ConfigurationChange> {
        let from = self.kept.iter().position(|change| change.base == have)?;
        self.kept.range(from..).cloned().reduce(ConfigurationChange::then)
    }
}

//! The latest configuration changes, from which entry boxes are sent the difference to the version
//! that they have.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::core::cluster::wire::ToEntry;
use crate::core::configuration::Configuration;
use crate::core::configuration::Version;
use crate::core::configuration_change::ConfigurationChange;
use crate::util::frames::EncodedFrame;

/// Maximum number of changes that are kept.
const MAX_CHANGES: usize = 64;

/// Maximum number of routes, services and organisations in all kept changes together.
const MAX_ITEMS: usize = 4_096;

/// The latest configuration changes; the last one produced the committed configuration.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    changes: VecDeque<ConfigurationChange>,
    /// Encoded answers to entry boxes, by the version that they have; 0 for the complete
    /// configuration.
    encoded_updates: BTreeMap<Version, EncodedFrame>,
}

impl ConfigurationHistory {
    /// Records that the configuration `now` was committed after `before`.
    pub fn record(&mut self, before: Option<&Configuration>, now: &Configuration) {
        self.encoded_updates.clear();
        let change = before.and_then(|before| ConfigurationChange::between(before, now));
        let Some(change) = change else {
            self.changes.clear();
            return;
        };
        self.changes.push_back(change);
        let items =
            |changes: &VecDeque<_>| changes.iter().map(ConfigurationChange::items).sum::<usize>();
        while self.changes.len() > MAX_CHANGES || items(&self.changes) > MAX_ITEMS {
            self.changes.pop_front();
        }
    }

    /// The message that brings an entry box from the version `have` to the committed configuration
    /// `now`: a difference, or the complete configuration.
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

    /// The difference to the version `have`; none if its changes are not kept.
    fn since(&self, have: Version) -> Option<ConfigurationChange> {
        let from = self.changes.iter().position(|change| change.base == have)?;
        self.changes.range(from..).cloned().reduce(ConfigurationChange::then)
    }
}

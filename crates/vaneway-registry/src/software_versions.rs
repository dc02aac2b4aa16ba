//! The software versions of registered endpoints, by service.

use std::collections::BTreeMap;

use crate::Details;
use crate::SoftwareVersion;

/// For each service the software versions that endpoints declare, with the number of endpoints.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoftwareVersions {
    endpoints: BTreeMap<String, BTreeMap<SoftwareVersion, usize>>,
}

impl SoftwareVersions {
    /// The versions of a service.
    pub(crate) fn of(&self, service: &str) -> impl Iterator<Item = &SoftwareVersion> {
        self.endpoints.get(service).into_iter().flat_map(BTreeMap::keys)
    }

    /// Replaces what an endpoint reported by what it reports now.
    pub(crate) fn replace(&mut self, before: Option<&Details>, now: Option<&Details>) {
        if let Some(details) = now {
            self.add(details);
        }
        if let Some(details) = before {
            self.remove(details);
        }
    }

    fn add(&mut self, details: &Details) {
        let versions = self.endpoints.entry(details.service.clone()).or_default();
        *versions.entry(details.software.clone()).or_default() += 1;
    }

    fn remove(&mut self, details: &Details) {
        let Some(versions) = self.endpoints.get_mut(&details.service) else { return };
        let Some(count) = versions.get_mut(&details.software) else { return };
        *count -= 1;
        if *count == 0 {
            versions.remove(&details.software);
        }
        if versions.is_empty() {
            self.endpoints.remove(&details.service);
        }
    }
}

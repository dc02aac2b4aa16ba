//! The usage report that an entry box sends to control boxes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vaneway_engine::Speeds;
use vaneway_engine::Totals;

use crate::cluster_time::Window;
use crate::load_ledger::Loads;
use crate::quota_usage::OwnQuotaUsage;

/// Number of requests by organisation.
pub type Counts = BTreeMap<String, u64>;

/// Work and speeds of a service's engines, as one entry box reports them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Work sent to them since the box started.
    pub totals: Totals,
    /// Their measured speeds.
    pub speeds: Speeds,
}

/// Usage report of one entry box.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Cluster time of this report; none while the entry box doesn't know it.
    pub at: Option<Duration>,
    /// Requests started in the latest windows.
    pub windows: Vec<(Window, Counts)>,
    /// Quota units admitted in the latest slots, and units requested.
    pub quotas: Vec<(String, OwnQuotaUsage)>,
    /// Everything that is open at endpoints now, in full reports only.
    pub loads: Option<Loads>,
    /// Work and speeds of each service's engines.
    pub work: Vec<(String, EngineUsage)>,
}

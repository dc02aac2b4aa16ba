//! What entry and control boxes tell each other of quotas.

use serde::Deserialize;
use serde::Serialize;
use vaneway_quota::Slot;

/// Quota units by slot.
pub type SlotUnits = Vec<(Slot, u64)>;

/// What one entry box tells of an organisation's quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnQuotaUsage {
    /// Units that it was asked for since it started, admitted or not.
    pub asked: u64,
    /// Units that it took.
    pub slots: SlotUnits,
}

/// What a control box tells of an organisation's quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OthersQuotaUsage {
    /// Units that all entry boxes were asked for in a second, admitted or not.
    pub demand: u64,
    /// Units that the others took.
    pub slots: SlotUnits,
}

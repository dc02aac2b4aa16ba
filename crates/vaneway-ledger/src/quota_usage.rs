//! Quota usage in the messages between entry and control boxes.

use serde::Deserialize;
use serde::Serialize;
use vaneway_quota::Slot;

/// Quota units by slot.
pub type SlotUnits = Vec<(Slot, u64)>;

/// Usage of an organisation's quota at one entry box, as it reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnQuotaUsage {
    /// Units requested since it started, admitted or not.
    pub asked: u64,
    /// Units admitted, by slot.
    pub slots: SlotUnits,
}

/// Usage of an organisation's quota at the other entry boxes, as a control box sends it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OthersQuotaUsage {
    /// Units per second that were requested at all entry boxes together, admitted or not.
    pub demand: u64,
    /// Units that the other entry boxes admitted, by slot.
    pub slots: SlotUnits,
}

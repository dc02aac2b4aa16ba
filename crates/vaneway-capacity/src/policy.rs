//! The policy of a planner: how much spare capacity a service has, at which cost.

use std::time::Duration;

use serde::Serialize;

/// Trade-off between cost and spare capacity.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Policy {
    /// Target utilisation of the fleet, from 0 to 1. Reclaimable replicas are cheap, so this can
    /// leave much spare capacity.
    pub busy_most: f64,
    /// Target utilisation while on-demand replicas replace reclaimable ones.
    pub busy_scarce: f64,
    /// Number of on-demand replicas that are always kept.
    pub on_demand_least: u32,
    /// Share of the demand that on-demand replicas must be able to serve while reclaimable ones are
    /// refused or were just reclaimed, in case all reclaimable replicas are lost.
    pub last_share: f64,
    /// Period over which the maximum demand is taken.
    pub demand_kept: Duration,
    /// Period over which the maximum demand is taken for on-demand replicas that replace
    /// reclaimable ones. It is shorter because they are expensive.
    pub scarce_kept: Duration,
    /// Time after a refusal or a reclaim during which no new reclaimable replicas are counted on in
    /// that zone.
    pub distrust: Duration,
    /// If set, the fleet is sized by what callers get, and never below [`Policy::busy_most`].
    pub in_time: Option<InTime>,
}

/// Sizing by the share of requests whose first event arrives within its objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct InTime {
    /// Target share of requests that are in time, from 0 to 1.
    pub target: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            busy_most: 0.5,
            busy_scarce: 0.9,
            on_demand_least: 2,
            last_share: 0.0,
            demand_kept: Duration::from_secs(20),
            scarce_kept: Duration::from_secs(6),
            distrust: Duration::from_secs(3),
            in_time: None,
        }
    }
}

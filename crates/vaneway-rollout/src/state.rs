//! The agreed state of roll-outs: one for each service.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Name of a version of endpoints' software.
pub type VersionName = String;

/// Number of versions of a service that are remembered as barred.
const MAX_BARRED: usize = 32;

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The target is tried with a share of the requests.
    Running,
    /// The target was found good; boxes begin to send to it alone.
    Shifting,
    /// All boxes send to the target alone.
    Completed,
    /// The target was taken back.
    RolledBack,
}

impl Phase {
    /// Name for logs and operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Shifting => "shifting",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }

    /// Whether the roll-out has come to its end.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the service.
    pub service: String,
    /// The version to bring in.
    pub target: VersionName,
    /// The versions that served when it was ordered.
    pub replaced: Vec<VersionName>,
    /// Cluster time of the order, in milliseconds since 1970.
    pub started_ms: u64,
    /// Cluster time by which it should have come to its end, in milliseconds since 1970.
    pub deadline_ms: u64,
}

/// A roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// Number of the order, unique in the deployment.
    pub number: u64,
    /// Number of the last step of any roll-out that changed this one.
    pub revision: u64,
    /// How far it has come.
    pub phase: Phase,
    /// Versions that may get no requests at all.
    pub barred: Vec<VersionName>,
    /// Reason of the last step.
    pub reason: String,
}

impl Rollout {
    /// Whether endpoints of a version carry the load of the service, beyond a trial.
    pub fn carries_load(&self, version: &str) -> bool {
        let is_on_trial = self.phase == Phase::Running && version == self.order.target;
        !is_on_trial && !self.is_barred(version)
    }

    /// Whether a version may get no requests at all.
    pub fn is_barred(&self, version: &str) -> bool {
        self.barred.iter().any(|barred| barred == version)
    }

    fn bar(&mut self, versions: &[VersionName]) {
        self.barred.retain(|barred| !versions.contains(barred));
        self.barred.extend_from_slice(versions);
        let excess = self.barred.len().saturating_sub(MAX_BARRED);
        self.barred.drain(..excess);
    }
}

/// A step of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Begins an order.
    Start(Order),
    /// Has boxes send to the target alone.
    Shift {
        /// The service.
        service: String,
        /// The number of the order.
        number: u64,
        /// The versions that get nothing from now on.
        replaced: Vec<VersionName>,
        /// The reason.
        reason: String,
    },
    /// Completes it.
    Complete {
        /// The service.
        service: String,
        /// The number of the order.
        number: u64,
        /// The reason.
        reason: String,
    },
    /// Takes the target back.
    RollBack {
        /// The service.
        service: String,
        /// The number of the order.
        number: u64,
        /// The reason.
        reason: String,
    },
}

/// Effect of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It changed the roll-out.
    Changed,
    /// It is the same as before, or belongs to an earlier order or phase.
    Unchanged,
    /// A roll-out to another target is under way.
    Conflict,
}

/// The roll-outs of all services; the last one of each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    by_service: BTreeMap<String, Rollout>,
    /// Number of the last step that had an effect.
    last: u64,
}

impl Rollouts {
    /// The last roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The last roll-outs of all services.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// Whether there has never been one.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// What the start of an order would effect.
    pub fn check(&self, service: &str, target: &str) -> Applied {
        match self.get(service) {
            Some(last) if last.order.target == target => Applied::Unchanged,
            Some(last) if !last.phase.is_over() => Applied::Conflict,
            _ => Applied::Changed,
        }
    }

    /// Applies a step.
    pub fn apply(&mut self, step: Step) -> Applied {
        let applied = match step {
            Step::Start(order) => self.start(order),
            Step::Shift { service, number, replaced, reason } => {
                self.advance(&service, number, |rollout| {
                    if rollout.phase != Phase::Running {
                        return false;
                    }
                    rollout.phase = Phase::Shifting;
                    rollout.reason = reason;
                    let target = &rollout.order.target;
                    let replaced: Vec<_> =
                        replaced.into_iter().filter(|version| version != target).collect();
                    rollout.bar(&replaced);
                    rollout.order.replaced = replaced;
                    true
                })
            }
            Step::Complete { service, number, reason } => {
                self.advance(&service, number, |rollout| {
                    if rollout.phase != Phase::Shifting {
                        return false;
                    }
                    rollout.phase = Phase::Completed;
                    rollout.reason = reason;
                    true
                })
            }
            Step::RollBack { service, number, reason } => {
                self.advance(&service, number, |rollout| {
                    if rollout.phase == Phase::Shifting {
                        let replaced = std::mem::take(&mut rollout.order.replaced);
                        rollout.barred.retain(|barred| !replaced.contains(barred));
                        rollout.order.replaced = replaced;
                    }
                    rollout.phase = Phase::RolledBack;
                    rollout.reason = reason;
                    let target = rollout.order.target.clone();
                    rollout.bar(&[target]);
                    true
                })
            }
        };
        if applied == Applied::Changed {
            self.last += 1;
        }
        applied
    }

    fn start(&mut self, order: Order) -> Applied {
        let applied = self.check(&order.service, &order.target);
        if applied != Applied::Changed {
            return applied;
        }
        let before = self.by_service.remove(&order.service);
        let mut barred = before.map(|before| before.barred).unwrap_or_default();
        barred.retain(|version| *version != order.target);
        let number = self.last + 1;
        let rollout = Rollout {
            number,
            revision: number,
            phase: Phase::Running,
            barred,
            reason: "ordered".to_owned(),
            order,
        };
        self.by_service.insert(rollout.order.service.clone(), rollout);
        Applied::Changed
    }

    /// Changes a roll-out that is not over, if `number` is its order's.
    fn advance(
        &mut self,
        service: &str,
        number: u64,
        change: impl FnOnce(&mut Rollout) -> bool,
    ) -> Applied {
        let revision = self.last + 1;
        let rollout = self.by_service.get_mut(service);
        let current =
            rollout.filter(|current| current.number == number && !current.phase.is_over());
        let Some(rollout) = current else { return Applied::Unchanged };
        if !change(rollout) {
            return Applied::Unchanged;
        }
        rollout.revision = revision;
        Applied::Changed
    }
}

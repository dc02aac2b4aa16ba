//! Which versions of a service's software the choice may use while one is brought in.
//!
//! Every choice of an endpoint passes here, also for retries, resumed streams and forwarded calls.
//! Without a rule for the service nothing is excluded.

use std::rc::Rc;
use std::time::Instant;

use vaneway_rollout::Share;
use vaneway_rollout::Turn;

use crate::Endpoint;
use crate::ServiceId;
use crate::pool::Choice;
use crate::pool::Pool;
use crate::pool::Query;

/// Fewest replicas of the version on trial that are tried: a zone's loss must not end the trial.
const MIN_TRIED: usize = 4;

/// Every how many replicas one is tried, so that each has about the load of one in full use.
const REPLICAS_PER_TRIED: usize = 10;

/// What a box may send to the versions of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// Number of the order, to tell two with the same versions apart.
    pub number: u64,
    /// The version on trial, which gets a share of the requests only.
    pub on_trial: Option<String>,
    /// Versions that get nothing.
    pub barred: Vec<String>,
}

impl VersionRule {
    fn is_on_trial(&self, endpoint: &Endpoint) -> bool {
        self.on_trial.as_ref().is_some_and(|version| *version == endpoint.spec.software)
    }
}

/// The versions that one choice may use.
#[derive(Debug, Clone, Copy)]
pub struct VersionFilter<'a> {
    rule: &'a VersionRule,
    /// The highest key of the endpoints that are tried; none if the others are to be used.
    tried_up_to: Option<u64>,
}

impl VersionFilter<'_> {
    pub(crate) fn admits(self, endpoint: &Endpoint) -> bool {
        if self.rule.barred.contains(&endpoint.spec.software) {
            return false;
        }
        match self.tried_up_to {
            Some(highest) => self.rule.is_on_trial(endpoint) && endpoint.key <= highest,
            None => !self.rule.is_on_trial(endpoint),
        }
    }
}

/// The rule of a service, and how much of the share is used.
#[derive(Debug)]
pub(super) struct Gate {
    rule: Rc<VersionRule>,
    share: Share,
    /// Until when the trial may go on without another confirmation.
    confirmed_until: Instant,
}

impl Pool {
    /// Sets the rule for a service. The share already used is kept if the rule is the same as
    /// before.
    pub fn set_version_rule(
        &mut self,
        service: ServiceId,
        rule: VersionRule,
        share: Share,
        confirmed_until: Instant,
    ) {
        if let Some(gate) = self.gates.get_mut(&service).filter(|gate| *gate.rule == rule) {
            gate.confirmed_until = confirmed_until;
        } else {
            let gate = Gate { rule: Rc::new(rule), share, confirmed_until };
            self.gates.insert(service, gate);
        }
    }

    /// Whether this box sends requests to a version on trial, so that answers can be compared.
    pub fn is_trying(&self, now: Instant, service: ServiceId) -> bool {
        let Some(gate) = self.gates.get(&service) else { return false };
        now < gate.confirmed_until && self.tried_up_to(now, service, &gate.rule).is_some()
    }

    /// Chooses an endpoint of the versions that the request may be sent to.
    pub(super) fn choose_by_version(&mut self, now: Instant, query: Query<'_>) -> Choice {
        let service = query.service;
        let Some(gate) = self.gates.get(&service) else { return self.choose_uncounted(now, query) };
        let rule = Rc::clone(&gate.rule);
        let resumes = query.software.is_some() && query.software == rule.on_trial.as_deref();
        // A retry goes to a version that is known, so that a request fails by the trial only once.
        let may_try = resumes || query.software.is_none() && query.avoid.is_empty();
        let is_turn =
            may_try && now < gate.confirmed_until && gate.share.turn(resumes) == Turn::Trial;
        let tried_up_to = if is_turn { self.tried_up_to(now, service, &rule) } else { None };
        // The endpoint that began a stream need not be one of those that are tried now.
        let tried_up_to = tried_up_to.map(|key| if resumes { u64::MAX } else { key });
        let mut choose = |tried_up_to| {
            let versions = Some(VersionFilter { rule: &rule, tried_up_to });
            self.choose_uncounted(now, Query { versions, ..query })
        };
        let tried = tried_up_to.map(|key| choose(Some(key)));
        let tried = tried.filter(|choice| matches!(choice, Choice::Endpoint(_)));
        let choice = tried.unwrap_or_else(|| choose(None));
        if let (Choice::Endpoint(_), Some(gate)) = (choice, self.gates.get_mut(&service)) {
            gate.share.record(resumes, tried.is_some());
        }
        choice
    }

    /// The highest key of the endpoints that are tried, the same at all boxes; none if no endpoint of
    /// the version on trial takes work.
    fn tried_up_to(&self, now: Instant, service: ServiceId, rule: &VersionRule) -> Option<u64> {
        let on_trial = self.endpoints.iter().filter(|endpoint| {
            endpoint.spec.service == service
                && rule.is_on_trial(endpoint)
                && endpoint.takes_work(now)
        });
        let mut keys: Vec<u64> = on_trial.map(|endpoint| endpoint.key).collect();
        keys.sort_unstable();
        let tried = MIN_TRIED.max(keys.len().div_ceil(REPLICAS_PER_TRIED));
        keys.truncate(tried);
        keys.last().copied()
    }
}

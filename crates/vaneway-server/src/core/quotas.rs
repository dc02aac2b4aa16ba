//! The quotas of organisations at one entry box.
//!
//! Data flow: a configuration sets the limits ([`Quotas::configure`]); each request is charged before it goes
//! to an endpoint ([`Quotas::charge`]); what this box took travels to the control boxes ([`Quotas::own_use`]),
//! and what the others took comes from them ([`Quotas::others_took`]). [`vaneway_quota`] decides.
//!
//! Every change of a limit is logged, and at level `debug` each decision with what it went by.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use vaneway_quota::Limit;
use vaneway_quota::Quota;
use vaneway_quota::Sharers;
use vaneway_quota::Slot;
use vaneway_quota::View;

use crate::core::configuration::Configuration;
use crate::core::configuration::OrganisationSpec;
use crate::core::settings::QuotaAllowance;
use crate::core::usage::QuotaUse;
use crate::util::logline::Line;

/// Part of what operators allow beyond quotas that is used for bursts. The rest is for what boxes admit
/// before they have heard of each other.
const BURST_PART: f64 = 0.5;

/// The quotas of organisations at one entry box. All times are the cluster's, since 1970.
#[derive(Debug)]
pub struct Quotas {
    allowance: Option<QuotaAllowance>,
    by_organisation: RefCell<BTreeMap<String, Quota>>,
    /// Whether a configuration has been in force since this box started.
    configured: Cell<bool>,
}

impl Quotas {
    /// Quotas before there is a configuration; operators allow `allowance` beyond each, if anything.
    pub fn new(allowance: Option<QuotaAllowance>) -> Self {
        Self { allowance, by_organisation: RefCell::default(), configured: Cell::default() }
    }

    /// Puts the limits of a configuration in force.
    pub fn configure(&self, now: Duration, configuration: &Configuration) {
        let mut quotas = self.by_organisation.borrow_mut();
        let limited = configuration.organisations.iter().filter_map(|spec| self.limited(spec));
        let limits: BTreeMap<&str, Limit> = limited.collect();
        let starts = !self.configured.replace(true);
        let new = if starts { Quota::of_started_box } else { Quota::new };
        quotas.retain(|name, _| limits.contains_key(name.as_str()));
        for (name, limit) in limits {
            let before = quotas.get(name).map(Quota::limit);
            let quota = quotas.entry(name.to_owned()).or_insert_with(|| new(now, limit));
            quota.set_limit(now, limit);
            if before != Some(limit) {
                log_limit(configuration.version, name, before, limit, quota.level(now));
            }
        }
    }

    /// The limit of an organisation that has one.
    fn limited<'a>(&self, spec: &'a OrganisationSpec) -> Option<(&'a str, Limit)> {
        let rate = spec.rate?;
        let burst = spec.burst + self.burst_allowance(rate, spec.burst);
        Some((spec.name.as_str(), Limit { rate, burst }))
    }

    /// Units that may be taken at once beyond a quota's burst.
    fn burst_allowance(&self, rate: f64, burst: f64) -> f64 {
        let Some(allowed) = self.allowance else { return 0.0 };
        let measured = rate.mul_add(allowed.window.as_secs_f64(), burst);
        measured.mul_add(allowed.overage, allowed.slack) * BURST_PART
    }

    /// Charges an organisation for a request.
    ///
    /// # Errors
    ///
    /// The time after which its quota allows the request.
    pub fn charge(
        &self,
        now: Duration,
        request: &str,
        organisation: &str,
        units: u64,
    ) -> Result<(), Duration> {
        let mut quotas = self.by_organisation.borrow_mut();
        let Some(quota) = quotas.get_mut(organisation) else { return Ok(()) };
        let view = quota.view(now, units as f64);
        let charged = quota.take(now, units as f64);
        Line::debug(|| charge_line(request, organisation, units, &view, charged.is_ok()));
        charged
    }

    /// Gives back what a request was charged that did not run.
    pub fn give_back(&self, now: Duration, organisation: &str, units: u64) {
        if let Some(quota) = self.by_organisation.borrow_mut().get_mut(organisation) {
            quota.give_back(now, units as f64);
        }
    }

    /// Learns what the other entry boxes took of an organisation's quota.
    pub fn others_took(
        &self,
        now: Duration,
        organisation: &str,
        slots: &[(Slot, f64)],
        sharers: Sharers,
    ) {
        if let Some(quota) = self.by_organisation.borrow_mut().get_mut(organisation) {
            quota.tell(now, slots, sharers);
        }
    }

    /// What this box took of each quota in the slots from `first` on.
    pub fn own_use(&self, first: Slot) -> QuotaUse {
        let quotas = self.by_organisation.borrow();
        let used = quotas.iter().map(|(name, quota)| (name.clone(), quota.own(first).collect()));
        used.filter(|(_, slots): &(String, Vec<_>)| !slots.is_empty()).collect()
    }
}

fn log_limit(version: u64, organisation: &str, before: Option<Limit>, limit: Limit, level: f64) {
    Line::new("quota_limit")
        .with("organisation", organisation)
        .with("configuration", version)
        .with("rate", limit.rate)
        .with("burst", limit.burst.round())
        .with("rate_before", before.map_or_else(|| "none".to_owned(), |l| l.rate.to_string()))
        .with("level", level.round())
        .info();
}

fn charge_line(request: &str, organisation: &str, units: u64, view: &View, taken: bool) -> Line {
    let told_ago = view.told_ago.map_or_else(|| "never".to_owned(), |t| t.as_millis().to_string());
    Line::new("quota_charged")
        .with("request", request)
        .with("organisation", organisation)
        .with("units", units)
        .with("level", view.level.round())
        .with("kept_back", view.kept_back.round())
        .with("told_ago_ms", told_ago)
        .with("heard", view.sharers.heard)
        .with("known", view.sharers.known)
        .with("whole", view.whole)
        .with("taken", taken)
}

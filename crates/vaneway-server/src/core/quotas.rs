//! The quotas of organisations at one entry box.
//!
//! Data flow: a configuration sets the limits ([`Quotas::configure`]); each request is charged
//! before it is sent to an endpoint ([`Quotas::charge`]); this box's usage is reported to the
//! control boxes ([`Quotas::own_usage`]), which send the usage of the others
//! ([`Quotas::apply_update`]). The decisions are made in [`vaneway_quota`].
//!
//! Every change of a limit is logged, and at level `debug` each decision with its inputs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use vaneway_ledger::OthersQuotaUsage;
use vaneway_ledger::OwnQuotaUsage;
use vaneway_quota::FleetUsage;
use vaneway_quota::Limit;
use vaneway_quota::Quota;
use vaneway_quota::QuotaView;
use vaneway_quota::Sharers;
use vaneway_quota::Slot;
use vaneway_route::Claim;

use crate::core::configuration::OrganisationSpec;
use crate::core::configuration::QuotaUnit;
use crate::core::configuration::Version;
use crate::core::settings::QuotaAllowance;
use crate::util::hash;
use crate::util::logline::Line;

/// Share of the excess over quotas allowed by the operators that is granted as additional burst.
/// The rest covers what boxes admit before they have received each other's usage: with 0.5, 4 of
/// 800 random schedules of network cuts, restarts and floods let an organisation take up to 1.017
/// of what is allowed; with 0.4, 2 of them let it take up to 1.004.
const BURST_SHARE: f64 = 0.4;

/// The quotas of organisations at one entry box. All times are cluster time since 1970.
#[derive(Debug)]
pub struct Quotas {
    allowance: Option<QuotaAllowance>,
    by_organisation: RefCell<BTreeMap<String, OrganisationQuota>>,
    /// From the latest update that stated it: the time until which the usage of all boxes was
    /// known, and how many boxes shared the quotas.
    last_update: Cell<Option<(Duration, Sharers)>>,
}

/// The quota of one organisation.
#[derive(Debug)]
struct OrganisationQuota {
    quota: Quota,
    /// Whether the configuration in force limits the organisation. The quota of an organisation
    /// that was removed is kept for some seconds, so that its usage still counts if it returns.
    in_force: bool,
    unit: QuotaUnit,
}

impl Quotas {
    /// Quotas before the first configuration; operators allow an excess of `allowance` over each,
    /// if any.
    pub fn new(allowance: Option<QuotaAllowance>) -> Self {
        Self { allowance, by_organisation: RefCell::default(), last_update: Cell::default() }
    }

    /// Applies the limits of a configuration.
    pub fn configure<'a>(
        &self,
        now: Duration,
        version: Version,
        organisations: impl IntoIterator<Item = &'a OrganisationSpec>,
    ) {
        let mut quotas = self.by_organisation.borrow_mut();
        for known in quotas.values_mut() {
            known.in_force = false;
        }
        let limited = organisations.into_iter().filter_map(|o| Some((o.unit, self.limit_of(o)?)));
        for (unit, (name, limit)) in limited {
            let before = quotas.get(name).map(|known| known.quota.limit());
            let known =
                quotas.entry(name.to_owned()).or_insert_with(|| self.new_quota(now, limit, unit));
            known.in_force = true;
            known.unit = unit;
            known.quota.set_limit(now, limit);
            if before != Some(limit) {
                log_limit(version, name, before, limit, known.quota.level(now));
            }
        }
        quotas.retain(|_, known| known.in_force || !known.quota.is_idle(now));
    }

    /// The quota of a new organisation, which has no usage yet.
    fn new_quota(&self, now: Duration, limit: Limit, unit: QuotaUnit) -> OrganisationQuota {
        let mut quota = Quota::new(limit);
        if let Some((as_of, sharers)) = self.last_update.get() {
            quota.update_fleet_usage(now, Some(FleetUsage { as_of, demand: 0.0 }), sharers);
        }
        OrganisationQuota { quota, in_force: true, unit }
    }

    /// The name and limit of an organisation, if it is limited.
    fn limit_of<'a>(&self, spec: &'a OrganisationSpec) -> Option<(&'a str, Limit)> {
        let rate = spec.rate?;
        let burst = spec.burst + self.burst_allowance(rate, spec.burst);
        Some((spec.name.as_str(), Limit { rate, burst }))
    }

    /// Units that may be taken at once in addition to a quota's burst.
    fn burst_allowance(&self, rate: f64, burst: f64) -> f64 {
        let Some(allowed) = self.allowance else { return 0.0 };
        let measured = rate.mul_add(allowed.window.as_secs_f64(), burst);
        measured.mul_add(allowed.overage, allowed.slack) * BURST_SHARE
    }

    /// Charges an organisation for a request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the quota allows the request.
    pub fn charge(
        &self,
        now: Duration,
        request: &str,
        organisation: &str,
        units: u64,
    ) -> Result<(), Duration> {
        let mut quotas = self.by_organisation.borrow_mut();
        let limited = quotas.get_mut(organisation).filter(|known| known.in_force);
        let Some(OrganisationQuota { quota, .. }) = limited else { return Ok(()) };
        let view = Line::debug_enabled().then(|| quota.view(now));
        // The draw must not depend on the request id alone: the hash of the id also determines the
        // time after which the caller is to retry.
        let charged = quota.take(now, units, hash::fraction((request, organisation)));
        if let Some(view) = view {
            charge_line(request, organisation, units, &view, charged.is_ok()).debug();
        }
        charged
    }

    /// Returns the units that were charged for a request that did not run.
    pub fn refund(&self, now: Duration, organisation: &str, units: u64) {
        if let Some(known) = self.by_organisation.borrow_mut().get_mut(organisation) {
            known.quota.refund(now, units);
        }
    }

    /// Applies the usage of the other entry boxes until `as_of`, and how many boxes share the
    /// quotas. An organisation that `usage` does not contain had neither usage nor demand recently.
    pub fn apply_update(
        &self,
        now: Duration,
        as_of: Option<Duration>,
        sharers: Sharers,
        usage: &[(String, OthersQuotaUsage)],
    ) {
        if let Some(as_of) = as_of {
            let before = self.last_update.replace(Some((as_of, sharers)));
            if before.is_none() {
                let Sharers { reporting, known } = sharers;
                Line::new("quotas_heard").with("heard", reporting).with("known", known).info();
            }
        }
        let mut quotas = self.by_organisation.borrow_mut();
        let mut demands = BTreeMap::new();
        for (organisation, others) in usage {
            demands.insert(organisation.as_str(), others.demand);
            if let Some(known) = quotas.get_mut(organisation) {
                known.quota.record_others_usage(now, &others.slots);
            }
        }
        for (organisation, known) in quotas.iter_mut() {
            let demand = demands.get(organisation.as_str()).copied().unwrap_or_default() as f64;
            known.quota.update_fleet_usage(
                now,
                as_of.map(|as_of| FleetUsage { as_of, demand }),
                sharers,
            );
        }
    }

    /// What the limited organisations claim of a service whose requests have a mean size of
    /// `tokens_per_request`, and the age of these demands; none while no recent ones are known. The
    /// weight of an organisation is the rate of its quota; with a rate of 0 it has no claim.
    pub fn claims(
        &self,
        now: Duration,
        tokens_per_request: f64,
    ) -> Option<(BTreeMap<String, Claim>, Duration)> {
        let quotas = self.by_organisation.borrow();
        let in_force = || quotas.iter().filter(|(_, known)| known.in_force);
        let ages = in_force().filter_map(|(_, known)| known.quota.fleet_demand(now));
        let age = ages.map(|(_, age)| age).max()?;
        let claim = |(name, known): (&String, &OrganisationQuota)| {
            let (demand, _) = known.quota.fleet_demand(now)?;
            let tokens_per_unit = match known.unit {
                QuotaUnit::Requests => tokens_per_request,
                QuotaUnit::Tokens { .. } => 1.0,
            };
            let weight = known.quota.limit().rate * tokens_per_unit;
            let claim = Claim { demand: demand * tokens_per_unit, weight };
            (weight > 0.0).then(|| (name.clone(), claim))
        };
        Some((in_force().filter_map(claim).collect(), age))
    }

    /// Number of entry boxes that may be running, by the latest update; 0 before the first one.
    pub fn known_entry_boxes(&self) -> u32 {
        self.last_update.get().map_or(0, |(_, sharers)| sharers.known)
    }

    /// Whether the others' usage has been received since this box started, or there are no quotas.
    pub fn are_synced(&self) -> bool {
        self.last_update.get().is_some() || self.by_organisation.borrow().is_empty()
    }

    /// This box's usage of each quota in the slots from `first` on, and the units requested. Covers
    /// the organisations with recent demand; if `all`, those with any demand since this box
    /// started, for a control box that has no report of this box yet.
    pub fn own_usage(&self, now: Duration, first: Slot, all: bool) -> Vec<(String, OwnQuotaUsage)> {
        let quotas = self.by_organisation.borrow();
        let active = quotas.iter().filter(|(_, known)| {
            known.quota.has_unreported_demand(now) || all && known.quota.requested_units() > 0
        });
        let usage_of = |(name, known): (&String, &OrganisationQuota)| {
            let slots = known.quota.own_usage_since(first).collect();
            (name.clone(), OwnQuotaUsage { asked: known.quota.requested_units(), slots })
        };
        active.map(usage_of).collect()
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

fn charge_line(
    request: &str,
    organisation: &str,
    units: u64,
    view: &QuotaView,
    admitted: bool,
) -> Line {
    let age = view.usage_age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string());
    Line::new("quota_charged")
        .with("request", request)
        .with("organisation", organisation)
        .with("units", units)
        .with("level", view.level.round())
        .with("open_above", view.full_admission_level.round())
        .with("age_ms", age)
        .with("heard", view.sharers.reporting)
        .with("known", view.sharers.known)
        .with("whole", view.is_fleet_wide)
        .with("taken", admitted)
}

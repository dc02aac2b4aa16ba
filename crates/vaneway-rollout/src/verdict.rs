//! Whether a version on trial is bad, by a test that may be repeated at any time.
//!
//! Why: the sum of evidence is looked at again and again. A likelihood ratio whose mean is at most 1
//! for a good version exceeds `1 / e` at any of these looks with a probability of at most `e`.
//!
//! In each stratum (route and availability zone) the old version's answers give the odds that an
//! answer fails, or is slower than most. For a version on trial that is no worse these hold as well.
//! The alternatives are several sizes of the fault; the ratio is their mean.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::Cell;
use crate::Evidence;

/// Probability that a good version is found bad, over all looks, aspects and routes.
const ERROR_RATE: f64 = 0.01;

/// Likelihood ratio that must remain without the replica whose answers are the worst: one that
/// crashes isn't the version's fault.
const MIN_REMAINING_RATIO: f64 = 10.0;

/// Weight of the rate of all zones in that of one, in answers.
const PRIOR_ANSWERS: f64 = 20.0;

/// Share of the old version's times over the bound that the times on trial are compared with.
const SLOW_SHARE: f64 = 0.25;

/// Number of bounds by which times on trial may exceed those of the old version: caches of new
/// replicas are cold.
const TOLERATED_BOUNDS: u8 = 1;

/// Fewest times of the old version in a stratum for a comparison.
const MIN_COMPARED: u32 = 20;

/// Rate of failures that isn't held against a version.
const TOLERATED_FAILURES: f64 = 0.004;

/// Rates of failures in excess of the old version's that are looked for.
const EXCESS_FAILURES: [f64; 5] = [0.02, 0.05, 0.12, 0.3, 0.6];

/// How many times as high the odds of a slow answer are that are looked for.
const SLOW_ODDS: [f64; 4] = [1.8, 3.0, 6.0, 16.0];

/// Highest probability in a ratio.
const MAX_PROBABILITY: f64 = 0.98;

/// In what respect a version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Aspect {
    /// Its answers fail.
    Failures,
    /// Its first events are late.
    FirstEvent,
    /// Its events are far apart.
    Pauses,
}

impl Aspect {
    const ALL: [Self; 3] = [Self::Failures, Self::FirstEvent, Self::Pauses];

    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::FirstEvent => "first_event",
            Self::Pauses => "pauses",
        }
    }
}

/// Why a version is bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// In what respect.
    pub aspect: Aspect,
    /// On which route; none for all together.
    pub route: Option<String>,
    /// Answers of the version that this is based on.
    pub answers: u32,
    /// Those that failed or were slow.
    pub bad: u32,
    /// Decimal logarithm of the likelihood ratio.
    pub strength: f64,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { aspect, route, answers, bad, strength } = self;
        let route = route.as_deref().unwrap_or("all");
        let aspect = aspect.name();
        write!(f, "{aspect}: {bad} of {answers} answers bad, route {route}, strength {strength:.1}")
    }
}

/// Answers on trial of one replica in one stratum, and what is expected of them.
#[derive(Debug, Clone, Copy)]
struct Sample<'a> {
    route: &'a str,
    replica: &'a str,
    answers: u32,
    bad: u32,
    expected: f64,
}

/// Decides whether the version on trial is bad; the strongest evidence if so.
pub fn judge(evidence: &Evidence) -> Option<Finding> {
    let routes: BTreeSet<&str> = evidence.cells.keys().map(|key| key.route.as_str()).collect();
    let tests = Aspect::ALL.len() * (routes.len() + 1);
    let threshold = (tests as f64 / ERROR_RATE).log10();
    let mut findings = Vec::new();
    for aspect in Aspect::ALL {
        let samples = samples(evidence, aspect);
        findings.push(test(aspect, None, &samples));
        for route in &routes {
            let of_route: Vec<_> =
                samples.iter().filter(|sample| sample.route == *route).copied().collect();
            findings.push(test(aspect, Some(route), &of_route));
        }
    }
    let bad = findings.into_iter().filter(|finding| finding.strength >= threshold);
    bad.max_by(|one, other| one.strength.total_cmp(&other.strength))
}

/// The answers on trial, each with the probability that it is bad though the version is good.
fn samples(evidence: &Evidence, aspect: Aspect) -> Vec<Sample<'_>> {
    let olds = evidence.cells.iter().filter(|(key, _)| key.replica.is_none());
    let olds: BTreeMap<(&str, &str), &Cell> =
        olds.map(|(key, cell)| ((key.route.as_str(), key.zone.as_str()), cell)).collect();
    let rate_of = |route: &str| {
        let cells = olds.iter().filter(|((of, _), _)| *of == route);
        let (ended, failed) = cells.fold((0, 0), |(ended, failed), (_, cell)| {
            (ended + cell.ended(), failed + cell.failed)
        });
        (f64::from(failed) + 0.5) / (f64::from(ended) + 1.0)
    };
    let mut samples = Vec::new();
    for (key, cell) in &evidence.cells {
        let Some(replica) = &key.replica else { continue };
        let Some(old) = olds.get(&(key.route.as_str(), key.zone.as_str())) else { continue };
        let Some((answers, bad, expected)) = compare(old, cell, aspect, rate_of(&key.route)) else {
            continue;
        };
        samples.push(Sample { route: &key.route, replica, answers, bad, expected });
    }
    samples
}

/// Answers on trial, the bad ones among them, and the probability of these by the old version, whose
/// answers fail at `rate` in all zones.
fn compare(old: &Cell, on_trial: &Cell, aspect: Aspect, rate: f64) -> Option<(u32, u32, f64)> {
    if aspect == Aspect::Failures {
        if old.ended() < MIN_COMPARED {
            return None;
        }
        let failed = f64::from(old.failed) + PRIOR_ANSWERS * rate;
        let expected = failed / (f64::from(old.ended()) + PRIOR_ANSWERS);
        return Some((on_trial.ended(), on_trial.failed, expected.max(TOLERATED_FAILURES)));
    }
    let (old, on_trial) = match aspect {
        Aspect::Pauses => (&old.pause, &on_trial.pause),
        Aspect::Failures | Aspect::FirstEvent => (&old.first, &on_trial.first),
    };
    if old.len() < MIN_COMPARED {
        return None;
    }
    let bound = old.bound_for(SLOW_SHARE);
    let expected = (f64::from(old.over(bound)) + 1.0) / (f64::from(old.len()) + 2.0);
    Some((on_trial.len(), on_trial.over(bound + TOLERATED_BOUNDS), expected))
}

/// Tests samples. The evidence must hold without the replica that has the most excess of bad
/// answers, if there are more than two.
fn test(aspect: Aspect, route: Option<&str>, samples: &[Sample<'_>]) -> Finding {
    let mut excess = BTreeMap::<&str, f64>::new();
    for sample in samples {
        *excess.entry(sample.replica).or_default() +=
            f64::from(sample.bad) - f64::from(sample.answers) * sample.expected;
    }
    let worst = excess.iter().max_by(|one, other| one.1.total_cmp(other.1));
    let left_out = worst.filter(|_| excess.len() > 2).map(|(replica, _)| *replica);
    let holds_without = left_out.is_none_or(|left_out| {
        let others = samples.iter().filter(|sample| sample.replica != left_out);
        strength(aspect, &others.copied()) >= MIN_REMAINING_RATIO.log10()
    });
    Finding {
        aspect,
        route: route.map(str::to_owned),
        answers: samples.iter().map(|sample| sample.answers).sum(),
        bad: samples.iter().map(|sample| sample.bad).sum(),
        strength: if holds_without { strength(aspect, &samples.iter().copied()) } else { 0.0 },
    }
}

/// Decimal logarithm of the likelihood ratio of samples.
fn strength<'a>(aspect: Aspect, samples: &(impl Iterator<Item = Sample<'a>> + Clone)) -> f64 {
    let sizes = match aspect {
        Aspect::Failures => &EXCESS_FAILURES[..],
        Aspect::FirstEvent | Aspect::Pauses => &SLOW_ODDS[..],
    };
    let log = |size: &f64| samples.clone().map(|sample| log_ratio(&sample, aspect, *size)).sum();
    let logs: Vec<f64> = sizes.iter().map(log).collect();
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - most).exp()).sum();
    (most + (sum / logs.len() as f64).ln()) / std::f64::consts::LN_10
}

/// Natural logarithm of the likelihood of a sample under a fault of this size, over that without.
fn log_ratio(sample: &Sample<'_>, aspect: Aspect, size: f64) -> f64 {
    let expected = sample.expected.min(MAX_PROBABILITY);
    let under_fault = match aspect {
        Aspect::Failures => expected + (1.0 - expected) * size,
        Aspect::FirstEvent | Aspect::Pauses => {
            let odds = size * expected / (1.0 - expected);
            odds / (1.0 + odds)
        }
    };
    let under_fault = under_fault.min(MAX_PROBABILITY).max(expected);
    let (bad, good) = (f64::from(sample.bad), f64::from(sample.answers - sample.bad));
    bad * (under_fault / expected).ln() + good * ((1.0 - under_fault) / (1.0 - expected)).ln()
}

//! Who competes for the engines of a service: the demand by rank and organisation at this box.
//!
//! Data flow: each arriving request is counted ([`Competitors::count`]). In a shortage,
//! [`Competitors::limit`] bounds the queue in front of a request by the objectives of all kinds in use,
//! and computes its [`Standing`] from the fractions of demand by rank.
//!
//! A box receives only a few requests of each organisation, but as many of all together as are
//! needed to know the ranks. The ranks of an organisation are therefore estimated from its own
//! requests and, as far as these are few, from those of all.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

use crate::DecayingSum;
use crate::FairShares;
use crate::QueueLimit;
use crate::Standing;
use crate::standing::RankDemand;

/// Rank of a request among those of its service; 0 is the most urgent.
pub type Rank = u32;

/// An arriving request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// Its rank.
    pub rank: Rank,
    /// Its organisation; empty if it has none.
    pub organisation: &'a str,
    /// Prompt tokens that it doesn't share with others.
    pub tokens: f64,
    /// Time within which its first event should arrive.
    pub objective: Duration,
}

/// Fraction of the demand from which a kind of request counts as in use: a kind that is sent less
/// often must not shorten the queues of all others.
const MIN_IN_USE: f64 = 0.01;

/// Shortest bound on the queues by the objectives of other kinds: twice the age of what boxes know
/// of each other's load. With shorter queues, engines would be idle before boxes know of it.
const MIN_QUEUE: Duration = Duration::from_millis(400);

/// Number of requests of mean size by which an organisation's ranks are estimated from those of all
/// organisations.
const SHARED_ESTIMATE_REQUESTS: f64 = 2.0;

/// Resolution of objectives: those of one route differ by the time in which a request was read.
const OBJECTIVE_STEP_MS: u128 = 100;

/// Demand below which an entry is dropped, in tokens and requests.
const NEGLIGIBLE: f64 = 0.01;

/// Maximum number of organisations that are counted individually.
const MAX_ORGANISATIONS: usize = 4_096;

/// Maximum number of kinds, which are pairs of rank and objective.
const MAX_KINDS: usize = 256;

/// Interval at which entries without demand are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

type Ranks = BTreeMap<Rank, DecayingSum>;

type RankRange = (Bound<Rank>, Bound<Rank>);

/// The demand for a service at this box.
#[derive(Debug, Default)]
pub struct Competitors {
    tokens: DecayingSum,
    requests: DecayingSum,
    ranks: Ranks,
    /// Tokens by rank and by objective in units of [`OBJECTIVE_STEP_MS`].
    kinds: BTreeMap<(Rank, u128), DecayingSum>,
    organisations: BTreeMap<String, Ranks>,
    cleaned_at: Option<Instant>,
}

impl Competitors {
    /// Counts an arriving request.
    pub fn count(&mut self, now: Instant, arrival: Arrival<'_>) {
        let Arrival { rank, organisation, tokens, objective } = arrival;
        self.clean_up(now);
        self.tokens.add(now, tokens);
        self.requests.add(now, 1.0);
        self.ranks.entry(rank).or_default().add(now, tokens);
        let kind = (rank, objective.as_millis().div_ceil(OBJECTIVE_STEP_MS));
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&kind) {
            self.kinds.entry(kind).or_default().add(now, tokens);
        }
        if let Some(ranks) = self.organisations.get_mut(organisation) {
            ranks.entry(rank).or_default().add(now, tokens);
        } else if self.organisations.len() < MAX_ORGANISATIONS {
            let ranks = self.organisations.entry(organisation.to_owned()).or_default();
            ranks.entry(rank).or_default().add(now, tokens);
        }
    }

    /// Adds the standing of a request of an organisation to its limit, if it competes with others of
    /// another rank or organisation. `queue_share` is the share of an objective that a request may
    /// wait in a queue.
    pub fn limit(
        &self,
        now: Instant,
        (rank, organisation): (Rank, &str),
        shares: Option<&FairShares>,
        queue_share: f64,
        limit: QueueLimit,
    ) -> QueueLimit {
        let shares = shares.filter(|shares| shares.is_contended());
        let has_ranks = self.has_ranks(now);
        if !has_ranks && shares.is_none() {
            return limit;
        }
        let ranks = if has_ranks {
            self.ranks(now, rank, shares.map(|_| organisation))
        } else {
            RankDemand::EQUAL
        };
        let max_wait = self.max_wait(now, limit.max_wait, queue_share);
        let standing = Some(Standing::new(ranks, organisation, shares));
        QueueLimit { max_wait, standing, ..limit }
    }

    /// Mean tokens of a request.
    pub fn tokens_per_request(&self, now: Instant) -> f64 {
        self.tokens.value(now) / self.requests.value(now).max(f64::MIN_POSITIVE)
    }

    /// Whether requests of several ranks are in use.
    fn has_ranks(&self, now: Instant) -> bool {
        let least = self.tokens.value(now) * MIN_IN_USE;
        self.ranks.values().filter(|sum| sum.value(now) >= least).nth(1).is_some()
    }

    /// The longest queue in front of a request: `own` by its own objective, and no more than `share`
    /// of the objective of any kind in use. If the queues were longer, that kind would be refused
    /// altogether, whatever its rank and its organisation's share.
    fn max_wait(&self, now: Instant, own: Duration, share: f64) -> Duration {
        let least = self.tokens.value(now) * MIN_IN_USE;
        let in_use = self.kinds.iter().filter(|(_, sum)| sum.value(now) >= least);
        let objective = |steps: u128| Duration::from_millis((steps * OBJECTIVE_STEP_MS) as u64);
        let shortest = in_use.map(|((_, steps), _)| objective(*steps)).min();
        shortest.map_or(own, |shortest| own.min(shortest.mul_f64(share).max(MIN_QUEUE)))
    }

    /// The fractions of demand that a request competes with: those of its organisation, or of all if
    /// none is given.
    fn ranks(&self, now: Instant, rank: Rank, organisation: Option<&str>) -> RankDemand {
        let total = self.tokens.value(now);
        if total <= 0.0 {
            return RankDemand::EQUAL;
        }
        let sum = |ranks: &Ranks, range: RankRange| -> f64 {
            ranks.range(range).map(|(_, sum)| sum.value(now)).sum()
        };
        let own = organisation.and_then(|name| self.organisations.get(name));
        let shared_tokens = SHARED_ESTIMATE_REQUESTS * self.tokens_per_request(now);
        let fraction = |range: RankRange| {
            let of_all = sum(&self.ranks, range) / total;
            let Some(own) = own else { return of_all };
            let all_own = sum(own, (Bound::Unbounded, Bound::Unbounded));
            (sum(own, range) + of_all * shared_tokens) / (all_own + shared_tokens)
        };
        RankDemand {
            more_urgent: fraction((Bound::Unbounded, Bound::Excluded(rank))),
            same: fraction((Bound::Included(rank), Bound::Included(rank))),
        }
    }

    /// Drops entries without recent demand.
    fn clean_up(&mut self, now: Instant) {
        if self.cleaned_at.is_some_and(|at| now < at + CLEANUP_INTERVAL) {
            return;
        }
        self.cleaned_at = Some(now);
        let is_in_use = |sum: &DecayingSum| sum.value(now) >= NEGLIGIBLE;
        self.ranks.retain(|_, sum| is_in_use(sum));
        self.kinds.retain(|_, sum| is_in_use(sum));
        for ranks in self.organisations.values_mut() {
            ranks.retain(|_, sum| is_in_use(sum));
        }
        self.organisations.retain(|_, ranks| !ranks.is_empty());
    }
}

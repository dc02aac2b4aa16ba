//! A simulated fleet of entry boxes with one organisation, which a control box informs of each
//! other's usage, under load that arrives at any box.
//!
//! Quotas and the usage ledger are the product's; time, messages and requests are generated from a
//! seed.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_ledger::ClusterNow;
use vaneway_ledger::EntryIncarnation;
use vaneway_ledger::OthersQuotaUsage;
use vaneway_ledger::UsageLedger;
use vaneway_ledger::UsageReport;
use vaneway_quota::Sharers;
use vaneway_quota::Slot;
use vaneway_server::core::cluster::wire::SLOTS_PER_REPORT;
use vaneway_server::core::configuration::CallerLimits;
use vaneway_server::core::configuration::Configuration;
use vaneway_server::core::configuration::OrganisationSpec;
use vaneway_server::core::configuration::QuotaUnit;
use vaneway_server::core::quotas::Quotas;
use vaneway_server::core::settings::QuotaAllowance;

/// Allowance of operators beyond a quota.
pub(crate) const ALLOWANCE: QuotaAllowance =
    QuotaAllowance { window: Duration::from_secs(8), overage: 0.1, slack: 72_000.0 };

/// An arbitrary time on a slot boundary.
pub(crate) const START: Duration = Duration::from_secs(1_000);

/// Resolution of the simulated time.
const STEP: Duration = Duration::from_millis(5);

/// Steps between two messages of a box to the control box, and between two in the other direction.
const MESSAGE_INTERVAL_STEPS: u64 = 20;

/// Sizes of requests, in tokens, equally likely: many short ones, some long, few very long.
const SIZES: [u64; 10] = [200, 200, 200, 900, 900, 1_400, 2_400, 2_400, 9_200, 18_000];

pub(crate) const ORGANISATION: &str = "acme";

/// A limit: a rate in tokens a second and a burst in tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limit {
    pub(crate) rate: f64,
    pub(crate) burst: f64,
}

impl Limit {
    /// Tokens that may be admitted in a window, including the operators' allowance.
    pub(crate) fn allowed(self) -> f64 {
        let measured = self.rate.mul_add(ALLOWANCE.window.as_secs_f64(), self.burst);
        measured.mul_add(1.0 + ALLOWANCE.overage, ALLOWANCE.slack)
    }
}

/// Entry boxes, and one control box that sends each of them the usage of the others.
pub(crate) struct SimulatedFleet {
    pub(crate) boxes: Vec<Quotas>,
    incarnations: Vec<EntryIncarnation>,
    pub(crate) ledger: UsageLedger,
    pub(crate) version: u64,
    pub(crate) now: Duration,
    step: u64,
    pub(crate) random: Pcg64Mcg,
    /// Sizes of requests, in tokens, equally likely.
    pub(crate) sizes: &'static [u64],
    /// Number of refused requests.
    pub(crate) refused: u64,
    /// Time and tokens of each admitted request.
    pub(crate) admitted: Vec<(Duration, u64)>,
    /// Network delay of a message, in either direction.
    pub(crate) network_delay: Duration,
    /// Messages in transit, in the order of their arrival.
    in_transit: VecDeque<(Duration, Message)>,
    /// First slot that the control box sends in this round.
    first_sent_slot: Slot,
    /// Boxes that exchange no messages with the control box.
    pub(crate) cut_off: BTreeSet<usize>,
    /// Number of entry boxes that the control box assumes may be running.
    pub(crate) known_boxes: u32,
    /// Boxes that have received no configuration since they started.
    unconfigured: BTreeSet<usize>,
    /// The newest configuration.
    configuration: Configuration,
    /// Configurations that boxes apply one after the other, each with its time and box.
    changes: VecDeque<(Duration, usize, Configuration)>,
}

/// A message between an entry box and the control box.
enum Message {
    Report(EntryIncarnation, UsageReport),
    Update(usize, Option<Duration>, Sharers, Vec<(String, OthersQuotaUsage)>),
}

impl SimulatedFleet {
    pub(crate) fn new(count: usize, seed: u64, limit: Limit) -> Self {
        println!("fleet of {count} entry boxes, seed {seed}");
        let mut fleet = Self {
            boxes: (0..count).map(|_| Quotas::new(Some(ALLOWANCE))).collect(),
            incarnations: (0..count).map(|i| (format!("entry-{i}"), 1)).collect(),
            ledger: UsageLedger::default(),
            version: 0,
            now: START,
            step: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            sizes: &SIZES,
            refused: 0,
            admitted: Vec::new(),
            network_delay: Duration::from_millis(2),
            in_transit: VecDeque::new(),
            first_sent_slot: 0,
            cut_off: BTreeSet::new(),
            known_boxes: count as u32,
            unconfigured: BTreeSet::new(),
            configuration: configuration(0, limit),
            changes: VecDeque::new(),
        };
        fleet.configure(limit);
        // Until all boxes have received each other's usage.
        fleet.offer(0.0, Duration::from_millis(500));
        fleet
    }

    /// Applies a limit at all boxes at once.
    pub(crate) fn configure(&mut self, limit: Limit) {
        self.version += 1;
        self.configuration = configuration(self.version, limit);
        for quotas in &self.boxes {
            quotas.configure(
                self.now,
                self.configuration.version,
                &self.configuration.organisations,
            );
        }
    }

    /// Applies a limit at one box after the other, evenly spread over `within`.
    pub(crate) fn configure_gradually(&mut self, limit: Limit, within: Duration) {
        self.version += 1;
        let configuration = configuration(self.version, limit);
        let count = self.boxes.len();
        for i in 0..count {
            let at = self.now + within * i as u32 / count as u32;
            self.changes.push_back((at, i, configuration.clone()));
        }
    }

    /// Removes the organisation from the configuration and adds it again.
    pub(crate) fn remove_and_restore_organisation(&mut self, limit: Limit) {
        self.version += 1;
        let mut without = configuration(self.version, limit);
        without.organisations.clear();
        for quotas in &self.boxes {
            quotas.configure(self.now, without.version, &without.organisations);
        }
        self.configure(limit);
    }

    /// Restarts the first `count` boxes at once; they serve as soon as they have a configuration.
    pub(crate) fn restart(&mut self, count: usize) {
        for i in 0..count {
            self.boxes[i] = Quotas::new(Some(ALLOWANCE));
            self.incarnations[i].1 += 1;
            if self.cut_off.contains(&i) {
                self.unconfigured.insert(i);
            } else {
                self.boxes[i].configure(
                    self.now,
                    self.configuration.version,
                    &self.configuration.organisations,
                );
                self.send_report_from(i, 0);
                self.send_update_from(i, 0);
            }
        }
    }

    /// Offers `rate` tokens a second for `time`, each request at a random box, while boxes and
    /// control box exchange usage.
    pub(crate) fn offer(&mut self, rate: f64, time: Duration) {
        let mean = self.sizes.iter().sum::<u64>() as f64 / self.sizes.len() as f64;
        let arrivals = rate / mean * STEP.as_secs_f64();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step += 1;
            self.apply_changes();
            self.exchange_periodically();
            self.deliver();
            let certain = arrivals.floor();
            let extra = self.random.random_bool(arrivals - certain);
            for _ in 0..certain as u64 + u64::from(extra) {
                self.request();
            }
        }
    }

    fn request(&mut self) {
        let size = self.sizes[self.random.random_range(0..self.sizes.len())];
        let at = self.random.random_range(0..self.boxes.len());
        if self.unconfigured.contains(&at) {
            return;
        }
        let id = format!("{:016x}", self.random.random::<u64>());
        if self.boxes[at].charge(self.now, &id, ORGANISATION, size).is_ok() {
            self.admitted.push((self.now, size));
        } else {
            self.refused += 1;
        }
    }

    /// Each box reports and receives an update once per round, at times that differ between boxes.
    fn exchange_periodically(&mut self) {
        if self.step.is_multiple_of(MESSAGE_INTERVAL_STEPS) {
            self.first_sent_slot = self.ledger.quotas().first_slot_to_send(SLOTS_PER_REPORT);
        }
        for i in 0..self.boxes.len() {
            if (i as u64 + self.step).is_multiple_of(MESSAGE_INTERVAL_STEPS) {
                self.send_report(i);
            }
            if (i as u64 * 7 + self.step).is_multiple_of(MESSAGE_INTERVAL_STEPS) {
                self.send_update(i);
            }
        }
    }

    /// Reconnects all boxes to the control box; both sides send their full state.
    pub(crate) fn reconnect_all(&mut self) {
        for i in std::mem::take(&mut self.cut_off) {
            self.exchange_full_state(i);
        }
    }

    /// Reconnects a box that was cut off to the control box.
    pub(crate) fn reconnect(&mut self, i: usize) {
        self.cut_off.remove(&i);
        self.exchange_full_state(i);
    }

    /// Box and control box exchange their full state.
    fn exchange_full_state(&mut self, i: usize) {
        if self.unconfigured.remove(&i) {
            self.boxes[i].configure(
                self.now,
                self.configuration.version,
                &self.configuration.organisations,
            );
        }
        self.send_report_from(i, 0);
        self.send_update_from(i, 0);
    }

    /// Replaces the control box by one with no state, to which no entry box is connected yet.
    pub(crate) fn replace_control_box(&mut self) {
        self.ledger = UsageLedger::default();
        self.in_transit.clear();
        self.cut_off = (0..self.boxes.len()).collect();
    }

    fn send_report(&mut self, i: usize) {
        self.send_report_from(i, vaneway_quota::slot(self.now) - SLOTS_PER_REPORT);
    }

    pub(crate) fn send_report_from(&mut self, i: usize, first: Slot) {
        let quotas = self.boxes[i].own_usage(self.now, first, first == 0);
        let report = UsageReport { at: Some(self.now), quotas, ..UsageReport::default() };
        self.send(i, Message::Report(self.incarnations[i].clone(), report));
    }

    fn send_update(&mut self, i: usize) {
        self.send_update_from(i, self.first_sent_slot);
    }

    fn send_update_from(&mut self, i: usize, first: Slot) {
        let reports: Vec<_> =
            self.incarnations.iter().map(|s| self.ledger.last_report_at(self.now, s)).collect();
        let as_of = reports[i].and_then(|_| reports.iter().flatten().min().copied());
        let sharers =
            Sharers { reporting: reports.iter().flatten().count() as u32, known: self.known_boxes };
        let quotas = self.ledger.quotas().others(self.now, first, &self.incarnations[i]);
        self.send(i, Message::Update(i, as_of, sharers, quotas));
    }

    fn send(&mut self, i: usize, message: Message) {
        if !self.cut_off.contains(&i) {
            self.in_transit.push_back((self.now + self.network_delay, message));
        }
    }

    fn deliver(&mut self) {
        while let Some((_, message)) = self.in_transit.pop_front_if(|(at, _)| *at <= self.now) {
            match message {
                Message::Report(incarnation, report) => {
                    let slot = vaneway_quota::slot(self.now);
                    let now = ClusterNow { time: self.now, window: 0, slot };
                    self.ledger.merge(now, &incarnation, &report);
                }
                Message::Update(i, as_of, sharers, quotas) => {
                    self.boxes[i].apply_update(self.now, as_of, sharers, &quotas);
                }
            }
        }
    }

    fn apply_changes(&mut self) {
        while let Some((_, i, configuration)) =
            self.changes.pop_front_if(|(at, ..)| *at <= self.now)
        {
            self.boxes[i].configure(self.now, configuration.version, &configuration.organisations);
        }
    }

    /// The most tokens admitted in any window that begins at `from` or later.
    pub(crate) fn max_admitted_since(&self, from: Duration) -> f64 {
        let window = ALLOWANCE.window;
        let since = self.admitted.partition_point(|(at, _)| *at < from);
        let admitted = &self.admitted[since..];
        let (mut most, mut sum, mut end) = (0, 0, 0);
        for (begin, units) in admitted {
            while let Some((at, units)) = admitted.get(end).filter(|(at, _)| *at < *begin + window)
            {
                debug_assert!(at >= begin, "requests are recorded in the order of time");
                sum += units;
                end += 1;
            }
            most = most.max(sum);
            sum -= units;
        }
        most as f64
    }
}

pub(crate) fn configuration(version: u64, limit: Limit) -> Configuration {
    let organisation = OrganisationSpec {
        name: ORGANISATION.to_owned(),
        keys: [format!("key-of-{ORGANISATION}")].into(),
        priority: None,
        unit: QuotaUnit::Tokens { plain: 200 },
        rate: Some(limit.rate),
        burst: limit.burst,
    };
    Configuration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        organisations: vec![organisation],
    }
}

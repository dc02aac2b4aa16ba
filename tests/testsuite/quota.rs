//! Quotas that several entry boxes share, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_quota::Demand;
use vaneway_quota::FleetUsage;
use vaneway_quota::Limit;
use vaneway_quota::Quota;
use vaneway_quota::Sharers;
use vaneway_quota::Slot;

const LIMIT: Limit = Limit { rate: 1_000.0, burst: 2_000.0 };

const ALONE: Sharers = Sharers { reporting: 1, known: 1 };

/// Seed of the random numbers drawn for requests.
const SEED: u64 = 25;

/// An arbitrary time on a slot boundary.
const START: Duration = Duration::from_secs(1_000);

/// Entry boxes that exchange their usage.
struct Boxes {
    quotas: Vec<Quota>,
    now: Duration,
    /// Time and units of each admitted request.
    admitted: Vec<(Duration, f64)>,
    /// Usage of boxes before their restarts.
    before_restart: Vec<Vec<(Slot, u64)>>,
    /// Demand on all boxes together.
    demand: Demand,
    random: Pcg64Mcg,
}

/// Usage of the fleet that is current at `now`.
fn usage_as_of(now: Duration, demand: f64) -> FleetUsage {
    FleetUsage { as_of: now, demand }
}

impl Boxes {
    fn new(count: usize) -> Self {
        let quotas = (0..count).map(|_| Quota::new(LIMIT)).collect();
        let mut boxes = Self {
            quotas,
            now: START,
            admitted: Vec::new(),
            before_restart: Vec::new(),
            demand: Demand::default(),
            random: Pcg64Mcg::seed_from_u64(SEED),
        };
        boxes.exchange_usage();
        boxes
    }

    fn exchange_usage(&mut self) {
        let count = self.quotas.len() as u32;
        let sharers = Sharers { reporting: count, known: count };
        let own: Vec<Vec<(Slot, u64)>> =
            self.quotas.iter().map(|q| q.own_usage_since(0).collect()).collect();
        for (i, quota) in self.quotas.iter_mut().enumerate() {
            let mut others = BTreeMap::<Slot, u64>::new();
            let of_others = own.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, own)| own);
            for (slot, units) in of_others.chain(&self.before_restart).flatten() {
                *others.entry(*slot).or_default() += units;
            }
            let others: Vec<_> = others.into_iter().collect();
            quota.record_others_usage(self.now, &others);
            quota.update_fleet_usage(
                self.now,
                Some(usage_as_of(self.now, self.demand.rate(self.now))),
                sharers,
            );
        }
    }

    /// Offers `rate` units a second in requests of `size`, spread over the boxes, for `time`; the
    /// boxes exchange their usage every 150 ms unless they are cut off.
    fn offer(&mut self, rate: f64, size: f64, time: Duration, cut_off: bool) {
        self.offer_to(self.quotas.len(), rate, size, time, cut_off);
    }

    /// As [`Boxes::offer`], spread over the first `count` boxes only.
    fn offer_to(&mut self, count: usize, rate: f64, size: f64, time: Duration, cut_off: bool) {
        let gap = Duration::from_secs_f64(size / rate);
        let end = self.now + time;
        let mut exchanged_at = self.now;
        let mut next = 0;
        while self.now < end {
            self.now += gap;
            if !cut_off && self.now >= exchanged_at + Duration::from_millis(150) {
                self.exchange_usage();
                exchanged_at = self.now;
            }
            next = (next + 1) % count;
            self.demand.add(self.now, size);
            let draw = self.random.random();
            if self.quotas[next].take(self.now, size as u64, draw).is_ok() {
                self.admitted.push((self.now, size));
            }
        }
    }

    /// Restarts all boxes at once; control boxes keep the usage that they reported before.
    fn restart(&mut self) {
        for quota in &mut self.quotas {
            self.before_restart.push(quota.own_usage_since(0).collect());
            *quota = Quota::new(LIMIT);
        }
        self.exchange_usage();
    }

    /// The most units admitted in any window of this length.
    fn max_in(&self, time: Duration) -> f64 {
        let admitted_from = |(begin, _): &(Duration, f64)| {
            let within = |(at, _): &&(Duration, f64)| *at >= *begin && *at < *begin + time;
            self.admitted.iter().filter(within).map(|(_, units)| units).sum::<f64>()
        };
        self.admitted.iter().map(admitted_from).fold(0.0, f64::max)
    }
}

#[test]
fn burst_that_reaches_all_boxes_at_once_stays_in_bounds() {
    let mut boxes = Boxes::new(6);
    let window = Duration::from_secs(8);
    boxes.offer(8_000.0, 20.0, Duration::from_secs(12), false);
    let allowed = LIMIT.rate.mul_add(8.0, LIMIT.burst);
    let most = boxes.max_in(window);
    // The boxes receive each other's usage within 150 ms, in which 8,000 a second are 1,200 units.
    assert!(most <= allowed + 1_200.0, "{most} of {allowed}");
    assert!(most >= allowed * 0.9, "{most} of {allowed}");
}

/// Guards against boxes that are killed under a flood and start with a full burst each time, as on
/// fresh-0266 of the grown further deployment.
#[test]
fn restarted_boxes_get_no_second_burst() {
    let mut boxes = Boxes::new(6);
    for _ in 0..3 {
        boxes.offer(8_000.0, 20.0, Duration::from_secs(3), false);
        boxes.restart();
    }
    boxes.offer(8_000.0, 20.0, Duration::from_secs(3), false);
    let allowed = LIMIT.rate.mul_add(8.0, LIMIT.burst);
    let most = boxes.max_in(Duration::from_secs(8));
    // After each restart the boxes lack each other's usage for 150 ms, in which 8,000 a second are
    // 1,200 units.
    assert!(most <= allowed + 1_200.0, "{most} of {allowed}");
}

#[test]
fn boxes_that_are_cut_off_admit_no_more_than_the_limit_together() {
    let mut boxes = Boxes::new(6);
    boxes.offer(8_000.0, 20.0, Duration::from_secs(6), true);
    boxes.admitted.clear();
    boxes.offer(8_000.0, 20.0, Duration::from_secs(10), true);
    let most = boxes.max_in(Duration::from_secs(8));
    let allowed = LIMIT.rate.mul_add(8.0, LIMIT.burst);
    assert!(most <= allowed * 1.02, "{most} of {allowed}");
}

/// Guards against boxes that admit a second burst once they receive no more usage, as on scale-2 of
/// odalaigh-vane, where all control boxes were down for 1.3 s under a flood.
#[test]
fn boxes_that_become_cut_off_get_no_second_burst() {
    for outage_ms in [500, 1_500, 3_000] {
        let mut boxes = Boxes::new(6);
        // At first the flood reaches one box only.
        boxes.offer_to(1, 8_000.0, 20.0, Duration::from_secs(6), false);
        boxes.offer(8_000.0, 20.0, Duration::from_millis(outage_ms), true);
        boxes.exchange_usage();
        boxes.offer(8_000.0, 20.0, Duration::from_secs(6), false);
        let most = boxes.max_in(Duration::from_secs(8));
        let allowed = LIMIT.rate.mul_add(8.0, LIMIT.burst);
        // Until the boxes notice the outage, 8,000 a second may admit 1,000 a second too much; a
        // reserve for the usage of others bounds it.
        assert!(most <= allowed + 1_600.0, "{most} of {allowed} after an outage of {outage_ms} ms");
    }
}

#[test]
fn box_that_starts_knows_the_usage_of_the_others() {
    let mut boxes = Boxes::new(2);
    boxes.offer(8_000.0, 20.0, Duration::from_secs(1), false);
    boxes.quotas[1] = Quota::new(LIMIT);
    boxes.exchange_usage();
    let now = boxes.now;
    let levels: Vec<f64> = boxes.quotas.iter().map(|quota| quota.level(now)).collect();
    let used: u64 = boxes.quotas[0].own_usage_since(0).map(|(_, units)| units).sum();
    // The first box has lost the second one's usage from before its restart; in 1 s the bucket
    // refilled by 1,000.
    assert!(used > 1_000, "{used}");
    assert!(levels[1] <= LIMIT.burst + LIMIT.rate - used as f64, "{levels:?}, {used} used");
}

#[test]
fn refusal_states_the_time_after_which_the_quota_suffices() {
    let mut quota = Quota::new(LIMIT);
    quota.update_fleet_usage(START, Some(usage_as_of(START, 0.0)), ALONE);
    assert_eq!(quota.take(START, 2_000, 0.5), Ok(()));
    let wait = quota.take(START, 500, 0.5).unwrap_err();
    assert_eq!(wait, Duration::from_millis(500));
    let later = START + wait + Duration::from_millis(10);
    quota.update_fleet_usage(later, Some(usage_as_of(later, 0.0)), ALONE);
    assert_eq!(quota.take(later, 500, 0.5), Ok(()));
    quota.refund(later, 500);
    assert_eq!(quota.take(later, 500, 0.5), Ok(()));
}

#[test]
fn two_halves_that_are_cut_off_from_each_other_admit_no_more_than_the_limit_together() {
    let mut quotas = [Quota::new(LIMIT), Quota::new(LIMIT)];
    let mut admitted = 0.0;
    for step in 0..800 {
        let now = START + Duration::from_millis(step * 10);
        for quota in &mut quotas {
            quota.update_fleet_usage(
                now,
                Some(usage_as_of(now, 4_000.0)),
                Sharers { reporting: 1, known: 2 },
            );
            if quota.take(now, 40, 0.5).is_ok() {
                admitted += 40.0;
            }
        }
    }
    let allowed = LIMIT.rate.mul_add(8.0, LIMIT.burst);
    assert!(admitted <= allowed, "{admitted} of {allowed}");
}

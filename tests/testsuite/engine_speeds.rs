//! Speeds of engines, estimated from runs of generated engines that differ by a factor of 100.

use std::time::Duration;

use bolero::TypeGenerator;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use vaneway_engine::Demand;
use vaneway_engine::EngineSize;
use vaneway_engine::Observer;
use vaneway_engine::Rates;
use vaneway_engine::Run;
use vaneway_engine::Speeds;
use vaneway_engine::merge;

use crate::property;

/// Parameters of a simulated engine, with its disturbances.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Engine {
    /// Prompt tokens a millisecond: 1 to 100, on the logarithmic scale of [`log_scale`].
    #[generator(bolero::generator::produce::<u32>().with().bounds(0..=100))]
    prefill_speed: u32,
    /// Gap between two events in milliseconds: 1 to 100, on the logarithmic scale of [`log_scale`].
    #[generator(bolero::generator::produce::<u32>().with().bounds(0..=100))]
    gap_length: u32,
    /// Time to the first event besides prompt processing, in milliseconds.
    #[generator(bolero::generator::produce::<u32>().with().bounds(1..=100))]
    fixed_ms: u32,
    /// Percentage of runs that take eight times as long.
    #[generator(bolero::generator::produce::<u32>().with().bounds(0..=12))]
    slow_of_100: u32,
    seed: u64,
}

/// Logarithmic scale: 0 to 100 steps give 1 to 100.
fn log_scale(steps: u32) -> f64 {
    100.0_f64.powf(f64::from(steps) / 100.0)
}

impl Engine {
    fn seconds_per_token(&self) -> f64 {
        0.001 / log_scale(self.prefill_speed)
    }

    fn gap(&self) -> f64 {
        0.001 * log_scale(self.gap_length)
    }

    /// Runs with prompts of 100 to 10,000 tokens, some of them slow, each with a random wait before
    /// its first event.
    fn runs(&self, count: u32) -> Vec<Run> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut run = || {
            let uncached_tokens: u64 = rng.random_range(100..10_000);
            let gaps: u32 = rng.random_range(4..60);
            let slow = if rng.random_range(0..100) < self.slow_of_100 { 8.0 } else { 1.0 };
            let wait = rng.random_range(0.0..0.3) * 10_000.0 * self.seconds_per_token();
            let first = f64::from(self.fixed_ms) / 1_000.0
                + uncached_tokens as f64 * self.seconds_per_token()
                + wait;
            let gap = self.gap() * rng.random_range(1.0..1.5);
            Run {
                uncached_tokens,
                time_to_first_event: Duration::from_secs_f64(first * slow),
                gaps,
                generation_time: Duration::from_secs_f64(f64::from(gaps) * gap * slow),
                completed: true,
            }
        };
        (0..count).map(|_| run()).collect()
    }
}

fn speeds_of(runs: &[Run]) -> Speeds {
    observer_of(runs).speeds()
}

fn observer_of(runs: &[Run]) -> Observer {
    let mut observer = Observer::default();
    for run in runs {
        observer.observe(run);
    }
    observer
}

fn is_near(value: f64, truth: f64, factor: f64) -> bool {
    value < truth * factor && value > truth / factor
}

#[test]
fn speeds_are_estimated_over_a_hundredfold_range_despite_a_few_slow_runs() {
    property::check("speeds of one box", 400, |engine: Engine| {
        let speeds = speeds_of(&engine.runs(64));
        assert!(speeds.are_reliable());
        assert!(
            is_near(speeds.prompt_token_s, engine.seconds_per_token(), 1.6),
            "{speeds:?} of {engine:?}"
        );
        assert!(is_near(speeds.gap_s, engine.gap(), 1.5), "{speeds:?} of {engine:?}");
    });
}

#[test]
fn boxes_that_see_only_slow_endpoints_do_not_distort_the_merged_speeds() {
    property::check("speeds of several boxes", 100, |engine: Engine| {
        let usual = Engine { slow_of_100: 0, ..engine };
        let behind_slow_ones = Engine { slow_of_100: 100, ..engine };
        let mut boxes: Vec<Speeds> =
            (0..4).map(|i| speeds_of(&Engine { seed: i, ..usual }.runs(64))).collect();
        boxes.extend((0..3).map(|i| speeds_of(&Engine { seed: i, ..behind_slow_ones }.runs(64))));
        let merged = merge(&boxes);
        assert!(
            is_near(merged.prompt_token_s, engine.seconds_per_token(), 1.6),
            "{merged:?} of {engine:?}"
        );
        assert!(is_near(merged.gap_s, engine.gap(), 1.5), "{merged:?} of {engine:?}");
    });
}

#[test]
fn few_runs_are_not_reliable_and_idle_time_changes_nothing() {
    let engine =
        Engine { prefill_speed: 50, gap_length: 50, fixed_ms: 20, slow_of_100: 0, seed: 1 };
    assert!(!speeds_of(&engine.runs(16)).are_reliable());
    assert_eq!(speeds_of(&[]), Speeds::default());
    assert_eq!(merge(&[]), Speeds::default());
    let mut observer = observer_of(&engine.runs(64));
    let before = observer.speeds();
    assert_eq!(observer.speeds(), before, "the speeds changed without new runs");
}

#[test]
fn prompts_of_one_size_give_an_upper_bound_of_the_time_for_a_token() {
    let run = Run {
        uncached_tokens: 1_000,
        time_to_first_event: Duration::from_millis(50),
        gaps: 4,
        generation_time: Duration::from_millis(80),
        completed: true,
    };
    let speeds = speeds_of(&[run; 64]);
    assert_eq!(
        (speeds.prompt_token_s, speeds.gap_s, speeds.gaps_per_run),
        (0.05 / 1_000.0, 0.02, 4.0)
    );
}

#[test]
fn demand_has_the_binding_resource_and_grows_with_the_load() {
    let speeds = Speeds {
        prompt_token_s: 1e-5,
        first_event_s: 0.1,
        gap_s: 0.02,
        gaps_per_run: 50.0,
        runs: 64,
    };
    let size = EngineSize { batch_slots: 20, memory_tokens: 0 };
    let prefill_heavy = Rates { runs: 1.0, prompt_tokens: 200_000.0, uncached_tokens: 200_000.0 };
    let generation_heavy = Rates { runs: 100.0, prompt_tokens: 1_000.0, uncached_tokens: 0.0 };
    let prefill_bound = speeds.demand(prefill_heavy, size, 10);
    assert_eq!((prefill_bound.binding(), prefill_bound.prefill), ("reading", 2.0));
    let generation_bound = speeds.demand(generation_heavy, size, 10);
    assert_eq!((generation_bound.binding(), generation_bound.generating), ("generating", 5.0));
    let memory_bound = speeds.demand(
        Rates { prompt_tokens: 1e6, ..generation_heavy },
        EngineSize { memory_tokens: 100_000, ..size },
        10,
    );
    assert_eq!(memory_bound.binding(), "memory");
    let double = Rates { runs: 200.0, ..generation_heavy };
    assert!(speeds.demand(double, size, 10).replicas() > generation_bound.replicas());
    let more_slots = EngineSize { batch_slots: 40, ..size };
    assert!(
        speeds.demand(generation_heavy, more_slots, 10).replicas() < generation_bound.replicas()
    );
    assert_eq!(speeds.demand(Rates::default(), size, 0), Demand::default());
}

/// Guards against replicas that are slow for some time and inflate the demand. On
/// pretexpress-qc-grown, scale-2, such replicas doubled the demand, and almost a hundred on-demand
/// replicas were ordered.
#[test]
fn engines_that_are_slow_for_a_while_count_as_fast_as_they_were() {
    let engine =
        Engine { prefill_speed: 50, gap_length: 50, fixed_ms: 20, slow_of_100: 0, seed: 1 };
    let slow = Engine { slow_of_100: 100, ..engine };
    let mut observer = observer_of(&engine.runs(64));
    let before = observer.speeds();
    for run in slow.runs(96) {
        observer.observe(&run);
        observer.speeds();
    }
    let meanwhile = observer.speeds();
    assert!(
        is_near(meanwhile.prompt_token_s, before.prompt_token_s, 1.3),
        "{meanwhile:?} after {before:?}"
    );
    assert!(is_near(meanwhile.gap_s, before.gap_s, 1.3), "{meanwhile:?} after {before:?}");
    for run in slow.runs(512) {
        observer.observe(&run);
        observer.speeds();
    }
    let later = observer.speeds();
    assert!(
        is_near(later.gap_s, 8.0 * engine.gap(), 1.5),
        "an engine that stays slow is still counted as fast"
    );
}

/// Guards against a demand that omits unreachable entry boxes. In incident inc-8d9b three of seven
/// entry boxes were cut off from the leader, which took the reports of the other four for the
/// complete demand and released half of the fleet.
#[test]
fn work_of_boxes_that_are_cut_off_counts_like_that_of_the_others() {
    let rates =
        |runs: f64| Rates { runs, prompt_tokens: 200.0 * runs, uncached_tokens: 100.0 * runs };
    let last = Some(rates(70.0));
    assert_eq!(rates(40.0).extrapolate(4, 7, last), Some(rates(70.0)));
    assert_eq!(
        rates(20.0).extrapolate(4, 7, last),
        Some(rates(35.0)),
        "a fall in demand is observed"
    );
    assert_eq!(
        rates(60.0).extrapolate(4, 7, last),
        Some(rates(70.0)),
        "work that moved from crashed boxes is not counted twice"
    );
    assert_eq!(
        rates(80.0).extrapolate(4, 7, last),
        Some(rates(80.0)),
        "a rise in demand is observed"
    );
    assert_eq!(rates(40.0).extrapolate(7, 7, last), Some(rates(40.0)));
    assert_eq!(rates(40.0).extrapolate(4, 7, None), None, "not all boxes have ever reported");
    assert_eq!(rates(0.0).extrapolate(0, 7, last), None, "nothing is known of the demand");
}

/// Guards against a leader that orders no replicas because it has lost all entry boxes for so long
/// that it knows of none.
#[test]
fn work_is_unknown_while_no_box_reports_and_none_is_known() {
    let last = Some(Rates { runs: 70.0, prompt_tokens: 14_000.0, uncached_tokens: 7_000.0 });
    assert_eq!(Rates::default().extrapolate(0, 0, last), None);
}

/// Guards against a fleet that is sized by a guess although its boxes together have seen
/// enough runs. Each of 295 entry boxes saw three runs a second, so that none had an estimate of
/// its own for six seconds.
#[test]
fn merged_speeds_of_many_boxes_with_few_runs_each_are_reliable() {
    let mut boxes: Vec<Observer> = (0..20).map(|_| Observer::default()).collect();
    for (i, observer) in boxes.iter_mut().enumerate() {
        for run in 0..6 {
            let uncached_tokens = 500 * (1 + (i as u64 + run) % 7);
            let time_to_first_event = Duration::from_micros(30_000 + uncached_tokens * 40);
            let (gaps, generation_time) = (4, Duration::from_millis(80));
            observer.observe(&Run {
                uncached_tokens,
                time_to_first_event,
                gaps,
                generation_time,
                completed: true,
            });
        }
    }
    let speeds = merge(&boxes.iter_mut().map(Observer::speeds).collect::<Vec<_>>());
    assert!(speeds.are_reliable(), "{speeds:?}");
    assert!((speeds.prompt_token_s - 40e-6).abs() < 4e-6, "{speeds:?}");
}

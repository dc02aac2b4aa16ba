//! A short run of the randomized soak test with fixed seeds. Run it with other seeds by hand:
//!
//! ```text
//! VANEWAY_SOAK=1000..1050 cargo test --test testsuite soak -- --nocapture
//! ```
//!
//! With `VANEWAY_SOAK_LOGS=1` the logs of all seeds are kept, not only of those that fail.

use std::path::Path;
use std::time::Duration;

use vaneway_test_support::soak;
use vaneway_test_support::soak::taken_up::Shares;
use vaneway_test_support::soak::taken_up::TakenUp;

/// Time during which faults are injected in a run.
const FAULT_PERIOD: Duration = Duration::from_secs(6);

/// Seeds that failed before, each with its cause.
const FAILED_ONCE: [(u64, &str); 0] = [];

/// Seeds of every run of the suite. With the last one, boxes that ignored back-offs (`Retry-After`)
/// would send hundreds of requests to an endpoint during a back-off.
const ALWAYS: [u64; 3] = [1, 2, 1_000];

/// Runs a seed; writes its logs to a folder if a guarantee is violated.
fn run(seed: u64) -> Vec<String> {
    let report = soak::run(Path::new(env!("CARGO_BIN_EXE_vaneway")), seed, FAULT_PERIOD);
    println!(
        "soak seed {seed}: {} requests, {} served, {} of {} streams taken up went on, of these {} of \
         {} in touch ({} of {} new ones), {} endpoints crashed on a part, {} violations, outcomes {:?}",
        report.requests,
        report.served,
        report.taken_up.iter().filter(|request| request.went_on).count(),
        report.taken_up.len(),
        report.judged.went_on,
        report.judged.taken_up,
        report.judged.began,
        report.judged.new,
        report.crashed_on_part,
        report.violations.len(),
        report.outcomes
    );
    for request in report.taken_up.iter().filter(|request| !request.went_on) {
        let TakenUp { id, in_touch, serving, reason, .. } = request;
        println!("didn't go on: {id} in_touch={in_touch} serving={serving} {reason}");
    }
    assert!(report.served > 0, "seed {seed}: no request was served");
    if !report.violations.is_empty() || std::env::var_os("VANEWAY_SOAK_LOGS").is_some() {
        let folder = std::env::temp_dir().join(format!("vaneway-soak-{seed}"));
        std::fs::create_dir_all(&folder).expect("a folder for the logs");
        for (i, (name, log)) in report.logs.iter().enumerate() {
            std::fs::write(folder.join(format!("{i}-{name}.log")), log).expect("a log is written");
        }
        println!("logs are in {}", folder.display());
    }
    report.violations.iter().map(|what| format!("seed {seed}: {what}")).collect()
}

/// Seeds that the environment variable `VANEWAY_SOAK` requests, as `FIRST..END`.
fn requested_seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("VANEWAY_SOAK") else { return Vec::new() };
    let (first, end) = range.split_once("..").expect("VANEWAY_SOAK is FIRST..END");
    let number = |text: &str| text.parse::<u64>().expect("VANEWAY_SOAK holds two numbers");
    (number(first)..number(end)).collect()
}

#[test]
fn promises_hold_under_faults_from_outside() {
    let once = FAILED_ONCE.iter().map(|(seed, _cause)| *seed);
    let seeds = once.chain(ALWAYS).chain(requested_seeds());
    let violations: Vec<String> = seeds.flat_map(run).collect();
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a run that passes although too few streams taken up go on, or too few were taken
/// up to tell.
#[test]
fn streams_taken_up_are_judged_by_the_share_of_new_ones() {
    let is_violated = |went_on, taken_up, began, new| {
        Shares { taken_up, went_on, new, began }.violation().is_some()
    };
    assert!(!is_violated(6, 12, 100, 100));
    assert!(is_violated(5, 12, 100, 100));
    assert!(!is_violated(3, 12, 50, 100));
    assert!(is_violated(2, 12, 50, 100));
    assert!(is_violated(11, 11, 100, 100));
}

#[test]
fn seed_gives_the_same_plan_each_time() {
    let plan = |seed| soak::plan::plan(seed, FAULT_PERIOD);
    assert_eq!(plan(5), plan(5));
    assert_ne!(plan(5), plan(6));
    let back_offs = |seed| soak::plan::back_offs(seed, FAULT_PERIOD);
    assert_eq!(back_offs(5), back_offs(5));
    assert_ne!(back_offs(5), back_offs(6));
    let unframed = |seed| soak::plan::unframed(seed, FAULT_PERIOD);
    assert_eq!(unframed(5), unframed(5));
    assert_ne!(unframed(5), unframed(6));
    let mortal = |seed| soak::plan::mortal(seed, FAULT_PERIOD);
    assert_eq!(mortal(5), mortal(5));
    assert_ne!(mortal(5), mortal(6));
    let kills = |seed| soak::plan::kills(seed, FAULT_PERIOD);
    assert_eq!(kills(5), kills(5));
    assert_ne!(kills(5), kills(6));
    let kills_of_one_box = |seed| soak::plan::kills_of_one_box(seed, FAULT_PERIOD);
    assert_eq!(kills_of_one_box(5), kills_of_one_box(5));
    assert_ne!(kills_of_one_box(5), kills_of_one_box(6));
    let configurations = |seed| soak::plan::configurations(seed, FAULT_PERIOD);
    assert_eq!(configurations(5), configurations(5));
    assert_ne!(configurations(5), configurations(6));
}

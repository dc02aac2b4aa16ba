//! Estimates engine speeds from the runs of one box, and merges the estimates of several boxes.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Maximum runs kept as samples: some seconds of one box's load, and few enough to compare all
/// pairs at each update.
const MAX_SAMPLES: usize = 64;

/// Number of new runs after which the speeds are estimated anew.
const RUNS_PER_UPDATE: u32 = 16;

/// Number of runs for the first estimate. It is low because each of hundreds of boxes observes only
/// a few runs, while all of them together have enough much earlier than any one.
const RUNS_FOR_FIRST_ESTIMATE: u32 = 6;

/// Minimum difference in length of two prompts that are compared, as a share of the longest prompt:
/// below it, the duration of the engine's steps outweighs the cost of the difference.
const MIN_LENGTH_DIFFERENCE: f64 = 0.2;

/// Number of estimates of which the fastest is used. Overloaded engines appear slower than they
/// are, and a demand that rises with the shortage would order replicas without end.
const MAX_ESTIMATES: usize = 12;

/// Minimum gaps between events for a run to count in the estimate of the gap.
const MIN_GAPS: u32 = 2;

/// Minimum runs of all boxes together for the speeds to be used.
const MIN_RELIABLE_RUNS: u32 = 32;

/// One run of a request at an engine, as observed by its entry box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Prompt tokens that the engine had to process because they were not cached.
    pub uncached_tokens: u64,
    /// Time from sending the request to its first event.
    pub time_to_first_event: Duration,
    /// Number of gaps between its events.
    pub gaps: u32,
    /// Time from the first event to the last one.
    pub generation_time: Duration,
    /// Whether the run completed.
    pub completed: bool,
}

/// Work that one box has sent to the engines of a service since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Runs started.
    pub runs: u64,
    /// Prompt tokens of these runs.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines had to process because they were not cached.
    pub uncached_tokens: u64,
}

impl Totals {
    /// Returns the work added since `before`.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            runs: self.runs.saturating_sub(before.runs),
            prompt_tokens: self.prompt_tokens.saturating_sub(before.prompt_tokens),
            uncached_tokens: self.uncached_tokens.saturating_sub(before.uncached_tokens),
        }
    }
}

impl std::ops::AddAssign for Totals {
    fn add_assign(&mut self, rhs: Self) {
        self.runs += rhs.runs;
        self.prompt_tokens += rhs.prompt_tokens;
        self.uncached_tokens += rhs.uncached_tokens;
    }
}

/// Estimated speeds of a service's engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Speeds {
    /// Seconds to process one prompt token while the engine does its usual other work.
    pub prompt_token_s: f64,
    /// Seconds from sending a request to its first event.
    pub first_event_s: f64,
    /// Seconds between two events of a run with little other work at the engine.
    pub gap_s: f64,
    /// Mean number of gaps between events of a completed run.
    pub gaps_per_run: f64,
    /// Number of runs that the estimate is based on.
    pub runs: u32,
}

impl Speeds {
    /// Whether the estimate is based on enough runs to act on it.
    pub fn are_reliable(&self) -> bool {
        self.runs >= MIN_RELIABLE_RUNS
    }
}

/// Estimates the speeds of a service's engines from the runs of one box.
#[derive(Debug, Default)]
pub struct Observer {
    totals: Totals,
    /// Uncached prompt tokens and seconds to the first event of the latest runs.
    first_events: VecDeque<(f64, f64)>,
    /// Mean seconds per gap between events of each of the latest runs.
    gap_times: VecDeque<f64>,
    /// Number of gaps of each of the latest completed runs.
    gap_counts: VecDeque<f64>,
    /// Seconds per prompt token and seconds per gap of the latest estimates.
    estimates: VecDeque<(f64, f64)>,
    /// The speeds as of the latest update.
    speeds: Speeds,
    /// Runs since the latest update of `speeds`.
    runs_since_update: u32,
}

impl Observer {
    /// Counts a run that starts.
    pub fn begin(&mut self, prompt_tokens: u64, uncached_tokens: u64) {
        self.totals += Totals { runs: 1, prompt_tokens, uncached_tokens };
    }

    /// Records a run that ended after at least one event.
    pub fn observe(&mut self, run: &Run) {
        push_bounded(
            &mut self.first_events,
            MAX_SAMPLES,
            (run.uncached_tokens as f64, run.time_to_first_event.as_secs_f64()),
        );
        if run.gaps >= MIN_GAPS {
            push_bounded(
                &mut self.gap_times,
                MAX_SAMPLES,
                run.generation_time.as_secs_f64() / f64::from(run.gaps),
            );
        }
        if run.completed {
            push_bounded(&mut self.gap_counts, MAX_SAMPLES, f64::from(run.gaps));
        }
        self.runs_since_update += 1;
    }

    /// Work since the box started.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the speeds, after updating the estimate if enough runs were recorded since.
    pub fn speeds(&mut self) -> Speeds {
        let enough =
            if self.estimates.is_empty() { RUNS_FOR_FIRST_ESTIMATE } else { RUNS_PER_UPDATE };
        if self.runs_since_update >= enough {
            self.runs_since_update = 0;
            let mut gap_times: Vec<f64> = self.gap_times.iter().copied().collect();
            let estimate = (median_slope(&self.first_events), quantile(&mut gap_times, 0.25));
            push_bounded(&mut self.estimates, MAX_ESTIMATES, estimate);
            let mut firsts: Vec<f64> = self.first_events.iter().map(|(_, first)| *first).collect();
            self.speeds = Speeds {
                prompt_token_s: fastest(self.estimates.iter().map(|(token, _)| *token)),
                first_event_s: quantile(&mut firsts, 0.5),
                gap_s: fastest(self.estimates.iter().map(|(_, gap)| *gap)),
                gaps_per_run: self.gap_counts.iter().sum::<f64>()
                    / self.gap_counts.len().max(1) as f64,
                runs: self.first_events.len() as u32,
            };
        }
        self.speeds
    }
}

/// Returns the shortest non-zero time; 0 means unknown and is returned if all are.
fn fastest(times: impl Iterator<Item = f64>) -> f64 {
    times.filter(|time| *time > 0.0).min_by(f64::total_cmp).unwrap_or_default()
}

/// Appends a value, after dropping the oldest one if there are `max` already.
fn push_bounded<T>(latest: &mut VecDeque<T>, max: usize, value: T) {
    if latest.len() == max {
        latest.pop_front();
    }
    latest.push_back(value);
}

/// Returns seconds per prompt token, as the median slope over pairs of runs. If all prompts are of
/// similar length, returns the median of time divided by tokens, which includes delays that don't
/// depend on the prompt.
fn median_slope(first_events: &VecDeque<(f64, f64)>) -> f64 {
    let longest = first_events.iter().map(|(tokens, _)| *tokens).fold(0.0, f64::max);
    let min_difference = longest * MIN_LENGTH_DIFFERENCE;
    let mut slopes = Vec::new();
    for (i, (tokens, first)) in first_events.iter().enumerate() {
        for (other_tokens, other_first) in first_events.iter().skip(i + 1) {
            if (tokens - other_tokens).abs() >= min_difference.max(1.0) {
                slopes.push((first - other_first) / (tokens - other_tokens));
            }
        }
    }
    if slopes.is_empty() {
        slopes = first_events.iter().map(|(tokens, first)| first / tokens.max(1.0)).collect();
    }
    quantile(&mut slopes, 0.5).max(0.0)
}

/// Returns the quantile `fraction` of `values`; 0 if there are none.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let index = ((values.len() - 1) as f64 * fraction).round() as usize;
    *values.select_nth_unstable_by(index, f64::total_cmp).1
}

/// Merges the speeds from several boxes, each weighted by its number of runs.
pub fn merge(speeds: &[Speeds]) -> Speeds {
    let speeds: Vec<Speeds> = speeds.iter().copied().filter(|speeds| speeds.runs > 0).collect();
    let runs: u32 = speeds.iter().map(|speeds| speeds.runs).sum();
    let median = |value: fn(&Speeds) -> f64| {
        let mut values: Vec<(f64, u32)> = speeds.iter().map(|s| (value(s), s.runs)).collect();
        values.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut below = 0;
        let middle = values.iter().find(|(_, weight)| {
            below += weight;
            2 * below >= runs
        });
        middle.map_or(0.0, |(value, _)| *value)
    };
    let gaps: f64 = speeds.iter().map(|speeds| speeds.gaps_per_run * f64::from(speeds.runs)).sum();
    Speeds {
        prompt_token_s: median(|speeds| speeds.prompt_token_s),
        first_event_s: median(|speeds| speeds.first_event_s),
        gap_s: median(|speeds| speeds.gap_s),
        gaps_per_run: gaps / f64::from(runs.max(1)),
        runs,
    }
}

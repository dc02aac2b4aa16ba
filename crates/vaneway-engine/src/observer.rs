//! Speeds from the runs that one box has seen, and from several boxes.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Runs that an estimate rests on: some seconds of one box's load, and few enough to compare all
/// pairs of them now and then.
const RUNS_KEPT: usize = 64;

/// New runs after which speeds are worked out anew.
const RENEWED_AFTER: u32 = 16;

/// Runs from which speeds are worked out for the first time: of hundreds of boxes each sees few, and all of them
/// together know enough much sooner than any one.
const FIRST_AFTER: u32 = 6;

/// Least difference of two prompts that are compared, as a part of the longest one: below it, the
/// engine's steps outweigh what the difference costs.
const DIFFERENCE_LEAST: f64 = 0.2;

/// Estimates among which the fastest counts: engines under more work than they can do seem slower
/// than they are, and a demand that rises with the shortage would order without end.
const ESTIMATES_KEPT: usize = 12;

/// Fewest pauses between events from which a run's pace is taken.
const PAUSES_LEAST: u32 = 2;

/// Runs of all boxes together from which speeds count as known.
const KNOWN_FROM: u32 = 32;

/// One run of a request at an engine, as its entry box saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Prompt tokens that the engine had to read.
    pub uncached_tokens: u64,
    /// Time from sending it to its first event.
    pub time_to_first_event: Duration,
    /// Pauses between its events.
    pub gaps: u32,
    /// Time from the first event to the last one.
    pub generation_time: Duration,
    /// Whether it came to its end.
    pub completed: bool,
}

/// Work that one box has given to the engines of a service since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Runs begun.
    pub runs: u64,
    /// Prompt tokens of these.
    pub prompt_tokens: u64,
    /// Prompt tokens that had to be read.
    pub uncached_tokens: u64,
}

impl Totals {
    /// What has been added since `before`.
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

/// How fast engines of a service work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Speeds {
    /// Seconds to read a prompt token beside the usual other work.
    pub prompt_token_s: f64,
    /// Seconds from sending a run to its first event.
    pub first_event_s: f64,
    /// Seconds between two events of a run that little disturbs.
    pub gap_s: f64,
    /// Pauses of a run on average.
    pub gaps_per_run: f64,
    /// Runs that this rests on.
    pub runs: u32,
}

impl Speeds {
    /// Whether it rests on enough runs to be acted on.
    pub fn are_reliable(&self) -> bool {
        self.runs >= KNOWN_FROM
    }
}

/// What one box has seen of a service's engines.
#[derive(Debug, Default)]
pub struct Observer {
    totals: Totals,
    /// Unread tokens and seconds to the first event of the latest runs.
    reads: VecDeque<(f64, f64)>,
    /// Seconds a pause of the latest runs.
    paces: VecDeque<f64>,
    /// Pauses of the latest whole runs.
    lengths: VecDeque<f64>,
    /// Seconds a prompt token and seconds a pause of the latest estimates.
    estimates: VecDeque<(f64, f64)>,
    speeds: Speeds,
    /// Runs since the speeds were worked out.
    unused: u32,
}

impl Observer {
    /// Counts a run that begins.
    pub fn begin(&mut self, prompt_tokens: u64, uncached_tokens: u64) {
        self.totals += Totals { runs: 1, prompt_tokens, uncached_tokens };
    }

    /// Takes in what was seen of a run whose first event came.
    pub fn observe(&mut self, run: &Run) {
        keep(
            &mut self.reads,
            RUNS_KEPT,
            (run.uncached_tokens as f64, run.time_to_first_event.as_secs_f64()),
        );
        if run.gaps >= PAUSES_LEAST {
            keep(
                &mut self.paces,
                RUNS_KEPT,
                run.generation_time.as_secs_f64() / f64::from(run.gaps),
            );
        }
        if run.completed {
            keep(&mut self.lengths, RUNS_KEPT, f64::from(run.gaps));
        }
        self.unused += 1;
    }

    /// Work since the start.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// The speeds, worked out anew if enough was seen since.
    pub fn speeds(&mut self) -> Speeds {
        let enough = if self.estimates.is_empty() { FIRST_AFTER } else { RENEWED_AFTER };
        if self.unused >= enough {
            self.unused = 0;
            let mut paces: Vec<f64> = self.paces.iter().copied().collect();
            let estimate = (slope(&self.reads), quantile(&mut paces, 0.25));
            keep(&mut self.estimates, ESTIMATES_KEPT, estimate);
            let mut firsts: Vec<f64> = self.reads.iter().map(|(_, first)| *first).collect();
            self.speeds = Speeds {
                prompt_token_s: fastest(self.estimates.iter().map(|(token, _)| *token)),
                first_event_s: quantile(&mut firsts, 0.5),
                gap_s: fastest(self.estimates.iter().map(|(_, pause)| *pause)),
                gaps_per_run: self.lengths.iter().sum::<f64>() / self.lengths.len().max(1) as f64,
                runs: self.reads.len() as u32,
            };
        }
        self.speeds
    }
}

/// The least time that is not 0, which stands for an unknown one; 0 if none is known.
fn fastest(times: impl Iterator<Item = f64>) -> f64 {
    times.filter(|time| *time > 0.0).min_by(f64::total_cmp).unwrap_or_default()
}

/// Appends a value and drops the oldest one beyond `most`.
fn keep<T>(latest: &mut VecDeque<T>, most: usize, value: T) {
    if latest.len() == most {
        latest.pop_front();
    }
    latest.push_back(value);
}

/// Seconds a token: the median slope over pairs of runs; where all prompts are alike, the median of
/// each run's own quotient, which also holds what does not depend on the prompt.
fn slope(reads: &VecDeque<(f64, f64)>) -> f64 {
    let longest = reads.iter().map(|(tokens, _)| *tokens).fold(0.0, f64::max);
    let least = longest * DIFFERENCE_LEAST;
    let mut slopes = Vec::new();
    for (i, (tokens, first)) in reads.iter().enumerate() {
        for (others, other_first) in reads.iter().skip(i + 1) {
            if (tokens - others).abs() >= least.max(1.0) {
                slopes.push((first - other_first) / (tokens - others));
            }
        }
    }
    if slopes.is_empty() {
        slopes = reads.iter().map(|(tokens, first)| first / tokens.max(1.0)).collect();
    }
    quantile(&mut slopes, 0.5).max(0.0)
}

/// The value below which a part of all lies; 0 of none.
fn quantile(values: &mut [f64], part: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let index = ((values.len() - 1) as f64 * part).round() as usize;
    *values.select_nth_unstable_by(index, f64::total_cmp).1
}

/// Speeds that several boxes have seen, each with the weight of its runs.
pub fn merge(seen: &[Speeds]) -> Speeds {
    let seen: Vec<Speeds> = seen.iter().copied().filter(|speeds| speeds.runs > 0).collect();
    let runs: u32 = seen.iter().map(|speeds| speeds.runs).sum();
    let median = |value: fn(&Speeds) -> f64| {
        let mut values: Vec<(f64, u32)> = seen.iter().map(|s| (value(s), s.runs)).collect();
        values.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut below = 0;
        let middle = values.iter().find(|(_, weight)| {
            below += weight;
            2 * below >= runs
        });
        middle.map_or(0.0, |(value, _)| *value)
    };
    let pauses: f64 = seen.iter().map(|speeds| speeds.gaps_per_run * f64::from(speeds.runs)).sum();
    Speeds {
        prompt_token_s: median(|speeds| speeds.prompt_token_s),
        first_event_s: median(|speeds| speeds.first_event_s),
        gap_s: median(|speeds| speeds.gap_s),
        gaps_per_run: pauses / f64::from(runs.max(1)),
        runs,
    }
}

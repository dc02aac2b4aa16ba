//! Number of replicas that a load keeps busy.

use crate::Speeds;

/// Maximum share of an engine's time assumed to be spent on prefill when the measured gap between
/// events is corrected for it. Above this share, the measured gap says nothing about an engine that
/// only generates.
const MAX_PREFILL_SHARE: f64 = 0.8;

/// Work that arrives per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rates {
    /// Runs per second.
    pub runs: f64,
    /// Prompt tokens of these runs per second.
    pub prompt_tokens: f64,
    /// Prompt tokens per second that engines must process because they are not cached.
    pub uncached_tokens: f64,
}

impl Rates {
    /// Extrapolates the rates that `reporting` boxes reported to all `known` boxes; `last` are the
    /// rates when all boxes last reported. None if no box reported, or if some are missing and
    /// `last` is none.
    ///
    /// Boxes that are cut off continue to receive about as much work as the others, and the work of
    /// crashed boxes goes to the others. A rate is therefore extrapolated to at most the last known
    /// one, and never below the reported one.
    pub fn extrapolate(self, reporting: u32, known: u32, last: Option<Self>) -> Option<Self> {
        if reporting == 0 {
            return None;
        }
        if reporting >= known {
            return Some(self);
        }
        let last = last?;
        let factor = f64::from(known) / f64::from(reporting);
        let rate = |reported: f64, last: f64| reported.max((reported * factor).min(last));
        Some(Self {
            runs: rate(self.runs, last.runs),
            prompt_tokens: rate(self.prompt_tokens, last.prompt_tokens),
            uncached_tokens: rate(self.uncached_tokens, last.uncached_tokens),
        })
    }
}

/// Capacity of one replica, from the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSize {
    /// Maximum concurrent runs.
    pub batch_slots: u32,
    /// Tokens that fit in its memory; 0 if unknown.
    pub memory_tokens: u64,
}

/// Number of replicas that a load keeps busy, by resource.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Replicas busy processing prompts (prefill).
    pub prefill: f64,
    /// Replicas busy generating, with all slots of a replica in use.
    pub generating: f64,
    /// Replicas whose memory the prompts fill.
    pub memory: f64,
}

impl Demand {
    /// Replicas in all. An engine alternates between prefill and generating, so these add up;
    /// memory is occupied at the same time.
    pub fn replicas(&self) -> f64 {
        (self.prefill + self.generating).max(self.memory)
    }

    /// Name of the resource that requires the most replicas, for the log.
    pub fn binding(&self) -> &'static str {
        if self.memory > self.prefill + self.generating {
            "memory"
        } else if self.prefill > self.generating {
            "reading"
        } else {
            "generating"
        }
    }
}

impl Speeds {
    /// Number of replicas that `rates` keep busy, while `running` replicas serve.
    pub fn demand(&self, rates: Rates, size: EngineSize, running: u32) -> Demand {
        let prefill = rates.uncached_tokens * self.prompt_token_s;
        // The measured gap between events includes prefill of other prompts.
        let prefill_share = (prefill / f64::from(running.max(1))).min(MAX_PREFILL_SHARE);
        let undisturbed_gap = self.gap_s * (1.0 - prefill_share);
        let generating =
            rates.runs * self.gaps_per_run * undisturbed_gap / f64::from(size.batch_slots.max(1));
        let run_time = self.first_event_s + self.gaps_per_run * self.gap_s;
        let memory = if size.memory_tokens == 0 {
            0.0
        } else {
            rates.prompt_tokens * run_time / size.memory_tokens as f64
        };
        Demand { prefill, generating, memory }
    }
}

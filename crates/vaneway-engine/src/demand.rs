//! How many replicas a load keeps busy.

use crate::Speeds;

/// Most of an engine's time that is taken to go into reading when its pace is corrected for it;
/// above it the pace says nothing of an engine that only generates.
const READING_MOST: f64 = 0.8;

/// Work that arrives in a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rates {
    /// Runs.
    pub runs: f64,
    /// Prompt tokens of these.
    pub prompt_tokens: f64,
    /// Prompt tokens that must be read.
    pub uncached_tokens: f64,
}

impl Rates {
    /// The rates of all `known` boxes, where only `heard` of them told theirs, by the last rates that all
    /// told; none if that can't be said. Boxes that are cut off go on taking work, about as much as the
    /// others, and of boxes that died the others take it, so the sum is not taken to rise.
    pub fn extrapolate(self, heard: u32, known: u32, last: Option<Self>) -> Option<Self> {
        if heard == 0 {
            return None;
        }
        if heard >= known {
            return Some(self);
        }
        let last = last?;
        let factor = f64::from(known) / f64::from(heard);
        let rate = |told: f64, last: f64| told.max((told * factor).min(last));
        Some(Self {
            runs: rate(self.runs, last.runs),
            prompt_tokens: rate(self.prompt_tokens, last.prompt_tokens),
            uncached_tokens: rate(self.uncached_tokens, last.uncached_tokens),
        })
    }
}

/// What one replica has, as the configuration says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSize {
    /// Runs at once.
    pub batch_slots: u32,
    /// Tokens that its memory holds; 0 if unknown.
    pub memory_tokens: u64,
}

/// Replicas that a load keeps busy, by what keeps them busy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Reading prompts.
    pub reading: f64,
    /// Generating, with every place of a replica taken.
    pub generating: f64,
    /// Holding prompts in memory.
    pub memory: f64,
}

impl Demand {
    /// Replicas in all. Reading and generating take turns at an engine, so they add up; memory is
    /// held meanwhile.
    pub fn replicas(&self) -> f64 {
        (self.reading + self.generating).max(self.memory)
    }

    /// What most of it comes from, for the log.
    pub fn binding(&self) -> &'static str {
        if self.memory > self.reading + self.generating {
            "memory"
        } else if self.reading > self.generating {
            "reading"
        } else {
            "generating"
        }
    }
}

impl Speeds {
    /// The replicas that `rates` keep busy, where `running` replicas serve now.
    pub fn demand(&self, rates: Rates, size: EngineSize, running: u32) -> Demand {
        let reading = rates.uncached_tokens * self.prompt_token_s;
        // The pace that was seen holds the reading of other prompts between events.
        let read_part = (reading / f64::from(running.max(1))).min(READING_MOST);
        let alone = self.gap_s * (1.0 - read_part);
        let generating =
            rates.runs * self.gaps_per_run * alone / f64::from(size.batch_slots.max(1));
        let held_for = self.first_event_s + self.gaps_per_run * self.gap_s;
        let memory = if size.memory_tokens == 0 {
            0.0
        } else {
            rates.prompt_tokens * held_for / size.memory_tokens as f64
        };
        Demand { reading, generating, memory }
    }
}

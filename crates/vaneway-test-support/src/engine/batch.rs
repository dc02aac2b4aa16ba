//! The requests of an engine and its steps: continuous batching by priority.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::task::Context;
use std::task::Waker;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use vaneway_server::util::clock;
use vaneway_server::util::outbox::Outbox;

use super::EngineOptions;
use super::EngineStats;
use super::cache::PrefixCache;
use super::text::Prompt;

/// One request and its state (KV cache and position).
#[derive(Debug)]
pub struct Sequence {
    id: String,
    /// The prompt.
    pub prompt: Prompt,
    priority: u8,
    /// Unix time in seconds.
    created: u64,
    /// Tokens generated and sent, or sent before by another engine.
    pub generated: u32,
    /// Prompt tokens left to compute.
    prefill_left: u32,
    running: bool,
    /// Whether the stream's first chunk has been sent.
    opened: bool,
    reader: Option<Outbox>,
    /// When the reader disconnected or the state was imported; none while there is a reader.
    detached: Option<Instant>,
}

impl Sequence {
    /// A request that has just arrived.
    pub fn new(id: String, prompt: Prompt, priority: u8, reader: Outbox) -> Self {
        Self {
            id,
            priority,
            created: clock::since_epoch().as_secs(),
            generated: prompt.continued,
            prefill_left: prompt.tokens + prompt.continued,
            running: false,
            opened: prompt.continued > 0,
            reader: Some(reader),
            detached: None,
            prompt,
        }
    }

    /// Parses an exported state; none if a field is missing or of another type.
    pub fn from_json(state: &Value) -> Option<Self> {
        Some(Self {
            id: state["id"].as_str()?.to_owned(),
            prompt: serde_json::from_value(state["prompt"].clone()).ok()?,
            priority: state["priority"].as_u64()? as u8,
            created: state["created"].as_u64()?,
            generated: state["generated"].as_u64()? as u32,
            prefill_left: 0,
            running: false,
            opened: true,
            reader: None,
            detached: Some(Instant::now()),
        })
    }

    fn to_json(&self) -> Value {
        json!({
            "id": self.id,
            "prompt": self.prompt,
            "priority": self.priority,
            "created": self.created,
            "generated": self.generated,
        })
    }

    fn send(&self, offset: u32, chunk: &Value) {
        if let Some(reader) = &self.reader {
            reader.push(format!("id: {offset}\ndata: {chunk}\n\n").as_bytes());
        }
    }

    /// Whether the reader accepts more bytes. If it has disconnected, the state is kept without it.
    fn reader_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let Some(reader) = &self.reader else { return false };
        if reader.poll_closed(&mut cx).is_ready() {
            self.reader = None;
            self.detached = Some(Instant::now());
            self.running = false;
            return false;
        }
        reader.poll_capacity(&mut cx).is_ready()
    }

    /// Sends the next token; returns whether the response is complete.
    fn advance(&mut self) -> bool {
        if !self.opened {
            self.opened = true;
            if let Some(chunk) = self.prompt.role_chunk(&self.id, self.created) {
                self.send(0, &chunk);
            }
        }
        if self.generated < self.prompt.answer_tokens {
            self.generated += 1;
            let chunk = self.prompt.token_chunk(&self.id, self.created, self.generated);
            self.send(self.generated, &chunk);
        }
        if self.generated < self.prompt.answer_tokens {
            return false;
        }
        self.send(self.generated, &self.prompt.finish_chunk(&self.id, self.created));
        if self.prompt.usage {
            self.send(self.generated, &self.prompt.usage_chunk(&self.id, self.created));
        }
        if let Some(reader) = self.reader.take() {
            reader.push(b"data: [DONE]\n\n");
            reader.finish();
        }
        true
    }
}

/// Maximum number of steps whose load is kept. If the lag spans more steps, the loads of later
/// steps are dropped until earlier ones expire.
const MAX_LOADS: usize = 10_000;

/// Numbers of requests in one step.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// The requests of an engine, its prefix cache and its recent load.
#[derive(Debug)]
pub struct Batch {
    options: EngineOptions,
    sequences: BTreeMap<String, Sequence>,
    /// Ids of queued requests, by priority.
    waiting: VecDeque<String>,
    /// Prompt prefixes computed so far.
    pub cache: PrefixCache,
    loads: VecDeque<(Instant, Load)>,
}

impl Batch {
    /// An engine without requests.
    pub fn new(options: EngineOptions) -> Self {
        let cache = PrefixCache::new(options.cache_blocks, options.event_gap, options.seed);
        let (sequences, waiting) = (BTreeMap::new(), VecDeque::new());
        Self { options, sequences, waiting, cache, loads: VecDeque::new() }
    }

    /// Whether the queue is full.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.options.max_waiting
    }

    /// Queues a request behind those of the same or a higher priority. Cached tokens of its prompt
    /// are not computed.
    pub fn enqueue(&mut self, mut sequence: Sequence, stats: &mut EngineStats) {
        let cached = self.cache.cached_tokens(&sequence.prompt.content);
        let cached = cached.min(sequence.prefill_left);
        sequence.prefill_left -= cached;
        stats.cached += u64::from(cached);
        let before = self
            .waiting
            .iter()
            .position(|id| self.sequences.get(id).is_none_or(|s| s.priority < sequence.priority));
        self.waiting.insert(before.unwrap_or(self.waiting.len()), sequence.id.clone());
        self.sequences.insert(sequence.id.clone(), sequence);
        stats.open = self.sequences.len() as u64;
    }

    /// Adds an imported state, which has no reader yet.
    pub fn adopt(&mut self, sequence: Sequence, stats: &mut EngineStats) {
        self.cache.store(&sequence.prompt.content);
        self.sequences.insert(sequence.id.clone(), sequence);
        stats.open = self.sequences.len() as u64;
    }

    /// Continues a request with a new reader behind its first `after` tokens; returns false if
    /// there is no state for it, or fewer tokens were generated.
    pub fn resume(&mut self, id: &str, after: u32, reader: Outbox) -> bool {
        let Some(sequence) = self.sequences.get_mut(id) else { return false };
        if after > sequence.generated {
            return false;
        }
        sequence.generated = after;
        sequence.opened = true;
        sequence.reader = Some(reader);
        sequence.detached = None;
        if !self.waiting.iter().any(|waiting| waiting == id) && !sequence.running {
            self.waiting.push_front(id.to_owned());
        }
        true
    }

    /// The state of a request for another engine; none before its prompt is computed.
    pub fn export(&self, id: &str) -> Option<Value> {
        let sequence = self.sequences.get(id)?;
        (sequence.prefill_left == 0).then(|| sequence.to_json())
    }

    /// Removes a request's state; returns false if there is none.
    pub fn cancel(&mut self, id: &str, stats: &mut EngineStats) -> bool {
        let removed = self.sequences.remove(id).is_some();
        self.waiting.retain(|waiting| waiting != id);
        stats.cancelled += u64::from(removed);
        stats.open = self.sequences.len() as u64;
        removed
    }

    /// Runs one step: computes up to `prefill` prompt tokens in total, and generates one token for
    /// each running request whose prompt is computed and whose reader accepts more bytes.
    pub fn step(&mut self, stats: &mut EngineStats) {
        self.expire(stats);
        self.admit();
        let mut prefill = self.options.prefill;
        let mut ended = Vec::new();
        for sequence in self.sequences.values_mut().filter(|sequence| sequence.running) {
            if !sequence.reader_ready() {
                continue;
            }
            if sequence.prefill_left > 0 {
                let now = sequence.prefill_left.min(prefill);
                prefill -= now;
                sequence.prefill_left -= now;
                stats.prefilled += u64::from(now);
                if sequence.prefill_left > 0 {
                    continue;
                }
                self.cache.store(&sequence.prompt.content);
            }
            stats.generated += 1;
            if sequence.advance() {
                ended.push(sequence.id.clone());
            }
        }
        for id in ended {
            self.sequences.remove(&id);
        }
        self.record_load();
        stats.open = self.sequences.len() as u64;
    }

    fn admit(&mut self) {
        let mut running = self.sequences.values().filter(|sequence| sequence.running).count();
        while running < self.options.max_batch {
            let Some(id) = self.waiting.pop_front() else { break };
            if let Some(sequence) = self.sequences.get_mut(&id) {
                sequence.running = true;
                running += 1;
            }
        }
    }

    fn expire(&mut self, stats: &mut EngineStats) {
        let linger = self.options.linger;
        let before = self.sequences.len();
        self.sequences.retain(|_, s| s.detached.is_none_or(|since| since.elapsed() < linger));
        stats.expired += (before - self.sequences.len()) as u64;
    }

    /// The load as it was `load_lag` ago; zero while the engine has not run for that long.
    pub fn lagged_load(&self) -> Value {
        let old = self.loads.iter().rev().find(|(at, _)| at.elapsed() >= self.options.load_lag);
        let (age, load) = old
            .map_or((self.options.load_lag, Load::default()), |(at, load)| (at.elapsed(), *load));
        let Load { running, waiting } = load;
        json!({ "running": running, "waiting": waiting, "age_ms": age.as_millis() as u64 })
    }

    /// Records the load of this step, and drops loads too old to be reported.
    fn record_load(&mut self) {
        let running = self.sequences.values().filter(|sequence| sequence.running).count();
        let load = Load { running, waiting: self.waiting.len() };
        self.loads.push_back((Instant::now(), load));
        let lag = self.options.load_lag;
        while self.loads.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.loads.pop_front();
        }
        self.loads.truncate(MAX_LOADS);
    }
}

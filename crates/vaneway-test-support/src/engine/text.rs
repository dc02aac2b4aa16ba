//! Prompts, the tokens generated for them, and chunks in the OpenAI format.

use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// Words from which tokens are made.
const WORDS: [&str; 16] = [
    "bogha", "tonn", "fear", "cloch", "grian", "muir", "oíche", "solas", "zee", "wolk", "brug",
    "maan", "licht", "veld", "poort", "stem",
];

/// A prompt with the parameters of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The prompt's text, by which the prefix cache finds it.
    pub content: String,
    /// Its length in tokens.
    pub tokens: u32,
    /// Length of the response in tokens.
    pub answer_tokens: u32,
    /// Tokens of the response that the request contains as its `continuation`.
    pub continued: u32,
    /// The model's name.
    pub model: String,
    /// Whether the chat interface was used.
    pub chat: bool,
    /// Whether the response ends with a usage chunk.
    pub usage: bool,
    /// Whether the request limits the response's length, so that it finishes with `length`.
    pub limited: bool,
}

impl Prompt {
    /// Parses a request's body; the error is a stable code.
    pub fn read(body: &[u8], chat: bool) -> Result<Self, &'static str> {
        let body: Value = serde_json::from_slice(body).map_err(|_not_json| "bad_json")?;
        let prompt = body.get(if chat { "messages" } else { "prompt" }).ok_or("no_prompt")?;
        if body.get("stream") != Some(&Value::Bool(true)) {
            return Err("only_streams");
        }
        let content = prompt.to_string();
        let limit = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|name| body.get(*name).and_then(Value::as_u64));
        let mut prompt = Self {
            tokens: (content.len() / BYTES_PER_TOKEN) as u32,
            answer_tokens: 0,
            continued: 0,
            model: body.get("model").and_then(Value::as_str).unwrap_or_default().to_owned(),
            chat,
            usage: body["stream_options"]["include_usage"] == Value::Bool(true),
            limited: limit.is_some(),
            content,
        };
        prompt.answer_tokens = limit.map_or_else(|| prompt.natural_length(), |limit| limit as u32);
        if let Some(continuation) = body.get("continuation") {
            prompt.continued = continuation["tokens"].as_u64().ok_or("bad_continuation")? as u32;
            let text: String = (1..=prompt.continued).map(|k| prompt.token(k)).collect();
            if continuation["text"].as_str() != Some(&text) {
                return Err("continuation_is_not_mine");
            }
        }
        Ok(prompt)
    }

    fn hash(&self, salt: u32) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.content, salt).hash(&mut hasher);
        hasher.finish()
    }

    fn natural_length(&self) -> u32 {
        16 + (self.hash(0) % 48) as u32
    }

    /// The token at position `k`, counted from 1; it depends on the prompt and `k` alone.
    pub fn token(&self, k: u32) -> String {
        let hash = self.hash(k);
        let word = WORDS[(hash % WORDS.len() as u64) as usize];
        format!("{word}{} ", (hash >> 32) % 100)
    }

    fn chunk(&self, id: &str, created: u64, delta: &Value, text: &str, end: &Value) -> Value {
        let (prefix, kind) = if self.chat {
            ("chatcmpl", "chat.completion.chunk")
        } else {
            ("cmpl", "text_completion")
        };
        let choice = if self.chat {
            json!({ "index": 0, "delta": delta, "finish_reason": end })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": end })
        };
        json!({
            "id": format!("{prefix}-{id}"),
            "object": kind,
            "created": created,
            "model": self.model,
            "choices": [choice],
        })
    }

    /// The first chunk of a chat response; none for plain completions.
    pub fn role_chunk(&self, id: &str, created: u64) -> Option<Value> {
        let delta = json!({ "role": "assistant", "content": "" });
        self.chat.then(|| self.chunk(id, created, &delta, "", &Value::Null))
    }

    /// The chunk with token `k`.
    pub fn token_chunk(&self, id: &str, created: u64, k: u32) -> Value {
        let text = self.token(k);
        self.chunk(id, created, &json!({ "content": text }), &text, &Value::Null)
    }

    /// The chunk with the finish reason.
    pub fn finish_chunk(&self, id: &str, created: u64) -> Value {
        let reason = if self.limited { "length" } else { "stop" };
        self.chunk(id, created, &json!({}), "", &reason.into())
    }

    /// The chunk with the usage figures.
    pub fn usage_chunk(&self, id: &str, created: u64) -> Value {
        let mut chunk = self.chunk(id, created, &json!({}), "", &Value::Null);
        chunk["choices"] = json!([]);
        chunk["usage"] = json!({
            "prompt_tokens": self.tokens,
            "completion_tokens": self.answer_tokens,
            "total_tokens": self.tokens + self.answer_tokens,
        });
        chunk
    }
}

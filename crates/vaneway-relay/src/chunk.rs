//! One chunk of a streamed response, parsed as far as the relay needs it.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

use crate::TokenOffset;

/// A chunk of a streamed response in OpenAI format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Tokens from the beginning of the response up to and including this chunk, if the engine
    /// sends that number.
    pub offset: Option<TokenOffset>,
    /// The JSON text of the chunk.
    pub data: String,
    /// The text that the chunk adds.
    pub text: String,
    /// Creation time of the response according to the engine, in seconds since the Unix epoch.
    pub created: Option<u64>,
    /// Whether the chunk has a finish reason.
    pub finishes: bool,
    /// Whether the chunk has only usage figures.
    pub usage_only: bool,
}

/// Placeholder text of an event whose content isn't interpreted.
const OPAQUE_EVENT_TEXT: &str = ".";

/// The error for a chunk that is not in OpenAI format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkError(String);

impl fmt::Display for ChunkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the engine sent an invalid chunk: {}", self.0)
    }
}

impl std::error::Error for ChunkError {}

#[derive(Deserialize)]
struct ChunkView {
    created: Option<u64>,
    #[serde(default)]
    choices: Vec<ChoiceView>,
    usage: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct ChoiceView {
    delta: Option<DeltaView>,
    text: Option<String>,
    finish_reason: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct DeltaView {
    content: Option<String>,
}

impl Chunk {
    /// A numbered event whose content isn't interpreted. It counts as one token, since the caller
    /// must receive it exactly once, like a token.
    pub fn event(number: Option<TokenOffset>, data: String) -> Self {
        Self {
            offset: number,
            data,
            text: OPAQUE_EVENT_TEXT.to_owned(),
            created: None,
            finishes: false,
            usage_only: false,
        }
    }

    /// Parses the `data` of one server-sent event; `id` is the event's id, which is the token
    /// offset.
    ///
    /// # Errors
    ///
    /// [`ChunkError`] if `data` is not a chunk in OpenAI format.
    pub fn read(id: &str, data: String) -> Result<Self, ChunkError> {
        let view: ChunkView =
            serde_json::from_str(&data).map_err(|error| ChunkError(error.to_string()))?;
        let usage_only = view.choices.is_empty() && view.usage.is_some();
        let choice = view.choices.into_iter().next();
        let finishes = choice.as_ref().is_some_and(|choice| choice.finish_reason.is_some());
        let text = choice
            .and_then(|choice| choice.text.or_else(|| choice.delta.and_then(|d| d.content)))
            .unwrap_or_default();
        let offset = id.parse().ok();
        Ok(Self { offset, data, text, created: view.created, finishes, usage_only })
    }

    /// Replaces the creation time by the one that the caller has already received.
    pub(crate) fn set_created(&mut self, created: u64) {
        if self.created == Some(created) {
            return;
        }
        if let Ok(Value::Object(mut chunk)) = serde_json::from_str(&self.data) {
            chunk.insert("created".to_owned(), created.into());
            self.data = Value::Object(chunk).to_string();
            self.created = Some(created);
        }
    }
}

//! One chunk of a streamed answer, as far as the relay must understand it.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

use crate::TokenOffset;

/// A chunk of a streamed answer in the OpenAI form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Tokens from the beginning of the answer up to and including this chunk, if the engine
    /// says so.
    pub offset: Option<TokenOffset>,
    /// The JSON text of the chunk.
    pub data: String,
    /// The text that the chunk adds.
    pub text: String,
    /// When the engine says the answer was created, in seconds since 1970.
    pub created: Option<u64>,
    /// Whether the chunk says why the answer ended.
    pub finishes: bool,
    /// Whether the chunk carries the usage figures and nothing else.
    pub usage_only: bool,
}

/// Stands for the text of an event whose content means nothing here.
const EVENT_TEXT: &str = ".";

/// A chunk that is not in the OpenAI form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkError(String);

impl fmt::Display for ChunkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the engine sent a chunk that can't be read: {}", self.0)
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
    /// A numbered event whose content means nothing here. It stands for one token, since it must
    /// reach the caller once like a token.
    pub fn event(number: Option<TokenOffset>, data: String) -> Self {
        Self {
            offset: number,
            data,
            text: EVENT_TEXT.to_owned(),
            created: None,
            finishes: false,
            usage_only: false,
        }
    }

    /// Reads the `data` of one server-sent event; `id` is the event's id, the token offset.
    ///
    /// # Errors
    ///
    /// [`ChunkError`] if `data` is not a chunk in the OpenAI form.
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

    /// Gives the chunk the creation time that the caller has seen already.
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

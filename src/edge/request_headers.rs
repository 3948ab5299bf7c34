//! Decoded headers of callers' requests, and the headers of requests to engines.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::customers::KeyDigest;
use super::origins::Resumed;

/// Headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// Id of the caller's attempt; empty if the caller sent none.
    pub id: Arc<str>,
    /// Time for which the caller waits.
    pub time_limit: Option<Duration>,
    /// Id of the event after which the caller resumes a stream.
    pub last_event: Option<u64>,
    /// The stream that the caller takes up again.
    pub resumed: Resumed,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// Tokens of the prompt and of the response together, as the caller names them.
    pub token_count: Option<u64>,
    /// Ids of the parts of the prompt that other requests may share: all but the last, with or
    /// without a model.
    pub shared_parts: Vec<u64>,
    /// Prompt for a model; `None` for services without models.
    pub prompt: Option<Prompt>,
}

/// A prompt for a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Model.
    pub model: Arc<str>,
    /// Adapter of the model.
    pub adapter: Option<Arc<str>>,
    /// Number of tokens of the prompt.
    pub input_tokens: u32,
    /// Expected number of tokens of the response.
    pub output_tokens: u32,
    /// Parts of the prompt, in order; other requests may share all but the last.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Returns the name of the model or adapter to load: `model` or `model/adapter`.
pub fn target(model: &Arc<str>, adapter: Option<&str>) -> Arc<str> {
    match adapter {
        Some(adapter) => format!("{model}/{adapter}").into(),
        None => model.clone(),
    }
}

/// Splits the name of a target into model and adapter.
pub fn split_target(target: &str) -> (&str, Option<&str>) {
    match target.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (target, None),
    }
}

impl Prompt {
    /// Returns the name of the model or adapter to load: `model` or `model/adapter`.
    pub fn target(&self) -> Arc<str> {
        target(&self.model, self.adapter.as_deref())
    }

    /// Returns the tokens that no other request shares: those of the last part.
    pub fn own_tokens(&self) -> u32 {
        self.parts.last().map_or(self.input_tokens, |p| p.tokens)
    }

    /// Returns the key and the number of tokens of each prefix that ends with a part. The
    /// key covers model, adapter and all parts of the prefix.
    pub fn prefix_keys(&self) -> Vec<(u64, u32)> {
        let mut hash = Xxh3::new();
        hash.update(self.model.as_bytes());
        hash.update(&[0]);
        hash.update(self.adapter.as_deref().unwrap_or_default().as_bytes());
        let mut tokens = 0;
        let mut prefixes = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            hash.update(&part.id.to_le_bytes());
            tokens += part.tokens;
            prefixes.push((hash.digest(), tokens));
        }
        prefixes
    }
}

/// Values of the headers that are set on a request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineHeaders<'a> {
    /// Id of the engine that the request is sent to.
    pub engine: &'a str,
    /// Time left for the response.
    pub time_left: Duration,
    /// Id of the event after which the stream is resumed.
    pub last_event: Option<u64>,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Name of the customer whose key the caller holds.
    pub customer: Option<&'a str>,
    /// Whether the engine is not shown the caller's key.
    pub hides_key: bool,
}

//! A request as its head describes it.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// Id of this try; empty when the caller gave none.
    pub id: Arc<str>,
    /// Time that the caller waits.
    pub time_limit: Option<Duration>,
    /// Event after which the caller wants a stream to go on.
    pub last_event: Option<u64>,
    /// Prompt for a model; absent for plain services.
    pub prompt: Option<Prompt>,
}

/// A prompt for a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Model.
    pub model: Arc<str>,
    /// Adapter of that model.
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub input_tokens: u32,
    /// Tokens of the answer that are to be expected.
    pub output_tokens: u32,
    /// Parts of the prompt, in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of its content.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// Name of what must be loaded: `model` or `model/adapter`.
pub fn target(model: &Arc<str>, adapter: Option<&str>) -> Arc<str> {
    match adapter {
        Some(adapter) => format!("{model}/{adapter}").into(),
        None => model.clone(),
    }
}

impl Prompt {
    /// Name of what must be loaded: `model` or `model/adapter`.
    pub fn target(&self) -> Arc<str> {
        target(&self.model, self.adapter.as_deref())
    }

    /// For each leading run of parts, a key of it together with model and
    /// adapter, and its tokens.
    pub fn prefix_keys(&self) -> Vec<(u64, u32)> {
        let mut hash = Xxh3::new();
        hash.update(self.model.as_bytes());
        hash.update(&[0]);
        hash.update(self.adapter.as_deref().unwrap_or_default().as_bytes());
        let mut tokens = 0;
        let mut chains = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            hash.update(&part.id.to_le_bytes());
            tokens += part.tokens;
            chains.push((hash.digest(), tokens));
        }
        chains
    }
}

/// What a request is sent with to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineHeaders<'a> {
    /// Id of the engine.
    pub engine: &'a str,
    /// Time that is left.
    pub time_left: Duration,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
    /// Rank at the engine; 0 is the most urgent.
    pub priority: Option<u8>,
}

//! Prompts, and answers that follow from them.

use serde::Deserialize;
use serde_json::Value;

/// The part of an OpenAI request that the engine reads.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct CompletionRequest {
    pub model: String,
    pub messages: Vec<Value>,
    pub prompt: Value,
    pub max_tokens: Option<usize>,
    pub stop: Value,
    pub stream_options: Value,
    pub resume_from: usize,
    pub priority: i64,
}

impl CompletionRequest {
    /// All text of the request, separated by spaces.
    pub fn prompt_text(&self) -> String {
        let contents = self.messages.iter().map(|m| &m["content"]);
        let parts = contents.chain([&self.prompt]).map(content_text);
        parts.collect::<Vec<_>>().join(" ").trim().to_owned()
    }

    /// Length of the answer up to a stop sequence, bytes.
    pub fn stop_offset(&self, text: &str, limit: usize) -> Option<usize> {
        let stops = match &self.stop {
            Value::Array(stops) => stops.iter().filter_map(Value::as_str).collect(),
            stop => Vec::from_iter(stop.as_str()),
        };
        if stops.is_empty() {
            return None;
        }
        let whole = answer_tokens(text, limit).concat();
        stops.iter().filter_map(|s| whole.find(s)).min()
    }
}

/// Tokens of the endless answer to a prompt: its words in turn, each with the
/// number of its token, so that a missing, doubled or foreign token shows.
pub(super) fn endless_tokens(prompt: &str) -> impl Iterator<Item = String> {
    let words = prompt.split_whitespace().cycle();
    words.enumerate().map(|(i, word)| format!("{word}-{i} "))
}

/// The answer of `length` tokens that an engine gives to a prompt.
pub fn answer_tokens(prompt: &str, length: usize) -> Vec<String> {
    endless_tokens(prompt).take(length).collect()
}

fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(|p| content_text(&p["text"])).collect(),
        _ => String::new(),
    }
}

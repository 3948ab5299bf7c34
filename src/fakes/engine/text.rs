//! Parsing of prompts, and the completions derived from them.

use serde::Deserialize;
use serde_json::Value;

/// Fields of an OpenAI request that the engine reads.
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
    /// Returns all text of the request, separated by spaces.
    pub fn prompt_text(&self) -> String {
        let contents = self.messages.iter().map(|m| &m["content"]);
        let parts = contents.chain([&self.prompt]).map(content_text);
        parts.collect::<Vec<_>>().join(" ").trim().to_owned()
    }

    /// Returns the length of the completion up to the first stop sequence, in bytes.
    pub fn stop_offset(&self, text: &str, limit: usize) -> Option<usize> {
        let stops = match &self.stop {
            Value::Array(stops) => stops.iter().filter_map(Value::as_str).collect(),
            stop => Vec::from_iter(stop.as_str()),
        };
        if stops.is_empty() {
            return None;
        }
        let completion = answer_tokens(text, limit).concat();
        stops.iter().filter_map(|s| completion.find(s)).min()
    }
}

/// Version of the weights that tokens do not name.
const FIRST_VERSION: &str = "1";

/// Returns the tokens of an endless completion: the words of the prompt in turn, each
/// with the number of its token, so that tests detect a token that is missing,
/// repeated or from another completion.
pub(super) fn endless_tokens(prompt: &str) -> impl Iterator<Item = String> {
    let words = prompt.split_whitespace().cycle();
    words.enumerate().map(|(i, word)| format!("{word}-{i} "))
}

/// Returns a token as a version of the weights makes it.
pub(super) fn versioned_token(token: String, version: &str) -> String {
    match version {
        FIRST_VERSION => token,
        _ => format!("{}@{version} ", token.trim_end()),
    }
}

/// Returns the tokens of the completion that an engine sends for a prompt.
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

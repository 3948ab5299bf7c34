//! Prompts, and answers that follow from them.

use serde::Deserialize;
use serde_json::Value;

/// The part of an OpenAI request that the engine reads.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Ask {
    /// Model or adapter.
    pub model: String,
    /// Chat messages.
    pub messages: Vec<Value>,
    /// Prompt of a completion.
    pub prompt: Value,
    /// Most tokens of the whole answer.
    pub max_tokens: Option<usize>,
    /// Text or list of texts that end the answer.
    pub stop: Value,
    /// Options of the stream.
    pub stream_options: Value,
    /// Token at which an answer goes on that another engine began.
    pub resume_from: usize,
    /// Priority; higher first.
    pub priority: i64,
}

impl Ask {
    /// All text of the request, separated by spaces.
    pub fn text(&self) -> String {
        let contents = self.messages.iter().map(|m| &m["content"]);
        let parts = contents.chain([&self.prompt]).map(flatten);
        parts.collect::<Vec<_>>().join(" ").trim().to_owned()
    }

    /// Tokens of the whole answer, and why it ends.
    pub fn answer(&self, length: usize) -> (Vec<String>, &'static str) {
        let limit = self.max_tokens.unwrap_or(length).min(length);
        let tokens = answer(&self.text(), limit);
        let whole = tokens.concat();
        let stops = match &self.stop {
            Value::Array(stops) => stops.iter().filter_map(Value::as_str).collect(),
            stop => Vec::from_iter(stop.as_str()),
        };
        let Some(end) = stops.iter().filter_map(|s| whole.find(s)).min() else {
            let reason = if limit < length { "length" } else { "stop" };
            return (tokens, reason);
        };
        (cut(tokens, end), "stop")
    }

    /// Whether the last chunk is to carry the usage.
    pub fn usage(&self) -> bool {
        self.stream_options["include_usage"] == true
    }
}

/// The answer of `length` tokens to a prompt: its words in turn, each with the
/// number of its token, so that a missing, doubled or foreign token shows.
pub fn answer(prompt: &str, length: usize) -> Vec<String> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let word = |i: usize| words.get(i % words.len().max(1)).unwrap_or(&"empty");
    (0..length).map(|i| format!("{}-{i} ", word(i))).collect()
}

fn cut(tokens: Vec<String>, end: usize) -> Vec<String> {
    let mut kept = Vec::new();
    let mut left = end;
    for mut token in tokens {
        if left == 0 {
            break;
        }
        token.truncate(left);
        left -= token.len();
        kept.push(token);
    }
    kept
}

fn flatten(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(|p| flatten(&p["text"])).collect(),
        _ => String::new(),
    }
}

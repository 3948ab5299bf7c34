//! Requests and responses of the OpenAI API.

use std::time::Duration;

use serde_json::{Map, Value, json};

use crate::config::Name;
use crate::error::{Kind, Refusal};
use crate::router::PromptPrefix;
use crate::suspects::RequestFingerprints;

/// Maximum length of a model name, bytes.
const MAX_MODEL_NAME_BYTES: usize = 256;

/// A completion endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Endpoint {
    /// Returns the path, which is the same at the daemon and at engines.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }

    /// Returns the name of the field that carries the prompt.
    fn prompt_field(self) -> &'static str {
        match self {
            Endpoint::Chat => "messages",
            Endpoint::Text => "prompt",
        }
    }

    /// Returns the `object` field of a response that is not streamed.
    fn object_type(self) -> &'static str {
        match self {
            Endpoint::Chat => "chat.completion",
            Endpoint::Text => "text_completion",
        }
    }
}

/// A validated completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Endpoint that received it.
    pub endpoint: Endpoint,
    /// Model or adapter.
    pub model: Name,
    /// Whether the client asked for a stream.
    pub stream: bool,
    /// Whether the client asked for a usage chunk in its stream.
    pub include_usage: bool,
    /// Prefix of the prompt, for routing.
    pub prefix: PromptPrefix,
    /// Fingerprints of model and body, and of the messages.
    pub fingerprints: RequestFingerprints,
    body: Value,
}

impl CompletionRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// [`Kind::BadRequest`] that names the invalid field.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, Refusal> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|e| bad_request(format!("the body is not JSON: {e}")))?;
        let Some(body) = value.as_object() else {
            return Err(bad_request("the body is not a JSON object"));
        };
        let model = model_name(body, "model")?;
        let stream = bool_field(body, "stream")?;
        let include_usage = body
            .get("stream_options")
            .and_then(|o| o.get("include_usage"))
            .and_then(Value::as_bool)
            .unwrap_or(false);
        if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
            return Err(bad_request("n must be 1"));
        }
        check_prompt(endpoint, body)?;
        let prompt = &body[endpoint.prompt_field()];
        let fingerprints = RequestFingerprints::new(&model, &value, prompt);
        Ok(CompletionRequest {
            prefix: PromptPrefix::new(&model, &prompt.to_string()),
            endpoint,
            fingerprints,
            model,
            stream,
            include_usage,
            body: value,
        })
    }

    /// Returns the body to send to an engine, which resumes after `sent_tokens`
    /// tokens.
    pub fn upstream_body(&self, sent_tokens: u64, priority: u8) -> Vec<u8> {
        let mut body = self.body.clone();
        body["stream"] = json!(true);
        body["stream_options"] = json!({"include_usage": true});
        body["priority"] = json!(priority);
        if sent_tokens > 0 {
            body["resume_from"] = json!(sent_tokens);
        }
        body.to_string().into_bytes()
    }
}

fn bad_request(detail: impl Into<String>) -> Refusal {
    Refusal::new(Kind::BadRequest, detail)
}

fn model_name(body: &Map<String, Value>, field: &str) -> Result<Name, Refusal> {
    match body.get(field) {
        Some(Value::String(s)) if !s.is_empty() && s.len() <= MAX_MODEL_NAME_BYTES => {
            Ok(s.as_str().into())
        }
        Some(_) => Err(bad_request(format!(
            "{field} must be a string of 1 to {MAX_MODEL_NAME_BYTES} bytes"
        ))),
        None => Err(bad_request(format!("{field} is missing"))),
    }
}

fn bool_field(body: &Map<String, Value>, field: &str) -> Result<bool, Refusal> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(bad_request(format!("{field} must be true or false"))),
    }
}

fn check_prompt(endpoint: Endpoint, body: &Map<String, Value>) -> Result<(), Refusal> {
    let field = endpoint.prompt_field();
    let is_valid = match (endpoint, body.get(field)) {
        (Endpoint::Chat, Some(Value::Array(messages))) => {
            !messages.is_empty() && messages.iter().all(|m| m.get("role").is_some())
        }
        (Endpoint::Text, Some(Value::String(_))) => true,
        _ => false,
    };
    if is_valid {
        return Ok(());
    }
    Err(bad_request(match endpoint {
        Endpoint::Chat => "messages must be a list of messages with a role",
        Endpoint::Text => "prompt must be a string",
    }))
}

/// Returns the time left according to an `X-Deadline-Ms` header, or `fallback`
/// without one.
///
/// # Errors
///
/// [`Kind::BadRequest`] if the header is not an integer,
/// [`Kind::DeadlinePast`] if it is below 1 ms.
pub fn time_to_deadline(header: Option<&str>, fallback: Duration) -> Result<Duration, Refusal> {
    let Some(header) = header else {
        return Ok(fallback);
    };
    let ms: i64 = header
        .trim()
        .parse()
        .map_err(|_| bad_request(format!("X-Deadline-Ms is not a whole number: {header:?}")))?;
    if ms < 1 {
        let detail = format!("X-Deadline-Ms is {ms}");
        return Err(Refusal::new(Kind::DeadlinePast, detail));
    }
    Ok(Duration::from_millis(ms.unsigned_abs()))
}

/// Content of one streamed chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkKind {
    /// Generated text.
    Token,
    /// Token usage, without a choice.
    Usage,
    /// Anything else, such as a role or a finish reason.
    Other,
}

/// Classifies a chunk without parsing it into a full JSON tree.
pub fn chunk_kind(data: &str) -> ChunkKind {
    #[derive(serde::Deserialize)]
    struct Chunk<'a> {
        #[serde(borrow, default)]
        choices: Vec<Choice<'a>>,
    }
    #[derive(serde::Deserialize)]
    struct Choice<'a> {
        #[serde(borrow, default)]
        delta: Option<Delta<'a>>,
        #[serde(borrow, default)]
        text: Option<std::borrow::Cow<'a, str>>,
    }
    #[derive(serde::Deserialize)]
    struct Delta<'a> {
        #[serde(borrow, default)]
        content: Option<std::borrow::Cow<'a, str>>,
    }
    let Ok(chunk) = serde_json::from_str::<Chunk<'_>>(data) else {
        return ChunkKind::Other;
    };
    let Some(choice) = chunk.choices.first() else {
        return ChunkKind::Usage;
    };
    let delta = choice.delta.as_ref().and_then(|d| d.content.as_deref());
    match delta.or(choice.text.as_deref()) {
        Some(text) if !text.is_empty() => ChunkKind::Token,
        _ => ChunkKind::Other,
    }
}

/// Collects the chunks of a stream into one response body.
#[derive(Debug)]
pub struct ResponseCollector {
    endpoint: Endpoint,
    model: Name,
    text: String,
    finish_reason: Value,
    usage: Value,
    created: Value,
}

impl ResponseCollector {
    /// Creates an empty response of `model`.
    pub fn new(endpoint: Endpoint, model: &Name) -> Self {
        ResponseCollector {
            endpoint,
            model: Name::clone(model),
            text: String::new(),
            finish_reason: Value::Null,
            usage: Value::Null,
            created: json!(0),
        }
    }

    /// Adds one chunk; ignores one that is not JSON.
    pub fn add(&mut self, data: &str) {
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            return;
        };
        if let Some(created) = chunk.get("created") {
            self.created = created.clone();
        }
        if let Some(usage) = chunk.get("usage").filter(|u| u.is_object()) {
            self.usage = usage.clone();
        }
        let choice = &chunk["choices"][0];
        let content = match self.endpoint {
            Endpoint::Chat => &choice["delta"]["content"],
            Endpoint::Text => &choice["text"],
        };
        self.text.push_str(content.as_str().unwrap_or_default());
        if choice["finish_reason"].is_string() {
            self.finish_reason = choice["finish_reason"].clone();
        }
    }

    /// Returns the response body.
    pub fn into_response(self, id: &str) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish_reason,
            }),
            Endpoint::Text => json!({
                "index": 0,
                "text": self.text,
                "finish_reason": self.finish_reason,
            }),
        };
        json!({
            "id": id,
            "object": self.endpoint.object_type(),
            "created": self.created,
            "model": &*self.model,
            "choices": [choice],
            "usage": self.usage,
        })
    }
}

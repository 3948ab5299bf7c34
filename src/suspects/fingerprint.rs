//! Fingerprints of requests.

use std::fmt::Write;
use std::sync::Arc;

use serde_json::Value;
use sha2::{Digest, Sha256};

/// Fingerprint of a request: SHA-256 of model and canonical body, hex.
pub type Fingerprint = Arc<str>;

/// Prefix of the fingerprints of messages.
pub(super) const MESSAGE_PREFIX: &str = "message-";
/// Number of messages of a request that get fingerprints, the last ones.
const MAX_MESSAGES: usize = 64;
/// Fields that change how the answer is delivered, not what the engine runs.
const DELIVERY_FIELDS: [&str; 3] = ["stream", "stream_options", "user"];

/// Fingerprints of a request, and of what it may have in common with others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// Of the whole request.
    pub request: Fingerprint,
    /// Of each message of its prompt.
    pub messages: Vec<Fingerprint>,
}

impl RequestFingerprints {
    /// Returns the fingerprints of a request with this prompt: a list of messages or a text.
    pub fn new(model: &str, body: &Value, prompt: &Value) -> Self {
        let messages = match prompt {
            Value::Array(messages) => messages.as_slice(),
            text => std::slice::from_ref(text),
        };
        let last = &messages[messages.len().saturating_sub(MAX_MESSAGES)..];
        let messages = last.iter().map(|message| {
            let fingerprint = fingerprint(model, message);
            format!("{MESSAGE_PREFIX}{fingerprint}").into()
        });
        RequestFingerprints {
            request: fingerprint(model, body),
            messages: messages.collect(),
        }
    }
}

/// Returns the fingerprint of a request. The order of fields, white space and
/// fields that only concern delivery do not change it.
pub fn fingerprint(model: &str, body: &Value) -> Fingerprint {
    let mut hash = Sha256::new_with_prefix(model);
    hash.update([0]);
    match body {
        Value::Object(fields) => {
            let kept = fields.iter();
            let kept = kept.filter(|(name, _)| !DELIVERY_FIELDS.contains(&name.as_str()));
            hash_fields(kept, &mut hash);
        }
        other => hash_value(other, &mut hash),
    }
    hex(&hash.finalize())
}

fn hash_fields<'a>(fields: impl Iterator<Item = (&'a String, &'a Value)>, hash: &mut Sha256) {
    let mut fields: Vec<_> = fields.collect();
    fields.sort_by_key(|(name, _)| *name);
    hash.update(b"{");
    for (name, value) in fields {
        hash_text(name, hash);
        hash_value(value, hash);
    }
    hash.update(b"}");
}

fn hash_value(value: &Value, hash: &mut Sha256) {
    match value {
        Value::Object(fields) => hash_fields(fields.iter(), hash),
        Value::Array(items) => {
            hash.update(b"[");
            for item in items {
                hash_value(item, hash);
            }
            hash.update(b"]");
        }
        Value::String(text) => hash_text(text, hash),
        scalar => {
            hash.update(scalar.to_string());
            hash.update(b",");
        }
    }
}

/// Hashes the length before the text, so that no two lists of values hash the
/// same bytes.
fn hash_text(text: &str, hash: &mut Sha256) {
    hash.update(b"\"");
    hash.update(text.len().to_be_bytes());
    hash.update(text);
}

fn hex(bytes: &[u8]) -> Fingerprint {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn fingerprint_depends_only_on_model_and_content() {
        let plain = fingerprint("m", &json!({"a": 1, "b": [true, null]}));
        let streamed = fingerprint("m", &json!({"stream": true, "b": [true, null], "a": 1}));
        assert_eq!(plain, streamed);
        assert_eq!(plain.len(), 64);
        assert_ne!(plain, fingerprint("n", &json!({"a": 1, "b": [true, null]})));
        assert_ne!(plain, fingerprint("m", &json!({"a": 1, "b": [true]})));
        let (one, two) = (json!(["ab", "c"]), json!(["a", "bc"]));
        assert_ne!(fingerprint("m", &one), fingerprint("m", &two));
    }
}

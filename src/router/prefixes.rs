//! Engine instances that recently processed a prompt prefix.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::config::Name;

/// Length of the prompt prefix that is compared, bytes.
const PREFIX_BYTES: usize = 256;
/// Bytes per token, for estimates of prefix lengths.
const TOKEN_BYTES: usize = 4;
/// Maximum number of prefixes in the index; a full index is cleared.
const MAX_PREFIXES: usize = 4_096;

/// Engine instances by the prefix of the prompts that this daemon sent to them.
///
/// An engine's own cache events arrive late and incomplete, so the index uses
/// only what was sent. A wrong entry adds some latency but does not change
/// the result.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    instances: HashMap<u64, Name>,
}

/// Hash of a prompt prefix and its estimated length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    hash: u64,
    /// Estimated length, tokens.
    pub tokens: u32,
}

impl PromptPrefix {
    /// Returns the prefix of `prompt` for `model`.
    pub fn new(model: &str, prompt: &str) -> Self {
        let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let mut hasher = DefaultHasher::new();
        model.hash(&mut hasher);
        start.hash(&mut hasher);
        PromptPrefix {
            hash: hasher.finish(),
            tokens: u32::try_from(start.len() / TOKEN_BYTES).unwrap_or(0),
        }
    }
}

impl PrefixIndex {
    /// Returns the number of prompt tokens that `instance` has probably cached.
    pub fn cached_tokens(&self, prefix: PromptPrefix, instance: &Name) -> u32 {
        match self.instances.get(&prefix.hash) {
            Some(known) if known == instance => prefix.tokens,
            _ => 0,
        }
    }

    /// Records that a prompt is sent to `instance`.
    pub fn record_sent(&mut self, prefix: PromptPrefix, instance: &Name) {
        if self.instances.len() >= MAX_PREFIXES {
            self.instances.clear();
        }
        self.instances.insert(prefix.hash, instance.clone());
    }
}

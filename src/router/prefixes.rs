//! Engines that computed the start of a prompt lately.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::config::Name;

/// Length of the start of a prompt that counts, bytes.
const PREFIX_BYTES: usize = 256;
/// Bytes of a token, for an estimate of lengths.
const TOKEN_BYTES: usize = 4;
/// Most starts of prompts that are remembered.
const MAX_PREFIXES: usize = 4_096;

/// Engine instances by the start of the prompts that this daemon sent there.
///
/// An engine's own cache events come late and with gaps; what was sent there
/// needs no event. A wrong entry costs a little time, never an answer.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    instances: HashMap<u64, Name>,
}

/// The start of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    hash: u64,
    /// Estimated length, tokens.
    pub tokens: u32,
}

impl PromptPrefix {
    /// The start of `prompt` for `model`.
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
    /// Tokens of the prompt that `instance` has probably cached.
    pub fn cached_tokens(&self, prefix: PromptPrefix, instance: &Name) -> u32 {
        match self.instances.get(&prefix.hash) {
            Some(known) if known == instance => prefix.tokens,
            _ => 0,
        }
    }

    /// Notes that a prompt goes to `instance`.
    pub fn record_sent(&mut self, prefix: PromptPrefix, instance: &Name) {
        if self.instances.len() >= MAX_PREFIXES {
            self.instances.clear();
        }
        self.instances.insert(prefix.hash, instance.clone());
    }
}

//! Estimates which prompt prefixes an engine has cached.
//!
//! An engine's memory holds prompts and responses, and evicts the least recently used
//! parts. A part thus stays cached until the engine has read about as many further
//! tokens as its memory holds.

use std::collections::HashMap;

/// Share of an engine's memory that cached parts fill; running requests take the rest.
const CACHE_SHARE: f64 = 0.7;
/// Maximum number of prefixes tracked for one engine.
const MAX_PREFIXES: usize = 1_024;

/// Prompt prefixes that one engine has read, by key.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Number of tokens read since the engine's start, as far as is known.
    tokens_read: u64,
    /// Value of `tokens_read` when each prefix was last used.
    last_used: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Returns the number of tokens at the start of a prompt that the engine has cached;
    /// `memory` is the capacity of its cache, tokens.
    pub fn cached_tokens(&self, prefixes: &[(u64, u32)], memory: u64) -> u32 {
        let max_age = (memory as f64 * CACHE_SHARE) as u64;
        let mut cached = 0;
        for (key, tokens) in prefixes {
            let last_used = self.last_used.get(key);
            if last_used.is_none_or(|at| self.tokens_read - at > max_age) {
                break;
            }
            cached = *tokens;
        }
        cached
    }

    /// Records a prompt of which the engine read `uncached` tokens.
    pub fn record(&mut self, prefix_keys: impl IntoIterator<Item = u64>, uncached: u32) {
        self.tokens_read += u64::from(uncached);
        for key in prefix_keys {
            self.last_used.insert(key, self.tokens_read);
        }
        if self.last_used.len() > MAX_PREFIXES {
            let mut used: Vec<u64> = self.last_used.values().copied().collect();
            let (_, median, _) = used.select_nth_unstable(MAX_PREFIXES / 2);
            let median = *median;
            self.last_used.retain(|_, at| *at > median);
        }
    }
}

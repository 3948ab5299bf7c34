//! Which prompt parts an engine is likely to keep.
//!
//! An engine's memory holds prompts and answers, and the parts used least
//! lately yield. A part is thus kept until the engine has read about as many
//! tokens since as its memory holds.

use std::collections::HashMap;

/// Part of an engine's memory that read parts fill; requests that run take the
/// rest.
const PART: f64 = 0.7;
/// Parts remembered for one engine.
const MOST: usize = 1_024;

/// Prompt parts that one engine has read, by the key of their chain.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Tokens read since the engine's start, as far as is known.
    read: u64,
    /// What `read` was when a chain was last used.
    chains: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Tokens at the start of a prompt that the engine need not read again;
    /// `memory` is what it holds, tokens.
    pub fn cached_tokens(&self, chains: &[(u64, u32)], memory: u64) -> u32 {
        let span = (memory as f64 * PART) as u64;
        let mut kept = 0;
        for (key, tokens) in chains {
            let used = self.chains.get(key);
            if used.is_none_or(|at| self.read - at > span) {
                break;
            }
            kept = *tokens;
        }
        kept
    }

    /// Notes a prompt of which `fresh` tokens were read there.
    pub fn record(&mut self, chains: impl IntoIterator<Item = u64>, fresh: u32) {
        self.read += u64::from(fresh);
        for key in chains {
            self.chains.insert(key, self.read);
        }
        if self.chains.len() > MOST {
            let mut used: Vec<u64> = self.chains.values().copied().collect();
            let (_, middle, _) = used.select_nth_unstable(MOST / 2);
            let middle = *middle;
            self.chains.retain(|_, at| *at > middle);
        }
    }
}

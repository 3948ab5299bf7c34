//! Which prompt parts an engine is likely to keep.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Moment;

/// Parts remembered for one engine.
const MOST: usize = 512;
/// Age at which a part is taken as yielded to others.
const AGE: Duration = Duration::from_secs(40);

/// Prompt parts sent to one engine, by the key of their chain.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    chains: HashMap<u64, Moment>,
}

impl Kept {
    /// Tokens at the start of a prompt that the engine need not read again.
    pub fn tokens(&self, chains: &[(u64, u32)], now: Moment) -> u32 {
        let mut kept = 0;
        for (key, tokens) in chains {
            let fresh = self
                .chains
                .get(key)
                .is_some_and(|at| now.saturating_sub(*at) < AGE);
            if !fresh {
                break;
            }
            kept = *tokens;
        }
        kept
    }

    /// Notes that a prompt was read there.
    pub fn note(&mut self, chains: &[(u64, u32)], now: Moment) {
        for (key, _) in chains {
            self.chains.insert(*key, now);
        }
        if self.chains.len() > MOST {
            self.chains
                .retain(|_, at| now.saturating_sub(*at) < AGE / 2);
        }
        if self.chains.len() > MOST {
            self.chains.clear();
        }
    }
}

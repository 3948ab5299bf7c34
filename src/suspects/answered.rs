//! Messages that engines have answered.

use std::collections::HashSet;

use super::Fingerprint;

/// Number of messages after which those of the generation before are forgotten.
const GENERATION_MESSAGES: usize = 4_096;

/// The last messages that engines have answered, in two generations.
#[derive(Clone, Debug, Default)]
pub struct AnsweredMessages {
    recent: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
}

impl AnsweredMessages {
    /// Records a message that was answered.
    pub fn record(&mut self, message: &Fingerprint) {
        if self.recent.contains(message) {
            return;
        }
        if self.recent.len() >= GENERATION_MESSAGES {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(message.clone());
    }

    /// Returns whether a message was answered lately.
    pub fn contains(&self, message: &str) -> bool {
        self.recent.contains(message) || self.older.contains(message)
    }
}

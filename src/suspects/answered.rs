//! Messages that engines have answered.

use std::collections::HashMap;

use super::Fingerprint;
use crate::clock::Moment;

/// Number of messages after which those of the generation before are forgotten.
const GENERATION_MESSAGES: usize = 4_096;

/// When engines last answered messages, in two generations.
#[derive(Clone, Debug, Default)]
pub struct AnsweredMessages {
    recent: HashMap<Fingerprint, Moment>,
    older: HashMap<Fingerprint, Moment>,
}

impl AnsweredMessages {
    /// Records a message that was answered.
    pub fn record(&mut self, message: &Fingerprint, now: Moment) {
        if let Some(at) = self.recent.get_mut(message) {
            *at = now;
            return;
        }
        if self.recent.len() >= GENERATION_MESSAGES {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(message.clone(), now);
    }

    /// Returns when a message was last answered, if that was lately.
    pub fn last(&self, message: &str) -> Option<Moment> {
        let recent = self.recent.get(message);
        recent.or_else(|| self.older.get(message)).copied()
    }
}

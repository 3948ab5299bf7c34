//! Looks up the status of an attempt on the host that runs it.

use std::sync::Arc;
use std::time::Duration;

use super::attempt_store::AttemptStore;
use super::{AttemptStatus, CallPeers, CallSettings};
use crate::config::Name;
use crate::protocol::calls::{Attempt, CallRecord, CallState};

/// Looks up attempts in the memory of this host or of a peer.
pub struct AttemptLookup<P> {
    peers: Arc<P>,
    attempts: Arc<AttemptStore>,
    host: Name,
    incarnation: u64,
    timeout: Duration,
}

impl<P: CallPeers> AttemptLookup<P> {
    /// Creates a lookup for the host that `settings` name.
    pub fn new(peers: Arc<P>, attempts: Arc<AttemptStore>, settings: &CallSettings) -> Self {
        AttemptLookup {
            peers,
            attempts,
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            timeout: settings.query_timeout,
        }
    }

    /// Returns the status of `attempt` from the host that runs it; waits at most
    /// `remaining`.
    pub fn status(
        &self,
        record_key: &str,
        attempt: &Attempt,
        remaining: Duration,
    ) -> AttemptStatus {
        if attempt.host != self.host {
            return self
                .peers
                .query_attempt(record_key, attempt, remaining.min(self.timeout));
        }
        match attempt.incarnation == self.incarnation {
            true => self.local_status(record_key, &attempt.id),
            false => AttemptStatus::IncarnationEnded,
        }
    }

    /// Returns a record of the call that any peer holds; waits at most `remaining`.
    pub fn find_record(&self, record_key: &str, remaining: Duration) -> Option<CallRecord> {
        self.peers
            .find_record(record_key, remaining.min(self.timeout))
    }

    /// Returns the status of an attempt on this host; an empty id stands for any
    /// attempt of the call.
    pub fn local_status(&self, record_key: &str, attempt: &str) -> AttemptStatus {
        let record = match attempt.is_empty() {
            true => self.attempts.best_record(record_key),
            false => self.attempts.get(attempt),
        };
        match record {
            None => AttemptStatus::NotHeld,
            Some(record) if record.state == CallState::Started => AttemptStatus::Running,
            Some(record) => AttemptStatus::Known(record),
        }
    }
}

//! Questions to the host that makes an attempt, this one included.

use std::sync::Arc;
use std::time::Duration;

use super::attempt_store::Held;
use super::{AttemptStatus, CallPeers, CallSettings};
use crate::config::Name;
use crate::protocol::calls::{Attempt, CallRecord, CallState};

/// Asks this host's memory or a peer.
pub struct Asker<P> {
    peers: Arc<P>,
    held: Arc<Held>,
    host: Name,
    incarnation: u64,
    wait: Duration,
}

impl<P: CallPeers> Asker<P> {
    /// An asker of the host that `settings` name.
    pub fn new(peers: Arc<P>, held: Arc<Held>, settings: &CallSettings) -> Self {
        Asker {
            peers,
            held,
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            wait: settings.query_timeout,
        }
    }

    /// What the host that makes `attempt` tells within `left`.
    pub fn ask(&self, item: &str, attempt: &Attempt, left: Duration) -> AttemptStatus {
        if attempt.host != self.host {
            return self.peers.query_attempt(item, attempt, left.min(self.wait));
        }
        match attempt.incarnation == self.incarnation {
            true => self.tell(item, &attempt.id),
            false => AttemptStatus::IncarnationEnded,
        }
    }

    /// What any peer holds of the call.
    pub fn find(&self, item: &str, left: Duration) -> Option<CallRecord> {
        self.peers.find_record(item, left.min(self.wait))
    }

    /// What this host holds of an attempt, or with an empty id of the call.
    pub fn tell(&self, item: &str, attempt: &str) -> AttemptStatus {
        let record = match attempt.is_empty() {
            true => self.held.find(item),
            false => self.held.get(attempt),
        };
        match record {
            None => AttemptStatus::NotHeld,
            Some(record) if record.state == CallState::Started => AttemptStatus::Running,
            Some(record) => AttemptStatus::Known(record),
        }
    }
}

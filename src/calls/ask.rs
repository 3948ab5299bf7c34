//! Questions to the host that makes an attempt, this one included.

use std::sync::Arc;
use std::time::Duration;

use super::held::Held;
use super::{CallSettings, Peers, Told};
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

impl<P: Peers> Asker<P> {
    /// An asker of the host that `settings` name.
    pub fn new(peers: Arc<P>, held: Arc<Held>, settings: &CallSettings) -> Self {
        Asker {
            peers,
            held,
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            wait: settings.ask,
        }
    }

    /// What the host that makes `attempt` tells within `left`.
    pub fn ask(&self, item: &str, attempt: &Attempt, left: Duration) -> Told {
        if attempt.host != self.host {
            return self.peers.ask(item, attempt, left.min(self.wait));
        }
        match attempt.incarnation == self.incarnation {
            true => self.tell(item, &attempt.id),
            false => Told::Gone,
        }
    }

    /// What any peer holds of the call.
    pub fn find(&self, item: &str, left: Duration) -> Option<CallRecord> {
        self.peers.find(item, left.min(self.wait))
    }

    /// What this host holds of an attempt, or with an empty id of the call.
    pub fn tell(&self, item: &str, attempt: &str) -> Told {
        let record = match attempt.is_empty() {
            true => self.held.find(item),
            false => self.held.get(attempt),
        };
        match record {
            None => Told::Forgotten,
            Some(record) if record.state == CallState::Started => Told::Running,
            Some(record) => Told::Record(record),
        }
    }
}

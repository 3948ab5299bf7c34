//! View of the control state that is published to traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::members::{EntryHost, heartbeat_period};

use super::{Control, Effect};

/// View of the control state that is published to traffic threads.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// Configuration version; 0 before the first one arrives.
    pub version: u64,
    /// Configuration.
    pub config: Arc<Config>,
    /// Names of callers by the SHA-256 of their keys, hex.
    pub callers: Arc<HashMap<Name, Name>>,
    /// Daemons that callers may use.
    pub entry_hosts: Vec<EntryHost>,
    /// Moment after which [`ControlView::entry_hosts`] is too old to be returned.
    pub entry_until: Moment,
    /// Whether this daemon is leaving and accepts no new callers.
    pub leaving: bool,
    /// Number of live daemons, including this one.
    pub alive_count: usize,
    /// Last known incarnations of all hosts.
    pub incarnations: BTreeMap<Name, u64>,
}

impl Control {
    fn incarnations(&self) -> BTreeMap<Name, u64> {
        let mut incarnations = BTreeMap::new();
        for host in self.members.known_hosts() {
            if let Some(incarnation) = self.members.incarnation(host) {
                incarnations.insert(host.clone(), incarnation);
            }
        }
        incarnations
    }

    /// Publishes a new view.
    pub(super) fn publish(&mut self, now: Moment) {
        let mut callers = HashMap::new();
        for (name, caller) in &self.config.callers {
            callers.insert(caller.key_sha256.clone(), name.clone());
        }
        let period = heartbeat_period(self.members.known_hosts().count());
        // After a pause, heartbeats of the other daemons must arrive first.
        let is_current = self
            .resumed_at
            .is_none_or(|resumed| now.saturating_sub(resumed) >= period * 2);
        let ready = self.config_version > 0 && is_current;
        let entry_hosts = match ready {
            true => self.members.entry_hosts(now),
            false => Vec::new(),
        };
        let view = ControlView {
            version: self.config_version,
            config: self.config.clone(),
            callers: Arc::new(callers),
            entry_hosts,
            entry_until: now + period * 2,
            leaving: self.leaving,
            alive_count: self.members.alive_hosts(now).len(),
            incarnations: self.incarnations(),
        };
        self.effects.push(Effect::Publish(view));
    }
}

//! What traffic threads see of the control state.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::members::{EntryHost, heartbeat_period};

use super::{Act, Control};

/// What traffic threads see of the control state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration version; 0 before the first.
    pub version: u64,
    /// Configuration.
    pub config: Arc<Config>,
    /// Names of callers by the SHA-256 of their keys, hex.
    pub callers: Arc<HashMap<Name, Name>>,
    /// Daemons that callers may use.
    pub entry: Vec<EntryHost>,
    /// Moment after which [`View::entry`] is too old to be told.
    pub until: Moment,
    /// This daemon takes no new callers.
    pub leaving: bool,
    /// Live daemons, this one included.
    pub alive: usize,
    /// Last known incarnations of all hosts.
    pub runs: BTreeMap<Name, u64>,
}

impl Control {
    fn runs(&self) -> BTreeMap<Name, u64> {
        let mut runs = BTreeMap::new();
        for host in self.members.known_hosts() {
            if let Some(incarnation) = self.members.incarnation(host) {
                runs.insert(host.clone(), incarnation);
            }
        }
        runs
    }

    /// Publishes the view.
    pub(super) fn publish(&mut self, now: Moment) {
        let mut callers = HashMap::new();
        for (name, caller) in &self.config.callers {
            callers.insert(caller.key_sha256.clone(), name.clone());
        }
        let period = heartbeat_period(self.members.known_hosts().count());
        // After a pause the others have to be heard from first.
        let awake = self
            .woke
            .is_none_or(|woke| now.saturating_sub(woke) >= period * 2);
        let ready = self.version > 0 && awake;
        let entry = match ready {
            true => self.members.entry_hosts(now),
            false => Vec::new(),
        };
        let view = View {
            version: self.version,
            config: self.config.clone(),
            callers: Arc::new(callers),
            entry,
            until: now + period * 2,
            leaving: self.leaving,
            alive: self.members.alive_hosts(now).len(),
            runs: self.runs(),
        };
        self.acts.push(Act::Publish(view));
    }
}

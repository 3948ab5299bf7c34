//! The platform's host list, with stale reads sorted out.

use std::collections::BTreeMap;

use crate::config::Name;
use crate::outside::{HostEntry, HostState, Hosts};

/// What the list last said of a host.
#[derive(Clone, Copy, Debug)]
struct ListedHost {
    state: HostState,
    revision: u64,
}

/// The newest known state of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    revision: Option<u64>,
    entries: BTreeMap<Name, ListedHost>,
}

impl HostList {
    /// Takes in a list. A list of an older revision is ignored, and so is an
    /// entry that is older than the one known.
    pub fn update(&mut self, hosts: &Hosts) {
        if self.revision.is_some_and(|known| hosts.revision < known) {
            return;
        }
        self.revision = Some(hosts.revision);
        let mut entries = BTreeMap::new();
        for host in &hosts.hosts {
            let read = ListedHost {
                state: host.state,
                revision: host.revision,
            };
            let known = self.entries.get(&host.name);
            let entry = known.map_or(read, |known| newer_entry(*known, read));
            entries.insert(host.name.clone(), entry);
        }
        self.entries = entries;
    }

    /// The newest known state, as one list.
    pub fn hosts(&self) -> Hosts {
        let mut hosts = Hosts {
            revision: self.revision.unwrap_or(0),
            ..Hosts::default()
        };
        for (name, entry) in &self.entries {
            hosts.hosts.push(HostEntry {
                name: name.clone(),
                state: entry.state,
                revision: entry.revision,
            });
        }
        hosts
    }

    /// Whether any list was read.
    pub fn is_known(&self) -> bool {
        self.revision.is_some()
    }

    /// Whether the host is listed.
    pub fn contains(&self, host: &str) -> bool {
        self.entries.contains_key(host)
    }

    /// Whether the host is listed as leaving.
    pub fn is_leaving(&self, host: &str) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|e| e.state == HostState::Leaving)
    }
}

/// The later entry; of two of one revision, the one that says leaving.
fn newer_entry(known: ListedHost, read: ListedHost) -> ListedHost {
    let leaving = read.state == HostState::Leaving;
    if read.revision > known.revision || (read.revision == known.revision && leaving) {
        return read;
    }
    known
}

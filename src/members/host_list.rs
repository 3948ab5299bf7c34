//! The platform's host list, without stale reads.

use std::collections::BTreeMap;

use crate::config::Name;
use crate::outside::{HostEntry, HostState, Hosts};

/// Newest known list entry of a host.
#[derive(Clone, Copy, Debug)]
struct ListedHost {
    state: HostState,
    revision: u64,
}

/// Newest known state of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    revision: Option<u64>,
    entries: BTreeMap<Name, ListedHost>,
}

impl HostList {
    /// Merges a list. A list of an older revision is ignored, and so is an entry
    /// that is older than the known one.
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

    /// Returns the newest known state as one list.
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

    /// Returns whether any list was read.
    pub fn is_known(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns whether the host is listed.
    pub fn contains(&self, host: &str) -> bool {
        self.entries.contains_key(host)
    }

    /// Returns whether the host is listed as leaving.
    pub fn is_leaving(&self, host: &str) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|e| e.state == HostState::Leaving)
    }
}

/// Returns the later entry; of two with the same revision, the leaving one.
fn newer_entry(known: ListedHost, read: ListedHost) -> ListedHost {
    let leaving = read.state == HostState::Leaving;
    if read.revision > known.revision || (read.revision == known.revision && leaving) {
        return read;
    }
    known
}

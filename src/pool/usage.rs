//! Requests that each daemon has in progress or queued at the pool.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::Usage;

use super::Pool;

/// Time for which the requests of a departed daemon may continue: it may have lost only its links
/// and still serve.
const DEPARTURE_GRACE: Duration = Duration::from_secs(10);

/// Usage of the pool by one daemon.
#[derive(Debug, Default)]
pub(super) struct HostUsage {
    /// Epoch of the last pool state that it acknowledged.
    epoch: u64,
    /// Sequence number of that state.
    seq: u64,
    /// Requests in progress by model and engine.
    running: HashMap<(Name, Name), u32>,
    /// Requests that wait for a slot, by model.
    queued: HashMap<Name, u32>,
}

impl Pool {
    /// Records the usage reported by the daemon of `host`.
    pub fn record_usage(&mut self, host: &Name, usage: &Usage, now: Moment) {
        let host_usage = self.usage.entry(host.clone()).or_default();
        *host_usage = HostUsage {
            epoch: usage.epoch,
            seq: usage.seq,
            ..HostUsage::default()
        };
        for replica_usage in &usage.uses {
            let model = Name::from(replica_usage.model.as_str());
            // Arrivals of one report are a burst: the gaps within it are not recorded.
            if replica_usage.arrived > 0 {
                self.histories
                    .entry(model.clone())
                    .or_default()
                    .record_arrival(now);
            }
            if replica_usage.running == 0 {
                continue;
            }
            if replica_usage.engine.is_empty() {
                *host_usage.queued.entry(model).or_default() += replica_usage.running;
                continue;
            }
            let key = (model, Name::from(replica_usage.engine.as_str()));
            *host_usage.running.entry(key).or_default() += replica_usage.running;
        }
        for engine in &usage.failed {
            if let Some(state) = self.engines.get_mut(engine.as_str()) {
                state.poll_now();
            }
        }
        self.update_idle_since(now);
    }

    /// Records hosts that may have requests at engines since before the claim, present or not.
    pub fn record_known_hosts(&mut self, hosts: impl IntoIterator<Item = Name>) {
        self.hosts.extend(hosts);
    }

    /// Records the hosts that are present; the requests of others may continue for a while.
    pub(super) fn update_hosts(&mut self, hosts: &[Name], now: Moment) {
        for host in std::mem::replace(&mut self.hosts, hosts.to_vec()) {
            if !hosts.contains(&host) {
                self.departed.insert(host, now);
            }
        }
        self.usage.retain(|host, _| hosts.contains(host));
        self.departed
            .retain(|host, at| !hosts.contains(host) && now.saturating_sub(*at) < DEPARTURE_GRACE);
    }

    /// Returns whether a report of the engine rules out requests of recently departed daemons.
    pub(super) fn no_departed_requests(&self, engine: &Name) -> bool {
        let Some(last) = self.departed.values().max() else {
            return true;
        };
        self.engines
            .get(engine)
            .is_some_and(|state| state.was_idle_after(*last))
    }

    /// Sets the start of the idle time of all replicas in use to `now`.
    fn update_idle_since(&mut self, now: Moment) {
        for host_usage in self.usage.values() {
            for (model, engine) in host_usage.running.keys() {
                let state = self.engines.get_mut(engine);
                let replica = state.and_then(|s| s.replicas.get_mut(model));
                if let Some(replica) = replica {
                    replica.idle_since = now;
                }
            }
        }
    }

    /// Returns the number of requests in progress at one replica, over all daemons.
    pub(super) fn running_requests(&self, model: &Name, engine: &Name) -> u32 {
        let key = (model.clone(), engine.clone());
        self.usage
            .values()
            .filter_map(|host_usage| host_usage.running.get(&key))
            .sum()
    }

    /// Returns the models whose requests wait for a slot at entry hosts.
    pub(super) fn queued_models(&self) -> BTreeSet<Name> {
        let waiting = self
            .usage
            .values()
            .flat_map(|host_usage| host_usage.queued.keys());
        waiting.cloned().collect()
    }

    /// Returns the number of requests that wait for a slot of `model` at entry hosts.
    pub(super) fn queued_requests(&self, model: &Name) -> u32 {
        self.usage
            .values()
            .filter_map(|host_usage| host_usage.queued.get(model))
            .sum()
    }

    /// Returns whether every present daemon has acknowledged the pool state `seq`.
    pub(super) fn all_acknowledged(&self, seq: u64) -> bool {
        self.hosts.iter().all(|host| self.acknowledged(host, seq))
    }

    /// Returns whether the daemon of `host` has acknowledged the pool state `seq`.
    pub(super) fn acknowledged(&self, host: &Name, seq: u64) -> bool {
        let host_usage = self.usage.get(host);
        host_usage.is_some_and(|u| u.epoch == self.epoch && u.seq >= seq)
    }
}

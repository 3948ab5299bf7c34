//! What each daemon uses of the pool.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::Usage;

use super::Pool;

/// Time for which the requests of a daemon that departed may go on: it may
/// have lost its links and still serve.
const DEPARTURE_GRACE: Duration = Duration::from_secs(10);

/// Use of the pool by one daemon.
#[derive(Debug, Default)]
pub(super) struct HostUsage {
    /// Epoch of the pool state that it saw last.
    epoch: u64,
    /// Number of that state.
    seq: u64,
    /// Requests in progress by model and engine.
    running: HashMap<(Name, Name), u32>,
    /// Requests that wait for a slot, by model.
    waiting: HashMap<Name, u32>,
}

impl Pool {
    /// Takes in what the daemon of `host` uses.
    pub fn record_usage(&mut self, host: &Name, usage: &Usage, now: Moment) {
        let host_usage = self.usage.entry(host.clone()).or_default();
        *host_usage = HostUsage {
            epoch: usage.epoch,
            seq: usage.seq,
            ..HostUsage::default()
        };
        for used in &usage.uses {
            let model = Name::from(used.model.as_str());
            for _ in 0..used.arrived.min(1) {
                self.histories
                    .entry(model.clone())
                    .or_default()
                    .arrived(now);
            }
            if used.running == 0 {
                continue;
            }
            if used.engine.is_empty() {
                *host_usage.waiting.entry(model).or_default() += used.running;
                continue;
            }
            let key = (model, Name::from(used.engine.as_str()));
            *host_usage.running.entry(key).or_default() += used.running;
        }
        for engine in &usage.failed {
            if let Some(state) = self.engines.get_mut(engine.as_str()) {
                state.poll_now();
            }
        }
        self.update_idle_since(now);
    }

    /// Notes which daemons are no longer there; their requests may go on.
    pub(super) fn record_departures(&mut self, now: Moment) {
        for host in self.usage.keys() {
            if !self.hosts.contains(host) {
                self.departed.insert(host.clone(), now);
            }
        }
        let hosts = &self.hosts;
        self.usage.retain(|host, _| hosts.contains(host));
        self.departed
            .retain(|host, at| !hosts.contains(host) && now.saturating_sub(*at) < DEPARTURE_GRACE);
    }

    /// Whether no daemon that departed lately can have a request in progress
    /// at the engine, by the engine's own word.
    pub(super) fn no_departed_requests(&self, engine: &Name) -> bool {
        let Some(last) = self.departed.values().max() else {
            return true;
        };
        self.engines
            .get(engine)
            .is_some_and(|state| state.was_idle_after(*last))
    }

    /// Notes which replicas are in use at `now`.
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

    /// Requests in progress at one replica, over all daemons.
    pub(super) fn running_requests(&self, model: &Name, engine: &Name) -> u32 {
        let key = (model.clone(), engine.clone());
        self.usage
            .values()
            .filter_map(|host_usage| host_usage.running.get(&key))
            .sum()
    }

    /// Models whose requests wait for a slot at entry hosts.
    pub(super) fn queued_models(&self) -> BTreeSet<Name> {
        let waiting = self
            .usage
            .values()
            .flat_map(|host_usage| host_usage.waiting.keys());
        waiting.cloned().collect()
    }

    /// Requests that wait for a slot of `model` at entry hosts.
    pub(super) fn queued_requests(&self, model: &Name) -> u32 {
        self.usage
            .values()
            .filter_map(|host_usage| host_usage.waiting.get(model))
            .sum()
    }

    /// Whether every daemon in touch has seen the pool state `seq`.
    pub(super) fn all_acknowledged(&self, seq: u64) -> bool {
        self.hosts.iter().all(|host| self.acknowledged(host, seq))
    }

    /// Whether the daemon of `host` has seen the pool state `seq`.
    pub(super) fn acknowledged(&self, host: &Name, seq: u64) -> bool {
        let host_usage = self.usage.get(host);
        host_usage.is_some_and(|v| v.epoch == self.epoch && v.seq >= seq)
    }
}

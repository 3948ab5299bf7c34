//! Publication of the pool state: the full state once, then changes only.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::{Body, EngineLoads, EngineState, PoolState, weights_fingerprint};

use super::{Action, Context, OwnedEngine, Pool, replica};

/// Shortest time between two messages that carry only the loads of engines.
const MIN_LOADS_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a daemon that has not acknowledged the last state gets the full state.
const ACK_TIMEOUT: Duration = Duration::from_millis(200);

/// State that was published last, and when.
#[derive(Debug, Default)]
pub(super) struct Published {
    engines: Vec<EngineState>,
    /// Moment at which the last state was sent.
    state_sent: Option<Moment>,
    /// Moment at which the last loads were sent.
    loads_sent: Option<Moment>,
    /// Moment at which each daemon was last sent the full state.
    full_sent: HashMap<Name, Moment>,
    /// Newly linked daemons that get the full state in the next step.
    linked_hosts: Vec<Name>,
}

impl Pool {
    /// Publishes changes of the pool state, or the loads of engines when they are due.
    pub(super) fn publish(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let engines = self.engine_states(ctx.now);
        if self.dirty {
            self.dirty = false;
            self.publish_change(engines, ctx.now, out);
        } else {
            self.publish_loads(engines, ctx.now, out);
        }
        self.send_full_states(ctx, out);
    }

    /// Queues the full state for a newly linked daemon.
    pub fn queue_full_state(&mut self, host: &Name) {
        self.usage.remove(host);
        self.published.linked_hosts.push(host.clone());
    }

    fn publish_change(&mut self, engines: Vec<EngineState>, now: Moment, out: &mut Vec<Action>) {
        let known = &self.published.engines;
        let same_set = known.len() == engines.len()
            && known
                .iter()
                .zip(&engines)
                .all(|(a, b)| a.engine == b.engine);
        let base_seq = if same_set { self.seq } else { 0 };
        let changed = match same_set {
            true => changed_engines(known, &engines),
            false => engines.clone(),
        };
        self.seq += 1;
        self.published.engines = engines;
        self.published.state_sent = Some(now);
        self.published.loads_sent = Some(now);
        out.push(Action::Broadcast(Body::Pool(
            self.pool_state(base_seq, changed),
        )));
    }

    fn publish_loads(&mut self, engines: Vec<EngineState>, now: Moment, out: &mut Vec<Action>) {
        let last = self.published.loads_sent.unwrap_or_default();
        let known = &self.published.engines;
        let changed = known
            .iter()
            .zip(&engines)
            .any(|(a, b)| engine_load(a) != engine_load(b));
        if !changed || now.saturating_sub(last) < MIN_LOADS_INTERVAL {
            return;
        }
        self.published.loads_sent = Some(now);
        self.published.engines = engines;
        let engines = &self.published.engines;
        out.push(Action::Broadcast(Body::EngineLoads(EngineLoads {
            pool: self.name.to_string(),
            epoch: self.epoch,
            seq: self.seq,
            running: engines.iter().map(|e| e.running).collect(),
            waiting: engines.iter().map(|e| e.waiting).collect(),
        })));
    }

    /// Sends the full state to daemons that are newly linked or have not acknowledged the last
    /// state.
    fn send_full_states(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut recipients = std::mem::take(&mut self.published.linked_hosts);
        for host in ctx.hosts {
            let last = self.published.full_sent.get(host).copied();
            let since = last.max(self.published.state_sent).unwrap_or_default();
            let lags = !self.acknowledged(host, self.seq);
            if lags && ctx.now.saturating_sub(since) >= ACK_TIMEOUT && !recipients.contains(host) {
                recipients.push(host.clone());
            }
        }
        for host in recipients {
            self.published.full_sent.insert(host.clone(), ctx.now);
            let state = self.pool_state(0, self.published.engines.clone());
            out.push(Action::Send {
                to: host,
                body: Body::Pool(state),
            });
        }
    }

    fn pool_state(&self, base_seq: u64, engines: Vec<EngineState>) -> PoolState {
        PoolState {
            pool: self.name.to_string(),
            epoch: self.epoch,
            seq: self.seq,
            engines,
            base: base_seq,
        }
    }

    fn engine_states(&self, now: Moment) -> Vec<EngineState> {
        let engines = self.engines.iter();
        engines
            .map(|(name, state)| engine_state(name, state, now))
            .collect()
    }
}

/// Returns the engines whose ready replicas, instance or leaving flag changed.
fn changed_engines(known: &[EngineState], engines: &[EngineState]) -> Vec<EngineState> {
    let mut changed = Vec::new();
    for (old, new) in known.iter().zip(engines) {
        let same =
            old.ready == new.ready && old.instance == new.instance && old.leaving == new.leaving;
        if !same {
            changed.push(new.clone());
        }
    }
    changed
}

/// Returns the number of requests that are running or waiting at the engine.
fn engine_load(engine: &EngineState) -> u32 {
    engine.running + engine.waiting
}

fn engine_state(name: &str, state: &OwnedEngine, now: Moment) -> EngineState {
    let is_published = |r: &replica::Replica| state.is_reachable() && r.is_ready();
    let replicas = state.replicas.iter().filter(|(_, r)| is_published(r));
    let (ready, weights) = replicas
        .map(|(model, r)| (model.to_string(), weights_fingerprint(&r.version)))
        .unzip();
    let age = state.reported_at.map_or(now, |at| now.saturating_sub(at));
    EngineState {
        engine: name.to_owned(),
        instance: state.report.instance.to_string(),
        ready,
        running: state.report.running,
        waiting: state.report.waiting,
        leaving: state.is_leaving(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        weights,
    }
}

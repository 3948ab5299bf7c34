//! The state that a pool's owner publishes: whole once, then what changed.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::{Body, EngineState, Loads, PoolState};

use super::{Action, Context, OwnedEngine, Pool};

/// Shortest time between two messages with loads only.
const LOADS: Duration = Duration::from_millis(250);
/// Time after which a daemon that has not acknowledged gets the whole state.
const LAG: Duration = Duration::from_millis(200);

/// What was published last.
#[derive(Debug, Default)]
pub(super) struct Published {
    engines: Vec<EngineState>,
    /// Moment of the last state.
    state: Option<Moment>,
    /// Moment of the last loads.
    loads: Option<Moment>,
    /// Moments at which daemons got the whole state.
    helped: HashMap<Name, Moment>,
    /// Daemons that must get the whole state at once.
    greet: Vec<Name>,
}

impl Pool {
    /// Publishes what changed, and loads when they are due.
    pub(super) fn publish(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let engines = self.engine_states(ctx.now);
        if self.dirty {
            self.dirty = false;
            self.publish_change(engines, ctx.now, out);
        } else {
            self.publish_loads(engines, ctx.now, out);
        }
        self.help(ctx, out);
    }

    /// Sends the whole state to a newly linked daemon.
    pub fn greet(&mut self, host: &Name) {
        self.usage.remove(host);
        self.published.greet.push(host.clone());
    }

    fn publish_change(&mut self, engines: Vec<EngineState>, now: Moment, out: &mut Vec<Action>) {
        let known = &self.published.engines;
        let same_set = known.len() == engines.len()
            && known
                .iter()
                .zip(&engines)
                .all(|(a, b)| a.engine == b.engine);
        let base = if same_set { self.seq } else { 0 };
        let changed = match same_set {
            true => changes(known, &engines),
            false => engines.clone(),
        };
        self.seq += 1;
        self.published.engines = engines;
        self.published.state = Some(now);
        self.published.loads = Some(now);
        out.push(Action::Broadcast(Body::Pool(self.state(base, changed))));
    }

    fn publish_loads(&mut self, engines: Vec<EngineState>, now: Moment, out: &mut Vec<Action>) {
        let last = self.published.loads.unwrap_or_default();
        let known = &self.published.engines;
        let changed = known.iter().zip(&engines).any(|(a, b)| load(a) != load(b));
        if !changed || now.saturating_sub(last) < LOADS {
            return;
        }
        self.published.loads = Some(now);
        self.published.engines = engines;
        let engines = &self.published.engines;
        out.push(Action::Broadcast(Body::Loads(Loads {
            pool: self.name.to_string(),
            epoch: self.epoch,
            seq: self.seq,
            running: engines.iter().map(|e| e.running).collect(),
            waiting: engines.iter().map(|e| e.waiting).collect(),
        })));
    }

    /// Sends the whole state to daemons that were newly linked or have not
    /// acknowledged the last one.
    fn help(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut late = std::mem::take(&mut self.published.greet);
        for host in ctx.hosts {
            let last = self.published.helped.get(host).copied();
            let since = last.max(self.published.state).unwrap_or_default();
            let lags = !self.acknowledged(host, self.seq);
            if lags && ctx.now.saturating_sub(since) >= LAG && !late.contains(host) {
                late.push(host.clone());
            }
        }
        for host in late {
            self.published.helped.insert(host.clone(), ctx.now);
            let state = self.state(0, self.published.engines.clone());
            out.push(Action::Send {
                to: host,
                body: Body::Pool(state),
            });
        }
    }

    fn state(&self, base: u64, engines: Vec<EngineState>) -> PoolState {
        PoolState {
            pool: self.name.to_string(),
            epoch: self.epoch,
            seq: self.seq,
            engines,
            base,
        }
    }

    fn engine_states(&self, now: Moment) -> Vec<EngineState> {
        let sides = self.sides.iter();
        sides
            .map(|(name, side)| engine_state(name, side, now))
            .collect()
    }
}

/// The engines whose replicas, instance or leaving changed.
fn changes(known: &[EngineState], engines: &[EngineState]) -> Vec<EngineState> {
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

/// Requests in progress and waiting.
fn load(engine: &EngineState) -> u32 {
    engine.running + engine.waiting
}

fn engine_state(name: &str, side: &OwnedEngine, now: Moment) -> EngineState {
    let ready = side.replicas.iter().filter(|(_, r)| r.ready());
    let ready = match side.reachable() {
        true => ready.map(|(model, _)| model.to_string()).collect(),
        false => Vec::new(),
    };
    let age = side.heard.map_or(now, |heard| now.saturating_sub(heard));
    EngineState {
        engine: name.to_owned(),
        instance: side.report.instance.to_string(),
        ready,
        running: side.report.running,
        waiting: side.report.waiting,
        leaving: side.leaving(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

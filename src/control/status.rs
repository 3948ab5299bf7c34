//! What operators see of the control state.

use std::collections::BTreeMap;

use crate::clock::Moment;
use crate::config::{Model, Name};
use crate::operators::status::{
    EngineStatus, HostStatus, MemberStatus, ModelStatus, ReplicaState, ReplicaStatus,
};
use crate::peer::wire::EngineState;
use crate::pool::{Phase, Pool};

use super::{Control, Seat};

impl Control {
    /// This daemon.
    pub fn host_status(&self) -> HostStatus {
        let held = |seat: &Seat| matches!(seat, Seat::Held(_));
        let pools = self.seats.iter().filter(|(_, seat)| held(seat));
        HostStatus {
            host: self.me.host.clone(),
            domain: self.me.domain.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            config: self.version,
            ready: self.version > 0,
            leaving: self.leaving,
            streams: self.router.running(),
            waiting: u32::try_from(self.tickets.len()).unwrap_or(u32::MAX),
            pools: pools.map(|(name, _)| name.clone()).collect(),
            ..HostStatus::default()
        }
    }

    /// All daemons that this one knows.
    pub fn member_status(&self, now: Moment) -> Vec<MemberStatus> {
        let mut all = Vec::new();
        for host in self.members.known_hosts() {
            let Some(beat) = self.members.heartbeat(host) else {
                continue;
            };
            let silent = self.members.silence(host, now).unwrap_or_default();
            all.push(MemberStatus {
                host: host.clone(),
                domain: beat.domain.as_str().into(),
                addr: beat.addr.as_str().into(),
                config: beat.config,
                ready: beat.ready && self.members.is_alive(host, now),
                leaving: self.members.is_leaving(host),
                streams: beat.streams,
                silent_ms: silent.as_millis() as u64,
            });
        }
        all
    }

    /// Models whose name starts with `prefix`.
    pub fn model_status(&self, prefix: &str) -> Vec<ModelStatus> {
        let config = self.config.clone();
        let models = config.models.iter();
        models
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(name, model)| self.one_model(name, model))
            .collect()
    }

    fn one_model(&self, name: &Name, model: &Model) -> ModelStatus {
        let waits = |t: &&super::tickets::Local| t.waits_for(name);
        let waiting = self.tickets.values().filter(waits).count();
        ModelStatus {
            model: name.clone(),
            base: model.base.clone(),
            pool: model.pool.clone(),
            team: model.team.clone(),
            owner: self.owner(&model.pool).unwrap_or_default(),
            limit: model.limit,
            replicas: self.replica_status(name, &model.pool),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        }
    }

    /// Replicas as the owner knows them, elsewhere as it publishes them.
    fn replica_status(&self, name: &Name, pool: &Name) -> Vec<ReplicaStatus> {
        if let Some(Seat::Held(pool)) = self.seats.get(pool) {
            return held_replicas(name, pool);
        }
        let mut all = Vec::new();
        for engine in self.engines_of(pool) {
            if engine.ready.iter().any(|m| m.as_str() == &**name) {
                all.push(ReplicaStatus {
                    engine: engine.engine.as_str().into(),
                    state: ReplicaState::Ready,
                });
            }
        }
        all
    }

    fn engines_of(&self, pool: &Name) -> &[EngineState] {
        self.states.get(pool).map_or(&[], |s| &s.engines)
    }

    /// Engines whose name starts with `prefix`.
    pub fn engine_status(&self, prefix: &str) -> Vec<EngineStatus> {
        let mut published = BTreeMap::new();
        for state in self.states.values() {
            for engine in &state.engines {
                published.insert(engine.engine.as_str(), engine);
            }
        }
        let mut all = Vec::new();
        for (name, told) in &self.config.engines {
            if !name.starts_with(prefix) {
                continue;
            }
            let mut status = EngineStatus {
                engine: name.clone(),
                pool: told.pool.clone(),
                domain: told.domain.clone(),
                addr: told.addr.clone(),
                memory: told.memory,
                ..EngineStatus::default()
            };
            if let Some(engine) = published.get(&**name) {
                self.fill(&mut status, engine);
            }
            all.push(status);
        }
        all
    }

    fn fill(&self, status: &mut EngineStatus, engine: &EngineState) {
        status.instance = engine.instance.as_str().into();
        status.running = engine.running;
        status.waiting = engine.waiting;
        status.leaving = engine.leaving;
        for model in &engine.ready {
            let name = Name::from(model.as_str());
            status.used += self.config.models.get(&name).map_or(0, |m| m.memory);
            status.models.push(name);
        }
    }
}

fn held_replicas(name: &Name, pool: &Pool) -> Vec<ReplicaStatus> {
    let mut all = Vec::new();
    for (engine, side) in pool.sides() {
        let replica = side.replicas.get(name);
        let doubtful = side.ledger.as_ref().is_some_and(|l| l.in_doubt(name));
        let state = match replica.map(|r| &r.phase) {
            Some(Phase::Ready) => ReplicaState::Ready,
            Some(Phase::Draining { .. } | Phase::Unloading) => ReplicaState::Draining,
            Some(_) => ReplicaState::Loading,
            None if doubtful => ReplicaState::Doubtful,
            None => continue,
        };
        all.push(ReplicaStatus {
            engine: engine.clone(),
            state,
        });
    }
    all
}

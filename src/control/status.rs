//! Status of the control state for operators.

use std::collections::BTreeMap;

use crate::clock::Moment;
use crate::config::{Model, Name};
use crate::operators::status::{
    EngineStatus, HostStatus, MemberStatus, ModelStatus, ReplicaState, ReplicaStatus,
};
use crate::peer::wire::EngineState;
use crate::pool::{Phase, Pool};

use super::{Control, PoolOwnership};

impl Control {
    /// Returns the status of this daemon.
    pub fn host_status(&self) -> HostStatus {
        let owned = |ownership: &PoolOwnership| matches!(ownership, PoolOwnership::Owned(_));
        let pools = self.pools.iter().filter(|(_, ownership)| owned(ownership));
        HostStatus {
            host: self.identity.host.clone(),
            domain: self.identity.domain.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            config: self.config_version,
            ready: self.config_version > 0,
            leaving: self.leaving,
            streams: self.router.running(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            pools: pools.map(|(name, _)| name.clone()).collect(),
            ..HostStatus::default()
        }
    }

    /// Returns the status of all known daemons.
    pub fn member_status(&self, now: Moment) -> Vec<MemberStatus> {
        let mut all = Vec::new();
        for host in self.members.known_hosts() {
            let Some(heartbeat) = self.members.heartbeat(host) else {
                continue;
            };
            let silent = self.members.silence(host, now).unwrap_or_default();
            all.push(MemberStatus {
                host: host.clone(),
                domain: heartbeat.domain.as_str().into(),
                addr: heartbeat.addr.as_str().into(),
                config: heartbeat.config,
                ready: heartbeat.ready && self.members.is_alive(host, now),
                leaving: self.members.is_leaving(host),
                streams: heartbeat.streams,
                silent_ms: silent.as_millis() as u64,
            });
        }
        all
    }

    /// Returns the status of the models whose name starts with `prefix`.
    pub fn model_status(&self, prefix: &str) -> Vec<ModelStatus> {
        let config = self.config.clone();
        let models = config.models.iter();
        models
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(name, model)| self.single_model_status(name, model))
            .collect()
    }

    fn single_model_status(&self, name: &Name, model: &Model) -> ModelStatus {
        let waits = |entry: &&super::waiting::WaitingEntry| entry.waits_for(name);
        let waiting = self.waiting.values().filter(waits).count();
        ModelStatus {
            model: name.clone(),
            base: model.base.clone(),
            pool: model.pool.clone(),
            team: model.team.clone(),
            owner: self.pool_owner(&model.pool).unwrap_or_default(),
            limit: model.limit,
            replicas: self.replica_status(name, &model.pool),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        }
    }

    /// Returns the replicas of a model: all of them on the pool's owner, on other
    /// hosts those that the owner publishes as ready.
    fn replica_status(&self, name: &Name, pool: &Name) -> Vec<ReplicaStatus> {
        if let Some(PoolOwnership::Owned(pool)) = self.pools.get(pool) {
            return owned_replicas(name, pool);
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
        self.pool_states.get(pool).map_or(&[], |s| &s.engines)
    }

    /// Returns the status of the engines whose name starts with `prefix`.
    pub fn engine_status(&self, prefix: &str) -> Vec<EngineStatus> {
        let mut published = BTreeMap::new();
        for state in self.pool_states.values() {
            for engine in &state.engines {
                published.insert(engine.engine.as_str(), engine);
            }
        }
        let mut all = Vec::new();
        for (name, settings) in &self.config.engines {
            if !name.starts_with(prefix) {
                continue;
            }
            let mut status = EngineStatus {
                engine: name.clone(),
                pool: settings.pool.clone(),
                domain: settings.domain.clone(),
                addr: settings.addr.clone(),
                memory: settings.memory,
                ..EngineStatus::default()
            };
            if let Some(engine) = published.get(&**name) {
                self.fill_engine_status(&mut status, engine);
            }
            all.push(status);
        }
        all
    }

    fn fill_engine_status(&self, status: &mut EngineStatus, engine: &EngineState) {
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

fn owned_replicas(name: &Name, pool: &Pool) -> Vec<ReplicaStatus> {
    let mut all = Vec::new();
    for (engine, owned) in pool.engines() {
        let replica = owned.replicas.get(name);
        let doubtful = owned.ledger.as_ref().is_some_and(|l| l.in_doubt(name));
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

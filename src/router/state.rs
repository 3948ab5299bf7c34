//! What the router knows, behind its lock.

use std::collections::HashMap;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::routing::{self, Candidate, Domain, choose};
use crate::peer::wire::{PoolState, ReplicaUsage, Usage};

use super::Need;
use super::load::Load;
use super::prefixes::Prefixes;
use super::queue::ModelQueue;

/// Place of a waiting request among those of other models.
#[derive(Clone, Copy)]
struct Rank {
    value: f64,
    deadline: Moment,
}

impl Rank {
    fn of(need: &Need) -> Self {
        Rank {
            value: (f64::from(need.priority) + 1.0) * need.worth,
            deadline: need.deadline,
        }
    }

    /// Whether it is served before `other`.
    fn before(&self, other: &Rank) -> bool {
        let by_value = other.value.total_cmp(&self.value);
        by_value.then(self.deadline.cmp(&other.deadline)).is_lt()
    }
}

/// What the router knows.
#[derive(Default)]
pub(super) struct State {
    pub seen: HashMap<Name, (u64, u64)>,
    pub replicas: HashMap<Name, Vec<Name>>,
    pub engines: HashMap<Name, Load>,
    pub queues: HashMap<Name, ModelQueue>,
    pub prefixes: Prefixes,
    pub domains: Vec<Name>,
    pub domain: Domain,
    pub arrived: HashMap<Name, u32>,
    pub running: HashMap<(Name, Name), u32>,
    pub failed: Vec<Name>,
}

impl State {
    pub fn has_replica(&self, need: &Need, now: Moment) -> bool {
        let Some(engines) = self.replicas.get(&need.model) else {
            return false;
        };
        engines.iter().any(|engine| {
            let load = self.engines.get(engine);
            load.is_some_and(|l| l.open(now) && !need.avoid.contains(&l.instance))
        })
    }

    /// The best replica with a free slot.
    pub fn best(&self, need: &Need, now: Moment) -> Option<Name> {
        let mut engines: Vec<&Name> = Vec::new();
        let mut candidates: Vec<Candidate> = Vec::new();
        for engine in self.replicas.get(&need.model)? {
            let Some(load) = self.engines.get(engine) else {
                continue;
            };
            let cached = self.prefixes.cached(need.prefix, &load.instance);
            let candidate = load.candidate(&need.avoid, cached, now);
            if !load.has_room(&candidate) {
                continue;
            }
            engines.push(engine);
            candidates.push(candidate);
        }
        let wish = routing::Need {
            domain: self.domain,
            prompt: need.prefix.tokens,
        };
        choose(&candidates, &wish).map(|i| engines[i].clone())
    }

    pub fn note_prefix(&mut self, need: &Need, engine: &Name) {
        if let Some(load) = self.engines.get(engine) {
            self.prefixes.sent(need.prefix, &load.instance);
        }
    }

    /// The model whose queue is served next, and the engine: the highest
    /// product of priority plus one and worth, then the earliest deadline.
    pub fn next_served(&self, now: Moment) -> Option<(Name, Name)> {
        let mut next: Option<(Rank, Name, Name)> = None;
        for (model, queue) in &self.queues {
            let Some(need) = queue.head(now) else {
                continue;
            };
            let rank = Rank::of(need);
            if next.as_ref().is_some_and(|(best, _, _)| !rank.before(best)) {
                continue;
            }
            if let Some(engine) = self.best(need, now) {
                next = Some((rank, model.clone(), engine));
            }
        }
        next.map(|(_, model, engine)| (model, engine))
    }

    pub fn stop_running(&mut self, engine: &Name, model: &Name) {
        let key = (model.clone(), engine.clone());
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            self.running.remove(&key);
        }
    }

    fn domain(&mut self, name: &Name) -> Domain {
        let known = self.domains.iter().position(|d| d == name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.clone());
            self.domains.len() - 1
        });
        Domain::try_from(index).unwrap_or(Domain::MAX)
    }

    pub fn replace(&mut self, name: &Name, pool: &PoolState, config: &Config) {
        let told = |engine: &Name| pool.engines.iter().any(|e| e.engine.as_str() == &**engine);
        for (engine, load) in &self.engines {
            if load.pool != *name || (pool.base != 0 && !told(engine)) {
                continue;
            }
            for engines in self.replicas.values_mut() {
                engines.retain(|e| e != engine);
            }
        }
        for known in &pool.engines {
            let engine = Name::from(known.engine.as_str());
            let told = config.engines.get(&engine).cloned().unwrap_or_default();
            let domain = self.domain(&told.domain);
            let load = self.engines.entry(engine.clone()).or_default();
            load.pool = name.clone();
            load.slots = told.slots;
            load.domain = domain;
            load.reported(known);
            for model in &known.ready {
                let engines = self.replicas.entry(model.as_str().into()).or_default();
                engines.push(engine.clone());
            }
        }
        self.replicas.retain(|_, engines| !engines.is_empty());
    }

    pub fn usage(&mut self, pool: &Name, config: &Config) -> Usage {
        let in_pool = |model: &Name| config.models.get(model).is_some_and(|m| m.pool == *pool);
        let (epoch, seq) = self.seen.get(pool).copied().unwrap_or_default();
        let mut uses = Vec::new();
        self.arrived.retain(|model, count| {
            if !in_pool(model) {
                return true;
            }
            uses.push(used(model, "", *count, 0));
            false
        });
        for (model, queue) in &self.queues {
            if in_pool(model) && !queue.is_empty() {
                let waiting = u32::try_from(queue.len()).unwrap_or(u32::MAX);
                uses.push(used(model, "", 0, waiting));
            }
        }
        // By engine: a model may have left the configuration since.
        let at_pool = |engine: &Name| self.engines.get(engine).is_some_and(|l| l.pool == *pool);
        for ((model, engine), count) in &self.running {
            if at_pool(engine) || in_pool(model) {
                uses.push(used(model, engine, 0, *count));
            }
        }
        uses.sort_by(|a, b| (&a.model, &a.engine).cmp(&(&b.model, &b.engine)));
        let mut failed = Vec::new();
        self.failed.retain(|engine| {
            if config.engines.get(engine).is_some_and(|e| e.pool != *pool) {
                return true;
            }
            failed.push(engine.to_string());
            false
        });
        Usage {
            pool: pool.to_string(),
            epoch,
            seq,
            uses,
            failed,
        }
    }
}

fn used(model: &str, engine: &str, arrived: u32, running: u32) -> ReplicaUsage {
    ReplicaUsage {
        model: model.to_owned(),
        engine: engine.to_owned(),
        arrived,
        running,
    }
}

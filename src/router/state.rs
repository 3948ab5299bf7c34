//! State of the router, protected by its lock.

use std::collections::HashMap;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::routing::{self, Candidate, Domain, choose_replica};
use crate::peer::wire::{PoolState, ReplicaUsage, Usage};

use super::RoutingRequest;
use super::engine_load::EngineLoad;
use super::prefixes::PrefixIndex;
use super::queue::ModelQueue;

/// Rank of a queued request among the requests of all models.
#[derive(Clone, Copy)]
struct QueueRank {
    value: f64,
    deadline: Moment,
}

impl QueueRank {
    fn of(request: &RoutingRequest) -> Self {
        QueueRank {
            value: (f64::from(request.priority) + 1.0) * request.worth,
            deadline: request.deadline,
        }
    }

    /// Returns whether the request is served before `other`.
    fn precedes(&self, other: &QueueRank) -> bool {
        let by_value = other.value.total_cmp(&self.value);
        by_value.then(self.deadline.cmp(&other.deadline)).is_lt()
    }
}

/// State of the router.
#[derive(Default)]
pub(super) struct RouterState {
    /// Epoch and sequence number of the last state of each pool.
    pub versions: HashMap<Name, (u64, u64)>,
    /// Engines that have a model ready, by model.
    pub replicas: HashMap<Name, Vec<Name>>,
    /// Fingerprints of the versions of the weights, by engine and model.
    pub weights: HashMap<Name, HashMap<Name, u32>>,
    /// Estimated loads by engine.
    pub engines: HashMap<Name, EngineLoad>,
    /// Queues by model.
    pub queues: HashMap<Name, ModelQueue>,
    /// Prompt prefixes that instances have probably cached.
    pub prefixes: PrefixIndex,
    /// Names of the failure domains; a [`Domain`] is an index into them.
    pub domains: Vec<Name>,
    /// Failure domain of this daemon.
    pub domain: Domain,
    /// Requests that arrived since the last usage report, by model.
    pub arrivals: HashMap<Name, u32>,
    /// Requests in progress by model and engine.
    pub running: HashMap<(Name, Name), u32>,
    /// Engines on which a request failed since the last usage report.
    pub failed: Vec<Name>,
}

impl RouterState {
    /// Returns whether some replica accepts work and may run the request.
    pub fn has_replica(&self, request: &RoutingRequest, now: Moment) -> bool {
        let Some(engines) = self.replicas.get(&request.model) else {
            return false;
        };
        engines.iter().any(|engine| {
            let load = self.engines.get(engine);
            load.is_some_and(|l| l.accepts_work(now) && !request.avoid.contains(&l.instance))
        })
    }

    /// Returns the fingerprint of the version of a model's weights on an engine, if it is known.
    pub fn weights(&self, engine: &Name, model: &Name) -> Option<u32> {
        self.weights.get(engine)?.get(model).copied()
    }

    /// Returns whether some replica of a model has this version of the weights, on an instance
    /// that is not to be avoided.
    pub fn has_weights(&self, model: &Name, weights: u32, avoid: &[Name]) -> bool {
        let mut engines = self.replicas.get(model).into_iter().flatten();
        engines.any(|engine| {
            let load = self.engines.get(engine);
            let is_allowed = load.is_some_and(|l| !avoid.contains(&l.instance));
            is_allowed && self.weights(engine, model) == Some(weights)
        })
    }

    /// Returns the best replica that has room for the request.
    pub fn best_replica(&self, request: &RoutingRequest, now: Moment) -> Option<Name> {
        let mut engines: Vec<&Name> = Vec::new();
        let mut candidates: Vec<Candidate> = Vec::new();
        for engine in self.replicas.get(&request.model)? {
            let Some(load) = self.engines.get(engine) else {
                continue;
            };
            let cached = self.prefixes.cached_tokens(request.prefix, &load.instance);
            let candidate = load.candidate(&request.avoid, cached, now);
            if !load.has_room(&candidate) {
                continue;
            }
            engines.push(engine);
            candidates.push(candidate);
        }
        let query = routing::ReplicaQuery {
            domain: self.domain,
            prompt_tokens: request.prefix.tokens,
        };
        choose_replica(&candidates, &query).map(|i| engines[i].clone())
    }

    /// Records that the prompt of a request is sent to `engine`.
    pub fn record_prefix(&mut self, request: &RoutingRequest, engine: &Name) {
        if let Some(load) = self.engines.get(engine) {
            self.prefixes.record_sent(request.prefix, &load.instance);
        }
    }

    /// Returns the model whose queue is served next, and the engine. Requests are
    /// ranked by (priority + 1) * worth, highest first, then by earliest deadline.
    pub fn next_dispatch(&self, now: Moment) -> Option<(Name, Name)> {
        let mut next: Option<(QueueRank, Name, Name)> = None;
        for (model, queue) in &self.queues {
            let Some(request) = queue.head(now) else {
                continue;
            };
            let rank = QueueRank::of(request);
            if next
                .as_ref()
                .is_some_and(|(best, _, _)| !rank.precedes(best))
            {
                continue;
            }
            if let Some(engine) = self.best_replica(request, now) {
                next = Some((rank, model.clone(), engine));
            }
        }
        next.map(|(_, model, engine)| (model, engine))
    }

    /// Removes one request from the requests in progress.
    pub fn remove_running(&mut self, engine: &Name, model: &Name) {
        let key = (model.clone(), engine.clone());
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            self.running.remove(&key);
        }
    }

    fn domain_index(&mut self, name: &Name) -> Domain {
        let known = self.domains.iter().position(|d| d == name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.clone());
            self.domains.len() - 1
        });
        Domain::try_from(index).unwrap_or(Domain::MAX)
    }

    /// Applies a full or incremental state of a pool.
    pub fn update_pool(&mut self, name: &Name, pool: &PoolState, config: &Config) {
        let listed = |engine: &Name| pool.engines.iter().any(|e| e.engine.as_str() == &**engine);
        for (engine, load) in &self.engines {
            if load.pool != *name || (pool.base != 0 && !listed(engine)) {
                continue;
            }
            for engines in self.replicas.values_mut() {
                engines.retain(|e| e != engine);
            }
        }
        for published in &pool.engines {
            let engine = Name::from(published.engine.as_str());
            let settings = config.engines.get(&engine).cloned().unwrap_or_default();
            let domain = self.domain_index(&settings.domain);
            let load = self.engines.entry(engine.clone()).or_default();
            load.pool = name.clone();
            load.slots = settings.slots;
            load.domain = domain;
            load.apply_report(published);
            let models = published
                .ready
                .iter()
                .map(|model| Name::from(model.as_str()));
            let weights = models.zip(published.weights.iter().copied()).collect();
            self.weights.insert(engine.clone(), weights);
            for model in &published.ready {
                let engines = self.replicas.entry(model.as_str().into()).or_default();
                engines.push(engine.clone());
            }
        }
        self.replicas.retain(|_, engines| !engines.is_empty());
    }

    /// Returns this daemon's use of `pool`, and forgets its arrivals and failures.
    pub fn usage(&mut self, pool: &Name, config: &Config) -> Usage {
        let model_in_pool =
            |model: &Name| config.models.get(model).is_some_and(|m| m.pool == *pool);
        let (epoch, seq) = self.versions.get(pool).copied().unwrap_or_default();
        let mut uses = Vec::new();
        self.arrivals.retain(|model, count| {
            if !model_in_pool(model) {
                return true;
            }
            uses.push(usage_entry(model, "", *count, 0));
            false
        });
        for (model, queue) in &self.queues {
            if model_in_pool(model) && !queue.is_empty() {
                let waiting = u32::try_from(queue.len()).unwrap_or(u32::MAX);
                uses.push(usage_entry(model, "", 0, waiting));
            }
        }
        // Also matched by engine: the model may have been removed from the
        // configuration since.
        let engine_in_pool =
            |engine: &Name| self.engines.get(engine).is_some_and(|l| l.pool == *pool);
        for ((model, engine), count) in &self.running {
            if engine_in_pool(engine) || model_in_pool(model) {
                uses.push(usage_entry(model, engine, 0, *count));
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

fn usage_entry(model: &str, engine: &str, arrived: u32, running: u32) -> ReplicaUsage {
    ReplicaUsage {
        model: model.to_owned(),
        engine: engine.to_owned(),
        arrived,
        running,
    }
}

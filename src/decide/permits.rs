//! Permits that enforce the limits of the weight store, granted by the leader.
//!
//! At most `parallel_models` model loads run at once, and at most that many start
//! within any `parallel_models / rate` seconds, so that as many may start at once
//! after a pause; adapter loads are limited only in number. Waiting loads start in
//! order of value density, then of arrival. The state is soft: a new
//! leader learns the running loads from their hosts, which repeat their requests
//! with `running` set.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::start_window::StartWindow;
pub use super::weight_store::{LoadWaiters, StoreLimits, value_density};
use crate::clock::Moment;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// Id of the load, unique across hosts and restarts.
    pub load: Arc<str>,
    /// Host that requests it.
    pub host: Arc<str>,
    /// Whether an adapter is loaded, as opposed to a model.
    pub adapter: bool,
    /// Value density, see [`value_density`]; the highest is granted first.
    pub value_density: f64,
    /// Whether the load is already running.
    pub running: bool,
}

/// A granted permit for one load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// Id of the load.
    pub load: Arc<str>,
    /// Host that requested it.
    pub host: Arc<str>,
}

/// Position of a waiting load; the lowest is granted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Bitwise complement of the value density, so that the highest sorts first.
    rank: u64,
    seq: u64,
}

#[derive(Clone, Debug)]
enum LoadPhase {
    Waiting(QueuePosition),
    Running,
}

#[derive(Clone, Debug)]
struct Load {
    host: Arc<str>,
    adapter: bool,
    phase: LoadPhase,
}

/// State of all model loads or of all adapter loads.
#[derive(Clone, Debug, Default)]
struct LoadClass {
    queue: BTreeMap<QueuePosition, Arc<str>>,
    running: u32,
}

/// Weight-store permits of the whole deployment.
#[derive(Clone, Debug)]
pub struct Permits {
    limits: StoreLimits,
    window: StartWindow,
    loads: HashMap<Arc<str>, Load>,
    models: LoadClass,
    adapters: LoadClass,
    seq: u64,
}

impl Permits {
    /// Creates an empty state that counts as if loads had started at the rate until
    /// now, because the loads started by the previous leader are unknown.
    pub fn new(limits: StoreLimits, now: Moment) -> Self {
        Permits {
            limits,
            window: StartWindow::new(limits.rate, limits.parallel_models, now),
            loads: HashMap::new(),
            models: LoadClass::default(),
            adapters: LoadClass::default(),
            seq: 0,
        }
    }

    /// Changes the limits; running loads are not affected.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
        self.window.set_limit(limits.rate, limits.parallel_models);
    }

    /// Adds a request. A repeated request updates the value density. A repeated
    /// request for a running load changes nothing; [`Permits::is_granted`] tells
    /// that its grant was lost and must be sent again.
    pub fn request(&mut self, request: PermitRequest) {
        if let Some(load) = self.loads.get(&request.load) {
            if matches!(load.phase, LoadPhase::Running) {
                return;
            }
            self.remove(&request.load.clone());
        }
        self.seq += 1;
        let position = QueuePosition {
            rank: !request.value_density.max(0.0).to_bits(),
            seq: self.seq,
        };
        let class = self.class_mut(request.adapter);
        let phase = if request.running {
            class.running += 1;
            LoadPhase::Running
        } else {
            class.queue.insert(position, request.load.clone());
            LoadPhase::Waiting(position)
        };
        let load = Load {
            host: request.host,
            adapter: request.adapter,
            phase,
        };
        self.loads.insert(request.load, load);
    }

    /// Returns whether `load` holds a permit.
    pub fn is_granted(&self, load: &str) -> bool {
        let load = self.loads.get(load);
        load.is_some_and(|l| matches!(l.phase, LoadPhase::Running))
    }

    /// Grants the permits that the limits allow at `now`.
    pub fn grant(&mut self, now: Moment) -> Vec<PermitGrant> {
        let mut grants = Vec::new();
        while self.adapters.running < self.limits.parallel_adapters {
            let Some((_, load)) = self.adapters.queue.pop_first() else {
                break;
            };
            grants.push(self.grant_load(load));
        }
        while self.models.running < self.limits.parallel_models && !self.models.queue.is_empty() {
            if !self.window.wait(now).is_zero() {
                break;
            }
            let Some((_, load)) = self.models.queue.pop_first() else {
                break;
            };
            self.window.record_start(now);
            grants.push(self.grant_load(load));
        }
        grants
    }

    /// Returns when [`Permits::grant`] can grant the next permit, or `None` if that
    /// first needs the end of a load or another request.
    pub fn next_grant(&self, now: Moment) -> Option<Moment> {
        if self.models.queue.is_empty() || self.models.running >= self.limits.parallel_models {
            return None;
        }
        Some(now + self.window.wait(now))
    }

    /// Returns the permit of a load or withdraws its request; unknown ids are ignored.
    pub fn release(&mut self, load: &str) {
        self.remove(load);
    }

    /// Removes all loads of a host.
    pub fn remove_host(&mut self, host: &str) {
        let mut removed = Vec::new();
        for (id, load) in &self.loads {
            if &*load.host == host {
                removed.push(id.clone());
            }
        }
        for id in removed {
            self.remove(&id);
        }
    }

    /// Removes all loads of hosts that are not in `alive`.
    pub fn retain_hosts(&mut self, alive: &[Arc<str>]) {
        let mut removed = Vec::new();
        for load in self.loads.values() {
            if !alive.contains(&load.host) && !removed.contains(&load.host) {
                removed.push(load.host.clone());
            }
        }
        for host in removed {
            self.remove_host(&host);
        }
    }

    /// Returns the number of loads that hold a permit, models and adapters.
    pub fn running(&self) -> u32 {
        self.models.running + self.adapters.running
    }

    /// Returns the number of waiting loads.
    pub fn waiting(&self) -> usize {
        self.models.queue.len() + self.adapters.queue.len()
    }

    /// Marks a queued load as running and returns its grant.
    fn grant_load(&mut self, id: Arc<str>) -> PermitGrant {
        let load = self.loads.get_mut(&id).expect("a queued load is known");
        load.phase = LoadPhase::Running;
        let host = load.host.clone();
        let adapter = load.adapter;
        self.class_mut(adapter).running += 1;
        PermitGrant { load: id, host }
    }

    fn remove(&mut self, id: &str) {
        let Some(load) = self.loads.remove(id) else {
            return;
        };
        let class = self.class_mut(load.adapter);
        match load.phase {
            LoadPhase::Running => class.running -= 1,
            LoadPhase::Waiting(position) => {
                class.queue.remove(&position);
            }
        }
    }

    fn class_mut(&mut self, adapter: bool) -> &mut LoadClass {
        if adapter {
            &mut self.adapters
        } else {
            &mut self.models
        }
    }
}

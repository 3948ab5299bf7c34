//! The weight store's limits, kept by the daemon that holds the permits.
//!
//! At most `parallel` model loads run at once, and at most `parallel` start
//! within any `parallel / rate` seconds, so that after a pause so many start
//! together; adapter loads are bounded by the number in transit only. Waiting loads start in order of
//! stake, equal stakes in order of arrival. The state is soft: a new holder
//! learns the running loads from their askers, who ask again with `running`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

pub use super::store::{StoreLimits, Waiters, stake};
use super::window::Window;
use crate::clock::Moment;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Id of the load, unique over all hosts and restarts.
    pub load: Arc<str>,
    /// Host that asks.
    pub host: Arc<str>,
    /// An adapter, as opposed to a model.
    pub adapter: bool,
    /// Stake, see [`stake`]; higher first.
    pub stake: f64,
    /// The load is already running.
    pub running: bool,
}

/// A permit for one load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Id of the load.
    pub load: Arc<str>,
    /// Host that asked.
    pub host: Arc<str>,
}

/// Place of a waiting load; the least is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Bits of the stake, inverted.
    stake: u64,
    seq: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    Waiting(Rank),
    Running,
}

#[derive(Clone, Debug)]
struct Load {
    host: Arc<str>,
    adapter: bool,
    phase: Phase,
}

/// State of one kind of load.
#[derive(Clone, Debug, Default)]
struct Lane {
    queue: BTreeMap<Rank, Arc<str>>,
    running: u32,
}

/// Permits of the whole deployment.
#[derive(Clone, Debug)]
pub struct Permits {
    limits: StoreLimits,
    window: Window,
    loads: HashMap<Arc<str>, Load>,
    models: Lane,
    adapters: Lane,
    seq: u64,
}

impl Permits {
    /// A holder without loads; it counts as if loads had started at the rate
    /// until now, because what its predecessor started is unknown.
    pub fn new(limits: StoreLimits, now: Moment) -> Self {
        Permits {
            limits,
            window: Window::new(limits.rate, limits.parallel, now),
            loads: HashMap::new(),
            models: Lane::default(),
            adapters: Lane::default(),
            seq: 0,
        }
    }

    /// Changes the limits from now on; running loads go on.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
        self.window.set(limits.rate, limits.parallel);
    }

    /// Notes a request. Asking again changes the stake; asking again for a
    /// running load changes nothing, so that a lost grant is repeated by
    /// [`Permits::granted`].
    pub fn ask(&mut self, ask: Ask) {
        if let Some(load) = self.loads.get(&ask.load) {
            if matches!(load.phase, Phase::Running) {
                return;
            }
            self.remove(&ask.load.clone());
        }
        self.seq += 1;
        let rank = Rank {
            stake: !ask.stake.max(0.0).to_bits(),
            seq: self.seq,
        };
        let lane = self.lane(ask.adapter);
        let phase = if ask.running {
            lane.running += 1;
            Phase::Running
        } else {
            lane.queue.insert(rank, ask.load.clone());
            Phase::Waiting(rank)
        };
        let load = Load {
            host: ask.host,
            adapter: ask.adapter,
            phase,
        };
        self.loads.insert(ask.load, load);
    }

    /// Whether `load` holds a permit.
    pub fn granted(&self, load: &str) -> bool {
        let load = self.loads.get(load);
        load.is_some_and(|l| matches!(l.phase, Phase::Running))
    }

    /// Grants what the limits allow at `now`.
    pub fn grant(&mut self, now: Moment) -> Vec<Grant> {
        let mut grants = Vec::new();
        while self.adapters.running < self.limits.adapters {
            let Some((_, load)) = self.adapters.queue.pop_first() else {
                break;
            };
            grants.push(self.start(load));
        }
        while self.models.running < self.limits.parallel && !self.models.queue.is_empty() {
            if !self.window.wait(now).is_zero() {
                break;
            }
            let Some((_, load)) = self.models.queue.pop_first() else {
                break;
            };
            self.window.start(now);
            grants.push(self.start(load));
        }
        grants
    }

    /// Moment at which [`Permits::grant`] may grant without another event;
    /// `None` when only the end of a load or another request can help.
    pub fn wake(&self, now: Moment) -> Option<Moment> {
        if self.models.queue.is_empty() || self.models.running >= self.limits.parallel {
            return None;
        }
        Some(now + self.window.wait(now))
    }

    /// Ends a load or withdraws its request; unknown ids are ignored.
    pub fn done(&mut self, load: &str) {
        self.remove(load);
    }

    /// Drops all loads of a host that is gone.
    pub fn gone(&mut self, host: &str) {
        let mut lost = Vec::new();
        for (id, load) in &self.loads {
            if &*load.host == host {
                lost.push(id.clone());
            }
        }
        for id in lost {
            self.remove(&id);
        }
    }

    /// Drops all loads of hosts that are not among `alive`.
    pub fn keep(&mut self, alive: &[Arc<str>]) {
        let mut lost = Vec::new();
        for load in self.loads.values() {
            if !alive.contains(&load.host) && !lost.contains(&load.host) {
                lost.push(load.host.clone());
            }
        }
        for host in lost {
            self.gone(&host);
        }
    }

    /// Loads that hold a permit, models and adapters.
    pub fn running(&self) -> u32 {
        self.models.running + self.adapters.running
    }

    /// Loads that wait.
    pub fn waiting(&self) -> usize {
        self.models.queue.len() + self.adapters.queue.len()
    }

    fn start(&mut self, id: Arc<str>) -> Grant {
        let load = self.loads.get_mut(&id).expect("a queued load is known");
        load.phase = Phase::Running;
        let host = load.host.clone();
        let adapter = load.adapter;
        self.lane(adapter).running += 1;
        Grant { load: id, host }
    }

    fn remove(&mut self, id: &str) {
        let Some(load) = self.loads.remove(id) else {
            return;
        };
        let lane = self.lane(load.adapter);
        match load.phase {
            Phase::Running => lane.running -= 1,
            Phase::Waiting(rank) => {
                lane.queue.remove(&rank);
            }
        }
    }

    fn lane(&mut self, adapter: bool) -> &mut Lane {
        if adapter {
            &mut self.adapters
        } else {
            &mut self.models
        }
    }
}

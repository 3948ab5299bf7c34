//! Fleets of engines with the loads of a large day, for benchmarks of the leader's
//! decisions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::demand::{Demand, ModelKey};
use mastichinge::edge::desired::{DesiredState, Hosting, Model, Service};
use mastichinge::edge::fleet::Fleet;
use mastichinge::edge::orders::{EngineReport, OrderOutcome};
use mastichinge::edge::placement::{
    EngineCall, LeaderId, LoadHistory, ModelTarget, PlacementInput, Placer, WaitingRequests,
};
use mastichinge::edge::settings::Settings;
use mastichinge::edge::upstream::{
    EngineEntry, EngineLoad, EnginePhase, LoadedModels, WeightCopies,
};

pub(super) const SERVICE: &str = "drafting";
/// Models on each engine.
const RESIDENTS: usize = 2;
/// Adapters on each engine.
const ADAPTERS: usize = 4;
/// Requests that wait for an adapter, for each ten engines.
const WAITS_PER_TEN: usize = 2;
/// Time between two steps.
const STEP: Duration = Duration::from_millis(15);
/// Steps within which the loads of other daemons stay current.
const STEPS_PER_LOAD: u32 = 100;
/// Daemons for each ten engines.
const DAEMONS_PER_TEN: usize = 5;
/// Engines at which each daemon has requests in progress.
const LOADS_PER_DAEMON: usize = 30;

/// A leader's placement state with the input of its decisions.
pub struct LeaderScene {
    fleet: Fleet,
    desired: DesiredState,
    waiting: BTreeMap<ModelTarget, WaitingRequests>,
    demand: HashMap<ModelKey, Demand>,
    placer: Placer,
    start: Moment,
    steps: u32,
}

impl LeaderScene {
    /// Creates a fleet of this many engines whose reports have been read.
    pub fn new(engines: usize) -> Self {
        let now = Moment::from_secs(100);
        let models = engines * RESIDENTS * 9 / 10;
        let mut fleet = Fleet::default();
        let entries = (0..engines).map(|i| entry(i, models)).collect();
        fleet.update_entries(entries, &BTreeSet::new(), None, now);
        for daemon in 0..engines * DAEMONS_PER_TEN / 10 {
            let count = LOADS_PER_DAEMON.min(engines);
            let loads = (0..count).map(|i| load((i * 7 + daemon) % engines, models));
            fleet.record_peer_load(&format!("edge-{daemon}").into(), loads.collect(), now);
        }
        let leader = LeaderId {
            host: "edge-0".into(),
            fence: 7,
        };
        let mut scene = LeaderScene {
            desired: desired(models),
            waiting: waiting(engines * WAITS_PER_TEN / 10, models),
            demand: demand(models),
            placer: Placer::new(leader, &Settings::default(), LoadHistory::None),
            fleet,
            start: now,
            steps: 0,
        };
        scene.step();
        scene
    }

    /// Makes the decisions of the next step. Reports are answered at once and orders never,
    /// so that every second step orders again.
    pub fn step(&mut self) {
        self.steps += 1;
        // Loads of other daemons expire after two seconds.
        let now = self.start + STEP * (self.steps % STEPS_PER_LOAD);
        let input = PlacementInput {
            fleet: &self.fleet,
            desired: &self.desired,
            waiting: &self.waiting,
            demand: &self.demand,
            now,
        };
        for call in self.placer.decide(&input) {
            match call {
                EngineCall::Report(id) => {
                    let report = EngineReport {
                        models: self.fleet.engines[&id].entry.models.clone(),
                        incarnation: 1_000,
                        ..EngineReport::default()
                    };
                    self.placer.handle_report(&id, Some(&report), now);
                }
                EngineCall::Order(order) => {
                    self.placer
                        .handle_outcome(&order, OrderOutcome::Unanswered, now);
                }
            }
        }
    }
}

pub(super) fn model_name(index: usize) -> Arc<str> {
    format!("model{index:04}").into()
}

fn resident(engine: usize, place: usize, models: usize) -> usize {
    (engine * RESIDENTS + place) % models
}

pub(super) fn entry(index: usize, models: usize) -> EngineEntry {
    let mut loaded = LoadedModels::new();
    for place in 0..RESIDENTS {
        let adapters = (0..ADAPTERS / RESIDENTS).map(|a| format!("a{a}").into());
        loaded.insert(
            model_name(resident(index, place, models)),
            adapters.collect(),
        );
    }
    let [high, low] = u16::try_from(index).unwrap_or_default().to_be_bytes();
    EngineEntry {
        id: format!("i-{index:08x}").into(),
        service: SERVICE.into(),
        addr: ([10, 0, high, low], 8_000).into(),
        domain: "north".into(),
        software: "v1".into(),
        slots: 64,
        phase: EnginePhase::Ready,
        sequence: 1,
        incarnation: 1_000,
        models: loaded,
        copies: WeightCopies::default(),
    }
}

pub(super) fn load(engine: usize, models: usize) -> (Arc<str>, EngineLoad) {
    let mut load = EngineLoad {
        running: RESIDENTS as u32,
        ..EngineLoad::default()
    };
    for place in 0..RESIDENTS {
        let name = model_name(resident(engine, place, models));
        load.targets.insert(format!("{name}/a0").into(), 1);
    }
    (format!("i-{engine:08x}").into(), load)
}

pub(super) fn desired(models: usize) -> DesiredState {
    let mut hosting = Hosting {
        cache_tokens: 232_000,
        memory_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 50.0,
        ..Hosting::default()
    };
    for index in 0..models {
        let model = Model {
            memory_mb: 65_000.0,
            adapter_mb: 60.0,
            adapters: 12,
            store_load: Duration::from_secs(10),
            disk_load: Duration::from_millis(500),
            memory_load: Duration::from_millis(400),
        };
        hosting.models.insert(model_name(index), model);
    }
    let service = Service {
        name: SERVICE.into(),
        health_path: None,
        hosting: Some(hosting),
    };
    let mut desired = DesiredState {
        version: 1,
        ..DesiredState::default()
    };
    desired.services.insert(SERVICE.into(), Arc::new(service));
    desired
}

fn waiting(count: usize, models: usize) -> BTreeMap<ModelTarget, WaitingRequests> {
    let mut waiting = BTreeMap::new();
    for index in 0..count {
        let target = ModelTarget {
            service: SERVICE.into(),
            model: model_name(index * 7 % models),
            adapter: Some(format!("a{}", 4 + index % 8).into()),
            software: None,
        };
        let requests = WaitingRequests {
            count: 1,
            ..WaitingRequests::default()
        };
        waiting.insert(target, requests);
    }
    waiting
}

fn demand(models: usize) -> HashMap<ModelKey, Demand> {
    let mut demand = HashMap::new();
    for index in 0..models {
        let key = ModelKey::new(&SERVICE.into(), &model_name(index));
        let rate = 0.3;
        let work = 0.02;
        demand.insert(
            key,
            Demand {
                rate,
                work,
                tight: 0.1,
            },
        );
    }
    demand
}

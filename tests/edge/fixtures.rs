//! Fixtures for tests of the decisions: engines, models and demand.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::demand::{Demand, ModelKey};
use mastichinge::edge::desired::{
    DesiredState, Hosting, Model, Route, RouteKind, Service, WeightedService,
};
use mastichinge::edge::fleet::Fleet;
use mastichinge::edge::orders::{EngineReport, Order, OrderOutcome, Verb};
use mastichinge::edge::placement::{
    EngineCall, LeaderId, LoadHistory, ModelTarget, PlacementInput, Placer, WaitingRequests,
};
use mastichinge::edge::settings::Settings;
use mastichinge::edge::upstream::{EngineEntry, EnginePhase, LoadedModels, WeightCopies};

/// Service of all engines in these tests.
pub const SERVICE: &str = "assist";

/// Returns the entry of an engine that has loaded `models`.
pub fn entry(id: &str, port: u16, models: &[&str]) -> EngineEntry {
    let mut loaded = LoadedModels::new();
    for model in models {
        loaded.insert((*model).into(), BTreeSet::new());
    }
    EngineEntry {
        id: id.into(),
        service: SERVICE.into(),
        addr: ([10, 0, 0, 1], port).into(),
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

/// Returns a desired state with models of 60 GB on engines of 140 GB.
pub fn desired(models: &[&str]) -> DesiredState {
    let mut hosting = Hosting {
        cache_tokens: 232_000,
        memory_mb: 140_000.0,
        adapter_slots: 8,
        loads_per_s: 1.0,
        ..Hosting::default()
    };
    for name in models {
        let model = Model {
            memory_mb: 60_000.0,
            adapter_mb: 60.0,
            adapters: 12,
            store_load: Duration::from_secs(6),
            disk_load: Duration::from_millis(1_200),
            memory_load: Duration::from_millis(400),
        };
        hosting.models.insert((*name).into(), model);
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

/// A placer with its input; the test sets how engines answer orders, at once.
pub struct PlacerFixture {
    pub fleet: Fleet,
    pub desired: DesiredState,
    pub waiting: BTreeMap<ModelTarget, WaitingRequests>,
    pub demand: HashMap<ModelKey, Demand>,
    pub placer: Placer,
    pub now: Moment,
}

impl PlacerFixture {
    pub fn new(entries: Vec<EngineEntry>, desired: DesiredState) -> Self {
        let now = Moment::from_secs(100);
        let mut fleet = Fleet::default();
        fleet.update_entries(entries, &BTreeSet::new(), None, now);
        let leader = LeaderId {
            host: "edge-1".into(),
            fence: 7,
        };
        PlacerFixture {
            fleet,
            desired,
            waiting: BTreeMap::new(),
            demand: HashMap::new(),
            placer: Placer::new(leader, &Settings::default(), LoadHistory::None),
            now,
        }
    }

    /// Starts a new leadership.
    pub fn start_leadership(&mut self, past: LoadHistory) {
        let leader = LeaderId {
            host: "edge-1".into(),
            fence: 8,
        };
        self.placer = Placer::new(leader, &Settings::default(), past);
    }

    pub fn add_waiting(&mut self, model: &str, adapter: Option<&str>) {
        let target = ModelTarget {
            service: SERVICE.into(),
            model: model.into(),
            adapter: adapter.map(Into::into),
            software: None,
        };
        let requests = WaitingRequests {
            count: 1,
            ..WaitingRequests::default()
        };
        self.waiting.insert(target, requests);
    }

    /// Adds a route to the service whose streams may be resumed.
    pub fn add_stream_route(&mut self) {
        self.desired.add_route(Route {
            name: "stream".into(),
            host: "firm.example".into(),
            prefix: "/stream/".into(),
            kind: RouteKind::Stream,
            timeout: Duration::from_secs(6),
            objective: Duration::from_millis(800),
            priority: 1,
            targets: vec![WeightedService {
                service: SERVICE.into(),
                weight: 1.0,
            }],
            attempts: 2,
            resumable: true,
            gap: Duration::from_millis(400),
            public: false,
        });
    }

    pub fn set_demand(&mut self, model: &str, rate: f64, work: f64) {
        let key = ModelKey {
            service: SERVICE.into(),
            model: model.into(),
        };
        let tight = rate;
        self.demand.insert(key, Demand { rate, tight, work });
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Returns the calls that the placer decides on now.
    pub fn step(&mut self) -> Vec<EngineCall> {
        let input = PlacementInput {
            fleet: &self.fleet,
            desired: &self.desired,
            waiting: &self.waiting,
            demand: &self.demand,
            now: self.now,
        };
        self.placer.decide(&input)
    }

    pub fn report(&mut self, engine: &str, report: &EngineReport) {
        self.placer.handle_report(engine, Some(report), self.now);
    }

    pub fn answer_order(&mut self, order: &Order, outcome: OrderOutcome) {
        self.placer.handle_outcome(order, outcome, self.now);
    }

    /// Runs for `ms` with the reports of `report`; returns the orders, each answered
    /// with `outcome`.
    pub fn run(
        &mut self,
        ms: u64,
        report: impl Fn(&str) -> EngineReport,
        outcome: OrderOutcome,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for _ in 0..ms / 20 {
            for call in self.step() {
                match call {
                    EngineCall::Report(engine) => self.report(&engine, &report(&engine)),
                    EngineCall::Order(order) => {
                        self.answer_order(&order, outcome);
                        orders.push(order);
                    }
                }
            }
            self.advance(20);
        }
        orders
    }
}

/// Returns the report of an idle engine that has loaded `models`.
pub fn report(models: &[&str], orders: u64) -> EngineReport {
    EngineReport {
        models: entry("", 1, models).models,
        order_count: orders,
        incarnation: 1_000,
        ..EngineReport::default()
    }
}

/// Returns the engine and model of each order that loads a model.
pub fn loads(orders: &[Order]) -> Vec<(&str, &str)> {
    let of_model = |o: &&Order| o.verb == Verb::Load && o.adapter.is_none();
    orders
        .iter()
        .filter(of_model)
        .map(|o| (&*o.engine, &*o.model))
        .collect()
}

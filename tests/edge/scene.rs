//! Engines, models and demand for tests of the decisions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::demand::{Demand, ModelKey};
use mastichinge::edge::desired::{Desired, Hosting, Model, Service};
use mastichinge::edge::fleet::{Copies, Entry, Fleet, Held, Phase};
use mastichinge::edge::orders::{Order, Outcome, Report, Verb};
use mastichinge::edge::placement::{
    EngineCall, LeaderId, LoadHistory, ModelTarget, PlacementInput, Placer, WaitingRequests,
};
use mastichinge::edge::settings::Settings;

/// Service of all engines in these tests.
pub const SERVICE: &str = "assist";

/// An engine's entry that holds `models`.
pub fn entry(id: &str, port: u16, models: &[&str]) -> Entry {
    let mut held = Held::new();
    for model in models {
        held.insert((*model).into(), BTreeSet::new());
    }
    Entry {
        id: id.into(),
        service: SERVICE.into(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: "north".into(),
        slots: 64,
        phase: Phase::Ready,
        beat: 1,
        born: 1_000,
        held,
        copies: Copies::default(),
    }
}

/// A desired state with models of 60 GB on engines of 140 GB.
pub fn desired(models: &[&str]) -> Desired {
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
            load: Duration::from_secs(6),
            disk: Duration::from_millis(1_200),
            warm: Duration::from_millis(400),
        };
        hosting.models.insert((*name).into(), model);
    }
    let service = Service {
        name: SERVICE.into(),
        hosting: Some(hosting),
    };
    let mut desired = Desired {
        version: 1,
        ..Desired::default()
    };
    desired.services.insert(SERVICE.into(), Arc::new(service));
    desired
}

/// A world around one placer: engines answer at once, as the test says.
pub struct World {
    pub fleet: Fleet,
    pub desired: Desired,
    pub wants: BTreeMap<ModelTarget, WaitingRequests>,
    pub demand: HashMap<ModelKey, Demand>,
    pub placer: Placer,
    pub now: Moment,
}

impl World {
    pub fn new(entries: Vec<Entry>, desired: Desired) -> Self {
        let now = Moment::from_secs(100);
        let mut fleet = Fleet::default();
        fleet.read(entries, &BTreeSet::new(), None, now);
        let leader = LeaderId {
            host: "edge-1".into(),
            fence: 7,
        };
        World {
            fleet,
            desired,
            wants: BTreeMap::new(),
            demand: HashMap::new(),
            placer: Placer::new(leader, &Settings::default(), LoadHistory::None),
            now,
        }
    }

    /// Begins another leadership.
    pub fn take_over(&mut self, past: LoadHistory) {
        let leader = LeaderId {
            host: "edge-1".into(),
            fence: 8,
        };
        self.placer = Placer::new(leader, &Settings::default(), past);
    }

    pub fn want(&mut self, model: &str, adapter: Option<&str>) {
        let target = ModelTarget {
            service: SERVICE.into(),
            model: model.into(),
            adapter: adapter.map(Into::into),
        };
        let want = WaitingRequests {
            waiting: 1,
            ..WaitingRequests::default()
        };
        self.wants.insert(target, want);
    }

    pub fn ask(&mut self, model: &str, rate: f64, work: f64) {
        let which = ModelKey {
            service: SERVICE.into(),
            model: model.into(),
        };
        let tight = rate;
        self.demand.insert(which, Demand { rate, tight, work });
    }

    pub fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    pub fn step(&mut self) -> Vec<EngineCall> {
        let input = PlacementInput {
            fleet: &self.fleet,
            desired: &self.desired,
            waiting: &self.wants,
            demand: &self.demand,
            now: self.now,
        };
        self.placer.decide(&input)
    }

    pub fn report(&mut self, engine: &str, report: &Report) {
        self.placer.handle_report(engine, Some(report), self.now);
    }

    pub fn answer(&mut self, order: &Order, outcome: Outcome) {
        self.placer.handle_outcome(order, outcome, self.now);
    }

    /// Runs for `ms`, with reports given by `report`; returns the orders,
    /// each answered with `outcome`.
    pub fn run(
        &mut self,
        ms: u64,
        report: impl Fn(&str) -> Report,
        outcome: Outcome,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for _ in 0..ms / 20 {
            for act in self.step() {
                match act {
                    EngineCall::Report(engine) => self.report(&engine, &report(&engine)),
                    EngineCall::Order(order) => {
                        self.answer(&order, outcome);
                        orders.push(order);
                    }
                }
            }
            self.pass(20);
        }
        orders
    }
}

/// A report of an idle engine that holds `models`.
pub fn report(models: &[&str], orders: u64) -> Report {
    Report {
        held: entry("", 1, models).held,
        orders,
        born: 1_000,
        ..Report::default()
    }
}

/// The loads of models among orders.
pub fn loads(orders: &[Order]) -> Vec<(&str, &str)> {
    let of_model = |o: &&Order| o.verb == Verb::Load && o.adapter.is_none();
    orders
        .iter()
        .filter(of_model)
        .map(|o| (&*o.engine, &*o.model))
        .collect()
}

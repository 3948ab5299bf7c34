//! Firms: their models, engines and kinds of requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::edge::desired::{DesiredState, Hosting, Model, Route, RouteKind, Service};
use rand::distr::{Distribution, Uniform};
use rand_chacha::ChaCha8Rng;

/// Name of the only service.
pub const SERVICE: &str = "assist";

/// A size that is spread lognormally.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    mean: f64,
    spread: f64,
    most: f64,
}

impl Size {
    const fn new(mean: f64, spread: f64, most: f64) -> Self {
        Size { mean, spread, most }
    }

    /// Draws a size.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> u32 {
        // The sum of twelve uniform draws is nearly normal.
        let unit = Uniform::new(0.0, 1.0).expect("a range");
        let normal: f64 = (0..12).map(|_| unit.sample(rng)).sum::<f64>() - 6.0;
        let value = self.mean * (self.spread * normal - self.spread * self.spread / 2.0).exp();
        value.min(self.most).max(1.0) as u32
    }
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its route.
    pub route: Arc<Route>,
    /// Requests a second.
    pub per_s: f64,
    /// Worth in time.
    pub worth: f64,
    /// Worth when late.
    pub late: f64,
    /// Own part of the prompt, tokens.
    pub input: Size,
    /// Answer, tokens.
    pub output: Size,
    /// Shared parts: tokens of each, and how many there are.
    pub shared: [(u32, u32); 2],
    /// Models asked for, most wanted first.
    pub models: Vec<usize>,
    /// How many of them at one time.
    pub now: usize,
    /// Weight of the n-th is n to minus this.
    pub skew: f64,
    /// Part of the requests that ask for an adapter.
    pub adapters: f64,
}

/// A model.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name.
    pub name: Arc<str>,
    /// What the desired state says of it.
    pub model: Model,
    /// Time over the usual one.
    pub pace: f64,
}

/// What a firm runs.
#[derive(Clone, Debug)]
pub struct Firm {
    /// Name.
    pub name: &'static str,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Models.
    pub models: Vec<Spec>,
    /// Engines.
    pub engines: usize,
    /// Memory of an engine for weights, MB.
    pub memory_mb: f64,
    /// Host memory of an engine for copies, MB.
    pub host_mb: f64,
    /// Disk of an engine for copies, MB.
    pub disk_mb: f64,
    /// Loads a second that the weight store allows.
    pub loads_per_s: f64,
    /// Daemons.
    pub daemons: usize,
}

/// Size and speed of a model in use.
#[derive(Clone, Copy, Debug)]
struct Make {
    memory_mb: f64,
    pace: f64,
    disk_ms: u64,
    warm_ms: u64,
}

const LARGE: Make = Make {
    memory_mb: 72_700.0,
    pace: 1.0,
    disk_ms: 1_200,
    warm_ms: 400,
};
const SPARSE: Make = Make {
    memory_mb: 65_100.0,
    pace: 0.34,
    disk_ms: 1_000,
    warm_ms: 380,
};
const MIDDLE: Make = Make {
    memory_mb: 65_500.0,
    pace: 0.93,
    disk_ms: 1_000,
    warm_ms: 380,
};
const SMALL: Make = Make {
    memory_mb: 34_300.0,
    pace: 0.6,
    disk_ms: 520,
    warm_ms: 280,
};

/// Models with so many adapters each, and models without any.
fn specs(tuned: &[(Make, u32)], plain: &[Make]) -> Vec<Spec> {
    let mut specs = Vec::new();
    let plain = plain.iter().map(|make| (*make, 0));
    for (make, adapters) in tuned.iter().copied().chain(plain) {
        specs.push(Spec {
            name: format!("m{}", specs.len()).into(),
            pace: make.pace,
            model: Model {
                memory_mb: make.memory_mb,
                adapter_mb: 66.0,
                adapters,
                store_load: Duration::from_secs(6),
                disk_load: Duration::from_millis(make.disk_ms),
                memory_load: Duration::from_millis(make.warm_ms),
            },
        });
    }
    specs
}

fn route(name: &str, priority: u8, times: (u64, u64), attempts: u32) -> Arc<Route> {
    let (objective, timeout) = times;
    Arc::new(Route {
        name: name.into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Stream,
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(objective),
        priority,
        targets: Vec::new(),
        attempts,
        resumable: attempts > 1,
        gap: Duration::from_millis(400),
    })
}

/// Drafts with a long shared start, priority drafts, and chat.
fn kinds(rates: [f64; 3], worths: [(f64, f64); 3], popular: usize, all: usize) -> Vec<Kind> {
    let draft = Kind {
        route: route("draft", 1, (800, 6_000), 2),
        per_s: rates[0],
        worth: worths[0].0,
        late: worths[0].1,
        input: Size::new(2_890.0, 1.0, 39_600.0),
        output: Size::new(52.0, 1.4, 208.0),
        shared: [(2_520, 3), (3_780, 23)],
        models: (0..popular).collect(),
        now: 4,
        skew: 0.4,
        adapters: 0.1,
    };
    let urgent = Kind {
        route: route("urgent-draft", 1, (3_000, 17_000), 1),
        per_s: rates[1],
        worth: worths[1].0,
        late: worths[1].1,
        shared: [(2_520, 1), (3_780, 2)],
        models: (popular..all).collect(),
        now: all - popular,
        skew: 0.0,
        adapters: 0.0,
        ..draft.clone()
    };
    let chat = Kind {
        route: route("chat", 0, (500, 15_000), 2),
        per_s: rates[2],
        worth: worths[2].0,
        late: worths[2].1,
        input: Size::new(628.0, 1.0, 3_310.0),
        output: Size::new(292.0, 0.69, 876.0),
        shared: [(119, 3), (79, 26)],
        adapters: 0.5,
        ..draft.clone()
    };
    vec![draft, urgent, chat]
}

impl Firm {
    /// The firm with this name.
    pub fn named(name: &str) -> Option<Firm> {
        match name {
            "harrowby" => Some(Firm::harrowby()),
            "kunene" => Some(Firm::kunene()),
            _ => None,
        }
    }

    /// Ticketing: 30 models on 9 engines of 200 GB.
    pub fn harrowby() -> Firm {
        let tuned = [
            (LARGE, 32),
            (LARGE, 0),
            (LARGE, 12),
            (SPARSE, 0),
            (LARGE, 12),
        ];
        let plain = [
            SMALL, SPARSE, MIDDLE, MIDDLE, SPARSE, LARGE, SMALL, SPARSE, LARGE, MIDDLE, SMALL,
            LARGE, LARGE, LARGE, SPARSE, SPARSE, SPARSE, SMALL, LARGE, SPARSE, LARGE, SMALL, LARGE,
            SMALL, MIDDLE,
        ];
        let worths = [(1.6, 0.48), (9.1, 1.4), (1.3, 0.39)];
        Firm {
            name: "harrowby",
            kinds: kinds([5.48, 2.37, 6.38], worths, 8, 30),
            models: specs(&tuned, &plain),
            engines: 9,
            memory_mb: 200_000.0,
            host_mb: 120_000.0,
            disk_mb: 470_000.0,
            loads_per_s: 1.6,
            daemons: 5,
        }
    }

    /// Lamp collection: 28 models on 12 engines of 140 GB.
    pub fn kunene() -> Firm {
        let tuned = [
            (LARGE, 31),
            (LARGE, 0),
            (LARGE, 9),
            (SPARSE, 0),
            (LARGE, 9),
            (LARGE, 0),
            (SPARSE, 7),
            (LARGE, 0),
            (LARGE, 7),
            (SPARSE, 0),
        ];
        let plain = [
            LARGE, SMALL, LARGE, SMALL, SMALL, SMALL, SMALL, SPARSE, SMALL, SMALL, MIDDLE, SMALL,
            SMALL, SPARSE, SPARSE, SMALL, SPARSE, SMALL,
        ];
        let worths = [(2.2, 0.67), (9.0, 1.3), (0.9, 0.27)];
        Firm {
            name: "kunene",
            kinds: kinds([7.33, 3.16, 8.54], worths, 10, 28),
            models: specs(&tuned, &plain),
            engines: 12,
            memory_mb: 140_000.0,
            loads_per_s: 2.8,
            ..Firm::harrowby()
        }
    }

    /// The firm with so many daemons, everything else in proportion.
    pub fn grown(&self, daemons: usize) -> Firm {
        let times = daemons as f64 / self.daemons as f64;
        let mut firm = self.clone();
        firm.daemons = daemons;
        firm.engines = (self.engines as f64 * times).round() as usize;
        firm.loads_per_s *= times;
        let count = (self.models.len() as f64 * times).round() as usize;
        firm.models = (0..count)
            .map(|i| Spec {
                name: format!("m{i}").into(),
                ..self.models[i % self.models.len()].clone()
            })
            .collect();
        for kind in &mut firm.kinds {
            kind.per_s *= times;
            let asked = |i: &usize| kind.models.contains(&(i % self.models.len()));
            let models: Vec<usize> = (0..count).filter(asked).collect();
            kind.now = (kind.now as f64 * times).round() as usize;
            kind.models = models;
        }
        firm
    }

    /// Its desired state.
    pub fn desired(&self) -> DesiredState {
        let models = self.models.iter();
        let hosting = Hosting {
            cache_tokens: 232_000,
            memory_mb: self.memory_mb,
            adapter_slots: 8,
            loads_per_s: self.loads_per_s,
            models: models.map(|m| (m.name.clone(), m.model.clone())).collect(),
        };
        let service = Service {
            name: SERVICE.into(),
            hosting: Some(hosting),
        };
        DesiredState {
            version: 1,
            services: HashMap::from([(SERVICE.into(), Arc::new(service))]),
            ..DesiredState::default()
        }
    }
}

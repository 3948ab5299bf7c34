//! The simulated firms: models, engines and kinds of requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::engine::BATCH_SLOTS;
use mastichinge::edge::desired::{DesiredState, Hosting, Model, Route, RouteKind, Service};
use rand::distr::{Distribution, Uniform};
use rand_chacha::ChaCha8Rng;

/// Name of the only service.
pub const SERVICE: &str = "assist";

/// Lognormal distribution of token counts, capped at a maximum.
#[derive(Clone, Copy, Debug)]
pub struct TokenDistribution {
    mean: f64,
    sigma: f64,
    maximum: f64,
}

impl TokenDistribution {
    const fn new(mean: f64, sigma: f64, maximum: f64) -> Self {
        TokenDistribution {
            mean,
            sigma,
            maximum,
        }
    }

    /// Draws a token count.
    pub fn sample_tokens(&self, rng: &mut ChaCha8Rng) -> u32 {
        // The sum of twelve uniform draws is nearly normal.
        let unit = Uniform::new(0.0, 1.0).expect("a range");
        let normal: f64 = (0..12).map(|_| unit.sample(rng)).sum::<f64>() - 6.0;
        let value = self.mean * (self.sigma * normal - self.sigma * self.sigma / 2.0).exp();
        value.min(self.maximum).max(1.0) as u32
    }
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Route.
    pub route: Arc<Route>,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Worth of a request served within the objective.
    pub worth: f64,
    /// Worth of a request served late.
    pub late_worth: f64,
    /// Unshared part of the prompt, tokens.
    pub input_tokens: TokenDistribution,
    /// Output, tokens.
    pub output_tokens: TokenDistribution,
    /// Shared prompt parts of two levels: tokens of each part and number of parts.
    pub shared_parts: [(u32, u32); 2],
    /// Indexes of the requested models, most requested first.
    pub models: Vec<usize>,
    /// Number of models requested at one time.
    pub active_models: usize,
    /// Zipf exponent: the n-th model has the weight n^-skew.
    pub skew: f64,
    /// Fraction of the requests that use an adapter.
    pub adapter_fraction: f64,
}

/// A model.
#[derive(Clone, Debug)]
pub struct ModelSpec {
    /// Name.
    pub name: Arc<str>,
    /// Its definition in the desired state.
    pub model: Model,
    /// Time per token relative to the largest models.
    pub time_factor: f64,
}

/// The deployment and load of a firm.
#[derive(Clone, Debug)]
pub struct Firm {
    /// Name.
    pub name: &'static str,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Number of engines.
    pub engine_count: usize,
    /// Memory of an engine for weights, MB.
    pub memory_mb: f64,
    /// Host memory of an engine for copies of weights, MB.
    pub host_mb: f64,
    /// Disk space of an engine for copies of weights, MB.
    pub disk_mb: f64,
    /// Loads per second that the weight store allows.
    pub loads_per_s: f64,
    /// Number of daemons.
    pub daemon_count: usize,
}

/// Memory, relative speed and load times of a class of models.
#[derive(Clone, Copy, Debug)]
struct ModelClass {
    memory_mb: f64,
    time_factor: f64,
    disk_ms: u64,
    warm_ms: u64,
}

const LARGE: ModelClass = ModelClass {
    memory_mb: 72_700.0,
    time_factor: 1.0,
    disk_ms: 1_200,
    warm_ms: 400,
};
const SPARSE: ModelClass = ModelClass {
    memory_mb: 65_100.0,
    time_factor: 0.34,
    disk_ms: 1_000,
    warm_ms: 380,
};
const MIDDLE: ModelClass = ModelClass {
    memory_mb: 65_500.0,
    time_factor: 0.93,
    disk_ms: 1_000,
    warm_ms: 380,
};
const SMALL: ModelClass = ModelClass {
    memory_mb: 34_300.0,
    time_factor: 0.6,
    disk_ms: 520,
    warm_ms: 280,
};

/// Builds the models: first those with their numbers of adapters, then those
/// without any.
fn model_specs(with_adapters: &[(ModelClass, u32)], plain: &[ModelClass]) -> Vec<ModelSpec> {
    let mut specs = Vec::new();
    let plain = plain.iter().map(|class| (*class, 0));
    for (class, adapters) in with_adapters.iter().copied().chain(plain) {
        specs.push(ModelSpec {
            name: format!("m{}", specs.len()).into(),
            time_factor: class.time_factor,
            model: Model {
                memory_mb: class.memory_mb,
                adapter_mb: 66.0,
                adapters,
                store_load: Duration::from_secs(6),
                disk_load: Duration::from_millis(class.disk_ms),
                memory_load: Duration::from_millis(class.warm_ms),
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
        public: false,
    })
}

/// Builds three kinds of requests: drafts with a long shared prefix, urgent
/// drafts, and chat. The first `popular` of `all` models serve drafts and chat, the
/// others urgent drafts.
fn request_kinds(
    rates: [f64; 3],
    worths: [(f64, f64); 3],
    popular: usize,
    all: usize,
) -> Vec<RequestKind> {
    let draft = RequestKind {
        route: route("draft", 1, (800, 6_000), 2),
        rate_per_s: rates[0],
        worth: worths[0].0,
        late_worth: worths[0].1,
        input_tokens: TokenDistribution::new(2_890.0, 1.0, 39_600.0),
        output_tokens: TokenDistribution::new(52.0, 1.4, 208.0),
        shared_parts: [(2_520, 3), (3_780, 23)],
        models: (0..popular).collect(),
        active_models: 4,
        skew: 0.4,
        adapter_fraction: 0.1,
    };
    let urgent = RequestKind {
        route: route("urgent-draft", 1, (3_000, 17_000), 1),
        rate_per_s: rates[1],
        worth: worths[1].0,
        late_worth: worths[1].1,
        shared_parts: [(2_520, 1), (3_780, 2)],
        models: (popular..all).collect(),
        active_models: all - popular,
        skew: 0.0,
        adapter_fraction: 0.0,
        ..draft.clone()
    };
    let chat = RequestKind {
        route: route("chat", 0, (500, 15_000), 2),
        rate_per_s: rates[2],
        worth: worths[2].0,
        late_worth: worths[2].1,
        input_tokens: TokenDistribution::new(628.0, 1.0, 3_310.0),
        output_tokens: TokenDistribution::new(292.0, 0.69, 876.0),
        shared_parts: [(119, 3), (79, 26)],
        adapter_fraction: 0.5,
        ..draft.clone()
    };
    vec![draft, urgent, chat]
}

impl Firm {
    /// Returns the firm with this name.
    pub fn by_name(name: &str) -> Option<Firm> {
        match name {
            "harrowby" => Some(Firm::harrowby()),
            "kunene" => Some(Firm::kunene()),
            _ => None,
        }
    }

    /// Returns a ticketing firm: 30 models on 9 engines of 200 GB.
    pub fn harrowby() -> Firm {
        let with_adapters = [
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
            kinds: request_kinds([5.48, 2.37, 6.38], worths, 8, 30),
            models: model_specs(&with_adapters, &plain),
            engine_count: 9,
            memory_mb: 200_000.0,
            host_mb: 120_000.0,
            disk_mb: 470_000.0,
            loads_per_s: 1.6,
            daemon_count: 5,
        }
    }

    /// Returns a lamp collection firm: 28 models on 12 engines of 140 GB.
    pub fn kunene() -> Firm {
        let with_adapters = [
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
            kinds: request_kinds([7.33, 3.16, 8.54], worths, 10, 28),
            models: model_specs(&with_adapters, &plain),
            engine_count: 12,
            memory_mb: 140_000.0,
            loads_per_s: 2.8,
            ..Firm::harrowby()
        }
    }

    /// Returns the firm with this many daemons and everything else in proportion.
    pub fn scaled_to(&self, daemons: usize) -> Firm {
        let factor = daemons as f64 / self.daemon_count as f64;
        let mut firm = self.clone();
        firm.daemon_count = daemons;
        firm.engine_count = (self.engine_count as f64 * factor).round() as usize;
        firm.loads_per_s *= factor;
        let count = (self.models.len() as f64 * factor).round() as usize;
        firm.models = (0..count)
            .map(|i| ModelSpec {
                name: format!("m{i}").into(),
                ..self.models[i % self.models.len()].clone()
            })
            .collect();
        for kind in &mut firm.kinds {
            kind.rate_per_s *= factor;
            let is_requested = |i: &usize| kind.models.contains(&(i % self.models.len()));
            let models: Vec<usize> = (0..count).filter(is_requested).collect();
            kind.active_models = (kind.active_models as f64 * factor).round() as usize;
            kind.models = models;
        }
        firm
    }

    /// Returns the desired state of the deployment.
    pub fn desired_state(&self) -> DesiredState {
        let models = self.models.iter();
        let hosting = Hosting {
            cache_tokens: 232_000,
            memory_mb: self.memory_mb,
            adapter_slots: 8,
            slots: BATCH_SLOTS as u32,
            loads_per_s: self.loads_per_s,
            models: models.map(|m| (m.name.clone(), m.model.clone())).collect(),
        };
        let service = Service {
            name: SERVICE.into(),
            health_path: None,
            hosting: Some(hosting),
        };
        DesiredState {
            version: 1,
            services: HashMap::from([(SERVICE.into(), Arc::new(service))]),
            ..DesiredState::default()
        }
    }
}

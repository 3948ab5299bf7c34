//! The desired state: routes and services that operators declare.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// One version of the desired state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Desired {
    /// Version; only rises.
    pub version: u64,
    /// Routes by host, longest path prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// What callers may send.
    pub limits: Limits,
}

/// What may be repeated, and in which form the answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// Answered by events; may run again only from where it stopped, and only
    /// where the route says so.
    Stream,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Value of the `Host` header, in lower case.
    pub host: Arc<str>,
    /// Start of the path; ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the end of the answer.
    pub timeout: Duration,
    /// Latency objective: to the whole answer, of streams to the first event.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub targets: Vec<WeightedService>,
    /// Most engines that one request may be sent to.
    pub attempts: u32,
    /// Whether a broken stream may go on at another engine.
    pub resumable: bool,
    /// Longest pause between two events that counts as in time.
    pub gap: Duration,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for a request: `draw` is uniform in `0.0..1.0`.
    pub fn target(&self, draw: f64) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share in proportion to the other targets' weights.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// What its engines can hold; absent for plain services.
    pub hosting: Option<Hosting>,
}

/// What the model engines of a service can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosting {
    /// Memory for prompts and answers, tokens.
    pub cache_tokens: u64,
    /// Memory for weights and adapters, MB.
    pub memory_mb: f64,
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: HashMap<Arc<str>, Model>,
}

/// One model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Size of the weights, MB.
    pub memory_mb: f64,
    /// Size of one adapter, MB.
    pub adapter_mb: f64,
    /// Number of adapters.
    pub adapters: u32,
    /// Time of a load from the weight store.
    pub load: Duration,
    /// Time of a load from the engine's disk.
    pub disk: Duration,
    /// Time of a load from the engine's host memory.
    pub warm: Duration,
}

impl Model {
    /// Whether a request with this objective has no time for a load.
    pub fn tight(&self, objective: Duration) -> bool {
        self.disk >= objective
    }
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, bytes.
    pub head: usize,
    /// Largest body, bytes.
    pub body: usize,
    /// Longest time that a connection may stay idle, or take for a head.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head: 16_384,
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

impl Desired {
    /// The route of a request: among the routes of its host, the one with the
    /// longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let lower = host.to_ascii_lowercase();
        let routes = self.routes.get(lower.as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Adds a route at its place.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// What the engines of `service` can hold.
    pub fn hosting(&self, service: &str) -> Option<&Hosting> {
        self.services.get(service)?.hosting.as_ref()
    }
}

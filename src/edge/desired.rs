//! Desired state: the routes and services that operators declare.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::customers::Customers;

/// One version of the desired state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Version; only increases.
    pub version: u64,
    /// Routes by host, longest path prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Customers and their keys.
    pub customers: Customers,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
}

/// How often a request may run, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// Answered by a stream of events; may be resumed where it stopped if the route
    /// allows that.
    Stream,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Value of the `Host` header, in lower case.
    pub host: Arc<str>,
    /// Path prefix; ends with a slash.
    pub prefix: Arc<str>,
    /// Kind.
    pub kind: RouteKind,
    /// Maximum time until the end of the answer.
    pub timeout: Duration,
    /// Latency objective: time to the whole answer, for streams to the first event.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services among which requests are split.
    pub targets: Vec<WeightedService>,
    /// Maximum number of engines that one request may be sent to.
    pub attempts: u32,
    /// Whether a broken stream may be resumed at another engine.
    pub resumable: bool,
    /// Maximum pause between two events that counts as in time.
    pub gap: Duration,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Returns whether it has streams that may be resumed.
    pub fn has_resumable_streams(&self) -> bool {
        self.kind == RouteKind::Stream && self.resumable
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Returns whether several services get a share of its requests.
    pub fn is_split(&self) -> bool {
        self.targets.iter().filter(|t| t.weight > 0.0).count() > 1
    }

    /// Returns the service for a request; `draw` is uniform in `0.0..1.0`.
    pub fn choose_service(&self, draw: f64) -> Option<&Arc<str>> {
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

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight; the share is in proportion to the weights of all targets.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path at which its engines answer health checks, if any.
    pub health_path: Option<Arc<str>>,
    /// Capacity of its model engines; absent for plain services.
    pub hosting: Option<Hosting>,
}

/// Capacity of the model engines of a service, and the models they can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosting {
    /// Requests that an engine processes at the same time; 0 when unknown.
    pub slots: u32,
    /// Capacity for prompts and answers, tokens.
    pub cache_tokens: u64,
    /// Memory for weights and adapters, MB.
    pub memory_mb: f64,
    /// Number of adapters that fit on an engine.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows for all engines together.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: HashMap<Arc<str>, Model>,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Size of the weights, MB.
    pub memory_mb: f64,
    /// Size of one adapter, MB.
    pub adapter_mb: f64,
    /// Number of adapters.
    pub adapters: u32,
    /// Load time from the weight store.
    pub store_load: Duration,
    /// Load time from the engine's disk.
    pub disk_load: Duration,
    /// Load time from the engine's host memory.
    pub memory_load: Duration,
}

impl Model {
    /// Returns whether a request with this objective has no time for a load.
    pub fn is_tight(&self, objective: Duration) -> bool {
        self.disk_load >= objective
    }
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head, bytes.
    pub head: usize,
    /// Maximum size of a request body, bytes.
    pub body: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub head_time: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            head: 16_384,
            body: 4 << 20,
            head_time: Duration::from_secs(10),
            idle: Duration::from_secs(15),
        }
    }
}

impl DesiredState {
    /// Returns the route of a request: the route of its host with the longest
    /// matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let lower = host.to_ascii_lowercase();
        let routes = self.routes.get(lower.as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Adds a route, keeping the order by prefix length.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// Returns the capacity of the engines of `service`.
    pub fn hosting(&self, service: &str) -> Option<&Hosting> {
        self.services.get(service)?.hosting.as_ref()
    }
}

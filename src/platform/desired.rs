//! Decodes the operators' desired state.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use super::customers::{self, InvalidCustomers};
use crate::edge::desired::{
    DesiredState, Hosting, Model, RequestLimits, Route, RouteKind, Service, WeightedService,
};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireDesired {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    tenants: Option<Value>,
    limits: Option<WireLimits>,
}

/// A desired state that cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum InvalidDesired {
    /// It is not JSON, or a field has a wrong type.
    #[error(transparent)]
    Field(#[from] serde_json::Error),
    /// Its customers are faulty.
    #[error(transparent)]
    Customers(#[from] InvalidCustomers),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    #[serde(default)]
    name: Arc<str>,
    host: String,
    path_prefix: Arc<str>,
    kind: WireKind,
    timeout_ms: f64,
    latency_target_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<Arc<str>>,
    #[serde(default)]
    split: Vec<WireTarget>,
    attempts: Option<u32>,
    #[serde(default)]
    resumable: bool,
    gap_target_ms: Option<f64>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireKind {
    Idempotent,
    NonIdempotent,
    Stream,
    /// An unknown kind, handled like the most restrictive one.
    #[serde(other)]
    Other,
}

#[derive(Deserialize)]
struct WireTarget {
    service: Arc<str>,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: Arc<str>,
    health_path: Option<Arc<str>>,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEngine {
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    kv_capacity: u64,
    #[serde(default)]
    weights_mb: f64,
    #[serde(default)]
    adapter_slots: u32,
    #[serde(default)]
    loads_per_s: f64,
    #[serde(default)]
    models: Vec<WireModel>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireModel {
    name: Arc<str>,
    weights_mb: f64,
    load_s: f64,
    #[serde(default)]
    adapters: u32,
    #[serde(default)]
    adapter_mb: f64,
    warm_s: Option<f64>,
    disk_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// Decodes a desired state; the error names the faulty field.
pub fn decode(bytes: &[u8]) -> Result<DesiredState, InvalidDesired> {
    let wire: WireDesired = serde_json::from_slice(bytes)?;
    let mut desired = DesiredState {
        version: wire.version,
        customers: customers::decode(wire.tenants)?,
        limits: wire.limits.map(decode_limits).unwrap_or_default(),
        ..DesiredState::default()
    };
    for route in wire.routes {
        desired.add_route(decode_route(route));
    }
    for service in wire.services {
        let service = decode_service(service);
        desired
            .services
            .insert(service.name.clone(), Arc::new(service));
    }
    Ok(desired)
}

fn decode_route(wire: WireRoute) -> Route {
    let mut targets = Vec::new();
    for target in wire.split {
        targets.push(WeightedService {
            service: target.service,
            weight: target.weight,
        });
    }
    if let (true, Some(service)) = (targets.is_empty(), wire.service) {
        let weight = 1.0;
        targets.push(WeightedService { service, weight });
    }
    let timeout = millis(wire.timeout_ms);
    Route {
        name: wire.name,
        host: wire.host.to_ascii_lowercase().into(),
        prefix: wire.path_prefix,
        kind: match wire.kind {
            WireKind::Idempotent => RouteKind::Idempotent,
            WireKind::Stream => RouteKind::Stream,
            WireKind::NonIdempotent | WireKind::Other => RouteKind::Once,
        },
        timeout,
        objective: wire.latency_target_ms.map_or(timeout, millis),
        priority: wire.priority,
        targets,
        attempts: wire.attempts.unwrap_or(1).max(1),
        resumable: wire.resumable,
        gap: wire.gap_target_ms.map_or(timeout, millis),
        public: wire.public,
    }
}

fn decode_service(wire: WireService) -> Service {
    Service {
        name: wire.name,
        health_path: wire.health_path.filter(|path| path.starts_with('/')),
        hosting: wire.engine.map(decode_hosting),
    }
}

fn decode_hosting(wire: WireEngine) -> Hosting {
    let mut hosting = Hosting {
        slots: wire.slots,
        cache_tokens: wire.kv_capacity,
        memory_mb: wire.weights_mb,
        adapter_slots: wire.adapter_slots,
        loads_per_s: wire.loads_per_s,
        ..Hosting::default()
    };
    for model in wire.models {
        let load = seconds(model.load_s);
        let decoded = Model {
            memory_mb: model.weights_mb,
            adapter_mb: model.adapter_mb,
            adapters: model.adapters,
            store_load: load,
            disk_load: model.disk_s.map_or(load, seconds),
            memory_load: model.warm_s.map_or(load, seconds),
        };
        hosting.models.insert(model.name, decoded);
    }
    hosting
}

fn decode_limits(wire: WireLimits) -> RequestLimits {
    let defaults = RequestLimits::default();
    RequestLimits {
        head: wire.max_header_bytes.unwrap_or(defaults.head),
        body: wire.max_body_bytes.unwrap_or(defaults.body),
        head_time: wire.header_timeout_ms.map_or(defaults.head_time, millis),
        idle: wire.idle_timeout_ms.map_or(defaults.idle, millis),
    }
}

fn millis(ms: f64) -> Duration {
    seconds(ms / 1_000.0)
}

/// Returns a duration of `s` seconds; negative numbers become zero and numbers out of
/// range [`Duration::MAX`].
fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s.max(0.0)).unwrap_or(Duration::MAX)
}

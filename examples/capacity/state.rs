//! State of a daemon at a given size.

use std::collections::HashMap;
use std::sync::Arc;

use mastichinge::config::entry::Entry;
use mastichinge::config::state::ActiveConfig;
use mastichinge::decide::history::ArrivalHistory;
use serde_json::{Map, Value, json};

use crate::scene;

/// Engines of a pool at the size to design for.
pub const POOL_ENGINES: usize = 50;

/// Name of an engine.
pub fn engine(i: usize) -> String {
    format!("engine-{i:04}")
}

/// Name of an adapter.
pub fn adapter(i: usize) -> String {
    format!("adapter-{i:05}")
}

fn model(i: usize) -> String {
    format!("model-{i:03}")
}

/// The configuration document with the models and engines of the size to
/// design for and so many adapters.
pub fn document(adapters: usize) -> Value {
    let mut models = Map::new();
    for i in 0..scene::FULL.models {
        let pool = format!("pool-{:02}", i % 46);
        let content = json!({ "pool": pool, "memory": 40_000, "limit": 4, "load_ms": 30_000 });
        models.insert(model(i), content);
    }
    for i in 0..adapters {
        let base = i % scene::FULL.models;
        let pool = format!("pool-{:02}", base % 46);
        let content = json!({
            "base": model(base), "pool": pool, "team": format!("team-{}", i % 300),
            "memory": 200, "limit": 2, "load_ms": 500,
        });
        models.insert(adapter(i), content);
    }
    let mut engines = Map::new();
    for i in 0..scene::FULL.engines {
        let content = json!({
            "addr": format!("10.1.{}.{}:8000", i / 250, i % 250),
            "pool": format!("pool-{:02}", i / POOL_ENGINES),
            "domain": format!("domain-{:02}", i % 14),
        });
        engines.insert(engine(i), content);
    }
    json!({ "models": models, "engines": engines })
}

/// The configuration in force with so many adapters.
pub fn current(adapters: usize) -> ActiveConfig {
    let mut current = ActiveConfig::default();
    let restored = current.restore(1, &document(adapters));
    restored.expect("the document is valid");
    current
}

/// A change on version `base` that raises the limits of `count` adapters.
pub fn entry(base: u64, count: usize) -> Entry {
    let mut models = Map::new();
    for i in 0..count {
        models.insert(adapter(i), json!({ "limit": 3 }));
    }
    Entry {
        version: base + 1,
        base,
        patch: json!({ "models": models }),
        who: "operator-1".into(),
        unix: 1_764_800_000,
        attempt: "0123456789abcdef".into(),
    }
}

/// Arrival histories by model.
pub fn histories(count: usize) -> HashMap<Arc<str>, ArrivalHistory> {
    let (history, _) = scene::history();
    let mut all = HashMap::new();
    for i in 0..count {
        all.insert(adapter(i).into(), history);
    }
    all
}

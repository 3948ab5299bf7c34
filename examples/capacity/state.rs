//! State of a daemon at a given size.

use std::collections::HashMap;
use std::sync::Arc;

use mastichinge::config::entry::Entry;
use mastichinge::config::state::ActiveConfig;
use mastichinge::decide::history::ArrivalHistory;
use serde_json::{Map, Value, json};

use crate::scene;

/// Engines of a pool at the target size.
pub const POOL_ENGINES: usize = 50;

/// Returns the name of an engine.
pub fn engine_name(i: usize) -> String {
    format!("engine-{i:04}")
}

/// Returns the name of an adapter.
pub fn adapter_name(i: usize) -> String {
    format!("adapter-{i:05}")
}

fn model_name(i: usize) -> String {
    format!("model-{i:03}")
}

/// Returns the configuration document with the models and engines of the target
/// size and this many adapters.
pub fn document(adapters: usize) -> Value {
    let mut models = Map::new();
    for i in 0..scene::FULL.models {
        let pool = format!("pool-{:02}", i % 46);
        let content = json!({ "pool": pool, "memory": 40_000, "limit": 4, "load_ms": 30_000 });
        models.insert(model_name(i), content);
    }
    for i in 0..adapters {
        let base = i % scene::FULL.models;
        let pool = format!("pool-{:02}", base % 46);
        let content = json!({
            "base": model_name(base), "pool": pool, "team": format!("team-{}", i % 300),
            "memory": 200, "limit": 2, "load_ms": 500,
        });
        models.insert(adapter_name(i), content);
    }
    let mut engines = Map::new();
    for i in 0..scene::FULL.engines {
        let content = json!({
            "addr": format!("10.1.{}.{}:8000", i / 250, i % 250),
            "pool": format!("pool-{:02}", i / POOL_ENGINES),
            "domain": format!("domain-{:02}", i % 14),
        });
        engines.insert(engine_name(i), content);
    }
    json!({ "models": models, "engines": engines })
}

/// Returns the active configuration with this many adapters.
pub fn active_config(adapters: usize) -> ActiveConfig {
    let mut config = ActiveConfig::default();
    let restored = config.restore(1, &document(adapters));
    restored.expect("the document is valid");
    config
}

/// Returns a change on version `base` that raises the limits of `count` adapters.
pub fn change_entry(base: u64, count: usize) -> Entry {
    let mut models = Map::new();
    for i in 0..count {
        models.insert(adapter_name(i), json!({ "limit": 3 }));
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

/// Returns arrival histories by model.
pub fn histories(count: usize) -> HashMap<Arc<str>, ArrivalHistory> {
    let (history, _) = scene::history();
    let mut all = HashMap::new();
    for i in 0..count {
        all.insert(adapter_name(i).into(), history);
    }
    all
}

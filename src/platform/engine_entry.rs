//! Decodes the entries with which engines register.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::edge::upstream::{EngineEntry, EnginePhase, LoadedModels, WeightCopies};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEntry {
    service: Arc<str>,
    addr: SocketAddr,
    zone: Arc<str>,
    /// Version of the engine's software, not of its weights.
    version: Arc<str>,
    slots: u32,
    state: WireState,
    /// Unused, but an entry without it is refused.
    #[serde(rename = "coldLeftMs")]
    _cold_left: f64,
    /// Number of this write of the entry; independent of the engine's orders.
    seq: u64,
    /// Absent for engines that never restart under the same id.
    born: Option<u64>,
    #[serde(default)]
    models: Vec<WireModel>,
    available: Option<WireCopies>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum WireState {
    Ready,
    Draining,
}

/// A model that an engine has loaded.
#[derive(Deserialize)]
pub(super) struct WireModel {
    name: Arc<str>,
    #[serde(default)]
    adapters: Vec<WireAdapter>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireAdapter {
    Name(Arc<str>),
    Object { name: Arc<str> },
}

/// Models of which an engine caches the weights.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct WireCopies {
    in_memory: Vec<Arc<str>>,
    on_disk: Vec<Arc<str>>,
}

/// Decodes the entry of the engine `id`; the error names the faulty field.
pub fn decode(id: &str, bytes: &[u8]) -> Result<EngineEntry, serde_json::Error> {
    let wire: WireEntry = serde_json::from_slice(bytes)?;
    let phase = match wire.state {
        WireState::Ready => EnginePhase::Ready,
        WireState::Draining => EnginePhase::Draining,
    };
    Ok(EngineEntry {
        id: id.into(),
        service: wire.service,
        addr: wire.addr,
        domain: wire.zone,
        software: wire.version,
        slots: wire.slots,
        phase,
        sequence: wire.seq,
        incarnation: wire.born.unwrap_or(0),
        models: decode_models(wire.models),
        copies: wire.available.map(decode_copies).unwrap_or_default(),
    })
}

pub(super) fn decode_models(models: Vec<WireModel>) -> LoadedModels {
    let mut loaded = LoadedModels::new();
    for model in models {
        let adapters = loaded.entry(model.name).or_default();
        for adapter in model.adapters {
            let (WireAdapter::Name(name) | WireAdapter::Object { name }) = adapter;
            // The name may have a model prefix and the version of the weights.
            let name = name.split('@').next().unwrap_or_default();
            let name = name.rsplit('/').next().unwrap_or_default();
            adapters.insert(name.into());
        }
    }
    loaded
}

pub(super) fn decode_copies(wire: WireCopies) -> WeightCopies {
    WeightCopies {
        memory: wire.in_memory.into_iter().collect(),
        disk: wire.on_disk.into_iter().collect(),
    }
}

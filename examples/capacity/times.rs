//! Times of decisions, message codecs and configuration changes, µs.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::Policy;
use mastichinge::decide::pinning::plan_changes;
use mastichinge::decide::placement::place_model;
use mastichinge::decide::placement_types::PlacementOptions;
use mastichinge::decide::routing::{ReplicaQuery, choose_replica};
use mastichinge::decide::sleep::{ModelFacts, decide_unload};
use mastichinge::outside::Report;
use mastichinge::peer::wire::{Body, Frame};
use prost::Message;

use crate::scene::{self, Size};
use crate::series::time_us;
use crate::{messages, state};

/// Measures routing among this many replicas.
pub fn routing(count: usize) -> f64 {
    let replicas = scene::replicas(count);
    let query = ReplicaQuery {
        domain: 1,
        prompt_tokens: 1_000,
    };
    time_us(|| choose_replica(&replicas, &query))
}

/// Measures placement over this many engines, each of which has to evict.
pub fn placement(engines: usize) -> f64 {
    let size = Size {
        engines,
        adapters: engines * 12,
        ..scene::FULL
    };
    let residents = scene::residents(&size);
    let targets = scene::targets(&residents);
    let request = scene::placement_request();
    let options = PlacementOptions::default();
    time_us(|| place_model(&request, &targets, &[], &options))
}

/// Measures pinning of a pool with this many adapters and one missing pin.
pub fn pinning(adapters: usize) -> f64 {
    let size = Size {
        adapters,
        ..scene::POOL
    };
    let models = scene::pin_models(&size);
    let engines = scene::pin_engines(&size);
    let pins = scene::pins(&models, &engines);
    time_us(|| plan_changes(&models, &engines, &pins, 4))
}

/// Measures unload decisions on this many residents.
pub fn unload_decisions(count: usize) -> f64 {
    let (history, last) = scene::history();
    let histories = vec![history; count];
    let now = last + Duration::from_secs(90);
    let facts = ModelFacts::default();
    let policy = Policy::default();
    time_us(|| {
        let decide = |h| decide_unload(h, &facts, &policy, now);
        histories.iter().map(decide).collect::<Vec<_>>()
    })
}

/// Measures one permit, from request to release, with this many loads waiting.
pub fn acquire_permit(waiting: usize) -> f64 {
    let mut permits = scene::permits(waiting);
    let mut now = Moment::ZERO;
    let request = scene::permit_request();
    time_us(|| {
        now += Duration::from_secs(1);
        permits.request(request.clone());
        permits.grant(now);
        permits.release("load");
    })
}

/// Measures encoding a message.
pub fn encode(body: Body) -> f64 {
    let frame = messages::frame(body);
    time_us(|| frame.encode_to_vec())
}

/// Measures decoding a message.
pub fn decode(body: Body) -> f64 {
    let bytes = messages::frame(body).encode_to_vec();
    time_us(|| Frame::decode(bytes.as_slice()))
}

/// Measures decoding one heartbeat from each of `count` daemons.
pub fn decode_heartbeats(count: usize) -> f64 {
    let mut heartbeats = Vec::new();
    for i in 0..count {
        heartbeats.push(messages::frame(messages::heartbeat(i)).encode_to_vec());
    }
    time_us(|| {
        let frames = heartbeats.iter().map(|b| Frame::decode(b.as_slice()));
        frames.filter(Result::is_ok).count()
    })
}

/// Measures decoding the loads of this many engines.
pub fn decode_loads(engines: usize) -> f64 {
    let bytes = messages::trial_loads(engines).encode_to_vec();
    time_us(|| messages::TrialLoads::decode(bytes.as_slice()))
}

/// Measures decoding the usage of this many replicas.
pub fn decode_uses(count: usize) -> f64 {
    let bytes = messages::trial_uses(count).encode_to_vec();
    time_us(|| messages::TrialUses::decode(bytes.as_slice()))
}

/// Measures parsing the report of an engine with this many residents.
pub fn parse_report(residents: usize) -> f64 {
    let text = report_json(residents);
    time_us(|| serde_json::from_str::<Report>(&text))
}

/// Returns the report of an engine with this many residents as JSON.
pub fn report_json(residents: usize) -> String {
    let report = messages::report(residents);
    serde_json::to_string(&report).expect("a report is plain data")
}

/// Measures applying a change of one adapter to the active configuration.
pub fn apply_change(adapters: usize) -> f64 {
    let config = state::active_config(adapters);
    let entry = state::change_entry(1, 1);
    time_us(|| {
        let mut config = config.clone();
        config.apply(&entry).map(|_| config)
    })
}

/// Measures reading a whole configuration from JSON.
pub fn read_snapshot(adapters: usize) -> f64 {
    let text = state::document(adapters).to_string();
    time_us(|| {
        let document = serde_json::from_str(&text).expect("the document is JSON");
        let mut config = mastichinge::config::state::ActiveConfig::default();
        config.restore(1, &document).map(|_| config)
    })
}

/// Measures writing the whole configuration as JSON.
pub fn write_snapshot(adapters: usize) -> f64 {
    let config = state::active_config(adapters);
    time_us(|| config.document().to_string())
}

/// Measures a scan of all configured models for those of a pool.
pub fn scan_models(adapters: usize) -> f64 {
    let config = state::active_config(adapters);
    time_us(|| {
        let models = config.config.models.values();
        models.filter(|m| &*m.pool == "pool-07").count()
    })
}

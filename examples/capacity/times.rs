//! Times of decisions, codecs and configuration changes, µs.

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
use crate::series::micros;
use crate::{messages, state};

/// Routing among so many replicas.
pub fn routing(count: usize) -> f64 {
    let replicas = scene::replicas(count);
    let query = ReplicaQuery {
        domain: 1,
        prompt_tokens: 1_000,
    };
    micros(|| choose_replica(&replicas, &query))
}

/// Placement over so many engines, each of which has to evict.
pub fn placement(engines: usize) -> f64 {
    let size = Size {
        engines,
        adapters: engines * 12,
        ..scene::FULL
    };
    let residents = scene::residents(&size);
    let rooms = scene::targets(&residents);
    let wanted = scene::placement_request();
    let how = PlacementOptions::default();
    micros(|| place_model(&wanted, &rooms, &[], &how))
}

/// Pinning of a pool with so many adapters, one pin missing.
pub fn pinning(adapters: usize) -> f64 {
    let size = Size {
        adapters,
        ..scene::POOL
    };
    let models = scene::pin_models(&size);
    let engines = scene::pin_engines(&size);
    let pins = scene::pins(&models, &engines);
    micros(|| plan_changes(&models, &engines, &pins, 4))
}

/// Verdicts on so many residents.
pub fn verdicts(count: usize) -> f64 {
    let (history, last) = scene::history();
    let histories = vec![history; count];
    let now = last + Duration::from_secs(90);
    let facts = ModelFacts::default();
    let policy = Policy::default();
    micros(|| {
        let keep = |h| decide_unload(h, &facts, &policy, now);
        histories.iter().map(keep).collect::<Vec<_>>()
    })
}

/// One permit, from ask to return, with so many loads waiting.
pub fn permit(waiting: usize) -> f64 {
    let mut permits = scene::permits(waiting);
    let mut now = Moment::ZERO;
    let ask = scene::permit_request();
    micros(|| {
        now += Duration::from_secs(1);
        permits.request(ask.clone());
        permits.grant(now);
        permits.release("load");
    })
}

/// Encoding a message once.
pub fn encode(body: Body) -> f64 {
    let frame = messages::frame(body);
    micros(|| frame.encode_to_vec())
}

/// Decoding a message once.
pub fn decode(body: Body) -> f64 {
    let bytes = messages::frame(body).encode_to_vec();
    micros(|| Frame::decode(bytes.as_slice()))
}

/// Decoding one heartbeat of each of `count` daemons.
pub fn hear(count: usize) -> f64 {
    let mut beats = Vec::new();
    for i in 0..count {
        beats.push(messages::frame(messages::heartbeat(i)).encode_to_vec());
    }
    micros(|| {
        let frames = beats.iter().map(|b| Frame::decode(b.as_slice()));
        frames.filter(Result::is_ok).count()
    })
}

/// Decoding the loads of so many engines.
pub fn loads(engines: usize) -> f64 {
    let bytes = messages::loads(engines).encode_to_vec();
    micros(|| messages::Loads::decode(bytes.as_slice()))
}

/// Decoding the use of so many replicas.
pub fn uses(count: usize) -> f64 {
    let bytes = messages::uses(count).encode_to_vec();
    micros(|| messages::Uses::decode(bytes.as_slice()))
}

/// Reading the report of an engine with so many residents.
pub fn report(residents: usize) -> f64 {
    let text = json(residents);
    micros(|| serde_json::from_str::<Report>(&text))
}

/// The report of an engine with so many residents as JSON.
pub fn json(residents: usize) -> String {
    let report = messages::report(residents);
    serde_json::to_string(&report).expect("a report is plain data")
}

/// Applying a change of one adapter to the configuration in force.
pub fn change(adapters: usize) -> f64 {
    let current = state::current(adapters);
    let entry = state::entry(1, 1);
    micros(|| {
        let mut current = current.clone();
        current.apply(&entry).map(|_| current)
    })
}

/// Reading a whole configuration from JSON.
pub fn restore(adapters: usize) -> f64 {
    let text = state::document(adapters).to_string();
    micros(|| {
        let document = serde_json::from_str(&text).expect("the document is JSON");
        let mut current = mastichinge::config::state::ActiveConfig::default();
        current.restore(1, &document).map(|_| current)
    })
}

/// Writing the whole configuration as JSON.
pub fn write(adapters: usize) -> f64 {
    let current = state::current(adapters);
    micros(|| current.document().to_string())
}

/// One pass over all configured models, looking for those of a pool.
pub fn scan(adapters: usize) -> f64 {
    let current = state::current(adapters);
    micros(|| {
        let models = current.config.models.values();
        models.filter(|m| &*m.pool == "pool-07").count()
    })
}

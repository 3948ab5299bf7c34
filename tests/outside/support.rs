//! Engines, calls and orders for the tests of the HTTP clients.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use mastichinge::fakes::{EngineSettings, FakeEngine};
use mastichinge::outside::{
    CallOptions, Chunk, ChunkStream, Engine, EngineError, HttpEngine, Order, Verb,
};
use serde_json::{Value, json};

/// Longest wait for a condition.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn eventually(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < MAX_WAIT, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Returns engine settings with immediate loads and tokens.
pub fn immediate_settings() -> EngineSettings {
    EngineSettings {
        time_scale: 0.0,
        token_interval: Duration::ZERO,
        report_lag: Duration::ZERO,
        ..EngineSettings::default()
    }
}

pub fn start_engine(settings: EngineSettings) -> (FakeEngine, CallOptions) {
    let fake = FakeEngine::start(settings).expect("a free port");
    let call = call_options(fake.addr());
    (fake, call)
}

pub fn call_options(addr: SocketAddr) -> CallOptions {
    CallOptions {
        addr: addr.to_string().into(),
        key: "".into(),
        request_id: "r-1".into(),
        connect_timeout: Duration::from_secs(1),
        read_timeout: Duration::from_secs(10),
    }
}

pub fn new_order(verb: Verb, model: &str, token: u64) -> Order {
    Order {
        verb,
        model: model.into(),
        version: "1".into(),
        base: None,
        memory: 1_000,
        token,
        instance: "engine-1".into(),
    }
}

pub fn load_model(call: &CallOptions, model: &str) {
    let order = new_order(Verb::Load, model, 1);
    HttpEngine::default().order(call, &order).expect("a load");
}

fn request_body(extra: Value) -> Vec<u8> {
    let mut body = json!({
        "model": "m",
        "messages": [{"role": "user", "content": "red green blue"}],
        "stream": true,
    });
    json_patch::merge(&mut body, &extra);
    body.to_string().into_bytes()
}

pub fn start_stream(
    call: &CallOptions,
    extra: Value,
) -> Result<impl ChunkStream + use<>, EngineError> {
    HttpEngine::default().stream(call, "/v1/chat/completions", &request_body(extra))
}

/// Reads a stream to its end and returns its texts, finish reason and usage.
pub fn read_stream(
    mut chunks: impl ChunkStream,
) -> Result<(Vec<String>, String, Value), EngineError> {
    let (mut texts, mut reason, mut usage) = (Vec::new(), String::new(), Value::Null);
    while let Chunk::Data(data) = chunks.next()? {
        let data: Value = serde_json::from_str(&data).expect("JSON");
        let choice = &data["choices"][0];
        let text = choice["delta"]["content"].as_str().unwrap_or_default();
        texts.extend((!text.is_empty()).then(|| text.to_owned()));
        reason.push_str(choice["finish_reason"].as_str().unwrap_or_default());
        if data["usage"] != Value::Null {
            usage = data["usage"].clone();
        }
    }
    Ok((texts, reason, usage))
}

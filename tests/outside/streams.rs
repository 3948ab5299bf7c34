//! Response streams of engines.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use mastichinge::fakes::EngineSettings;
use mastichinge::fakes::engine::{CacheEvent, StreamEnd, answer_tokens};
use mastichinge::outside::client::{self, BodyType};
use mastichinge::outside::{
    CallOptions, Chunk, ChunkStream, Engine, EngineError, HttpEngine, Tier, Verb,
};
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{
    eventually, immediate_settings, load_model, new_order, read_stream, start_engine, start_stream,
};

#[test_case(json!({}), &answer_tokens("red green blue", 16), "stop"; "whole")]
#[test_case(json!({"max_tokens": 3}), &answer_tokens("red green blue", 3), "length"; "max tokens")]
#[test_case(json!({"resume_from": 14}), &answer_tokens("red green blue", 16)[14..], "stop"; "resumed")]
#[test_case(json!({"stop": ["e-2", "zzz"]}), &["red-0 ".into(), "green-1 ".into(), "blu".into()], "stop"; "stopped")]
fn a_stream_contains_the_answer(extra: Value, texts: &[String], reason: &str) {
    let (_fake, call) = start_engine(immediate_settings());
    load_model(&call, "m");
    let outcome = start_stream(&call, extra)
        .and_then(read_stream)
        .expect("an answer");
    assert_eq!(outcome.0, texts);
    assert_eq!(outcome.1, reason);
    assert_eq!(outcome.2, Value::Null);
}

#[test]
fn usage_is_sent_on_request() {
    let (_fake, call) = start_engine(immediate_settings());
    load_model(&call, "m");
    let extra = json!({"stream_options": {"include_usage": true}});
    let (_, _, usage) = start_stream(&call, extra)
        .and_then(read_stream)
        .expect("an answer");
    let expected = json!({"prompt_tokens": 3, "completion_tokens": 16, "total_tokens": 19});
    assert_eq!(usage, expected);
}

#[test]
fn a_model_that_is_not_loaded_is_not_found() {
    let (_fake, call) = start_engine(immediate_settings());
    let error = start_stream(&call, json!({})).err();
    let not_found = matches!(error, Some(EngineError::Status { status: 404, .. }));
    assert!(not_found, "{error:?}");
}

#[test]
fn a_dropped_stream_frees_the_slot() {
    let settings = EngineSettings {
        slots: 1,
        token_interval: Duration::from_millis(5),
        tokens: 1_000_000,
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    load_model(&call, "m");
    let mut chunks = start_stream(&call, json!({})).expect("a stream");
    assert!(matches!(chunks.next(), Ok(Chunk::Data(_))));
    assert_eq!(fake.report().running, 1);
    drop(chunks);
    eventually("the engine sees the cancellation", || {
        fake.journal()
            .streams
            .iter()
            .any(|s| s.end == StreamEnd::Cancelled)
    });
    assert_eq!(fake.report().running, 0);
    let after = start_stream(&call, json!({"max_tokens": 2})).and_then(read_stream);
    assert_eq!(after.expect("an answer").0.len(), 2);
}

#[test]
fn a_crash_ends_every_stream_and_unloads_all_models() {
    let settings = EngineSettings {
        token_interval: Duration::from_millis(5),
        tokens: 1_000_000,
        crash_text: "poison".into(),
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    load_model(&call, "m");
    let mut other = start_stream(&call, json!({})).expect("a stream");
    assert!(matches!(other.next(), Ok(Chunk::Data(_))));
    let poison = json!({"messages": [{"role": "user", "content": "a poison pill"}]});
    let error = start_stream(&call, poison).and_then(read_stream).err();
    assert!(
        matches!(error, Some(EngineError::ConnectionLost(_))),
        "{error:?}"
    );
    let error = read_stream(other).err();
    assert!(
        matches!(error, Some(EngineError::ConnectionLost(_))),
        "{error:?}"
    );
    let error = HttpEngine::default().report(&call).err();
    assert!(
        matches!(error, Some(EngineError::Unreachable(_))),
        "{error:?}"
    );
    fake.restart().expect("the port is free again");
    let report = HttpEngine::default().report(&call).expect("a report");
    assert_eq!(&*report.instance, "engine-2");
    assert!(report.residents.is_empty());
    assert_eq!(report.cached, [("m".into(), Tier::Disk)]);
    eventually("both streams are in the journal", || {
        let journal = fake.journal();
        journal
            .streams
            .iter()
            .filter(|s| s.end == StreamEnd::Crashed)
            .count()
            == 2
    });
}

#[test]
fn hundreds_of_streams_run_at_once() {
    let settings = EngineSettings {
        slots: 300,
        token_interval: Duration::from_millis(50),
        tokens: 1_000_000,
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    load_model(&call, "m");
    let all_ran = AtomicBool::new(false);
    let open = || {
        let mut stream = start_stream(&call, json!({}))?;
        let first = stream.next();
        eventually("all streams run", || {
            all_ran.fetch_or(fake.report().running == 300, Ordering::SeqCst);
            all_ran.load(Ordering::SeqCst)
        });
        first
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..300).map(|_| scope.spawn(open)).collect();
        for thread in threads {
            let first = thread.join().expect("no panic");
            assert!(matches!(first, Ok(Chunk::Data(_))), "{first:?}");
        }
    });
}

#[test]
fn the_queue_is_ordered_by_priority() {
    let settings = EngineSettings {
        slots: 1,
        token_interval: Duration::from_millis(2),
        tokens: 1_000_000,
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    load_model(&call, "m");
    let mut first = start_stream(&call, json!({})).expect("a stream");
    assert!(first.next().is_ok());
    let queue = |request: &str, priority: i64, waiting: u32| {
        let call = CallOptions {
            request_id: request.into(),
            ..call.clone()
        };
        let extra = json!({"max_tokens": 2, "priority": priority});
        let thread = thread::spawn(move || start_stream(&call, extra).and_then(read_stream));
        eventually("the request waits", || fake.report().waiting == waiting);
        thread
    };
    let low = queue("low", 1, 1);
    let high = queue("high", 9, 2);
    drop(first);
    for thread in [low, high] {
        let answer = thread.join().expect("no panic").expect("an answer");
        assert_eq!(answer.0.len(), 2);
    }
    eventually("all streams ended", || fake.journal().streams.len() == 3);
    let served = fake.journal().streams;
    let names: Vec<_> = served.iter().map(|s| s.request_id.as_str()).collect();
    assert_eq!(names, ["r-1", "high", "low"]);
}

#[test]
fn cache_events_have_gaps() {
    let (fake, call) = start_engine(immediate_settings());
    load_model(&call, "m");
    for i in 0..25 {
        let extra = json!({"messages": [{"content": format!("prompt {}", i / 2)}]});
        start_stream(&call, extra)
            .and_then(read_stream)
            .expect("an answer");
    }
    let url = format!("http://{}/v2/cache/events?since=2", fake.addr());
    let response = client::send(client::session().get(url), BodyType::None, b"").expect("events");
    let events: Vec<CacheEvent> = client::read_json(response).expect("JSON");
    let numbers: Vec<_> = events.iter().map(|e| e.seq).collect();
    assert_eq!(numbers, [3, 4, 5, 6, 7, 8, 9, 11, 12, 13]);
    assert!(events[0].stored && events[0].prefix == "prompt 2");
}

#[test]
fn an_unload_during_a_stream_is_in_the_journal() {
    let settings = EngineSettings {
        token_interval: Duration::from_millis(2),
        tokens: 1_000_000,
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    load_model(&call, "m");
    let mut stream = start_stream(&call, json!({})).expect("a stream");
    assert!(stream.next().is_ok());
    let unload = new_order(Verb::Unload, "m", 1);
    let report = HttpEngine::default().order(&call, &unload);
    assert!(report.expect("an unload").residents.is_empty());
    assert_eq!(fake.journal().interrupted, ["m".into()]);
}

#[test]
fn a_prompt_beyond_the_socket_buffer_is_sent_whole() {
    let (_fake, call) = start_engine(immediate_settings());
    load_model(&call, "m");
    let text = "word ".repeat(100_000);
    let extra = json!({"messages": [{"content": text}], "stream_options": {"include_usage": true}});
    let (_, _, usage) = start_stream(&call, extra)
        .and_then(read_stream)
        .expect("an answer");
    assert_eq!(usage["prompt_tokens"], 100_000);
}

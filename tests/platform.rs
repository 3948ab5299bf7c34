//! The HTTP clients against their stand-ins.

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use mastichinge::fakes::engine::{End, LoadTimes, answer};
use mastichinge::fakes::service::Fault;
use mastichinge::fakes::{
    EngineSettings, FakeEngine, FakePlatform, FakeService, FakeWeights, StoreSettings,
};
use mastichinge::platform::client::{self, Media, SendError};
use mastichinge::platform::{
    Call, Chunk, Chunks, Engine, EngineError, Expect, HostList, HostState, HttpEngine,
    HttpPlatform, Objects, Op, Order, Platform, Table, TableError, Tier, Timeouts, Verb, Write,
};
use serde_json::{Value, json};
use test_case::test_case;

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(20);

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn eventually(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn platform(key: &str, limits: Timeouts) -> (FakePlatform, HttpPlatform) {
    let fake = FakePlatform::start(any(), "secret").expect("a free port");
    let client = HttpPlatform::new(fake.addresses(), key.into(), limits);
    (fake, client)
}

fn put(key: &str, expect: Expect, value: Value) -> Write {
    Write {
        key: key.into(),
        expect,
        op: Op::Put(value),
    }
}

#[test]
fn table_commits_all_writes_or_none() {
    let (fake, client) = platform("secret", Timeouts::default());
    let table = client.table();
    let key = "call/a b/100%+é?";
    assert_eq!(table.get(key), Ok(None));
    let versions = table.commit(&[
        put(key, Expect::Absent, json!(1)),
        put("call/x", Expect::Any, json!(2)),
    ]);
    assert_eq!(versions, Ok(vec![1, 1]));
    let bad = table.commit(&[
        put("call/x", Expect::Version(1), json!(3)),
        put(key, Expect::Version(7), json!(3)),
    ]);
    let item = table.get(key).expect("the table is up");
    let conflict = TableError::Conflict {
        key: key.into(),
        current: item.clone(),
    };
    assert_eq!(bad, Err(conflict));
    assert_eq!(item.map(|i| (i.version, i.value)), Some((1, json!(1))));
    let check = Write {
        key: key.into(),
        expect: Expect::Version(1),
        op: Op::Check,
    };
    let delete = Write {
        key: "call/x".into(),
        expect: Expect::Version(1),
        op: Op::Delete,
    };
    assert_eq!(table.commit(&[check, delete]), Ok(vec![1, 0]));
    let keys = table.scan("call/").expect("the table is up");
    assert_eq!(keys.iter().map(|i| &*i.key).collect::<Vec<_>>(), [key]);
    assert_eq!(table.scan("call/z"), Ok(vec![]));
    let state = fake.state.get();
    assert_eq!((state.reads, state.writes, state.journal.len()), (4, 3, 2));
}

#[test]
fn a_lost_answer_leaves_its_effect() {
    let (fake, client) = platform("secret", Timeouts::default());
    fake.state.change(|s| s.knobs.lose = 1);
    let write = put("a", Expect::Absent, json!("mine"));
    let lost = client.table().commit(std::slice::from_ref(&write));
    assert!(matches!(lost, Err(TableError::Unavailable(_))), "{lost:?}");
    let item = client.table().get("a").expect("the table is up");
    assert_eq!(item.map(|i| i.value), Some(json!("mine")));
    let again = client.table().commit(&[write]);
    assert!(
        matches!(again, Err(TableError::Conflict { .. })),
        "{again:?}"
    );
}

#[test]
fn an_outage_is_unavailable_and_without_effect() {
    let (fake, client) = platform("secret", Timeouts::default());
    fake.state.change(|s| s.knobs.down = true);
    let unavailable = |e: Option<TableError>| matches!(e, Some(TableError::Unavailable(_)));
    let write = put("a", Expect::Any, json!(1));
    assert!(unavailable(client.table().commit(&[write]).err()));
    assert!(unavailable(client.table().get("a").err()));
    assert!(unavailable(client.table().scan("").err()));
    assert!(unavailable(client.objects().get("a").err()));
    assert!(unavailable(client.objects().put("a", b"x").err()));
    assert!(unavailable(client.hosts().read().err()));
    fake.state.change(|s| s.knobs.down = false);
    assert_eq!(client.table().get("a"), Ok(None));
    assert_eq!(client.objects().get("a"), Ok(None));
    let addrs = fake.addresses();
    drop(fake);
    let gone = HttpPlatform::new(addrs, "secret".into(), Timeouts::default());
    assert!(unavailable(gone.table().get("a").err()));
}

#[test]
fn a_slow_table_runs_into_the_time_limit() {
    let limits = Timeouts {
        total: Duration::from_millis(50),
        ..Timeouts::default()
    };
    let (fake, client) = platform("secret", limits);
    fake.state
        .change(|s| s.knobs.slow = Duration::from_millis(400));
    let outcome = client.table().commit(&[put("a", Expect::Any, json!(1))]);
    assert!(matches!(outcome, Err(TableError::Unavailable(_))));
    eventually("the write takes effect late", || {
        fake.state.get().items.len() == 1
    });
}

#[test]
fn a_wrong_key_is_refused() {
    let (_fake, client) = platform("guess", Timeouts::default());
    let outcome = client.table().get("a");
    assert!(
        matches!(outcome, Err(TableError::Refused(_))),
        "{outcome:?}"
    );
}

#[test]
fn objects_are_stored_whole() {
    let (_fake, client) = platform("secret", Timeouts::default());
    let body: Vec<u8> = (0..300_000).map(|i| (i % 251) as u8).collect();
    assert_eq!(client.objects().get("config/7"), Ok(None));
    assert_eq!(client.objects().put("config/7", &body), Ok(()));
    assert_eq!(client.objects().get("config/7"), Ok(Some(body)));
}

#[test]
fn the_host_list_lags() {
    let (fake, client) = platform("secret", Timeouts::default());
    fake.list("derby-1", Some(HostState::Live));
    fake.list("derby-1", Some(HostState::Leaving));
    let hosts = client.hosts().read().expect("the list is up");
    assert_eq!((hosts.revision, hosts.hosts.len()), (2, 1));
    assert_eq!(hosts.hosts[0].state, HostState::Leaving);
    fake.state
        .change(|s| s.knobs.lag = Duration::from_secs(600));
    let hosts = client.hosts().read().expect("the list is up");
    assert_eq!(hosts.revision, 0);
    fake.state.change(|s| s.knobs.lag = Duration::ZERO);
    fake.list("derby-1", None);
    let hosts = client.hosts().read().expect("the list is up");
    assert_eq!((hosts.revision, hosts.hosts.len()), (3, 0));
}

/// Settings whose loads and tokens take no time.
fn quick() -> EngineSettings {
    EngineSettings {
        scale: 0.0,
        interval: Duration::ZERO,
        lag: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn engine(settings: EngineSettings) -> (FakeEngine, Call) {
    let fake = FakeEngine::start(settings).expect("a free port");
    let call = call(fake.addr());
    (fake, call)
}

fn call(addr: SocketAddr) -> Call {
    Call {
        addr: addr.to_string().into(),
        key: "".into(),
        request: "r-1".into(),
        connect: Duration::from_secs(1),
        silence: Duration::from_secs(10),
    }
}

fn order(verb: Verb, model: &str, token: u64) -> Order {
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

fn load(call: &Call, model: &str) {
    let order = order(Verb::Load, model, 1);
    HttpEngine::default().order(call, &order).expect("a load");
}

fn body(extra: Value) -> Vec<u8> {
    let mut body = json!({
        "model": "m",
        "messages": [{"role": "user", "content": "red green blue"}],
        "stream": true,
    });
    json_patch::merge(&mut body, &extra);
    body.to_string().into_bytes()
}

fn start(call: &Call, extra: Value) -> Result<impl Chunks + use<>, EngineError> {
    HttpEngine::default().stream(call, "/v1/chat/completions", &body(extra))
}

/// Texts of a whole answer, its finish reason and its usage.
fn whole(mut chunks: impl Chunks) -> Result<(Vec<String>, String, Value), EngineError> {
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

#[test_case(json!({}), &answer("red green blue", 16), "stop"; "whole")]
#[test_case(json!({"max_tokens": 3}), &answer("red green blue", 3), "length"; "max tokens")]
#[test_case(json!({"resume_from": 14}), &answer("red green blue", 16)[14..], "stop"; "resumed")]
#[test_case(json!({"stop": ["e-2", "zzz"]}), &["red-0 ".into(), "green-1 ".into(), "blu".into()], "stop"; "stopped")]
fn a_stream_carries_the_answer(extra: Value, texts: &[String], reason: &str) {
    let (_fake, call) = engine(quick());
    load(&call, "m");
    let outcome = start(&call, extra).and_then(whole).expect("an answer");
    assert_eq!(outcome.0, texts);
    assert_eq!(outcome.1, reason);
    assert_eq!(outcome.2, Value::Null);
}

#[test]
fn usage_comes_last_when_asked_for() {
    let (_fake, call) = engine(quick());
    load(&call, "m");
    let extra = json!({"stream_options": {"include_usage": true}});
    let (_, _, usage) = start(&call, extra).and_then(whole).expect("an answer");
    let expected = json!({"prompt_tokens": 3, "completion_tokens": 16, "total_tokens": 19});
    assert_eq!(usage, expected);
}

#[test]
fn a_model_that_is_not_loaded_is_not_found() {
    let (_fake, call) = engine(quick());
    let error = start(&call, json!({})).err();
    let found = matches!(error, Some(EngineError::Status { status: 404, .. }));
    assert!(found, "{error:?}");
}

#[test]
fn a_wrong_engine_key_is_an_error_status() {
    let settings = EngineSettings {
        key: "secret".into(),
        ..quick()
    };
    let (_fake, mut call) = engine(settings);
    let error = HttpEngine::default().report(&call).err();
    let denied = matches!(error, Some(EngineError::Status { status: 401, .. }));
    assert!(denied, "{error:?}");
    call.key = "secret".into();
    let report = HttpEngine::default().report(&call).expect("a report");
    assert_eq!(&*report.instance, "engine-1");
}

#[test]
fn a_refused_connection_is_unreached() {
    let (fake, call) = engine(quick());
    fake.crash();
    let client = HttpEngine::default();
    let unreached = |e: Option<EngineError>| matches!(e, Some(EngineError::Unreached(_)));
    assert!(unreached(client.report(&call).err()));
    assert!(unreached(
        client.order(&call, &order(Verb::Fence, "", 1)).err()
    ));
    assert!(unreached(start(&call, json!({})).err()));
}

/// Serves one connection: reads the request, sends `reply`, hangs up.
fn reply(reply: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(any()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let _ = socket.read(&mut [0; 65_536]);
        let _ = socket.write_all(reply.as_bytes());
    });
    addr
}

#[test_case(""; "no answer")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"instance\": \"a"; "cut short")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}"; "malformed")]
fn an_answer_without_its_end_is_broken(text: &'static str) {
    let client = HttpEngine::default();
    let error = client.report(&call(reply(text))).err();
    assert!(matches!(error, Some(EngineError::Broken(_))), "{error:?}");
    let error = client.order(&call(reply(text)), &order(Verb::Load, "m", 1));
    assert!(matches!(error, Err(EngineError::Broken(_))), "{error:?}");
}

#[test_case("data: {}\n\n"; "before done")]
#[test_case("data: {}\n\ndata: [DO"; "within a line")]
#[test_case("data: {}\n\ndata: [DONE]"; "without a line end")]
fn a_stream_without_its_end_is_broken(text: &'static str) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let text: &'static str = Box::leak(format!("{head}{text}").into_boxed_str());
    let mut chunks = start(&call(reply(text)), json!({})).expect("a stream");
    assert_eq!(chunks.next(), Ok(Chunk::Data("{}".into())));
    let end = chunks.next();
    assert!(matches!(end, Err(EngineError::Broken(_))), "{end:?}");
}

#[test]
fn comments_do_not_break_the_silence() {
    let listener = TcpListener::bind(any()).expect("a free port");
    let mut call = call(listener.local_addr().expect("an address"));
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while socket.write_all(b":\n\n").is_ok() {
            thread::sleep(Duration::from_millis(2));
        }
    });
    call.silence = Duration::from_millis(200);
    let mut chunks = start(&call, json!({})).expect("a stream");
    let error = chunks.next();
    assert!(matches!(error, Err(EngineError::Broken(_))), "{error:?}");
}

#[test]
fn a_frozen_engine_is_broken_after_the_silence() {
    let (fake, mut call) = engine(quick());
    load(&call, "m");
    fake.freeze(true);
    call.silence = Duration::from_millis(50);
    let error = HttpEngine::default().report(&call).err();
    assert!(matches!(error, Some(EngineError::Broken(_))), "{error:?}");
    let error = start(&call, json!({})).err();
    assert!(matches!(error, Some(EngineError::Broken(_))), "{error:?}");
    fake.freeze(false);
    call.silence = PATIENCE;
    assert!(start(&call, json!({})).and_then(whole).is_ok());
}

#[test]
fn a_queued_stream_is_broken_after_the_silence() {
    let settings = EngineSettings {
        slots: 0,
        ..quick()
    };
    let (_fake, mut call) = engine(settings);
    load(&call, "m");
    call.silence = Duration::from_millis(200);
    let error = start(&call, json!({})).and_then(whole).err();
    assert!(matches!(error, Some(EngineError::Broken(_))), "{error:?}");
}

#[test]
fn orders_are_refused_by_token_and_instance() {
    let (fake, call) = engine(quick());
    let client = HttpEngine::default();
    let report = client.order(&call, &order(Verb::Fence, "", 7));
    assert_eq!(report.expect("a fence").token, 7);
    let old = client.order(&call, &order(Verb::Load, "m", 6));
    assert_eq!(old, Err(EngineError::Fenced { current: 7 }));
    let report = client
        .order(&call, &order(Verb::Load, "m", 7))
        .expect("a load");
    assert_eq!((report.orders, report.residents.len()), (2, 1));
    assert!(report.residents[0].ready);
    assert_eq!(report.cached, [("m".into(), Tier::Memory)]);
    fake.restart().expect("the port is free again");
    let stray = client.order(&call, &order(Verb::Load, "m", 8));
    let current: Arc<str> = "engine-2".into();
    assert_eq!(stray, Err(EngineError::Restarted { current }));
    let report = client.report(&call).expect("a report");
    assert_eq!((report.token, report.residents.len()), (0, 0));
    let journal = fake.journal();
    let refused = journal.orders.iter().filter(|o| o.refusal.is_some());
    assert_eq!((journal.orders.len(), refused.count()), (4, 2));
    assert!(journal.stays[0].until.is_some());
}

#[test]
fn an_engine_without_fencing_executes_old_orders() {
    let settings = EngineSettings {
        fenced: false,
        memory: 1_500,
        ..quick()
    };
    let (fake, call) = engine(settings);
    let client = HttpEngine::default();
    for (token, model) in [(9, "m"), (3, "n")] {
        let report = client.order(&call, &order(Verb::Load, model, token));
        assert_eq!(report.expect("a load").token, 0);
    }
    assert_eq!(fake.journal().overcommits, [2_000]);
    let report = client.order(&call, &order(Verb::Unload, "m", 1));
    assert_eq!(report.expect("an unload").residents.len(), 1);
}

#[test]
fn an_adapter_needs_its_base() {
    let (_fake, call) = engine(quick());
    let client = HttpEngine::default();
    let adapter = Order {
        base: Some("m".into()),
        ..order(Verb::Load, "m/lora é", 1)
    };
    let error = client.order(&call, &adapter).err();
    let refused = matches!(error, Some(EngineError::Status { status: 400, .. }));
    assert!(refused, "{error:?}");
    load(&call, "m");
    let report = client.order(&call, &adapter).expect("a load");
    assert_eq!(&*report.residents[1].model, "m/lora é");
}

#[test]
fn a_dropped_stream_frees_the_slot() {
    let settings = EngineSettings {
        slots: 1,
        interval: Duration::from_millis(5),
        tokens: 1_000_000,
        ..quick()
    };
    let (fake, call) = engine(settings);
    load(&call, "m");
    let mut chunks = start(&call, json!({})).expect("a stream");
    assert!(matches!(chunks.next(), Ok(Chunk::Data(_))));
    assert_eq!(fake.report().running, 1);
    drop(chunks);
    eventually("the engine sees the cancellation", || {
        fake.journal()
            .served
            .iter()
            .any(|s| s.end == End::Cancelled)
    });
    assert_eq!(fake.report().running, 0);
    let after = start(&call, json!({"max_tokens": 2})).and_then(whole);
    assert_eq!(after.expect("an answer").0.len(), 2);
}

#[test]
fn a_crash_breaks_every_stream_and_empties_the_engine() {
    let settings = EngineSettings {
        interval: Duration::from_millis(5),
        tokens: 1_000_000,
        crash: "poison".into(),
        ..quick()
    };
    let (fake, call) = engine(settings);
    load(&call, "m");
    let mut innocent = start(&call, json!({})).expect("a stream");
    assert!(matches!(innocent.next(), Ok(Chunk::Data(_))));
    let poison = json!({"messages": [{"role": "user", "content": "a poison pill"}]});
    let error = start(&call, poison).and_then(whole).err();
    assert!(matches!(error, Some(EngineError::Broken(_))), "{error:?}");
    let error = whole(innocent).err();
    assert!(matches!(error, Some(EngineError::Broken(_))), "{error:?}");
    let error = HttpEngine::default().report(&call).err();
    assert!(
        matches!(error, Some(EngineError::Unreached(_))),
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
            .served
            .iter()
            .filter(|s| s.end == End::Crashed)
            .count()
            == 2
    });
}

#[test]
fn a_crash_during_a_load_breaks_the_order() {
    let settings = EngineSettings {
        scale: 1_000.0,
        ..quick()
    };
    let (fake, call) = engine(settings);
    let caller = call.clone();
    let order = order(Verb::Load, "m", 1);
    let waiting = thread::spawn(move || HttpEngine::default().order(&caller, &order));
    eventually("the load runs", || fake.report().residents.len() == 1);
    fake.restart().expect("the port is free again");
    let error = waiting.join().expect("no panic").err();
    assert!(matches!(error, Some(EngineError::Broken(_))), "{error:?}");
    assert!(fake.report().residents.is_empty());
}

#[test]
fn reports_lag_behind() {
    let settings = EngineSettings {
        lag: Duration::from_secs(600),
        ..quick()
    };
    let (fake, call) = engine(settings);
    load(&call, "m");
    let report = HttpEngine::default().report(&call).expect("a report");
    assert!(report.residents.is_empty());
    assert_eq!(fake.report().residents.len(), 1);
}

#[test]
fn hundreds_of_streams_run_at_once() {
    let settings = EngineSettings {
        slots: 300,
        interval: Duration::from_millis(50),
        tokens: 1_000_000,
        ..quick()
    };
    let (fake, call) = engine(settings);
    load(&call, "m");
    let seen = AtomicBool::new(false);
    let open = || {
        let mut stream = start(&call, json!({}))?;
        let first = stream.next();
        eventually("all streams run", || {
            seen.fetch_or(fake.report().running == 300, Ordering::SeqCst);
            seen.load(Ordering::SeqCst)
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
fn the_weight_store_slows_down_beyond_its_limits() {
    let store = FakeWeights::new(StoreSettings {
        rate: 0.001,
        parallel: 2.0,
        ..StoreSettings::default()
    });
    let settings = |name: &str| EngineSettings {
        name: name.into(),
        weights: store.clone(),
        times: LoadTimes {
            remote: Duration::from_millis(30),
            ..LoadTimes::default()
        },
        scale: 1.0,
        ..quick()
    };
    let (_fake, call) = engine(settings("engine"));
    for model in ["a", "b"] {
        load(&call, model);
    }
    let counts = || {
        let models = store.state.get().models;
        (models.total, models.slowed)
    };
    assert_eq!(counts(), (2, 0));
    load(&call, "c");
    assert_eq!(counts(), (3, 1));
}

#[test_case(Fault::None, Ok(200), 1; "no fault")]
#[test_case(Fault::Before, Err(true), 0; "dies before the run")]
#[test_case(Fault::During, Err(true), 1; "dies during the run")]
fn a_service_counts_its_runs(fault: Fault, outcome: Result<u16, bool>, runs: usize) {
    let service = FakeService::start(any()).expect("a free port");
    service.state.change(|s| s.fault = fault);
    assert_eq!(book(service.addr), outcome);
    let state = service.state.get();
    assert_eq!(state.runs.len(), runs);
    for run in state.runs {
        assert_eq!(
            (&*run.key, &*run.path, &*run.body),
            ("k-1", "seats/7", &b"{}"[..])
        );
    }
}

#[test]
fn a_service_can_refuse_connections() {
    let mut service = FakeService::start(any()).expect("a free port");
    let addr = service.addr;
    service.refuse(true).expect("no work");
    assert_eq!(book(addr), Err(false));
    service.refuse(false).expect("the port is free again");
    assert_eq!(book(addr), Ok(200));
    assert_eq!(service.state.get().runs.len(), 1);
}

/// Books a seat: the status, or whether bytes were sent.
fn book(addr: SocketAddr) -> Result<u16, bool> {
    let request = client::session()
        .post(format!("http://{addr}/seats/7"))
        .header("Idempotency-Key", "k-1");
    match client::send(request, Media::Json, b"{}") {
        Ok(response) => Ok(response.status().as_u16()),
        Err(SendError::Unsent(_)) => Err(false),
        Err(SendError::Unanswered(_)) => Err(true),
    }
}

//! Orders, reports and loads of engines.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mastichinge::fakes::engine::LoadTimes;
use mastichinge::fakes::{EngineSettings, FakeWeights, StoreSettings};
use mastichinge::outside::{Engine, EngineError, HttpEngine, Order, Tier, Verb};
use test_case::test_case;

use crate::support::{
    MAX_WAIT, eventually, immediate_settings, load_model, new_order, start_engine,
};

#[test]
fn orders_with_an_old_token_or_another_instance_are_refused() {
    let (fake, call) = start_engine(immediate_settings());
    let client = HttpEngine::default();
    let report = client.order(&call, &new_order(Verb::Fence, "", 7));
    assert_eq!(report.expect("a fence").token, 7);
    let old = client.order(&call, &new_order(Verb::Load, "m", 6));
    assert_eq!(old, Err(EngineError::Fenced { current: 7 }));
    let report = client
        .order(&call, &new_order(Verb::Load, "m", 7))
        .expect("a load");
    assert_eq!((report.orders, report.residents.len()), (2, 1));
    assert!(report.residents[0].ready);
    assert_eq!(report.cached, [("m".into(), Tier::Memory)]);
    fake.restart().expect("the port is free again");
    let stray = client.order(&call, &new_order(Verb::Load, "m", 8));
    let current: Arc<str> = "engine-2".into();
    assert_eq!(stray, Err(EngineError::Restarted { current }));
    let report = client.report(&call).expect("a report");
    assert_eq!((report.token, report.residents.len()), (0, 0));
    let journal = fake.journal();
    let refused = journal.orders.iter().filter(|o| o.refusal.is_some());
    assert_eq!((journal.orders.len(), refused.count()), (4, 2));
    assert!(journal.residencies[0].released_at.is_some());
}

#[test]
fn an_engine_without_fencing_executes_old_orders() {
    let settings = EngineSettings {
        fenced: false,
        memory: 1_500,
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    let client = HttpEngine::default();
    for (token, model) in [(9, "m"), (3, "n")] {
        let report = client.order(&call, &new_order(Verb::Load, model, token));
        assert_eq!(report.expect("a load").token, 0);
    }
    assert_eq!(fake.journal().overcommits, [2_000]);
    let report = client.order(&call, &new_order(Verb::Unload, "m", 1));
    assert_eq!(report.expect("an unload").residents.len(), 1);
}

#[test]
fn an_adapter_needs_its_base() {
    let (_fake, call) = start_engine(immediate_settings());
    let client = HttpEngine::default();
    let adapter = Order {
        base: Some("m".into()),
        ..new_order(Verb::Load, "m/lora é", 1)
    };
    let error = client.order(&call, &adapter).err();
    let refused = matches!(error, Some(EngineError::Status { status: 400, .. }));
    assert!(refused, "{error:?}");
    load_model(&call, "m");
    let report = client.order(&call, &adapter).expect("a load");
    assert_eq!(&*report.residents[1].model, "m/lora é");
}

#[test]
fn a_crash_during_a_load_is_a_lost_connection() {
    let settings = EngineSettings {
        time_scale: 1_000.0,
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    let caller = call.clone();
    let order = new_order(Verb::Load, "m", 1);
    let waiting = thread::spawn(move || HttpEngine::default().order(&caller, &order));
    eventually("the load runs", || fake.report().residents.len() == 1);
    fake.restart().expect("the port is free again");
    let error = waiting.join().expect("no panic").err();
    assert!(
        matches!(error, Some(EngineError::ConnectionLost(_))),
        "{error:?}"
    );
    assert!(fake.report().residents.is_empty());
}

#[test]
fn a_report_may_be_out_of_date() {
    let settings = EngineSettings {
        report_lag: Duration::from_secs(600),
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    load_model(&call, "m");
    let report = HttpEngine::default().report(&call).expect("a report");
    assert!(report.residents.is_empty());
    assert_eq!(fake.report().residents.len(), 1);
}

#[test]
fn the_weight_store_slows_down_beyond_its_limits() {
    let store = FakeWeights::new(StoreSettings {
        models_per_s: 0.001,
        parallel_models: 2.0,
        ..StoreSettings::default()
    });
    let settings = |name: &str| EngineSettings {
        name: name.into(),
        weights: store.clone(),
        load_times: LoadTimes {
            remote: Duration::from_millis(30),
            ..LoadTimes::default()
        },
        time_scale: 1.0,
        ..immediate_settings()
    };
    let (_fake, call) = start_engine(settings("engine"));
    for model in ["a", "b"] {
        load_model(&call, model);
    }
    let counts = || {
        let models = store.state.get().models;
        (models.total, models.slowed)
    };
    assert_eq!(counts(), (2, 0));
    load_model(&call, "c");
    assert_eq!(counts(), (3, 1));
}

#[test]
fn a_leaving_engine_reports_that_it_is_leaving() {
    let (fake, call) = start_engine(immediate_settings());
    fake.set_leaving(true);
    let report = HttpEngine::default().report(&call).expect("a report");
    assert!(report.leaving);
    assert!(fake.journal().leaving_since.is_some());
}

#[test]
fn adapters_slow_down_beyond_their_limit() {
    let store = FakeWeights::new(StoreSettings {
        parallel_adapters: 1.0,
        ..StoreSettings::default()
    });
    let both = || store.state.get().adapters.peak == 2;
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| store.load(true, MAX_WAIT, &|| !both()));
        }
    });
    let state = store.state.get();
    assert_eq!((state.adapters.total, state.adapters.slowed), (2, 1));
    assert_eq!((state.adapters.running, state.models.total), (0, 0));
}

#[test_case(Tier::Remote, 1; "remote")]
#[test_case(Tier::Disk, 0; "disk")]
#[test_case(Tier::Memory, 0; "memory")]
fn only_remote_weights_come_from_the_store(tier: Tier, loads: u64) {
    let store = FakeWeights::default();
    let settings = EngineSettings {
        weights: store.clone(),
        ..immediate_settings()
    };
    let (fake, call) = start_engine(settings);
    fake.set_tier("m", tier);
    load_model(&call, "m");
    assert_eq!(store.state.get().models.total, loads);
}

//! State of the control thread, without threads or a network.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crossbeam::channel::{Sender, bounded};
use mastichinge::clock::{Clock, Moment};
use mastichinge::config::{Config, Engine, Model, Name};
use mastichinge::control::{
    Control, DaemonIdentity, Effect, Event, TableJobResult, WaitingRequest,
};
use mastichinge::members::{MemberSettings, Members};
use mastichinge::peer::PeerEvent;
use mastichinge::peer::wire::{Body, CrashReport, EngineState, PoolState};
use mastichinge::protocol::ownership::{Owner, OwnerRecord};
use mastichinge::router::{PromptPrefix, Router, RoutingRequest, SlotResult};
use mastichinge::suspects::{InFlightRequests, RequestFingerprints, Suspects};

const NOW: Moment = Moment::from_secs(10);
const POOL: &str = "main";

/// A daemon on host `a` with a model in a pool that host `o` owns in epoch 1.
fn control() -> Control {
    control_with(Arc::default())
}

fn control_with(suspects: Arc<Mutex<Suspects>>) -> Control {
    let identity = DaemonIdentity {
        host: "a".into(),
        incarnation: 1,
        domain: "d".into(),
        addr: "127.0.0.1:1".into(),
    };
    let members = Members::new(MemberSettings::for_peers("a".into(), vec!["o".into()]));
    let mut control = Control::new(
        identity,
        members,
        Router::new(&"d".into(), Clock::default()),
        suspects,
        InFlightRequests::default(),
        NOW,
    );
    let mut config = Config::default();
    let model = Model {
        pool: POOL.into(),
        ..Model::default()
    };
    let engine = Engine {
        pool: POOL.into(),
        ..Engine::default()
    };
    config.models.insert("m".into(), model);
    config.engines.insert("e".into(), engine);
    let config = Event::Config {
        version: 1,
        config: Arc::new(config),
    };
    control.handle_event(config, NOW);
    control.handle_event(Event::Peer(PeerEvent::Up("o".into(), 1)), NOW);
    // The daemon tries to claim the pool.
    control.step(NOW);
    let owner = Owner {
        host: "o".into(),
        incarnation: 1,
    };
    let owned = TableJobResult::OwnedElsewhere {
        pool: POOL.into(),
        record: OwnerRecord {
            owner: Some(owner),
            epoch: 1,
            ..OwnerRecord::default()
        },
    };
    control.handle_event(Event::TableJobFinished(owned), NOW);
    control
}

/// Delivers the first state that host `o` publishes as the owner in `epoch`.
fn publish_pool(control: &mut Control, epoch: u64) {
    let state = PoolState {
        epoch,
        seq: 1,
        ..pool_state()
    };
    deliver(control, Body::Pool(state));
}

fn pool_state() -> PoolState {
    PoolState {
        pool: POOL.to_owned(),
        epoch: 1,
        ..PoolState::default()
    }
}

/// Delivers a message of host `o`.
fn deliver(control: &mut Control, body: Body) {
    let from = "o".into();
    let message = PeerEvent::Message { from, body };
    control.handle_event(Event::Peer(message), NOW);
}

fn waiting_request(sender: Sender<SlotResult>) -> WaitingRequest {
    let routing = RoutingRequest {
        id: "r1".into(),
        caller: "caller".into(),
        model: "m".into(),
        prefix: PromptPrefix::new("m", "prompt"),
        worth: 1.0,
        priority: 0,
        deadline: NOW + Duration::from_secs(60),
        avoid: Vec::new(),
    };
    WaitingRequest {
        id: routing.id.clone(),
        routing,
        suspect: None,
        sender,
    }
}

/// Returns the hosts to which the daemon sent waiting requests since the last call.
fn asked_owners(control: &mut Control) -> Vec<Name> {
    let mut owners = Vec::new();
    for effect in control.step(NOW) {
        if let Effect::Send {
            to,
            body: Body::ReplicaRequest(_),
        } = effect
        {
            owners.push(to);
        }
    }
    owners
}

/// Returns the crash reports that the daemon sent to all peers since the last call.
fn crash_reports(control: &mut Control) -> Vec<CrashReport> {
    let mut reports = Vec::new();
    for effect in control.step(NOW) {
        if let Effect::Broadcast(Body::CrashReport(report)) = effect {
            reports.push(report);
        }
    }
    reports
}

/// Guards against a request that is sent on without end because engines fall silent on it and
/// come back under another instance id: nobody asked whose requests they held.
#[test]
fn a_request_that_was_given_up_is_reported_once_its_engine_has_another_instance() {
    let suspects: Arc<Mutex<Suspects>> = Arc::default();
    let mut control = control_with(suspects.clone());
    let prompt = serde_json::json!("bad");
    let bad = RequestFingerprints::new("m", &prompt, &prompt);
    suspects
        .lock()
        .unwrap()
        .record_abandoned(&bad, &"m".into(), &"i1".into(), NOW);
    for (seq, instance) in [(1, "i1"), (2, "i1"), (3, "i2")] {
        assert_eq!(crash_reports(&mut control), []);
        let engine = EngineState {
            engine: "e".into(),
            instance: instance.into(),
            ..EngineState::default()
        };
        let state = PoolState {
            seq,
            engines: vec![engine],
            ..pool_state()
        };
        deliver(&mut control, Body::Pool(state));
    }
    let reports = crash_reports(&mut control);
    let reported: Vec<_> = reports.iter().map(|r| r.fingerprint.as_str()).collect();
    assert_eq!(reported, [&*bad.messages[0], &*bad.request]);
    assert!(reports.iter().all(|r| r.instances == ["i1"]));
}

/// Guards against requests that wait one after the other for trials of a message that is released.
#[test]
fn waiting_requests_need_no_trial_once_their_fingerprint_is_released() {
    let mut control = control();
    let (sender, _results) = bounded(1);
    let request = WaitingRequest {
        suspect: Some("message-1".into()),
        ..waiting_request(sender)
    };
    control.handle_event(Event::RequestSlot(request), NOW);
    assert_eq!(asked_owners(&mut control), [Name::from("o")]);
    for fingerprint in ["message-2", "message-1"] {
        assert_eq!(asked_owners(&mut control), []);
        let release = CrashReport {
            fingerprint: fingerprint.into(),
            instances: vec!["i1".into()],
            released: true,
            ..CrashReport::default()
        };
        deliver(&mut control, Body::CrashReport(release));
    }
    assert_eq!(asked_owners(&mut control), [Name::from("o")]);
}

/// Guards against requests that wait until their deadline for an owner that has lost the pool and
/// claimed it again: its new state knows none of them.
#[test]
fn waiting_requests_are_sent_again_to_an_owner_with_a_new_epoch() {
    let mut control = control();
    let (sender, _results) = bounded(1);
    control.handle_event(Event::RequestSlot(waiting_request(sender)), NOW);
    assert_eq!(asked_owners(&mut control), [Name::from("o")]);
    publish_pool(&mut control, 1);
    assert_eq!(asked_owners(&mut control), []);
    publish_pool(&mut control, 2);
    assert_eq!(asked_owners(&mut control), [Name::from("o")]);
}

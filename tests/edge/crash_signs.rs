//! What counts as a crash of an engine, and what does not.

use std::thread;
use std::time::Instant;

use test_case::test_case;

use crate::fakes::daemon::{Daemon, Request, Response, wait};
use crate::fakes::engine::behavior::Place;
use crate::fakes::engine::crashes::Trigger;
use crate::fakes::engine::{Behavior, CrashMoment, CrashedAddress, DOWN_TIME, Deadly, Engine};
use crate::fakes::store::Store;
use crate::site::{MODEL, Site, desired};

/// Body of the requests that are sent again and again.
const BODY: &str = "deadly";
/// Part of the prompt that all of them share.
const PART: &str = "91bd3f06";
/// Log line of what is found of an engine after a silence.
const SILENCE_CHECKED: &str = "engine checked after a silence";

fn request(id: &str) -> Request {
    let request = Request::new("/stream/", id)
        .with(MODEL, "m1")
        .with("X-Mastichinge-Prompt-Prefix", &format!("{PART}:100,1:50"));
    Request {
        body: BODY.to_owned(),
        ..request
    }
}

/// Starts one engine that crashes in silence on [`BODY`], and a daemon.
fn silent_engine(moment: CrashMoment) -> (Engine, Daemon) {
    let store = Store::start();
    store.put("op", "config", &desired(5));
    let engine = Engine::start(&store, "e1", "models", &["m1"]);
    engine.set_crashed_address(CrashedAddress::Silent);
    engine.set_deadly(Deadly {
        trigger: Trigger::Body(BODY),
        moment,
        from: Instant::now(),
    });
    (engine, Daemon::start(&store, "edge-1"))
}

/// Returns what was found of engines after silences.
fn found(daemon: &Daemon) -> Vec<String> {
    let lines = daemon.logged(SILENCE_CHECKED);
    lines.iter().map(|l| l["state"].to_string()).collect()
}

/// Guards against sound requests that are held because engines failed them or broke off alone:
/// only the end of an engine speaks against what requests share.
#[test_case(Behavior::Failing; "a failure")]
#[test_case(Behavior::Answers(502); "a failure whose status is that of a gateway")]
#[test_case(Behavior::Endless(Place::Garbage); "no status")]
#[test_case(Behavior::Reset; "a reset")]
fn a_part_is_not_held_whose_requests_a_living_engine_fails(behavior: Behavior) {
    let site = Site::start();
    site.set(behavior);
    for n in 0..8 {
        site.daemon.send(&request(&format!("r{n}")));
    }
    site.set(Behavior::Correct);
    let sound = Request {
        body: "sound".to_owned(),
        ..request("sound")
    };
    assert_eq!(site.daemon.send(&sound).status, 200);
    let held = site
        .daemon
        .logged("feature held: engines crash on requests with it");
    let is_part = |l: &serde_json::Value| l["feature"] == format!("part-{PART}");
    assert!(!held.iter().any(is_part), "{held:?}");
}

/// Guards against requests that are held because sound engines were silent for a while.
#[test]
fn a_silence_of_a_sound_engine_is_no_crash() {
    let site = Site::start();
    for n in 0..4 {
        site.set(Behavior::StallAtRequest);
        assert_eq!(site.daemon.send(&request(&format!("r{n}"))).status, 200);
    }
    wait("the checks of silent engines", || {
        !found(&site.daemon).is_empty()
    });
    assert!(found(&site.daemon).iter().all(|s| s == "\"alive\""));
    assert!(
        site.daemon
            .logged("engine ended after runs were left")
            .is_empty()
    );
}

/// Guards against BUDGET: a caller left before the engine crashed in silence, and nobody asked
/// whose requests it had held.
#[test]
fn a_request_whose_caller_left_is_suspected_when_its_engine_has_crashed_in_silence() {
    let (engine, daemon) = silent_engine(CrashMoment::BeforeHead);
    for n in 0..2 {
        let stream = std::net::TcpStream::connect(daemon.callers).unwrap();
        let bytes = request(&format!("r{n}")).bytes(true);
        std::io::Write::write_all(&mut &stream, &bytes).unwrap();
        wait("the crash", || engine.crashes().len() > n);
        drop(stream);
        wait("the crash at the daemon", || {
            daemon.logged("engine ended after runs were left").len() > n
        });
        thread::sleep(DOWN_TIME);
    }
    let held = daemon.logged("feature held: engines crash on requests with it");
    let features: Vec<_> = held.iter().map(|l| l["feature"].to_string()).collect();
    assert!(
        features.len() == 1 && features[0].starts_with("\"request-"),
        "{features:?}"
    );
    // One of them may be a trial.
    let answers = (0..6).map(|n| daemon.send(&request(&format!("again{n}"))).status);
    let refused = answers.filter(|status| *status == 503).count();
    assert!(refused >= 5, "{refused} refused");
    assert!(engine.crashes().len() <= 3);
}

/// Guards against BUDGET: an engine that had crashed in silence after the first event was taken for
/// one that had answered for as long as it was silent, which cleared the parts of the prompt.
#[test]
fn a_silence_after_the_first_event_is_no_answer() {
    let (_engine, daemon) = silent_engine(CrashMoment::AfterEvent);
    let _: Response = daemon.send(&request("r1"));
    let broken = daemon.logged("run broken off");
    assert!(!broken.is_empty());
    assert!(
        broken.iter().all(|l| l["progress"] != "settled"),
        "{broken:?}"
    );
}

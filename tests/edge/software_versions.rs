//! Engines of several software versions: a stream goes on only at the version that began it, in
//! one answer and over its caller's attempts.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::Value;
use test_case::test_case;

use crate::fakes::ReceivedRequest;
use crate::fakes::daemon::{Daemon, Request, Response, exchange, wait};
use crate::fakes::engine::Behavior;
use crate::site::{MODEL, all_events, events};
use crate::version_fleet::{
    Fleet, READ_EVENTS, SECOND_VERSION, STREAMS, TakenUp, begin_stream, versions,
};

/// Time for which the store does not answer; callers leave after 3.2 s.
const CLOSING_TIME: Duration = Duration::from_millis(2_200);
/// Time for which a base version is kept that no engine has, less a margin for waiting.
const RETIRE_TIME: Duration = Duration::from_secs(85);
/// Time after a drill of the store in which hosts write rows again that it lost.
const RESTORE_TIME: Duration = Duration::from_millis(3_500);
/// Time in which a stream that cannot go on is refused; far below what a stream may take.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(3);

/// Asserts that no stream has events of two versions, and that all others are whole.
fn assert_unmixed(answers: &[Response]) {
    let mixed = |a: &&Response| versions(&a.body).windows(2).any(|v| v[0] != v[1]);
    let count = answers.iter().filter(mixed).count();
    assert_eq!(count, 0, "of {} streams", answers.len());
    for answer in answers {
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(events(&answer.body), all_events());
    }
}

fn all_whole() -> TakenUp {
    TakenUp {
        whole: STREAMS,
        ..TakenUp::default()
    }
}

/// Guards against ORDER: a stream that broke off was resumed within its answer at an engine of
/// another version.
#[test]
fn a_stream_that_breaks_is_resumed_at_the_version_that_began_it() {
    let fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 1);
    for engine in [&fleet.engines[0], &fleet.engines[2]] {
        engine.set_behavior(Behavior::ResetAfter(READ_EVENTS));
    }
    let request = |n| Request::new("/stream/", &format!("s{n}")).with(MODEL, "m1");
    let send = |n: usize| fleet.daemons[0].send(&request(n));
    let answers: Vec<_> = (0..STREAMS).map(send).collect();
    assert_unmixed(&answers);
}

/// Guards against ORDER: a caller took a broken stream up, at the same host or another, and got
/// the rest from another version. The hosts go on meanwhile, or all are killed at once.
#[test_case(0, false; "at the same host")]
#[test_case(1, false; "at another host")]
#[test_case(0, true; "after all hosts were killed")]
fn a_stream_that_is_taken_up_goes_on_at_the_version_that_began_it(distance: usize, kills: bool) {
    let mut fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 3);
    let begun = fleet.begin_streams();
    if kills {
        fleet.kill_all();
    }
    let taken = fleet.take_up(&begun, distance);
    assert_eq!(taken, all_whole());
}

/// Guards against streams that go on at another service than the one that began them: a route is
/// split between services, and the caller takes a stream up at any host.
#[test_case(0, false; "at the same host")]
#[test_case(1, false; "at another host")]
#[test_case(1, true; "after all hosts were killed")]
fn a_stream_that_is_taken_up_goes_on_at_the_service_that_began_it(distance: usize, kills: bool) {
    let mut fleet = Fleet::with_two_services(3);
    let begun = fleet.begin_streams();
    let of_first = begun
        .iter()
        .filter(|b| b.version() != SECOND_VERSION)
        .count();
    assert!(
        (1..STREAMS).contains(&of_first),
        "{of_first} of one service"
    );
    if kills {
        fleet.kill_all();
    }
    assert_eq!(fleet.take_up(&begun, distance), all_whole());
    let unnamed = Request::new("/stream/", "unnamed")
        .with(MODEL, "m1")
        .with("Last-Event-Id", "1");
    assert_eq!(fleet.daemons[0].send(&unnamed).status, 503);
}

/// Guards against ORDER where the streams began before there was a second version, so that
/// nothing had to be known of them; and against the loss of those that could go on.
#[test]
fn streams_from_before_the_second_version_go_on_at_the_first() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let begun = fleet.begin_streams();
    for _ in 0..2 {
        fleet.add_engine(SECOND_VERSION, &["m1"]);
    }
    fleet.wait_for_change("e4", "appeared");
    fleet.kill_all();
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against ORDER where the version that began the streams has left while all hosts were
/// down: hosts that start see one version only, and it is not that of the streams.
#[test]
fn streams_of_a_version_that_has_left_are_refused_at_once() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let begun = fleet.begin_streams();
    fleet.add_engine(SECOND_VERSION, &["m1"]);
    fleet.add_engine(SECOND_VERSION, &["m1"]);
    for engine in ["e1", "e2"] {
        fleet.store.remove("servers", engine);
    }
    fleet.kill_all();
    let started = Instant::now();
    let refused = TakenUp {
        refused: STREAMS,
        ..TakenUp::default()
    };
    assert_eq!(fleet.take_up(&begun, 1), refused);
    assert!(started.elapsed() < MAX_REFUSAL_TIME * STREAMS as u32);
}

/// Guards against ORDER where an engine has started again under its id and address at another
/// version, and its entry is still that of the lifetime before.
#[test]
fn an_engine_that_has_started_again_unlisted_is_not_taken_for_its_earlier_version() {
    let fleet = Fleet::start(&["v1", "v1"], 1);
    fleet.engines[1].set_behavior(Behavior::ResetAfter(READ_EVENTS));
    fleet.engines[0].replace_unlisted(SECOND_VERSION);
    let mut answers = Vec::new();
    for number in 0..STREAMS {
        let request = Request::new("/stream/", &format!("s{number}")).with(MODEL, "m1");
        answers.push(fleet.daemons[0].send(&request));
    }
    let mixed = |a: &&Response| versions(&a.body).windows(2).any(|v| v[0] != v[1]);
    assert_eq!(answers.iter().filter(mixed).count(), 0);
}

/// Guards against LOST: with one version in service all streams go on after all hosts were killed.
#[test]
fn streams_of_the_only_version_go_on_after_all_hosts_were_killed() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let begun = fleet.begin_streams();
    fleet.kill_all();
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against ORDER where rows cannot be written: streams of another version than the base
/// would be taken for streams of the base after all hosts were killed.
#[test]
fn streams_begin_at_the_base_version_alone_while_the_store_is_away() {
    let mut fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 3);
    fleet.store.set_down(true);
    wait("an outage", || {
        let noticed = |d: &Daemon| !d.logged("store unavailable").is_empty();
        fleet.daemons.iter().all(noticed)
    });
    let begun = fleet.begin_streams();
    let base = fleet.store.get("bases", "models").unwrap()["software"].clone();
    assert!(begun.iter().all(|b| b.version() == base), "{base}");
    fleet.store.set_down(false);
    fleet.kill_all();
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against ORDER and LOST while the store does not answer: the hosts know the versions of
/// streams from each other.
#[test_case(0; "at the same host")]
#[test_case(1; "at another host")]
fn streams_are_not_mixed_while_the_store_is_away(distance: usize) {
    let fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 3);
    let begun = fleet.begin_streams();
    fleet.store.set_down(true);
    assert_eq!(fleet.take_up(&begun, distance), all_whole());
}

/// Guards against ORDER where rows are written late, and against the loss of the streams that
/// wait for theirs.
#[test]
fn streams_begin_at_all_versions_while_the_store_is_slow() {
    let mut fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 3);
    fleet.store.set_delay(Duration::from_millis(150));
    let begun = fleet.begin_streams();
    fleet.store.set_delay(Duration::ZERO);
    fleet.kill_all();
    let begun_at = |version| begun.iter().filter(|b| b.version() == version).count();
    assert!(begun_at("v1") > 0 && begun_at(SECOND_VERSION) > 0);
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against ORDER over several attempts, each at another host and broken off again: all
/// name the first.
#[test]
fn a_stream_that_is_taken_up_again_and_again_stays_at_its_version() {
    let fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 3);
    let begun = fleet.begin_streams();
    for distance in 1..=3 {
        assert_eq!(fleet.take_up(&begun, distance), all_whole());
    }
}

/// Guards against ORDER by names that do not tell where a stream began.
#[test_case(&[]; "none")]
#[test_case(&["begin-1", "begin-2"]; "two")]
#[test_case(&[""]; "an empty one")]
#[test_case(&["\u{fc}"]; "an unreadable one")]
fn a_stream_without_a_clear_name_is_refused_while_several_versions_serve(names: &[&str]) {
    let fleet = Fleet::start(&["v1", SECOND_VERSION], 1);
    let mut request = Request::new("/stream/", "s1")
        .with(MODEL, "m1")
        .with("Last-Event-Id", "2");
    for name in names {
        request = request.with("Resumes", name);
    }
    let answer = fleet.daemons[0].send(&request);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(fleet.engines.iter().all(|e| e.runs("s1") == 0));
}

/// Guards against a cut of all streams by callers who name streams of any length, none of which
/// exists, and against ORDER by those who use the name of another's stream for their own.
#[test]
fn strange_names_disturb_no_other_stream() {
    let fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 2);
    let begun = fleet.begin_streams();
    for number in 0..200 {
        let name = format!("{}-{number}", "x".repeat(number * 20));
        let request = Request::new("/stream/", &format!("chaff-{number}"))
            .with(MODEL, "m1")
            .with("Last-Event-Id", "2")
            .with("Resumes", &name);
        assert_ne!(fleet.daemons[number % 2].send(&request).status, 0);
    }
    let base = fleet.store.get("bases", "models").unwrap()["software"].clone();
    for (number, stream) in begun.iter().enumerate() {
        for (host, daemon) in fleet.daemons.iter().enumerate() {
            // What has no row is known to the host that began it.
            if host == number % 2 || stream.version() != base {
                daemon.send(&Request::new("/stream/", &stream.id).with(MODEL, "m1"));
            }
        }
    }
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against LOST: an engine of the version is there, but does not hold the model, which
/// engines of another version do.
#[test]
fn a_model_is_loaded_at_the_version_of_a_stream_that_is_taken_up() {
    let mut fleet = Fleet::start(&["v1"], 2);
    let begun = fleet.begin_streams();
    fleet.add_engine(SECOND_VERSION, &["m1"]);
    fleet.add_engine("v1", &[]);
    fleet.wait_for_change("e3", "appeared");
    fleet.store.remove("servers", "e1");
    fleet.engines[0].crash();
    fleet.wait_for_change("e1", "gone");
    let mut taken = TakenUp::default();
    for (number, stream) in begun.iter().enumerate() {
        let mut answer = Response::default();
        // A refused caller returns.
        for attempt in 0..20 {
            let daemon = &fleet.daemons[(number + attempt) % 2];
            answer = stream.take_up(daemon, &format!("again-{number}-{attempt}"));
            if answer.status != 503 {
                break;
            }
        }
        taken.record(stream, &answer);
    }
    assert_eq!(taken, all_whole());
}

/// Guards against LOST: streams that were taken up after all hosts had lost power waited behind the
/// new requests of their route, at the few engines of their version, until their callers left.
#[test]
fn a_stream_that_is_taken_up_comes_before_new_requests_at_engines_of_its_version() {
    let fleet = Fleet::start(&["v1", SECOND_VERSION], 1);
    let begun = fleet.begin_streams();
    assert_eq!(fleet.take_up(&begun, 0), all_whole());
    let arrivals: Vec<_> = fleet.engines.iter().flat_map(|e| e.arrivals()).collect();
    let priorities = |goes_on: bool| -> BTreeSet<u8> {
        let is_kind = |a: &&ReceivedRequest| a.header("last-event-id").is_empty() != goes_on;
        let priority = |a: &ReceivedRequest| a.header("x-mastichinge-request-priority").parse();
        arrivals.iter().filter(is_kind).flat_map(priority).collect()
    };
    let (new, goes_on) = (priorities(false), priorities(true));
    assert!(goes_on.last() < new.first(), "{goes_on:?}, new {new:?}");
}

/// Guards against answers that stay open until their time limit although no engine of the version
/// that began them is left.
#[test]
fn an_answer_ends_openly_when_its_version_has_left() {
    let mut fleet = Fleet::start(&["v1"], 1);
    fleet.engines[0].set_behavior(Behavior::PauseAfter(READ_EVENTS));
    let daemon = fleet.daemons[0].callers;
    let started = Instant::now();
    let answer = std::thread::scope(|scope| {
        let request = Request::new("/stream/", "s1").with(MODEL, "m1");
        let stream = TcpStream::connect(daemon).unwrap();
        let answer = scope.spawn(move || exchange(stream, &request.bytes(true)));
        wait("the run", || fleet.engines[0].runs("s1") > 0);
        fleet.add_engine(SECOND_VERSION, &["m1"]);
        fleet.store.remove("servers", "e1");
        fleet.wait_for_change("e1", "gone");
        fleet.engines[0].crash();
        answer.join().unwrap()
    });
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert_eq!(events(&answer.body), [1, 2]);
    assert!(started.elapsed() < MAX_REFUSAL_TIME);
    assert_eq!(fleet.engines[1].runs("s1"), 0);
}

/// Guards against ORDER with three versions, of which one comes back after it had left.
#[test]
fn streams_stay_apart_when_versions_come_and_go() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let mut all = fleet.begin_streams();
    for (engine, version) in [("e3", SECOND_VERSION), ("e4", "2024-05 build \"x\"")] {
        fleet.add_engine(version, &["m1"]);
        fleet.wait_for_change(engine, "appeared");
        let begun = fleet.begin_named(version);
        all.extend(begun);
    }
    for engine in ["e1", "e2"] {
        fleet.store.remove("servers", engine);
        fleet.wait_for_change(engine, "gone");
    }
    fleet.kill_all();
    for engine in &fleet.engines[..2] {
        engine.register("ready");
    }
    wait("the first version", || {
        let listed = |d: &Daemon| {
            let changes = d.logged("engine changed");
            let back = changes
                .iter()
                .filter(|l| l["engine"] == "e2" && l["change"] == "appeared");
            back.count() > 1
        };
        fleet.daemons.iter().all(listed)
    });
    let taken = fleet.take_up(&all, 2);
    assert_eq!((taken.mixed, taken.whole), (0, all.len()), "{taken:?}");
}

/// Guards against the cost of rows where one version serves, which is the usual state.
#[test]
fn streams_of_the_only_version_need_no_call_to_the_store() {
    let fleet = Fleet::start(&["v1", "v1"], 1);
    fleet.begin_streams();
    assert_eq!(fleet.store.whole_reads("origins"), 0);
    let metrics = fleet.daemons[0].lines();
    assert!(
        metrics
            .iter()
            .all(|l| l["message"] != "rows of streams not written")
    );
    assert_eq!(fleet.store.count("origins"), 0);
}

/// Guards against ORDER where the store has come back from a copy without the rows of streams.
#[test]
fn rows_are_written_again_when_the_store_has_come_back_from_an_older_copy() {
    let mut fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 2);
    fleet.store.set_era("1");
    let copy = fleet.store.copy();
    let begun = fleet.begin_streams();
    let rows = fleet.store.count("origins");
    assert!(rows > 0);
    fleet.store.go_back(&copy, "2");
    assert!(rows < STREAMS);
    wait("a row for each", || fleet.store.count("origins") == STREAMS);
    fleet.kill_all();
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against giving a stream up whose row may be written while the store does not answer,
/// although it answers again before the caller leaves.
#[test]
fn a_stream_waits_for_its_row_until_its_caller_would_leave() {
    let fleet = Fleet::start(&["v1", "v1", SECOND_VERSION], 1);
    for engine in &fleet.engines[..2] {
        engine.set_behavior(Behavior::Full);
    }
    fleet.store.set_delay(CLOSING_TIME / 8);
    let answer = std::thread::scope(|scope| {
        let request = Request::new("/stream/", "s1").with(MODEL, "m1");
        let daemon = &fleet.daemons[0];
        let answer = scope.spawn(move || daemon.send(&request));
        wait("the run", || fleet.engines[2].runs("s1") > 0);
        fleet.store.set_closing(true);
        std::thread::sleep(CLOSING_TIME);
        fleet.store.set_closing(false);
        answer.join().unwrap()
    });
    assert_unmixed(&[answer]);
}

/// Guards against rows for all streams for good once the base version has left, and against ORDER
/// when it comes back after another has taken its place.
#[test]
fn a_base_version_that_has_left_is_replaced_and_may_come_back() {
    let mut fleet = Fleet::without_base(2);
    std::thread::sleep(RETIRE_TIME);
    wait("another base version", || {
        let is_known = |l: &Value| l["software"] == SECOND_VERSION;
        let knows = |d: &Daemon| d.logged("base version known").iter().any(is_known);
        fleet.daemons.iter().all(knows)
    });
    let rows = fleet.store.count("origins");
    let mut begun = fleet.begin_streams();
    assert!(begun.iter().all(|b| b.version() == SECOND_VERSION));
    assert_eq!(fleet.store.count("origins"), rows);
    fleet.restore_base(&fleet.daemons);
    begun.extend(fleet.begin_named("v1"));
    fleet.kill_all();
    let taken = fleet.take_up(&begun, 1);
    assert_eq!((taken.mixed, taken.whole), (0, begun.len()), "{taken:?}");
}

/// Guards against 504 for all streams while the store is away and no engine of the base version is
/// left, and against ORDER after it.
#[test]
fn streams_begin_without_rows_where_the_base_version_has_left_and_the_store_is_away() {
    let mut fleet = Fleet::without_base(2);
    fleet.store.set_down(true);
    wait("an outage", || {
        let noticed = |d: &Daemon| !d.logged("store unavailable").is_empty();
        fleet.daemons.iter().all(noticed)
    });
    let begun = fleet.begin_streams();
    assert!(begun.iter().all(|b| b.version() == SECOND_VERSION));
    assert_eq!(fleet.store.count("origins"), 0);
    fleet.store.set_down(false);
    wait("the rows", || fleet.store.count("origins") == STREAMS);
    fleet.kill_all();
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against ORDER where the store turns one host away that knows no engine of the base
/// version: its streams had no row and went on at the base version elsewhere.
#[test]
fn streams_of_a_host_that_the_store_turns_away_go_on_at_their_version() {
    let (mut fleet, store) = Fleet::without_base_at_two_addresses(3);
    store.turn_away(true);
    wait("an outage", || {
        !fleet.daemons[3].logged("store unavailable").is_empty()
    });
    fleet.restore_base(&fleet.daemons[..3]);
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| begin_stream(&fleet.daemons[3], &format!("begin-{number}")))
        .collect();
    assert!(begun.iter().all(|b| b.version() == SECOND_VERSION));
    drop(fleet.daemons.pop());
    assert_eq!(fleet.take_up(&begun, 0), all_whole());
}

/// Guards against ORDER where a host can neither write a stream's row nor tell another host: a
/// version that nobody else can know must not begin.
#[test]
fn streams_begin_nowhere_while_no_other_host_can_know_their_version() {
    let fleet = Fleet::without_base(1);
    fleet.store.set_down(true);
    wait("an outage", || {
        !fleet.daemons[0].logged("store unavailable").is_empty()
    });
    let request = Request::new("/stream/", "s1").with(MODEL, "m1");
    assert_eq!(fleet.daemons[0].send(&request).status, 503);
    assert!(fleet.engines.iter().all(|e| e.runs("s1") == 0));
}

/// Guards against ORDER after a drill of the store: rows of streams whose host had ended were lost,
/// and the streams went on at the base version.
#[test_case(1, false; "their host has ended")]
#[test_case(2, false; "two hosts that knew them have ended")]
#[test_case(1, true; "at a host that has started since")]
fn streams_go_on_at_their_version_after_a_drill_that_lost_their_rows(ended: usize, starts: bool) {
    let mut fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 4);
    fleet.store.set_era("1");
    let copy = fleet.store.copy();
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| begin_stream(&fleet.daemons[0], &format!("begin-{number}")))
        .collect();
    // The second host reads the rows and passes some streams on.
    for (number, stream) in begun[..ended].iter().enumerate() {
        stream.take_up(&fleet.daemons[ended - 1], &format!("first-{number}"));
    }
    wait("the other hosts", || {
        let count = fleet.daemons[2].logged("streams told by another host");
        let told: u64 = count.iter().filter_map(|l| l["count"].as_u64()).sum();
        told >= STREAMS as u64
    });
    fleet.daemons.drain(..ended);
    fleet.store.go_back(&copy, "2");
    wait("the new era", || {
        let is_known = |d: &Daemon| {
            let message = "store has come back from an older copy, everything is read again";
            !d.logged(message).is_empty()
        };
        fleet.daemons.iter().all(is_known)
    });
    if starts {
        fleet.daemons[0].restart();
        wait("ready", || fleet.daemons[0].is_ready());
    }
    std::thread::sleep(RESTORE_TIME);
    let mut taken = TakenUp::default();
    for (number, stream) in begun.iter().enumerate() {
        let answer = stream.take_up(&fleet.daemons[0], &format!("again-{number}"));
        taken.record(stream, &answer);
    }
    assert_eq!(taken, all_whole());
}

/// Guards against LOST: engines that were silent for a second got nothing more, so that streams of
/// their version went on nowhere.
#[test]
fn streams_go_on_at_engines_that_were_silent_for_a_while() {
    let fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 2);
    let mut begun = fleet.begin_streams();
    begun.retain(|b| b.version() == SECOND_VERSION);
    let silent = &fleet.engines[2..];
    silent.iter().for_each(|e| e.set_silent(true));
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let mut sent = 0;
        wait("both engines down", || {
            sent += 1;
            begin_stream(daemon, &format!("silent-{number}-{sent}"));
            let down = daemon.logged("engine down");
            silent
                .iter()
                .all(|e| down.iter().any(|l| l["engine"] == *e.id))
        });
    }
    silent.iter().for_each(|e| e.set_silent(false));
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let mut sent = 0;
        wait("a stream to go on", || {
            sent += 1;
            let answer = begun[0].take_up(daemon, &format!("first-{number}-{sent}"));
            answer.status == 200
        });
    }
    let taken = fleet.take_up(&begun, 1);
    assert_eq!((taken.mixed, taken.whole), (0, begun.len()), "{taken:?}");
}

/// Guards against ORDER where a base version comes back just after another has replaced it, so that
/// hosts differ in the version of streams without rows.
#[test]
fn a_base_version_that_comes_back_as_it_is_replaced_is_known_to_all_hosts() {
    let fleet = Fleet::without_base(3);
    std::thread::sleep(RETIRE_TIME);
    wait("another base version", || {
        let base = fleet.store.get("bases", "models").unwrap();
        base["software"] == SECOND_VERSION
    });
    fleet.restore_base(&fleet.daemons);
    let begun = fleet.begin_streams();
    for distance in 1..=2 {
        let taken = fleet.take_up(&begun, distance);
        assert_eq!((taken.mixed, taken.whole), (0, begun.len()), "{taken:?}");
    }
}

/// Guards against missing rows that are not believed for good: the host that writes base rows again
/// in a new era is not answered by the store.
#[test]
fn base_rows_are_written_again_in_a_new_era_whichever_host_is_turned_away() {
    let (fleet, store) = Fleet::without_base_at_two_addresses(2);
    fleet.store.set_era("1");
    let copy = fleet.store.copy();
    store.turn_away(true);
    fleet.store.go_back(&copy, "2");
    wait("the base row of the era", || {
        fleet.store.get("bases", "models").unwrap()["era"] == 2
    });
}

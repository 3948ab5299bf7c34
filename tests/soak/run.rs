//! Runs of all seeds: callers, engines and disturbances, then the checks.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use strum::IntoEnumIterator;
use test_case::test_case;
use tokio::runtime::Builder;

use crate::bookings;
use crate::callers::{Caller, CallerSetup};
use crate::checks::{Violation, calm_closes, violations};
use crate::customers;
use crate::disturbances::{self, Disturbance};
use crate::engine::SoakEngine;
use crate::engine_faults::EngineFault;
use crate::fakes::daemon::wait;
use crate::left_runs;
use crate::links;
use crate::parts;
use crate::record::{History, Outcome, sent_id};
use crate::settings::SoakSettings;
use crate::site::Site;
use crate::versions;

/// Time after the end of a daemon's span in which requests show the span.
const SPAN_MARGIN: Duration = Duration::from_secs(3);

/// Fails if a promise to callers is broken in a run with one of the seeds.
#[test]
fn seeds() {
    let mut broken = 0;
    for settings in SoakSettings::from_environment() {
        broken += run(&settings);
    }
    assert_eq!(broken, 0, "violations; see the lines above");
}

/// Returns the faults from which these seeds draw: further ones change what a seed draws.
fn first_faults() -> Vec<EngineFault> {
    let mut faults: Vec<_> = EngineFault::iter().collect();
    faults.retain(|f| *f as usize <= EngineFault::Garbage as usize);
    faults
}

/// Guards against BUDGET: pauses that engines had asked for were not kept.
#[test_case(801; "in a response that followed a late one")]
#[test_case(815; "before the new entry of an engine that had started again")]
fn seeds_that_have_failed(seed: u64) {
    let mut settings = SoakSettings::default().with_seed(seed);
    // Further kinds change what a seed draws.
    settings.probes_routes = false;
    settings.crashing_parts = false;
    settings.takes_up = false;
    let later = [
        Disturbance::EngineRate,
        Disturbance::EngineCrash,
        Disturbance::Release,
        Disturbance::KillAll,
        Disturbance::StopThenKill,
        Disturbance::StopTwice,
        Disturbance::StopFrozen,
        Disturbance::StopOverlapping,
        Disturbance::StopWithEngines,
        Disturbance::StopAll,
    ];
    settings.disturbances.retain(|d| !later.contains(d));
    settings.engine_faults = first_faults();
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against BUDGET and LOST: parts that crash engines beside restarts, freezes and cuts of
/// daemons, and engines that crash by themselves.
#[test_case(3401; "three daemons")]
#[test_case(3402; "another order")]
fn parts_that_crash_engines_are_held(seed: u64) {
    let settings = SoakSettings {
        seed,
        length: Duration::from_secs(20),
        daemons: 3,
        fault_rate: 0.02,
        engine_faults: first_faults(),
        pause: Duration::from_millis(1_500),
        disturbances: vec![
            Disturbance::Freeze,
            Disturbance::Kill,
            Disturbance::Shutdown,
            Disturbance::EngineCrash,
            Disturbance::EngineCut,
        ],
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against BUDGET and LOST where several sound streams have just begun at each crash, as
/// they last for half a second and more: one request again and again, or parts, and engines that
/// break connections or fall silent until they are back.
#[test_case(4901, false, false; "parts")]
#[test_case(4902, true, false; "one request")]
#[test_case(4903, false, true; "parts, silent engines")]
#[test_case(4904, true, true; "one request, silent engines")]
fn sound_streams_run_beside_requests_that_crash_engines(seed: u64, whole: bool, silent: bool) {
    let settings = SoakSettings {
        seed,
        length: Duration::from_secs(25),
        daemons: 3,
        engines: 5,
        callers: 40,
        fault_rate: 0.0,
        event_pause: Duration::from_millis(100),
        whole_request: whole,
        silent_crashes: silent,
        takes_up: false,
        pause: Duration::from_millis(2_500),
        disturbances: vec![Disturbance::Shutdown],
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against ORDER and LOST: engines of several versions, releases and breaks, and callers
/// who take streams up, also after all daemons were killed at once.
#[test_case(3701; "three daemons")]
#[test_case(3702; "another order")]
fn streams_go_on_at_the_version_that_began_them(seed: u64) {
    let settings = SoakSettings {
        seed,
        length: Duration::from_secs(20),
        daemons: 3,
        engines: 5,
        fault_rate: 0.05,
        engine_faults: first_faults(),
        crashing_parts: false,
        pause: Duration::from_secs(5),
        disturbances: vec![
            Disturbance::Release,
            Disturbance::Release,
            Disturbance::Release,
            Disturbance::KillAll,
            Disturbance::Kill,
            Disturbance::EngineCut,
            Disturbance::StoreDown,
        ],
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against REFUSED and TWICE where links are slow, silent, cut, half-open or reset: what a
/// link does says nothing about what the process behind it has done.
#[test_case(4602; "one engine of each service")]
#[test_case(4601; "two of them, and restarts")]
fn links_prove_nothing(seed: u64) {
    let engines = 1 + (seed % 2) as usize;
    let mut disturbances: Vec<_> = Disturbance::iter().filter(|d| d.is_of_link()).collect();
    if engines == 2 {
        disturbances.extend([Disturbance::Kill, Disturbance::Shutdown]);
    }
    let settings = SoakSettings {
        seed,
        length: Duration::from_secs(6),
        callers: 24,
        engines,
        pause: Duration::from_millis(600),
        disturbances,
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against REFUSED, TWICE and LOST: daemons that are stopped in series, also while frozen,
/// killed before the grace period ends, and started again before the process before has exited.
#[test_case(3801; "three daemons")]
fn stops_in_series_break_no_promise(seed: u64) {
    let settings = SoakSettings {
        seed,
        length: Duration::from_secs(20),
        daemons: 3,
        fault_rate: 0.1,
        crashing_parts: false,
        pause: Duration::from_millis(900),
        disturbances: vec![
            Disturbance::StopThenKill,
            Disturbance::StopTwice,
            Disturbance::StopFrozen,
            Disturbance::StopOverlapping,
            Disturbance::StopWithEngines,
            Disturbance::StopAll,
        ],
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against QUOTA, and against keys that engines see or that are still taken after a version
/// took them away, while daemons end and start again.
#[test_case(5001; "three daemons")]
fn customers_have_keys_and_caps(seed: u64) {
    let settings = SoakSettings {
        seed,
        length: Duration::from_secs(20),
        callers: 48,
        daemons: 3,
        fault_rate: 0.05,
        engine_faults: first_faults(),
        pause: Duration::from_secs(3),
        disturbances: vec![
            Disturbance::Kill,
            Disturbance::Shutdown,
            Disturbance::KillAll,
        ],
        ..SoakSettings::default()
    };
    assert_eq!(
        run(&settings.with_customers()),
        0,
        "violations; see the lines above"
    );
}

/// Runs callers against engines with one fault and daemons without any.
fn run_with(fault: EngineFault) {
    let settings = SoakSettings {
        length: Duration::from_secs(5),
        daemons: 1,
        engines: 1,
        fault_rate: 0.3,
        engine_faults: vec![fault],
        crashing_parts: false,
        disturbances: Vec::new(),
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against relaying an engine's 503 of a request that it ran as a promise that
/// the request has not run.
#[test]
fn a_503_that_does_not_say_not_run_is_no_promise() {
    run_with(EngineFault::FullAfterRun);
}

/// Guards against taking the late rejection of an earlier request on the connection,
/// which has no id, as the rejection of the request that follows it.
#[test]
fn a_late_rejection_without_an_id_rejects_no_request() {
    run_with(EngineFault::ExtraAnonymousRejection);
}

/// Guards against giving up a silent engine, or its stream, when no retry is left.
#[test]
fn silent_engines_are_awaited_without_a_retry_budget() {
    let settings = SoakSettings {
        length: Duration::from_secs(8),
        retries: false,
        fault_rate: 0.3,
        engine_faults: vec![EngineFault::SilenceBefore, EngineFault::SilenceAfter],
        crashing_parts: false,
        pause: Duration::from_millis(600),
        disturbances: vec![Disturbance::Desired],
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Guards against taking a repeated rejection as one of the same request's next attempt
/// on that connection.
#[test]
fn a_repeated_rejection_rejects_no_later_attempt() {
    run_with(EngineFault::RejectAgain);
}

/// Guards against taking a repeated rejection of one try as one of the next try, which has the
/// same id and runs.
#[test]
fn a_repeated_rejection_rejects_no_later_try_with_its_id() {
    let settings = SoakSettings {
        length: Duration::from_secs(6),
        callers: 6,
        daemons: 1,
        engines: 1,
        retries: false,
        keeps_id: true,
        fault_rate: 0.5,
        engine_faults: vec![EngineFault::RejectAgain],
        crashing_parts: false,
        disturbances: Vec::new(),
        ..SoakSettings::default()
    };
    assert_eq!(run(&settings), 0, "violations; see the lines above");
}

/// Runs one seed; returns the number of violations. Only one run at a time.
fn run(settings: &SoakSettings) -> usize {
    static RUNNING: Mutex<()> = Mutex::new(());
    // A panic in another run leaves nothing behind.
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    println!(
        "seed {}: {} callers, {} daemons, {} engines of each service, {:.2} faults, pause {:?}",
        settings.seed,
        settings.callers,
        settings.daemons,
        settings.engines,
        settings.fault_rate,
        settings.pause
    );
    let site = Site::start(settings);
    let setup = Arc::new(CallerSetup {
        seed: settings.seed,
        addrs: site.caller_addrs(),
        recorder: site.recorder.clone(),
        probes_routes: settings.probes_routes,
        takes_up: settings.takes_up,
        customers: settings.customers,
        keeps_id: settings.keeps_id,
        crashing_from: settings.crashing_parts.then_some(settings.length / 5),
        whole_request: settings.whole_request,
        stop: AtomicBool::new(false),
    });
    let stop = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        scope.spawn(|| disturbances::run(&site, settings, &stop));
        let callers = scope.spawn(|| run_callers(&setup, settings.callers));
        if settings.customers {
            thread::sleep(settings.length / 2);
            site.take_key();
            thread::sleep(settings.length / 2);
        } else {
            thread::sleep(settings.length);
        }
        stop.store(true, Ordering::SeqCst);
        setup.stop.store(true, Ordering::SeqCst);
        callers.join().unwrap();
    });
    // A refused request may still run later.
    wait("idle engines", || {
        site.engines.iter().all(SoakEngine::is_idle)
    });
    for engine in &site.engines {
        engine.name_rate(None);
    }
    let history = site.recorder.history();
    let found = violations(&history);
    println!("seed {}: {}", settings.seed, summary(&history));
    println!("seed {}: {}", settings.seed, parts::summary(&history));
    println!("seed {}: {}", settings.seed, versions::summary(&history));
    println!("seed {}: {}", settings.seed, links::summary(&history));
    println!("seed {}: {}", settings.seed, bookings::summary(&history));
    println!("seed {}: {}", settings.seed, left_runs::summary(&history));
    println!("seed {}: {}", settings.seed, customers::summary(&history));
    for violation in &found {
        let Violation { rule, id, text } = violation;
        println!("{rule:?} {id}: {text}\n{}", describe(&site, &history, id));
    }
    if !found.is_empty() || settings.keeps_logs {
        keep_logs(&site, settings, &history);
    }
    found.len()
}

fn run_callers(setup: &Arc<CallerSetup>, count: usize) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let spawn = |n| tokio::spawn(Caller::new(setup, n).run());
        let callers: Vec<_> = (0..count).map(spawn).collect();
        for caller in callers {
            caller.await.unwrap();
        }
    });
}

/// Returns the number of attempts and of their outcomes.
fn summary(history: &History) -> String {
    let count = |is: fn(&Outcome) -> bool| {
        let outcomes = history.attempts.values().map(|a| &a.outcome);
        outcomes.filter(|o| is(o)).count()
    };
    let status = |low: u16, high: u16| {
        let outcomes = history.attempts.values().map(|a| &a.outcome);
        let within =
            |o: &&Outcome| matches!(o, Outcome::Answered(a) if (low..high).contains(&a.status));
        outcomes.filter(within).count()
    };
    format!(
        "{} attempts, {} on kept connections; 2xx {}, 429 {}, other 4xx {}, 503 {}, other 5xx {}, \
         closed {} ({} calm), timed out {}, left {}, not sent {}",
        history.attempts.len(),
        history.attempts.values().filter(|a| a.reused).count(),
        status(200, 300),
        status(429, 430),
        status(400, 429) + status(430, 500),
        status(503, 504),
        status(500, 503) + status(504, 600),
        count(|o| matches!(o, Outcome::Closed)),
        calm_closes(history).len(),
        count(|o| matches!(o, Outcome::TimedOut)),
        count(|o| matches!(o, Outcome::Left)),
        count(|o| matches!(o, Outcome::NotSent)),
    )
}

/// Returns what callers, engines and daemons recorded of all tries of a request.
fn describe(site: &Site, history: &History, id: &str) -> String {
    let tries = history.tries_of(id);
    let texts = tries.iter().map(|name| describe_try(site, history, name));
    texts.collect()
}

fn describe_try(site: &Site, history: &History, name: &str) -> String {
    let mut out = String::new();
    let Some(attempt) = history.attempts.get(name) else {
        return out;
    };
    let mut shown = attempt.clone();
    if let Outcome::Answered(answer) = &mut shown.outcome {
        answer.body.truncate(60);
    }
    writeln!(out, "  caller, {name}: {shown:?}").unwrap();
    for step in history.steps(name) {
        writeln!(
            out,
            "  engine {} {:?}: {:?}",
            step.engine, step.at, step.step
        )
        .unwrap();
    }
    for (number, daemon) in site.daemons.iter().enumerate() {
        for line in daemon.lock().unwrap().lines() {
            if line["request"] == sent_id(name) {
                writeln!(out, "  edge-{number}: {line}").unwrap();
            }
        }
    }
    for span in &history.spans {
        if span.daemon == attempt.daemon && span.end + SPAN_MARGIN >= attempt.started_at {
            writeln!(out, "  {span:?}").unwrap();
        }
    }
    for span in &history.links {
        if span.start <= attempt.ended_at && span.end + SPAN_MARGIN >= attempt.started_at {
            writeln!(out, "  {span:?}").unwrap();
        }
    }
    out
}

fn keep_logs(site: &Site, settings: &SoakSettings, history: &History) {
    let folder = settings.folder.join(format!("seed-{}", settings.seed));
    std::fs::create_dir_all(&folder).unwrap();
    for (number, daemon) in site.daemons.iter().enumerate() {
        let mut text = String::new();
        for line in daemon.lock().unwrap().lines() {
            writeln!(text, "{line}").unwrap();
        }
        std::fs::write(folder.join(format!("edge-{number}.log")), text).unwrap();
    }
    let mut text = String::new();
    for (id, steps) in &history.steps {
        for step in steps {
            writeln!(text, "{:?} {id} {} {:?}", step.at, step.engine, step.step).unwrap();
        }
    }
    std::fs::write(folder.join("engines.log"), text).unwrap();
    let mut text = String::new();
    for id in calm_closes(history) {
        writeln!(text, "{id}\n{}", describe(site, history, id)).unwrap();
    }
    std::fs::write(folder.join("calm.log"), text).unwrap();
    println!("logs kept in {}", folder.display());
}

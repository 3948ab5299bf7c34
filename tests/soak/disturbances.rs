//! Disturbances from outside: signals to daemons, changes of the desired state and of
//! settings, and failures of the store and of engines. They come in series and overlap.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{SOFTWARE, SoakEngine, Start};
use crate::fakes::daemon::wait;
use crate::links::LinkDisturbance;
use crate::record::Span;
use crate::settings::SoakSettings;
use crate::site::{Desired, FIRST_ERA, Site, write_desired};

/// Time from SIGTERM to SIGKILL; the grace period of the daemons' settings.
pub const GRACE: Duration = Duration::from_secs(3);
/// Shortest timeout of routes.
pub const MIN_ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Range of the timeouts of routes, ms.
const ROUTE_TIMEOUT_MS: Range<u64> = MIN_ROUTE_TIMEOUT.as_millis() as u64..8_000;
/// Retries in each window, where there are any.
const RETRY_SLACK: f64 = 40.0;
/// Rates that engines name, requests a second.
const RATES: [f64; 6] = [0.0, 0.05, 0.5, 1.0, 2.0, 6.0];
/// Minimum time for which they name one.
const MIN_RATE_TIME: Duration = Duration::from_secs(3);
/// Period of checking whether a process has exited.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum number of faults of links that follow each other, exclusive.
const MAX_SERIES: usize = 4;
/// Pause before a process that could not start is started once more.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause between disturbances of engines during a stop.
const MAX_ENGINE_PAUSE: Duration = Duration::from_millis(800);

/// Ways in which engines start again.
const STARTS: [Start; 3] = [Start::OtherId, Start::SameId, Start::LateEntry];

/// What the entry of an engine that leaves says.
#[derive(Clone, Copy, Debug)]
enum LeavingEntry {
    /// That it is ready.
    Ready,
    /// That it leaves.
    Draining,
    /// Nothing: it is removed.
    Removed,
    /// Nothing for a while, then that it is ready.
    Back,
}

const LEAVING_ENTRIES: [LeavingEntry; 4] = [
    LeavingEntry::Ready,
    LeavingEntry::Draining,
    LeavingEntry::Removed,
    LeavingEntry::Back,
];

/// A kind of disturbance.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Disturbance {
    /// Stops a daemon with SIGSTOP for a while.
    Freeze,
    /// Kills a daemon and starts it again.
    Kill,
    /// Shuts a daemon down with SIGTERM and starts it again.
    Shutdown,
    /// Changes a daemon's settings and sends SIGHUP.
    Reload,
    /// Writes versions of the desired state in quick succession.
    Desired,
    /// The store answers 503.
    StoreDown,
    /// The store answers slowly.
    StoreSlow,
    /// The store closes connections.
    StoreClosing,
    /// The store comes back from a copy that is some hundred milliseconds old; the operator and
    /// the engines write again what is lost.
    StoreBack,
    /// An engine starts again at its address, under its id or another.
    EngineRestart,
    /// An engine says in all responses that it leaves, whatever its entry says, and starts
    /// again after a while.
    EngineLeave,
    /// An engine names the requests a second that it takes from all daemons, then another number
    /// or none.
    EngineRate,
    /// The entry of an engine is missing for a while.
    EntryLapse,
    /// An engine resets all its connections for a while.
    EngineCut,
    /// An engine crashes, whatever it runs, and starts again.
    EngineCrash,
    /// An engine starts again with other software, under its id or another.
    Release,
    /// Kills all daemons at once and starts them again.
    KillAll,
    /// Links deliver late.
    LinkDelay,
    /// Links carry few bytes a second.
    LinkSqueeze,
    /// Links hold what is sent in one direction, and deliver it in the end or not.
    LinkSilence,
    /// Links reset all connections, and refuse new ones or reset them too.
    LinkCut,
    /// One side of all connections of links is lost, and the other is told in the end.
    LinkHalfOpen,
    /// Links reset connections in the middle of a request or of a response, or after it.
    LinkReset,
    /// Shuts a daemon down with SIGTERM, kills it before the grace period ends, and starts it
    /// again.
    StopThenKill,
    /// Sends SIGTERM to a daemon several times.
    StopTwice,
    /// Sends SIGTERM to a daemon that is stopped with SIGSTOP, and lets it go on later.
    StopFrozen,
    /// Starts another process of a daemon while the one before still shuts down, again and again
    /// until it runs.
    StopOverlapping,
    /// Shuts a daemon down while engines crash, leave and start again.
    StopWithEngines,
    /// Sends SIGTERM to all daemons within a moment.
    StopAll,
}

/// Starts disturbances until `stop` is set and waits for the end of all of them.
pub fn run(site: &Site, settings: &SoakSettings, stop: &Arc<AtomicBool>) {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut desired = Desired::default();
    let mut era = FIRST_ERA;
    thread::scope(|scope| {
        while !stop.load(Ordering::SeqCst) {
            let pause = rng.random_range(0..settings.pause.as_millis() as u64);
            thread::sleep(Duration::from_millis(pause));
            let Some(&kind) = settings.disturbances.choose(&mut rng) else {
                continue;
            };
            let daemon = rng.random_range(0..site.daemons.len());
            let engine = rng.random_range(0..site.engines.len());
            let time = Duration::from_millis(rng.random_range(200..4_000));
            match kind {
                Disturbance::Freeze => {
                    scope.spawn(move || freeze(site, daemon, time));
                }
                Disturbance::Kill => {
                    scope.spawn(move || kill(site, daemon, time / 4));
                }
                Disturbance::Shutdown => {
                    scope.spawn(move || shut_down(site, daemon));
                }
                Disturbance::Reload => reload(site, daemon, time),
                Disturbance::Desired => {
                    for _ in 0..rng.random_range(1..5) {
                        desired.version += rng.random_range(1..4);
                        desired.route_timeout_ms = rng.random_range(ROUTE_TIMEOUT_MS);
                        desired.idle_timeout_ms = rng.random_range(1_500..6_000);
                        desired.extra_routes = rng.random_range(0..6);
                        write_desired(&site.store, &site.recorder, &desired);
                        thread::sleep(Duration::from_millis(rng.random_range(0..200)));
                    }
                }
                Disturbance::StoreDown => {
                    scope.spawn(move || {
                        let start = site.recorder.now();
                        site.store.set_down(true);
                        thread::sleep(time);
                        site.store.set_down(false);
                        site.recorder.add_store_span(start);
                    });
                }
                Disturbance::StoreSlow => {
                    scope.spawn(move || {
                        let start = site.recorder.now();
                        site.store.set_delay(time / 4);
                        thread::sleep(time);
                        site.store.set_delay(Duration::ZERO);
                        site.recorder.add_store_span(start);
                    });
                }
                Disturbance::StoreClosing => {
                    scope.spawn(move || {
                        let start = site.recorder.now();
                        site.store.set_closing(true);
                        thread::sleep(time);
                        site.store.set_closing(false);
                        site.recorder.add_store_span(start);
                    });
                }
                Disturbance::StoreBack => {
                    let start = site.recorder.now();
                    let copy = site.store.copy();
                    thread::sleep(time / 4);
                    era += 1;
                    site.store.go_back(&copy, &era.to_string());
                    write_desired(&site.store, &site.recorder, &desired);
                    for engine in &site.engines {
                        engine.write_again();
                    }
                    site.recorder.add_store_span(start);
                }
                Disturbance::EngineRestart => {
                    let start = STARTS[rng.random_range(0..STARTS.len())];
                    scope.spawn(move || start_again(&site.engines[engine], start, time / 4));
                }
                Disturbance::EngineLeave => {
                    let start = STARTS[rng.random_range(0..STARTS.len())];
                    let entry = LEAVING_ENTRIES[rng.random_range(0..LEAVING_ENTRIES.len())];
                    let engine = &site.engines[engine];
                    scope.spawn(move || leave(engine, entry, start, time));
                }
                Disturbance::EngineRate => {
                    let rates = [(); 2].map(|()| RATES.choose(&mut rng).copied());
                    let engine = &site.engines[engine];
                    scope.spawn(move || {
                        for rate in rates {
                            engine.name_rate(rate);
                            thread::sleep(MIN_RATE_TIME + time / 2);
                        }
                        engine.name_rate(None);
                    });
                }
                Disturbance::EntryLapse => {
                    scope.spawn(move || {
                        site.engines[engine].remove_entry();
                        thread::sleep(time / 2);
                        site.engines[engine].register();
                    });
                }
                Disturbance::EngineCut => {
                    scope.spawn(move || {
                        site.engines[engine].set_dark(true);
                        thread::sleep(time / 4);
                        site.engines[engine].set_dark(false);
                    });
                }
                Disturbance::EngineCrash => site.engines[engine].crash(),
                Disturbance::Release => {
                    let start = STARTS[rng.random_range(0..STARTS.len())];
                    let software = SOFTWARE[rng.random_range(0..SOFTWARE.len())];
                    // The second half of the engines serves models.
                    let half = site.engines.len() / 2;
                    let engine = &site.engines[half + engine % half];
                    scope.spawn(move || {
                        engine.release(software, start);
                        register_late(engine, start, time / 4);
                    });
                }
                Disturbance::LinkDelay
                | Disturbance::LinkSqueeze
                | Disturbance::LinkSilence
                | Disturbance::LinkCut
                | Disturbance::LinkHalfOpen
                | Disturbance::LinkReset => {
                    let count = rng.random_range(1..MAX_SERIES);
                    let draw = |_| LinkDisturbance::draw(kind, (daemon, engine), &mut rng);
                    let series: Vec<_> = (0..count).filter_map(draw).collect();
                    scope.spawn(move || {
                        for disturbance in series {
                            disturbance.run(site, time / 2);
                        }
                    });
                }
                Disturbance::KillAll => {
                    for daemon in 0..site.daemons.len() {
                        scope.spawn(move || kill(site, daemon, time / 4));
                    }
                }
                Disturbance::StopThenKill => {
                    let until_kill = GRACE.mul_f64(rng.random_range(0.0..1.0));
                    scope.spawn(move || stop_then_kill(site, daemon, until_kill, time / 8));
                }
                Disturbance::StopTwice => {
                    let pauses = [(); 2].map(|()| GRACE.mul_f64(rng.random_range(0.0..0.5)));
                    scope.spawn(move || {
                        for pause in pauses {
                            thread::sleep(pause);
                            site.daemons[daemon].lock().unwrap().signal(libc::SIGTERM);
                        }
                    });
                    scope.spawn(move || shut_down(site, daemon));
                }
                Disturbance::StopFrozen => {
                    let until_stop = time.mul_f64(rng.random_range(0.0..0.5));
                    let until_thaw = GRACE.mul_f64(rng.random_range(0.0..1.2));
                    scope.spawn(move || stop_frozen(site, daemon, until_stop, until_thaw));
                }
                Disturbance::StopOverlapping => {
                    let until_start = GRACE.mul_f64(rng.random_range(0.0..1.0));
                    scope.spawn(move || stop_overlapping(site, daemon, until_start));
                }
                Disturbance::StopWithEngines => {
                    let seed = rng.random();
                    scope.spawn(move || disturb_engines(site, seed));
                    scope.spawn(move || shut_down(site, daemon));
                }
                Disturbance::StopAll => {
                    for daemon in 0..site.daemons.len() {
                        let pause = time.mul_f64(rng.random_range(0.0..0.2));
                        scope.spawn(move || {
                            thread::sleep(pause);
                            shut_down(site, daemon);
                        });
                    }
                }
            }
        }
    });
}

/// Starts an engine again; its entry is written after `late` at the latest.
fn start_again(engine: &SoakEngine, start: Start, late: Duration) {
    engine.restart(start);
    register_late(engine, start, late);
}

fn register_late(engine: &SoakEngine, start: Start, late: Duration) {
    if start == Start::LateEntry {
        thread::sleep(late);
        engine.register();
    }
}

/// Lets an engine leave, and starts it again after `time`.
fn leave(engine: &SoakEngine, entry: LeavingEntry, start: Start, time: Duration) {
    engine.leave();
    match entry {
        LeavingEntry::Ready => engine.register(),
        LeavingEntry::Draining => engine.register_as("draining"),
        LeavingEntry::Removed => engine.remove_entry(),
        LeavingEntry::Back => {
            engine.remove_entry();
            thread::sleep(time / 2);
            engine.register();
        }
    }
    thread::sleep(time / 2);
    start_again(engine, start, time / 4);
}

/// Sends a signal to a daemon; returns the number of its processes so far.
fn signal(site: &Site, daemon: usize, signal: i32) -> u64 {
    let daemon = site.daemons[daemon].lock().unwrap();
    daemon.signal(signal);
    daemon.lives
}

/// Sends a signal to a daemon, unless it was started again since `life`.
fn signal_life(site: &Site, daemon: usize, life: u64, signal: i32) {
    let daemon = site.daemons[daemon].lock().unwrap();
    if daemon.lives == life {
        daemon.signal(signal);
    }
}

fn freeze(site: &Site, daemon: usize, time: Duration) {
    let start = site.recorder.now();
    site.daemons[daemon].lock().unwrap().signal(libc::SIGSTOP);
    thread::sleep(time);
    site.daemons[daemon].lock().unwrap().signal(libc::SIGCONT);
    add_span(site, daemon, start, false);
}

fn kill(site: &Site, daemon: usize, time: Duration) {
    let start = site.recorder.now();
    let life = signal(site, daemon, libc::SIGKILL);
    thread::sleep(time);
    restart(site, daemon, life);
    wait_until_ready(site, daemon);
    add_span(site, daemon, start, false);
}

fn shut_down(site: &Site, daemon: usize) {
    let start = site.recorder.now();
    let signalled_at = Instant::now();
    let life = signal(site, daemon, libc::SIGTERM);
    while signalled_at.elapsed() < GRACE {
        thread::sleep(EXIT_POLL_PERIOD);
        let mut daemon = site.daemons[daemon].lock().unwrap();
        if daemon.lives != life || daemon.has_exited() {
            break;
        }
    }
    restart(site, daemon, life);
    add_span(site, daemon, start, true);
    wait_until_ready(site, daemon);
}

/// Sends SIGTERM to a daemon, kills it after `until_kill`, and starts it again after `pause`.
fn stop_then_kill(site: &Site, daemon: usize, until_kill: Duration, pause: Duration) {
    let start = site.recorder.now();
    let life = signal(site, daemon, libc::SIGTERM);
    thread::sleep(until_kill);
    signal_life(site, daemon, life, libc::SIGKILL);
    thread::sleep(pause);
    restart(site, daemon, life);
    wait_until_ready(site, daemon);
    add_span(site, daemon, start, false);
}

/// Stops a daemon with SIGSTOP, sends SIGTERM after `until_stop`, and lets it go on `until_thaw`
/// later. It is killed at the end of the grace period, as the platform does.
fn stop_frozen(site: &Site, daemon: usize, until_stop: Duration, until_thaw: Duration) {
    let start = site.recorder.now();
    let life = signal(site, daemon, libc::SIGSTOP);
    thread::sleep(until_stop);
    signal_life(site, daemon, life, libc::SIGTERM);
    thread::sleep(until_thaw.min(GRACE));
    signal_life(site, daemon, life, libc::SIGCONT);
    thread::sleep(GRACE.saturating_sub(until_thaw));
    restart(site, daemon, life);
    wait_until_ready(site, daemon);
    add_span(site, daemon, start, false);
}

/// Sends SIGTERM to a daemon and starts another process of it after `until_start`.
fn stop_overlapping(site: &Site, daemon: usize, until_start: Duration) {
    let start = site.recorder.now();
    let signalled_at = Instant::now();
    let life = signal(site, daemon, libc::SIGTERM);
    thread::sleep(until_start);
    let mut started = 0;
    while signalled_at.elapsed() < GRACE {
        {
            let mut daemon = site.daemons[daemon].lock().unwrap();
            if daemon.lives != life + started {
                break;
            }
            if started == 0 || daemon.has_exited() {
                daemon.start_another();
                started += 1;
            }
        }
        thread::sleep(START_PAUSE);
    }
    {
        let mut daemon = site.daemons[daemon].lock().unwrap();
        daemon.end_former();
        if daemon.has_exited() {
            daemon.restart();
        }
    }
    wait_until_ready(site, daemon);
    add_span(site, daemon, start, false);
}

/// Lets engines crash, leave and start again, one after the other, for a grace period.
fn disturb_engines(site: &Site, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let until = Instant::now() + GRACE;
    while Instant::now() < until {
        thread::sleep(MAX_ENGINE_PAUSE.mul_f64(rng.random_range(0.0..1.0)));
        let engine = &site.engines[rng.random_range(0..site.engines.len())];
        let start = STARTS[rng.random_range(0..STARTS.len())];
        match rng.random_range(0..3) {
            0 => engine.crash(),
            1 => start_again(engine, start, MAX_ENGINE_PAUSE / 4),
            _ => {
                engine.register_as("draining");
                start_again(engine, start, MAX_ENGINE_PAUSE / 4);
            }
        }
    }
}

/// Starts a daemon again, unless another disturbance has done so since `life`.
fn restart(site: &Site, daemon: usize, life: u64) {
    let mut daemon = site.daemons[daemon].lock().unwrap();
    if daemon.lives == life {
        daemon.restart();
    }
}

/// Changes the lifetime of entry responses and the retry budget, which may be none.
fn reload(site: &Site, daemon: usize, time: Duration) {
    let daemon = site.daemons[daemon].lock().unwrap();
    let slack = match time.as_millis() % 3 {
        0 => 0.0,
        _ => RETRY_SLACK,
    };
    daemon.write_settings(|s| {
        s["bounds"]["entry_ttl_s"] = time.as_secs_f64().into();
        s["bounds"]["retry_slack"] = slack.into();
        s["bounds"]["retry_ratio"] = (slack / RETRY_SLACK).into();
    });
    daemon.signal(libc::SIGHUP);
}

/// Waits for a ready daemon; only a hint, as another disturbance may stop it.
fn wait_until_ready(site: &Site, daemon: usize) {
    let started_at = Instant::now();
    wait("a ready daemon", || {
        let daemon = site.daemons[daemon].lock().unwrap();
        started_at.elapsed() > GRACE || daemon.is_ready()
    });
}

fn add_span(site: &Site, daemon: usize, start: Duration, planned: bool) {
    let end = site.recorder.now();
    site.recorder.add_span(Span {
        daemon,
        start,
        end,
        planned,
    });
}

//! Injection of random faults, and recovery from them.

use std::net::TcpStream;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use mastichinge::clock::Clock;
use mastichinge::fakes::FakeEngine;
use mastichinge::fakes::service::Fault as ServiceFault;
use mastichinge::outside::HostState;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;

use crate::callers::fetch_hosts;
use crate::env::Env;
use crate::history::FaultLog;

/// Interval at which due recoveries and crashed engines are checked.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two faults, ms.
const FAULT_GAP_MS: Range<u64> = 300..2_500;
/// Maximum number of hosts, and of engines, that are affected by faults at once.
const MAX_AFFECTED: usize = 2;
/// Time from the listing of a host as leaving to its drain.
const DRAIN_NOTICE: Duration = Duration::from_secs(4);
/// Time from the exit of a daemon, or the crash of an engine, to its next start.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Factor on load times of a slow weight store.
const STORE_SLOWDOWN: f64 = 4.0;
/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;
/// Maximum time until all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(90);

/// A kind of fault.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Fault {
    HostKilled,
    /// SIGSTOP until SIGCONT.
    HostFrozen,
    /// SIGTERM without notice.
    HostDrained,
    /// The platform lists the host as leaving, and SIGTERM follows.
    HostLeaving,
    EngineCrashed,
    EngineFrozen,
    /// The engine reports that it is leaving.
    EngineLeaving,
    /// The platform lists the engine as leaving.
    EngineListed,
    TableDown,
    TableSlow,
    /// The table loses responses.
    AnswersLost,
    StoreSlow,
    ServiceFails,
}

/// A step that ends a fault, with the index of the host or engine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Recovery {
    Launch(usize),
    /// Checks whether the started daemon is ready.
    Ready(usize),
    Thaw(usize),
    Drain(usize),
    /// Checks whether the drained daemon has exited.
    Exit(usize),
    StartEngine(usize),
    ThawEngine(usize),
    Platform,
    Store,
    Service,
}

/// Injects faults and ends them again.
pub struct FaultInjector<'a> {
    /// Site and daemons.
    pub env: &'a mut Env,
    /// Random source of the faults.
    pub rng: ChaCha8Rng,
    /// Faults injected so far.
    pub fault_log: FaultLog,
    recoveries: Vec<(Instant, Recovery)>,
    affected_hosts: Vec<usize>,
    affected_engines: Vec<usize>,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector without faults.
    pub fn new(env: &'a mut Env, rng: ChaCha8Rng) -> Self {
        FaultInjector {
            env,
            rng,
            fault_log: FaultLog::default(),
            recoveries: Vec::new(),
            affected_hosts: Vec::new(),
            affected_engines: Vec::new(),
        }
    }

    /// Injects faults for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut next = Instant::now() + self.random_delay(FAULT_GAP_MS);
        while Instant::now() < end {
            self.step();
            if Instant::now() >= next {
                next = Instant::now() + self.random_delay(FAULT_GAP_MS);
                self.inject_random();
            }
        }
    }

    /// Waits until every fault has ended and returns whether all did.
    pub fn wait_recovered(&mut self) -> bool {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        while !self.recoveries.is_empty() && Instant::now() < end {
            self.step();
        }
        if !self.recoveries.is_empty() {
            println!("recoveries not finished: {:?}", self.recoveries);
        }
        self.recoveries.is_empty()
    }

    fn step(&mut self) {
        thread::sleep(STEP_INTERVAL);
        self.restart_crashed();
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.recoveries.drain(..).partition(|r| r.0 <= now);
        self.recoveries = later;
        for (_, recovery) in due {
            self.apply_recovery(recovery);
        }
    }

    /// Schedules the restart of engines that a request crashed.
    fn restart_crashed(&mut self) {
        for engine_index in 0..self.env.site.engines.len() {
            if self.affected_engines.contains(&engine_index)
                || !is_down(&self.env.site.engines[engine_index])
            {
                continue;
            }
            self.fault_log.request_crashes += 1;
            self.affected_engines.push(engine_index);
            self.schedule(RESTART_DELAY, Recovery::StartEngine(engine_index));
        }
    }

    fn random_delay(&mut self, ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(ms))
    }

    fn schedule(&mut self, after: Duration, recovery: Recovery) {
        self.recoveries.push((Instant::now() + after, recovery));
    }

    fn is_scheduled(&self, recovery: Recovery) -> bool {
        self.recoveries.iter().any(|r| r.1 == recovery)
    }

    fn inject_random(&mut self) {
        let Some(fault) = Fault::iter().choose(&mut self.rng) else {
            return;
        };
        let host = pick_unaffected(&self.affected_hosts, self.env.hosts.len(), &mut self.rng);
        let engine = pick_unaffected(
            &self.affected_engines,
            self.env.site.engines.len(),
            &mut self.rng,
        );
        let injected = match fault {
            Fault::HostKilled | Fault::HostFrozen | Fault::HostDrained | Fault::HostLeaving => {
                host.map(|host| self.inject_host_fault(fault, host))
            }
            Fault::EngineCrashed
            | Fault::EngineFrozen
            | Fault::EngineLeaving
            | Fault::EngineListed => engine.map(|engine| self.inject_engine_fault(fault, engine)),
            Fault::TableDown | Fault::TableSlow | Fault::AnswersLost => {
                (!self.is_scheduled(Recovery::Platform)).then(|| self.inject_platform_fault(fault))
            }
            Fault::StoreSlow => {
                (!self.is_scheduled(Recovery::Store)).then(|| self.slow_weight_store())
            }
            Fault::ServiceFails => {
                (!self.is_scheduled(Recovery::Service)).then(|| self.inject_service_fault())
            }
        };
        if injected.is_some() {
            self.print_step(&fault.to_string());
            *self
                .fault_log
                .fault_counts
                .entry(fault.to_string())
                .or_default() += 1;
        }
    }

    fn inject_host_fault(&mut self, fault: Fault, host: usize) {
        self.affected_hosts.push(host);
        match fault {
            Fault::HostKilled => {
                self.fault_log.killed_hosts.open(host);
                self.env.kill(host);
                let after = self.random_delay(500..5_000);
                self.schedule(after, Recovery::Launch(host));
            }
            Fault::HostFrozen => {
                self.fault_log.frozen_hosts.open(host);
                self.env.freeze(host);
                let after = self.random_delay(500..6_000);
                self.schedule(after, Recovery::Thaw(host));
            }
            Fault::HostLeaving => {
                self.fault_log.leaving_hosts.open(host);
                self.set_listed_state(&format!("h{}", host + 1), HostState::Leaving);
                self.schedule(DRAIN_NOTICE, Recovery::Drain(host));
            }
            _ => {
                self.fault_log.leaving_hosts.open(host);
                self.apply_recovery(Recovery::Drain(host));
            }
        }
    }

    fn inject_engine_fault(&mut self, fault: Fault, engine_index: usize) {
        self.affected_engines.push(engine_index);
        let engine = &self.env.site.engines[engine_index];
        match fault {
            Fault::EngineCrashed => engine.crash(),
            Fault::EngineFrozen => engine.set_frozen(true),
            Fault::EngineLeaving => {
                engine.set_leaving(true);
                self.fault_log.leaving_engines.open(engine_index);
            }
            _ => {
                self.set_listed_state(&format!("e{}", engine_index + 1), HostState::Leaving);
                self.fault_log.leaving_engines.open(engine_index);
            }
        }
        let after = self.random_delay(1_000..8_000);
        match fault {
            Fault::EngineFrozen => self.schedule(after, Recovery::ThawEngine(engine_index)),
            _ => self.schedule(after, Recovery::StartEngine(engine_index)),
        }
    }

    fn inject_platform_fault(&mut self, fault: Fault) {
        let delay = self.random_delay(100..600);
        let lost = self.rng.random_range(1..5);
        if !matches!(fault, Fault::AnswersLost) {
            self.fault_log.platform_outages.open(0);
        }
        self.env.site.platform.state.change(|s| match fault {
            Fault::TableDown => s.faults.down = true,
            Fault::TableSlow => s.faults.delay = delay,
            _ => s.faults.lost_responses = lost,
        });
        let after = self.random_delay(1_000..8_000);
        self.schedule(after, Recovery::Platform);
    }

    fn slow_weight_store(&mut self) {
        let weights = &self.env.site.weights.state;
        weights.change(|s| s.settings.slowdown = STORE_SLOWDOWN);
        let after = self.random_delay(2_000..8_000);
        self.schedule(after, Recovery::Store);
    }

    fn inject_service_fault(&mut self) {
        let choice = self.rng.random_range(0..4);
        let delay = self.random_delay(200..3_000);
        let service = &mut self.env.site.service;
        match choice {
            0 => drop(service.set_refusing(true)),
            1 => service
                .state
                .change(|s| s.fault = ServiceFault::CloseBeforeRun),
            2 => service
                .state
                .change(|s| s.fault = ServiceFault::CloseAfterRun),
            _ => service.state.change(|s| s.delay = delay),
        }
        let after = self.random_delay(500..3_000);
        self.schedule(after, Recovery::Service);
    }

    fn set_listed_state(&self, name: &str, state: HostState) {
        self.env.site.platform.set_host_state(name, Some(state));
    }

    /// Prints a step with the time of day in the format of the logs.
    fn print_step(&self, step: &str) {
        let ms = Clock::unix_ms() % DAY_MS;
        let (s, ms) = (ms / 1_000, ms % 1_000);
        let (h, m, s) = (s / 3_600, s / 60 % 60, s % 60);
        let (hosts, engines) = (&self.affected_hosts, &self.affected_engines);
        println!("{h:02}:{m:02}:{s:02}.{ms:03} {step} hosts {hosts:?} engines {engines:?}");
    }

    fn apply_recovery(&mut self, recovery: Recovery) {
        if !matches!(recovery, Recovery::Ready(_) | Recovery::Exit(_)) {
            self.print_step(&format!("{recovery:?}"));
        }
        match recovery {
            Recovery::Launch(host) => {
                // From here on the host may be listed again.
                self.fault_log.leaving_hosts.close(host);
                self.set_listed_state(&format!("h{}", host + 1), HostState::Live);
                self.env.start_daemon(host);
                self.schedule(STEP_INTERVAL, Recovery::Ready(host));
            }
            Recovery::Ready(host) => self.check_ready(host),
            Recovery::Thaw(host) => {
                self.env.resume(host);
                self.fault_log.frozen_hosts.close(host);
                self.affected_hosts.retain(|h| *h != host);
            }
            Recovery::Drain(host) => {
                self.env.terminate(host);
                self.schedule(STEP_INTERVAL, Recovery::Exit(host));
            }
            Recovery::Exit(host) => self.check_exit(host),
            Recovery::StartEngine(engine_index) => self.restart_engine(engine_index),
            Recovery::ThawEngine(engine_index) => {
                self.env.site.engines[engine_index].set_frozen(false);
                // If a request crashed it meanwhile, `restart_crashed` restarts it.
                self.affected_engines.retain(|e| *e != engine_index);
            }
            Recovery::Platform => {
                let state = &self.env.site.platform.state;
                state.change(|s| s.faults = Default::default());
                self.fault_log.platform_outages.close(0);
            }
            Recovery::Store => {
                let weights = &self.env.site.weights.state;
                weights.change(|s| s.settings.slowdown = 1.0);
            }
            Recovery::Service => {
                let service = &mut self.env.site.service;
                service.state.change(|s| {
                    s.fault = ServiceFault::None;
                    s.delay = Duration::ZERO;
                });
                service.set_refusing(false).expect("the port is free");
            }
        }
    }

    fn check_ready(&mut self, host: usize) {
        if fetch_hosts(&self.env.caller_url(host, "/v1/hosts")).is_empty() {
            return self.schedule(STEP_INTERVAL, Recovery::Ready(host));
        }
        self.fault_log.killed_hosts.close(host);
        self.affected_hosts.retain(|h| *h != host);
    }

    fn check_exit(&mut self, host: usize) {
        let Some(status) = self.env.try_exit(host) else {
            return self.schedule(STEP_INTERVAL, Recovery::Exit(host));
        };
        if !status.success() {
            self.fault_log
                .failed_drains
                .push(format!("h{}: {status}", host + 1));
        }
        self.schedule(RESTART_DELAY, Recovery::Launch(host));
    }

    fn restart_engine(&mut self, engine_index: usize) {
        let name = format!("e{}", engine_index + 1);
        if self
            .fault_log
            .leaving_engines
            .get(engine_index)
            .last()
            .is_some_and(|w| w.until.is_none())
        {
            self.fault_log.leaving_engines.close(engine_index);
            self.set_listed_state(&name, HostState::Live);
        }
        let engine = &self.env.site.engines[engine_index];
        engine.set_leaving(false);
        engine.restart().expect("the engine's port is free");
        self.affected_engines.retain(|e| *e != engine_index);
    }
}

/// Returns a random index that no fault affects, or none at the limit.
fn pick_unaffected(affected: &[usize], count: usize, rng: &mut ChaCha8Rng) -> Option<usize> {
    if affected.len() >= MAX_AFFECTED {
        return None;
    }
    (0..count).filter(|n| !affected.contains(n)).choose(rng)
}

fn is_down(engine: &FakeEngine) -> bool {
    TcpStream::connect(engine.addr()).is_err()
}

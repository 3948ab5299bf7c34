//! Faults drawn from the seed, and their healing.

use std::net::TcpStream;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use mastichinge::clock::Clock;
use mastichinge::fakes::FakeEngine;
use mastichinge::fakes::service::Fault as Dies;
use mastichinge::outside::HostState;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;

use crate::callers::names;
use crate::env::Env;
use crate::record::Plan;

/// Pause of the plan between two looks.
const STEP: Duration = Duration::from_millis(50);
/// Time between two faults, ms.
const GAP_MS: Range<u64> = 300..2_500;
/// Most hosts, and most engines, that a fault has hold of at once.
const MOST: usize = 2;
/// Time from the listing of a host as leaving to its drain.
const NOTICE: Duration = Duration::from_secs(4);
/// Time from the exit of a daemon, or the crash of an engine, to its next start.
const REPLACE: Duration = Duration::from_secs(1);
/// Factor on load times of a slow weight store.
const SLOWNESS: f64 = 4.0;
/// Milliseconds of a day.
const DAY_MS: u64 = 86_400_000;
/// Longest time for everything to heal.
const HEAL: Duration = Duration::from_secs(90);

/// What goes wrong.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Fault {
    HostKilled,
    HostFrozen,
    HostDrained,
    HostLeaving,
    EngineCrashed,
    EngineFrozen,
    EngineLeaving,
    EngineListed,
    TableDown,
    TableSlow,
    AnswersLost,
    StoreSlow,
    ServiceFails,
}

/// What ends a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Heal {
    Launch(usize),
    Ready(usize),
    Thaw(usize),
    Drain(usize),
    Exit(usize),
    StartEngine(usize),
    ThawEngine(usize),
    Platform,
    Store,
    Service,
}

/// The plan of faults.
pub struct Faults<'a> {
    /// Site and daemons.
    pub env: &'a mut Env,
    /// Source of the faults.
    pub rng: ChaCha8Rng,
    /// What was done so far.
    pub plan: Plan,
    heals: Vec<(Instant, Heal)>,
    hosts: Vec<usize>,
    engines: Vec<usize>,
}

impl<'a> Faults<'a> {
    /// A plan without a fault yet.
    pub fn new(env: &'a mut Env, rng: ChaCha8Rng) -> Self {
        Faults {
            env,
            rng,
            plan: Plan::default(),
            heals: Vec::new(),
            hosts: Vec::new(),
            engines: Vec::new(),
        }
    }

    /// Brings faults about for a while.
    pub fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut next = Instant::now() + self.pause(GAP_MS);
        while Instant::now() < end {
            self.step();
            if Instant::now() >= next {
                next = Instant::now() + self.pause(GAP_MS);
                self.draw();
            }
        }
    }

    /// Waits until every fault has healed; answers whether all did.
    pub fn heal(&mut self) -> bool {
        let end = Instant::now() + HEAL;
        while !self.heals.is_empty() && Instant::now() < end {
            self.step();
        }
        if !self.heals.is_empty() {
            println!("not healed: {:?}", self.heals);
        }
        self.heals.is_empty()
    }

    fn step(&mut self) {
        thread::sleep(STEP);
        self.replace_crashed();
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.heals.drain(..).partition(|h| h.0 <= now);
        self.heals = later;
        for (_, heal) in due {
            self.end(heal);
        }
    }

    /// Starts engines again that a request crashed.
    fn replace_crashed(&mut self) {
        for number in 0..self.env.site.engines.len() {
            if self.engines.contains(&number) || !is_down(&self.env.site.engines[number]) {
                continue;
            }
            self.plan.crashes += 1;
            self.engines.push(number);
            self.later(REPLACE, Heal::StartEngine(number));
        }
    }

    fn pause(&mut self, ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(ms))
    }

    fn later(&mut self, after: Duration, heal: Heal) {
        self.heals.push((Instant::now() + after, heal));
    }

    fn pends(&self, heal: Heal) -> bool {
        self.heals.iter().any(|h| h.1 == heal)
    }

    fn draw(&mut self) {
        let Some(fault) = Fault::iter().choose(&mut self.rng) else {
            return;
        };
        let host = free(&self.hosts, self.env.hosts.len(), &mut self.rng);
        let engine = free(&self.engines, self.env.site.engines.len(), &mut self.rng);
        let done = match fault {
            Fault::HostKilled | Fault::HostFrozen | Fault::HostDrained | Fault::HostLeaving => {
                host.map(|host| self.hit_host(fault, host))
            }
            Fault::EngineCrashed
            | Fault::EngineFrozen
            | Fault::EngineLeaving
            | Fault::EngineListed => engine.map(|engine| self.hit_engine(fault, engine)),
            Fault::TableDown | Fault::TableSlow | Fault::AnswersLost => {
                (!self.pends(Heal::Platform)).then(|| self.hit_platform(fault))
            }
            Fault::StoreSlow => (!self.pends(Heal::Store)).then(|| self.slow_store()),
            Fault::ServiceFails => (!self.pends(Heal::Service)).then(|| self.hit_service()),
        };
        if done.is_some() {
            self.print(&fault.to_string());
            *self.plan.faults.entry(fault.to_string()).or_default() += 1;
        }
    }

    fn hit_host(&mut self, fault: Fault, host: usize) {
        self.hosts.push(host);
        match fault {
            Fault::HostKilled => {
                self.plan.killed.open(host);
                self.env.kill(host);
                let after = self.pause(500..5_000);
                self.later(after, Heal::Launch(host));
            }
            Fault::HostFrozen => {
                self.plan.frozen.open(host);
                self.env.freeze(host);
                let after = self.pause(500..6_000);
                self.later(after, Heal::Thaw(host));
            }
            Fault::HostLeaving => {
                self.plan.leaving.open(host);
                self.list(&format!("h{}", host + 1), HostState::Leaving);
                self.later(NOTICE, Heal::Drain(host));
            }
            _ => {
                self.plan.leaving.open(host);
                self.end(Heal::Drain(host));
            }
        }
    }

    fn hit_engine(&mut self, fault: Fault, number: usize) {
        self.engines.push(number);
        let engine = &self.env.site.engines[number];
        match fault {
            Fault::EngineCrashed => engine.crash(),
            Fault::EngineFrozen => engine.set_frozen(true),
            Fault::EngineLeaving => {
                engine.set_leaving(true);
                self.plan.left.open(number);
            }
            _ => {
                self.list(&format!("e{}", number + 1), HostState::Leaving);
                self.plan.left.open(number);
            }
        }
        let after = self.pause(1_000..8_000);
        match fault {
            Fault::EngineFrozen => self.later(after, Heal::ThawEngine(number)),
            _ => self.later(after, Heal::StartEngine(number)),
        }
    }

    fn hit_platform(&mut self, fault: Fault) {
        let slow = self.pause(100..600);
        let lose = self.rng.random_range(1..5);
        if !matches!(fault, Fault::AnswersLost) {
            self.plan.outages.open(0);
        }
        self.env.site.platform.state.change(|s| match fault {
            Fault::TableDown => s.faults.down = true,
            Fault::TableSlow => s.faults.delay = slow,
            _ => s.faults.lost_responses = lose,
        });
        let after = self.pause(1_000..8_000);
        self.later(after, Heal::Platform);
    }

    fn slow_store(&mut self) {
        let weights = &self.env.site.weights.state;
        weights.change(|s| s.settings.slowdown = SLOWNESS);
        let after = self.pause(2_000..8_000);
        self.later(after, Heal::Store);
    }

    fn hit_service(&mut self) {
        let which = self.rng.random_range(0..4);
        let slow = self.pause(200..3_000);
        let service = &mut self.env.site.service;
        match which {
            0 => drop(service.set_refusing(true)),
            1 => service.state.change(|s| s.fault = Dies::CloseBeforeRun),
            2 => service.state.change(|s| s.fault = Dies::CloseAfterRun),
            _ => service.state.change(|s| s.delay = slow),
        }
        let after = self.pause(500..3_000);
        self.later(after, Heal::Service);
    }

    fn list(&self, name: &str, state: HostState) {
        self.env.site.platform.set_host_state(name, Some(state));
    }

    /// Prints a step of the plan with the time of day, as the logs have it.
    fn print(&self, what: &str) {
        let ms = Clock::unix_ms() % DAY_MS;
        let (s, ms) = (ms / 1_000, ms % 1_000);
        let (h, m, s) = (s / 3_600, s / 60 % 60, s % 60);
        let (hosts, engines) = (&self.hosts, &self.engines);
        println!("{h:02}:{m:02}:{s:02}.{ms:03} {what} hosts {hosts:?} engines {engines:?}");
    }

    fn end(&mut self, heal: Heal) {
        if !matches!(heal, Heal::Ready(_) | Heal::Exit(_)) {
            self.print(&format!("{heal:?}"));
        }
        match heal {
            Heal::Launch(host) => {
                // From here on the host may be named again.
                self.plan.leaving.close(host);
                self.list(&format!("h{}", host + 1), HostState::Live);
                self.env.start_daemon(host);
                self.later(STEP, Heal::Ready(host));
            }
            Heal::Ready(host) => self.ready(host),
            Heal::Thaw(host) => {
                self.env.resume(host);
                self.plan.frozen.close(host);
                self.hosts.retain(|h| *h != host);
            }
            Heal::Drain(host) => {
                self.env.terminate(host);
                self.later(STEP, Heal::Exit(host));
            }
            Heal::Exit(host) => self.exited(host),
            Heal::StartEngine(number) => self.start_engine(number),
            Heal::ThawEngine(number) => {
                self.env.site.engines[number].set_frozen(false);
                // A request may have crashed it meanwhile; then it is replaced.
                self.engines.retain(|e| *e != number);
            }
            Heal::Platform => {
                let state = &self.env.site.platform.state;
                state.change(|s| s.faults = Default::default());
                self.plan.outages.close(0);
            }
            Heal::Store => {
                let weights = &self.env.site.weights.state;
                weights.change(|s| s.settings.slowdown = 1.0);
            }
            Heal::Service => {
                let service = &mut self.env.site.service;
                service.state.change(|s| {
                    s.fault = Dies::None;
                    s.delay = Duration::ZERO;
                });
                service.set_refusing(false).expect("the port is free");
            }
        }
    }

    fn ready(&mut self, host: usize) {
        if names(&self.env.caller_url(host, "/v1/hosts")).is_empty() {
            return self.later(STEP, Heal::Ready(host));
        }
        self.plan.killed.close(host);
        self.hosts.retain(|h| *h != host);
    }

    fn exited(&mut self, host: usize) {
        let Some(status) = self.env.try_exit(host) else {
            return self.later(STEP, Heal::Exit(host));
        };
        if !status.success() {
            self.plan.exits.push(format!("h{}: {status}", host + 1));
        }
        self.later(REPLACE, Heal::Launch(host));
    }

    fn start_engine(&mut self, number: usize) {
        let name = format!("e{}", number + 1);
        if self
            .plan
            .left
            .of(number)
            .last()
            .is_some_and(|w| w.until.is_none())
        {
            self.plan.left.close(number);
            self.list(&name, HostState::Live);
        }
        let engine = &self.env.site.engines[number];
        engine.set_leaving(false);
        engine.restart().expect("the engine's port is free");
        self.engines.retain(|e| *e != number);
    }
}

/// One that no fault has hold of, while few are held.
fn free(held: &[usize], all: usize, rng: &mut ChaCha8Rng) -> Option<usize> {
    if held.len() >= MOST {
        return None;
    }
    (0..all).filter(|n| !held.contains(n)).choose(rng)
}

fn is_down(engine: &FakeEngine) -> bool {
    TcpStream::connect(engine.addr()).is_err()
}

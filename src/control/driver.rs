//! The loop of the control thread and the threads that carry out its acts.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use crate::clock::Clock;
use crate::config::{Config, Name};
use crate::metrics::Metrics;
use crate::outside::{Call, Engine, EngineError, Platform};
use crate::peer::Peers;
use crate::peer::wire::Body;

use crate::protocol::ownership::{Owner, OwnerRecord};

use super::workers::Workers;
use super::{Act, Control, Event, View, jobs};

/// Longest pause between two steps.
const TICK: Duration = Duration::from_millis(20);
/// Most events taken in before a step.
const BATCH: usize = 256;
/// Threads that poll engines.
const POLLERS: usize = 8;
/// Polls that may wait for a thread; further ones are left out.
const POLLS: usize = 512;
/// Time limit for connecting to an engine.
const CONNECT: Duration = Duration::from_millis(500);
/// Longest silence of an engine that is polled.
const POLL_SILENCE: Duration = Duration::from_secs(1);
/// Longest silence of an engine that carries out an order.
const ORDER_SILENCE: Duration = Duration::from_secs(900);

/// A message for another part of the daemon.
pub type Routed = (Name, Body);

/// What the control thread works with.
pub struct Parts<P> {
    /// Outside systems.
    pub platform: Arc<P>,
    /// Links to other daemons.
    pub peers: Arc<Peers>,
    /// The view that traffic threads read.
    pub view: Arc<ArcSwap<View>>,
    /// Takes messages about the configuration.
    pub follow: Sender<Routed>,
    /// Takes messages about at-most-once calls.
    pub calls: Sender<Routed>,
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// This run of the daemon.
    pub me: Owner,
    /// Time.
    pub clock: Clock,
}

/// Carries out the acts of the control thread.
pub struct Driver<P> {
    parts: Arc<Parts<P>>,
    workers: Workers,
    polls: Sender<Poll>,
}

/// A poll of one engine.
struct Poll {
    pool: Name,
    engine: Name,
    call: Call,
}

impl<P: Platform> Driver<P> {
    /// Starts the control thread; it ends when `control` channels close.
    ///
    /// # Errors
    ///
    /// The system refuses a thread.
    pub fn start(
        parts: Parts<P>,
        control: Control,
        events: Sender<Event>,
        inbox: Receiver<Event>,
        stop: Receiver<()>,
    ) -> std::io::Result<JoinHandle<()>> {
        let parts = Arc::new(parts);
        let (polls, queue) = bounded(POLLS);
        for _ in 0..POLLERS {
            let (parts, queue, events) = (parts.clone(), queue.clone(), events.clone());
            thread::Builder::new()
                .name("poll".into())
                .spawn(move || poll_engines(&*parts.platform, parts.clock, &queue, &events))?;
        }
        let driver = Driver {
            parts,
            workers: Workers::new(events),
            polls,
        };
        thread::Builder::new()
            .name("control".into())
            .spawn(move || driver.run(control, &inbox, &stop))
    }

    fn run(mut self, mut control: Control, inbox: &Receiver<Event>, stop: &Receiver<()>) {
        let clock = self.parts.clock;
        loop {
            match inbox.recv_timeout(TICK) {
                Ok(event) => control.take(event, clock.now()),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if stop.try_recv() != Err(crossbeam::channel::TryRecvError::Empty) {
                return;
            }
            let begun = clock.now();
            let mut taken = 1;
            while taken < BATCH {
                let Ok(event) = inbox.try_recv() else {
                    break;
                };
                control.take(event, clock.now());
                taken += 1;
            }
            for act in control.step(clock.now()) {
                self.carry_out(act, control.config());
            }
            self.workers.start();
            let busy = clock.now().saturating_sub(begun);
            self.parts.metrics.control(busy);
        }
    }

    fn carry_out(&mut self, act: Act, config: &Config) {
        match act {
            Act::Send { to, body } => {
                if let Err(e) = self.parts.peers.send(&to, body) {
                    log::debug!("message to {to}: {e}");
                }
            }
            Act::Broadcast(body) => self.parts.peers.broadcast(body),
            Act::Poll { pool, engine } => self.poll(pool, engine, config),
            Act::Order {
                pool,
                epoch,
                engine,
                grant,
                order,
            } => {
                let call = call(config, &engine, ORDER_SILENCE);
                let parts = self.parts.clone();
                self.workers.add(move || {
                    let grant = grant.send();
                    let result = match call {
                        Some(call) => parts.platform.engine().order(&call, &order),
                        None => Err(EngineError::Unreached("not configured".into())),
                    };
                    Event::Ordered {
                        pool,
                        epoch,
                        engine,
                        grant,
                        result,
                    }
                });
            }
            Act::Claim { pool, alive, take } => {
                let parts = self.parts.clone();
                self.workers.add(move || {
                    let table = parts.platform.table();
                    Event::Table(jobs::claim(table, &pool, &parts.me, &alive, take))
                });
            }
            Act::WritePins {
                pool,
                epoch,
                item,
                writes,
            } => {
                let parts = self.parts.clone();
                self.workers.add(move || {
                    let table = parts.platform.table();
                    Event::Table(jobs::write_pins(table, &pool, epoch, item, writes))
                });
            }
            Act::Release {
                pool,
                epoch,
                item,
                writes,
            } => {
                let parts = self.parts.clone();
                self.workers.add(move || {
                    let record = OwnerRecord {
                        owner: Some(parts.me.clone()),
                        epoch,
                        clean: false,
                    };
                    let table = parts.platform.table();
                    Event::Table(jobs::release(table, &pool, &record, item, &writes))
                });
            }
            Act::Reply { reply, answer } => {
                // The request may have given up; a slot is then dropped.
                let _ = reply.try_send(answer);
            }
            Act::Publish(view) => {
                self.parts.metrics.config(view.version);
                self.parts.view.store(Arc::new(view));
            }
            Act::Follow { from, body } => {
                let _ = self.parts.follow.try_send((from, body));
            }
            Act::Calls { from, body } => {
                let _ = self.parts.calls.try_send((from, body));
            }
            Act::Loaded { model, took } => {
                log::info!("{model} was loaded in {} ms", took.as_millis());
                self.parts.metrics.loaded(took, true);
            }
            Act::Unloaded => self.parts.metrics.unloaded(),
            Act::Idle { accelerators, time } => self.parts.metrics.idle(accelerators, time),
            Act::Queue(length) => self.parts.metrics.queue(length),
        }
    }

    fn poll(&self, pool: Name, engine: Name, config: &Config) {
        let Some(call) = call(config, &engine, POLL_SILENCE) else {
            return;
        };
        // A full queue leaves the poll out: the next one comes soon.
        let _ = self.polls.try_send(Poll { pool, engine, call });
    }
}

/// Polls engines until the queue closes.
fn poll_engines<P: Platform>(
    platform: &P,
    clock: Clock,
    queue: &Receiver<Poll>,
    events: &Sender<Event>,
) {
    for poll in queue {
        let asked = clock.now();
        let result = platform.engine().report(&poll.call);
        let event = Event::Polled {
            pool: poll.pool,
            engine: poll.engine,
            result,
            asked,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// How to reach an engine.
fn call(config: &Config, engine: &Name, silence: Duration) -> Option<Call> {
    let told = config.engines.get(engine)?;
    Some(Call {
        addr: told.addr.clone(),
        key: told.key.clone(),
        request: "control".into(),
        connect: CONNECT,
        silence,
    })
}

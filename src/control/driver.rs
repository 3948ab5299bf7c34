//! The loop of the control thread and the threads that carry out its effects.

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
use super::{Control, ControlView, Effect, Event, table_jobs};

/// Longest pause between two steps.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Most events taken in before a step.
const MAX_EVENT_BATCH: usize = 256;
/// Threads that poll engines.
const POLL_THREADS: usize = 8;
/// Polls that may wait for a thread; further ones are left out.
const MAX_QUEUED_POLLS: usize = 512;
/// Time limit for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest silence of an engine that is polled.
const POLL_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence of an engine that carries out an order.
const ORDER_READ_TIMEOUT: Duration = Duration::from_secs(900);

/// A message for another part of the daemon.
pub type PeerMessage = (Name, Body);

/// What the control thread works with.
pub struct DriverContext<P> {
    /// Outside systems.
    pub platform: Arc<P>,
    /// Links to other daemons.
    pub peers: Arc<Peers>,
    /// The view that traffic threads read.
    pub view: Arc<ArcSwap<ControlView>>,
    /// Takes messages about the configuration.
    pub config_messages: Sender<PeerMessage>,
    /// Takes messages about at-most-once calls.
    pub call_messages: Sender<PeerMessage>,
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// This run of the daemon.
    pub owner: Owner,
    /// Time.
    pub clock: Clock,
}

/// Carries out the effects of the control thread.
pub struct Driver<P> {
    context: Arc<DriverContext<P>>,
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
        context: DriverContext<P>,
        control: Control,
        events: Sender<Event>,
        inbox: Receiver<Event>,
        stop: Receiver<()>,
    ) -> std::io::Result<JoinHandle<()>> {
        let context = Arc::new(context);
        let (polls, queue) = bounded(MAX_QUEUED_POLLS);
        for _ in 0..POLL_THREADS {
            let (context, queue, events) = (context.clone(), queue.clone(), events.clone());
            thread::Builder::new()
                .name("poll".into())
                .spawn(move || poll_engines(&*context.platform, context.clock, &queue, &events))?;
        }
        let driver = Driver {
            context,
            workers: Workers::new(events),
            polls,
        };
        thread::Builder::new()
            .name("control".into())
            .spawn(move || driver.run(control, &inbox, &stop))
    }

    fn run(mut self, mut control: Control, inbox: &Receiver<Event>, stop: &Receiver<()>) {
        let clock = self.context.clock;
        loop {
            match inbox.recv_timeout(MAX_STEP_INTERVAL) {
                Ok(event) => control.handle_event(event, clock.now()),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if stop.try_recv() != Err(crossbeam::channel::TryRecvError::Empty) {
                return;
            }
            let started = clock.now();
            let mut event_count = 1;
            while event_count < MAX_EVENT_BATCH {
                let Ok(event) = inbox.try_recv() else {
                    break;
                };
                control.handle_event(event, clock.now());
                event_count += 1;
            }
            for effect in control.step(clock.now()) {
                self.apply(effect, control.config());
            }
            self.workers.start();
            let busy = clock.now().saturating_sub(started);
            self.context.metrics.control(busy);
        }
    }

    fn apply(&mut self, effect: Effect, config: &Config) {
        match effect {
            Effect::Send { to, body } => {
                if let Err(e) = self.context.peers.send(&to, body) {
                    log::debug!("message to {to}: {e}");
                }
            }
            Effect::Broadcast(body) => self.context.peers.broadcast(body),
            Effect::PollEngine { pool, engine } => self.queue_poll(pool, engine, config),
            Effect::SendOrder {
                pool,
                epoch,
                engine,
                grant,
                order,
            } => {
                let call = engine_call(config, &engine, ORDER_READ_TIMEOUT);
                let context = self.context.clone();
                self.workers.add(move || {
                    let grant = grant.send();
                    let result = match call {
                        Some(call) => context.platform.engine().order(&call, &order),
                        None => Err(EngineError::Unreached("not configured".into())),
                    };
                    Event::OrderFinished {
                        pool,
                        epoch,
                        engine,
                        grant,
                        result,
                    }
                });
            }
            Effect::ClaimPool {
                pool,
                alive,
                may_supersede,
            } => {
                let context = self.context.clone();
                self.workers.add(move || {
                    let table = context.platform.table();
                    Event::TableJobFinished(table_jobs::claim(
                        table,
                        &pool,
                        &context.owner,
                        &alive,
                        may_supersede,
                    ))
                });
            }
            Effect::WritePins {
                pool,
                epoch,
                item_version,
                writes,
            } => {
                let context = self.context.clone();
                self.workers.add(move || {
                    let table = context.platform.table();
                    Event::TableJobFinished(table_jobs::write_pins(
                        table,
                        &pool,
                        epoch,
                        item_version,
                        writes,
                    ))
                });
            }
            Effect::ReleasePool {
                pool,
                epoch,
                item_version,
                writes,
            } => {
                let context = self.context.clone();
                self.workers.add(move || {
                    let record = OwnerRecord {
                        owner: Some(context.owner.clone()),
                        epoch,
                        clean: false,
                    };
                    let table = context.platform.table();
                    Event::TableJobFinished(table_jobs::release(
                        table,
                        &pool,
                        &record,
                        item_version,
                        &writes,
                    ))
                });
            }
            Effect::Reply { reply, answer } => {
                // The request may have given up; a slot is then dropped.
                let _ = reply.try_send(answer);
            }
            Effect::Publish(view) => {
                self.context.metrics.config(view.version);
                self.context.view.store(Arc::new(view));
            }
            Effect::ForwardConfig { from, body } => {
                let _ = self.context.config_messages.try_send((from, body));
            }
            Effect::ForwardCall { from, body } => {
                let _ = self.context.call_messages.try_send((from, body));
            }
            Effect::RecordLoad { model, took } => {
                log::info!("{model} was loaded in {} ms", took.as_millis());
                self.context.metrics.loaded(took, true);
            }
            Effect::RecordUnload => self.context.metrics.unloaded(),
            Effect::RecordIdle { accelerators, time } => {
                self.context.metrics.idle(accelerators, time)
            }
            Effect::RecordQueue(length) => self.context.metrics.queue(length),
        }
    }

    fn queue_poll(&self, pool: Name, engine: Name, config: &Config) {
        let Some(call) = engine_call(config, &engine, POLL_READ_TIMEOUT) else {
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
        let asked_at = clock.now();
        let result = platform.engine().report(&poll.call);
        let event = Event::PollFinished {
            pool: poll.pool,
            engine: poll.engine,
            result,
            asked_at,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// How to reach an engine.
fn engine_call(config: &Config, engine: &Name, silence: Duration) -> Option<Call> {
    let settings = config.engines.get(engine)?;
    Some(Call {
        addr: settings.addr.clone(),
        key: settings.key.clone(),
        request: "control".into(),
        connect: CONNECT_TIMEOUT,
        silence,
    })
}

//! The loop of the control thread and the threads that apply its effects.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use crate::clock::Clock;
use crate::config::{Config, Name};
use crate::metrics::Metrics;
use crate::outside::{CallOptions, Engine, EngineError, Platform};
use crate::peer::Peers;
use crate::peer::wire::Body;

use crate::protocol::ownership::{Owner, OwnerRecord};

use super::workers::Workers;
use super::{Control, ControlView, Effect, Event, table_jobs};

/// Maximum time between two steps.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of events handled before a step.
const MAX_EVENT_BATCH: usize = 256;
/// Number of threads that poll engines.
const POLL_THREADS: usize = 8;
/// Maximum number of polls that wait for a thread; further polls are skipped.
const MAX_QUEUED_POLLS: usize = 512;
/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time without data from an engine during a poll.
const POLL_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time without data from an engine that is carrying out an order.
const ORDER_READ_TIMEOUT: Duration = Duration::from_secs(900);

/// A peer message and its sender, forwarded to another part of the daemon.
pub type PeerMessage = (Name, Body);

/// Resources that the driver uses to apply effects.
pub struct DriverContext<P> {
    /// Outside systems.
    pub platform: Arc<P>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// View published to traffic threads.
    pub view: Arc<ArcSwap<ControlView>>,
    /// Receives peer messages about the configuration.
    pub config_messages: Sender<PeerMessage>,
    /// Receives peer messages about at-most-once calls.
    pub call_messages: Sender<PeerMessage>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Host and incarnation of this daemon, as written to owner records.
    pub owner: Owner,
    /// Clock.
    pub clock: Clock,
}

/// Applies the effects of the control thread.
pub struct Driver<P> {
    context: Arc<DriverContext<P>>,
    workers: Workers,
    polls: Sender<Poll>,
}

/// A queued poll of one engine.
struct Poll {
    pool: Name,
    engine: Name,
    call: CallOptions,
}

impl<P: Platform> Driver<P> {
    /// Starts the control thread and the poll threads. The control thread ends when
    /// `inbox` or `stop` disconnects.
    ///
    /// # Errors
    ///
    /// The operating system cannot create a thread.
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
            self.workers.start_jobs();
            let busy = clock.now().saturating_sub(started);
            self.context.metrics.record_control_event(busy);
        }
    }

    fn apply(&mut self, effect: Effect, config: &Config) {
        match effect {
            Effect::Send { to, body } => {
                if let Err(e) = self.context.peers.send(&to, body) {
                    log::debug!("cannot send message to {to}: {e}");
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
                        None => Err(EngineError::Unreachable("not configured".into())),
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
            Effect::Reply { sender, result } => {
                // The request may have been cancelled; its slot is then dropped.
                let _ = sender.try_send(result);
            }
            Effect::Publish(view) => {
                self.context.metrics.set_config_version(view.version);
                self.context.view.store(Arc::new(view));
            }
            Effect::ForwardConfig { from, body } => {
                let _ = self.context.config_messages.try_send((from, body));
            }
            Effect::ForwardCall { from, body } => {
                let _ = self.context.call_messages.try_send((from, body));
            }
            Effect::RecordLoad { model, took } => {
                log::info!("loaded {model} in {} ms", took.as_millis());
                self.context.metrics.record_load(took, true);
            }
            Effect::RecordUnload => self.context.metrics.record_unload(),
            Effect::RecordIdle { accelerators, time } => {
                self.context.metrics.record_idle(accelerators, time)
            }
            Effect::RecordQueue(length) => self.context.metrics.set_queue(length),
        }
    }

    fn queue_poll(&self, pool: Name, engine: Name, config: &Config) {
        let Some(call) = engine_call(config, &engine, POLL_READ_TIMEOUT) else {
            return;
        };
        // A full queue skips this poll; the next one follows shortly.
        let _ = self.polls.try_send(Poll { pool, engine, call });
    }
}

/// Runs queued polls until the queue closes.
fn poll_engines<P: Platform>(
    platform: &P,
    clock: Clock,
    queue: &Receiver<Poll>,
    events: &Sender<Event>,
) {
    for poll in queue {
        let requested_at = clock.now();
        let result = platform.engine().report(&poll.call);
        let event = Event::PollFinished {
            pool: poll.pool,
            engine: poll.engine,
            result,
            requested_at,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Returns the connection parameters of an engine, if it is configured.
fn engine_call(config: &Config, engine: &Name, read_timeout: Duration) -> Option<CallOptions> {
    let settings = config.engines.get(engine)?;
    Some(CallOptions {
        addr: settings.addr.clone(),
        key: settings.key.clone(),
        request_id: "control".into(),
        connect_timeout: CONNECT_TIMEOUT,
        read_timeout,
    })
}

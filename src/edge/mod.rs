//! The daemon of an edge host on the users' platform: routes callers' requests
//! to engines, and takes its turn in giving orders to them.
//!
//! Everything runs as tasks on one thread. Decisions are pure code in
//! `routing`, `placement`, `leadership`, `fleet`, `budget` and `suspects`.

pub mod admission;
pub mod body_memory;
pub mod client;
pub mod clock;
pub mod demand;
pub mod desired;
pub mod events;
pub mod fleet;
pub mod forward;
pub mod gossip;
pub mod in_flight;
pub mod leader;
pub mod leadership;
pub mod listen;
pub mod members;
pub mod orders;
pub mod peers;
pub mod placement;
pub mod prefix_cache;
pub mod request_headers;
pub mod retry_budget;
pub mod routing;
pub mod settings;
pub mod shutdown;
pub mod state;
pub mod store;
pub mod suspects;
pub mod watch;

use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::clock::Clock;
use crate::metrics::{Metrics, MetricsError};
use client::Client;
use listen::{ListenerKind, ListenerStop};
use settings::Settings;
use shutdown::Shutdown;
use state::{Edge, Phase};
use store::Store;

/// Period at which a leaving daemon looks whether it is done.
const LEAVING_LOOK: Duration = Duration::from_millis(50);
/// Period at which the settings file is looked at; it may change without a
/// signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Period of small chores.
const CHORES: Duration = Duration::from_millis(500);
/// Delay of the chores over their period that shows a suspension.
const SUSPENDED: Duration = Duration::from_millis(700);

/// Why the daemon ended early.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A port cannot be bound, or the runtime not be started.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Runs the daemon until SIGTERM.
pub fn run(path: &Path, settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(path.to_owned(), settings))
}

async fn serve(path: PathBuf, settings: Settings) -> Result<(), RunError> {
    let client = Client::default();
    let listen = settings.listen;
    let edge = Rc::new(Edge {
        host: settings.host.clone(),
        life: Clock::unix_ms(),
        store: Store::new(settings.store.addr, Client::default()),
        client,
        metrics: Metrics::new()?,
        phase: Cell::new(Phase::Starting),
        shutdown: Cell::default(),
        buffered: Cell::default(),
        state: RefCell::default(),
        changed: tokio::sync::watch::Sender::new(0),
        urgent: Notify::new(),
        order_wake: Notify::new(),
        stranger: Notify::new(),
        settings: RefCell::new(Rc::new(settings)),
    });
    let host = &*edge.host;
    let life = edge.life;
    let version = env!("CARGO_PKG_VERSION");
    log::info!(host, life, version; "started");
    let (stop, stopping) = tokio::sync::watch::channel(ListenerStop::Running);
    let mut ports = vec![
        (listen.callers, ListenerKind::Callers),
        (listen.ready, ListenerKind::HostQueries),
    ];
    for addr in [listen.entry, listen.metrics] {
        if addr.port() != 0 && !ports.iter().any(|(a, _)| *a == addr) {
            ports.push((addr, ListenerKind::HostQueries));
        }
    }
    for (addr, kind) in ports {
        let listener = listen::bind(addr)?;
        let task = listen::serve(edge.clone(), listener, kind, stopping.clone());
        tokio::task::spawn_local(task);
    }
    let socket = Rc::new(UdpSocket::bind(listen.peers).await?);
    tokio::task::spawn_local(watch::desired(edge.clone()));
    tokio::task::spawn_local(watch::engines(edge.clone()));
    tokio::task::spawn_local(watch::members(edge.clone()));
    tokio::task::spawn_local(peers::receive(edge.clone(), socket.clone()));
    tokio::task::spawn_local(peers::send(edge.clone(), socket.clone()));
    tokio::task::spawn_local(peers::watch(edge.clone()));
    tokio::task::spawn_local(leader::election::run(edge.clone()));
    tokio::task::spawn_local(leader::send_orders(edge.clone(), socket));
    tokio::task::spawn_local(chores(edge.clone()));
    tokio::task::spawn_local(watch_settings(edge.clone(), path.clone()));
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&edge, &path),
        }
    }
    leave(&edge, &stop).await;
    Ok(())
}

/// Takes the settings file in again when it has changed without a signal.
async fn watch_settings(edge: Rc<Edge>, path: PathBuf) {
    let mut known = std::fs::read(&path).ok();
    loop {
        tokio::time::sleep(SETTINGS_LOOK).await;
        let Ok(text) = std::fs::read(&path) else {
            // It is being replaced; the next look tells.
            continue;
        };
        if known.as_ref() != Some(&text) {
            known = Some(text);
            reload(&edge, &path);
        }
    }
}

/// Takes the settings file in again.
fn reload(edge: &Edge, path: &Path) {
    match settings::load(path) {
        Ok(settings) => {
            edge.store.move_to(settings.store.addr);
            *edge.settings.borrow_mut() = Rc::new(settings);
            log::info!(path:% = path.display(); "settings reloaded");
        }
        Err(error) => log::error!(error:%; "settings not reloaded, the old ones stay"),
    }
}

/// Leaves: unready at once, orders given up, callers served until the longest
/// kept entry answer has run out, then what is in progress finished.
async fn leave(edge: &Rc<Edge>, stop: &tokio::sync::watch::Sender<ListenerStop>) {
    let shutdown = Shutdown {
        started_at: clock::now(),
        grace: edge.settings().bounds.grace(),
    };
    edge.shutdown.set(Some(shutdown));
    edge.phase.set(Phase::Leaving);
    log::info!(requests = edge.state.borrow().requests; "stopping");
    edge.urgent.notify_one();
    stop.send_replace(ListenerStop::EndConnections);
    hand_over(edge, &shutdown).await;
    watch::deregister(edge).await;
    while clock::now() < shutdown.close_at() {
        tokio::time::sleep(LEAVING_LOOK).await;
    }
    stop.send_replace(ListenerStop::CloseListener);
    while edge.state.borrow().requests > 0 && clock::now() < shutdown.exit_at() {
        tokio::time::sleep(LEAVING_LOOK).await;
    }
    let requests = edge.state.borrow().requests;
    let ms = clock::now().saturating_sub(shutdown.started_at).as_millis() as u64;
    log::info!(requests, ms; "stopped");
}

/// Gives the orders up. Where engines refuse old fencing numbers, this daemon
/// gives orders for another lease, so that its successor can go on at once.
async fn hand_over(edge: &Rc<Edge>, shutdown: &Shutdown) {
    let bounds = edge.settings().bounds;
    let until = match bounds.fences {
        true => shutdown.started_at + bounds.lease(),
        false => shutdown.started_at,
    };
    while edge.state.borrow().leadership.is_some() && clock::now() < shutdown.close_at() {
        if clock::now() >= until && leader::election::release(edge, shutdown.started_at).await {
            return;
        }
        tokio::time::sleep(LEAVING_LOOK).await;
    }
}

/// Drops old connections and notices a suspension of the machine.
async fn chores(edge: Rc<Edge>) {
    let mut last = clock::now();
    loop {
        tokio::time::sleep(CHORES).await;
        let now = clock::now();
        let late = now.saturating_sub(last).saturating_sub(CHORES);
        if late > SUSPENDED {
            let ms = late.as_millis() as u64;
            log::warn!(ms; "this process stood still");
            edge.client.drop_all_idle();
        }
        last = now;
        edge.client.drop_expired();
        let waiting = edge
            .state
            .borrow()
            .wants
            .values()
            .map(|w| w.want.waiting)
            .sum::<u32>();
        edge.metrics.set_queue(waiting as usize);
    }
}

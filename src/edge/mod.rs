//! The daemon of an edge host on the users' platform: routes callers' requests to
//! engines and, while it is the leader, sends orders to them.
//!
//! Everything runs as tasks on one thread. Decisions are pure code in
//! `routing`, `order`, `placement`, `leadership`, `fleet`, `retry_budget` and `suspects`.

pub mod activity;
pub mod admission;
pub mod body_memory;
pub mod caller_stream;
pub mod caps;
pub mod carried;
pub mod client;
pub mod clock;
pub mod connections;
pub mod customers;
pub mod demand;
pub mod desired;
pub mod engine_checks;
pub mod engine_list;
pub mod engine_load;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod forward;
pub mod gossip;
pub mod held_bytes;
pub mod in_flight;
pub mod leader;
pub mod leadership;
pub mod listen;
pub mod load_forecast;
pub mod members;
pub mod order;
pub mod orders;
pub mod origins;
pub mod peers;
pub mod permits;
pub mod placement;
pub mod prefix_cache;
pub mod relays;
pub mod reopening;
pub mod repeats;
pub mod reports;
pub mod request_headers;
pub mod retry_budget;
pub mod routing;
pub mod settings;
pub mod shared_stream;
pub mod shutdown;
pub mod slow_readers;
pub mod state;
pub mod statements;
pub mod store;
pub mod store_watch;
pub mod suspects;
pub mod time_limit;
pub mod unreachable;
pub mod unread_connection;
pub mod upstream;
pub mod waiting;

use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::timeout;

use crate::clock::{Clock, Moment};
use crate::metrics::{Metrics, MetricsError};
use activity::Activity;
use client::Client;
use listen::{ListenerKind, ListenerStop};
use settings::Settings;
use shutdown::Shutdown;
use state::{DaemonPhase, Edge};
use store::StoreClient;

/// Period of checking whether a shutdown is complete.
const SHUTDOWN_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Period of checking the settings file, which may change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);

/// Error that ends the daemon.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A port cannot be bound or the runtime cannot be started.
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
    let listen = settings.listen;
    let edge = Rc::new(Edge {
        host: settings.host.clone(),
        incarnation: Clock::unix_ms(),
        started_at: clock::now(),
        has_predecessor: Cell::new(false),
        store: StoreClient::new(settings.store.addr, Client::default()),
        client: Client::default(),
        call_client: Client::default(),
        metrics: Metrics::new()?,
        phase: Cell::new(DaemonPhase::Starting),
        shutdown: Cell::default(),
        activity: RefCell::new(Activity::new(clock::now())),
        body_memory: body_memory::BodyMemory::default(),
        held_bytes: Rc::default(),
        state: RefCell::default(),
        changed: tokio::sync::watch::Sender::new(0),
        send_wake: Notify::new(),
        order_wake: Notify::new(),
        unknown_peer: Notify::new(),
        relay_wake: Notify::new(),
        hold_wake: Notify::new(),
        holds_known: Cell::new(false),
        origin_wake: Notify::new(),
        origins_known: Cell::new(false),
        origins_written: watch::Sender::new(0),
        origin_lookups: Cell::default(),
        settings: RefCell::new(Rc::new(settings)),
    });
    let host = &*edge.host;
    let life = edge.incarnation;
    let version = env!("CARGO_PKG_VERSION");
    log::info!(host, life, version; "started");
    let (stop, stopping) = watch::channel(ListenerStop::Running);
    let mut listeners = vec![
        (listen.callers, ListenerKind::Callers),
        (listen.ready, ListenerKind::HostQueries),
    ];
    for addr in [listen.entry, listen.metrics] {
        if addr.port() != 0 && !listeners.iter().any(|(a, _)| *a == addr) {
            listeners.push((addr, ListenerKind::HostQueries));
        }
    }
    let mut tasks = Vec::new();
    for (addr, kind) in listeners {
        let listener = listen::bind(addr)?;
        let task = listen::serve(edge.clone(), listener, kind, stopping.clone());
        tasks.push(tokio::task::spawn_local(task));
    }
    let socket = Rc::new(UdpSocket::bind(listen.peers).await?);
    tokio::task::spawn_local(store_watch::watch_desired(edge.clone()));
    tokio::task::spawn_local(store_watch::watch_engines(edge.clone()));
    tokio::task::spawn_local(store_watch::watch_members(edge.clone()));
    tokio::task::spawn_local(suspects::keep_rows(edge.clone()));
    tokio::task::spawn_local(origins::keep_bases(edge.clone()));
    tokio::task::spawn_local(origins::sweep(edge.clone()));
    tokio::task::spawn_local(peers::receive_packets(edge.clone(), socket.clone()));
    tokio::task::spawn_local(peers::send_packets(edge.clone(), socket.clone()));
    tokio::task::spawn_local(relays::relay_prompts(edge.clone(), socket.clone()));
    tokio::task::spawn_local(peers::log_silent_members(edge.clone()));
    tokio::task::spawn_local(leader::election::run(edge.clone()));
    tokio::task::spawn_local(leader::send_orders(edge.clone(), socket));
    tokio::task::spawn_local(maintain(edge.clone()));
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
    shut_down(&edge, &stop, tasks).await;
    Ok(())
}

/// Reloads the settings file when it has changed without a signal.
async fn watch_settings(edge: Rc<Edge>, path: PathBuf) {
    let mut last_text = std::fs::read(&path).ok();
    loop {
        tokio::time::sleep(SETTINGS_POLL_PERIOD).await;
        let Ok(text) = std::fs::read(&path) else {
            // The file may be in the middle of a replacement; the next check reads it.
            continue;
        };
        if last_text.as_ref() != Some(&text) {
            last_text = Some(text);
            reload(&edge, &path);
        }
    }
}

/// Reloads the settings file; errors leave the old settings in force.
fn reload(edge: &Edge, path: &Path) {
    match settings::load(path) {
        Ok(settings) => {
            edge.store.set_addr(settings.store.addr);
            *edge.settings.borrow_mut() = Rc::new(settings);
            edge.release_features();
            log::info!(path:% = path.display(); "settings reloaded");
        }
        Err(error) => log::error!(error:%; "settings not reloaded, the old ones stay"),
    }
}

/// Shuts the daemon down: reports it as not ready at once, releases the leadership,
/// serves callers until every cached list of entry addresses has expired, then finishes
/// the requests in progress. Open connections end with their next response or, if they
/// stay idle, once the listeners have closed.
async fn shut_down(
    edge: &Rc<Edge>,
    stop: &watch::Sender<ListenerStop>,
    listeners: Vec<JoinHandle<()>>,
) {
    let now = clock::now();
    let shutdown = Shutdown {
        started_at: now,
        signaled_at: edge.activity.borrow_mut().earliest_signal(now),
        grace: edge.settings().bounds.grace(),
    };
    edge.shutdown.set(Some(shutdown));
    edge.phase.set(DaemonPhase::Stopping);
    let delay_ms = (now - shutdown.signaled_at).as_millis() as u64;
    log::info!(requests = edge.state.borrow().active_requests, delay_ms; "stopping");
    edge.send_wake.notify_one();
    stop.send_replace(ListenerStop::EndConnections);
    // Apart from the rest, which a store that does not answer must not delay.
    let leaving = tokio::task::spawn_local(leave(edge.clone(), shutdown));
    while clock::now() < shutdown.close_at() {
        tokio::time::sleep(SHUTDOWN_POLL_PERIOD).await;
    }
    stop.send_replace(ListenerStop::CloseListener);
    let closed = async {
        for listener in listeners {
            if let Err(error) = listener.await {
                log::error!(error:%; "listener failed");
            }
        }
    };
    tokio::pin!(closed);
    let until = |at: Moment| at.saturating_sub(clock::now());
    if timeout(until(shutdown.answer_at()), &mut closed)
        .await
        .is_err()
    {
        stop.send_replace(ListenerStop::EndRequests);
        if timeout(until(shutdown.exit_at()), closed).await.is_err() {
            log::warn!("connections are still open at the exit");
        }
    }
    match timeout(until(shutdown.exit_at()), leaving).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::error!(error:%; "leaving failed"),
        Err(_) => log::warn!("the store has not confirmed that this host leaves"),
    }
    let requests = edge.state.borrow().active_requests;
    let ms = clock::now().saturating_sub(shutdown.started_at).as_millis() as u64;
    log::info!(requests, ms; "stopped");
}

/// Releases the leadership and deletes this daemon's row in the store.
async fn leave(edge: Rc<Edge>, shutdown: Shutdown) {
    release_leadership(&edge, &shutdown).await;
    store_watch::remove_member_row(&edge).await;
}

/// Releases the leadership. Where engines refuse old fencing numbers, this daemon
/// sends orders for another lease, so that its successor can start at once.
async fn release_leadership(edge: &Rc<Edge>, shutdown: &Shutdown) {
    let bounds = edge.settings().bounds;
    let release_at = match bounds.fences {
        true => shutdown.started_at + bounds.lease(),
        false => shutdown.started_at,
    };
    while edge.state.borrow().leadership.is_some() && clock::now() < shutdown.close_at() {
        if clock::now() >= release_at && leader::election::release(edge, shutdown.started_at).await
        {
            return;
        }
        tokio::time::sleep(SHUTDOWN_POLL_PERIOD).await;
    }
}

/// Closes expired connections, detects a suspension of the process and updates the
/// metric of waiting requests.
async fn maintain(edge: Rc<Edge>) {
    loop {
        tokio::time::sleep(activity::CHECK_PERIOD).await;
        let suspended = edge.activity.borrow_mut().check(clock::now());
        if let Some(delay) = suspended {
            let ms = delay.as_millis() as u64;
            log::warn!(ms; "process was suspended");
            edge.client.drop_all_idle();
            edge.call_client.drop_all_idle();
        }
        edge.client.drop_expired();
        edge.call_client.drop_expired();
        engine_checks::ask_unreachable(&edge);
        let waiting = edge
            .state
            .borrow()
            .waiting
            .values()
            .map(|w| w.requests.count)
            .sum::<u32>();
        edge.metrics.set_queue(waiting as usize);
    }
}

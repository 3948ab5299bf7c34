//! Starts and stops a daemon and its threads.

mod backend;
mod call_state;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use crate::calls::{CallRunner, CallSettings};
use crate::clock::Clock;
use crate::control::{
    Control, ControlHandle, ControlView, DaemonIdentity, Driver, DriverContext, Event,
};
use crate::decide::retry::{RetryBudget, RetryConfig};
use crate::follower::ConfigFollower;
use crate::http::callers::CallerApi;
use crate::http::guard::GuardSettings;
use crate::http::quotas::CallerQuotas;
use crate::http::request::RequestIds;
use crate::http::server::{self, RunningServer};
use crate::http::services::ServiceProxy;
use crate::members::{MemberSettings, Members};
use crate::metrics::{Metrics, MetricsError};
use crate::operators::api::OperatorApi;
use crate::operators::server::{MAX_REQUESTS, OperatorHandler, guard_settings};
use crate::outside::{HostList, Platform};
use crate::peer::{PeerError, PeerEvent, PeerSettings, Peers};
use crate::protocol::ownership::Owner;
use crate::router::Router;
use crate::settings::Settings;
use crate::suspects::{InFlightRequests, SuspectSettings, Suspects};
use backend::DaemonBackend;
use call_state::{CallStateClient, SharedTable};

/// Maximum number of events queued for the control thread.
const EVENT_QUEUE_LEN: usize = 65_536;
/// Maximum number of peer messages queued for one of the other threads.
const MESSAGE_QUEUE_LEN: usize = 4_096;
/// Interval between two reads of the host list.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a draining daemon checks whether it has finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a daemon without requests in progress goes on refusing new ones before it ends,
/// so that callers with open connections learn that it closes them.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(500);
/// Maximum wait of a drained daemon for requests of operators.
const OPERATOR_STOP_TIME: Duration = Duration::from_secs(5);

/// Error starting a daemon.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listen address cannot be bound.
    #[error("cannot listen on {addr}: {cause}")]
    Listen {
        /// Listen address.
        addr: SocketAddr,
        /// Error of the operating system.
        cause: String,
    },
    /// The peer links cannot start.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// A running daemon.
pub struct Daemon<P> {
    control: ControlHandle,
    router: Router,
    peers: Arc<Peers>,
    callers: RunningServer,
    operators: RunningServer,
    call_runner: Arc<CallRunner<SharedTable<P>, CallStateClient>>,
    follower: ConfigFollower<P>,
    stop: Option<Sender<()>>,
    clock: Clock,
}

impl<P: Platform> Daemon<P> {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub fn start(settings: &Settings, platform: Arc<P>) -> Result<Self, StartError> {
        let clock = Clock::default();
        let incarnation = Clock::unix_ms();
        let (events, inbox) = bounded(EVENT_QUEUE_LEN);
        let (stop, stopped) = bounded(0);
        let peers = Arc::new(start_peers(settings, incarnation, &events)?);
        let identity = DaemonIdentity::new(settings, incarnation);
        let router = Router::new(&settings.domain, clock);
        let view = Arc::new(ArcSwap::from_pointee(ControlView::default()));
        let suspects = Arc::new(Mutex::new(Suspects::new(SuspectSettings::default())));
        let in_flight = InFlightRequests::default();
        let control = ControlHandle::new(
            events.clone(),
            view.clone(),
            suspects.clone(),
            in_flight.clone(),
            clock,
        );
        let follower = ConfigFollower::new(
            platform.clone(),
            peers.clone(),
            events.clone(),
            settings.peers.len(),
        );
        let (config_messages, config_inbox) = bounded(MESSAGE_QUEUE_LEN);
        let (call_messages, call_inbox) = bounded(MESSAGE_QUEUE_LEN);
        follower.start(config_inbox)?;
        watch_hosts(platform.clone(), events.clone(), stopped.clone())?;
        let hosts = settings.peers.iter().map(|p| p.host.clone()).collect();
        let members = Members::new(MemberSettings::for_peers(identity.host.clone(), hosts));
        let owner = Owner {
            host: identity.host.clone(),
            incarnation,
        };
        let state = Control::new(
            identity,
            members,
            router.clone(),
            suspects,
            in_flight,
            clock.now(),
        );
        let metrics = Arc::new(Metrics::new()?);
        let context = DriverContext {
            metrics: metrics.clone(),
            platform: platform.clone(),
            peers: peers.clone(),
            view,
            config_messages,
            call_messages,
            owner,
            clock,
        };
        Driver::start(context, state, events, inbox, stopped.clone())?;
        let call_client = Arc::new(CallStateClient::new(peers.clone(), control.clone()));
        let call_runner = Arc::new(CallRunner::start(
            Arc::new(SharedTable(platform.clone())),
            call_client.clone(),
            CallSettings {
                host: settings.host.clone(),
                incarnation,
                clock,
                ..CallSettings::default()
            },
        ));
        // The start time in ms differs between daemons, so their first shards mostly do.
        let first_shard = incarnation as u32;
        call_state::start_sweeper(
            &call_runner,
            first_shard,
            settings.peers.len(),
            stopped.clone(),
        )?;
        call_state::start_responder(call_inbox, peers.clone(), call_client, call_runner.clone())?;
        let api = OperatorApi {
            backend: Arc::new(DaemonBackend {
                platform: platform.clone(),
                control: control.clone(),
                follower: follower.clone(),
                peers: peers.clone(),
                metrics: metrics.clone(),
                firm: settings.firm.clone(),
                clock,
            }),
            admin_hash: settings.admin_hash.clone(),
        };
        let operators = OperatorHandler {
            api,
            ids: RequestIds::new(&format!("{}-op", settings.host), incarnation),
        };
        let operators = listen(
            settings.listen.operators,
            MAX_REQUESTS,
            guard_settings(),
            operators,
        )?;
        let callers = CallerApi {
            services: ServiceProxy {
                calls: call_runner.clone(),
                clock,
                next_upstream: AtomicUsize::new(0),
            },
            platform,
            control: control.clone(),
            router: router.clone(),
            clock,
            quotas: CallerQuotas::default(),
            retries: Mutex::new(RetryBudget::new(RetryConfig::default())),
            metrics,
            request_ids: RequestIds::new(&settings.host, incarnation),
            limits: settings.limits.clone(),
        };
        let callers = listen(
            settings.listen.callers,
            settings.limits.streams,
            GuardSettings::from(&settings.limits),
            callers,
        )?;
        log::info!(
            "host {} serves callers at {}",
            settings.host,
            settings.listen.callers
        );
        Ok(Daemon {
            control,
            router,
            peers,
            callers,
            operators,
            call_runner,
            follower,
            stop: Some(stop),
            clock,
        })
    }

    /// Returns the handle on the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Returns the follower, which holds the active configuration.
    pub fn follower(&self) -> &ConfigFollower<P> {
        &self.follower
    }

    /// Drains and stops the daemon: takes the host out of entry responses immediately,
    /// accepts requests until cached entry responses have expired, finishes all
    /// requests in progress and hands its pools over.
    pub fn drain(mut self) {
        self.control.drain();
        let cache_time = Duration::from_secs(self.control.config().policy.entry_keep_s);
        let deadline = self.clock.now() + cache_time;
        while self.clock.now() < deadline && self.control.view().alive_count > 1 {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.callers.refuse_requests();
        while self.callers.active_requests() > 0
            || self.router.running() > 0
            || self.call_runner.unsettled_attempts() > 0
        {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let idle_at = self.clock.now();
        while !self
            .control
            .call(|state| state.is_drained())
            .unwrap_or(true)
        {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.finish_operator_requests();
        let notice_time = self.clock.now().saturating_sub(idle_at);
        thread::sleep(CLOSE_NOTICE_TIME.saturating_sub(notice_time));
        self.stop();
    }

    /// Stops immediately, without draining.
    pub fn stop(&mut self) {
        self.stop.take();
        self.operators.stop();
        self.peers.stop();
        // Last, as callers are told of the end up to here.
        self.callers.stop();
    }

    fn finish_operator_requests(&self) {
        self.operators.refuse_requests();
        let deadline = self.clock.now() + OPERATOR_STOP_TIME;
        while self.operators.active_requests() > 0 {
            if self.clock.now() >= deadline {
                log::warn!("stopping before all requests of operators have ended");
                return;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}

impl<P> Drop for Daemon<P> {
    fn drop(&mut self) {
        self.stop.take();
        self.peers.stop();
    }
}

fn start_peers(
    settings: &Settings,
    incarnation: u64,
    events: &Sender<Event>,
) -> Result<Peers, StartError> {
    let (sender, received) = bounded(MESSAGE_QUEUE_LEN);
    let peer_settings = PeerSettings {
        firm: settings.firm.clone(),
        host: settings.host.clone(),
        incarnation,
        listen: settings.listen.peers,
        peers: settings.peers.clone(),
        key: settings.peer_key.clone(),
        ..PeerSettings::default()
    };
    let peers = Peers::start(peer_settings, sender)?;
    let events = events.clone();
    thread::Builder::new()
        .name("peers".into())
        .spawn(move || forward_events(&received, &events))?;
    Ok(peers)
}

fn forward_events(received: &Receiver<PeerEvent>, events: &Sender<Event>) {
    for event in received {
        if events.send(Event::Peer(event)).is_err() {
            return;
        }
    }
}

/// Starts the thread that reads the host list; it ends when `stopped` closes.
fn watch_hosts<P: Platform>(
    platform: Arc<P>,
    events: Sender<Event>,
    stopped: Receiver<()>,
) -> std::io::Result<()> {
    let watch = move || {
        loop {
            match platform.hosts().read() {
                Ok(hosts) => {
                    if events.send(Event::Hosts(hosts)).is_err() {
                        return;
                    }
                }
                Err(e) => log::debug!("cannot read the host list: {e}"),
            }
            if stopped.recv_timeout(HOST_POLL_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    };
    thread::Builder::new().name("hosts".into()).spawn(watch)?;
    Ok(())
}

fn listen<H: server::Handler>(
    addr: SocketAddr,
    max_requests: u32,
    limits: GuardSettings,
    handler: H,
) -> Result<RunningServer, StartError> {
    let listen_error = |cause: String| StartError::Listen { addr, cause };
    let listener = TcpListener::bind(addr).map_err(|e| listen_error(e.to_string()))?;
    server::start(listener, max_requests, limits, Arc::new(handler))
        .map_err(|e| listen_error(e.to_string()))
}

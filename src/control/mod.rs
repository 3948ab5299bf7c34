//! State of the control thread, the events that change it and the effects that
//! it requests.

mod claims;
mod crash_reports;
mod driver;
mod event;
mod handle;
mod peers;
mod permits;
mod pools;
mod status;
mod table_jobs;
mod view;
mod waiting;
mod workers;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name, Policy};
use crate::decide::permits::Permits;
use crate::decide::weight_store::StoreLimits;
use crate::members::Members;
use crate::outside::Hosts;
use crate::peer::wire::{Body, PoolState, Usage};
use crate::router::Router;
use crate::settings::Settings;
use crate::suspects::{Fingerprint, InFlightRequests, Suspects};

pub use claims::PoolOwnership;
pub use driver::{Driver, DriverContext, PeerMessage};
pub use event::{Effect, Event, TableJobResult, WaitingRequest};
pub use handle::{ControlHandle, SlotRequest};
pub use view::ControlView;

/// Time between two steps at or above which the process is considered to have
/// been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Maximum number of times that the inbox is processed in one step; later messages
/// wait for the next step.
const MAX_INBOX_PASSES: u32 = 4;
/// Period at which a pool owner checks which of its engines are due for a poll.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Identity of this daemon.
#[derive(Clone, Debug)]
pub struct DaemonIdentity {
    /// Host name.
    pub host: Name,
    /// Incarnation; differs for every start of the process.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: Name,
    /// Address that callers connect to.
    pub addr: Name,
}

impl DaemonIdentity {
    /// Builds the identity from `settings`.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        DaemonIdentity {
            host: settings.host.clone(),
            incarnation,
            domain: settings.domain.clone(),
            addr: settings.listen.callers.to_string().into(),
        }
    }
}

/// Usage report that this daemon last sent to the owner of a pool.
#[derive(Clone, Debug, Default)]
struct SentUsage {
    owner: Name,
    usage: Usage,
    sent_at: Moment,
}

/// State of the control thread.
pub struct Control {
    identity: DaemonIdentity,
    config: Arc<Config>,
    config_version: u64,
    members: Members,
    pools: BTreeMap<Name, PoolOwnership>,
    /// Requests of this host that wait for a replica, by ticket id.
    waiting: HashMap<Name, waiting::WaitingEntry>,
    router: Router,
    permits: Permits,
    /// Last published states of pools, merged from full and incremental ones.
    pool_states: BTreeMap<Name, PoolState>,
    /// Last usage reports by pool.
    sent_usage: BTreeMap<Name, SentUsage>,
    suspects: Arc<Mutex<Suspects>>,
    in_flight: InFlightRequests,
    /// Crash reports of this daemon that some daemons have not yet acknowledged.
    unsettled_reports: Vec<crash_reports::UnsettledReport>,
    /// Hosts whose crash reports are acknowledged once the request ends here.
    pending_acks: HashMap<Fingerprint, Vec<Name>>,
    /// Host that issues weight store permits.
    permit_issuer: Option<Name>,
    table_available: bool,
    leaving: bool,
    started_at: Moment,
    last_step: Moment,
    /// Moment at which the last pause of this process was detected.
    resumed_at: Option<Moment>,
    last_heartbeat: Option<Moment>,
    last_usage_report: Option<Moment>,
    effects: Vec<Effect>,
    last_poll: Option<Moment>,
    /// Messages of this daemon to itself.
    inbox: VecDeque<Body>,
}

impl Control {
    /// Returns a state without a configuration and without links to peers.
    pub fn new(
        identity: DaemonIdentity,
        members: Members,
        router: Router,
        suspects: Arc<Mutex<Suspects>>,
        in_flight: InFlightRequests,
        now: Moment,
    ) -> Self {
        Control {
            members,
            config: Arc::default(),
            config_version: 0,
            pools: BTreeMap::new(),
            waiting: HashMap::new(),
            router,
            permits: Permits::new(configured_store_limits(&Policy::default()), now),
            pool_states: BTreeMap::new(),
            sent_usage: BTreeMap::new(),
            suspects,
            in_flight,
            unsettled_reports: Vec::new(),
            pending_acks: HashMap::new(),
            permit_issuer: None,
            table_available: true,
            leaving: false,
            started_at: now,
            last_step: now,
            resumed_at: None,
            last_heartbeat: None,
            last_usage_report: None,
            effects: Vec::new(),
            last_poll: None,
            inbox: VecDeque::new(),
            identity,
        }
    }

    /// Applies one event; [`Control::step`] is called after a batch of events.
    pub fn handle_event(&mut self, event: Event, now: Moment) {
        match event {
            Event::Tick => {}
            Event::Peer(event) => self.handle_peer_event(event, now),
            Event::RequestSlot(request) => self.add_waiting(request, now),
            Event::CancelRequest(id) => self.cancel_waiting(&id),
            Event::Config { version, config } => self.apply_config(version, config, now),
            Event::Hosts(hosts) => self.apply_hosts(&hosts, now),
            Event::TableJobFinished(result) => self.handle_table_result(result, now),
            Event::TableHealth { available } => self.table_available = available,
            Event::PollFinished {
                pool,
                engine,
                result,
                requested_at,
            } => self.handle_poll_result(&pool, &engine, result, requested_at, now),
            Event::OrderFinished {
                pool,
                epoch,
                engine,
                grant,
                result,
            } => self.handle_order_result(&pool, epoch, &engine, grant, result, now),
            Event::CrashReported { report, settled } => {
                self.share_crash_report(report, settled, now)
            }
            Event::CrashReportShared(report) => self.share_report(report, now),
            Event::InFlightEnded(fingerprint) => self.in_flight_ended(&fingerprint),
            Event::TrialEnded { ticket, model } => self.end_trial(&ticket, &model),
            Event::Drain => self.start_drain(),
            Event::Call(call) => call(self),
        }
    }

    /// Runs all work that is due and returns the effects for the driver to apply.
    pub fn step(&mut self, now: Moment) -> Vec<Effect> {
        self.detect_pause(now);
        self.send_heartbeat(now);
        self.claim_pools(now);
        self.report_usage(now);
        self.poll_engines(now);
        for _ in 0..MAX_INBOX_PASSES {
            self.process_inbox(now);
            self.tick_pools(now);
            self.grant_permits(now);
            if self.inbox.is_empty() {
                break;
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Detects that the process was paused, in which case its knowledge of other
    /// daemons is out of date.
    fn detect_pause(&mut self, now: Moment) {
        let paused = now.saturating_sub(self.last_step) >= PAUSE_THRESHOLD;
        self.last_step = now;
        if paused {
            log::warn!("this process was paused");
            self.resumed_at = Some(now);
            self.publish(now);
        }
    }

    /// Handles the messages that this daemon sent to itself.
    fn process_inbox(&mut self, now: Moment) {
        let host = self.identity.host.clone();
        while let Some(body) = self.inbox.pop_front() {
            self.handle_message(&host, body, now);
        }
    }

    /// Requests polls of the engines in pools that this daemon owns, at most once
    /// per [`POLL_PERIOD`].
    fn poll_engines(&mut self, now: Moment) {
        if !is_due(self.last_poll, POLL_PERIOD, now) {
            return;
        }
        self.last_poll = Some(now);
        self.effects.push(Effect::RecordQueue(
            self.waiting.len() + self.router.queued(),
        ));
        let mut idle = 0;
        for (name, ownership) in &mut self.pools {
            let PoolOwnership::Owned(pool) = ownership else {
                continue;
            };
            idle += pool.idle_accelerators(&self.config);
            for engine in pool.take_due_polls(now) {
                self.effects.push(Effect::PollEngine {
                    pool: name.clone(),
                    engine,
                });
            }
        }
        self.effects.push(Effect::RecordIdle {
            accelerators: idle,
            time: POLL_PERIOD,
        });
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    fn apply_config(&mut self, version: u64, config: Arc<Config>, now: Moment) {
        if version <= self.config_version {
            return;
        }
        self.config_version = version;
        self.config = config;
        self.permits.set_limits(self.store_limits(now));
        for ownership in self.pools.values_mut() {
            if let PoolOwnership::Owned(pool) = ownership {
                pool.reconfigure(&self.config);
            }
        }
        self.publish(now);
    }

    fn apply_hosts(&mut self, hosts: &Hosts, now: Moment) {
        let newest = self.members.update_host_list(hosts);
        for ownership in self.pools.values_mut() {
            if let PoolOwnership::Owned(pool) = ownership {
                pool.update_host_list(&newest);
            }
        }
        self.publish(now);
    }

    /// Returns the weight store limits, scaled by the share of the deployment's
    /// daemons that are visible from here.
    fn store_limits(&self, now: Moment) -> StoreLimits {
        configured_store_limits(&self.config.policy).scaled(self.members.visible_fraction(now))
    }
}

/// Returns the weight store limits of the policy.
fn configured_store_limits(policy: &Policy) -> StoreLimits {
    StoreLimits {
        rate: policy.store_rate,
        parallel_models: policy.store_parallel,
        parallel_adapters: policy.adapter_parallel,
    }
}

/// Returns whether `last` is unset or `period` has passed since then.
fn is_due(last: Option<Moment>, period: Duration, now: Moment) -> bool {
    last.is_none_or(|last| now.saturating_sub(last) >= period)
}

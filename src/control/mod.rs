//! The control thread: all control state, its events and its actions.

mod claims;
mod desk;
mod driver;
mod event;
mod jobs;
mod peers;
mod permit;
mod pools;
mod status;
mod strikes;
mod tickets;
mod view;
mod workers;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name, Policy};
use crate::decide::permits::Permits;
use crate::decide::store::StoreLimits;
use crate::members::Members;
use crate::outside::Hosts;
use crate::peer::wire::{Body, PoolState, Usage};
use crate::router::Router;
use crate::settings::Settings;
use crate::suspects::{Fingerprint, InFlightRequests, Suspects};

pub use claims::Seat;
pub use desk::{Desk, Wish};
pub use driver::{Driver, Parts, Routed};
pub use event::{Act, Event, TableEnd};
pub use view::View;

/// Time between two steps from which on this process counts as paused.
const PAUSED: Duration = Duration::from_secs(1);
/// Most rounds of messages to itself within one step.
const ROUNDS: u32 = 4;
/// Period at which an owner looks which of its engines to poll.
const POLL: Duration = Duration::from_millis(100);

/// Who this daemon is.
#[derive(Clone, Debug)]
pub struct Me {
    /// Name of the host.
    pub host: Name,
    /// Incarnation; new with every start.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: Name,
    /// Address for callers.
    pub addr: Name,
}

impl Me {
    /// This daemon under `settings`.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        Me {
            host: settings.host.clone(),
            incarnation,
            domain: settings.domain.clone(),
            addr: settings.listen.callers.to_string().into(),
        }
    }
}

/// What this daemon told the owner of a pool last.
#[derive(Clone, Debug, Default)]
struct Told {
    owner: Name,
    usage: Usage,
    at: Moment,
}

/// State of the control thread.
pub struct Control {
    me: Me,
    config: Arc<Config>,
    version: u64,
    members: Members,
    seats: BTreeMap<Name, Seat>,
    tickets: HashMap<Name, tickets::Local>,
    router: Router,
    permits: Permits,
    states: BTreeMap<Name, PoolState>,
    used: BTreeMap<Name, Told>,
    suspects: Arc<Mutex<Suspects>>,
    flights: InFlightRequests,
    settling: Vec<strikes::Settling>,
    owed: HashMap<Fingerprint, Vec<Name>>,
    holder: Option<Name>,
    table: bool,
    leaving: bool,
    started: Moment,
    stepped: Moment,
    woke: Option<Moment>,
    beat: Option<Moment>,
    reported: Option<Moment>,
    acts: Vec<Act>,
    polled: Option<Moment>,
    inbox: VecDeque<Body>,
}

impl Control {
    /// A control state that knows no configuration and no peer.
    pub fn new(
        me: Me,
        members: Members,
        router: Router,
        suspects: Arc<Mutex<Suspects>>,
        flights: InFlightRequests,
        now: Moment,
    ) -> Self {
        Control {
            members,
            config: Arc::default(),
            version: 0,
            seats: BTreeMap::new(),
            tickets: HashMap::new(),
            router,
            permits: Permits::new(store_limits(&Policy::default()), now),
            states: BTreeMap::new(),
            used: BTreeMap::new(),
            suspects,
            flights,
            settling: Vec::new(),
            owed: HashMap::new(),
            holder: None,
            table: true,
            leaving: false,
            started: now,
            stepped: now,
            woke: None,
            beat: None,
            reported: None,
            acts: Vec::new(),
            polled: None,
            inbox: VecDeque::new(),
            me,
        }
    }

    /// Takes in one event; [`Control::step`] follows after a batch of them.
    pub fn take(&mut self, event: Event, now: Moment) {
        match event {
            Event::Tick => {}
            Event::Peer(event) => self.peer(event, now),
            Event::Want(want) => self.want(want, now),
            Event::Cancel(id) => self.cancel(&id),
            Event::Config { version, config } => self.configure(version, config, now),
            Event::Hosts(hosts) => self.listed(&hosts, now),
            Event::Table(end) => self.table_end(end, now),
            Event::Health { table } => self.table = table,
            Event::Polled {
                pool,
                engine,
                result,
                asked,
            } => self.polled(&pool, &engine, result, asked, now),
            Event::Ordered {
                pool,
                epoch,
                engine,
                grant,
                result,
            } => self.ordered(&pool, epoch, &engine, grant, result, now),
            Event::Struck { strike, settled } => self.struck(strike, settled, now),
            Event::Cleared(strike) => self.tell_strike(strike),
            Event::Landed(print) => self.landed(&print),
            Event::TrialOver { ticket, model } => self.trial_over(&ticket, &model),
            Event::Drain => self.drain(),
            Event::Call(call) => call(self),
        }
    }

    /// Does all that is due; answers what is to be done outside.
    pub fn step(&mut self, now: Moment) -> Vec<Act> {
        self.note_pause(now);
        self.heartbeat(now);
        self.seek_claims(now);
        self.report_usage(now);
        self.poll_engines(now);
        for _ in 0..ROUNDS {
            self.empty_inbox(now);
            self.tick_pools(now);
            self.grant_permits(now);
            if self.inbox.is_empty() {
                break;
            }
        }
        std::mem::take(&mut self.acts)
    }

    /// Notes that this process was paused: what it knows of others is old.
    fn note_pause(&mut self, now: Moment) {
        let paused = now.saturating_sub(self.stepped) >= PAUSED;
        self.stepped = now;
        if paused {
            log::warn!("this process was paused");
            self.woke = Some(now);
            self.publish(now);
        }
    }

    /// Handles what this daemon said to itself.
    fn empty_inbox(&mut self, now: Moment) {
        let host = self.me.host.clone();
        while let Some(body) = self.inbox.pop_front() {
            self.message(&host, body, now);
        }
    }

    /// Polls the engines of the pools that this daemon owns, when it is due.
    fn poll_engines(&mut self, now: Moment) {
        if !due(self.polled, POLL, now) {
            return;
        }
        self.polled = Some(now);
        self.acts
            .push(Act::Queue(self.tickets.len() + self.router.queued()));
        let mut idle = 0;
        for (name, seat) in &mut self.seats {
            let Seat::Held(pool) = seat else {
                continue;
            };
            idle += pool.idle(&self.config);
            for engine in pool.due_polls(now) {
                self.acts.push(Act::Poll {
                    pool: name.clone(),
                    engine,
                });
            }
        }
        self.acts.push(Act::Idle {
            accelerators: idle,
            time: POLL,
        });
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    fn configure(&mut self, version: u64, config: Arc<Config>, now: Moment) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.config = config;
        self.permits.set_limits(self.limits(now));
        for seat in self.seats.values_mut() {
            if let Seat::Held(pool) = seat {
                pool.reconfigure(&self.config);
            }
        }
        self.publish(now);
    }

    fn listed(&mut self, hosts: &Hosts, now: Moment) {
        let newest = self.members.update_host_list(hosts);
        for seat in self.seats.values_mut() {
            if let Seat::Held(pool) = seat {
                pool.listed(&newest);
            }
        }
        self.publish(now);
    }

    /// Limits of the weight store for the part of the members in sight.
    fn limits(&self, now: Moment) -> StoreLimits {
        store_limits(&self.config.policy).scaled(self.members.visible_fraction(now))
    }
}

/// Limits of the weight store as configured.
fn store_limits(policy: &Policy) -> StoreLimits {
    StoreLimits {
        rate: policy.store_rate,
        parallel: policy.store_parallel,
        adapters: policy.adapter_parallel,
    }
}

/// Whether `period` has passed since `last`.
fn due(last: Option<Moment>, period: Duration, now: Moment) -> bool {
    last.is_none_or(|last| now.saturating_sub(last) >= period)
}

//! State of daemons, engines, table and network.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use mastichinge::config::Name;
use mastichinge::protocol::ownership::*;

/// Deliberate fault in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A new owner trusts the models of a report and sends no fence.
    NoFence,
    /// An expired lease releases the pins of the previous owner.
    ExpiryReleases,
    /// A report requested before the recorded instance was learned counts.
    OldReport,
    /// Orders go to a new instance before it is adopted in the table.
    NoAdoption,
    /// An order without an answer counts as never sent.
    LostIsUnsent,
    /// A pin write without an answer counts as not done.
    WriteForgotten,
    /// A handover does not record the doubts.
    DoubtsDropped,
}

/// Maximum number of each kind of event in one run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub claims: u8,
    pub orders: u8,
    pub timeouts: u8,
    pub restarts: u8,
    pub crashes: u8,
    pub lost_answers: u8,
    /// Reports that name another than the recorded instance.
    pub new_reports: u8,
    /// Reports that name the recorded instance.
    pub stale_reports: u8,
    pub pin_writes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Versioned<T> {
    pub version: u64,
    pub value: T,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Engine {
    pub instance: u8,
    pub token: FencingToken,
    pub loaded: BTreeSet<Name>,
}

/// Pins of one engine as their owner knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KnownPins {
    pub version: u64,
    pub pins: EnginePins,
    /// Pins written without an answer.
    pub unconfirmed: Option<EnginePins>,
    /// Logical time at which the recorded instance was learned.
    pub learned_at: u64,
    /// Newer instance, named by a report that counts.
    pub successor: Option<Name>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnedPool {
    pub version: u64,
    pub record: OwnerRecord,
    pub known: Vec<Rc<KnownPins>>,
    pub ledgers: Vec<Rc<Ledger>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Idle,
    /// The claim has no answer yet.
    Claimed {
        clean: bool,
    },
    Owner(Rc<OwnedPool>),
}

/// Report in transit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    pub engine: usize,
    pub instance: Name,
    /// Logical time of the request for the report.
    pub requested_at: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Daemon {
    pub me: Owner,
    pub role: Role,
    pub time: u64,
    pub reports: Vec<Report>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Order {
    pub from: usize,
    pub incarnation: u64,
    pub engine: usize,
    pub token: FencingToken,
    pub load: bool,
    pub model: Name,
    pub instance: Name,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    pub order: Order,
    pub outcome: OrderOutcome,
}

/// Write that takes effect later.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DelayedWrite {
    pub pool: u64,
    pub engine: usize,
    pub version: u64,
    pub value: EnginePins,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub pool: Versioned<OwnerRecord>,
    pub pins: Vec<Rc<Versioned<EnginePins>>>,
    pub engines: Vec<Engine>,
    pub daemons: Vec<Daemon>,
    pub orders: Vec<Order>,
    pub answers: Vec<Answer>,
    pub delayed: Option<DelayedWrite>,
    pub budget: Budget,
}

/// Bounds, engines and fault of one run of the model checker.
pub struct Pool {
    pub specs: Vec<EngineSpec>,
    pub models: Vec<Name>,
    pub limit: u32,
    /// Initial pins: engine and model.
    pub pinned: Vec<(usize, Name)>,
    pub budget: Budget,
    pub fault: Fault,
}

pub type Steps = Vec<(String, State)>;

pub fn logical_time(time: u64) -> Duration {
    Duration::from_secs(time)
}

pub fn instance_name(number: u8) -> Name {
    format!("i{number}").into()
}

pub fn engine_name(number: usize) -> Name {
    format!("e{number}").into()
}

pub fn owned_pool(state: &mut State, d: usize) -> &mut OwnedPool {
    match &mut state.daemons[d].role {
        Role::Owner(owned) => Rc::make_mut(owned),
        _ => panic!("d{d} owns no pool"),
    }
}

/// Returns the pins that count against limits.
pub fn counted_pins(owned: &OwnedPool) -> PoolPins {
    let mut pool = PoolPins::new();
    for (e, known) in owned.known.iter().enumerate() {
        let pins = match &known.unconfirmed {
            Some(unconfirmed) => known.pins.union(unconfirmed),
            None => known.pins.clone(),
        };
        pool.insert(engine_name(e), pins);
    }
    pool
}

/// Commits the write if its conditions hold, and returns whether they do.
pub fn commit_write(state: &mut State, write: &DelayedWrite) -> bool {
    let item = Rc::make_mut(&mut state.pins[write.engine]);
    if state.pool.version != write.pool || item.version != write.version {
        return false;
    }
    item.version += 1;
    item.value = write.value.clone();
    true
}

//! State of daemons, engines, table and network.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use mastichinge::config::Name;
use mastichinge::protocol::ownership::*;

/// A deliberate fault of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A new owner goes by the index of a report and sends no fence.
    NoFence,
    /// A lapsed lease frees the pins of the owner before.
    LapseFrees,
    /// A report asked for before the recorded instance was learnt counts.
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

/// How many of each may happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub claims: u8,
    pub orders: u8,
    pub timeouts: u8,
    pub restarts: u8,
    pub crashes: u8,
    pub lost: u8,
    pub asks: u8,
    /// Further reports that name the recorded instance.
    pub stale: u8,
    pub moves: u8,
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

/// What an owner knows of the pins of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    pub version: u64,
    pub pins: EnginePins,
    /// Written without an answer.
    pub unsure: Option<EnginePins>,
    /// Logical time at which the recorded instance was learnt.
    pub since: u64,
    /// Newer instance, by a report that counts.
    pub ended: Option<Name>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holding {
    pub version: u64,
    pub record: OwnerRecord,
    pub known: Vec<Rc<Known>>,
    pub ledgers: Vec<Rc<Ledger>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Idle,
    /// The claim of the record has no answer yet.
    Claimed {
        clean: bool,
    },
    Holds(Rc<Holding>),
}

/// A report on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    pub engine: usize,
    pub instance: Name,
    pub asked: u64,
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
    pub end: OrderOutcome,
}

/// A write that takes effect late.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Late {
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
    pub late: Option<Late>,
    pub budget: Budget,
}

/// Bounds, engines and fault of one check.
pub struct Pool {
    pub rooms: Vec<EngineSpec>,
    pub models: Vec<Name>,
    pub limit: u32,
    /// Pins at the start: engine and model.
    pub pinned: Vec<(usize, Name)>,
    pub budget: Budget,
    pub fault: Fault,
}

pub type Steps = Vec<(String, State)>;

pub fn at(time: u64) -> Duration {
    Duration::from_secs(time)
}

pub fn instance(number: u8) -> Name {
    format!("i{number}").into()
}

pub fn engine_name(number: usize) -> Name {
    format!("e{number}").into()
}

pub fn holding(state: &mut State, d: usize) -> &mut Holding {
    match &mut state.daemons[d].role {
        Role::Holds(holding) => Rc::make_mut(holding),
        _ => panic!("d{d} holds nothing"),
    }
}

/// The pins that count against limits.
pub fn counted(holding: &Holding) -> PoolPins {
    let mut pool = PoolPins::new();
    for (e, known) in holding.known.iter().enumerate() {
        let pins = match &known.unsure {
            Some(unsure) => known.pins.union(unsure),
            None => known.pins.clone(),
        };
        pool.insert(engine_name(e), pins);
    }
    pool
}

/// Commits the write if its conditions hold.
pub fn apply(state: &mut State, late: &Late) -> bool {
    let item = Rc::make_mut(&mut state.pins[late.engine]);
    if state.pool.version != late.pool || item.version != late.version {
        return false;
    }
    item.version += 1;
    item.value = late.value.clone();
    true
}

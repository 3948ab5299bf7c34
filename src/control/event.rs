//! What reaches the control thread and what it wants done.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::error::Refusal;
use crate::outside::{EngineError, Hosts, Order, Report};
use crate::peer::PeerEvent;
use crate::peer::wire::{Body, CrashReport};
use crate::pool::{Claimed, PinWrite};
use crate::protocol::ownership::{Grant, Owner, OwnerRecord, Recorded, Sent};
use crate::router::{Need, Slot};
use crate::suspects::Fingerprint;

use super::{Control, View};

/// A request of this host that waits for a replica.
pub struct Want {
    /// Ticket.
    pub id: Name,
    /// What it needs.
    pub need: Need,
    /// Fingerprint when the request is a suspect.
    pub suspect: Option<Name>,
    /// Takes the answer.
    pub reply: Sender<Result<Slot, Refusal>>,
}

/// How a job at the table ended.
#[derive(Debug)]
pub enum TableEnd {
    /// This daemon owns the pool now.
    Claimed {
        /// Pool.
        pool: Name,
        /// What it took over.
        claimed: Claimed,
    },
    /// Another daemon owns the pool.
    Owned {
        /// Pool.
        pool: Name,
        /// Its record.
        record: OwnerRecord,
    },
    /// The table did not answer.
    Failed {
        /// Pool.
        pool: Name,
    },
    /// Pin records were written.
    Written {
        /// Pool.
        pool: Name,
        /// Epoch under which they were written.
        epoch: u64,
        /// The writes.
        writes: Vec<PinWrite>,
        /// New versions of their items.
        versions: Vec<u64>,
    },
    /// A condition failed: the pool has another owner, or a record is not
    /// what this daemon believes.
    Lost {
        /// Pool.
        pool: Name,
        /// Epoch under which the write was tried.
        epoch: u64,
    },
    /// The pool was given up.
    Released {
        /// Pool.
        pool: Name,
    },
}

/// What reaches the control thread.
pub enum Event {
    /// Time has passed.
    Tick,
    /// A peer link or message.
    Peer(PeerEvent),
    /// A request of this host waits for a replica.
    Want(Want),
    /// That request has given up.
    Cancel(Name),
    /// A configuration version is in force.
    Config {
        /// Version.
        version: u64,
        /// Document.
        config: Arc<Config>,
    },
    /// The platform's host list.
    Hosts(Hosts),
    /// A poll of an engine ended.
    Polled {
        /// Pool.
        pool: Name,
        /// Engine.
        engine: Name,
        /// Its report.
        result: Result<Report, EngineError>,
        /// Moment at which it was asked for.
        asked: Moment,
    },
    /// An order ended.
    Ordered {
        /// Pool.
        pool: Name,
        /// Epoch of the order.
        epoch: u64,
        /// Engine.
        engine: Name,
        /// The grant that it was sent under.
        grant: Grant<Sent>,
        /// The engine's answer.
        result: Result<Report, EngineError>,
    },
    /// A job at the table ended.
    Table(TableEnd),
    /// Whether the table answers.
    Health {
        /// It does.
        table: bool,
    },
    /// This daemon recorded a strike.
    Struck {
        /// The strike.
        strike: CrashReport,
        /// Gets a word once no daemon runs the request any more.
        settled: Sender<()>,
    },
    /// This daemon took strikes back.
    Cleared(CrashReport),
    /// The last request of a fingerprint that others wait for ended here.
    Landed(Fingerprint),
    /// The trial of a suspect ended.
    TrialOver {
        /// Ticket that it ran under.
        ticket: Name,
        /// Model or adapter.
        model: Name,
    },
    /// This daemon is to leave.
    Drain,
    /// A question about the state.
    Call(Box<dyn FnOnce(&mut Control) + Send>),
}

/// What the control thread wants done.
pub enum Act {
    /// Send a message to a peer.
    Send {
        /// Host.
        to: Name,
        /// Message.
        body: Body,
    },
    /// Send a message to all peers.
    Broadcast(Body),
    /// Send an order.
    Order {
        /// Pool.
        pool: Name,
        /// Epoch.
        epoch: u64,
        /// Engine.
        engine: Name,
        /// Permission to send it once.
        grant: Grant<Recorded>,
        /// The order.
        order: Order,
    },
    /// Poll an engine.
    Poll {
        /// Pool.
        pool: Name,
        /// Engine.
        engine: Name,
    },
    /// Try to claim a pool.
    Claim {
        /// Pool.
        pool: Name,
        /// Owners that are alive, so that their pools are left alone.
        alive: Vec<Owner>,
        /// A recorded owner that is not among them may be superseded.
        take: bool,
    },
    /// Write pin records under the check of the pool's item.
    WritePins {
        /// Pool.
        pool: Name,
        /// Epoch of this owner.
        epoch: u64,
        /// Version of the pool's item.
        item: u64,
        /// The writes.
        writes: Vec<PinWrite>,
    },
    /// Give a pool up.
    Release {
        /// Pool.
        pool: Name,
        /// Epoch of this owner.
        epoch: u64,
        /// Version of the pool's item.
        item: u64,
        /// Pin records with their doubts.
        writes: Vec<PinWrite>,
    },
    /// Answer a waiting request.
    Reply {
        /// Takes the answer.
        reply: Sender<Result<Slot, Refusal>>,
        /// The answer.
        answer: Result<Slot, Refusal>,
    },
    /// Publish a view for traffic threads.
    Publish(View),
    /// Hand a message to the thread that keeps the configuration.
    Follow {
        /// Sender.
        from: Name,
        /// Message.
        body: Body,
    },
    /// Hand a message to the at-most-once calls.
    Calls {
        /// Sender.
        from: Name,
        /// Message.
        body: Body,
    },
    /// Count a load.
    Loaded {
        /// Model or adapter.
        model: Name,
        /// From the order to the answer.
        took: Duration,
    },
    /// Count an unload.
    Unloaded,
    /// Count idle accelerator time.
    Idle {
        /// Accelerators that hold weights without a request.
        accelerators: u32,
        /// For how long.
        time: Duration,
    },
    /// Note how many requests wait for a replica.
    Queue(usize),
}

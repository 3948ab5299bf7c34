//! Events handled by the control thread and effects that it requests.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::outside::{EngineError, Hosts, Order, Report};
use crate::peer::PeerEvent;
use crate::peer::wire::{Body, CrashReport};
use crate::pool::{ClaimedPool, PinWrite};
use crate::protocol::ownership::{Grant, Owner, OwnerRecord, Recorded, Sent};
use crate::router::{RoutingRequest, SlotResult};
use crate::suspects::Fingerprint;

use super::{Control, ControlView};

/// A request of this host that waits for a replica.
pub struct WaitingRequest {
    /// Ticket id.
    pub id: Name,
    /// What the request needs of a replica.
    pub routing: RoutingRequest,
    /// Fingerprint, if the request is suspected of crashing engines.
    pub suspect: Option<Name>,
    /// Receives the result.
    pub sender: Sender<SlotResult>,
}

/// Result of a job on the platform's table.
#[derive(Debug)]
pub enum TableJobResult {
    /// This daemon claimed the pool.
    Claimed {
        /// Pool.
        pool: Name,
        /// Epoch and pin records of the claimed pool.
        claimed: ClaimedPool,
    },
    /// Another daemon owns the pool.
    OwnedElsewhere {
        /// Pool.
        pool: Name,
        /// Owner record of the pool.
        record: OwnerRecord,
    },
    /// The claim failed with an error of the table.
    ClaimFailed {
        /// Pool.
        pool: Name,
    },
    /// Pin records were written.
    PinsWritten {
        /// Pool.
        pool: Name,
        /// Epoch under which they were written.
        epoch: u64,
        /// The writes.
        writes: Vec<PinWrite>,
        /// New versions of the written items.
        versions: Vec<u64>,
    },
    /// Pin records were not written: the pool has another owner, a record differs
    /// from what this daemon expects, or the table refused the write.
    OwnershipLost {
        /// Pool.
        pool: Name,
        /// Epoch under which the write was attempted.
        epoch: u64,
    },
    /// The handover of the pool ended.
    Released {
        /// Pool.
        pool: Name,
    },
}

/// Event handled by the control thread.
pub enum Event {
    /// Runs a step without any other event.
    Tick,
    /// A peer link changed, or a message arrived.
    Peer(PeerEvent),
    /// A request of this host needs a replica.
    RequestSlot(WaitingRequest),
    /// The waiting request with this ticket was cancelled.
    CancelRequest(Name),
    /// A configuration version is in force.
    Config {
        /// Version.
        version: u64,
        /// Document.
        config: Arc<Config>,
    },
    /// The platform's host list.
    Hosts(Hosts),
    /// A poll of an engine finished.
    PollFinished {
        /// Pool.
        pool: Name,
        /// Engine.
        engine: Name,
        /// Report of the engine.
        result: Result<Report, EngineError>,
        /// Moment at which the poll was sent.
        requested_at: Moment,
    },
    /// An order finished.
    OrderFinished {
        /// Pool.
        pool: Name,
        /// Epoch of the order.
        epoch: u64,
        /// Engine.
        engine: Name,
        /// Grant under which the order was sent.
        grant: Grant<Sent>,
        /// Answer of the engine.
        result: Result<Report, EngineError>,
    },
    /// A job on the table finished.
    TableJobFinished(TableJobResult),
    /// The availability of the table was checked.
    TableHealth {
        /// The table answers.
        available: bool,
    },
    /// This daemon recorded a crash report.
    CrashReported {
        /// The crash report.
        report: CrashReport,
        /// Notified once no daemon runs the request any more.
        settled: Sender<()>,
    },
    /// A crash report of this daemon, or a release, that all peers are to know.
    CrashReportShared(CrashReport),
    /// The last request with a fingerprint whose end other daemons wait for ended
    /// here.
    InFlightEnded(Fingerprint),
    /// The trial of a suspect ended.
    TrialEnded {
        /// Ticket of the trial.
        ticket: Name,
        /// Model or adapter.
        model: Name,
    },
    /// This daemon starts draining.
    Drain,
    /// Runs a function on the control state.
    Call(Box<dyn FnOnce(&mut Control) + Send>),
}

/// Effect requested by the control thread.
pub enum Effect {
    /// Sends a message to a peer.
    Send {
        /// Host.
        to: Name,
        /// Message.
        body: Body,
    },
    /// Sends a message to all peers.
    Broadcast(Body),
    /// Sends an order to an engine.
    SendOrder {
        /// Pool.
        pool: Name,
        /// Epoch.
        epoch: u64,
        /// Engine.
        engine: Name,
        /// Permission to send the order once.
        grant: Grant<Recorded>,
        /// The order.
        order: Order,
    },
    /// Polls an engine.
    PollEngine {
        /// Pool.
        pool: Name,
        /// Engine.
        engine: Name,
    },
    /// Tries to claim a pool.
    ClaimPool {
        /// Pool.
        pool: Name,
        /// Owners that are alive; their pools are not claimed.
        alive: Vec<Owner>,
        /// Whether a recorded owner that is not in `alive` may be superseded.
        may_supersede: bool,
    },
    /// Writes pin records if the pool's item still has the given version.
    WritePins {
        /// Pool.
        pool: Name,
        /// Epoch of this owner.
        epoch: u64,
        /// Version of the pool's owner item.
        item_version: u64,
        /// The writes.
        writes: Vec<PinWrite>,
    },
    /// Hands a pool over.
    ReleasePool {
        /// Pool.
        pool: Name,
        /// Epoch of this owner.
        epoch: u64,
        /// Version of the pool's owner item.
        item_version: u64,
        /// Pin records, including pins in doubt.
        writes: Vec<PinWrite>,
    },
    /// Answers a waiting request.
    Reply {
        /// Receives the result.
        sender: Sender<SlotResult>,
        /// The result.
        result: SlotResult,
    },
    /// Publishes a view for traffic threads.
    Publish(ControlView),
    /// Forwards a message to the thread that follows the configuration.
    ForwardConfig {
        /// Sender.
        from: Name,
        /// Message.
        body: Body,
    },
    /// Forwards a message to the at-most-once calls.
    ForwardCall {
        /// Sender.
        from: Name,
        /// Message.
        body: Body,
    },
    /// Records a completed load in the metrics.
    RecordLoad {
        /// Model or adapter.
        model: Name,
        /// Time from the order to its answer.
        took: Duration,
    },
    /// Records an unload in the metrics.
    RecordUnload,
    /// Records idle accelerator time in the metrics.
    RecordIdle {
        /// Accelerators that hold weights but run no request.
        accelerators: u32,
        /// Duration of the idle time.
        time: Duration,
    },
    /// Records in the metrics how many requests wait for a replica or a slot.
    RecordQueue(usize),
}

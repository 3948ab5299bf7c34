//! Messages of the usual content, encoded as on the links.

use mastichinge::outside::{Report, Resident, Tier};
use mastichinge::peer::wire::{
    Body, Change, EngineState, Frame, Heartbeat, Permit, PermitAcquire, PermitRelease, PoolState,
    ReplicaReply, ReplicaRequest, ReplicaUsage, Snapshot, Usage,
};
use prost::Message;

use crate::state;

/// A trial message, not on the wire: loads of a pool's engines in the order
/// of its last whole state.
#[derive(Clone, PartialEq, Message)]
pub struct Loads {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Epoch of the owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Number of the last whole state.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Requests running and waiting by engine.
    #[prost(uint32, repeated, tag = "4")]
    pub loads: Vec<u32>,
}

/// A trial message, not on the wire: use of a pool's replicas, numbered in
/// the order of its last whole state.
#[derive(Clone, PartialEq, Message)]
pub struct Uses {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Epoch of the owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Number of the last whole state.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Numbers of the replicas.
    #[prost(uint32, repeated, tag = "4")]
    pub replicas: Vec<u32>,
    /// Requests that arrived, by replica.
    #[prost(uint32, repeated, tag = "5")]
    pub arrived: Vec<u32>,
    /// Requests in progress, by replica.
    #[prost(uint32, repeated, tag = "6")]
    pub running: Vec<u32>,
}

/// Loads of so many engines.
pub fn loads(engines: usize) -> Loads {
    Loads {
        pool: "pool-46".into(),
        epoch: 100,
        seq: 1_000_000,
        loads: vec![9; engines],
    }
}

/// Use of `count` replicas, each 12th of the pool's.
pub fn uses(count: usize) -> Uses {
    Uses {
        pool: "pool-46".into(),
        epoch: 100,
        seq: 1_000_000,
        replicas: (0..count as u32).map(|i| i * 12).collect(),
        arrived: vec![2; count],
        running: vec![3; count],
    }
}

/// Bytes of a trial message on a link.
pub fn trial(message: &impl Message) -> f64 {
    // The frame adds a tag and a length of at most two bytes.
    (message.encoded_len() + PREFIX + 3) as f64
}

/// The report of an engine with so many residents, as many cached.
pub fn report(residents: usize) -> Report {
    let mut report = Report {
        instance: "0123456789abcdef".into(),
        token: 100 << 24,
        orders: 1_000,
        running: 8,
        waiting: 1,
        ..Default::default()
    };
    for i in 0..residents {
        report.residents.push(Resident {
            model: state::adapter(i).into(),
            version: "1".into(),
            ready: true,
            memory: 200,
        });
        let cached = state::adapter(27_000 + i);
        report.cached.push((cached.into(), Tier::Disk));
    }
    report
}

/// Bytes of the length before a frame.
const PREFIX: usize = 4;

/// Bytes of a message on a link.
pub fn bytes(body: Body) -> f64 {
    (frame(body).encoded_len() + PREFIX) as f64
}

/// A frame of the message.
pub fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}

/// The heartbeat of a daemon.
pub fn heartbeat(i: usize) -> Body {
    Body::Heartbeat(Heartbeat {
        incarnation: 1_764_800_000_000 + i as u64,
        leaving: false,
        ready: true,
        config: 6_600 * 365,
        streams: 200 + i as u32,
        addr: format!("10.0.{}.{}:8080", i / 250, i % 250),
        domain: format!("domain-{:02}", i % 14),
    })
}

/// A pool's state with `ready` models on each engine.
pub fn pool(engines: usize, ready: usize) -> PoolState {
    let mut states = Vec::new();
    for i in 0..engines {
        let models = (0..ready).map(|k| state::adapter(i * ready + k));
        states.push(EngineState {
            engine: state::engine(i),
            instance: format!("{:016x}", i + 1),
            ready: models.collect(),
            running: 8,
            waiting: 1,
            leaving: false,
            age_ms: 200,
        });
    }
    PoolState {
        base: 0,
        pool: "pool-46".into(),
        epoch: 100,
        seq: 1_000_000,
        engines: states,
    }
}

/// Use of `count` replicas.
pub fn usage(count: usize) -> Body {
    let mut uses = Vec::new();
    for i in 0..count {
        uses.push(ReplicaUsage {
            model: state::adapter(i),
            engine: state::engine(i),
            arrived: 2,
            running: 3,
        });
    }
    Body::Usage(Usage {
        pool: "pool-46".into(),
        epoch: 100,
        seq: 1_000_000,
        uses,
        ..Default::default()
    })
}

/// A change that touches `count` adapters.
pub fn change(count: usize) -> Body {
    let entry = state::entry(0, count);
    Body::Change(Change {
        version: entry.version,
        entry: serde_json::to_string(&entry).expect("an entry is plain data"),
    })
}

/// The whole configuration.
pub fn snapshot(adapters: usize) -> Body {
    Body::Snapshot(Snapshot {
        version: 1,
        document: state::document(adapters).to_string(),
    })
}

/// Bytes of one heartbeat of each of `count` daemons.
pub fn heartbeats(count: usize) -> f64 {
    (0..count).map(|i| bytes(heartbeat(i))).sum()
}

/// Bytes of `count` replica requests with their replies.
pub fn wants(count: usize) -> f64 {
    let mut sum = 0.0;
    for i in 0..count {
        let ticket = format!("entry-0460-1764800000000-{i}");
        sum += bytes(Body::ReplicaRequest(ReplicaRequest {
            ticket: ticket.clone(),
            model: state::adapter(i),
            remaining_ms: 60_000,
            priority: 5,
            ..Default::default()
        }));
        sum += bytes(Body::ReplicaReply(ReplicaReply {
            ticket,
            engine: state::engine(i),
            ..Default::default()
        }));
    }
    sum
}

/// Bytes of `count` permits: ask, grant and return.
pub fn permits(count: usize) -> f64 {
    let mut sum = 0.0;
    for i in 0..count {
        let load = format!("entry-0460-1764800000000-{i}");
        sum += bytes(Body::PermitAcquire(PermitAcquire {
            load: load.clone(),
            adapter: true,
            value_density: 1.5,
            running: false,
        }));
        sum += bytes(Body::Permit(Permit { load: load.clone() }));
        sum += bytes(Body::PermitRelease(PermitRelease { load }));
    }
    sum
}

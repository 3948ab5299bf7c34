//! Messages with typical content, encoded as on the links between daemons.

use mastichinge::outside::{Report, Resident, Tier};
use mastichinge::peer::wire::{
    Body, Change, EngineState, Frame, Heartbeat, Permit, PermitAcquire, PermitRelease, PoolState,
    ReplicaReply, ReplicaRequest, ReplicaUsage, Snapshot, Usage,
};
use prost::Message;

use crate::state;

/// Trial message, not part of the protocol: loads of a pool's engines in
/// the order of its last full state.
#[derive(Clone, PartialEq, Message)]
pub struct TrialLoads {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Epoch of the owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sequence number of the last full state.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Requests running and waiting by engine.
    #[prost(uint32, repeated, tag = "4")]
    pub loads: Vec<u32>,
}

/// Trial message, not part of the protocol: usage of a pool's replicas,
/// numbered in the order of its last full state.
#[derive(Clone, PartialEq, Message)]
pub struct TrialUses {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Epoch of the owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sequence number of the last full state.
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

/// Returns the loads of this many engines.
pub fn trial_loads(engines: usize) -> TrialLoads {
    TrialLoads {
        pool: "pool-46".into(),
        epoch: 100,
        seq: 1_000_000,
        loads: vec![9; engines],
    }
}

/// Returns the usage of `count` replicas, every twelfth of the pool.
pub fn trial_uses(count: usize) -> TrialUses {
    TrialUses {
        pool: "pool-46".into(),
        epoch: 100,
        seq: 1_000_000,
        replicas: (0..count as u32).map(|i| i * 12).collect(),
        arrived: vec![2; count],
        running: vec![3; count],
    }
}

/// Returns the bytes of a trial message on a link.
pub fn trial_bytes(message: &impl Message) -> f64 {
    // The frame adds a tag and a length of at most two bytes.
    (message.encoded_len() + LENGTH_PREFIX_BYTES + 3) as f64
}

/// Returns the report of an engine with this many resident and as many cached
/// adapters.
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
            model: state::adapter_name(i).into(),
            version: "1".into(),
            ready: true,
            memory: 200,
        });
        let cached = state::adapter_name(27_000 + i);
        report.cached.push((cached.into(), Tier::Disk));
    }
    report
}

/// Bytes of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Returns the bytes of a message on a link.
pub fn encoded_bytes(body: Body) -> f64 {
    (frame(body).encoded_len() + LENGTH_PREFIX_BYTES) as f64
}

/// Returns the frame of a message.
pub fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}

/// Returns the heartbeat of a daemon.
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

/// Returns the state of a pool with `ready` models on each engine.
pub fn pool_state(engines: usize, ready: usize) -> PoolState {
    let mut states = Vec::new();
    for i in 0..engines {
        let models = (0..ready).map(|k| state::adapter_name(i * ready + k));
        states.push(EngineState {
            engine: state::engine_name(i),
            instance: format!("{:016x}", i + 1),
            ready: models.collect(),
            running: 8,
            waiting: 1,
            leaving: false,
            age_ms: 200,
            weights: (0..ready as u32).collect(),
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

/// Returns a usage report of `count` replicas.
pub fn usage(count: usize) -> Body {
    let mut uses = Vec::new();
    for i in 0..count {
        uses.push(ReplicaUsage {
            model: state::adapter_name(i),
            engine: state::engine_name(i),
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

/// Returns a change of `count` adapters.
pub fn change(count: usize) -> Body {
    let entry = state::change_entry(0, count);
    Body::Change(Change {
        version: entry.version,
        entry: serde_json::to_string(&entry).expect("an entry is plain data"),
    })
}

/// Returns a snapshot of the whole configuration.
pub fn snapshot(adapters: usize) -> Body {
    Body::Snapshot(Snapshot {
        version: 1,
        document: state::document(adapters).to_string(),
    })
}

/// Returns the bytes of one heartbeat from each of `count` daemons.
pub fn heartbeat_bytes(count: usize) -> f64 {
    (0..count).map(|i| encoded_bytes(heartbeat(i))).sum()
}

/// Returns the bytes of `count` replica requests with their replies.
pub fn replica_request_bytes(count: usize) -> f64 {
    let mut sum = 0.0;
    for i in 0..count {
        let ticket = format!("entry-0460-1764800000000-{i}");
        sum += encoded_bytes(Body::ReplicaRequest(ReplicaRequest {
            ticket: ticket.clone(),
            model: state::adapter_name(i),
            remaining_ms: 60_000,
            priority: 5,
            ..Default::default()
        }));
        sum += encoded_bytes(Body::ReplicaReply(ReplicaReply {
            ticket,
            engine: state::engine_name(i),
            ..Default::default()
        }));
    }
    sum
}

/// Returns the bytes of `count` permits: request, grant and release.
pub fn permit_bytes(count: usize) -> f64 {
    let mut sum = 0.0;
    for i in 0..count {
        let load = format!("entry-0460-1764800000000-{i}");
        sum += encoded_bytes(Body::PermitAcquire(PermitAcquire {
            load: load.clone(),
            adapter: true,
            value_density: 1.5,
            running: false,
        }));
        sum += encoded_bytes(Body::Permit(Permit { load: load.clone() }));
        sum += encoded_bytes(Body::PermitRelease(PermitRelease { load }));
    }
    sum
}

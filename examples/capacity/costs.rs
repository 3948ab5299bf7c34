//! Measures all costs and fits a line to each.

use mastichinge::config::state::ActiveConfig;
use mastichinge::peer::wire::Body;

use crate::series::{LinearFit, measure_series};
use crate::state::POOL_ENGINES;
use crate::{memory, messages, scene, state, times};

/// Ready models and adapters on an engine.
pub const READY_MODELS: usize = 12;
/// Adapters of the configuration.
const ADAPTER_COUNTS: &[usize] = &[1_000, 3_000, 9_000, 27_000];
/// Engines of a pool.
const POOL_SIZES: &[usize] = &[10, 25, 50, 100];
/// Engines of a deployment.
const FLEET_SIZES: &[usize] = &[100, 500, 1_000, 2_300];
/// Adapters of a pool.
const POOL_ADAPTERS: &[usize] = &[100, 300, 587, 1_200];
/// Residents of an engine.
const RESIDENT_COUNTS: &[usize] = &[0, 6, 12, 24];
/// Other daemons.
const MEMBER_COUNTS: &[usize] = &[4, 49, 149, 459];
/// Messages or waiting loads.
const MESSAGE_COUNTS: &[usize] = &[1, 10, 100, 1_000];
/// Replicas in a usage report.
const REPLICA_COUNTS: &[usize] = &[0, 10, 50, 200];

/// Fitted lines of all measurements.
///
/// The doc of a field names the cost and, after "by", what the line counts on its x axis.
pub struct Costs {
    /// Sizes of messages, bytes.
    pub bytes: MessageSizes,
    /// Times, µs.
    pub times: OperationTimes,
    /// Bytes of the heap.
    pub heap: HeapSizes,
}

/// Sizes of messages with the length prefix, bytes.
pub struct MessageSizes {
    /// Heartbeats by members.
    pub heartbeat: LinearFit,
    /// Pool state by engines.
    pub pool_state: LinearFit,
    /// [`messages::TrialLoads`] by engines.
    pub trial_loads: LinearFit,
    /// Usage report by replicas.
    pub usage: LinearFit,
    /// [`messages::TrialUses`] by replicas.
    pub trial_uses: LinearFit,
    /// Report of an engine by residents.
    pub engine_report: LinearFit,
    /// Replica requests with their replies by requests.
    pub replica_request: LinearFit,
    /// Messages of a permit, from request to release, by loads.
    pub permit: LinearFit,
    /// Change by modified adapters.
    pub change: LinearFit,
    /// Snapshot by adapters.
    pub snapshot: LinearFit,
}

/// Times, µs.
pub struct OperationTimes {
    /// Decoding heartbeats by members.
    pub heartbeat: LinearFit,
    /// Encoding a pool state by engines.
    pub state_encoding: LinearFit,
    /// Decoding a pool state by engines.
    pub pool_state: LinearFit,
    /// Decoding [`messages::TrialLoads`] by engines.
    pub trial_loads: LinearFit,
    /// Decoding a usage report by replicas.
    pub usage: LinearFit,
    /// Decoding [`messages::TrialUses`] by replicas.
    pub trial_uses: LinearFit,
    /// Parsing a report by residents.
    pub engine_report: LinearFit,
    /// Routing by replicas.
    pub routing: LinearFit,
    /// Placement by engines.
    pub placement: LinearFit,
    /// Pinning a pool by adapters.
    pub pinning: LinearFit,
    /// Unload decisions by residents.
    pub unload_decisions: LinearFit,
    /// Request, grant and release of a permit by waiting loads.
    pub permit: LinearFit,
    /// Applying a change by adapters.
    pub change: LinearFit,
    /// Reading a snapshot by adapters.
    pub snapshot: LinearFit,
    /// Scan of the configured models by adapters.
    pub model_scan: LinearFit,
}

/// Bytes of the heap.
pub struct HeapSizes {
    /// Configuration by adapters.
    pub config: LinearFit,
    /// Peak of reading a snapshot by adapters, without its text.
    pub snapshot: LinearFit,
    /// Peak of applying a change by adapters.
    pub change: LinearFit,
    /// Histories by models.
    pub histories: LinearFit,
    /// Decoded pool state by engines.
    pub pool_state: LinearFit,
    /// Waiting permits by loads.
    pub permits: LinearFit,
}

/// Runs all measurements and prints them.
pub fn measure() -> Costs {
    Costs {
        bytes: measure_messages(),
        times: measure_times(),
        heap: measure_heap(),
    }
}

fn measure_messages() -> MessageSizes {
    println!("Messages, bytes on a link with the length prefix");
    let state =
        |engines, ready| messages::encoded_bytes(Body::Pool(messages::pool_state(engines, ready)));
    let ready_counts = &[1, 4, 12, 36];
    measure_series(
        "pool state, 50 engines",
        "ready model",
        "B",
        ready_counts,
        |n| state(POOL_ENGINES, n),
    );
    let pool = |n| state(n, READY_MODELS);
    let loads = |n| messages::trial_bytes(&messages::trial_loads(n));
    let uses = |n| messages::trial_bytes(&messages::trial_uses(n));
    let usage = |n| messages::encoded_bytes(messages::usage(n));
    let report = |n| times::report_json(n).len() as f64;
    let change = |n| messages::encoded_bytes(messages::change(n));
    let snapshot = |n| messages::encoded_bytes(messages::snapshot(n));
    MessageSizes {
        heartbeat: measure_series(
            "heartbeats",
            "member",
            "B",
            MEMBER_COUNTS,
            messages::heartbeat_bytes,
        ),
        pool_state: measure_series(
            "pool state, 12 ready models",
            "engine",
            "B",
            POOL_SIZES,
            pool,
        ),
        trial_loads: measure_series("loads (trial)", "engine", "B", POOL_SIZES, loads),
        usage: measure_series("usage report", "replica", "B", REPLICA_COUNTS, usage),
        trial_uses: measure_series("uses (trial)", "replica", "B", POOL_SIZES, uses),
        engine_report: measure_series(
            "report of an engine, JSON",
            "resident",
            "B",
            RESIDENT_COUNTS,
            report,
        ),
        replica_request: measure_series(
            "want and verdict",
            "request",
            "B",
            MESSAGE_COUNTS,
            messages::replica_request_bytes,
        ),
        permit: measure_series(
            "permit, ask to return",
            "load",
            "B",
            MESSAGE_COUNTS,
            messages::permit_bytes,
        ),
        change: measure_series("change", "adapter", "B", &[1, 2, 4, 8], change),
        snapshot: measure_series("snapshot", "adapter", "B", ADAPTER_COUNTS, snapshot),
    }
}

fn measure_times() -> OperationTimes {
    println!("Times");
    let replicas = &[4, 16, 64, 256];
    let pool = |n| Body::Pool(messages::pool_state(n, READY_MODELS));
    let encode = |n| times::encode(pool(n));
    let decode = |n| times::decode(pool(n));
    let usage = |n| times::decode(messages::usage(n));
    let times = OperationTimes {
        heartbeat: measure_series(
            "decode heartbeats",
            "member",
            "us",
            MEMBER_COUNTS,
            times::decode_heartbeats,
        ),
        state_encoding: measure_series("encode pool state", "engine", "us", POOL_SIZES, encode),
        pool_state: measure_series("decode pool state", "engine", "us", POOL_SIZES, decode),
        trial_loads: measure_series(
            "decode loads (trial)",
            "engine",
            "us",
            POOL_SIZES,
            times::decode_loads,
        ),
        usage: measure_series(
            "decode usage report",
            "replica",
            "us",
            REPLICA_COUNTS,
            usage,
        ),
        trial_uses: measure_series(
            "decode uses (trial)",
            "replica",
            "us",
            POOL_SIZES,
            times::decode_uses,
        ),
        engine_report: measure_series(
            "parse a report",
            "resident",
            "us",
            RESIDENT_COUNTS,
            times::parse_report,
        ),
        routing: measure_series("routing", "replica", "us", replicas, times::routing),
        placement: measure_series("placement", "engine", "us", FLEET_SIZES, times::placement),
        pinning: measure_series(
            "pinning, 50 engines",
            "adapter",
            "us",
            POOL_ADAPTERS,
            times::pinning,
        ),
        unload_decisions: measure_series(
            "verdicts on sleep",
            "resident",
            "us",
            POOL_ADAPTERS,
            times::unload_decisions,
        ),
        permit: measure_series(
            "permit",
            "waiting load",
            "us",
            MESSAGE_COUNTS,
            times::acquire_permit,
        ),
        change: measure_series(
            "apply a change",
            "adapter",
            "us",
            ADAPTER_COUNTS,
            times::apply_change,
        ),
        snapshot: measure_series(
            "read a snapshot",
            "adapter",
            "us",
            ADAPTER_COUNTS,
            times::read_snapshot,
        ),
        model_scan: measure_series(
            "pass over the models",
            "adapter",
            "us",
            ADAPTER_COUNTS,
            times::scan_models,
        ),
    };
    measure_series(
        "write a snapshot",
        "adapter",
        "us",
        ADAPTER_COUNTS,
        times::write_snapshot,
    );
    times
}

fn measure_heap() -> HeapSizes {
    println!("Memory, bytes of the heap");
    let active = |n| memory::live_bytes(|| state::active_config(n));
    let histories = |n| memory::live_bytes(|| state::histories(n));
    let pool = |n| memory::live_bytes(|| messages::pool_state(n, READY_MODELS));
    let permits = |n| memory::live_bytes(|| scene::permits(n));
    let peak = "peak of reading a snapshot";
    HeapSizes {
        config: measure_series("configuration", "adapter", "B", ADAPTER_COUNTS, active),
        snapshot: measure_series(peak, "adapter", "B", ADAPTER_COUNTS, snapshot_peak),
        change: measure_series(
            "peak of applying a change",
            "adapter",
            "B",
            ADAPTER_COUNTS,
            change_peak,
        ),
        histories: measure_series("histories", "model", "B", ADAPTER_COUNTS, histories),
        pool_state: measure_series("decoded pool state", "engine", "B", POOL_SIZES, pool),
        permits: measure_series("waiting permits", "load", "B", MESSAGE_COUNTS, permits),
    }
}

/// Returns the peak memory of reading a snapshot, without its text.
fn snapshot_peak(adapters: usize) -> f64 {
    let text = state::document(adapters).to_string();
    memory::peak_bytes(|| {
        let document = serde_json::from_str(&text).expect("the document is JSON");
        let mut config = ActiveConfig::default();
        config.restore(1, &document).map(|_| config)
    })
}

/// Returns the peak memory of applying a change.
fn change_peak(adapters: usize) -> f64 {
    let config = state::active_config(adapters);
    let entry = state::change_entry(1, 1);
    memory::peak_bytes(|| config.clone().apply(&entry))
}

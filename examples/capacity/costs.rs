//! All measurements.

use mastichinge::config::state::ActiveConfig;
use mastichinge::peer::wire::Body;

use crate::series::{Line, series};
use crate::state::POOL_ENGINES;
use crate::{memory, messages, scene, state, times};

/// Ready models and adapters on an engine.
pub const READY: usize = 12;
/// Adapters of the configuration.
const ADAPTERS: &[usize] = &[1_000, 3_000, 9_000, 27_000];
/// Engines of a pool.
const ENGINES: &[usize] = &[10, 25, 50, 100];
/// Engines of a deployment.
const FLEET: &[usize] = &[100, 500, 1_000, 2_300];
/// Adapters of a pool.
const OWN: &[usize] = &[100, 300, 587, 1_200];
/// Residents of an engine.
const RESIDENTS: &[usize] = &[0, 6, 12, 24];
/// Other daemons.
const MEMBERS: &[usize] = &[4, 49, 149, 459];
/// Messages or waiting loads.
const COUNTS: &[usize] = &[1, 10, 100, 1_000];
/// Replicas in a usage report.
const USED: &[usize] = &[0, 10, 50, 200];

/// Lines of all measurements.
pub struct Costs {
    /// Bytes of messages.
    pub bytes: Bytes,
    /// Times, µs.
    pub times: Times,
    /// Bytes of the heap.
    pub heap: Heap,
}

/// Bytes of messages, with the length prefix.
pub struct Bytes {
    /// Heartbeats by members.
    pub heartbeat: Line,
    /// Pool state by engines.
    pub pool: Line,
    /// Trial message of loads by engines.
    pub loads: Line,
    /// Usage report by replicas.
    pub usage: Line,
    /// Trial message of uses by replicas.
    pub uses: Line,
    /// Report of an engine by residents.
    pub report: Line,
    /// Replica requests and replies by requests.
    pub want: Line,
    /// Permits, from ask to return, by loads.
    pub permit: Line,
    /// Change by adapters that it touches.
    pub change: Line,
    /// Snapshot by adapters.
    pub snapshot: Line,
}

/// Times, µs.
pub struct Times {
    /// Decoding heartbeats by members.
    pub heartbeat: Line,
    /// Encoding a pool state by engines.
    pub publish: Line,
    /// Decoding a pool state by engines.
    pub pool: Line,
    /// Decoding the trial message of loads by engines.
    pub loads: Line,
    /// Decoding a usage report by replicas.
    pub usage: Line,
    /// Decoding the trial message of uses by replicas.
    pub uses: Line,
    /// Parsing a report by residents.
    pub report: Line,
    /// Routing by replicas.
    pub routing: Line,
    /// Placement by engines.
    pub placement: Line,
    /// Pinning a pool by adapters.
    pub pinning: Line,
    /// Verdicts on sleep by residents.
    pub verdicts: Line,
    /// A permit by waiting loads.
    pub permit: Line,
    /// A change by adapters.
    pub change: Line,
    /// Reading a snapshot by adapters.
    pub snapshot: Line,
    /// A pass over the configured models by adapters.
    pub scan: Line,
}

/// Bytes of the heap.
pub struct Heap {
    /// Configuration by adapters.
    pub config: Line,
    /// Peak of reading a snapshot by adapters, its text apart.
    pub snapshot: Line,
    /// Peak of applying a change by adapters.
    pub change: Line,
    /// Histories by models.
    pub histories: Line,
    /// Decoded pool state by engines.
    pub pool: Line,
    /// Waiting permits by loads.
    pub permits: Line,
}

/// Runs all measurements and prints them.
pub fn measure() -> Costs {
    Costs {
        bytes: bytes(),
        times: times(),
        heap: heap(),
    }
}

fn bytes() -> Bytes {
    println!("Messages, bytes on a link with the length prefix");
    let state = |engines, ready| messages::bytes(Body::Pool(messages::pool(engines, ready)));
    let few = &[1, 4, 12, 36];
    series("pool state, 50 engines", "ready model", "B", few, |n| {
        state(POOL_ENGINES, n)
    });
    let pool = |n| state(n, READY);
    let loads = |n| messages::trial(&messages::loads(n));
    let uses = |n| messages::trial(&messages::uses(n));
    let usage = |n| messages::bytes(messages::usage(n));
    let report = |n| times::json(n).len() as f64;
    let change = |n| messages::bytes(messages::change(n));
    let snapshot = |n| messages::bytes(messages::snapshot(n));
    Bytes {
        heartbeat: series("heartbeats", "member", "B", MEMBERS, messages::heartbeats),
        pool: series("pool state, 12 ready models", "engine", "B", ENGINES, pool),
        loads: series("loads (trial)", "engine", "B", ENGINES, loads),
        usage: series("usage report", "replica", "B", USED, usage),
        uses: series("uses (trial)", "replica", "B", ENGINES, uses),
        report: series(
            "report of an engine, JSON",
            "resident",
            "B",
            RESIDENTS,
            report,
        ),
        want: series("want and verdict", "request", "B", COUNTS, messages::wants),
        permit: series(
            "permit, ask to return",
            "load",
            "B",
            COUNTS,
            messages::permits,
        ),
        change: series("change", "adapter", "B", &[1, 2, 4, 8], change),
        snapshot: series("snapshot", "adapter", "B", ADAPTERS, snapshot),
    }
}

fn times() -> Times {
    println!("Times");
    let replicas = &[4, 16, 64, 256];
    let pool = |n| Body::Pool(messages::pool(n, READY));
    let publish = |n| times::encode(pool(n));
    let decode = |n| times::decode(pool(n));
    let usage = |n| times::decode(messages::usage(n));
    let times = Times {
        heartbeat: series("decode heartbeats", "member", "us", MEMBERS, times::hear),
        publish: series("encode pool state", "engine", "us", ENGINES, publish),
        pool: series("decode pool state", "engine", "us", ENGINES, decode),
        loads: series(
            "decode loads (trial)",
            "engine",
            "us",
            ENGINES,
            times::loads,
        ),
        usage: series("decode usage report", "replica", "us", USED, usage),
        uses: series("decode uses (trial)", "replica", "us", ENGINES, times::uses),
        report: series("parse a report", "resident", "us", RESIDENTS, times::report),
        routing: series("routing", "replica", "us", replicas, times::routing),
        placement: series("placement", "engine", "us", FLEET, times::placement),
        pinning: series("pinning, 50 engines", "adapter", "us", OWN, times::pinning),
        verdicts: series("verdicts on sleep", "resident", "us", OWN, times::verdicts),
        permit: series("permit", "waiting load", "us", COUNTS, times::permit),
        change: series("apply a change", "adapter", "us", ADAPTERS, times::change),
        snapshot: series("read a snapshot", "adapter", "us", ADAPTERS, times::restore),
        scan: series(
            "pass over the models",
            "adapter",
            "us",
            ADAPTERS,
            times::scan,
        ),
    };
    series("write a snapshot", "adapter", "us", ADAPTERS, times::write);
    times
}

fn heap() -> Heap {
    println!("Memory, bytes of the heap");
    let config = |n| memory::bytes(|| state::current(n));
    let histories = |n| memory::bytes(|| state::histories(n));
    let pool = |n| memory::bytes(|| messages::pool(n, READY));
    let permits = |n| memory::bytes(|| scene::permits(n));
    let peak = "peak of reading a snapshot";
    Heap {
        config: series("configuration", "adapter", "B", ADAPTERS, config),
        snapshot: series(peak, "adapter", "B", ADAPTERS, reading),
        change: series(
            "peak of applying a change",
            "adapter",
            "B",
            ADAPTERS,
            changing,
        ),
        histories: series("histories", "model", "B", ADAPTERS, histories),
        pool: series("decoded pool state", "engine", "B", ENGINES, pool),
        permits: series("waiting permits", "load", "B", COUNTS, permits),
    }
}

/// Peak memory of reading a snapshot, its text apart.
fn reading(adapters: usize) -> f64 {
    let text = state::document(adapters).to_string();
    memory::peak(|| {
        let document = serde_json::from_str(&text).expect("the document is JSON");
        let mut current = ActiveConfig::default();
        current.restore(1, &document).map(|_| current)
    })
}

/// Peak memory of applying a change.
fn changing(adapters: usize) -> f64 {
    let current = state::current(adapters);
    let entry = state::entry(1, 1);
    memory::peak(|| current.clone().apply(&entry))
}

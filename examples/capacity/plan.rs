//! The next mechanism, memory and rare events at the size to design for.

use crate::costs::{Costs, READY};
use crate::rates::*;
use crate::scene::FULL;
use crate::state::POOL_ENGINES;

/// Prints traffic and processor time of the next mechanism.
pub fn next(c: &Costs) {
    println!("Next mechanism: 8 near members, 10 daemons for each pool, loads each second");
    let engines = POOL_ENGINES as f64;
    let turns = 2.0 * wakes() / POOLS;
    let beats = 2.0 * NEXT_BEATS * c.bytes.heartbeat.at(NEAR);
    let hear = NEXT_BEATS * c.times.heartbeat.at(NEAR);
    let mut sum = load("any daemon: heartbeats, sent and received", beats, hear);
    sum += load(
        "any daemon: changes, received and passed on to 8",
        CHANGES * (1.0 + NEAR) * c.bytes.change.at(1.0),
        CHANGES * c.times.change.at(FULL.adapters as f64),
    );
    sum += load(
        "entry: loads and replicas of its pool received",
        NEXT_STATES * c.bytes.loads.at(engines) + turns * c.bytes.pool.at(1.0),
        NEXT_STATES * c.times.loads.at(engines) + turns * c.times.pool.at(1.0),
    );
    sum += load(
        "entry: usage sent",
        NEXT_USAGES * c.bytes.uses.at(engines),
        0.0,
    );
    sum += load(
        "entry: routing",
        0.0,
        4_100.0 / DAEMONS * c.times.routing.at(24.0),
    );
    sum += load(
        "owner: loads and replicas sent",
        SERVING * (NEXT_STATES * c.bytes.loads.at(engines) + turns * c.bytes.pool.at(1.0)),
        NEXT_STATES * c.times.publish.at(engines),
    );
    sum += load(
        "owner: usage received",
        SERVING * NEXT_USAGES * c.bytes.uses.at(engines),
        SERVING * NEXT_USAGES * c.times.uses.at(engines),
    );
    sum += load(
        "owner: reports polled",
        engines * NEXT_POLLS * c.bytes.report.at(READY as f64),
        engines * NEXT_POLLS * c.times.report.at(READY as f64),
    );
    sum += load(
        "owner: wants and verdicts",
        BURST * wakes() / POOLS * c.bytes.want.slope,
        0.0,
    );
    sum += load("owner: decisions", 0.0, decisions(c));
    sum += load(
        "permit holder: ask to return",
        wakes() * c.bytes.permit.slope,
        wakes() * c.times.permit.at(100.0),
    );
    load("one daemon in all these roles", sum, 0.0);
}

/// Prints the memory of a daemon.
pub fn memory(c: &Costs) {
    println!("Memory");
    let adapters = FULL.adapters as f64;
    let all = (FULL.models + FULL.adapters) as f64;
    let mb = |bytes: f64| bytes / 1e6;
    line("configuration", mb(c.heap.config.at(adapters)), "MB");
    line(
        "applying a change, beside it",
        mb(c.heap.change.at(adapters)),
        "MB",
    );
    line("snapshot text", mb(c.bytes.snapshot.at(adapters)), "MB");
    line(
        "reading a snapshot, beside its text",
        mb(c.heap.snapshot.at(adapters)),
        "MB",
    );
    line(
        "histories, one pool",
        mb(c.heap.histories.at(all / POOLS)),
        "MB",
    );
    line("histories, all", mb(c.heap.histories.at(all)), "MB");
    line(
        "view of all pools",
        mb(c.heap.pool.at(FULL.engines as f64)),
        "MB",
    );
    line(
        "view of one pool",
        mb(c.heap.pool.at(POOL_ENGINES as f64)),
        "MB",
    );
    line(
        "permits, 1,000 waiting",
        mb(c.heap.permits.at(1_000.0)),
        "MB",
    );
    println!("Time");
    line(
        "reading a snapshot",
        c.times.snapshot.at(adapters) / 1e3,
        "ms",
    );
    line("applying a change", c.times.change.at(adapters) / 1e3, "ms");
}

/// Prints rates and what failures cost.
pub fn rare(c: &Costs) {
    println!("Rates and rare events");
    let pins = (FULL.models + FULL.adapters) as f64 / DOMAINS;
    line("models that wake a second", wakes(), "");
    line("changes a second", CHANGES, "");
    line(
        "table writes a second for changes (head and log)",
        2.0 * CHANGES,
        "",
    );
    line(
        "table reads a second when 460 daemons poll the head each 10 s",
        DAEMONS / 10.0,
        "",
    );
    line("a failure domain goes: pins to move", pins, "");
    line(
        "a failure domain goes: time at 300 writes/s",
        pins / WRITES,
        "s",
    );
    line("a failure domain goes: pools to claim", POOLS / DOMAINS, "");
    line(
        "a snapshot for each of 33 daemons of a domain",
        DAEMONS / DOMAINS * c.bytes.snapshot.at(FULL.adapters as f64) / 1e6,
        "MB",
    );
    line(
        "calls that may not be repeated at 300 writes/s, two writes each",
        WRITES / 2.0,
        "/s",
    );
}

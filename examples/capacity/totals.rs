//! The size to design for, worked out from the lines.

use crate::costs::{Costs, READY};
use crate::plan::{memory, next, rare};
use crate::rates::*;
use crate::scene::FULL;
use crate::state::POOL_ENGINES;

/// Prints all totals.
pub fn print(costs: &Costs) {
    println!(
        "Size to design for: 460 daemons, 46 pools of 50 engines, 140 models, 27,000 adapters"
    );
    today(costs);
    small(costs);
    breaks(costs);
    next(costs);
    memory(costs);
    rare(costs);
}

fn today(c: &Costs) {
    println!("Today's mechanism: full mesh, every pool state to every daemon");
    let peers = DAEMONS - 1.0;
    let engines = POOL_ENGINES as f64;
    let used = (STREAMS / DAEMONS / POOLS).round();
    load(
        "heartbeats, sent and received",
        2.0 * BEATS * c.bytes.heartbeat.at(peers),
        BEATS * c.times.heartbeat.at(peers),
    );
    load(
        "entry: pool states received",
        POOLS * STATES * c.bytes.pool.at(engines),
        POOLS * STATES * c.times.pool.at(engines),
    );
    load(
        "entry: usage sent",
        POOLS * USAGES * c.bytes.usage.at(used),
        0.0,
    );
    load(
        "owner: pool states sent",
        peers * STATES * c.bytes.pool.at(engines),
        STATES * c.times.publish.at(engines),
    );
    load(
        "owner: usage received",
        peers * USAGES * c.bytes.usage.at(used),
        peers * USAGES * c.times.usage.at(used),
    );
    load(
        "owner: reports polled",
        engines * POLLS * c.bytes.report.at(READY as f64),
        engines * POLLS * c.times.report.at(READY as f64),
    );
    load(
        "owner: pass over all models in each step",
        0.0,
        STEPS * c.times.scan.at(FULL.adapters as f64),
    );
    load("owner: decisions", 0.0, decisions(c));
    load(
        "accepting daemon: changes pushed to all",
        CHANGES * peers * c.bytes.change.at(1.0),
        0.0,
    );
    load(
        "any daemon: changes applied",
        CHANGES * c.bytes.change.at(1.0),
        CHANGES * c.times.change.at(FULL.adapters as f64),
    );
}

fn small(c: &Costs) {
    println!("Today's mechanism at today's size: 5 daemons, pools of 12 and 4 engines");
    let peers = 4.0;
    let states = c.bytes.pool.at(12.0) + c.bytes.pool.at(4.0);
    load(
        "heartbeats, sent and received",
        2.0 * BEATS * c.bytes.heartbeat.at(peers),
        BEATS * c.times.heartbeat.at(peers),
    );
    load(
        "owner of both: pool states sent",
        peers * STATES * states,
        STATES * c.times.publish.at(16.0),
    );
    load(
        "owner of both: reports polled",
        16.0 * POLLS * c.bytes.report.at(READY as f64),
        16.0 * POLLS * c.times.report.at(READY as f64),
    );
    load(
        "entry: pool states received",
        STATES * states,
        STATES * c.times.pool.at(16.0),
    );
}

fn breaks(c: &Costs) {
    println!("Where today's mechanism passes 5 KB/s or 2.1 % of a core");
    let state = STATES * c.bytes.pool.at(POOL_ENGINES as f64);
    let small = STATES * c.bytes.pool.at(16.0);
    let full = FULL.adapters as f64;
    line(
        "heartbeats: daemons",
        1.0 + BYTES / (2.0 * BEATS * c.bytes.heartbeat.slope),
        "",
    );
    line(
        "pool states received: engines in all",
        POOL_ENGINES as f64 * BYTES / state,
        "",
    );
    line(
        "pool states sent, 50 engines: daemons",
        1.0 + BYTES / state,
        "",
    );
    line(
        "pool states sent, 16 engines: daemons",
        1.0 + BYTES / small,
        "",
    );
    line(
        "reports polled: engines of an owner",
        BYTES / (POLLS * c.bytes.report.at(READY as f64)),
        "",
    );
    line(
        "pass in each step: adapters",
        (MICROS / STEPS - c.times.scan.base) / c.times.scan.slope,
        "",
    );
    line(
        "changes applied: a second",
        MICROS / c.times.change.at(full),
        "",
    );
    line(
        "changes pushed to all by one daemon: a second",
        BYTES / ((DAEMONS - 1.0) * c.bytes.change.at(1.0)),
        "",
    );
}

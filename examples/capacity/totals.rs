//! Total costs at the target size, extrapolated from the fitted lines.

use crate::costs::{Costs, READY_MODELS};
use crate::projection::{print_memory, print_next, print_rates};
use crate::rates::*;
use crate::scene::FULL;
use crate::state::POOL_ENGINES;

/// Prints all totals.
pub fn print_totals(costs: &Costs) {
    println!(
        "Size to design for: 460 daemons, 46 pools of 50 engines, 140 models, 27,000 adapters"
    );
    print_today(costs);
    print_small(costs);
    print_limits(costs);
    print_next(costs);
    print_memory(costs);
    print_rates(costs);
}

fn print_today(c: &Costs) {
    println!("Today's mechanism: full mesh, every pool state to every daemon");
    let peers = DAEMONS - 1.0;
    let engines = POOL_ENGINES as f64;
    // Streams of a daemon per pool, taken as the replicas in its usage report.
    let used = (PEAK_STREAMS / DAEMONS / POOLS).round();
    print_cost(
        "heartbeats, sent and received",
        2.0 * HEARTBEATS_PER_S * c.bytes.heartbeat.value(peers),
        HEARTBEATS_PER_S * c.times.heartbeat.value(peers),
    );
    print_cost(
        "entry: pool states received",
        POOLS * STATES_PER_S * c.bytes.pool_state.value(engines),
        POOLS * STATES_PER_S * c.times.pool_state.value(engines),
    );
    print_cost(
        "entry: usage sent",
        POOLS * USAGES_PER_S * c.bytes.usage.value(used),
        0.0,
    );
    print_cost(
        "owner: pool states sent",
        peers * STATES_PER_S * c.bytes.pool_state.value(engines),
        STATES_PER_S * c.times.state_encoding.value(engines),
    );
    print_cost(
        "owner: usage received",
        peers * USAGES_PER_S * c.bytes.usage.value(used),
        peers * USAGES_PER_S * c.times.usage.value(used),
    );
    print_cost(
        "owner: reports polled",
        engines * POLLS_PER_S * c.bytes.engine_report.value(READY_MODELS as f64),
        engines * POLLS_PER_S * c.times.engine_report.value(READY_MODELS as f64),
    );
    print_cost(
        "owner: pass over all models in each step",
        0.0,
        STEPS_PER_S * c.times.model_scan.value(FULL.adapters as f64),
    );
    print_cost("owner: decisions", 0.0, decision_time_us(c));
    print_cost(
        "accepting daemon: changes pushed to all",
        CHANGES_PER_S * peers * c.bytes.change.value(1.0),
        0.0,
    );
    print_cost(
        "any daemon: changes applied",
        CHANGES_PER_S * c.bytes.change.value(1.0),
        CHANGES_PER_S * c.times.change.value(FULL.adapters as f64),
    );
}

fn print_small(c: &Costs) {
    println!("Today's mechanism at today's size: 5 daemons, pools of 12 and 4 engines");
    let peers = 4.0;
    let states = c.bytes.pool_state.value(12.0) + c.bytes.pool_state.value(4.0);
    print_cost(
        "heartbeats, sent and received",
        2.0 * HEARTBEATS_PER_S * c.bytes.heartbeat.value(peers),
        HEARTBEATS_PER_S * c.times.heartbeat.value(peers),
    );
    print_cost(
        "owner of both: pool states sent",
        peers * STATES_PER_S * states,
        STATES_PER_S * c.times.state_encoding.value(16.0),
    );
    print_cost(
        "owner of both: reports polled",
        16.0 * POLLS_PER_S * c.bytes.engine_report.value(READY_MODELS as f64),
        16.0 * POLLS_PER_S * c.times.engine_report.value(READY_MODELS as f64),
    );
    print_cost(
        "entry: pool states received",
        STATES_PER_S * states,
        STATES_PER_S * c.times.pool_state.value(16.0),
    );
}

fn print_limits(c: &Costs) {
    println!("Where today's mechanism passes 5 KB/s or 2.1 % of a core");
    let state = STATES_PER_S * c.bytes.pool_state.value(POOL_ENGINES as f64);
    let small = STATES_PER_S * c.bytes.pool_state.value(16.0);
    let full = FULL.adapters as f64;
    print_value(
        "heartbeats: daemons",
        1.0 + BUDGET_BYTES_PER_S / (2.0 * HEARTBEATS_PER_S * c.bytes.heartbeat.slope),
        "",
    );
    print_value(
        "pool states received: engines in all",
        POOL_ENGINES as f64 * BUDGET_BYTES_PER_S / state,
        "",
    );
    print_value(
        "pool states sent, 50 engines: daemons",
        1.0 + BUDGET_BYTES_PER_S / state,
        "",
    );
    print_value(
        "pool states sent, 16 engines: daemons",
        1.0 + BUDGET_BYTES_PER_S / small,
        "",
    );
    print_value(
        "reports polled: engines of an owner",
        BUDGET_BYTES_PER_S / (POLLS_PER_S * c.bytes.engine_report.value(READY_MODELS as f64)),
        "",
    );
    print_value(
        "pass in each step: adapters",
        (BUDGET_US_PER_S / STEPS_PER_S - c.times.model_scan.intercept) / c.times.model_scan.slope,
        "",
    );
    print_value(
        "changes applied: a second",
        BUDGET_US_PER_S / c.times.change.value(full),
        "",
    );
    print_value(
        "changes pushed to all by one daemon: a second",
        BUDGET_BYTES_PER_S / ((DAEMONS - 1.0) * c.bytes.change.value(1.0)),
        "",
    );
}

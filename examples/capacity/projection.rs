//! Costs of the next mechanism, memory and rare events at the target size.

use crate::costs::{Costs, READY_MODELS};
use crate::rates::*;
use crate::scene::FULL;
use crate::state::POOL_ENGINES;

/// Prints bandwidth and processor time of the next mechanism.
pub fn print_next(c: &Costs) {
    println!("Next mechanism: 8 near members, 10 daemons for each pool, loads each second");
    let engines = POOL_ENGINES as f64;
    // Loads and unloads per second in one pool.
    let turnovers = 2.0 * model_loads_per_s() / POOLS;
    let heartbeats = 2.0 * NEXT_HEARTBEATS_PER_S * c.bytes.heartbeat.value(NEAR_MEMBERS);
    let decoding = NEXT_HEARTBEATS_PER_S * c.times.heartbeat.value(NEAR_MEMBERS);
    let mut sum = print_cost(
        "any daemon: heartbeats, sent and received",
        heartbeats,
        decoding,
    );
    sum += print_cost(
        "any daemon: changes, received and passed on to 8",
        CHANGES_PER_S * (1.0 + NEAR_MEMBERS) * c.bytes.change.value(1.0),
        CHANGES_PER_S * c.times.change.value(FULL.adapters as f64),
    );
    sum += print_cost(
        "entry: loads and replicas of its pool received",
        NEXT_STATES_PER_S * c.bytes.trial_loads.value(engines)
            + turnovers * c.bytes.pool_state.value(1.0),
        NEXT_STATES_PER_S * c.times.trial_loads.value(engines)
            + turnovers * c.times.pool_state.value(1.0),
    );
    sum += print_cost(
        "entry: usage sent",
        NEXT_USAGES_PER_S * c.bytes.trial_uses.value(engines),
        0.0,
    );
    // 4,100 routing decisions per second in the deployment, 24 replicas each.
    sum += print_cost(
        "entry: routing",
        0.0,
        4_100.0 / DAEMONS * c.times.routing.value(24.0),
    );
    sum += print_cost(
        "owner: loads and replicas sent",
        SERVING_DAEMONS
            * (NEXT_STATES_PER_S * c.bytes.trial_loads.value(engines)
                + turnovers * c.bytes.pool_state.value(1.0)),
        NEXT_STATES_PER_S * c.times.state_encoding.value(engines),
    );
    sum += print_cost(
        "owner: usage received",
        SERVING_DAEMONS * NEXT_USAGES_PER_S * c.bytes.trial_uses.value(engines),
        SERVING_DAEMONS * NEXT_USAGES_PER_S * c.times.trial_uses.value(engines),
    );
    sum += print_cost(
        "owner: reports polled",
        engines * NEXT_POLLS_PER_S * c.bytes.engine_report.value(READY_MODELS as f64),
        engines * NEXT_POLLS_PER_S * c.times.engine_report.value(READY_MODELS as f64),
    );
    sum += print_cost(
        "owner: wants and verdicts",
        WAITING_PER_LOAD * model_loads_per_s() / POOLS * c.bytes.replica_request.slope,
        0.0,
    );
    sum += print_cost("owner: decisions", 0.0, decision_time_us(c));
    sum += print_cost(
        "permit holder: ask to return",
        model_loads_per_s() * c.bytes.permit.slope,
        model_loads_per_s() * c.times.permit.value(100.0),
    );
    print_cost("one daemon in all these roles", sum, 0.0);
}

/// Prints the memory of a daemon.
pub fn print_memory(c: &Costs) {
    println!("Memory");
    let adapters = FULL.adapters as f64;
    let all = (FULL.models + FULL.adapters) as f64;
    let mb = |bytes: f64| bytes / 1e6;
    print_value("configuration", mb(c.heap.config.value(adapters)), "MB");
    print_value(
        "applying a change, beside it",
        mb(c.heap.change.value(adapters)),
        "MB",
    );
    print_value("snapshot text", mb(c.bytes.snapshot.value(adapters)), "MB");
    print_value(
        "reading a snapshot, beside its text",
        mb(c.heap.snapshot.value(adapters)),
        "MB",
    );
    print_value(
        "histories, one pool",
        mb(c.heap.histories.value(all / POOLS)),
        "MB",
    );
    print_value("histories, all", mb(c.heap.histories.value(all)), "MB");
    print_value(
        "view of all pools",
        mb(c.heap.pool_state.value(FULL.engines as f64)),
        "MB",
    );
    print_value(
        "view of one pool",
        mb(c.heap.pool_state.value(POOL_ENGINES as f64)),
        "MB",
    );
    print_value(
        "permits, 1,000 waiting",
        mb(c.heap.permits.value(1_000.0)),
        "MB",
    );
    println!("Time");
    print_value(
        "reading a snapshot",
        c.times.snapshot.value(adapters) / 1e3,
        "ms",
    );
    print_value(
        "applying a change",
        c.times.change.value(adapters) / 1e3,
        "ms",
    );
}

/// Prints event rates and the costs of failures.
pub fn print_rates(c: &Costs) {
    println!("Rates and rare events");
    let pins = (FULL.models + FULL.adapters) as f64 / DOMAINS;
    print_value("models that wake a second", model_loads_per_s(), "");
    print_value("changes a second", CHANGES_PER_S, "");
    print_value(
        "table writes a second for changes (head and log)",
        2.0 * CHANGES_PER_S,
        "",
    );
    print_value(
        "table reads a second when 460 daemons poll the head each 10 s",
        DAEMONS / 10.0,
        "",
    );
    print_value("a failure domain goes: pins to move", pins, "");
    print_value(
        "a failure domain goes: time at 300 writes/s",
        pins / WRITES_PER_S,
        "s",
    );
    print_value("a failure domain goes: pools to claim", POOLS / DOMAINS, "");
    print_value(
        "a snapshot for each of 33 daemons of a domain",
        DAEMONS / DOMAINS * c.bytes.snapshot.value(FULL.adapters as f64) / 1e6,
        "MB",
    );
    print_value(
        "calls that may not be repeated at 300 writes/s, two writes each",
        WRITES_PER_S / 2.0,
        "/s",
    );
}

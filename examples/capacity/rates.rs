//! Rates and budgets at the target size. "Next mechanism" marks the values of the
//! protocol with near members and trial messages; [`crate::projection`] prints its cost.

use crate::costs::Costs;
use crate::scene::FULL;
use crate::state::POOL_ENGINES;

/// Daemons.
pub const DAEMONS: f64 = 460.0;
/// Pools of [`POOL_ENGINES`] engines.
pub const POOLS: f64 = 46.0;
/// Configuration changes per second.
pub const CHANGES_PER_S: f64 = 6_600.0 / 86_400.0;
/// Fraction of the models that are loaded or unloaded within an hour.
pub const HOURLY_TURNOVER: f64 = 0.21;
/// Requests that wait at the same time for an unloaded model.
pub const WAITING_PER_LOAD: f64 = 20.0;
/// Streams at the peak: tokens per second, times the seconds per token of a stream.
pub const PEAK_STREAMS: f64 = 1_500_000.0 * 0.080;
/// Failure domains.
pub const DOMAINS: f64 = 14.0;

/// Heartbeats per second.
pub const HEARTBEATS_PER_S: f64 = 2.0;
/// Minimum number of pool states per second.
pub const STATES_PER_S: f64 = 4.0;
/// Usage reports per second to each owner: periodic ones and acknowledgements.
pub const USAGES_PER_S: f64 = 9.0;
/// Minimum number of steps of a pool per second.
pub const STEPS_PER_S: f64 = 50.0;
/// Rounds of pinning and unload decisions per second.
pub const ROUNDS_PER_S: f64 = 5.0;

/// Network budget of a daemon, bytes per second.
pub const BUDGET_BYTES_PER_S: f64 = 5_000.0;
/// Processor time budget of a daemon, µs per second.
pub const BUDGET_US_PER_S: f64 = 21_000.0;

/// Members that a daemon exchanges heartbeats with, next mechanism.
pub const NEAR_MEMBERS: f64 = 8.0;
/// Daemons that serve a pool, next mechanism.
pub const SERVING_DAEMONS: f64 = 10.0;
/// Heartbeats per second, next mechanism.
pub const NEXT_HEARTBEATS_PER_S: f64 = 1.0;
/// Messages with the engine loads of a pool per second, next mechanism.
pub const NEXT_STATES_PER_S: f64 = 1.0;
/// Usage reports per second, next mechanism.
pub const NEXT_USAGES_PER_S: f64 = 0.5;
/// Polls of an engine's report per second.
pub const POLLS_PER_S: f64 = 5.0;
/// Polls of an engine's report per second, next mechanism: load is the sum of
/// the usage reports, and the poll only checks it.
pub const NEXT_POLLS_PER_S: f64 = 1.0 / 60.0;
/// Table writes per second that the platform supports; an assumption.
pub const WRITES_PER_S: f64 = 300.0;

/// Returns the decision time of the owner of one pool, µs per second.
pub fn decision_time_us(c: &Costs) -> f64 {
    let residents = (FULL.models + FULL.adapters) as f64 / POOLS;
    let loads = model_loads_per_s() / POOLS;
    ROUNDS_PER_S * (c.times.pinning.value(residents) + c.times.unload_decisions.value(residents))
        + loads * c.times.placement.value(POOL_ENGINES as f64)
}

/// Returns the models loaded per second: half of those loaded or unloaded.
pub fn model_loads_per_s() -> f64 {
    HOURLY_TURNOVER * (FULL.models + FULL.adapters) as f64 / 3_600.0 / 2.0
}

/// Prints a value with its unit.
pub fn print_value(what: &str, value: f64, unit: &str) {
    println!("  {what}: {value:.3} {unit}");
}

/// Prints bytes and processor time per second with their fractions of the
/// budgets; returns the bytes.
pub fn print_cost(what: &str, bytes: f64, micros: f64) -> f64 {
    let core = micros / 1e4;
    let (b, m) = (bytes / BUDGET_BYTES_PER_S, micros / BUDGET_US_PER_S);
    println!("  {what}: {bytes:.0} B/s ({b:.3} of the budget), {core:.4} % of a core ({m:.3})");
    bytes
}

//! Rates and budgets of the size to design for.

use crate::costs::Costs;
use crate::scene::FULL;
use crate::state::POOL_ENGINES;

/// Daemons.
pub const DAEMONS: f64 = 460.0;
/// Pools of [`POOL_ENGINES`] engines.
pub const POOLS: f64 = 46.0;
/// Configuration changes a second.
pub const CHANGES: f64 = 6_600.0 / 86_400.0;
/// Share of the models that wake or fall asleep within an hour.
pub const TURNOVER: f64 = 0.21;
/// Requests that want a sleeping model at once.
pub const BURST: f64 = 20.0;
/// Streams at the peak: tokens a second over tokens a second of a stream.
pub const STREAMS: f64 = 1_500_000.0 * 0.080;
/// Failure domains.
pub const DOMAINS: f64 = 14.0;

/// Heartbeats a second.
pub const BEATS: f64 = 2.0;
/// Pool states a second, at least.
pub const STATES: f64 = 4.0;
/// Usage reports a second to each owner: periodic ones and acknowledgements.
pub const USAGES: f64 = 9.0;
/// Steps of a pool a second, at least.
pub const STEPS: f64 = 50.0;
/// Rounds of pinning and sleep a second.
pub const ROUNDS: f64 = 5.0;

/// Budget of a daemon, bytes a second.
pub const BYTES: f64 = 5_000.0;
/// Budget of a daemon, µs of processor time a second.
pub const MICROS: f64 = 21_000.0;

/// Members that a daemon exchanges heartbeats with, next mechanism.
pub const NEAR: f64 = 8.0;
/// Daemons that serve a pool, next mechanism.
pub const SERVING: f64 = 10.0;
/// Heartbeats a second, next mechanism.
pub const NEXT_BEATS: f64 = 1.0;
/// Load states a second, next mechanism.
pub const NEXT_STATES: f64 = 1.0;
/// Usage reports a second, next mechanism.
pub const NEXT_USAGES: f64 = 0.5;
/// Polls of an engine's report a second.
pub const POLLS: f64 = 5.0;
/// Polls of an engine's report a second, next mechanism: load is the sum of
/// the usage reports, and the poll only checks it.
pub const NEXT_POLLS: f64 = 1.0 / 60.0;
/// Table writes a second that the platform carries, taken as.
pub const WRITES: f64 = 300.0;

/// Decisions of the owner of one pool, µs a second.
pub fn decisions(c: &Costs) -> f64 {
    let residents = (FULL.models + FULL.adapters) as f64 / POOLS;
    let wakes = wakes() / POOLS;
    ROUNDS * (c.times.pinning.at(residents) + c.times.verdicts.at(residents))
        + wakes * c.times.placement.at(POOL_ENGINES as f64)
}

/// Models that wake a second: half of those that wake or fall asleep.
pub fn wakes() -> f64 {
    TURNOVER * (FULL.models + FULL.adapters) as f64 / 3_600.0 / 2.0
}

/// Prints a figure with its unit.
pub fn line(what: &str, value: f64, unit: &str) {
    println!("  {what}: {value:.3} {unit}");
}

/// Prints bytes and processor time a second beside their budgets; answers
/// the bytes.
pub fn load(what: &str, bytes: f64, micros: f64) -> f64 {
    let core = micros / 1e4;
    let (b, m) = (bytes / BYTES, micros / MICROS);
    println!("  {what}: {bytes:.0} B/s ({b:.3} of the budget), {core:.4} % of a core ({m:.3})");
    bytes
}

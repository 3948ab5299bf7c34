//! Replays request arrivals of single models through the unload decision and
//! compares its cost with fixed keep-alive times and with the minimum possible.
//! Covers the decision only: no engines, queues or shared memory.
//! Run with `cargo run --release --example replay`.

mod replay;
mod trace;

use mastichinge::config::{Policy, Strategy};

use replay::ReplayResult;
use trace::ArrivalPattern;

/// Random seed of the arrivals.
const SEED: u64 = 7;
/// Models per arrival pattern.
const MODELS_PER_PATTERN: usize = 40;

/// A policy to compare.
struct PolicyVariant {
    name: &'static str,
    strategy: Strategy,
    /// Not read by [`Strategy::Adaptive`] and [`Strategy::Never`].
    keepalive_s: u64,
}

const POLICIES: &[PolicyVariant] = &[
    variant("adaptive", Strategy::Adaptive, 0),
    variant("keep 1 min", Strategy::KeepAlive, 60),
    variant("keep 10 min", Strategy::KeepAlive, 600),
    variant("keep 1 h", Strategy::KeepAlive, 3_600),
    variant("never", Strategy::Never, 0),
];

const fn variant(name: &'static str, strategy: Strategy, keepalive_s: u64) -> PolicyVariant {
    PolicyVariant {
        name,
        strategy,
        keepalive_s,
    }
}

fn main() {
    println!(
        "seed {SEED}, {MODELS_PER_PATTERN} models of each kind, {} days",
        trace::DAYS
    );
    for idle_weight in [1.0, 40.0, 240.0] {
        println!("idle weight {idle_weight}, tail weight 1");
        for pattern in ArrivalPattern::ALL {
            compare_policies(*pattern, idle_weight);
        }
    }
}

fn compare_policies(pattern: ArrivalPattern, idle_weight: f64) {
    for variant in POLICIES {
        let policy = Policy {
            idle_weight,
            strategy: variant.strategy,
            keepalive_ms: variant.keepalive_s * 1_000,
            ..Policy::default()
        };
        let mut sum = ReplayResult::default();
        for model in 0..MODELS_PER_PATTERN {
            let arrivals = trace::generate_arrivals(pattern, SEED + model as u64);
            sum.add(&replay::replay_arrivals(&arrivals, &policy));
        }
        println!(
            "  {pattern:8} {:11}: {:6} requests, {:5.2} % cold, {:8.0} idle accelerator h, {:.2} times the least cost",
            variant.name,
            sum.requests,
            100.0 * f64::from(sum.cold_starts) / f64::from(sum.requests.max(1)),
            sum.idle_seconds / 3_600.0,
            sum.cost / sum.optimal_cost,
        );
    }
}

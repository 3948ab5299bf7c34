//! Replays arrivals of single models through the decision on sleep and
//! compares its cost with fixed keep-alive times and with the least possible.
//! It covers the decision alone: no engines, no queues, no shared memory.
//! Run with `cargo run --release --example replay`.

mod replay;
mod trace;

use mastichinge::config::{Policy, Strategy};

use replay::Outcome;
use trace::Kind;

/// Seed of the arrivals.
const SEED: u64 = 7;
/// Models of each kind.
const MODELS: usize = 40;

/// A policy under comparison.
struct Contender {
    name: &'static str,
    strategy: Strategy,
    keepalive_s: u64,
}

const CONTENDERS: &[Contender] = &[
    contender("adaptive", Strategy::Adaptive, 0),
    contender("keep 1 min", Strategy::KeepAlive, 60),
    contender("keep 10 min", Strategy::KeepAlive, 600),
    contender("keep 1 h", Strategy::KeepAlive, 3_600),
    contender("never", Strategy::Never, 0),
];

const fn contender(name: &'static str, strategy: Strategy, keepalive_s: u64) -> Contender {
    Contender {
        name,
        strategy,
        keepalive_s,
    }
}

fn main() {
    println!(
        "seed {SEED}, {MODELS} models of each kind, {} days",
        trace::DAYS
    );
    for idle_weight in [1.0, 40.0, 240.0] {
        println!("idle weight {idle_weight}, tail weight 1");
        for kind in Kind::ALL {
            compare(*kind, idle_weight);
        }
    }
}

fn compare(kind: Kind, idle_weight: f64) {
    for contender in CONTENDERS {
        let policy = Policy {
            idle_weight,
            strategy: contender.strategy,
            keepalive_ms: contender.keepalive_s * 1_000,
            ..Policy::default()
        };
        let mut sum = Outcome::default();
        for model in 0..MODELS {
            let arrivals = trace::arrivals(kind, SEED + model as u64);
            sum.add(&replay::run(&arrivals, &policy));
        }
        println!(
            "  {kind:8} {:11}: {:6} requests, {:5.2} % cold, {:8.0} idle accelerator h, {:.2} times the least cost",
            contender.name,
            sum.requests,
            100.0 * f64::from(sum.cold) / f64::from(sum.requests.max(1)),
            sum.idle / 3_600.0,
            sum.cost / sum.least,
        );
    }
}

//! Prints the figures of a run.

use serde_json::json;

use super::RunOptions;
use super::figures::{Figures, Spread};
use super::firm::{DAEMON_COUNT, FirmPlan};

/// Prints the figures as a table, or as JSON with `--json`.
pub fn print(run: &RunOptions, plan: &FirmPlan, figures: &Figures) {
    if run.json {
        println!(
            "{}",
            json!({
                "firm": run.firm.to_string(), "scenario": run.scenario.to_string(),
                "policy": run.policy.to_string(), "seed": run.seed, "scale": run.scale,
                "figures": figures,
            })
        );
        return;
    }
    println!(
        "{} {} {} seed {} scale {}: {DAEMON_COUNT} daemons, {} engines, {} models and adapters",
        run.firm,
        run.scenario,
        run.policy,
        run.seed,
        run.scale,
        plan.config.engines.len(),
        plan.models.len()
    );
    let policy = &plan.config.policy;
    println!(
        "  keep-alive {} ms, idle weight {:.0}, load {:.0} ms, store {:.1}/s",
        policy.keepalive_ms,
        policy.idle_weight,
        plan.load_times.remote.as_secs_f64() * plan.scale * 1_000.0,
        plan.store.models_per_s / plan.scale
    );
    println!(
        "  requests {} served {} refused {:?} lost {} wrong {} resent {}",
        figures.requests,
        figures.served,
        figures.refused,
        figures.lost,
        figures.wrong,
        figures.resent
    );
    println!(
        "  overcommits {} cuts {:?} surplus replicas {}",
        figures.overcommits, figures.cuts, figures.surplus
    );
    println!("  refused by model {:?}", figures.starved);
    print_spread("cold start", figures.cold);
    print_spread("least possible", figures.least);
    let ratio = |value: u64, bound: u64| value as f64 / bound.max(1) as f64;
    println!(
        "  ratio p50 {:.2} p99 {:.2} max {:.2}",
        ratio(figures.cold.p50, figures.least.p50),
        ratio(figures.cold.p99, figures.least.p99),
        ratio(figures.cold.max, figures.least.max)
    );
    println!(
        "  idle accelerator seconds {:.0}, unused by share of memory {:.0}",
        figures.idle, figures.unused
    );
    match figures.ideal {
        Some(ideal) => println!(
            "  worth {:.0} of ideal {ideal:.0}: {:.3}",
            figures.worth,
            figures.worth / ideal
        ),
        None => println!("  worth {:.0}", figures.worth),
    }
    println!(
        "  store: models {:?}, adapters {:?}",
        figures.models, figures.adapters
    );
    let bytes = match figures.bytes {
        Some(bytes) => format!("{bytes:.0} B/s sent to others"),
        None => "bytes not counted".to_owned(),
    };
    println!("  each daemon: {bytes}, {:.3} cores", figures.cores);
}

fn print_spread(name: &str, spread: Spread) {
    println!(
        "  {name} ms: count {} p50 {} p99 {} max {}",
        spread.count, spread.p50, spread.p99, spread.max
    );
}

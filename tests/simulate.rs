//! Runs the edge daemons' decision code over simulated days of both firms.

#[path = "simulation/mod.rs"]
#[allow(dead_code)]
mod simulation;

use mastichinge::edge::settings::Settings;
use simulation::firm::Firm;
use simulation::lower_bound::LowerBound;
use simulation::simulator::{RequestEnd, Simulator};
use simulation::statistics::DayStatistics;
use simulation::workload::Day;
use test_case::test_case;

/// Seeds of the runs; each run prints its seed so that a failure can be repeated.
const SEEDS: [u64; 2] = [7, 8];

fn run_day(firm: &Firm, day: &str, seed: u64) -> Simulator {
    println!("{} {day} seed {seed}", firm.name);
    let day = Day::by_name(day).expect("a day");
    let mut simulator = Simulator::new(firm, &day, &Settings::default(), seed);
    simulator.run();
    simulator
}

fn firm(name: &str) -> Firm {
    Firm::by_name(name).expect("a firm")
}

/// Many rarely used models on few engines: the weight store's load rate stays
/// within its limit, every request ends, and no engine is ordered to load more
/// than its memory holds (the simulated engine panics).
#[test_case("harrowby", "quiet")]
#[test_case("harrowby", "scale")]
#[test_case("kunene", "scale")]
#[test_case("kunene", "overload")]
fn load_rate_and_memory_limits_hold(name: &str, day: &str) {
    let firm = firm(name);
    for seed in SEEDS {
        let simulator = run_day(&firm, day, seed);
        let unfinished = simulator
            .requests
            .iter()
            .filter(|r| r.end.is_none())
            .count();
        assert_eq!(unfinished, 0, "requests without an end");
        let window = std::time::Duration::from_secs(5);
        let max_loads = firm.loads_per_s * 5.0 * 1.1 + 3.0;
        for start in &simulator.counters.store_loads {
            let within = |s: &&std::time::Duration| **s >= *start && **s < *start + window;
            let count = simulator.counters.store_loads.iter().filter(within).count();
            assert!(count as f64 <= max_loads, "{count} loads within 5 s");
        }
    }
}

/// Demand that shifts between models without faults: over 95 % of requests are
/// served, every kind earns most of its worth, and the largest tenth of the
/// requests is not starved.
#[test_case("harrowby")]
#[test_case("kunene")]
fn quiet_day_serves_all_kinds_and_sizes(name: &str) {
    let firm = firm(name);
    for seed in SEEDS {
        let simulator = run_day(&firm, "quiet", seed);
        let statistics = DayStatistics::compute(&firm, &simulator);
        assert!(statistics.served_fraction > 0.95, "{statistics:?}");
        for row in &statistics.rows {
            assert!(row.worth > 0.8, "{row:?}");
        }
        let mut sized: Vec<_> = simulator.requests.iter().collect();
        sized.sort_by(|a, b| {
            let size = simulation::statistics::token_weight;
            size(a).total_cmp(&size(b))
        });
        let largest = &sized[sized.len() * 9 / 10..];
        let served = largest
            .iter()
            .filter(|r| r.end == Some(RequestEnd::Served))
            .count();
        let fraction = served as f64 / largest.len() as f64;
        assert!(
            fraction > statistics.served_fraction / 2.0,
            "{served} of {}",
            largest.len()
        );
    }
}

/// A burst of eight times the usual load: no kind of request starves, and a
/// second run with the same seed gives the same result.
#[test]
fn overload_starves_no_kind_and_is_reproducible() {
    let firm = firm("kunene");
    let simulator = run_day(&firm, "overload", SEEDS[0]);
    let statistics = DayStatistics::compute(&firm, &simulator);
    for row in &statistics.rows {
        let served = f64::from(row.counts[1] + row.counts[2]) / f64::from(row.counts[0]);
        assert!(served > statistics.served_fraction / 4.0, "{row:?}");
    }
    let again = DayStatistics::compute(&firm, &run_day(&firm, "overload", SEEDS[0]));
    assert_eq!(statistics.worth, again.worth);
    let bound = LowerBound::compute(&firm, &simulator);
    assert!(bound.utilization > 0.3, "{bound:?}");
}

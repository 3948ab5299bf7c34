//! Simulates days of the firms with the edge daemons' decision code.
//! Run with `cargo run --release --example simulate -- --firm kunene
//! --day scale --seed 7`; `--help` names all flags.

mod plot;
#[path = "../../tests/simulation/mod.rs"]
mod simulation;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use mastichinge::edge::settings::Settings;
use simulation::firm::Firm;
use simulation::lower_bound::LowerBound;
use simulation::simulator::{Simulator, WARMUP};
use simulation::statistics::DayStatistics;
use simulation::workload::Day;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Simulates days of a firm.
        cmd simulate {
            /// harrowby or kunene.
            optional --firm name: String
            /// quiet, scale, overload, slow, pause, or all.
            optional --day name: String
            /// First seed.
            optional --seed number: u64
            /// Number of consecutive seeds.
            optional --runs count: u64
            /// Number of daemons; engines, models and requests grow in proportion.
            optional --daemons count: usize
            /// Measure decision times and datagrams at 5 to 300 daemons.
            optional --sweep
            /// Settings to compare with the default ones, as JSON; may be given
            /// more than once.
            repeated --settings json: String
            /// Write the distribution of times to the first event to this file.
            optional --svg file: PathBuf
        }
    }
}

/// Duration of the traffic that a sweep simulates at each number of daemons.
const SWEEP_DURATION: Duration = Duration::from_secs(5);
/// Numbers of daemons of a sweep.
const SWEEP_DAEMONS: [usize; 4] = [5, 30, 100, 300];

struct SimulationPlan {
    firm: Firm,
    days: Vec<Day>,
    seeds: std::ops::Range<u64>,
    sweep: bool,
    variants: Vec<(String, Settings)>,
    svg: Option<PathBuf>,
}

impl SimulationPlan {
    fn parse() -> Result<SimulationPlan, String> {
        let flags = flags::Simulate::from_env_or_exit();
        let name = flags.firm.unwrap_or_else(|| "kunene".to_owned());
        let mut firm = Firm::by_name(&name).ok_or(format!("no firm {name:?}"))?;
        if let Some(daemons) = flags.daemons {
            firm = firm.scaled_to(daemons.max(1));
        }
        let name = flags.day.unwrap_or_else(|| "all".to_owned());
        let names: Vec<&str> = match &*name {
            "all" => Day::NAMES.to_vec(),
            one => vec![one],
        };
        let days = names
            .iter()
            .map(|n| Day::by_name(n).ok_or(format!("no day {n:?}")));
        let days = days.collect::<Result<_, _>>()?;
        let first = flags.seed.unwrap_or(7);
        let mut variants = vec![("as set".to_owned(), Settings::default())];
        for json in flags.settings {
            let settings = serde_json::from_str(&json).map_err(|e| format!("{json:?}: {e}"))?;
            variants.push((json, settings));
        }
        Ok(SimulationPlan {
            firm,
            days,
            seeds: first..first + flags.runs.unwrap_or(1).max(1),
            sweep: flags.sweep,
            variants,
            svg: flags.svg,
        })
    }
}

fn main() -> ExitCode {
    match SimulationPlan::parse().and_then(|plan| run_plan(&plan)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("simulate: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run_plan(plan: &SimulationPlan) -> Result<(), String> {
    if plan.sweep {
        run_sweep(plan);
        return Ok(());
    }
    let mut first_events = Vec::new();
    for (label, settings) in &plan.variants {
        let mut sum = 0.0;
        let mut runs = 0;
        for day in &plan.days {
            for seed in plan.seeds.clone() {
                let simulator = run_day(&plan.firm, day, settings, seed);
                let statistics = DayStatistics::compute(&plan.firm, &simulator);
                sum += statistics.worth;
                runs += 1;
                if plan.variants.len() == 1 {
                    print_day(&plan.firm, day, seed, &simulator, &statistics);
                }
                let times = simulator.requests.iter().filter_map(|r| r.first_event);
                first_events.extend(times.map(|t| t.as_millis() as u64));
            }
        }
        println!(
            "{} {label}: mean worth {:.4} over {runs} days",
            plan.firm.name,
            sum / f64::from(runs)
        );
    }
    if let Some(path) = &plan.svg {
        plot::plot_first_events(path, &mut first_events)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn run_day(firm: &Firm, day: &Day, settings: &Settings, seed: u64) -> Simulator {
    let mut simulator = Simulator::new(firm, day, settings, seed);
    simulator.run();
    simulator
}

fn print_day(firm: &Firm, day: &Day, seed: u64, simulator: &Simulator, statistics: &DayStatistics) {
    println!(
        "{} {} seed {seed}: worth {:.3} served {:.3}, engines busy {:.2}",
        firm.name, day.name, statistics.worth, statistics.served_fraction, statistics.utilization
    );
    println!("  kind           asked in time   late refused failed  worth  p50 ms  p99 ms waited");
    for row in &statistics.rows {
        let [asked, ok, late, refused, failed] = row.counts;
        println!(
            "  {:14} {asked:5} {ok:7} {late:6} {refused:7} {failed:6} {:6.3} {:7} {:7} {:6}",
            row.name, row.worth, row.first_event_ms[0], row.first_event_ms[1], row.waited_load
        );
    }
    let [loads, unloads, adapters] = simulator.counters.orders;
    let [low, mid, high] = statistics.latency_ratios;
    println!(
        "  loads {loads} ({} from the store), unloads {unloads}, adapters {adapters}; \
         seen over predicted {low:.2} {mid:.2} {high:.2}",
        simulator.counters.store_loads.len()
    );
    let bound = LowerBound::compute(firm, simulator);
    println!(
        "  least: work {:.2} of the engines, {} of {} models fit beside {} further replicas, \
         late {:.3}",
        bound.utilization,
        bound.placed_models,
        bound.model_count,
        bound.extra_replicas,
        bound.late_fraction
    );
}

/// Prints decision times and datagrams by number of daemons.
fn run_sweep(plan: &SimulationPlan) {
    println!("daemons engines models requests  route us  place us  datagrams/s each");
    for size in SWEEP_DAEMONS {
        let firm = plan.firm.scaled_to(size);
        let day = &plan.days[0];
        let mut simulator = Simulator::new(&firm, day, &plan.variants[0].1, plan.seeds.start);
        simulator.run_until(SWEEP_DURATION);
        let each =
            |(time, count): (Duration, u32)| time.as_secs_f64() * 1e6 / f64::from(count.max(1));
        println!(
            "{size:7} {:7} {:6} {:8} {:9.2} {:9.1} {:10.0}",
            firm.engine_count,
            firm.models.len(),
            simulator.counters.routing.1,
            each(simulator.counters.routing),
            each(simulator.counters.placement),
            simulator.counters.datagrams as f64
                / (WARMUP + SWEEP_DURATION).as_secs_f64()
                / size as f64
        );
    }
}

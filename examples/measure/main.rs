//! Measures real daemons against fakes of a firm's size, in real time over
//! loopback, with load and idle times scaled down.
//! Run with `cargo run --release --example measure -- --firm harrowby
//! --scenario opening --policy adaptive --seed 7`; `--help` names all flags.

mod arrivals;
mod cold_start_bound;
mod daemon;
#[path = "../../tests/env/mod.rs"]
mod env;
mod figures;
mod firm;
mod load_driver;
mod plot;
mod report;
mod scenario;
mod usage;
mod warm;
mod worth_bound;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use env::Env;
use firm::{Firm, FirmPlan, PolicyName};
use mastichinge::fakes::firm as site;
use scenario::Scenario;

/// First argument of this program when it runs as a daemon.
const DAEMON_ARG: &str = "--as-daemon";

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures daemons against fakes of a firm's size.
        cmd measure {
            /// harrowby or kunene.
            optional --firm name: String
            /// quiet, opening, overload, store-slow, host-lost, engine-lost, table-down or warm.
            optional --scenario name: String
            /// adaptive, solo, keep_alive, never or first_fit.
            optional --policy name: String
            /// Seed of the arrivals.
            optional --seed number: u64
            /// Real seconds for each second of load and idle time.
            optional --scale factor: f64
            /// Print JSON.
            optional --json
            /// Write the distribution of cold-start times to this file.
            optional --svg file: PathBuf
        }
    }
}

/// Options of one run.
struct RunOptions {
    firm: Firm,
    scenario: Scenario,
    policy: PolicyName,
    seed: u64,
    scale: f64,
    json: bool,
    svg: Option<PathBuf>,
}

impl RunOptions {
    fn parse() -> Result<RunOptions, String> {
        let flags = flags::Measure::from_env_or_exit();
        let value_or =
            |flag: Option<String>, default: &str| flag.unwrap_or_else(|| default.to_owned());
        let firm = value_or(flags.firm, "harrowby");
        let scenario = value_or(flags.scenario, "opening");
        let policy = value_or(flags.policy, "adaptive");
        Ok(RunOptions {
            firm: firm.parse().map_err(|_| format!("no firm {firm:?}"))?,
            scenario: scenario
                .parse()
                .map_err(|_| format!("no scenario {scenario:?}"))?,
            policy: policy
                .parse()
                .map_err(|_| format!("no policy {policy:?}"))?,
            seed: flags.seed.unwrap_or(7),
            scale: flags.scale.unwrap_or(0.25),
            json: flags.json,
            svg: flags.svg,
        })
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|a| a == DAEMON_ARG) {
        return daemon::run(Path::new(&args[args.len() - 1]));
    }
    match RunOptions::parse().and_then(|run| measure(&run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("measure: {text}");
            ExitCode::FAILURE
        }
    }
}

fn measure(run: &RunOptions) -> Result<(), String> {
    if run.scenario == Scenario::Warm {
        return warm::measure(run);
    }
    let plan = FirmPlan::new(run.firm, run.policy, run.scale, run.scenario.slots());
    let arrivals = arrivals::generate(run.scenario, &plan, run.seed);
    let mut env = start(&plan)?;
    let result = load_driver::run(&mut env, run.scenario, &plan, &arrivals);
    let figures = figures::compute(&env, &plan, run.scenario, &result);
    if let Some(path) = &run.svg {
        plot::plot_cold_starts(path, &figures).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    report::print(run, &plan, &figures);
    Ok(())
}

/// Starts the site and the daemons, and waits until each pool has an owner.
fn start(plan: &FirmPlan) -> Result<Env, String> {
    let site = site::start(plan.settings()).map_err(|e| format!("cannot start the site: {e}"))?;
    let program = std::env::current_exe()
        .map_err(|e| format!("cannot find the path of this program: {e}"))?;
    let env = Env::with_site(site, &program, &[DAEMON_ARG]);
    for pool in plan.pools() {
        env.wait("an owner of each pool", || env.owner_of(&pool).is_some());
    }
    Ok(env)
}

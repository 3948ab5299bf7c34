//! Measures real daemons before stand-ins of a firm's own size, in real time
//! over loopback, with load and idle times scaled down.
//! Run with `cargo run --release --example measure -- --firm harrowby
//! --scenario opening --policy adaptive --seed 7`; `--help` names all flags.

mod arrivals;
mod daemon;
mod drive;
#[path = "../../tests/env/mod.rs"]
mod env;
mod figures;
mod firm;
mod ideal;
mod least;
mod plot;
mod report;
mod scenario;
mod usage;
mod warm;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use env::Env;
use firm::{Firm, FirmPlan, PolicyName};
use mastichinge::fakes::firm as site;
use scenario::Scenario;

/// First argument of a daemon that this program starts.
const DAEMON: &str = "--as-daemon";

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures daemons before stand-ins of a firm's own size.
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
            /// Write the distribution of cold starts to this file.
            optional --svg file: PathBuf
        }
    }
}

/// What one run measures.
struct Run {
    firm: Firm,
    scenario: Scenario,
    policy: PolicyName,
    seed: u64,
    scale: f64,
    json: bool,
    svg: Option<PathBuf>,
}

impl Run {
    fn parse() -> Result<Run, String> {
        let flags = flags::Measure::from_env_or_exit();
        let name = |given: Option<String>, usual: &str| given.unwrap_or_else(|| usual.to_owned());
        let firm = name(flags.firm, "harrowby");
        let scenario = name(flags.scenario, "opening");
        let policy = name(flags.policy, "adaptive");
        Ok(Run {
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
    if args.get(1).is_some_and(|a| a == DAEMON) {
        return daemon::run(Path::new(&args[args.len() - 1]));
    }
    match Run::parse().and_then(|run| measure(&run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("measure: {text}");
            ExitCode::FAILURE
        }
    }
}

fn measure(run: &Run) -> Result<(), String> {
    if run.scenario == Scenario::Warm {
        return warm::measure(run);
    }
    let plan = FirmPlan::new(run.firm, run.policy, run.scale, run.scenario.slots());
    let arrivals = arrivals::plan(run.scenario, &plan, run.seed);
    let mut env = start(&plan)?;
    let driven = drive::run(&mut env, run.scenario, &plan, &arrivals);
    let figures = figures::work_out(&env, &plan, run.scenario, &driven);
    if let Some(path) = &run.svg {
        plot::cold_starts(path, &figures).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    report::print(run, &plan, &figures);
    Ok(())
}

/// Starts site and daemons, and waits until both pools are owned.
fn start(plan: &FirmPlan) -> Result<Env, String> {
    let site = site::start(plan.settings()).map_err(|e| format!("the site: {e}"))?;
    let program = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let env = Env::with_site(site, &program, &[DAEMON]);
    for pool in plan.pools() {
        env.wait("an owner of each pool", || env.owner_of(&pool).is_some());
    }
    Ok(env)
}

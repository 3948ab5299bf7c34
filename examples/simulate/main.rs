//! Plays days of the firms over simulated time, with the edge daemons' own
//! decisions. Run with `cargo run --release --example simulate -- --firm kunene
//! --day scale --seed 7`; `--help` names all flags.

mod plot;
#[path = "../../tests/simulation/mod.rs"]
mod simulation;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use mastichinge::edge::settings::Settings;
use simulation::figures::Figures;
use simulation::firm::Firm;
use simulation::least::Least;
use simulation::load::Day;
use simulation::world::{LEAD, World};

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Plays days of a firm over simulated time.
        cmd simulate {
            /// harrowby or kunene.
            optional --firm name: String
            /// quiet, scale, overload, slow, pause, or all.
            optional --day name: String
            /// First seed.
            optional --seed number: u64
            /// Seeds in a row.
            optional --runs count: u64
            /// Daemons; engines, models and requests grow in proportion.
            optional --daemons count: usize
            /// Sizes from the firm's own up to 300 daemons.
            optional --sweep
            /// Settings to compare with the usual ones, as JSON; may be given
            /// more than once.
            repeated --settings json: String
            /// Write the distribution of first events to this file.
            optional --svg file: PathBuf
        }
    }
}

/// Traffic of a day that a sweep plays.
const SWEPT: Duration = Duration::from_secs(5);
/// Sizes of a sweep, daemons.
const SIZES: [usize; 4] = [5, 30, 100, 300];

struct Plan {
    firm: Firm,
    days: Vec<Day>,
    seeds: std::ops::Range<u64>,
    sweep: bool,
    variants: Vec<(String, Settings)>,
    svg: Option<PathBuf>,
}

impl Plan {
    fn parse() -> Result<Plan, String> {
        let flags = flags::Simulate::from_env_or_exit();
        let name = flags.firm.unwrap_or_else(|| "kunene".to_owned());
        let mut firm = Firm::named(&name).ok_or(format!("no firm {name:?}"))?;
        if let Some(daemons) = flags.daemons {
            firm = firm.grown(daemons.max(1));
        }
        let name = flags.day.unwrap_or_else(|| "all".to_owned());
        let names: Vec<&str> = match &*name {
            "all" => Day::NAMES.to_vec(),
            one => vec![one],
        };
        let days = names
            .iter()
            .map(|n| Day::named(n).ok_or(format!("no day {n:?}")));
        let days = days.collect::<Result<_, _>>()?;
        let first = flags.seed.unwrap_or(7);
        let mut variants = vec![("as set".to_owned(), Settings::default())];
        for json in flags.settings {
            let settings = serde_json::from_str(&json).map_err(|e| format!("{json:?}: {e}"))?;
            variants.push((json, settings));
        }
        Ok(Plan {
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
    match Plan::parse().and_then(|plan| play(&plan)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("simulate: {text}");
            ExitCode::FAILURE
        }
    }
}

fn play(plan: &Plan) -> Result<(), String> {
    if plan.sweep {
        sweep(plan);
        return Ok(());
    }
    let mut firsts = Vec::new();
    for (label, settings) in &plan.variants {
        let mut sum = 0.0;
        let mut runs = 0;
        for day in &plan.days {
            for seed in plan.seeds.clone() {
                let world = run(&plan.firm, day, settings, seed);
                let figures = Figures::of(&plan.firm, &world);
                sum += figures.worth;
                runs += 1;
                if plan.variants.len() == 1 {
                    print(&plan.firm, day, seed, &world, &figures);
                }
                let times = world.requests.iter().filter_map(|r| r.first);
                firsts.extend(times.map(|t| t.as_millis() as u64));
            }
        }
        println!(
            "{} {label}: mean worth {:.4} over {runs} days",
            plan.firm.name,
            sum / f64::from(runs)
        );
    }
    if let Some(path) = &plan.svg {
        plot::first_events(path, &mut firsts).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn run(firm: &Firm, day: &Day, settings: &Settings, seed: u64) -> World {
    let mut world = World::new(firm, day, settings, seed);
    world.play();
    world
}

fn print(firm: &Firm, day: &Day, seed: u64, world: &World, figures: &Figures) {
    println!(
        "{} {} seed {seed}: worth {:.3} served {:.3}, engines busy {:.2}",
        firm.name, day.name, figures.worth, figures.served, figures.busy
    );
    println!("  kind           asked in time   late refused failed  worth  p50 ms  p99 ms waited");
    for row in &figures.rows {
        let [asked, ok, late, refused, failed] = row.counts;
        println!(
            "  {:14} {asked:5} {ok:7} {late:6} {refused:7} {failed:6} {:6.3} {:7} {:7} {:6}",
            row.name, row.worth, row.first[0], row.first[1], row.waited
        );
    }
    let [loads, unloads, adapters] = world.counts.orders;
    let [low, mid, high] = figures.ratios;
    println!(
        "  loads {loads} ({} from the store), unloads {unloads}, adapters {adapters}; \
         seen over predicted {low:.2} {mid:.2} {high:.2}",
        world.counts.remote.len()
    );
    let least = Least::of(firm, world);
    println!(
        "  least: work {:.2} of the engines, {} of {} models fit beside {} further replicas, \
         late {:.3}",
        least.work, least.fit, least.models, least.replicas, least.late
    );
}

/// Times of the decisions and datagrams by size.
fn sweep(plan: &Plan) {
    println!("daemons engines models requests  route us  place us  datagrams/s each");
    for size in SIZES {
        let firm = plan.firm.grown(size);
        let day = &plan.days[0];
        let mut world = World::new(&firm, day, &plan.variants[0].1, plan.seeds.start);
        world.play_until(SWEPT);
        let each =
            |(time, count): (Duration, u32)| time.as_secs_f64() * 1e6 / f64::from(count.max(1));
        println!(
            "{size:7} {:7} {:6} {:8} {:9.2} {:9.1} {:10.0}",
            firm.engines,
            firm.models.len(),
            world.counts.routing.1,
            each(world.counts.routing),
            each(world.counts.placing),
            world.counts.datagrams as f64 / (LEAD + SWEPT).as_secs_f64() / size as f64
        );
    }
}

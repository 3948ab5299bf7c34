//! Settings of a run, from the environment.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;

use crate::disturbances::Disturbance;
use crate::engine_faults::EngineFault;

/// Seeds of the short run.
const SEEDS: RangeInclusive<u64> = 1..=3;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    pub seed: u64,
    /// Time for which callers send requests.
    pub length: Duration,
    pub callers: usize,
    pub daemons: usize,
    /// Engines of each service.
    pub engines: usize,
    /// Probability of a fault for each request at an engine.
    pub fault_rate: f64,
    pub engine_faults: Vec<EngineFault>,
    /// Whether some requests ask for additional routes.
    pub probes_routes: bool,
    /// Whether some prompts have parts that crash engines.
    pub crashing_parts: bool,
    /// Whether it is one request that crashes engines as a whole, in place of those.
    pub whole_request: bool,
    /// Whether engines that crash keep connections, accept further ones, and say nothing until
    /// they are back.
    pub silent_crashes: bool,
    /// Pause between two events, besides the one that is drawn.
    pub event_pause: Duration,
    /// Whether callers break streams off and take them up again.
    pub takes_up: bool,
    /// Whether callers have keys of customers.
    pub customers: bool,
    /// Whether callers keep the id over all tries of a request that may run once only.
    pub keeps_id: bool,
    /// Whether the daemons have a retry budget at the start.
    pub retries: bool,
    /// Maximum pause between two disturbances.
    pub pause: Duration,
    pub disturbances: Vec<Disturbance>,
    /// Folder for the records and logs of runs with violations.
    pub folder: PathBuf,
    /// Whether those of the other runs are kept too.
    pub keeps_logs: bool,
}

impl Default for SoakSettings {
    fn default() -> Self {
        SoakSettings {
            seed: 1,
            length: Duration::from_secs(12),
            callers: 32,
            daemons: 2,
            engines: 4,
            fault_rate: 0.15,
            engine_faults: EngineFault::iter().collect(),
            probes_routes: true,
            crashing_parts: true,
            whole_request: false,
            silent_crashes: false,
            event_pause: Duration::ZERO,
            takes_up: true,
            customers: false,
            keeps_id: false,
            retries: true,
            pause: Duration::from_millis(900),
            // Further kinds change what a seed draws.
            disturbances: Disturbance::iter().filter(|d| !d.is_of_link()).collect(),
            folder: std::env::temp_dir().join("mastichinge-soak"),
            keeps_logs: false,
        }
    }
}

impl SoakSettings {
    /// Reads the settings of all runs: `SOAK_SEEDS` (as `1-50`), `SOAK_SECONDS`,
    /// `SOAK_FOLDER`, where the logs of all runs are kept, `SOAK_KEEPS_ID` and `SOAK_LINKS`
    /// (`true` or `false`; the second adds faults of links), `SOAK_CUSTOMERS` (`true`: callers have
    /// keys), and lists of names in
    /// `SOAK_ENGINE_FAULTS` and `SOAK_DISTURBANCES`, which may be empty. `SOAK_DAEMONS`,
    /// `SOAK_ENGINES` and `SOAK_FAULT_RATE` replace what a seed draws.
    pub fn from_environment() -> Vec<Self> {
        let mut settings = SoakSettings::default();
        if let Ok(seconds) = std::env::var("SOAK_SECONDS") {
            settings.length = Duration::from_secs(seconds.parse().expect("SOAK_SECONDS"));
        }
        if let Ok(folder) = std::env::var("SOAK_FOLDER") {
            settings.folder = folder.into();
            settings.keeps_logs = true;
        }
        if let Ok(keeps_id) = std::env::var("SOAK_KEEPS_ID") {
            settings.keeps_id = keeps_id.parse().expect("SOAK_KEEPS_ID");
        }
        if let Ok(names) = std::env::var("SOAK_ENGINE_FAULTS") {
            settings.engine_faults = parse_names(&names);
        }
        if let Ok(names) = std::env::var("SOAK_DISTURBANCES") {
            settings.disturbances = parse_names(&names);
        }
        if std::env::var("SOAK_LINKS").is_ok_and(|v| v.parse().expect("SOAK_LINKS")) {
            let links = Disturbance::iter().filter(|d| d.is_of_link());
            settings.disturbances.extend(links);
        }
        if std::env::var("SOAK_CUSTOMERS").is_ok_and(|v| v.parse().expect("SOAK_CUSTOMERS")) {
            settings = settings.with_customers();
        }
        let seeds = std::env::var("SOAK_SEEDS").map_or(SEEDS, |text| parse_seeds(&text));
        let mut runs: Vec<_> = seeds.map(|seed| settings.clone().with_seed(seed)).collect();
        for run in &mut runs {
            run.daemons = number("SOAK_DAEMONS").unwrap_or(run.daemons);
            run.engines = number("SOAK_ENGINES").unwrap_or(run.engines);
            run.fault_rate = number("SOAK_FAULT_RATE").unwrap_or(run.fault_rate);
        }
        runs
    }

    /// Returns these settings with customers. Requests without a route would be answered 404 whatever
    /// their key, and other versions would bring the key back that is taken away.
    pub fn with_customers(mut self) -> Self {
        self.customers = true;
        self.probes_routes = false;
        self.crashing_parts = false;
        self.disturbances.retain(|d| *d != Disturbance::Desired);
        self
    }

    /// Returns whether links are disturbed.
    pub fn has_links(&self) -> bool {
        self.disturbances.iter().any(|d| d.is_of_link())
    }

    /// Returns these settings with the sizes and rates of a seed.
    pub fn with_seed(self, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        SoakSettings {
            seed,
            callers: rng.random_range(12..72),
            daemons: rng.random_range(1..4),
            engines: rng.random_range(1..5),
            fault_rate: rng.random_range(0.02..0.3),
            pause: Duration::from_millis(rng.random_range(300..2_500)),
            ..self
        }
    }
}

/// Returns the number in a variable of the environment, if it is set.
fn number<T: std::str::FromStr<Err: std::fmt::Debug>>(name: &str) -> Option<T> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect(name))
}

fn parse_names<T: std::str::FromStr<Err: std::fmt::Debug>>(names: &str) -> Vec<T> {
    let names = names.split(',').filter(|n| !n.is_empty());
    names.map(|n| n.parse().expect(n)).collect()
}

fn parse_seeds(text: &str) -> RangeInclusive<u64> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let number = |text: &str| text.parse().expect("SOAK_SEEDS");
    number(first)..=number(last)
}

//! The firms at their own size, scaled down in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::env::network_octet;
use mastichinge::config::{Caller, Config, Model, Name, Operator, Role, Strategy, jsonc};
use mastichinge::fakes::engine::{EngineSettings, LoadTimes};
use mastichinge::fakes::firm::FirmSettings;
use mastichinge::fakes::site::{CALLER_KEY, OPERATOR_KEY, SiteSettings};
use mastichinge::fakes::weights::StoreSettings;
use mastichinge::operators::keys::hash_key;

/// A firm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Firm {
    /// Harrowby.
    Harrowby,
    /// Kunene.
    Kunene,
}

/// A policy under measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyName {
    /// The product's own.
    Adaptive,
    /// Every daemon loads for itself: each model stands in the configuration
    /// once for each daemon, a request at a daemon asks for that daemon's
    /// own, and nothing bounds the loads of all daemons together.
    Solo,
    /// Unload after a fixed idle time.
    KeepAlive,
    /// Never unload.
    Never,
    /// First engine with room.
    FirstFit,
}

impl PolicyName {
    fn strategy(self) -> Strategy {
        match self {
            PolicyName::Adaptive => Strategy::Adaptive,
            PolicyName::Solo => Strategy::Solo,
            PolicyName::KeepAlive => Strategy::KeepAlive,
            PolicyName::Never => Strategy::Never,
            PolicyName::FirstFit => Strategy::FirstFit,
        }
    }
}

/// Daemons.
pub const DAEMONS: u8 = 5;
/// Time between tokens.
pub const INTERVAL: Duration = Duration::from_millis(25);
/// Tokens of an answer.
pub const TOKENS: usize = 20;
/// Fixed keep-alive time before scaling, seconds.
const KEEPALIVE_S: f64 = 24.0;
/// Largest model, MB; larger ones of the samples are cut to this.
const LARGEST_MB: u64 = 45_000;
/// Share of a pool's models that fits its engines at once.
const FITS: f64 = 0.75;
/// Worth at which the time to break even is the fixed keep-alive time.
const EVEN_WORTH: f64 = 2.0;
/// Limit on loads under [`PolicyName::Solo`], which bounds nothing.
const NO_LIMIT: u32 = 1_000;

/// A firm's site before it starts.
pub struct FirmPlan {
    /// Firm.
    pub firm: Firm,
    /// Real seconds for each second of load and idle time.
    pub scale: f64,
    /// Whether each daemon loads for itself.
    pub solo: bool,
    /// Models as the firm knows them.
    pub models: BTreeMap<Name, Model>,
    /// Configuration.
    pub config: Config,
    /// Limits of the weight store.
    pub store: StoreSettings,
    /// Load times before scaling.
    pub times: LoadTimes,
}

impl FirmPlan {
    /// The plan of `firm` under a policy, with `slots` in place of its own.
    pub fn new(firm: Firm, policy: PolicyName, scale: f64, slots: Option<u32>) -> Self {
        let mut config = sample(firm);
        let store = StoreSettings {
            models_per_s: config.policy.store_rate,
            parallel_models: f64::from(config.policy.store_parallel),
            parallel_adapters: f64::from(config.policy.adapter_parallel),
            time_scale: scale,
            ..StoreSettings::default()
        };
        let remote = Duration::from_secs_f64(store.parallel_models / store.models_per_s);
        let times = LoadTimes {
            remote,
            disk: remote / 2,
            memory: remote / 5,
            adapter: Duration::from_millis(7),
        };
        size(&mut config, remote.mul_f64(scale), slots);
        let models = config.models.clone();
        let solo = policy == PolicyName::Solo;
        set_policy(&mut config, firm, policy, scale);
        if solo {
            config.models = copies(&models);
            config.policy.store_rate = f64::from(NO_LIMIT);
            config.policy.store_parallel = NO_LIMIT;
            config.policy.adapter_parallel = NO_LIMIT;
        }
        set_keys(&mut config);
        FirmPlan {
            firm,
            scale,
            solo,
            models,
            config,
            store,
            times,
        }
    }

    /// Pools of the firm.
    pub fn pools(&self) -> Vec<Name> {
        let mut pools: Vec<Name> = self
            .config
            .engines
            .values()
            .map(|e| e.pool.clone())
            .collect();
        pools.sort();
        pools.dedup();
        pools
    }

    /// Name under which `host` asks for `model`.
    pub fn asked(&self, model: &Name, host: usize) -> Name {
        match self.solo {
            true => copy_of(model, host),
            false => model.clone(),
        }
    }

    /// Settings of the site.
    pub fn settings(&self) -> FirmSettings {
        FirmSettings {
            site: SiteSettings {
                firm: self.firm.to_string().into(),
                daemons: DAEMONS,
                tokens: TOKENS,
                token_interval: INTERVAL,
                network: [127, network_octet(), 200],
                domains: domains(self.firm),
                ..SiteSettings::default()
            },
            config: self.config.clone(),
            store: self.store,
            engine: EngineSettings {
                load_times: self.times,
                time_scale: self.scale,
                token_interval: INTERVAL,
                tokens: TOKENS,
                ..EngineSettings::default()
            },
        }
    }
}

fn domains(firm: Firm) -> [&'static str; 4] {
    match firm {
        Firm::Harrowby => ["derby", "leicester", "nottingham", "coventry"],
        Firm::Kunene => ["windhoek-north", "windhoek-south", "okahandja", "rehoboth"],
    }
}

/// The configuration among the samples.
fn sample(firm: Firm) -> Config {
    let text = match firm {
        Firm::Harrowby => include_str!("../../samples/harrowby.config.jsonc"),
        Firm::Kunene => include_str!("../../samples/kunene.config.jsonc"),
    };
    let value = jsonc::parse(text).expect("the sample is JSON");
    serde_json::from_value(value).expect("the sample is a configuration")
}

/// Sets memory, load times and slots.
fn size(config: &mut Config, load: Duration, slots: Option<u32>) {
    let mut totals: BTreeMap<Name, u64> = BTreeMap::new();
    let mut engines: BTreeMap<Name, u64> = BTreeMap::new();
    for engine in config.engines.values() {
        *engines.entry(engine.pool.clone()).or_default() += 1;
    }
    for model in config.models.values_mut() {
        model.memory = model.memory.min(LARGEST_MB);
        model.warm = 0;
        if model.base.is_some() {
            continue;
        }
        model.load_ms = load.as_millis() as u64;
        *totals.entry(model.pool.clone()).or_default() += model.memory;
    }
    let mut largest: BTreeMap<Name, u64> = BTreeMap::new();
    for model in config.models.values() {
        let most = largest.entry(model.pool.clone()).or_default();
        *most = model.memory.max(*most);
    }
    for engine in config.engines.values_mut() {
        let pool = &engine.pool;
        let share = FITS * totals[pool] as f64 / engines[pool] as f64;
        engine.memory = (largest[pool] + largest[pool] / 5).max(share as u64);
        engine.slots = slots.unwrap_or(engine.slots);
    }
}

/// Sets a policy whose time to break even is the keep-alive time for a model
/// of [`EVEN_WORTH`] that takes one accelerator; Kunene's is half of it.
fn set_policy(config: &mut Config, firm: Firm, name: PolicyName, scale: f64) {
    let policy = &mut config.policy;
    let load_s = f64::from(policy.store_parallel) / policy.store_rate * scale;
    let keep_s = KEEPALIVE_S * scale;
    let thrift = match firm {
        Firm::Harrowby => 1.0,
        Firm::Kunene => 2.0,
    };
    policy.tail_weight = 1.0;
    policy.idle_weight = 3_600.0 * load_s * EVEN_WORTH / keep_s * thrift;
    policy.strategy = name.strategy();
    policy.keepalive_ms = (keep_s * 1_000.0) as u64;
    policy.store_rate /= scale;
    policy.entry_keep_s = 1;
}

fn copy_of(model: &str, host: usize) -> Name {
    format!("{model}-at-h{}", host + 1).into()
}

/// Each model once for each daemon.
fn copies(models: &BTreeMap<Name, Model>) -> BTreeMap<Name, Model> {
    let mut all = BTreeMap::new();
    for host in 0..usize::from(DAEMONS) {
        for (name, model) in models {
            let copy = Model {
                base: model.base.as_ref().map(|b| copy_of(b, host)),
                limit: 1,
                ..model.clone()
            };
            all.insert(copy_of(name, host), copy);
        }
    }
    all
}

/// One caller and one operator, with the keys of the stand-ins.
fn set_keys(config: &mut Config) {
    config.services.clear();
    let caller = Caller {
        key_sha256: hash_key(CALLER_KEY).into(),
        priority: 9,
        rate: 100_000.0,
        streams: 100_000,
        ..Caller::default()
    };
    config.callers = [("app".into(), caller)].into();
    let operator = Operator {
        key_sha256: hash_key(OPERATOR_KEY).into(),
        roles: vec![Role::Read, Role::Change, Role::Drain],
        teams: vec!["*".into()],
    };
    config.operators = [("ops".into(), operator)].into();
}

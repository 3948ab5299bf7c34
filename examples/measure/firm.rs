//! Sites of the firms at their real size, with load and idle times scaled down.

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
    /// The adaptive policy, which is the default.
    Adaptive,
    /// Every daemon loads independently: the configuration has a copy of each
    /// model for each daemon, a request to a daemon names that daemon's copy,
    /// and nothing limits the loads of all daemons together.
    Solo,
    /// Unload after a fixed idle time.
    KeepAlive,
    /// Never unload.
    Never,
    /// Place a model on the first engine with enough free memory.
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

/// Number of daemons.
pub const DAEMON_COUNT: u8 = 5;
/// Time between tokens.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(25);
/// Tokens in an answer.
pub const ANSWER_TOKENS: usize = 20;
/// Fixed keep-alive time before scaling, seconds.
const KEEPALIVE_S: f64 = 24.0;
/// Maximum size of a model, MB; larger models of the samples are reduced to it.
const MAX_MODEL_MB: u64 = 45_000;
/// Share of a pool's models that fits into the memory of its engines at once.
const RESIDENT_SHARE: f64 = 0.75;
/// Worth at which the break-even time of an unload is the fixed keep-alive time.
const BREAK_EVEN_WORTH: f64 = 2.0;
/// Limit on loads under [`PolicyName::Solo`], high enough to have no effect.
const UNLIMITED: u32 = 1_000;

/// Plan of a firm's site.
pub struct FirmPlan {
    /// Firm.
    pub firm: Firm,
    /// Real seconds for each second of load and idle time.
    pub scale: f64,
    /// Whether each daemon loads independently.
    pub solo: bool,
    /// Models under their names in the sample configuration.
    pub models: BTreeMap<Name, Model>,
    /// Configuration under the policy.
    pub config: Config,
    /// Limits of the weight store.
    pub store: StoreSettings,
    /// Load times before scaling.
    pub load_times: LoadTimes,
}

impl FirmPlan {
    /// Creates the plan of `firm` under a policy; `slots` replaces the slots of each engine.
    pub fn new(firm: Firm, policy: PolicyName, scale: f64, slots: Option<u32>) -> Self {
        let mut config = sample_config(firm);
        let store = StoreSettings {
            models_per_s: config.policy.store_rate,
            parallel_models: f64::from(config.policy.store_parallel),
            parallel_adapters: f64::from(config.policy.adapter_parallel),
            time_scale: scale,
            ..StoreSettings::default()
        };
        let remote = Duration::from_secs_f64(store.parallel_models / store.models_per_s);
        let load_times = LoadTimes {
            remote,
            disk: remote / 2,
            memory: remote / 5,
            adapter: Duration::from_millis(7),
        };
        set_sizes(&mut config, remote.mul_f64(scale), slots);
        let models = config.models.clone();
        let solo = policy == PolicyName::Solo;
        set_policy(&mut config, firm, policy, scale);
        if solo {
            config.models = host_copies(&models);
            config.policy.store_rate = f64::from(UNLIMITED);
            config.policy.store_parallel = UNLIMITED;
            config.policy.adapter_parallel = UNLIMITED;
        }
        set_keys(&mut config);
        FirmPlan {
            firm,
            scale,
            solo,
            models,
            config,
            store,
            load_times,
        }
    }

    /// Returns the pools of the firm.
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

    /// Returns the name that requests for `model` to `host` use.
    pub fn requested_name(&self, model: &Name, host: usize) -> Name {
        match self.solo {
            true => host_copy(model, host),
            false => model.clone(),
        }
    }

    /// Returns the settings of the site.
    pub fn settings(&self) -> FirmSettings {
        FirmSettings {
            site: SiteSettings {
                firm: self.firm.to_string().into(),
                daemons: DAEMON_COUNT,
                tokens: ANSWER_TOKENS,
                token_interval: TOKEN_INTERVAL,
                network: [127, network_octet(), 200],
                domains: failure_domains(self.firm),
                ..SiteSettings::default()
            },
            config: self.config.clone(),
            store: self.store,
            engine: EngineSettings {
                load_times: self.load_times,
                time_scale: self.scale,
                token_interval: TOKEN_INTERVAL,
                tokens: ANSWER_TOKENS,
                ..EngineSettings::default()
            },
        }
    }
}

fn failure_domains(firm: Firm) -> [&'static str; 4] {
    match firm {
        Firm::Harrowby => ["derby", "leicester", "nottingham", "coventry"],
        Firm::Kunene => ["windhoek-north", "windhoek-south", "okahandja", "rehoboth"],
    }
}

/// Returns the firm's sample configuration.
fn sample_config(firm: Firm) -> Config {
    let text = match firm {
        Firm::Harrowby => include_str!("../../samples/harrowby.config.jsonc"),
        Firm::Kunene => include_str!("../../samples/kunene.config.jsonc"),
    };
    let value = jsonc::parse(text).expect("the sample is JSON");
    serde_json::from_value(value).expect("the sample is a configuration")
}

/// Sets the memory, load times and slots of models and engines.
fn set_sizes(config: &mut Config, load_time: Duration, slots: Option<u32>) {
    let mut totals: BTreeMap<Name, u64> = BTreeMap::new();
    let mut engines: BTreeMap<Name, u64> = BTreeMap::new();
    for engine in config.engines.values() {
        *engines.entry(engine.pool.clone()).or_default() += 1;
    }
    for model in config.models.values_mut() {
        model.memory = model.memory.min(MAX_MODEL_MB);
        model.warm = 0;
        if model.base.is_some() {
            continue;
        }
        model.load_ms = load_time.as_millis() as u64;
        *totals.entry(model.pool.clone()).or_default() += model.memory;
    }
    let mut largest: BTreeMap<Name, u64> = BTreeMap::new();
    for model in config.models.values() {
        let current = largest.entry(model.pool.clone()).or_default();
        *current = model.memory.max(*current);
    }
    for engine in config.engines.values_mut() {
        let pool = &engine.pool;
        let share = RESIDENT_SHARE * totals[pool] as f64 / engines[pool] as f64;
        engine.memory = (largest[pool] + largest[pool] / 5).max(share as u64);
        engine.slots = slots.unwrap_or(engine.slots);
    }
}

/// Sets a policy whose break-even time is the keep-alive time for a model of
/// [`BREAK_EVEN_WORTH`] that takes one accelerator; for Kunene it is half that time.
fn set_policy(config: &mut Config, firm: Firm, name: PolicyName, scale: f64) {
    let policy = &mut config.policy;
    let load_s = f64::from(policy.store_parallel) / policy.store_rate * scale;
    let keep_s = KEEPALIVE_S * scale;
    let idle_factor = match firm {
        Firm::Harrowby => 1.0,
        Firm::Kunene => 2.0,
    };
    policy.tail_weight = 1.0;
    policy.idle_weight = 3_600.0 * load_s * BREAK_EVEN_WORTH / keep_s * idle_factor;
    policy.strategy = name.strategy();
    policy.keepalive_ms = (keep_s * 1_000.0) as u64;
    policy.store_rate /= scale;
    policy.entry_keep_s = 1;
}

fn host_copy(model: &str, host: usize) -> Name {
    format!("{model}-at-h{}", host + 1).into()
}

/// Returns a copy of each model for each daemon.
fn host_copies(models: &BTreeMap<Name, Model>) -> BTreeMap<Name, Model> {
    let mut all = BTreeMap::new();
    for host in 0..usize::from(DAEMON_COUNT) {
        for (name, model) in models {
            let copy = Model {
                base: model.base.as_ref().map(|b| host_copy(b, host)),
                limit: 1,
                ..model.clone()
            };
            all.insert(host_copy(name, host), copy);
        }
    }
    all
}

/// Configures one caller and one operator with the keys of the fakes.
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

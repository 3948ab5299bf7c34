//! Settings of an edge host, read from a JSON file with comments.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use super::caps::CapRules;
use super::suspects::Feature;
use crate::config::Name;
use crate::config::field_error::{FieldError, FieldErrors, check_fields};
use crate::settings::{LogFormat, LogSettings, SettingsError, parse_validated, read_file};

/// Placeholder for the address of a field that the file leaves out.
const UNSET: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Maximum share of repeats: that of all retries where the deployment names none.
const MAX_REPEAT_SHARE: f64 = 0.2;

/// Fields that have no default.
const REQUIRED: [&str; 7] = [
    "/host",
    "/domain",
    "/listen/callers",
    "/listen/ready",
    "/listen/entry",
    "/listen/peers",
    "/store/addr",
];

/// Settings of one edge host.
#[derive(Clone, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// Memory that the process may use, MB.
    pub memory_mb: u64,
    /// Bounds that hold for the whole deployment.
    pub bounds: Bounds,
    /// Properties of the engines.
    pub engines: EngineSettings,
    /// Weights of the placement of models.
    pub placement: PlacementSettings,
    /// Limits of the admission of requests.
    pub admission: AdmissionSettings,
    /// Order of the requests that wait.
    pub order: OrderSettings,
    /// Repeats before the first try has failed.
    pub repeats: RepeatSettings,
    /// Limits of what is held for callers that do not read.
    pub slow_readers: SlowReaderSettings,
    /// Features of requests that engines no longer crash on; applied at each reading of this file.
    pub released: Vec<Feature>,
    /// Format and level of logs.
    pub log: LogSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            host: "".into(),
            domain: "".into(),
            listen: ListenSettings::default(),
            store: StoreSettings::default(),
            memory_mb: 256,
            bounds: Bounds::default(),
            engines: EngineSettings::default(),
            placement: PlacementSettings::default(),
            admission: AdmissionSettings::default(),
            order: OrderSettings::default(),
            repeats: RepeatSettings::default(),
            slow_readers: SlowReaderSettings::default(),
            released: Vec::new(),
            log: LogSettings {
                form: LogFormat::Json,
                ..LogSettings::default()
            },
        }
    }
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's readiness check.
    pub ready: SocketAddr,
    /// For callers that look up the entry addresses, to which they send requests.
    pub entry: SocketAddr,
    /// For datagrams of other daemons.
    pub peers: SocketAddr,
    /// For metrics; port 0 disables them.
    pub metrics: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        ListenSettings {
            callers: UNSET,
            ready: UNSET,
            entry: UNSET,
            peers: UNSET,
            metrics: UNSET,
        }
    }
}

/// The platform's store.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub addr: SocketAddr,
    /// Reads per second that all daemons together may make.
    pub reads_per_s: f64,
    /// Writes per second that all daemons together may make.
    pub writes_per_s: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            addr: UNSET,
            reads_per_s: 2_000.0,
            writes_per_s: 400.0,
        }
    }
}

/// Bounds that hold for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time after which a draining engine must get no new requests, ms.
    pub drain_ms: u64,
    /// Time for which a daemon must have reached the store before bounds hold for it, ms.
    pub contact_ms: u64,
    /// Time from SIGTERM to SIGKILL, s.
    pub grace_s: f64,
    /// Minimum time between the orders of two leaders, ms.
    pub lease_ms: u64,
    /// Whether engines refuse orders with an old fencing number.
    pub fences: bool,
    /// Retries per request, over all daemons.
    pub retry_ratio: f64,
    /// Window of the retry budget, s.
    pub retry_window_s: f64,
    /// Additional retries in each window, over all daemons.
    pub retry_slack: f64,
    /// Window in which the use of customers' caps is counted, s.
    pub cap_window_s: f64,
    /// Part of what a cap allows in a window that may be used beyond it.
    pub cap_excess: f64,
    /// Units that may be used beyond that in a window.
    pub cap_slack: f64,
    /// Window of the rate limit of loads from the weight store, s.
    pub ceiling_window_s: f64,
    /// Maximum time for which callers may cache the list of entry addresses, s.
    pub entry_ttl_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            drain_ms: 2_000,
            contact_ms: 3_000,
            grace_s: 8.0,
            lease_ms: 3_000,
            fences: true,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 50.0,
            cap_window_s: 8.0,
            cap_excess: 0.0,
            cap_slack: 0.0,
            ceiling_window_s: 5.0,
            entry_ttl_s: 5.0,
        }
    }
}

impl Bounds {
    /// Returns the minimum time between the orders of two leaders.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns what the platform allows beyond customers' caps.
    pub fn cap_rules(&self) -> CapRules {
        CapRules {
            window: Duration::from_secs_f64(self.cap_window_s),
            excess: self.cap_excess,
            slack: self.cap_slack,
        }
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0))
    }
}

/// Properties of the engines, from the operators' data sheet.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_per_ms: f64,
    /// Minimum duration of an engine's batch step, ms.
    pub step_ms: f64,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_parallel: u32,
    /// Time from the order of an adapter until it is loaded, ms.
    pub adapter_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            prefill_per_ms: 38.7,
            step_ms: 5.47,
            store_parallel: 4,
            adapter_ms: 12,
        }
    }
}

/// Weights of the placement of models, chosen by simulated days of both sites
/// (docs/MEASUREMENTS.md).
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Engine time per second above which a model gets another replica.
    pub hot_work: f64,
    /// Cost of unloading any model, in seconds of loading.
    pub unload_loss: f64,
    /// Cost of unloading the last replica per request that arrives while it would be
    /// loaded again, in seconds of loading.
    pub rate_loss: f64,
    /// Minimum request rate that is assumed for a model, requests per second.
    pub least_rate: f64,
    /// Weight of requests whose objective leaves time for a load.
    pub loose_part: f64,
    /// Cost of unloading per request in progress, in seconds of loading.
    pub running_loss: f64,
    /// Maximum cost that a further replica of a busy model may cause.
    pub hot_loss: f64,
    /// Maximum cost that a preload may cause.
    pub ahead_loss: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            hot_work: 0.4,
            unload_loss: 0.3,
            rate_loss: 10.0,
            least_rate: 0.02,
            loose_part: 0.3,
            running_loss: 0.5,
            hot_loss: 2.5,
            ahead_loss: 1.0,
        }
    }
}

/// Limits of the decision whether a request is sent, waits or is refused, chosen by
/// simulated days of overload (docs/MEASUREMENTS.md).
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Minimum time to a first event, as a fraction of the predicted time.
    pub sure_part: f64,
    /// Prompt work queued at an engine up to which a request that is late anyway is
    /// sent, ms.
    pub slack_ms: u64,
    /// Margin on top of the predicted time to the first event at which a request that
    /// waits for a shorter queue is sent regardless, ms.
    pub reserve_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            sure_part: 0.4,
            slack_ms: 150,
            reserve_ms: 500,
        }
    }
}

/// Order of the requests that wait at a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderSettings {
    /// Whether requests wait in one order; by default where customers share the engines, or the
    /// engines state how slow they are at the moment.
    pub enabled: Option<bool>,
}

/// Repeats of requests whose first try has not failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatSettings {
    /// Repeats per request that is sent to a service; 0 disables them.
    pub share: f64,
}

impl RepeatSettings {
    /// Returns whether requests are repeated.
    pub fn is_on(&self) -> bool {
        self.share > 0.0
    }
}

/// Limits of what is held for callers that do not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowReaderSettings {
    /// Time for which an engine is left unread while its caller takes nothing, ms.
    pub engine_wait_ms: u64,
    /// Time for which a caller may take nothing before its response ends, ms; applies once
    /// one of the accounts below is full.
    pub unread_ms: u64,
    /// Bytes held for one response, kB; a part of the memory by default.
    pub connection_kb: Option<u64>,
    /// Bytes held for all responses, kB; a part of the memory by default.
    pub host_kb: Option<u64>,
}

impl Default for SlowReaderSettings {
    fn default() -> Self {
        SlowReaderSettings {
            engine_wait_ms: 1_000,
            unread_ms: 3_000,
            connection_kb: None,
            host_kb: None,
        }
    }
}

/// Reads and validates the settings file at `path`.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&read_file(path)?)
}

/// Validates settings given as JSON with comments.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    parse_validated(text, field_errors, violations)
}

/// Returns an error for each field of a wrong type or an unknown name.
fn field_errors(value: &Value) -> Vec<FieldError> {
    const SECTIONS: [&str; 10] = [
        "listen",
        "store",
        "bounds",
        "engines",
        "placement",
        "admission",
        "order",
        "repeats",
        "slow_readers",
        "log",
    ];
    let mut errors = Vec::new();
    check_fields::<Settings>("", value, &SECTIONS, &mut errors);
    for name in SECTIONS {
        let Some(section) = value.get(name) else {
            continue;
        };
        let path = format!("/{name}");
        match name {
            "listen" => check_fields::<ListenSettings>(&path, section, &[], &mut errors),
            "store" => check_fields::<StoreSettings>(&path, section, &[], &mut errors),
            "bounds" => check_fields::<Bounds>(&path, section, &[], &mut errors),
            "placement" => check_fields::<PlacementSettings>(&path, section, &[], &mut errors),
            "admission" => check_fields::<AdmissionSettings>(&path, section, &[], &mut errors),
            "order" => check_fields::<OrderSettings>(&path, section, &[], &mut errors),
            "repeats" => check_fields::<RepeatSettings>(&path, section, &[], &mut errors),
            "slow_readers" => {
                check_fields::<SlowReaderSettings>(&path, section, &[], &mut errors);
            }
            "engines" => check_fields::<EngineSettings>(&path, section, &[], &mut errors),
            _ => check_fields::<LogSettings>(&path, section, &[], &mut errors),
        }
    }
    errors
}

/// Returns an error for each rule that settings of the right types break.
fn violations(settings: &Settings, value: &Value) -> Vec<FieldError> {
    let mut errors = FieldErrors::default();
    for path in REQUIRED {
        let given = value.pointer(path).is_some_and(|v| v != "");
        errors.check(given, path, &Value::Null, "is required");
    }
    let bounds = &settings.bounds;
    let slow = &settings.slow_readers;
    let given_or_one = |kb: Option<u64>| kb.map_or(1.0, |kb| kb as f64);
    let positive = [
        ("/memory_mb", settings.memory_mb as f64),
        ("/store/reads_per_s", settings.store.reads_per_s),
        ("/store/writes_per_s", settings.store.writes_per_s),
        ("/bounds/grace_s", bounds.grace_s),
        ("/bounds/lease_ms", bounds.lease_ms as f64),
        ("/bounds/retry_window_s", bounds.retry_window_s),
        ("/bounds/cap_window_s", bounds.cap_window_s),
        ("/bounds/ceiling_window_s", bounds.ceiling_window_s),
        ("/engines/prefill_per_ms", settings.engines.prefill_per_ms),
        ("/slow_readers/engine_wait_ms", slow.engine_wait_ms as f64),
        ("/slow_readers/unread_ms", slow.unread_ms as f64),
        (
            "/slow_readers/connection_kb",
            given_or_one(slow.connection_kb),
        ),
        ("/slow_readers/host_kb", given_or_one(slow.host_kb)),
    ];
    for (path, number) in positive {
        errors.check(number > 0.0, path, &number, "must be above 0");
    }
    let not_negative = [
        ("/bounds/cap_excess", bounds.cap_excess),
        ("/bounds/cap_slack", bounds.cap_slack),
    ];
    for (path, number) in not_negative {
        errors.check(number >= 0.0, path, &number, "must be at least 0");
    }
    let share = settings.repeats.share;
    let is_share = (0.0..=MAX_REPEAT_SHARE).contains(&share);
    errors.check(is_share, "/repeats/share", &share, "must be from 0 to 0.2");
    errors.0
}

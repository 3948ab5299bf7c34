//! Settings of an edge host, read from a JSON file with comments.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::config::Name;
use crate::config::field_error::{FieldError, FieldErrors, check_fields};
use crate::settings::{LogFormat, LogSettings, SettingsError, parse_validated, text};

/// Address of a field that the file leaves out.
const UNSET: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

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
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Memory that the process may use, MB.
    pub memory_mb: u64,
    /// Bounds that hold for the whole deployment.
    pub bounds: Bounds,
    /// What is known of the engines beforehand.
    pub engines: Engines,
    /// Weights of the decisions on what engines hold.
    pub placement: Placement,
    /// Limits of the decisions on who is sent, waits or is refused.
    pub admission: Admission,
    /// Form and level of logs.
    pub log: LogSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            host: "".into(),
            domain: "".into(),
            listen: Listen::default(),
            store: Store::default(),
            memory_mb: 256,
            bounds: Bounds::default(),
            engines: Engines::default(),
            placement: Placement::default(),
            admission: Admission::default(),
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
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether this host is ready.
    pub ready: SocketAddr,
    /// For callers that ask which addresses to use.
    pub entry: SocketAddr,
    /// For datagrams of other daemons.
    pub peers: SocketAddr,
    /// For metrics; port 0 serves none.
    pub metrics: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        Listen {
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
pub struct Store {
    /// Address.
    pub addr: SocketAddr,
    /// Reading calls a second that all daemons may make together.
    pub reads_per_s: f64,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            addr: UNSET,
            reads_per_s: 2_000.0,
        }
    }
}

/// Bounds that hold for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time after which a leaving engine gets no new work, ms.
    pub drain_ms: u64,
    /// Time from SIGTERM to SIGKILL, s.
    pub grace_s: f64,
    /// Least time between orders of two holders, ms.
    pub lease_ms: u64,
    /// Whether engines refuse orders with an old fencing number.
    pub fences: bool,
    /// Repeats for each request, over all daemons.
    pub retry_ratio: f64,
    /// Window of the retry budget, s.
    pub retry_window_s: f64,
    /// Repeats that are free in each window, over all daemons.
    pub retry_slack: f64,
    /// Window of the weight store's ceiling, s.
    pub ceiling_window_s: f64,
    /// Longest time for which an entry answer may be kept, s.
    pub entry_ttl_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            drain_ms: 2_000,
            grace_s: 8.0,
            lease_ms: 3_000,
            fences: true,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 50.0,
            ceiling_window_s: 5.0,
            entry_ttl_s: 5.0,
        }
    }
}

impl Bounds {
    /// Least time between orders of two holders.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0))
    }
}

/// What the operators' sheet says of the engines.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Engines {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_per_ms: f64,
    /// Shortest step of an engine's batch, ms.
    pub step_ms: f64,
    /// Loads that the weight store serves at full speed at once.
    pub store_parallel: u32,
    /// Time from an adapter's order until it is loaded, ms.
    pub adapter_ms: u64,
}

impl Default for Engines {
    fn default() -> Self {
        Engines {
            prefill_per_ms: 38.7,
            step_ms: 5.47,
            store_parallel: 4,
            adapter_ms: 12,
        }
    }
}

/// Weights of the decisions on what engines hold; chosen by runs on the days
/// of both sites (docs/MEASUREMENTS.md).
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Placement {
    /// Engine time for each second above which a model gets another replica.
    pub hot_work: f64,
    /// Loss of unloading any model, as seconds of loading.
    pub unload_loss: f64,
    /// Loss of unloading the last replica for each request that comes while it
    /// would load, as seconds of loading.
    pub rate_loss: f64,
    /// Rate at which a model counts that is asked for less often, requests a
    /// second.
    pub least_rate: f64,
    /// Weight of requests whose objective leaves time for a load.
    pub loose_part: f64,
    /// Loss of unloading for each request in progress, as seconds of loading.
    pub running_loss: f64,
    /// Largest loss that a further replica of a busy model may cause.
    pub hot_loss: f64,
    /// Largest loss that a load ahead of need may cause.
    pub ahead_loss: f64,
}

impl Default for Placement {
    fn default() -> Self {
        Placement {
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

/// Limits of the decisions on who is sent, waits or is refused; chosen by
/// simulated days of overload (docs/MEASUREMENTS.md).
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// Part of the predicted time that a first event takes at least.
    pub sure_part: f64,
    /// Prompt work ahead at an engine up to which a request is sent that is
    /// late anyway, ms.
    pub slack_ms: u64,
    /// Time over the predicted one at which a request that waits for such a
    /// moment is sent all the same, ms.
    pub reserve_ms: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            sure_part: 0.4,
            slack_ms: 150,
            reserve_ms: 500,
        }
    }
}

/// Reads and validates the settings file at `path`.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&text(path)?)
}

/// Validates settings given as JSON with comments.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    parse_validated(text, misread, broken)
}

/// Every field of the wrong type or of an unknown name.
fn misread(value: &Value) -> Vec<FieldError> {
    const SECTIONS: [&str; 7] = [
        "listen",
        "store",
        "bounds",
        "engines",
        "placement",
        "admission",
        "log",
    ];
    let mut reasons = Vec::new();
    check_fields::<Settings>("", value, &SECTIONS, &mut reasons);
    for name in SECTIONS {
        let Some(section) = value.get(name) else {
            continue;
        };
        let path = format!("/{name}");
        match name {
            "listen" => check_fields::<Listen>(&path, section, &[], &mut reasons),
            "store" => check_fields::<Store>(&path, section, &[], &mut reasons),
            "bounds" => check_fields::<Bounds>(&path, section, &[], &mut reasons),
            "placement" => check_fields::<Placement>(&path, section, &[], &mut reasons),
            "admission" => check_fields::<Admission>(&path, section, &[], &mut reasons),
            "engines" => check_fields::<Engines>(&path, section, &[], &mut reasons),
            _ => check_fields::<LogSettings>(&path, section, &[], &mut reasons),
        }
    }
    reasons
}

/// Every rule that settings of the right types break.
fn broken(settings: &Settings, value: &Value) -> Vec<FieldError> {
    let mut reasons = FieldErrors::default();
    for path in REQUIRED {
        let given = value.pointer(path).is_some_and(|v| v != "");
        reasons.check(given, path, &Value::Null, "is required");
    }
    let bounds = &settings.bounds;
    let positive = [
        ("/memory_mb", settings.memory_mb as f64),
        ("/store/reads_per_s", settings.store.reads_per_s),
        ("/bounds/grace_s", bounds.grace_s),
        ("/bounds/lease_ms", bounds.lease_ms as f64),
        ("/bounds/retry_window_s", bounds.retry_window_s),
        ("/bounds/ceiling_window_s", bounds.ceiling_window_s),
        ("/engines/prefill_per_ms", settings.engines.prefill_per_ms),
    ];
    for (path, figure) in positive {
        reasons.check(figure > 0.0, path, &figure, "must be above 0");
    }
    reasons.0
}

//! A complete small site: platform, engines and the settings of its daemons.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::{Value, json};

use super::engine::{EngineSettings, FakeEngine, LoadTimes};
use super::platform::FakePlatform;
use super::service::FakeService;
use super::weights::{FakeWeights, StoreSettings};
use crate::config::Name;
use crate::config::entry::Proposal;
use crate::config::ledger::{ConfigLedger, ProposeError};
use crate::config::state::ActiveConfig;
use crate::operators::keys::hash_key;
use crate::outside::client::Timeouts;
use crate::outside::http::HttpPlatform;
use crate::outside::{HostState, Platform};
use crate::settings::{ListenAddresses, LogSettings, PeerAddress, Settings};

/// Key of the caller `app`.
pub const CALLER_KEY: &str = "caller-key";
/// Key of the operator `ops`.
pub const OPERATOR_KEY: &str = "operator-key";
/// Key that daemons use with each other.
pub const PEER_KEY: &str = "key-between-daemons";
/// Text that crashes an engine when a prompt contains it.
pub const CRASH_TEXT: &str = "CRASH";

/// Size and speed of a site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Name of the firm.
    pub firm: Name,
    /// Number of daemons.
    pub daemons: u8,
    /// Number of engines in the pool `main`.
    pub engines: u32,
    /// Number of models: `m1`, `m2` and so on.
    pub models: u32,
    /// Number of adapters of `m1`: `m1-a1` and so on.
    pub adapters: u32,
    /// Replica limit of each model.
    pub replica_limit: u32,
    /// Load time from the weight store.
    pub load_time: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Number of tokens in a completion.
    pub tokens: usize,
    /// Every n-th engine ignores fencing tokens; with 0, none does.
    pub unfenced_every: u32,
    /// Failure domains; daemons are assigned to them in turn.
    pub domains: [&'static str; 4],
    /// First three octets of the site's loopback addresses. The last octet of
    /// daemons starts at 1, that of engines at 100.
    pub network: [u8; 3],
}

impl Default for SiteSettings {
    fn default() -> Self {
        SiteSettings {
            firm: "harrowby".into(),
            daemons: 5,
            engines: 4,
            models: 6,
            adapters: 3,
            replica_limit: 1,
            load_time: Duration::from_millis(400),
            token_interval: Duration::from_millis(20),
            tokens: 12,
            unfenced_every: 4,
            domains: DOMAINS,
            network: [127, 0, 0],
        }
    }
}

impl SiteSettings {
    /// Returns the address of an engine. It is fixed, so that the engine can restart on it.
    fn engine_addr(&self, number: u32) -> SocketAddr {
        let [a, b, c] = self.network;
        let last = u8::try_from(99 + number).unwrap_or(u8::MAX);
        SocketAddr::from((Ipv4Addr::new(a, b, c, last), ENGINE_PORT))
    }

    /// Returns the address of the plain service. It is fixed, so that the service can
    /// restart on it.
    pub(super) fn service_addr(&self) -> SocketAddr {
        let [a, b, c] = self.network;
        SocketAddr::from((Ipv4Addr::new(a, b, c, SERVICE_OCTET), SERVICE_PORT))
    }
}

/// Port for callers.
const CALLER_PORT: u16 = 7800;
/// Port for operators.
const OPERATOR_PORT: u16 = 7801;
/// Port for other daemons.
const PEER_PORT: u16 = 7802;
/// Port of an engine.
const ENGINE_PORT: u16 = 7900;
/// Last octet of the address of the plain service.
const SERVICE_OCTET: u8 = 99;
/// Port of the plain service.
const SERVICE_PORT: u16 = 7901;
/// Deadline of a call to the plain service, ms.
const SERVICE_DEADLINE_MS: u64 = 5_000;
/// Memory of an engine, MB.
const ENGINE_MB: u64 = 80_000;
/// Memory of a model, MB.
const MODEL_MB: u64 = 20_000;
/// Memory of an adapter, MB.
const ADAPTER_MB: u64 = 200;
/// Failure domains of the engines, and the default ones of the daemons.
const DOMAINS: [&str; 4] = ["derby", "leicester", "nottingham", "coventry"];

/// A running site without its daemons.
pub struct Site {
    /// Settings with which the site was started.
    pub settings: SiteSettings,
    /// Fake platform.
    pub platform: FakePlatform,
    /// Fake weight store.
    pub weights: FakeWeights,
    /// Engines, `e1` first.
    pub engines: Vec<FakeEngine>,
    /// The plain service `seats`; its call `POST /bookings` is not idempotent.
    pub service: FakeService,
}

impl Site {
    /// Starts the platform and the engines, and activates configuration version 1.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use.
    pub fn start(settings: SiteSettings) -> io::Result<Site> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = FakePlatform::start(any, "")?;
        let weights = FakeWeights::new(StoreSettings::default());
        let mut engines = Vec::new();
        for i in 1..=settings.engines {
            engines.push(FakeEngine::start(EngineSettings {
                name: format!("e{i}"),
                addr: settings.engine_addr(i),
                memory: ENGINE_MB,
                fenced: is_fenced(&settings, i),
                load_times: LoadTimes {
                    remote: settings.load_time,
                    disk: settings.load_time / 2,
                    memory: settings.load_time / 4,
                    ..LoadTimes::default()
                },
                weights: weights.clone(),
                token_interval: settings.token_interval,
                tokens: settings.tokens,
                crash_text: CRASH_TEXT.into(),
                ..EngineSettings::default()
            })?);
        }
        let service = FakeService::start(settings.service_addr())?;
        let site = Site {
            settings,
            platform,
            weights,
            engines,
            service,
        };
        site.apply_first_config(site.first_config())
            .map_err(io::Error::other)?;
        for i in 1..=site.settings.daemons {
            site.platform
                .set_host_state(&format!("h{i}"), Some(HostState::Live));
        }
        Ok(site)
    }

    /// Activates `patch` as version 1 of the configuration.
    pub(super) fn apply_first_config(&self, patch: Value) -> Result<(), ProposeError> {
        let http = HttpPlatform::new(self.platform.addresses(), "".into(), Timeouts::default());
        let ledger = ConfigLedger::new(http.table(), http.objects());
        let proposal = Proposal {
            base: 0,
            patch,
            who: "ops".into(),
            teams: vec!["*".into()],
            attempt: "first".into(),
            unix: 0,
        };
        ledger
            .propose(&ActiveConfig::default(), &proposal)
            .map(drop)
    }

    /// Returns version 1 of the configuration.
    pub fn first_config(&self) -> Value {
        json!({
            "models": self.model_entries(),
            "engines": self.engine_entries(),
            "services": {"seats": {
                "addrs": [self.service.addr.to_string()],
                "once": [{"method": "POST", "path": "/bookings"}],
                "deadline_ms": SERVICE_DEADLINE_MS,
            }},
            "callers": {"app": {"key_sha256": hash_key(CALLER_KEY), "priority": 9}},
            "operators": {"ops": {
                "key_sha256": hash_key(OPERATOR_KEY),
                "roles": ["read", "change", "drain"],
                "teams": ["*"],
            }},
            "policy": {"entry_keep_s": 1},
        })
    }

    fn model_entries(&self) -> Value {
        let load = self.settings.load_time.as_millis() as u64;
        let mut models = json!({});
        for i in 1..=self.settings.models {
            models[format!("m{i}")] = json!({
                "pool": "main", "memory": MODEL_MB, "limit": self.settings.replica_limit,
                "load_ms": load, "deadline_ms": 20_000,
            });
        }
        for i in 1..=self.settings.adapters {
            models[format!("m1-a{i}")] = json!({
                "pool": "main", "memory": ADAPTER_MB, "limit": self.settings.replica_limit,
                "load_ms": 10, "base": "m1", "deadline_ms": 20_000,
            });
        }
        models
    }

    fn engine_entries(&self) -> Value {
        let mut entries = json!({});
        for (i, engine) in (1..).zip(&self.engines) {
            entries[format!("e{i}")] = json!({
                "addr": engine.addr().to_string(), "pool": "main",
                "domain": DOMAINS[i as usize % DOMAINS.len()],
                "memory": ENGINE_MB, "fenced": is_fenced(&self.settings, i),
            });
        }
        entries
    }

    /// Returns the settings of all daemons.
    pub fn daemon_settings(&self) -> Vec<Settings> {
        let mut all = Vec::new();
        for i in 0..self.settings.daemons {
            all.push(self.daemon_settings_of(i));
        }
        let peers: Vec<PeerAddress> = all
            .iter()
            .map(|s| PeerAddress {
                host: s.host.clone(),
                addr: s.listen.peers,
            })
            .collect();
        for settings in &mut all {
            settings.peers = peers.clone();
        }
        all
    }

    fn daemon_settings_of(&self, number: u8) -> Settings {
        let [a, b, c] = self.settings.network;
        let ip = Ipv4Addr::new(a, b, c, 1 + number);
        Settings {
            firm: self.settings.firm.clone(),
            host: format!("h{}", number + 1).into(),
            domain: self.settings.domains[usize::from(number) % DOMAINS.len()].into(),
            listen: ListenAddresses {
                callers: SocketAddr::from((ip, CALLER_PORT)),
                operators: SocketAddr::from((ip, OPERATOR_PORT)),
                peers: SocketAddr::from((ip, PEER_PORT)),
            },
            platform: self.platform.addresses(),
            peer_key: PEER_KEY.into(),
            log: LogSettings {
                level: "info".into(),
                ..LogSettings::default()
            },
            ..Settings::default()
        }
    }
}

fn is_fenced(settings: &SiteSettings, number: u32) -> bool {
    settings.unfenced_every == 0 || !number.is_multiple_of(settings.unfenced_every)
}

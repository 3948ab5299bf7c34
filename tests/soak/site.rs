//! The deployment of a run, and the versions of its desired state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::customers;
use crate::engine::{EngineSetup, HEALTH_PATH, SoakEngine};
use crate::fakes::daemon::{Daemon, wait};
use crate::fakes::store::Store;
use crate::links::{DaemonLinks, Link, relay_settings};
use crate::record::{Kind, Recorder};
use crate::relay::Relay;
use crate::settings::SoakSettings;

/// Era of the store at the start.
pub const FIRST_ERA: u64 = 1;
/// Timeout of all routes, ms.
const ROUTE_TIMEOUT_MS: u64 = 5_000;
/// Idle timeout of callers' connections, ms.
const IDLE_TIMEOUT_MS: u64 = 3_000;

/// Idle timeouts of the engines.
const IDLE_TIMEOUTS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_millis(5_500),
    Duration::from_secs(60),
];

/// What changes between two versions of the desired state.
#[derive(Clone, Debug)]
pub struct Desired {
    pub version: u64,
    pub route_timeout_ms: u64,
    pub idle_timeout_ms: u64,
    /// Number of additional routes.
    pub extra_routes: u64,
    /// Customers, if callers have keys.
    pub customers: Option<Value>,
}

impl Default for Desired {
    fn default() -> Self {
        Desired {
            version: 1,
            route_timeout_ms: ROUTE_TIMEOUT_MS,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
            extra_routes: 0,
            customers: None,
        }
    }
}

/// Returns the path prefix of a kind of request.
pub fn prefix(kind: Kind) -> &'static str {
    match kind {
        Kind::Lookup => "/look/",
        Kind::Booking => "/book/",
        Kind::Stream => "/stream/",
        Kind::RigidStream => "/stream-rigid/",
    }
}

/// Returns the path prefix of an additional route.
pub fn extra_prefix(number: u64) -> String {
    format!("/extra{number}/")
}

impl Desired {
    pub fn json(&self) -> Value {
        let mut routes = vec![
            self.route(prefix(Kind::Lookup), "idempotent", "desk", false),
            self.route(prefix(Kind::Booking), "non_idempotent", "desk", false),
            self.route(prefix(Kind::Stream), "stream", "models", true),
            self.route(prefix(Kind::RigidStream), "stream", "models", false),
        ];
        for number in 0..self.extra_routes {
            let extra = extra_prefix(number);
            routes.push(self.route(&extra, "idempotent", "desk", false));
        }
        let mut state = json!({"version": self.version, "routes": routes,
            "services": [{"name": "desk", "maxConns": 50, "healthPath": HEALTH_PATH},
                {"name": "models", "maxConns": 50, "engine": {"slots": 4,
                    "kvCapacity": 90_000, "weightsMb": 150, "adapterSlots": 4,
                    "loadsPerS": 5.0,
                    "models": [{"name": "m1", "weightsMb": 60, "loadS": 0.1},
                        {"name": "m2", "weightsMb": 60, "loadS": 0.1}]}}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
                "headerTimeoutMs": 2_000, "idleTimeoutMs": self.idle_timeout_ms}});
        if let Some(customers) = &self.customers {
            state["tenants"] = customers.clone();
        }
        state
    }

    fn route(&self, prefix: &str, kind: &str, service: &str, resumable: bool) -> Value {
        json!({"name": prefix, "host": "firm.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": self.route_timeout_ms, "latencyTargetMs": 300, "priority": 1,
            "service": service, "attempts": 3, "resumable": resumable, "gapTargetMs": 400})
    }
}

/// Writes a version of the desired state.
pub fn write_desired(store: &Store, recorder: &Recorder, desired: &Desired) {
    recorder.add_idle_limit(Duration::from_millis(desired.idle_timeout_ms));
    recorder.add_desired(desired.extra_routes);
    store.put("op", "config", &desired.json());
}

/// Store, engines and daemons of a run.
pub struct Site {
    pub store: Store,
    pub engines: Vec<SoakEngine>,
    pub daemons: Vec<Mutex<Daemon>>,
    /// Relays of each daemon, if links are disturbed.
    links: Vec<DaemonLinks>,
    pub recorder: Arc<Recorder>,
}

impl Site {
    pub fn start(settings: &SoakSettings) -> Self {
        let store = Store::start();
        store.set_era(&FIRST_ERA.to_string());
        let recorder = Arc::new(Recorder::default());
        let desired = Desired {
            customers: settings.customers.then(|| customers::json(false)),
            ..Desired::default()
        };
        write_desired(&store, &recorder, &desired);
        let mut engines = Vec::new();
        for service in ["desk", "models"] {
            for number in 0..settings.engines {
                let models = match (service, number % 2) {
                    ("models", 0) => vec!["m1".to_owned()],
                    ("models", _) => vec!["m1".to_owned(), "m2".to_owned()],
                    _ => Vec::new(),
                };
                let setup = EngineSetup {
                    name: format!("{service}{number}"),
                    service: service.to_owned(),
                    models,
                    idle_timeout: IDLE_TIMEOUTS[number % IDLE_TIMEOUTS.len()],
                    watches_connections: number != 0,
                };
                let at = engines.len() as u64;
                engines.push(SoakEngine::start(setup, &store, &recorder, settings, at));
            }
        }
        let mut daemons = Vec::new();
        let mut links = Vec::new();
        for number in 0..settings.daemons {
            let host = format!("edge-{number}");
            if !settings.has_links() {
                daemons.push(Mutex::new(Daemon::launch(&store, &host)));
                continue;
            }
            let first = (engines.len() + 2 * number) as u64;
            let settings = [first, first + 1].map(|n| relay_settings(settings.seed, n));
            let to_store = Relay::start(store.addr, settings[0]);
            let mut reached = store.clone();
            reached.addr = to_store.addr;
            let daemon = Daemon::launch(&reached, &host);
            links.push(DaemonLinks {
                callers: Relay::start(daemon.callers, settings[1]),
                store: to_store,
            });
            daemons.push(Mutex::new(daemon));
        }
        for daemon in &daemons {
            wait("a ready daemon", || {
                daemon.lock().unwrap().get("/readyz").status == 200
            });
            if !settings.retries {
                remove_retries(&daemon.lock().unwrap());
            }
            if settings.customers {
                reload_with(&daemon.lock().unwrap(), customers::set_rules);
            }
        }
        Site {
            store,
            engines,
            daemons,
            links,
            recorder,
        }
    }

    /// Takes the key of a customer away.
    pub fn take_key(&self) {
        let desired = Desired {
            version: 2,
            customers: Some(customers::json(true)),
            ..Desired::default()
        };
        write_desired(&self.store, &self.recorder, &desired);
        self.recorder.set_key_taken();
    }

    /// Returns the relay of a link, if links are disturbed.
    pub fn relay(&self, link: Link) -> Option<&Relay> {
        match link {
            Link::Callers(daemon) => self.links.get(daemon).map(|l| &l.callers),
            Link::Store(daemon) => self.links.get(daemon).map(|l| &l.store),
            Link::Engine(engine) => self.engines[engine].relay(),
        }
    }

    /// Returns the addresses at which callers reach the daemons.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        let mut addrs = Vec::new();
        for (number, daemon) in self.daemons.iter().enumerate() {
            let relay = self.relay(Link::Callers(number));
            addrs.push(relay.map_or(daemon.lock().unwrap().callers, |r| r.addr));
        }
        addrs
    }
}

/// Leaves a daemon without a retry budget.
fn remove_retries(daemon: &Daemon) {
    reload_with(daemon, |s| {
        s["bounds"]["retry_slack"] = 0.0.into();
        s["bounds"]["retry_ratio"] = 0.0.into();
    });
}

/// Changes the settings of a daemon.
fn reload_with(daemon: &Daemon, change: impl Fn(&mut Value)) {
    daemon.write_settings(change);
    daemon.signal(libc::SIGHUP);
    wait("the new settings", || {
        !daemon.logged("settings reloaded").is_empty()
    });
}

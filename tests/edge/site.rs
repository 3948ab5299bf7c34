//! A deployment of one daemon with a fake store and fake engines.

use std::net::TcpStream;

use serde_json::{Value, json};

use crate::fakes::daemon::{Daemon, Request, Response, wait};
use crate::fakes::engine::{Behavior, EVENTS, Engine, HEALTH_PATH};
use crate::fakes::store::Store;

/// Header that names the model.
pub const MODEL: &str = "X-Mastichinge-Model";

/// Returns a route of the desired state.
pub fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({"name": prefix, "host": "firm.example", "pathPrefix": prefix, "kind": kind,
        "timeoutMs": 20_000, "latencyTargetMs": 300, "priority": 1, "service": service,
        "attempts": 2, "resumable": kind == "stream", "gapTargetMs": 400})
}

/// Returns the desired state of this deployment.
pub fn desired(version: u64) -> Value {
    let mut rigid = route("/stream-rigid/", "stream", "models");
    rigid["resumable"] = false.into();
    json!({"version": version,
        "routes": [route("/look/", "idempotent", "desk"), route("/book/", "non_idempotent", "desk"),
            route("/stream/", "stream", "models"), rigid],
        "services": [{"name": "desk", "maxConns": 50, "healthPath": HEALTH_PATH},
            {"name": "models", "maxConns": 50, "engine": {"slots": 8, "kvCapacity": 90_000,
                "weightsMb": 100, "adapterSlots": 4, "loadsPerS": 5.0,
                "models": [{"name": "m1", "weightsMb": 60, "loadS": 0.1},
                    {"name": "m2", "weightsMb": 60, "loadS": 0.1}]}}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000}})
}

/// Returns the ids of the events in a body.
pub fn events(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

/// Returns the ids of the events of a whole stream.
pub fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Asserts that the caller got the whole stream, each event once.
pub fn assert_whole(answer: &Response) {
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(events(&answer.body), all_events());
}

/// Waits until a daemon has logged that an engine leaves.
pub fn wait_for_leaving(daemon: &Daemon, engine: &str) {
    wait("the log line of an engine that leaves", || {
        let changes = daemon.logged("engine changed");
        changes
            .iter()
            .any(|l| l["engine"] == engine && l["change"] == "leaving")
    });
}

/// A store with two plain and two model engines, and one daemon.
pub struct Site {
    pub store: Store,
    pub plain: [Engine; 2],
    pub models: [Engine; 2],
    pub daemon: Daemon,
}

impl Site {
    pub fn start() -> Self {
        let store = Store::start();
        store.put("op", "config", &desired(5));
        Site::start_with(store)
    }

    /// Starts the engines and the daemon with this store.
    pub fn start_with(store: Store) -> Self {
        let plain = ["p1", "p2"].map(|id| Engine::start(&store, id, "desk", &[]));
        let models = ["e1", "e2"].map(|id| Engine::start(&store, id, "models", &["m1"]));
        let daemon = Daemon::start(&store, "edge-1");
        Site {
            store,
            plain,
            models,
            daemon,
        }
    }

    /// Starts a deployment with these limits on callers' requests.
    pub fn with_limits(limits: &[(&str, u64)]) -> Self {
        let site = Site::start();
        site.change_limits(6, limits);
        site
    }

    /// Writes a desired state with these limits and waits until it is in force.
    pub fn change_limits(&self, version: u64, limits: &[(&str, u64)]) {
        let mut state = desired(version);
        for (name, value) in limits {
            state["limits"][name] = json!(value);
        }
        self.store.put("op", "config", &state);
        self.wait_for_version(version);
    }

    /// Waits until a version of the desired state has come into force.
    pub fn wait_for_version(&self, version: u64) {
        wait("the desired state", || {
            let lines = self.daemon.logged("desired state in force");
            lines.iter().any(|l| l["version"] == version)
        });
    }

    /// Opens a caller's connection.
    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.daemon.callers).unwrap()
    }

    pub fn send(&self, path: &str, id: &str) -> Response {
        self.daemon.send(&Request::new(path, id))
    }

    /// Sends a request for the model `m1`.
    pub fn stream(&self, path: &str, id: &str) -> Response {
        self.daemon.send(&Request::new(path, id).with(MODEL, "m1"))
    }

    /// Starts another daemon and waits until both know each other.
    pub fn add_daemon(&self) -> Daemon {
        let other = Daemon::start(&self.store, "edge-2");
        wait("the members", || {
            [&self.daemon, &other]
                .iter()
                .all(|d| !d.logged("member alive").is_empty())
        });
        other
    }

    /// Sets the behavior of all engines.
    pub fn set(&self, behavior: Behavior) {
        for engine in self.plain.iter().chain(&self.models) {
            engine.set_behavior(behavior);
        }
    }

    /// Sets the behavior of the plain engines.
    pub fn set_plain(&self, behavior: Behavior) {
        for engine in &self.plain {
            engine.set_behavior(behavior);
        }
    }

    /// Leaves the daemon no retries.
    pub fn exhaust_retries(&self) {
        self.daemon.write_settings(|s| {
            s["bounds"]["retry_ratio"] = 0.0.into();
            s["bounds"]["retry_slack"] = 0.0.into();
        });
        self.daemon.signal(libc::SIGHUP);
        wait("the new settings", || {
            !self.daemon.logged("settings reloaded").is_empty()
        });
    }

    /// Waits until the daemon has logged a change of an engine.
    pub fn wait_for_change(&self, engine: &str, change: &str) {
        wait(change, || self.changes(engine, change) > 0);
    }

    /// Returns how often the daemon has logged a change of an engine.
    pub fn changes(&self, engine: &str, change: &str) -> usize {
        let changes = self.daemon.logged("engine changed");
        let is_it = |l: &&Value| l["engine"] == engine && l["change"] == change;
        changes.iter().filter(is_it).count()
    }

    /// Returns how often a request began to run.
    pub fn runs(&self, id: &str) -> usize {
        let engines = self.plain.iter().chain(&self.models);
        engines.map(|e| e.runs(id)).sum()
    }

    /// Returns how often a request reached an engine.
    pub fn arrivals(&self, id: &str) -> usize {
        let engines = self.plain.iter().chain(&self.models);
        let count = |e: &Engine| {
            let arrivals = e.arrivals();
            let of_request = arrivals
                .iter()
                .filter(|a| a.header("x-mastichinge-request-id") == id);
            of_request.count()
        };
        engines.map(count).sum()
    }
}

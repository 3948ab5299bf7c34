//! A small deployment: the store, its engines and its daemons.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::daemons::Daemon;
use crate::engine::{Engine, Kind, Work};
use crate::record::Record;
use crate::store::Store;

pub const ZONES: [&str; 4] = ["windhoek-north", "windhoek-south", "okahandja", "rehoboth"];
const DAEMONS: u8 = 5;
/// Time after which daemons are in touch (`contactMs`), and some more.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time in which daemons become ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Returns the desired state with this version and this `timeoutMs` of the route of streams.
pub fn config(version: u64, timeout_ms: u64) -> String {
    CONFIG
        .replace("VERSION", &version.to_string())
        .replace("TIMEOUT", &timeout_ms.to_string())
}

const CONFIG: &str = r#"{"version":VERSION,"routes":[
{"name":"r-ask","host":"lamps.example","pathPrefix":"/ask/","kind":"stream","timeoutMs":TIMEOUT,
 "latencyTargetMs":500,"priority":0,"service":"lamp-assist","attempts":2,"sticky":true,
 "resumable":true,"gapTargetMs":400},
{"name":"r-look","host":"lamps.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,
 "latencyTargetMs":300,"priority":2,"service":"depot-desk","attempts":2}],
"services":[
{"name":"lamp-assist","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,
 "engine":{"slots":64,"kvCapacity":232000,"models":[{"name":"m0","weightsMb":72700.0,"loadS":6.0,
 "adapters":0,"adapterMb":66.0,"warmS":0.4,"diskS":1.2},
 {"name":"m1","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,
 "diskS":0.52}],"weightsMb":140000.0,"adapterSlots":8,
 "loadsPerS":2.8}},
{"name":"depot-desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}"#;

/// What a deployment is made of.
pub struct Plan<'a> {
    pub config: &'a str,
    pub work: Work,
    /// Engines of models: the model that each holds, and the version of its software.
    pub lamp_engines: &'a [(&'a str, &'a str)],
    /// Parts of prompts that crash them.
    pub crashes_on: &'static [&'static str],
}

/// Daemons of a deployment, with the folder of their settings and logs; both end with it.
pub struct Site {
    pub daemons: Vec<Daemon>,
    pub store: Arc<Store>,
    /// Engines of models.
    pub engines: Vec<Arc<Engine>>,
    folder: PathBuf,
}

impl Site {
    /// Starts a deployment, and waits until its daemons are ready and in touch.
    pub fn start(plan: &Plan<'_>, record: &Arc<Record>) -> Result<Site, String> {
        let store = Store::start();
        store.write("op", "config", plan.config);
        let mut engines = Vec::new();
        for (i, (model, software)) in plan.lamp_engines.iter().enumerate() {
            let kind = Kind {
                id: &format!("i-lamp-{i}"),
                service: "lamp-assist",
                zone: ZONES[i % ZONES.len()],
                model: Some(model),
                software,
                slots: 64,
            };
            engines.push(Engine::start(
                kind,
                plan.work,
                plan.crashes_on,
                &store,
                record,
            ));
        }
        for (i, zone) in ZONES.iter().enumerate() {
            let id = format!("i-desk-{i}");
            let kind = Kind {
                id: &id,
                service: "depot-desk",
                zone,
                model: None,
                software: "v1",
                slots: 6,
            };
            Engine::start(kind, plan.work, &[], &store, record);
        }
        let name = format!("mastichinge-case-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(|e| format!("the folder: {e}"))?;
        let daemons = Vec::new();
        let mut site = Site {
            daemons,
            store,
            engines,
            folder,
        };
        site.start_daemons()?;
        record.add("all daemons are ready");
        sleep(CONTACT_TIME);
        Ok(site)
    }

    /// Starts all daemons, and waits until they are ready.
    pub fn start_daemons(&mut self) -> Result<(), String> {
        for number in 0..DAEMONS {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let daemon = Daemon::start(number, zone, self.store.addr, &self.folder);
            self.daemons
                .push(daemon.map_err(|e| format!("a daemon: {e}"))?);
        }
        match self.daemons.iter().all(|d| d.wait_until_ready(START_TIME)) {
            true => Ok(()),
            false => Err("a daemon is not ready".to_owned()),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var("KEEP").is_err() {
            // Only of use for a look at the logs.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

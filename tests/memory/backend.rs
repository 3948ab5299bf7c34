//! Fake backend of the operators' API that has only a configuration.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use mastichinge::config::entry::{Entry, Proposal};
use mastichinge::config::ledger::{ConfigLedger, ProposeError};
use mastichinge::config::state::ActiveConfig;
use mastichinge::error::{Kind, Refusal};
use mastichinge::operators::api::OperatorApi;
use mastichinge::operators::backend::ApiBackend;
use mastichinge::operators::keys::hash_key;
use mastichinge::operators::server::{RunningServer, start};
use mastichinge::operators::status::{
    EngineStatus, HeldStatus, HostStatus, MemberStatus, ModelStatus,
};

use super::{MemoryObjects, MemoryTable};

/// Key of the operator `admin`.
pub const ADMIN_KEY: &str = "admin-key";

/// A fake daemon without callers, engines or peers.
#[derive(Default)]
pub struct FakeBackend {
    /// Table, shared by all hosts in a test.
    pub table: Arc<MemoryTable>,
    /// Object store.
    pub objects: MemoryObjects,
    /// Active configuration.
    pub active_config: Mutex<ActiveConfig>,
    /// Whether a drain was requested.
    pub drain_requested: AtomicBool,
}

impl ApiBackend for FakeBackend {
    type Table = MemoryTable;
    type Objects = MemoryObjects;

    fn table(&self) -> &MemoryTable {
        &self.table
    }

    fn objects(&self) -> &MemoryObjects {
        &self.objects
    }

    fn active_config(&self) -> ActiveConfig {
        self.active_config.lock().unwrap().clone()
    }

    fn propose(&self, proposal: &Proposal) -> Result<Entry, ProposeError> {
        let ledger = ConfigLedger::new(&*self.table, &self.objects);
        let entry = ledger.propose(&self.active_config(), proposal)?;
        self.active_config.lock().unwrap().apply(&entry).unwrap();
        Ok(entry)
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        if self.active_config().version > 0 {
            return Ok(());
        }
        Err(Refusal::new(Kind::NotReady, "no version"))
    }

    fn status(&self) -> HostStatus {
        HostStatus {
            host: "h1".into(),
            leaving: self.drain_requested.load(Ordering::SeqCst),
            ..HostStatus::default()
        }
    }

    fn hosts(&self) -> Vec<MemberStatus> {
        let member = MemberStatus {
            host: "h1".into(),
            config: self.active_config().version,
            ..MemberStatus::default()
        };
        vec![member]
    }

    fn models(&self, prefix: &str) -> Vec<ModelStatus> {
        let mut models = Vec::new();
        for name in self.active_config().config.models.keys() {
            if name.starts_with(prefix) {
                models.push(ModelStatus {
                    model: name.clone(),
                    ..ModelStatus::default()
                });
            }
        }
        models
    }

    fn engines(&self, _prefix: &str) -> Vec<EngineStatus> {
        Vec::new()
    }

    fn held_requests(&self) -> Vec<HeldStatus> {
        Vec::new()
    }

    fn release_held(&self, fingerprint: &str) -> Result<bool, Refusal> {
        Ok(fingerprint == "f1")
    }

    fn drain(&self) {
        self.drain_requested.store(true, Ordering::SeqCst);
    }

    fn metrics(&self) -> String {
        "up 1\n".to_owned()
    }
}

/// A running server of the operators' API.
pub struct FakeApiServer {
    /// Address on which the server listens.
    pub addr: SocketAddr,
    _running: RunningServer,
}

/// Serves the operators' API of `backend` on a free port.
pub fn serve_api(backend: Arc<FakeBackend>) -> FakeApiServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let admin_hash = hash_key(ADMIN_KEY).into();
    FakeApiServer {
        addr,
        _running: start(
            listener,
            OperatorApi {
                backend,
                admin_hash,
            },
        )
        .unwrap(),
    }
}

/// Returns an address on which nothing listens.
pub fn unused_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

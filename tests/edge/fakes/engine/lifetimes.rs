//! Entries, crashes and restarts of a fake engine.

use std::sync::atomic::Ordering;

use serde_json::{Value, json};

use super::{Engine, model_json};
use crate::fakes::daemon::wait;

impl Engine {
    /// Closes all connections and accepts no more.
    pub fn crash(&self) {
        // A connection that comes before the address is closed would still be served.
        wait("the closed address", || {
            self.dead.notify_waiters();
            std::net::TcpStream::connect(self.addr).is_err()
        });
    }

    /// Starts a new lifetime under the same id, without added headers, and registers it.
    pub fn start_again(&self) {
        self.start_unlisted();
        self.register("ready");
    }

    /// Closes all connections and starts a new lifetime with other software at once; its entry is
    /// still that of the lifetime before.
    pub fn replace_unlisted(&self, software: &str) {
        self.start_unlisted();
        self.state.lock().unwrap().software = software.to_owned();
        self.closed.notify_waiters();
    }

    /// Starts a new lifetime under the same id, without added headers; its entry is still
    /// that of the lifetime before.
    pub fn start_unlisted(&self) {
        let mut state = self.state.lock().unwrap();
        state.born += 1_000;
        state.headers.clear();
    }

    /// Writes the engine's entry with this state to the store.
    pub fn register(&self, state: &str) {
        self.register_as(&self.id, state);
    }

    /// Registers the engine under a further id at its address, as when it starts again.
    pub fn add_alias(&self, id: &str) {
        self.state.lock().unwrap().aliases.push(id.to_owned());
        self.register_as(id, "ready");
    }

    fn register_as(&self, id: &str, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (models, born, software): (Vec<Value>, u64, String) = {
            let state = self.state.lock().unwrap();
            let models = state.models.iter().map(model_json).collect();
            (models, state.born, state.software.clone())
        };
        let entry = json!({"service": self.service, "addr": self.addr.to_string(),
            "zone": "north", "version": software, "slots": 8, "state": state, "coldLeftMs": 0,
            "stage": "both", "models": models, "seq": sequence, "born": born});
        self.store.put("servers", id, &entry);
    }
}

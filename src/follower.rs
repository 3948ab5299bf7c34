//! Keeps this daemon's configuration up to date: polls the table and exchanges
//! changes with the other daemons.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use crate::config::Name;
use crate::config::entry::{Entry, Proposal};
use crate::config::ledger::{ConfigLedger, ProposeError};
use crate::config::state::{ActiveConfig, ApplyOutcome};
use crate::control::Event;
use crate::outside::Platform;
use crate::peer::Peers;
use crate::peer::wire::{Body, Change, ChangesRequest, Snapshot};

/// Minimum interval between two reads of the configuration head in the table.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum interval between two reads of the head; changes that peers push arrive without
/// polling.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum rate of head reads by all daemons together at intervals below the maximum; it
/// lengthens the interval when there are more than 90 daemons.
const HEAD_READS_PER_S: u32 = 90;
/// Maximum number of recent changes kept for peers that missed some.
const MAX_RECENT_CHANGES: usize = 1_000;

/// Holds the active configuration and updates it.
pub struct ConfigFollower<P> {
    platform: Arc<P>,
    peers: Arc<Peers>,
    state: Arc<Mutex<State>>,
    events: Sender<Event>,
    daemon_count: usize,
}

#[derive(Default)]
struct State {
    active: ActiveConfig,
    recent_changes: VecDeque<Entry>,
}

impl<P> Clone for ConfigFollower<P> {
    fn clone(&self) -> Self {
        ConfigFollower {
            platform: self.platform.clone(),
            peers: self.peers.clone(),
            state: self.state.clone(),
            events: self.events.clone(),
            daemon_count: self.daemon_count,
        }
    }
}

impl<P: Platform> ConfigFollower<P> {
    /// Creates a follower with an empty configuration; `daemon_count` includes
    /// this daemon.
    pub fn new(
        platform: Arc<P>,
        peers: Arc<Peers>,
        events: Sender<Event>,
        daemon_count: usize,
    ) -> Self {
        ConfigFollower {
            platform,
            peers,
            state: Arc::default(),
            events,
            daemon_count,
        }
    }

    /// Starts the threads that poll the table and handle messages of peers; they end
    /// when `inbox` closes.
    ///
    /// # Errors
    ///
    /// A thread cannot be started.
    pub fn start(&self, inbox: Receiver<(Name, Body)>) -> std::io::Result<JoinHandle<()>> {
        let follower = self.clone();
        let poller = self.clone();
        let (stop, stopped) = crossbeam::channel::bounded::<()>(0);
        thread::Builder::new()
            .name("head".into())
            .spawn(move || poller.poll_table(&stopped))?;
        thread::Builder::new().name("follow".into()).spawn(move || {
            let _stop = stop;
            for (from, body) in inbox {
                follower.handle_message(&from, body);
            }
        })
    }

    /// Returns the active configuration.
    pub fn active_config(&self) -> ActiveConfig {
        self.lock().active.clone()
    }

    /// Commits a patch, applies it and broadcasts it to all peers.
    ///
    /// # Errors
    ///
    /// The proposal was not accepted, or its outcome is unknown.
    pub fn propose(&self, proposal: &Proposal) -> Result<Entry, ProposeError> {
        let current = self.active_config();
        let entry = self.ledger().propose(&current, proposal)?;
        if self.apply(&entry) == Some(ApplyOutcome::Gap) {
            self.refresh();
        }
        self.peers.broadcast(change_message(&entry));
        Ok(entry)
    }

    /// Returns the configuration's ledger in the platform's services.
    pub fn ledger(&self) -> ConfigLedger<'_, P::Table, P::Objects> {
        ConfigLedger::new(self.platform.table(), self.platform.objects())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Polls the table until `stopped` closes and reports whether it responds.
    fn poll_table(&self, stopped: &Receiver<()>) {
        loop {
            let available = self.refresh();
            if self.events.send(Event::TableHealth { available }).is_err() {
                return;
            }
            match stopped.recv_timeout(self.poll_interval()) {
                Err(RecvTimeoutError::Timeout) => {}
                _ => return,
            }
        }
    }

    /// Returns the time until the next poll, shortened by up to a quarter at random.
    fn poll_interval(&self) -> Duration {
        let daemons = u32::try_from(self.daemon_count).unwrap_or(u32::MAX);
        let interval = (MIN_POLL_INTERVAL * daemons / HEAD_READS_PER_S)
            .clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
        interval.mul_f64(0.75 + 0.25 * rand::random::<f64>())
    }

    /// Updates to the latest version in the table; returns whether the table could
    /// be read.
    fn refresh(&self) -> bool {
        let mut newer = self.active_config();
        let before = newer.version;
        if let Err(e) = self.ledger().refresh(&mut newer) {
            log::debug!("cannot read the configuration: {e}");
            return false;
        }
        if newer.version > before {
            self.activate(newer);
        }
        true
    }

    /// Activates `newer` if its version is newer.
    fn activate(&self, newer: ActiveConfig) {
        let mut state = self.lock();
        if newer.version <= state.active.version {
            return;
        }
        state.active = newer;
        self.notify_control(&state.active);
    }

    /// Sends the active version to the control thread. Called under the lock, so that
    /// versions are sent in order.
    fn notify_control(&self, active: &ActiveConfig) {
        log::info!("configuration version {} is in force", active.version);
        let _ = self.events.send(Event::Config {
            version: active.version,
            config: active.config.clone(),
        });
    }

    fn apply(&self, entry: &Entry) -> Option<ApplyOutcome> {
        let mut state = self.lock();
        let outcome = match state.active.apply(entry) {
            Ok(outcome) => outcome,
            Err(e) => {
                log::error!("{e}");
                return None;
            }
        };
        if outcome == ApplyOutcome::Applied {
            state.recent_changes.push_back(entry.clone());
            if state.recent_changes.len() > MAX_RECENT_CHANGES {
                state.recent_changes.pop_front();
            }
            self.notify_control(&state.active);
        }
        Some(outcome)
    }

    fn handle_message(&self, from: &Name, body: Body) {
        match body {
            Body::Heartbeat(_) => self.request_changes(from),
            Body::Change(change) => self.handle_change(from, &change),
            Body::ChangesRequest(request) => self.send_missing_changes(from, request.version),
            Body::Snapshot(snapshot) => self.handle_snapshot(&snapshot),
            _ => {}
        }
    }

    fn request_changes(&self, from: &Name) {
        let version = self.lock().active.version;
        self.send(from, Body::ChangesRequest(ChangesRequest { version }));
    }

    fn handle_change(&self, from: &Name, change: &Change) {
        let entry: Entry = match serde_json::from_str(&change.entry) {
            Ok(entry) => entry,
            Err(e) => {
                log::warn!("invalid configuration change from {from}: {e}");
                return;
            }
        };
        if self.apply(&entry) == Some(ApplyOutcome::Gap) {
            self.request_changes(from);
        }
    }

    /// Sends a peer the changes after `peer_version`, or the whole document if some of
    /// them are no longer kept.
    fn send_missing_changes(&self, to: &Name, peer_version: u64) {
        let state = self.lock();
        let oldest_kept = state.recent_changes.front().map_or(u64::MAX, |e| e.version);
        if oldest_kept > peer_version + 1 {
            let snapshot = Body::Snapshot(Snapshot {
                version: state.active.version,
                document: state.active.document_text(),
            });
            let version = state.active.version;
            drop(state);
            if version > peer_version {
                self.send(to, snapshot);
            }
            return;
        }
        let newer = state
            .recent_changes
            .iter()
            .filter(|e| e.version > peer_version);
        let changes: Vec<Body> = newer.map(change_message).collect();
        drop(state);
        for body in changes {
            self.send(to, body);
        }
    }

    fn handle_snapshot(&self, snapshot: &Snapshot) {
        let mut newer = self.active_config();
        match newer.restore_text(snapshot.version, &snapshot.document) {
            Ok(ApplyOutcome::Applied) => self.activate(newer),
            Ok(_) => {}
            Err(e) => log::error!("{e}"),
        }
    }

    fn send(&self, to: &Name, body: Body) {
        if let Err(e) = self.peers.send(to, body) {
            log::debug!("cannot send the configuration to {to}: {e}");
        }
    }
}

fn change_message(entry: &Entry) -> Body {
    Body::Change(Change {
        version: entry.version,
        entry: serde_json::to_string(entry).unwrap_or_default(),
    })
}

//! The thread that keeps this daemon's configuration up to date.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use crate::config::Name;
use crate::config::entry::{Entry, Proposal};
use crate::config::ledger::{Ledger, ProposeError};
use crate::config::state::{Applied, Current};
use crate::control::Event;
use crate::outside::Platform;
use crate::peer::Peers;
use crate::peer::wire::{Body, Change, ChangeAsk, Snapshot};

/// Shortest period at which a daemon reads the table's head.
const POLL: Duration = Duration::from_secs(1);
/// Longest such period; pushed changes need no poll.
const POLL_MOST: Duration = Duration::from_secs(5);
/// Reads of the head a second by all daemons, up to which the period is the
/// shortest.
const READS: u32 = 90;
/// Changes kept for peers that missed some.
const KEPT: usize = 1_000;

/// Keeps the configuration.
pub struct Follower<P> {
    platform: Arc<P>,
    peers: Arc<Peers>,
    state: Arc<Mutex<State>>,
    events: Sender<Event>,
    hosts: usize,
}

#[derive(Default)]
struct State {
    current: Current,
    recent: VecDeque<Entry>,
}

impl<P> Clone for Follower<P> {
    fn clone(&self) -> Self {
        Follower {
            platform: self.platform.clone(),
            peers: self.peers.clone(),
            state: self.state.clone(),
            events: self.events.clone(),
            hosts: self.hosts,
        }
    }
}

impl<P: Platform> Follower<P> {
    /// A follower among `hosts` daemons that knows no version.
    pub fn new(platform: Arc<P>, peers: Arc<Peers>, events: Sender<Event>, hosts: usize) -> Self {
        Follower {
            platform,
            peers,
            state: Arc::default(),
            events,
            hosts,
        }
    }

    /// Starts the thread; it ends when `inbox` closes.
    ///
    /// # Errors
    ///
    /// The system refuses a thread.
    pub fn start(&self, inbox: Receiver<(Name, Body)>) -> std::io::Result<JoinHandle<()>> {
        let follower = self.clone();
        let polling = self.clone();
        let (stop, stopped) = crossbeam::channel::bounded::<()>(0);
        thread::Builder::new()
            .name("head".into())
            .spawn(move || polling.poll(&stopped))?;
        thread::Builder::new().name("follow".into()).spawn(move || {
            let _stop = stop;
            for (from, body) in inbox {
                follower.message(&from, body);
            }
        })
    }

    /// The version in force.
    pub fn current(&self) -> Current {
        self.lock().current.clone()
    }

    /// Puts a patch into force and tells all peers.
    ///
    /// # Errors
    ///
    /// Why the proposal was not accepted.
    pub fn propose(&self, proposal: &Proposal) -> Result<Entry, ProposeError> {
        let current = self.current();
        let entry = self.ledger().propose(&current, proposal)?;
        if self.apply(&entry) == Some(Applied::Gap) {
            self.refresh();
        }
        self.peers.broadcast(change(&entry));
        Ok(entry)
    }

    /// The records in the platform's services.
    pub fn ledger(&self) -> Ledger<'_, P::Table, P::Objects> {
        Ledger::new(self.platform.table(), self.platform.objects())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Reads the head until `stopped` closes.
    fn poll(&self, stopped: &Receiver<()>) {
        loop {
            let table = self.refresh();
            if self
                .events
                .send(Event::TableHealth { available: table })
                .is_err()
            {
                return;
            }
            match stopped.recv_timeout(self.period()) {
                Err(RecvTimeoutError::Timeout) => {}
                _ => return,
            }
        }
    }

    /// Time until the next read of the head, jittered by a quarter.
    fn period(&self) -> Duration {
        let hosts = u32::try_from(self.hosts).unwrap_or(u32::MAX);
        let period = (POLL * hosts / READS).clamp(POLL, POLL_MOST);
        period.mul_f64(0.75 + 0.25 * rand::random::<f64>())
    }

    /// Reads what the table has beyond the version in force; answers whether
    /// the table answered.
    fn refresh(&self) -> bool {
        let mut newer = self.current();
        let before = newer.version;
        if let Err(e) = self.ledger().refresh(&mut newer) {
            log::debug!("reading the configuration: {e}");
            return false;
        }
        if newer.version > before {
            self.raise(newer);
        }
        true
    }

    /// Takes a newer version; an older one changes nothing.
    fn raise(&self, newer: Current) {
        let mut state = self.lock();
        if newer.version <= state.current.version {
            return;
        }
        state.current = newer;
        self.announce(&state.current);
    }

    /// Tells the control thread, in the order of versions: called under the lock.
    fn announce(&self, current: &Current) {
        log::info!("configuration version {} is in force", current.version);
        let _ = self.events.send(Event::Config {
            version: current.version,
            config: current.config.clone(),
        });
    }

    fn apply(&self, entry: &Entry) -> Option<Applied> {
        let mut state = self.lock();
        let applied = match state.current.apply(entry) {
            Ok(applied) => applied,
            Err(e) => {
                log::error!("{e}");
                return None;
            }
        };
        if applied == Applied::Raised {
            state.recent.push_back(entry.clone());
            if state.recent.len() > KEPT {
                state.recent.pop_front();
            }
            self.announce(&state.current);
        }
        Some(applied)
    }

    fn message(&self, from: &Name, body: Body) {
        match body {
            Body::Heartbeat(_) => self.ask(from),
            Body::Change(change) => self.changed(from, &change),
            Body::ChangeAsk(ask) => self.answer(from, ask.have),
            Body::Snapshot(snapshot) => self.restore(&snapshot),
            _ => {}
        }
    }

    fn ask(&self, from: &Name) {
        let have = self.lock().current.version;
        self.send(from, Body::ChangeAsk(ChangeAsk { have }));
    }

    fn changed(&self, from: &Name, change: &Change) {
        let entry: Entry = match serde_json::from_str(&change.entry) {
            Ok(entry) => entry,
            Err(e) => {
                log::warn!("{from} sent a change that cannot be read: {e}");
                return;
            }
        };
        if self.apply(&entry) == Some(Applied::Gap) {
            self.ask(from);
        }
    }

    /// Sends a peer what it lacks: the changes, or the whole document.
    fn answer(&self, to: &Name, have: u64) {
        let state = self.lock();
        let first = state.recent.front().map_or(u64::MAX, |e| e.version);
        if first > have + 1 {
            let snapshot = Body::Snapshot(Snapshot {
                version: state.current.version,
                document: state.current.text(),
            });
            let known = state.current.version;
            drop(state);
            if known > have {
                self.send(to, snapshot);
            }
            return;
        }
        let newer = state.recent.iter().filter(|e| e.version > have);
        let changes: Vec<Body> = newer.map(change).collect();
        drop(state);
        for body in changes {
            self.send(to, body);
        }
    }

    fn restore(&self, snapshot: &Snapshot) {
        let mut newer = self.current();
        match newer.restore_text(snapshot.version, &snapshot.document) {
            Ok(Applied::Raised) => self.raise(newer),
            Ok(_) => {}
            Err(e) => log::error!("{e}"),
        }
    }

    fn send(&self, to: &Name, body: Body) {
        if let Err(e) = self.peers.send(to, body) {
            log::debug!("configuration for {to}: {e}");
        }
    }
}

fn change(entry: &Entry) -> Body {
    Body::Change(Change {
        version: entry.version,
        entry: serde_json::to_string(entry).unwrap_or_default(),
    })
}

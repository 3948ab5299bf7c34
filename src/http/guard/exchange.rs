//! Requests that the library has handed over, by the client's address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State of the exchanges with one client address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Requests handed over and not ended.
    pub open: u32,
    /// Those of them that were received whole.
    pub answering: u32,
    /// Requests ended so far.
    pub finished: u64,
    /// The last one ended before it was received whole.
    pub unread: bool,
    /// The connection is to be closed.
    pub condemned: bool,
}

/// States of all exchanges at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot(HashMap<SocketAddr, Progress>);

impl Snapshot {
    /// State of the exchanges with `peer`.
    pub fn of(&self, peer: &SocketAddr) -> Progress {
        self.0.get(peer).copied().unwrap_or_default()
    }

    /// Whether an answer to `peer` is in progress.
    pub fn is_answering(&self, peer: &SocketAddr) -> bool {
        self.of(peer).answering > 0
    }
}

/// Exchanges with all clients.
#[derive(Debug, Default)]
pub struct Exchanges {
    clients: Mutex<HashMap<SocketAddr, Progress>>,
}

impl Exchanges {
    /// Begins an exchange with `peer`.
    pub fn begin(self: &Arc<Self>, peer: Option<SocketAddr>) -> Exchange {
        self.change(peer, |progress| progress.open += 1);
        Exchange {
            exchanges: self.clone(),
            peer,
            received: false,
        }
    }

    /// Has the connection of `peer` closed.
    pub fn condemn(&self, peer: Option<SocketAddr>) {
        self.change(peer, |progress| progress.condemned = true);
    }

    /// Present states.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.lock().clone())
    }

    /// Forgets clients without exchanges that `known` denies.
    pub fn forget(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|peer, p| p.open > 0 || known(peer));
    }

    fn change(&self, peer: Option<SocketAddr>, step: impl FnOnce(&mut Progress)) {
        if let Some(peer) = peer {
            step(self.lock().entry(peer).or_default());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Progress>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request in progress; ends when it is dropped.
#[derive(Debug)]
pub struct Exchange {
    exchanges: Arc<Exchanges>,
    peer: Option<SocketAddr>,
    received: bool,
}

impl Exchange {
    /// The request was received whole; from here on the client may be silent.
    pub fn received(&mut self) {
        if !self.received {
            self.received = true;
            self.exchanges.change(self.peer, |p| p.answering += 1);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let received = self.received;
        self.exchanges.change(self.peer, |progress| {
            progress.open -= 1;
            progress.finished += 1;
            progress.unread = !received;
            if received {
                progress.answering -= 1;
            }
        });
    }
}

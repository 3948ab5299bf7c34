//! Requests that the library has handed over, by the client's address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State of the exchanges with one client address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerState {
    /// Requests handed over and not ended.
    pub open: u32,
    /// Those of them that were received whole.
    pub responding: u32,
    /// Requests ended so far.
    pub finished: u64,
    /// The last one ended before it was received whole.
    pub unread: bool,
    /// The connection is to be closed.
    pub must_close: bool,
}

/// States of all exchanges at one moment.
#[derive(Clone, Debug, Default)]
pub struct StateSnapshot(HashMap<SocketAddr, PeerState>);

impl StateSnapshot {
    /// State of the exchanges with `peer`.
    pub fn state_of(&self, peer: &SocketAddr) -> PeerState {
        self.0.get(peer).copied().unwrap_or_default()
    }

    /// Whether an answer to `peer` is in progress.
    pub fn is_responding(&self, peer: &SocketAddr) -> bool {
        self.state_of(peer).responding > 0
    }
}

/// Exchanges with all clients.
#[derive(Debug, Default)]
pub struct Exchanges {
    peers: Mutex<HashMap<SocketAddr, PeerState>>,
}

impl Exchanges {
    /// Begins an exchange with `peer`.
    pub fn begin(self: &Arc<Self>, peer: Option<SocketAddr>) -> Exchange {
        self.update(peer, |state| state.open += 1);
        Exchange {
            exchanges: self.clone(),
            peer,
            received: false,
        }
    }

    /// Has the connection of `peer` closed.
    pub fn close_connection(&self, peer: Option<SocketAddr>) {
        self.update(peer, |state| state.must_close = true);
    }

    /// Present states.
    pub fn snapshot(&self) -> StateSnapshot {
        StateSnapshot(self.lock().clone())
    }

    /// Forgets clients without exchanges that `known` denies.
    pub fn remove_idle(&self, is_connected: impl Fn(&SocketAddr) -> bool) {
        self.lock()
            .retain(|peer, state| state.open > 0 || is_connected(peer));
    }

    fn update(&self, peer: Option<SocketAddr>, apply: impl FnOnce(&mut PeerState)) {
        if let Some(peer) = peer {
            apply(self.lock().entry(peer).or_default());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerState>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
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
    pub fn mark_received(&mut self) {
        if !self.received {
            self.received = true;
            self.exchanges
                .update(self.peer, |state| state.responding += 1);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let received = self.received;
        self.exchanges.update(self.peer, |state| {
            state.open -= 1;
            state.finished += 1;
            state.unread = !received;
            if received {
                state.responding -= 1;
            }
        });
    }
}

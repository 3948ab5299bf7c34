//! Tracks the requests received from `tiny_http`, by client address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State of the exchanges with one client address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientState {
    /// Requests received from `tiny_http` and still in progress.
    pub open: u32,
    /// Requests in progress that were received completely.
    pub responding: u32,
    /// Number of requests that have ended.
    pub finished: u64,
    /// Whether the last request ended before it was received completely.
    pub unread: bool,
    /// Whether the connection must be closed.
    pub must_close: bool,
}

/// States of the exchanges with all clients at one time.
#[derive(Clone, Debug, Default)]
pub struct ClientStates(HashMap<SocketAddr, ClientState>);

impl ClientStates {
    /// Returns the state of the exchanges with `peer`.
    pub fn state_of(&self, peer: &SocketAddr) -> ClientState {
        self.0.get(peer).copied().unwrap_or_default()
    }

    /// Returns whether a response to `peer` is in progress.
    pub fn is_responding(&self, peer: &SocketAddr) -> bool {
        self.state_of(peer).responding > 0
    }
}

/// The exchanges with all clients.
#[derive(Debug, Default)]
pub struct Exchanges {
    clients: Mutex<HashMap<SocketAddr, ClientState>>,
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

    /// Marks the connection of `peer` to be closed by the guard thread.
    pub fn close_connection(&self, peer: Option<SocketAddr>) {
        self.update(peer, |state| state.must_close = true);
    }

    /// Returns the current states.
    pub fn snapshot(&self) -> ClientStates {
        ClientStates(self.lock().clone())
    }

    /// Removes clients that have no exchange and are not connected.
    pub fn remove_idle(&self, is_connected: impl Fn(&SocketAddr) -> bool) {
        self.lock()
            .retain(|peer, state| state.open > 0 || is_connected(peer));
    }

    fn update(&self, peer: Option<SocketAddr>, apply: impl FnOnce(&mut ClientState)) {
        if let Some(peer) = peer {
            apply(self.lock().entry(peer).or_default());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, ClientState>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request in progress; dropping it ends the exchange.
#[derive(Debug)]
pub struct Exchange {
    exchanges: Arc<Exchanges>,
    peer: Option<SocketAddr>,
    received: bool,
}

impl Exchange {
    /// Marks the request as completely received: from now on the client may be
    /// silent without a timeout.
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

//! Decides which connections exceed their limits; does no I/O.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::GuardSettings;
use super::exchange::{ClientState, ClientStates};
use super::scan::{ReceivedBytes, SocketSample};
use crate::clock::Moment;

/// Allowance for the small body that `tiny_http` reads together with the head,
/// and for its read buffer.
const HEAD_SLACK_BYTES: u64 = 2 << 10;
/// Maximum number of requests that a client may pipeline on one connection.
const MAX_PIPELINED_REQUESTS: u32 = 16;
/// Time after the timeout in which the body reader may detect a slow client
/// itself.
const BODY_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Time for which received bytes may be unread while no request is in progress; the thread of a
/// connection reads them at once.
const UNREAD_TIME: Duration = Duration::from_millis(100);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CloseReason {
    /// The request head did not arrive in time.
    SlowHead,
    /// The request head is too large.
    LargeHead,
    /// The request body did not arrive in time.
    SlowBody,
    /// The rest of a refused body is too large or arrives too slowly.
    Unread,
    /// No request arrived.
    Idle,
    /// There are too many connections, or too many requests on this one.
    TooMany,
    /// The connection cannot be used for further requests.
    #[strum(serialize = "condemned")]
    Unusable,
}

/// A connection to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseAction {
    /// Inode of the socket.
    pub inode: u64,
    /// Address of the client.
    pub peer: SocketAddr,
    /// Why it is closed.
    pub reason: CloseReason,
}

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Idle,
    /// A request head is arriving; holds the number of bytes read before it.
    ReceivingHead(u64),
    /// `tiny_http` has delivered a request whose body is arriving.
    ReceivingBody,
    /// A response is in progress.
    Responding,
    /// The receiving side was closed; the response continues.
    ReadClosed,
    /// The connection was closed; its descriptors may still exist.
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    peer: SocketAddr,
    phase: Phase,
    phase_start: Moment,
    /// Number of ended requests at the last update.
    finished: u64,
    /// Bytes received when the last request ended.
    baseline: Option<ReceivedBytes>,
    /// Bytes that were read at the last update.
    read: u64,
    /// Since when received bytes are unread.
    unread_since: Option<Moment>,
}

/// The connections of one listening address.
#[derive(Debug)]
pub struct ConnectionMonitor {
    settings: GuardSettings,
    connections: HashMap<u64, Connection>,
    peers: HashSet<SocketAddr>,
}

impl ConnectionMonitor {
    /// Creates a monitor without connections.
    pub fn new(settings: GuardSettings) -> Self {
        ConnectionMonitor {
            settings,
            connections: HashMap::new(),
            peers: HashSet::new(),
        }
    }

    /// Returns whether `peer` has a connection.
    pub fn has_peer(&self, peer: &SocketAddr) -> bool {
        self.peers.contains(peer)
    }

    /// Returns whether the next scan should follow soon, because a request head
    /// is arriving or nobody reads it.
    pub fn needs_fast_scan(&self) -> bool {
        let is_receiving = |c: &Connection| matches!(c.phase, Phase::ReceivingHead(_));
        let mut connections = self.connections.values();
        connections.any(|c| is_receiving(c) || c.unread_since.is_some())
    }

    /// Returns the number of connections that no thread has read for [`UNREAD_TIME`]; each is
    /// counted again only after that time.
    pub fn take_unread(&mut self, now: Moment) -> usize {
        let mut count = 0;
        for connection in self.connections.values_mut() {
            let Some(since) = &mut connection.unread_since else {
                continue;
            };
            if now.saturating_sub(*since) >= UNREAD_TIME {
                *since = now;
                count += 1;
            }
        }
        count
    }

    /// Updates all connections from the socket samples and the states of the
    /// exchanges; returns what to close.
    pub fn update(
        &mut self,
        samples: &[SocketSample],
        states: &ClientStates,
        now: Moment,
    ) -> Vec<CloseAction> {
        let seen: HashSet<u64> = samples.iter().map(|s| s.inode).collect();
        self.connections.retain(|inode, _| seen.contains(inode));
        self.peers = samples.iter().map(|s| s.peer).collect();
        let mut actions = Vec::new();
        for sample in samples {
            let connection = self.connections.entry(sample.inode).or_insert(Connection {
                peer: sample.peer,
                phase: Phase::Idle,
                phase_start: now,
                finished: 0,
                baseline: sample.received,
                read: 0,
                unread_since: None,
            });
            let state = states.state_of(&sample.peer);
            connection.update_phase(sample.received, state, now);
            connection.update_unread(sample.received, now);
            if let Some(reason) =
                connection.close_reason(sample.received, state, &self.settings, now)
            {
                connection.phase = match reason {
                    CloseReason::SlowBody => Phase::ReadClosed,
                    _ => Phase::Closed,
                };
                actions.push(close_action(sample.inode, connection, reason));
            }
        }
        self.close_excess(&mut actions);
        actions
    }

    /// Closes the connections that have been idle longest, then those whose
    /// request head has been arriving longest, down to the limit.
    fn close_excess(&mut self, actions: &mut Vec<CloseAction>) {
        let open = self
            .connections
            .values()
            .filter(|c| c.phase != Phase::Closed);
        let excess = open.count().saturating_sub(self.settings.max_connections);
        let is_closable = |c: &Connection| matches!(c.phase, Phase::Idle | Phase::ReceivingHead(_));
        let connections = self.connections.iter_mut();
        let mut candidates: Vec<_> = connections.filter(|(_, c)| is_closable(c)).collect();
        candidates.sort_by_key(|(_, c)| (c.phase != Phase::Idle, c.phase_start));
        for (inode, connection) in candidates.into_iter().take(excess) {
            connection.phase = Phase::Closed;
            actions.push(close_action(*inode, connection, CloseReason::TooMany));
        }
    }
}

fn close_action(inode: u64, connection: &Connection, reason: CloseReason) -> CloseAction {
    CloseAction {
        inode,
        peer: connection.peer,
        reason,
    }
}

impl Connection {
    fn update_phase(&mut self, received: Option<ReceivedBytes>, state: ClientState, now: Moment) {
        if matches!(self.phase, Phase::Closed | Phase::ReadClosed) {
            return;
        }
        if self.finished != state.finished {
            self.finished = state.finished;
            self.baseline = received;
            self.set_phase(Phase::Idle, now);
        }
        if state.responding > 0 {
            self.set_phase(Phase::Responding, now);
            return;
        }
        if state.open > 0 {
            self.set_phase(Phase::ReceivingBody, now);
            return;
        }
        let (Some(received), Some(baseline)) = (received, self.baseline) else {
            self.baseline = received;
            self.set_phase(Phase::Idle, now);
            return;
        };
        match received.total > baseline.total {
            true => self.set_phase(Phase::ReceivingHead(baseline.read), now),
            false => self.set_phase(Phase::Idle, now),
        }
    }

    /// Records since when received bytes are unread while a request may arrive.
    fn update_unread(&mut self, received: Option<ReceivedBytes>, now: Moment) {
        let awaits_request = matches!(self.phase, Phase::Idle | Phase::ReceivingHead(_));
        let received = received.filter(|r| awaits_request && r.read < r.total);
        let Some(received) = received else {
            self.unread_since = None;
            return;
        };
        if std::mem::replace(&mut self.read, received.read) != received.read {
            self.unread_since = None;
        }
        self.unread_since.get_or_insert(now);
    }

    fn set_phase(&mut self, phase: Phase, now: Moment) {
        if self.phase != phase {
            self.phase = phase;
            self.phase_start = now;
        }
    }

    fn close_reason(
        &self,
        received: Option<ReceivedBytes>,
        state: ClientState,
        settings: &GuardSettings,
        now: Moment,
    ) -> Option<CloseReason> {
        if self.phase == Phase::Closed {
            return None;
        }
        if state.must_close {
            return Some(CloseReason::Unusable);
        }
        if state.open > MAX_PIPELINED_REQUESTS {
            return Some(CloseReason::TooMany);
        }
        let elapsed = now.saturating_sub(self.phase_start);
        match self.phase {
            Phase::Responding | Phase::ReadClosed | Phase::Closed => None,
            Phase::ReceivingBody => (elapsed >= settings.receive_timeout + BODY_TIMEOUT_SLACK)
                .then_some(CloseReason::SlowBody),
            Phase::Idle => (elapsed >= settings.receive_timeout).then_some(CloseReason::Idle),
            Phase::ReceivingHead(read_before) => {
                let read = received.map_or(0, |r| r.read.saturating_sub(read_before));
                let max_head = settings.max_head + HEAD_SLACK_BYTES;
                let slow = elapsed >= settings.receive_timeout;
                match state.unread {
                    true => {
                        (slow || read > max_head + settings.max_body).then_some(CloseReason::Unread)
                    }
                    false if read > max_head => Some(CloseReason::LargeHead),
                    false => slow.then_some(CloseReason::SlowHead),
                }
            }
        }
    }
}

//! Queries between daemons for the state of at-most-once calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use crate::calls::{self, AttemptStatus, CallRunner, SHARD_COUNT};
use crate::clock::Clock;
use crate::config::Name;
use crate::control::{ControlHandle, PeerMessage};
use crate::outside::{Item, Platform, Table, TableError, Write};
use crate::peer::Peers;
use crate::peer::wire::{Body, CallQuery, CallReply};
use crate::protocol::calls::{Attempt, CallRecord};

/// Number of call-record shards that all daemons together sweep per second.
const SHARD_SWEEPS_PER_S: u32 = 5;

/// The platform's table behind a shared reference.
pub(super) struct SharedTable<P>(pub Arc<P>);

impl<P: Platform> Table for SharedTable<P> {
    fn get(&self, key: &str) -> Result<Option<Item>, TableError> {
        self.0.table().get(key)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Item>, TableError> {
        self.0.table().scan(prefix)
    }

    fn commit(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        self.0.table().commit(writes)
    }
}

/// Client that queries the other daemons for the state of at-most-once calls.
pub(super) struct CallStateClient {
    peers: Arc<Peers>,
    control: ControlHandle,
    next_id: AtomicU64,
    pending: Mutex<HashMap<u64, Sender<CallReply>>>,
}

impl CallStateClient {
    /// Creates a client that sends its queries over `peers`.
    pub fn new(peers: Arc<Peers>, control: ControlHandle) -> Self {
        CallStateClient {
            peers,
            control,
            next_id: AtomicU64::new(1),
            pending: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sender<CallReply>>> {
        self.pending
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Delivers a reply to the query that waits for it.
    fn deliver_reply(&self, reply: CallReply) {
        let pending = self.lock();
        if let Some(sender) = pending.get(&reply.query_id) {
            let _ = sender.try_send(reply);
        }
    }

    /// Registers a query that expects up to `max_replies` replies.
    fn register_query(
        &self,
        record_key: &str,
        attempt: &str,
        max_replies: usize,
    ) -> PendingQuery<'_> {
        let (sender, replies) = bounded(max_replies.max(1));
        let query_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(query_id, sender);
        PendingQuery {
            client: self,
            replies,
            query: CallQuery {
                query_id,
                key: record_key.to_owned(),
                attempt: attempt.to_owned(),
            },
        }
    }
}

/// A query that waits for replies; dropping it cancels it.
struct PendingQuery<'a> {
    client: &'a CallStateClient,
    replies: Receiver<CallReply>,
    query: CallQuery,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.client.lock().remove(&self.query.query_id);
    }
}

impl calls::CallPeers for CallStateClient {
    fn query_attempt(
        &self,
        record_key: &str,
        attempt: &Attempt,
        timeout: Duration,
    ) -> AttemptStatus {
        let running = self.control.is_running(&attempt.host, attempt.incarnation);
        if running == Some(false) {
            return AttemptStatus::IncarnationEnded;
        }
        let pending = self.register_query(record_key, &attempt.id, 1);
        let body = Body::CallQuery(pending.query.clone());
        if self.peers.send(&attempt.host, body).is_err() {
            return AttemptStatus::NoAnswer;
        }
        match pending.replies.recv_timeout(timeout) {
            Ok(reply) => parse_reply(&reply),
            Err(_) => AttemptStatus::NoAnswer,
        }
    }

    fn find_record(&self, record_key: &str, timeout: Duration) -> Option<CallRecord> {
        let others = self.control.view().alive_count.saturating_sub(1);
        if others == 0 {
            return None;
        }
        let pending = self.register_query(record_key, "", others);
        self.peers.broadcast(Body::CallQuery(pending.query.clone()));
        let deadline = Instant::now() + timeout;
        for _ in 0..others {
            let reply = pending.replies.recv_deadline(deadline).ok()?;
            if let AttemptStatus::Known(record) = parse_reply(&reply) {
                return Some(record);
            }
        }
        None
    }
}

/// Converts a peer's reply to the status of the attempt.
fn parse_reply(reply: &CallReply) -> AttemptStatus {
    if reply.unknown {
        return AttemptStatus::NotHeld;
    }
    if reply.record.is_empty() {
        return AttemptStatus::Running;
    }
    match serde_json::from_str(&reply.record) {
        Ok(record) => AttemptStatus::Known(record),
        Err(_) => AttemptStatus::NoAnswer,
    }
}

/// Starts the thread that replies to the queries of peers; it ends when `inbox`
/// closes.
///
/// # Errors
///
/// The thread cannot be started.
pub(super) fn start_responder<T: Table>(
    inbox: Receiver<PeerMessage>,
    peers: Arc<Peers>,
    client: Arc<CallStateClient>,
    calls: Arc<CallRunner<T, CallStateClient>>,
) -> std::io::Result<()> {
    let run = move || {
        for (from, body) in inbox {
            match body {
                Body::CallQuery(query) => {
                    let status = calls.attempt_status(&query.key, &query.attempt);
                    send_reply(&peers, &from, call_reply(&query, &status));
                }
                Body::CallReply(reply) => client.deliver_reply(reply),
                _ => {}
            }
        }
    };
    thread::Builder::new().name("calls".into()).spawn(run)?;
    Ok(())
}

/// Starts the thread that removes expired records, one shard after the other, at one
/// `daemon_count`th of [`SHARD_SWEEPS_PER_S`]; it ends when `stopped` closes.
///
/// Daemons should differ in `first_shard`, so that two of them seldom sweep the same
/// shard. If they do, each record is still removed only once.
///
/// # Errors
///
/// The thread cannot be started.
pub(super) fn start_sweeper<T: Table>(
    calls: &CallRunner<T, CallStateClient>,
    first_shard: u32,
    daemon_count: usize,
    stopped: Receiver<()>,
) -> std::io::Result<()> {
    let sweeper = calls.sweeper();
    let daemons = u32::try_from(daemon_count.max(1)).unwrap_or(u32::MAX);
    let period = Duration::from_secs(1) * daemons / SHARD_SWEEPS_PER_S;
    let run = move || {
        let mut shard = first_shard % SHARD_COUNT;
        while stopped.recv_timeout(period) == Err(RecvTimeoutError::Timeout) {
            if let Err(e) = sweeper.sweep_shard(shard, Clock::unix_seconds()) {
                log::debug!("cannot remove expired call records of shard {shard}: {e}");
                continue;
            }
            shard = (shard + 1) % SHARD_COUNT;
        }
    };
    thread::Builder::new().name("sweep".into()).spawn(run)?;
    Ok(())
}

fn send_reply(peers: &Peers, to: &Name, reply: CallReply) {
    if let Err(e) = peers.send(to, Body::CallReply(reply)) {
        log::debug!("cannot send the state of a call to {to}: {e}");
    }
}

fn call_reply(query: &CallQuery, status: &AttemptStatus) -> CallReply {
    let record = match status {
        AttemptStatus::Known(record) => serde_json::to_string(record).unwrap_or_default(),
        _ => String::new(),
    };
    CallReply {
        query_id: query.query_id,
        record,
        unknown: matches!(
            status,
            AttemptStatus::NotHeld | AttemptStatus::IncarnationEnded | AttemptStatus::NoAnswer
        ),
    }
}

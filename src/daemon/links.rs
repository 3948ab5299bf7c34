//! Questions about at-most-once calls between daemons.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use crate::calls::{self, Calls, SHARDS, Told};
use crate::clock::Clock;
use crate::config::Name;
use crate::control::{ControlHandle, PeerMessage};
use crate::outside::{Item, Platform, Table, TableError, Write};
use crate::peer::Peers;
use crate::peer::wire::{Body, CallAsk, CallState};
use crate::protocol::calls::{Attempt, CallRecord};

/// Shards of call records that all daemons together look through in a second.
const SWEEPS: u32 = 5;

/// The table of a platform, shared.
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

/// Way to the other daemons for at-most-once calls.
pub(super) struct CallLinks {
    peers: Arc<Peers>,
    control: ControlHandle,
    next: AtomicU64,
    open: Mutex<HashMap<u64, Sender<CallState>>>,
}

impl CallLinks {
    /// Asks over `peers`.
    pub fn new(peers: Arc<Peers>, control: ControlHandle) -> Self {
        CallLinks {
            peers,
            control,
            next: AtomicU64::new(1),
            open: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sender<CallState>>> {
        self.open
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Hands an answer to whoever asked.
    fn answered(&self, state: CallState) {
        let open = self.lock();
        if let Some(sender) = open.get(&state.ask) {
            let _ = sender.try_send(state);
        }
    }

    fn question(&self, item: &str, attempt: &str, answers: usize) -> Question<'_> {
        let (sender, replies) = bounded(answers.max(1));
        let ask = self.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(ask, sender);
        Question {
            links: self,
            replies,
            ask: CallAsk {
                ask,
                key: item.to_owned(),
                attempt: attempt.to_owned(),
            },
        }
    }
}

/// A question that waits for answers; dropping it forgets it.
struct Question<'a> {
    links: &'a CallLinks,
    replies: Receiver<CallState>,
    ask: CallAsk,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.links.lock().remove(&self.ask.ask);
    }
}

impl calls::Peers for CallLinks {
    fn ask(&self, item: &str, attempt: &Attempt, wait: Duration) -> Told {
        let running = self.control.is_running(&attempt.host, attempt.incarnation);
        if running == Some(false) {
            return Told::Gone;
        }
        let question = self.question(item, &attempt.id, 1);
        let body = Body::CallAsk(question.ask.clone());
        if self.peers.send(&attempt.host, body).is_err() {
            return Told::Silent;
        }
        match question.replies.recv_timeout(wait) {
            Ok(state) => told(&state),
            Err(_) => Told::Silent,
        }
    }

    fn find(&self, item: &str, wait: Duration) -> Option<CallRecord> {
        let others = self.control.view().alive.saturating_sub(1);
        if others == 0 {
            return None;
        }
        let question = self.question(item, "", others);
        self.peers.broadcast(Body::CallAsk(question.ask.clone()));
        let until = Instant::now() + wait;
        for _ in 0..others {
            let state = question.replies.recv_deadline(until).ok()?;
            if let Told::Record(record) = told(&state) {
                return Some(record);
            }
        }
        None
    }
}

/// What a peer's answer says.
fn told(state: &CallState) -> Told {
    if state.unknown {
        return Told::Forgotten;
    }
    if state.record.is_empty() {
        return Told::Running;
    }
    match serde_json::from_str(&state.record) {
        Ok(record) => Told::Record(record),
        Err(_) => Told::Silent,
    }
}

/// Answers the questions of peers until `inbox` closes.
///
/// # Errors
///
/// The system refuses a thread.
pub(super) fn serve<T: Table>(
    inbox: Receiver<PeerMessage>,
    peers: Arc<Peers>,
    links: Arc<CallLinks>,
    calls: Arc<Calls<T, CallLinks>>,
) -> std::io::Result<()> {
    let run = move || {
        for (from, body) in inbox {
            match body {
                Body::CallAsk(ask) => {
                    let state = answer(&ask, &calls.tell(&ask.key, &ask.attempt));
                    reply(&peers, &from, state);
                }
                Body::CallState(state) => links.answered(state),
                _ => {}
            }
        }
    };
    thread::Builder::new().name("calls".into()).spawn(run)?;
    Ok(())
}

/// Removes old records until `stopped` closes, one shard after the other at
/// the share of one of `hosts` daemons.
///
/// Each daemon begins at a shard of its own, so that they seldom meet; a
/// record that two of them remove is removed once.
///
/// # Errors
///
/// The system refuses a thread.
pub(super) fn sweep<T: Table>(
    calls: &Calls<T, CallLinks>,
    first: u32,
    hosts: usize,
    stopped: Receiver<()>,
) -> std::io::Result<()> {
    let sweep = calls.sweep();
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    let period = Duration::from_secs(1) * hosts / SWEEPS;
    let run = move || {
        let mut shard = first % SHARDS;
        while stopped.recv_timeout(period) == Err(RecvTimeoutError::Timeout) {
            if let Err(e) = sweep.run(shard, Clock::unix_seconds()) {
                log::debug!("removing old call records of shard {shard}: {e}");
                continue;
            }
            shard = (shard + 1) % SHARDS;
        }
    };
    thread::Builder::new().name("sweep".into()).spawn(run)?;
    Ok(())
}

fn reply(peers: &Peers, to: &Name, state: CallState) {
    if let Err(e) = peers.send(to, Body::CallState(state)) {
        log::debug!("answer about a call for {to}: {e}");
    }
}

fn answer(ask: &CallAsk, told: &Told) -> CallState {
    let record = match told {
        Told::Record(record) => serde_json::to_string(record).unwrap_or_default(),
        _ => String::new(),
    };
    CallState {
        ask: ask.ask,
        record,
        unknown: matches!(told, Told::Forgotten | Told::Gone | Told::Silent),
    }
}

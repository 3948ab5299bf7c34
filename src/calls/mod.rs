//! Calls that may not be repeated, run at most once over the table.

mod ask;
mod batch;
mod held;
mod key;
mod read;
mod refuse;
mod service;
mod settle;
mod sweep;

use std::time::Duration;

use crate::clock::Clock;
use crate::config::Name;
use crate::protocol::calls::{Attempt, CallIdentity, CallRecord, Reply};

pub use key::{BadKey, SHARDS, fingerprint, item, shard};
pub use service::Calls;
pub use sweep::Sweep;

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Idempotency key.
    pub key: Name,
    /// Who calls what.
    pub identity: CallIdentity,
    /// How long the record is kept, seconds.
    pub keep: u64,
    /// The caller states that it has not sent this key before. Only then may a
    /// request that never got to read the table be refused as not run.
    pub first: bool,
}

/// How the sending of an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// The upstream answered.
    Done(Reply),
    /// No byte was sent to any upstream.
    Unsent,
    /// Bytes were sent and no whole answer came.
    Lost,
}

/// What a host tells about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// What is known about it.
    Record(CallRecord),
    /// It is in progress.
    Running,
    /// The host runs under that incarnation and does not hold the attempt: the
    /// table has its end.
    Forgotten,
    /// That incarnation has ended.
    Gone,
    /// No answer.
    Silent,
}

/// Way to the other hosts.
pub trait Peers: Send + Sync + 'static {
    /// Asks the host that makes `attempt` about it; answers within `wait`.
    fn ask(&self, item: &str, attempt: &Attempt, wait: Duration) -> Told;
    /// Asks all peers whether they hold a record of the call; answers within
    /// `wait`. Used while the table does not answer.
    fn find(&self, item: &str, wait: Duration) -> Option<CallRecord>;
}

/// Settings of [`Calls`].
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// Name of this host.
    pub host: Name,
    /// Incarnation of this daemon.
    pub incarnation: u64,
    /// Clock of the deadlines.
    pub clock: Clock,
    /// Pause before a table call or a question is tried again.
    pub retry: Duration,
    /// Longest wait for a peer's answer.
    pub ask: Duration,
    /// Most records in one transaction.
    pub batch: usize,
    /// Most attempts of this host that are kept in memory; those that the
    /// table has not taken are never dropped, and with this many of them new
    /// calls are refused.
    pub held: usize,
    /// Threads that read the table.
    pub readers: usize,
}

impl Default for CallSettings {
    fn default() -> Self {
        CallSettings {
            host: "".into(),
            incarnation: 0,
            clock: Clock::default(),
            retry: Duration::from_millis(20),
            ask: Duration::from_millis(250),
            batch: 64,
            held: 16_384,
            readers: 4,
        }
    }
}

//! Calls that may not be repeated, run at most once over the table.

mod attempt_query;
mod attempt_store;
mod batch;
mod key;
mod reader;
mod refusal;
mod runner;
mod settler;
mod sweeper;

use std::time::Duration;

use crate::clock::Clock;
use crate::config::Name;
use crate::protocol::calls::{Attempt, CallRecord, Identity, Reply};

pub use key::{InvalidKey, SHARD_COUNT, fingerprint, record_key, shard_prefix};
pub use runner::CallRunner;
pub use sweeper::RecordSweeper;

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Idempotency key.
    pub key: Name,
    /// Who calls what.
    pub identity: Identity,
    /// How long the record is kept, seconds.
    pub retention_s: u64,
    /// The caller states that it has not sent this key before. Only then may a
    /// request that never got to read the table be refused as not run.
    pub first_attempt: bool,
}

/// How the sending of an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The upstream answered.
    Done(Reply),
    /// No byte was sent to any upstream.
    NotSent,
    /// Bytes were sent and no whole answer came.
    NoAnswer,
}

/// What a host tells about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// What is known about it.
    Known(CallRecord),
    /// It is in progress.
    Running,
    /// The host runs under that incarnation and does not hold the attempt: the
    /// table has its end.
    NotHeld,
    /// That incarnation has ended.
    IncarnationEnded,
    /// No answer.
    NoAnswer,
}

/// Way to the other hosts.
pub trait CallPeers: Send + Sync + 'static {
    /// Asks the host that makes `attempt` about it; answers within `wait`.
    fn query_attempt(&self, item: &str, attempt: &Attempt, wait: Duration) -> AttemptStatus;
    /// Asks all peers whether they hold a record of the call; answers within
    /// `wait`. Used while the table does not answer.
    fn find_record(&self, item: &str, wait: Duration) -> Option<CallRecord>;
}

/// Settings of [`CallRunner`].
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// Name of this host.
    pub host: Name,
    /// Incarnation of this daemon.
    pub incarnation: u64,
    /// Clock of the deadlines.
    pub clock: Clock,
    /// Pause before a table call or a question is tried again.
    pub retry_delay: Duration,
    /// Longest wait for a peer's answer.
    pub query_timeout: Duration,
    /// Most records in one transaction.
    pub batch_size: usize,
    /// Most attempts of this host that are kept in memory; those that the
    /// table has not taken are never dropped, and with this many of them new
    /// calls are refused.
    pub max_attempts: usize,
    /// Threads that read the table.
    pub reader_threads: usize,
}

impl Default for CallSettings {
    fn default() -> Self {
        CallSettings {
            host: "".into(),
            incarnation: 0,
            clock: Clock::default(),
            retry_delay: Duration::from_millis(20),
            query_timeout: Duration::from_millis(250),
            batch_size: 64,
            max_attempts: 16_384,
            reader_threads: 4,
        }
    }
}

//! Runs non-idempotent calls at most once, with records in the table.

mod attempt_lookup;
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
use crate::protocol::calls::{Attempt, CallIdentity, CallRecord, Reply};

pub use key::{InvalidKey, SHARD_COUNT, fingerprint, record_key, shard_prefix};
pub use runner::CallRunner;
pub use sweeper::RecordSweeper;

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Idempotency key.
    pub key: Name,
    /// Caller and fingerprint of the call.
    pub identity: CallIdentity,
    /// Retention time of the record, seconds.
    pub retention_s: u64,
    /// The caller states that it has not sent this key before. Only then is a
    /// request refused as not run when the table could not be read.
    pub first_attempt: bool,
}

/// Outcome of sending a call to the upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The upstream responded.
    Done(Reply),
    /// No byte was sent to any upstream.
    NotSent,
    /// Bytes were sent and no complete response was received.
    NoAnswer,
}

/// Status of an attempt, as reported by the host that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The attempt has ended; its record.
    Known(CallRecord),
    /// The attempt is in progress.
    Running,
    /// The host still runs that incarnation and no longer holds the attempt: its
    /// end is in the table.
    NotHeld,
    /// That incarnation of the host has ended.
    IncarnationEnded,
    /// The host did not reply.
    NoAnswer,
}

/// Queries to the other hosts.
pub trait CallPeers: Send + Sync + 'static {
    /// Queries the host that runs `attempt` for its status; returns within `timeout`.
    fn query_attempt(
        &self,
        record_key: &str,
        attempt: &Attempt,
        timeout: Duration,
    ) -> AttemptStatus;
    /// Queries all peers for a record of the call; returns within `timeout`. Used
    /// while the table is unavailable.
    fn find_record(&self, record_key: &str, timeout: Duration) -> Option<CallRecord>;
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
    /// Delay before a table operation or a query is retried.
    pub retry_delay: Duration,
    /// Longest wait for a reply of a peer.
    pub query_timeout: Duration,
    /// Largest number of records in one transaction.
    pub batch_size: usize,
    /// Largest number of attempts of this host that are kept in memory. Those whose
    /// end is not in the table are never dropped; with this many of them new calls
    /// are refused.
    pub max_attempts: usize,
    /// Number of threads that read the table.
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

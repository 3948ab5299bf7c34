//! What the operators' API needs of the daemon.

use super::status::{EngineStatus, HeldStatus, HostStatus, MemberStatus, ModelStatus};
use crate::config::entry::{Entry, Proposal};
use crate::config::ledger::ProposeError;
use crate::config::state::ActiveConfig;
use crate::error::Refusal;
use crate::outside::{Objects, Table};

/// The daemon as the operators' API sees it.
pub trait Host: Send + Sync + 'static {
    /// Table service.
    type Table: Table;
    /// Object store.
    type Objects: Objects;

    /// The table service.
    fn table(&self) -> &Self::Table;
    /// The object store.
    fn objects(&self) -> &Self::Objects;
    /// The configuration in force.
    fn current(&self) -> ActiveConfig;
    /// Has a patch accepted by the ledger, puts it into force here and tells
    /// the other daemons.
    fn propose(&self, proposal: &Proposal) -> Result<Entry, ProposeError>;
    /// Whether the host serves callers; the refusal says why not.
    fn ready(&self) -> Result<(), Refusal>;
    /// This daemon.
    fn status(&self) -> HostStatus;
    /// All daemons that this one knows.
    fn hosts(&self) -> Vec<MemberStatus>;
    /// Models whose name starts with `prefix`.
    fn models(&self, prefix: &str) -> Vec<ModelStatus>;
    /// Engines whose name starts with `prefix`.
    fn engines(&self, prefix: &str) -> Vec<EngineStatus>;
    /// Requests that are held.
    fn held(&self) -> Vec<HeldStatus>;
    /// Releases a held request everywhere; false when none has `fingerprint`.
    fn release(&self, fingerprint: &str) -> Result<bool, Refusal>;
    /// Begins to leave; returns at once.
    fn drain(&self);
    /// Metrics as Prometheus text.
    fn metrics(&self) -> String;
}

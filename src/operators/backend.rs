//! Interface between the operators' API and the daemon.

use super::status::{EngineStatus, HeldStatus, HostStatus, MemberStatus, ModelStatus};
use crate::config::entry::{Entry, Proposal};
use crate::config::ledger::ProposeError;
use crate::config::state::ActiveConfig;
use crate::error::Refusal;
use crate::outside::{Objects, Table};

/// Daemon functions that the operators' API uses.
pub trait ApiBackend: Send + Sync + 'static {
    /// Table service.
    type Table: Table;
    /// Object store.
    type Objects: Objects;

    /// Returns the table service.
    fn table(&self) -> &Self::Table;
    /// Returns the object store.
    fn objects(&self) -> &Self::Objects;
    /// Returns the active configuration.
    fn active_config(&self) -> ActiveConfig;
    /// Appends a patch to the ledger, applies it on this daemon and announces it
    /// to the others.
    fn propose(&self, proposal: &Proposal) -> Result<Entry, ProposeError>;
    /// Returns a refusal with the reason if the host does not serve callers.
    fn check_ready(&self) -> Result<(), Refusal>;
    /// Returns the status of this daemon.
    fn status(&self) -> HostStatus;
    /// Returns all daemons that this one knows.
    fn hosts(&self) -> Vec<MemberStatus>;
    /// Returns the models whose name starts with `prefix`.
    fn models(&self, prefix: &str) -> Vec<ModelStatus>;
    /// Returns the engines whose name starts with `prefix`.
    fn engines(&self, prefix: &str) -> Vec<EngineStatus>;
    /// Returns the held requests.
    fn held_requests(&self) -> Vec<HeldStatus>;
    /// Releases a held request on all daemons; returns false if none has
    /// `fingerprint`.
    fn release_held(&self, fingerprint: &str) -> Result<bool, Refusal>;
    /// Starts a drain without waiting for its end.
    fn drain(&self);
    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

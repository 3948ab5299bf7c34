//! Backend of the operators' API: reads and changes the state of this daemon.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::config::Name;
use crate::config::entry::{Entry, Proposal};
use crate::config::ledger::ProposeError;
use crate::config::state::ActiveConfig;
use crate::control::ControlHandle;
use crate::error::{Kind, Refusal};
use crate::follower::ConfigFollower;
use crate::metrics::Metrics;
use crate::operators::backend::ApiBackend;
use crate::operators::status::{EngineStatus, HeldStatus, HostStatus, MemberStatus, ModelStatus};
use crate::outside::Platform;
use crate::peer::Peers;

/// `Retry-After` of a daemon that is not ready or is draining.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Gives the operators' API access to the parts of this daemon.
pub(super) struct DaemonBackend<P> {
    /// Services of the platform.
    pub platform: Arc<P>,
    /// Handle on the control thread.
    pub control: ControlHandle,
    /// Follower, which holds the active configuration.
    pub follower: ConfigFollower<P>,
    /// Links to other daemons.
    pub peers: Arc<Peers>,
    /// Metrics of this daemon.
    pub metrics: Arc<Metrics>,
    /// Name of the firm.
    pub firm: Name,
    /// Clock of this daemon.
    pub clock: Clock,
}

impl<P: Platform> ApiBackend for DaemonBackend<P> {
    type Table = P::Table;
    type Objects = P::Objects;

    fn table(&self) -> &P::Table {
        self.platform.table()
    }

    fn objects(&self) -> &P::Objects {
        self.platform.objects()
    }

    fn active_config(&self) -> ActiveConfig {
        self.follower.active_config()
    }

    fn propose(&self, proposal: &Proposal) -> Result<Entry, ProposeError> {
        self.follower.propose(proposal)
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        let view = self.control.view();
        if view.version == 0 {
            let refusal = Refusal::new(Kind::NotReady, "no configuration is known");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        if view.leaving {
            return Err(Refusal::new(Kind::Draining, "the host drains").retry_after(RETRY_AFTER));
        }
        Ok(())
    }

    fn status(&self) -> HostStatus {
        let status = self.control.call(|state| state.host_status());
        HostStatus {
            firm: self.firm.clone(),
            uptime_s: self.clock.now().as_secs(),
            ..status.unwrap_or_default()
        }
    }

    fn hosts(&self) -> Vec<MemberStatus> {
        let now = self.clock.now();
        let hosts = self.control.call(move |state| state.member_status(now));
        hosts.unwrap_or_default()
    }

    fn models(&self, prefix: &str) -> Vec<ModelStatus> {
        let prefix = prefix.to_owned();
        let models = self.control.call(move |state| state.model_status(&prefix));
        models.unwrap_or_default()
    }

    fn engines(&self, prefix: &str) -> Vec<EngineStatus> {
        let prefix = prefix.to_owned();
        let engines = self.control.call(move |state| state.engine_status(&prefix));
        engines.unwrap_or_default()
    }

    fn held_requests(&self) -> Vec<HeldStatus> {
        let now = self.clock.now();
        let held = self.control.call(move |state| state.held_requests(now));
        held.unwrap_or_default()
    }

    fn release_held(&self, fingerprint: &str) -> Result<bool, Refusal> {
        let fingerprint = fingerprint.to_owned();
        let now = self.clock.now();
        self.control
            .call(move |state| state.release_held(&fingerprint, now))
    }

    fn drain(&self) {
        self.control.drain();
    }

    fn metrics(&self) -> String {
        let peers = &self.peers;
        self.metrics
            .set_peer_totals(peers.bytes_sent(), peers.bytes_received());
        self.metrics.prometheus_text()
    }
}

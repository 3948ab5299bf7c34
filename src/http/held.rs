//! Waits of requests that crashed engines, or may have.

use std::time::Duration;

use crate::clock::Moment;
use crate::error::{Kind, Refusal};
use crate::outside::Engine;
use crate::router::RoutingRequest;
use crate::suspects::RunDecision;

use super::openai::CompletionRequest;
use super::relay::{Relay, RelayState};

/// Maximum wait until no other copy of a suspect request is running.
const COPIES_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum wait of a request for its trial.
pub(super) const HELD_WAIT: Duration = Duration::from_secs(2);
/// Minimum pause until such a request is looked at again.
const HELD_CHECK: Duration = Duration::from_millis(10);

impl<E: Engine> Relay<'_, E> {
    /// Returns how the request may run, after it has waited for its trial if that comes soon.
    pub(super) fn decide_after_wait(
        &self,
        completion: &CompletionRequest,
        deadline: Moment,
    ) -> RunDecision {
        let give_up_at = deadline.min(self.clock.now() + HELD_WAIT);
        loop {
            let decision = self.control.decide(&completion.fingerprints);
            let RunDecision::Held { trial_in, .. } = &decision else {
                return decision;
            };
            if self.clock.now() + *trial_in > give_up_at {
                return decision;
            }
            std::thread::sleep((*trial_in).max(HELD_CHECK));
        }
    }

    /// Waits until no daemon runs a copy of a request that has a crash report,
    /// so that a copy that crashes another engine is counted before the trial.
    /// Gives up after [`COPIES_TIMEOUT`] or at the deadline.
    pub(super) fn wait_for_copies(&self, routing: &RoutingRequest, state: &mut RelayState) {
        let Some(copies_ended) = state.copies_ended.take() else {
            return;
        };
        let remaining = routing.deadline.saturating_sub(self.clock.now());
        if copies_ended
            .recv_timeout(remaining.min(COPIES_TIMEOUT))
            .is_err()
        {
            log::info!(request = &*routing.id; "other copies of the request are still running");
        }
    }
}

/// Returns the refusal of a request that is held.
pub(super) fn quarantined(fingerprint: &str, trial_in: Duration) -> Refusal {
    let refusal = Refusal::new(Kind::Quarantined, format!("fingerprint {fingerprint}"));
    refusal.retry_after(trial_in)
}

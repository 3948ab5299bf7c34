//! Estimated load and availability of one engine.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::breaker::Breaker;
use crate::decide::routing::{Candidate, Domain, Exclusions};
use crate::peer::wire::EngineState;

/// Time without new work after a failed request, during which the pool's owner
/// checks the engine.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// An engine may get `slots / OVERCOMMIT_DIVISOR` requests, at least one, more than
/// it has slots.
const OVERCOMMIT_DIVISOR: u32 = 4;

/// Estimated load and availability of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineLoad {
    /// Pool.
    pub pool: Name,
    /// Instance id.
    pub instance: Name,
    /// Requests that the engine runs in one batch.
    pub slots: u32,
    /// Failure domain.
    pub domain: Domain,
    /// Running and waiting requests in the engine's last report.
    reported_load: u32,
    /// Requests of this daemon in progress on the engine.
    own_running: u32,
    /// Requests of this daemon sent since the last report.
    sent_since: u32,
    /// Requests of this daemon that ended since the last report.
    ended_since: u32,
    /// Whether the engine is leaving and accepts no new work.
    leaving: bool,
    /// Moment before which the engine gets no new work after a failed request.
    paused_until: Option<Moment>,
    /// Circuit breaker that opens after consecutive failures.
    breaker: Breaker,
}

impl EngineLoad {
    /// Applies a report of the engine.
    pub fn apply_report(&mut self, state: &EngineState) {
        if *self.instance != *state.instance {
            self.instance = state.instance.as_str().into();
            self.breaker = Breaker::default();
        }
        self.reported_load = state.running + state.waiting;
        self.sent_since = 0;
        self.ended_since = 0;
        self.leaving = state.leaving;
    }

    /// Records that a request of this daemon is sent to the engine.
    pub fn record_start(&mut self, now: Moment) {
        self.breaker.record_send(now);
        self.own_running += 1;
        self.sent_since += 1;
    }

    /// Records that a request of this daemon ended on the engine.
    pub fn record_end(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
        self.ended_since += 1;
    }

    /// Records that a request failed on the engine.
    pub fn record_failure(&mut self, now: Moment) {
        self.paused_until = Some(now + FAILURE_PAUSE);
        self.breaker.record_failure(now);
    }

    /// Records that a request got its first token from the engine.
    pub fn record_success(&mut self) {
        self.breaker.record_success();
    }

    /// Returns whether the engine accepts new work.
    pub fn accepts_work(&self, now: Moment) -> bool {
        !self.leaving && !self.is_paused(now) && self.breaker.allows(now)
    }

    fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether a request may be sent now: the engine has a free slot or a
    /// short queue by the estimate. Its queue fills slots that other daemons freed
    /// since the report.
    pub fn has_room(&self, candidate: &Candidate) -> bool {
        let overcommit = (self.slots / OVERCOMMIT_DIVISOR).max(1);
        candidate.load() < self.slots.max(1) + overcommit
    }

    /// Returns the engine as a routing candidate for a request that must avoid the
    /// instances in `avoid` and has `cached` prompt tokens cached there.
    ///
    /// The requests that this daemon itself runs there are a lower bound of the
    /// load.
    pub fn candidate(&self, avoid: &[Name], cached: u32, now: Moment) -> Candidate {
        let estimated_load =
            (self.reported_load + self.sent_since).saturating_sub(self.ended_since);
        Candidate {
            running: estimated_load.max(self.own_running),
            slots: self.slots,
            cached_tokens: cached,
            domain: self.domain,
            exclusions: Exclusions {
                leaving: self.leaving,
                suspect: self.is_paused(now),
                tried: avoid.contains(&self.instance),
                breaker_open: !self.breaker.allows(now),
                ..Exclusions::default()
            },
            ..Candidate::default()
        }
    }
}

//! One engine as this daemon sees it.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::breaker::Breaker;
use crate::decide::routing::{Bars, Candidate, Domain};
use crate::peer::wire::EngineState;

/// Time without new work after a failed request; the pool's owner looks at the
/// engine meanwhile.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Part of the slots, as a divisor, by which requests may be sent ahead.
const AHEAD_DIVISOR: u32 = 4;

/// One engine as this daemon sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineLoad {
    /// Pool.
    pub pool: Name,
    /// Instance id.
    pub instance: Name,
    /// Requests that it batches at once.
    pub slots: u32,
    /// Failure domain.
    pub domain: Domain,
    /// Requests in progress and waiting there by its last report.
    reported_load: u32,
    /// Requests of this daemon in progress there.
    own_running: u32,
    /// Requests of this daemon sent since the report.
    sent_since: u32,
    /// Requests of this daemon that ended since the report.
    ended_since: u32,
    /// It takes no new work.
    leaving: bool,
    /// A request failed there; it gets no new work before this moment.
    paused_until: Option<Moment>,
    /// Opens after failures in a row.
    breaker: Breaker,
}

impl EngineLoad {
    /// Takes in a report.
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

    /// A request of this daemon begins there.
    pub fn record_start(&mut self, now: Moment) {
        self.breaker.sent(now);
        self.own_running += 1;
        self.sent_since += 1;
    }

    /// A request of this daemon ended there.
    pub fn record_end(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
        self.ended_since += 1;
    }

    /// A request failed there.
    pub fn record_failure(&mut self, now: Moment) {
        self.paused_until = Some(now + FAILURE_PAUSE);
        self.breaker.failed(now);
    }

    /// A request got its first token there.
    pub fn record_success(&mut self) {
        self.breaker.succeeded();
    }

    /// Whether it takes new work.
    pub fn accepts_work(&self, now: Moment) -> bool {
        !self.leaving && !self.is_paused(now) && self.breaker.allows(now)
    }

    fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether a request may be sent there now: a slot is believed to be free,
    /// or the engine's own queue, which fills slots that other daemons freed
    /// since the report, is believed to be short.
    pub fn has_room(&self, candidate: &Candidate) -> bool {
        let ahead = (self.slots / AHEAD_DIVISOR).max(1);
        candidate.load() < self.slots.max(1) + ahead
    }

    /// The engine as a candidate for a request that must avoid `avoid`, with
    /// `cached` tokens of its prompt.
    ///
    /// What this daemon itself runs there is a lower bound of its load.
    pub fn candidate(&self, avoid: &[Name], cached: u32, now: Moment) -> Candidate {
        let estimated_load =
            (self.reported_load + self.sent_since).saturating_sub(self.ended_since);
        Candidate {
            running: estimated_load.max(self.own_running),
            slots: self.slots,
            cached,
            domain: self.domain,
            bars: Bars {
                leaving: self.leaving,
                suspect: self.is_paused(now),
                avoid: avoid.contains(&self.instance),
                broken: !self.breaker.allows(now),
                ..Bars::default()
            },
            ..Candidate::default()
        }
    }
}

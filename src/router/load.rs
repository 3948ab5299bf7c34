//! One engine as this daemon sees it.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::breaker::Breaker;
use crate::decide::routing::{Candidate, Domain, Exclusions};
use crate::peer::wire::EngineState;

/// Time without new work after a failed request; the pool's owner looks at the
/// engine meanwhile.
const PAUSE: Duration = Duration::from_millis(500);

/// Part of the slots, as a divisor, by which requests may be sent ahead.
const AHEAD: u32 = 4;

/// One engine as this daemon sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    /// Pool.
    pub pool: Name,
    /// Instance id.
    pub instance: Name,
    /// Requests that it batches at once.
    pub slots: u32,
    /// Failure domain.
    pub domain: Domain,
    /// Requests in progress and waiting there by its last report.
    reported: u32,
    /// Requests of this daemon in progress there.
    mine: u32,
    /// Requests of this daemon sent since the report.
    sent: u32,
    /// Requests of this daemon that ended since the report.
    ended: u32,
    /// It takes no new work.
    leaving: bool,
    /// A request failed there; it gets no new work before this moment.
    failed: Option<Moment>,
    /// Opens after failures in a row.
    breaker: Breaker,
}

impl Load {
    /// Takes in a report.
    pub fn reported(&mut self, state: &EngineState) {
        if *self.instance != *state.instance {
            self.instance = state.instance.as_str().into();
            self.breaker = Breaker::default();
        }
        self.reported = state.running + state.waiting;
        self.sent = 0;
        self.ended = 0;
        self.leaving = state.leaving;
    }

    /// A request of this daemon begins there.
    pub fn began(&mut self, now: Moment) {
        self.breaker.record_send(now);
        self.mine += 1;
        self.sent += 1;
    }

    /// A request of this daemon ended there.
    pub fn ended(&mut self) {
        self.mine = self.mine.saturating_sub(1);
        self.ended += 1;
    }

    /// A request failed there.
    pub fn fail(&mut self, now: Moment) {
        self.failed = Some(now + PAUSE);
        self.breaker.record_failure(now);
    }

    /// A request got its first token there.
    pub fn succeeded(&mut self) {
        self.breaker.record_success();
    }

    /// Whether it takes new work.
    pub fn open(&self, now: Moment) -> bool {
        !self.leaving && !self.suspect(now) && self.breaker.allows(now)
    }

    fn suspect(&self, now: Moment) -> bool {
        self.failed.is_some_and(|until| now < until)
    }

    /// Whether a request may be sent there now: a slot is believed to be free,
    /// or the engine's own queue, which fills slots that other daemons freed
    /// since the report, is believed to be short.
    pub fn has_room(&self, candidate: &Candidate) -> bool {
        let ahead = (self.slots / AHEAD).max(1);
        candidate.load() < self.slots.max(1) + ahead
    }

    /// The engine as a candidate for a request that must avoid `avoid`, with
    /// `cached` tokens of its prompt.
    ///
    /// What this daemon itself runs there is a lower bound of its load.
    pub fn candidate(&self, avoid: &[Name], cached: u32, now: Moment) -> Candidate {
        let corrected = (self.reported + self.sent).saturating_sub(self.ended);
        Candidate {
            running: corrected.max(self.mine),
            slots: self.slots,
            cached_tokens: cached,
            domain: self.domain,
            exclusions: Exclusions {
                leaving: self.leaving,
                suspect: self.suspect(now),
                tried: avoid.contains(&self.instance),
                breaker_open: !self.breaker.allows(now),
                ..Exclusions::default()
            },
            ..Candidate::default()
        }
    }
}

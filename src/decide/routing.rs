//! Choice of a replica for one request.
//!
//! The score of a replica is a number of service times; the lowest wins:
//!
//! ```text
//! score = queued / slots                       wait for a slot
//!       + PREFILL * (1 - cached / prompt)      prompt tokens to compute
//!       + REMOTE when in another domain        network
//!       + crowding(load / slots)               concentration
//! ```
//!
//! `load` is the load of the last report, plus the requests that this daemon
//! sent since, minus those that it saw end since. Crowding falls up to the
//! fill level [`FILL`], so that work gathers on few replicas and the others
//! fall idle, and rises above it. The room above the fill level absorbs what
//! other daemons sent since the report.

/// Fill level of the slots up to which work gathers on a replica.
pub const FILL: f32 = 0.75;
/// Service times saved by a wholly cached prompt.
pub const PREFILL: f32 = 0.3;
/// Service times that a hop to another failure domain costs.
pub const REMOTE: f32 = 0.05;
/// Service times by which a replica at the fill level is preferred to an idle one.
pub const GATHER: f32 = 0.1;
/// Service times that a full batch costs over one at the fill level.
pub const CROWD: f32 = 0.5;

/// Index of a failure domain; the caller keeps the names.
pub type Domain = u16;

/// What keeps a replica from taking new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bars {
    /// The model is not loaded yet.
    pub unready: bool,
    /// The engine is leaving.
    pub leaving: bool,
    /// The engine is suspected to be down.
    pub suspect: bool,
    /// An earlier attempt of this request failed there.
    pub avoid: bool,
    /// Its circuit breaker is open.
    pub broken: bool,
}

impl Bars {
    /// Whether nothing keeps the replica from taking work.
    pub fn clear(self) -> bool {
        self == Bars::default()
    }
}

/// One replica of the wanted model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests in progress by the last report.
    pub running: u32,
    /// Requests in the engine's queue by the last report.
    pub waiting: u32,
    /// Requests that this daemon sent since the report.
    pub sent: u32,
    /// Requests of this daemon that ended since the report.
    pub ended: u32,
    /// Requests that the engine batches at once; 0 counts as 1.
    pub slots: u32,
    /// Prompt tokens believed to be cached there.
    pub cached: u32,
    /// Failure domain.
    pub domain: Domain,
    /// What keeps it from taking work.
    pub bars: Bars,
}

impl Candidate {
    /// Load corrected for the lag of the report, requests.
    pub fn load(&self) -> u32 {
        (self.running + self.waiting + self.sent).saturating_sub(self.ended)
    }

    /// Whether a slot is believed to be free.
    pub fn free(&self) -> bool {
        self.load() < self.slots.max(1)
    }

    fn score(&self, need: &Need) -> f32 {
        let slots = self.slots.max(1);
        let load = self.load();
        let queued = load.saturating_sub(slots - 1) as f32 / slots as f32;
        let fresh = need.prompt.saturating_sub(self.cached) as f32 / need.prompt.max(1) as f32;
        let hop = if self.domain == need.domain {
            0.0
        } else {
            REMOTE
        };
        queued + PREFILL * fresh + hop + crowding(load as f32 / slots as f32)
    }
}

/// What the request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Failure domain of this daemon.
    pub domain: Domain,
    /// Length of the prompt, tokens.
    pub prompt: u32,
}

/// Crowding term of the score at a fill level, service times.
fn crowding(fill: f32) -> f32 {
    if fill <= FILL {
        return -GATHER * fill / FILL;
    }
    let over = (fill.min(1.0) - FILL) / (1.0 - FILL);
    -GATHER + (GATHER + CROWD) * over
}

/// Index of the best usable replica; the first of equals.
///
/// Returns `None` when no replica takes work: the pool owner is asked then.
pub fn choose(candidates: &[Candidate], need: &Need) -> Option<usize> {
    let mut best = None;
    let mut least = f32::INFINITY;
    for (i, c) in candidates.iter().enumerate() {
        if !c.bars.clear() {
            continue;
        }
        let score = c.score(need);
        if score < least {
            least = score;
            best = Some(i);
        }
    }
    best
}

/// Whether another replica should be woken: no usable one has a free slot.
pub fn crowded(candidates: &[Candidate]) -> bool {
    !candidates.iter().any(|c| c.bars.clear() && c.free())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn crowding_falls_to_the_fill_level_and_rises_above_it() {
        assert!(crowding(0.0) > crowding(FILL));
        assert!(crowding(1.0) > crowding(0.0));
    }
}

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
//! fill level [`TARGET_UTILIZATION`], so that work gathers on few replicas and the others
//! fall idle, and rises above it. The room above the fill level absorbs what
//! other daemons sent since the report.

/// Fill level of the slots up to which work gathers on a replica.
pub const TARGET_UTILIZATION: f32 = 0.75;
/// Service times saved by a wholly cached prompt.
pub const PREFILL_COST: f32 = 0.3;
/// Service times that a hop to another failure domain costs.
pub const CROSS_DOMAIN_COST: f32 = 0.05;
/// Service times by which a replica at the fill level is preferred to an idle one.
pub const CONSOLIDATION_BONUS: f32 = 0.1;
/// Service times that a full batch costs over one at the fill level.
pub const SATURATION_COST: f32 = 0.5;

/// Index of a failure domain; the caller keeps the names.
pub type Domain = u16;

/// What keeps a replica from taking new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exclusions {
    /// The model is not loaded yet.
    pub unready: bool,
    /// The engine is leaving.
    pub leaving: bool,
    /// The engine is suspected to be down.
    pub suspect: bool,
    /// An earlier attempt of this request failed there.
    pub tried: bool,
    /// Its circuit breaker is open.
    pub breaker_open: bool,
}

impl Exclusions {
    /// Whether nothing keeps the replica from taking work.
    pub fn is_empty(self) -> bool {
        self == Exclusions::default()
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
    pub cached_tokens: u32,
    /// Failure domain.
    pub domain: Domain,
    /// What keeps it from taking work.
    pub exclusions: Exclusions,
}

impl Candidate {
    /// Load corrected for the lag of the report, requests.
    pub fn load(&self) -> u32 {
        (self.running + self.waiting + self.sent).saturating_sub(self.ended)
    }

    /// Whether a slot is believed to be free.
    pub fn has_free_slot(&self) -> bool {
        self.load() < self.slots.max(1)
    }

    fn score(&self, query: &ReplicaQuery) -> f32 {
        let slots = self.slots.max(1);
        let load = self.load();
        let queued = load.saturating_sub(slots - 1) as f32 / slots as f32;
        let uncached = query.prompt_tokens.saturating_sub(self.cached_tokens) as f32
            / query.prompt_tokens.max(1) as f32;
        let hop = if self.domain == query.domain {
            0.0
        } else {
            CROSS_DOMAIN_COST
        };
        queued + PREFILL_COST * uncached + hop + utilization_cost(load as f32 / slots as f32)
    }
}

/// What the request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaQuery {
    /// Failure domain of this daemon.
    pub domain: Domain,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
}

/// Crowding term of the score at a fill level, service times.
fn utilization_cost(utilization: f32) -> f32 {
    if utilization <= TARGET_UTILIZATION {
        return -CONSOLIDATION_BONUS * utilization / TARGET_UTILIZATION;
    }
    let over = (utilization.min(1.0) - TARGET_UTILIZATION) / (1.0 - TARGET_UTILIZATION);
    -CONSOLIDATION_BONUS + (CONSOLIDATION_BONUS + SATURATION_COST) * over
}

/// Index of the best usable replica; the first of equals.
///
/// Returns `None` when no replica takes work: the pool owner is asked then.
pub fn choose_replica(candidates: &[Candidate], query: &ReplicaQuery) -> Option<usize> {
    let mut best = None;
    let mut lowest = f32::INFINITY;
    for (i, c) in candidates.iter().enumerate() {
        if !c.exclusions.is_empty() {
            continue;
        }
        let score = c.score(query);
        if score < lowest {
            lowest = score;
            best = Some(i);
        }
    }
    best
}

/// Whether another replica should be woken: no usable one has a free slot.
pub fn is_saturated(candidates: &[Candidate]) -> bool {
    !candidates
        .iter()
        .any(|c| c.exclusions.is_empty() && c.has_free_slot())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn utilization_cost_falls_to_the_target_and_rises_above_it() {
        assert!(utilization_cost(0.0) > utilization_cost(TARGET_UTILIZATION));
        assert!(utilization_cost(1.0) > utilization_cost(0.0));
    }
}

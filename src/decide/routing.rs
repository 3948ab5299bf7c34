//! Choice of a replica for one request.
//!
//! The replica with the lowest score is chosen. Scores are in service times:
//!
//! ```text
//! score = queued / slots                       wait for a slot
//!       + PREFILL_COST * (1 - cached / prompt) prompt tokens to compute
//!       + CROSS_DOMAIN_COST in another domain  network
//!       + utilization_cost(load / slots)       consolidation
//! ```
//!
//! `queued` is the number of requests that must end before a slot is free. `load`
//! is the load of the last report, plus the requests that this daemon
//! sent since, minus those that it saw end since. The utilization cost falls up
//! to [`TARGET_UTILIZATION`], so that requests are consolidated on few replicas
//! and the others become idle, and rises above it. The capacity above the target
//! absorbs the requests that other daemons sent since the report.

/// Slot utilization up to which requests are consolidated on a replica.
pub const TARGET_UTILIZATION: f32 = 0.75;
/// Cost of a prompt without any cached tokens, service times.
pub const PREFILL_COST: f32 = 0.3;
/// Cost of a hop to another failure domain, service times.
pub const CROSS_DOMAIN_COST: f32 = 0.05;
/// Bonus of a replica at the target utilization over an idle one, service times.
pub const CONSOLIDATION_BONUS: f32 = 0.1;
/// Cost of a full batch over one at the target utilization, service times.
pub const SATURATION_COST: f32 = 0.5;

/// Index of a failure domain, assigned by the code that uses this module.
pub type Domain = u16;

/// Reasons why a replica gets no new requests.
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
    /// Returns whether the replica may get new requests.
    pub fn is_empty(self) -> bool {
        self == Exclusions::default()
    }
}

/// One replica of the requested model.
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
    /// Maximum batch size of the engine; 0 counts as 1.
    pub slots: u32,
    /// Prompt tokens believed to be cached there.
    pub cached_tokens: u32,
    /// Failure domain.
    pub domain: Domain,
    /// Reasons why it gets no new requests.
    pub exclusions: Exclusions,
}

impl Candidate {
    /// Returns the number of requests, corrected for the age of the report.
    pub fn load(&self) -> u32 {
        (self.running + self.waiting + self.sent).saturating_sub(self.ended)
    }

    /// Returns whether a slot is believed to be free.
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

/// Properties of a request that affect the choice of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaQuery {
    /// Failure domain of this daemon.
    pub domain: Domain,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
}

/// Returns the cost of a slot utilization, service times.
fn utilization_cost(utilization: f32) -> f32 {
    if utilization <= TARGET_UTILIZATION {
        return -CONSOLIDATION_BONUS * utilization / TARGET_UTILIZATION;
    }
    let over = (utilization.min(1.0) - TARGET_UTILIZATION) / (1.0 - TARGET_UTILIZATION);
    -CONSOLIDATION_BONUS + (CONSOLIDATION_BONUS + SATURATION_COST) * over
}

/// Returns the index of the replica with the lowest score, the first among equals.
///
/// Returns `None` if all are excluded; a slot must then be requested from the pool
/// owner.
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

/// Returns whether another replica is needed: none that takes requests has a free slot.
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

//! How busy engines may be before their models get further replicas.
//!
//! Engines that share their machines are slow in stretches. One that is busy for a part `u` of its
//! time is saturated in a stretch in which work takes `1 / u` times as long; its queue then grows, and
//! the streams that run there lose the steps of the prompts that are read between them. So the
//! threshold is divided by the factor of such stretches, where engines report them.

use crate::edge::upstream::Upstream;

/// Part of the stretches that may be slower than the factor for which room is kept.
const TAIL: f64 = 0.1;
/// Number of reported stretches from which that part is known.
const MIN_STRETCHES: usize = 20;

/// Returns the engine time per second above which a model of these engines gets a further
/// replica; `usual` where no engine reports its slowness.
pub(super) fn hot_work<'a>(usual: f64, engines: impl Iterator<Item = &'a Upstream>) -> f64 {
    let mut factors: Vec<f64> = engines.flat_map(|e| e.pace.stretches()).collect();
    if factors.len() < MIN_STRETCHES {
        return usual;
    }
    let rank = (factors.len() as f64 * (1.0 - TAIL)) as usize;
    let (_, factor, _) = factors.select_nth_unstable_by(rank, f64::total_cmp);
    usual / factor.max(1.0)
}

/// Returns the part of the cost of a replica of a busy model that is accepted at a utilization: none
/// at the threshold `early`, all from the usual threshold on.
pub(super) fn urgency(utilization: f64, early: f64, usual: f64) -> f64 {
    match early < usual {
        true => ((utilization - early) / (usual - early)).clamp(0.0, 1.0),
        false => 1.0,
    }
}

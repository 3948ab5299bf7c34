//! Estimates the lower bound on the late requests of a day under any decisions.
//!
//! A request is certainly late when its model is not loaded and cannot be
//! loaded within the objective. The bound packs every model, and the extra
//! replicas that the work needs, into the engines' memory by best fit; requests
//! for models that do not fit have to wait for a load.

use super::firm::Firm;
use super::simulator::{SimRequest, Simulator};
use super::workload::TRAFFIC_DURATION;

/// Estimated lower bounds for one day.
#[derive(Clone, Copy, Debug, Default)]
pub struct LowerBound {
    /// Engine time that the requests need, as a fraction of the available time.
    pub utilization: f64,
    /// Models that fit at the same time.
    pub placed_models: usize,
    /// All models.
    pub model_count: usize,
    /// Replicas beyond the first that the busiest models need.
    pub extra_replicas: usize,
    /// Fraction of the requests that wait for a load longer than their
    /// objective even with this placement.
    pub late_fraction: f64,
}

/// Utilization of an engine by one model above which it gets another replica.
const REPLICA_UTILIZATION: f64 = 0.5;
/// Prefill time of the unshared part of a prompt, ms per token; shared parts
/// are prefilled once and not counted.
const PREFILL_MS_PER_TOKEN: f64 = 1.0 / 38.7;
/// Decode time per output token in a batch of usual size, ms.
const DECODE_MS_PER_TOKEN: f64 = 0.7;

impl LowerBound {
    /// Computes the bounds for the requests of a finished day.
    pub fn compute(firm: &Firm, simulator: &Simulator) -> Self {
        let mut work = vec![0.0; firm.models.len()];
        // Requests whose objective is no longer than the load of their model from disk.
        let mut tight_requests = vec![0u32; firm.models.len()];
        for request in &simulator.requests {
            let index = model_index(firm, request);
            let spec = &firm.models[index];
            let prompt = &request.arrival.prompt;
            let own = prompt.parts.last().map_or(0, |p| p.tokens);
            let ms = f64::from(own) * PREFILL_MS_PER_TOKEN
                + f64::from(prompt.output_tokens) * DECODE_MS_PER_TOKEN;
            work[index] += ms / 1_000.0 * spec.time_factor;
            let kind = &firm.kinds[request.arrival.kind];
            tight_requests[index] += u32::from(spec.model.disk_load >= kind.route.objective);
        }
        let day = TRAFFIC_DURATION.as_secs_f64();
        let extra = work
            .iter()
            .map(|w| (w / day / REPLICA_UTILIZATION).ceil().max(1.0) as usize - 1);
        let extra: Vec<usize> = extra.collect();
        let mut free_mb = vec![firm.memory_mb; firm.engine_count];
        let mut order: Vec<usize> = (0..firm.models.len()).collect();
        // Models with tight requests first, and larger ones before smaller ones.
        order.sort_by(|a, b| {
            let size = |i: &usize| firm.models[*i].model.memory_mb;
            let class = |i: &usize| tight_requests[*i] == 0;
            class(a).cmp(&class(b)).then(size(b).total_cmp(&size(a)))
        });
        let mut placed = vec![false; firm.models.len()];
        let all = order
            .iter()
            .flat_map(|i| std::iter::repeat_n(*i, 1 + extra[*i]));
        for index in all {
            let size = firm.models[index].model.memory_mb;
            let fits = (0..free_mb.len()).filter(|e| free_mb[*e] >= size);
            let best = fits.min_by(|a, b| free_mb[*a].total_cmp(&free_mb[*b]));
            if let Some(engine) = best {
                free_mb[engine] -= size;
                placed[index] = true;
            }
        }
        let late: u32 = (0..placed.len())
            .filter(|i| !placed[*i])
            .map(|i| tight_requests[i])
            .sum();
        LowerBound {
            utilization: work.iter().sum::<f64>() / day / firm.engine_count as f64,
            placed_models: placed.iter().filter(|p| **p).count(),
            model_count: firm.models.len(),
            extra_replicas: extra.iter().sum(),
            late_fraction: f64::from(late) / simulator.requests.len().max(1) as f64,
        }
    }
}

fn model_index(firm: &Firm, request: &SimRequest) -> usize {
    let name = &request.arrival.prompt.model;
    let at = firm.models.iter().position(|m| m.name == *name);
    at.unwrap_or_default()
}

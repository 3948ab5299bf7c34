//! What arithmetic leaves to any decisions on a day.
//!
//! A request is late for certain when its model stands on no accelerator that
//! could have it in time. With all models and the replicas that the work needs
//! packed as well as possible, the rest of the accelerators' memory is short by
//! some models; a request for one of these meets a load.

use super::firm::Firm;
use super::load::DAY;
use super::world::{Asking, World};

/// The least that a day can cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Least {
    /// Engine time that the requests need, over what there is.
    pub work: f64,
    /// Models that fit at once, of all, packed largest first.
    pub fit: usize,
    /// Of all models.
    pub models: usize,
    /// Replicas that the work of the busiest models needs beside the first.
    pub replicas: usize,
    /// Part of the requests that an ideal placement still meets with a load
    /// that their objective does not allow.
    pub late: f64,
}

/// Busy part of an engine at which a model gets another replica.
const FULL: f64 = 0.5;
/// Time to read the own part of a prompt, ms for each token; shared parts are
/// read once.
const READ_MS: f64 = 1.0 / 38.7;
/// Time of a token of an answer in a batch of usual size, ms.
const TOKEN_MS: f64 = 0.7;

impl Least {
    /// Works it out.
    pub fn of(firm: &Firm, world: &World) -> Self {
        let mut work = vec![0.0; firm.models.len()];
        let mut tight = vec![0u32; firm.models.len()];
        for request in &world.requests {
            let index = model(firm, request);
            let spec = &firm.models[index];
            let prompt = &request.arrival.prompt;
            let own = prompt.parts.last().map_or(0, |p| p.tokens);
            let ms = f64::from(own) * READ_MS + f64::from(prompt.output_tokens) * TOKEN_MS;
            work[index] += ms / 1_000.0 * spec.pace;
            let kind = &firm.kinds[request.arrival.kind];
            tight[index] += u32::from(spec.model.disk_load >= kind.route.objective);
        }
        let day = DAY.as_secs_f64();
        let copies = work
            .iter()
            .map(|w| (w / day / FULL).ceil().max(1.0) as usize - 1);
        let copies: Vec<usize> = copies.collect();
        let mut room = vec![firm.memory_mb; firm.engines];
        let mut order: Vec<usize> = (0..firm.models.len()).collect();
        // Most asked for by tight requests first, the largest of them first.
        order.sort_by(|a, b| {
            let size = |i: &usize| firm.models[*i].model.memory_mb;
            let class = |i: &usize| tight[*i] == 0;
            class(a).cmp(&class(b)).then(size(b).total_cmp(&size(a)))
        });
        let mut placed = vec![false; firm.models.len()];
        let all = order
            .iter()
            .flat_map(|i| std::iter::repeat_n(*i, 1 + copies[*i]));
        for index in all {
            let size = firm.models[index].model.memory_mb;
            let fits = (0..room.len()).filter(|e| room[*e] >= size);
            let best = fits.min_by(|a, b| room[*a].total_cmp(&room[*b]));
            if let Some(engine) = best {
                room[engine] -= size;
                placed[index] = true;
            }
        }
        let late: u32 = (0..placed.len())
            .filter(|i| !placed[*i])
            .map(|i| tight[i])
            .sum();
        Least {
            work: work.iter().sum::<f64>() / day / firm.engines as f64,
            fit: placed.iter().filter(|p| **p).count(),
            models: firm.models.len(),
            replicas: copies.iter().sum(),
            late: f64::from(late) / world.requests.len().max(1) as f64,
        }
    }
}

fn model(firm: &Firm, request: &Asking) -> usize {
    let name = &request.arrival.prompt.model;
    let at = firm.models.iter().position(|m| m.name == *name);
    at.unwrap_or_default()
}

//! What a day came to.

use std::time::Duration;

use super::firm::Firm;
use super::world::{Asking, End, World};

/// Figures of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Name.
    pub name: String,
    /// Asked, in time, late, refused, failed.
    pub counts: [u32; 5],
    /// Worth earned over worth owed.
    pub worth: f64,
    /// Time to the first event, ms: median and 99th percentile.
    pub first: [u64; 2],
    /// Requests that waited for a load.
    pub waited: u32,
}

/// Figures of a day.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// By kind.
    pub rows: Vec<Row>,
    /// Worth earned over worth owed.
    pub worth: f64,
    /// Requests answered whole, over all.
    pub served: f64,
    /// Seen over predicted times: 5th, 50th and 95th percentile.
    pub ratios: [f64; 3],
    /// Mean busy part of the engines.
    pub busy: f64,
}

impl Figures {
    /// Works them out after a day.
    pub fn of(firm: &Firm, world: &World) -> Self {
        let mut figures = Figures::default();
        let (mut earned, mut owed, mut whole) = (0.0, 0.0, 0);
        for (index, kind) in firm.kinds.iter().enumerate() {
            let of = |r: &&Asking| r.arrival.kind == index;
            let asked: Vec<_> = world.requests.iter().filter(of).collect();
            let sizes: Vec<f64> = asked.iter().map(|r| size(r)).collect();
            let mean = sizes.iter().sum::<f64>() / sizes.len().max(1) as f64;
            let mut row = Row {
                name: kind.route.name.to_string(),
                ..Row::default()
            };
            let (mut got, mut all) = (0.0, 0.0);
            let mut firsts = Vec::new();
            for (request, size) in asked.iter().zip(&sizes) {
                let times = (0.3 + 0.7 * size / mean).min(4.0);
                row.counts[0] += 1;
                row.waited += u32::from(request.waited);
                all += kind.worth * times;
                match (request.end, request.first) {
                    (Some(End::Served), Some(first)) => {
                        whole += 1;
                        firsts.push(first.as_millis() as u64);
                        let late = first > kind.route.objective;
                        row.counts[if late { 2 } else { 1 }] += 1;
                        got += times * if late { kind.late } else { kind.worth };
                    }
                    (Some(End::Refused), _) => row.counts[3] += 1,
                    _ => row.counts[4] += 1,
                }
            }
            firsts.sort_unstable();
            row.first = [rank(&firsts, 0.5), rank(&firsts, 0.99)];
            row.worth = got / f64::max(all, f64::MIN_POSITIVE);
            earned += got;
            owed += all;
            figures.rows.push(row);
        }
        let mut ratios = world.counts.ratios.clone();
        ratios.sort_by(f64::total_cmp);
        figures.ratios = [0.05, 0.5, 0.95].map(|p| rank(&ratios, p));
        figures.worth = earned / f64::max(owed, f64::MIN_POSITIVE);
        figures.served = f64::from(whole) / world.requests.len().max(1) as f64;
        let busy: Duration = world.engines.iter().map(|e| e.busy).sum();
        let all = super::load::DAY.as_secs_f64() * world.engines.len() as f64;
        figures.busy = busy.as_secs_f64() / all;
        figures
    }
}

/// Size by which a request's worth is weighed, tokens.
pub fn size(request: &Asking) -> f64 {
    let prompt = &request.arrival.prompt;
    f64::from(prompt.input_tokens) + 10.0 * f64::from(prompt.output_tokens)
}

/// The value at a part of a sorted list.
pub fn rank<T: Copy + Default>(sorted: &[T], part: f64) -> T {
    let Some(last) = sorted.len().checked_sub(1) else {
        return T::default();
    };
    sorted[(part * last as f64).round() as usize]
}

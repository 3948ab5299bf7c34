//! The worth that an ideal order of service reaches.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A request, in units of the time of one service.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// First unit in which it can be served.
    pub from: u32,
    /// Last unit in which its service can begin.
    pub until: u32,
    /// Worth of its completion.
    pub worth: f64,
}

/// Most worth that `slots` services in each unit of time reach.
///
/// Jobs of one unit with release times and deadlines form a matroid, so that
/// taking them by worth, each where the ones taken before stay feasible, is
/// optimal (Lawler, "Combinatorial Optimization: Networks and Matroids",
/// 1976); feasibility is tested by earliest deadline first.
pub fn ideal(jobs: &[Job], slots: u32) -> f64 {
    let mut order: Vec<&Job> = jobs.iter().collect();
    order.sort_by(|a, b| b.worth.total_cmp(&a.worth));
    let mut taken: Vec<Job> = Vec::new();
    let mut sum = 0.0;
    for job in order {
        let place = taken.partition_point(|t| t.from <= job.from);
        taken.insert(place, *job);
        if feasible(&taken, slots) {
            sum += job.worth;
        } else {
            taken.remove(place);
        }
    }
    sum
}

/// Whether all of `jobs`, in order of release, can be served in time.
fn feasible(jobs: &[Job], slots: u32) -> bool {
    let mut waiting: BinaryHeap<Reverse<u32>> = BinaryHeap::new();
    let mut next = 0;
    let mut unit = 0;
    while next < jobs.len() || !waiting.is_empty() {
        if waiting.is_empty() {
            unit = unit.max(jobs[next].from);
        }
        while next < jobs.len() && jobs[next].from <= unit {
            waiting.push(Reverse(jobs[next].until));
            next += 1;
        }
        for _ in 0..slots {
            let Some(Reverse(until)) = waiting.pop() else {
                break;
            };
            if until < unit {
                return false;
            }
        }
        unit += 1;
    }
    true
}

//! Upper bound on the worth that any order of service can reach.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A request; times are in units of one service time.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// First unit in which it can be served.
    pub release: u32,
    /// Last unit in which its service can begin.
    pub deadline: u32,
    /// Worth of its completion.
    pub worth: f64,
}

/// Returns the maximum worth that `slots` services in each unit of time can reach.
///
/// Unit-time jobs with release times and deadlines form a matroid, so that
/// accepting them in order of worth, each if the accepted set stays feasible,
/// is optimal (Lawler, "Combinatorial Optimization: Networks and Matroids",
/// 1976); feasibility is tested by earliest deadline first.
pub fn max_worth(jobs: &[Job], slots: u32) -> f64 {
    let mut by_worth: Vec<&Job> = jobs.iter().collect();
    by_worth.sort_by(|a, b| b.worth.total_cmp(&a.worth));
    let mut accepted: Vec<Job> = Vec::new();
    let mut sum = 0.0;
    for job in by_worth {
        let index = accepted.partition_point(|t| t.release <= job.release);
        accepted.insert(index, *job);
        if is_feasible(&accepted, slots) {
            sum += job.worth;
        } else {
            accepted.remove(index);
        }
    }
    sum
}

/// Returns whether all of `jobs`, in order of release, can be served in time.
fn is_feasible(jobs: &[Job], slots: u32) -> bool {
    let mut waiting: BinaryHeap<Reverse<u32>> = BinaryHeap::new();
    let mut next = 0;
    let mut unit = 0;
    while next < jobs.len() || !waiting.is_empty() {
        if waiting.is_empty() {
            unit = unit.max(jobs[next].release);
        }
        while next < jobs.len() && jobs[next].release <= unit {
            waiting.push(Reverse(jobs[next].deadline));
            next += 1;
        }
        for _ in 0..slots {
            let Some(Reverse(deadline)) = waiting.pop() else {
                break;
            };
            if deadline < unit {
                return false;
            }
        }
        unit += 1;
    }
    true
}

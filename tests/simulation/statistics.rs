//! Statistics of a simulated day.

use std::time::Duration;

use super::firm::Firm;
use super::simulator::{RequestEnd, SimRequest, Simulator};

/// Statistics of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct KindStatistics {
    /// Name.
    pub name: String,
    /// Numbers of requests: all, served in time, served late, refused, failed.
    pub counts: [u32; 5],
    /// Worth of the served requests over the worth of all, had each been in time.
    pub worth: f64,
    /// Time to the first event, ms: median and 99th percentile.
    pub first_event_ms: [u64; 2],
    /// Requests that waited for a load.
    pub waited_load: u32,
}

/// Statistics of a whole day.
#[derive(Clone, Debug, Default)]
pub struct DayStatistics {
    /// Statistics of each kind of request.
    pub rows: Vec<KindStatistics>,
    /// Worth of the served requests over the worth of all, had each been in time.
    pub worth: f64,
    /// Fraction of the requests that were answered completely.
    pub served_fraction: f64,
    /// Measured over predicted time to the first event: 5th, 50th and 95th
    /// percentile.
    pub latency_ratios: [f64; 3],
    /// Mean utilization of the engines.
    pub utilization: f64,
}

impl DayStatistics {
    /// Computes the statistics of a finished day.
    pub fn compute(firm: &Firm, simulator: &Simulator) -> Self {
        let mut statistics = DayStatistics::default();
        let (mut earned, mut possible, mut served) = (0.0, 0.0, 0);
        for (index, kind) in firm.kinds.iter().enumerate() {
            let is_kind = |r: &&SimRequest| r.arrival.kind == index;
            let requests: Vec<_> = simulator.requests.iter().filter(is_kind).collect();
            let sizes: Vec<f64> = requests.iter().map(|r| token_weight(r)).collect();
            let mean = sizes.iter().sum::<f64>() / sizes.len().max(1) as f64;
            let mut row = KindStatistics {
                name: kind.route.name.to_string(),
                ..KindStatistics::default()
            };
            let (mut kind_earned, mut kind_possible) = (0.0, 0.0);
            let mut first_events = Vec::new();
            for (request, size) in requests.iter().zip(&sizes) {
                let weight = (0.3 + 0.7 * size / mean).min(4.0);
                row.counts[0] += 1;
                row.waited_load += u32::from(request.waited);
                kind_possible += kind.worth * weight;
                match (request.end, request.first_event) {
                    (Some(RequestEnd::Served), Some(first)) => {
                        served += 1;
                        first_events.push(first.as_millis() as u64);
                        let late = first > kind.route.objective;
                        row.counts[if late { 2 } else { 1 }] += 1;
                        kind_earned += weight * if late { kind.late_worth } else { kind.worth };
                    }
                    (Some(RequestEnd::Refused), _) => row.counts[3] += 1,
                    _ => row.counts[4] += 1,
                }
            }
            first_events.sort_unstable();
            row.first_event_ms = [
                percentile(&first_events, 0.5),
                percentile(&first_events, 0.99),
            ];
            row.worth = kind_earned / f64::max(kind_possible, f64::MIN_POSITIVE);
            earned += kind_earned;
            possible += kind_possible;
            statistics.rows.push(row);
        }
        let mut ratios = simulator.counters.latency_ratios.clone();
        ratios.sort_by(f64::total_cmp);
        statistics.latency_ratios = [0.05, 0.5, 0.95].map(|p| percentile(&ratios, p));
        statistics.worth = earned / f64::max(possible, f64::MIN_POSITIVE);
        statistics.served_fraction = f64::from(served) / simulator.requests.len().max(1) as f64;
        let busy: Duration = simulator.engines.iter().map(|e| e.busy_time).sum();
        let available =
            super::workload::TRAFFIC_DURATION.as_secs_f64() * simulator.engines.len() as f64;
        statistics.utilization = busy.as_secs_f64() / available;
        statistics
    }
}

/// Returns the size that scales a request's worth: input tokens plus ten times
/// the output tokens.
pub fn token_weight(request: &SimRequest) -> f64 {
    let prompt = &request.arrival.prompt;
    f64::from(prompt.input_tokens) + 10.0 * f64::from(prompt.output_tokens)
}

/// Returns the value at a fraction of a sorted list.
pub fn percentile<T: Copy + Default>(sorted: &[T], fraction: f64) -> T {
    let Some(last) = sorted.len().checked_sub(1) else {
        return T::default();
    };
    sorted[(fraction * last as f64).round() as usize]
}

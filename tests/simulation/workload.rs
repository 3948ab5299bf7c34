//! Workloads of the simulated days: request arrivals and disturbances.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::request_headers::{Prompt, PromptPart};
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use super::firm::{Firm, RequestKind};

/// Duration of a day's traffic.
pub const TRAFFIC_DURATION: Duration = Duration::from_secs(34);

/// A change or fault during a day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DayEvent {
    /// Shifts the most requested models of each kind by this many places.
    ShiftDemand(usize),
    /// Crashes this fraction of the engines; they restart empty after a time.
    CrashEngines(f64, Duration),
    /// Slows this fraction of the engines by a factor for a time.
    SlowEngines(f64, f64, Duration),
    /// Removes this many engines after draining them for two seconds.
    DrainEngines(usize),
    /// Pauses the leader for a time: it sends neither orders nor heartbeats.
    PauseLeader(Duration),
}

/// A higher request rate between two times, seconds.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Index of the kind; all kinds if `None`.
    kind: Option<usize>,
    rate_factor: f64,
    from: f64,
    to: f64,
}

/// A scenario of the simulation; times are seconds from its start.
#[derive(Clone, Debug)]
pub struct Day {
    /// Name.
    pub name: &'static str,
    /// Times and disturbances.
    pub events: Vec<(f64, DayEvent)>,
    bursts: Vec<Burst>,
}

impl Day {
    /// Names of all scenarios.
    pub const NAMES: [&'static str; 5] = ["quiet", "scale", "overload", "slow", "pause"];

    /// Returns the scenario with this name.
    pub fn by_name(name: &str) -> Option<Day> {
        let shifts = |at: [f64; 3]| at.map(|at| (at, DayEvent::ShiftDemand(2))).to_vec();
        let burst = |kind, rate_factor, from: f64, to| Burst {
            kind,
            rate_factor,
            from,
            to,
        };
        let day = match name {
            "quiet" => Day {
                name: "quiet",
                events: shifts([1.0, 19.0, 23.0]),
                bursts: vec![burst(Some(1), 1.8, 9.0, 15.0)],
            },
            "scale" => {
                let mut events = shifts([1.0, 14.0, 24.0]);
                events.push((5.8, DayEvent::CrashEngines(0.25, Duration::from_secs(2))));
                events.push((8.1, DayEvent::DrainEngines(1)));
                Day {
                    name: "scale",
                    events,
                    bursts: vec![burst(Some(1), 2.3, 9.0, 15.0)],
                }
            }
            "overload" => Day {
                name: "overload",
                events: shifts([1.0, 14.0, 24.0]),
                bursts: vec![burst(None, 8.0, 8.0, 18.0)],
            },
            "slow" => {
                let mut events = shifts([1.0, 17.0, 24.0]);
                let slow = DayEvent::SlowEngines(0.17, 5.0, Duration::from_secs(7));
                events.push((10.7, slow));
                Day {
                    name: "slow",
                    events,
                    bursts: vec![burst(Some(1), 2.0, 9.0, 15.0)],
                }
            }
            "pause" => {
                let mut events = shifts([1.0, 17.0, 24.0]);
                events.push((17.2, DayEvent::PauseLeader(Duration::from_secs(5))));
                Day {
                    name: "pause",
                    events,
                    bursts: Vec::new(),
                }
            }
            _ => return None,
        };
        Some(day)
    }
}

/// A request of the workload.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time since the start of the traffic.
    pub at: Moment,
    /// Index of its kind.
    pub kind: usize,
    /// Index of the daemon that receives it.
    pub daemon: usize,
    /// Prompt.
    pub prompt: Prompt,
}

/// Generates all requests of a day in order of arrival: a Poisson process per
/// kind, with its rate multiplied during bursts.
pub fn generate_arrivals(firm: &Firm, day: &Day, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, kind) in firm.kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let mut rate = kind.rate_per_s;
            for burst in &day.bursts {
                let applies = burst.kind.is_none_or(|k| k == index);
                if applies && (burst.from..burst.to).contains(&at) {
                    rate *= burst.rate_factor;
                }
            }
            let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += -unit.ln() / rate;
            if at >= TRAFFIC_DURATION.as_secs_f64() {
                break;
            }
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                kind: index,
                daemon: rng.random_range(0..firm.daemon_count),
                prompt: generate_prompt(firm, day, kind, index, at, rng),
            });
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn generate_prompt(
    firm: &Firm,
    day: &Day,
    kind: &RequestKind,
    index: usize,
    at: f64,
    rng: &mut ChaCha8Rng,
) -> Prompt {
    let mut shift = 0;
    for (when, event) in &day.events {
        if let DayEvent::ShiftDemand(count) = event
            && *when <= at
        {
            shift += count;
        }
    }
    let active = kind.active_models.min(kind.models.len());
    let weights = (1..=active).map(|n| (n as f64).powf(-kind.skew));
    let rank = WeightedIndex::new(weights).expect("weights").sample(rng);
    let model = kind.models[(shift + rank) % kind.models.len()];
    let spec = &firm.models[model];
    let adapters = spec.model.adapters;
    let adapter = (adapters > 0 && rng.random_bool(kind.adapter_fraction))
        .then(|| format!("a{}", rng.random_range(0..adapters)).into());
    let mut parts = Vec::new();
    // Each shared part of the second level always follows the same one of the first.
    let leaf = rng.random_range(0..kind.shared_parts[1].1);
    for (level, (tokens, count)) in kind.shared_parts.iter().enumerate() {
        let part = u64::from(leaf % count);
        parts.push(PromptPart {
            id: (index as u64) << 32 | (level as u64) << 16 | part,
            tokens: *tokens,
        });
    }
    parts.push(PromptPart {
        id: rng.next_u64(),
        tokens: kind.input_tokens.sample_tokens(rng),
    });
    Prompt {
        model: spec.name.clone(),
        adapter,
        input_tokens: parts.iter().map(|p| p.tokens).sum(),
        output_tokens: kind.output_tokens.sample_tokens(rng),
        parts,
    }
}

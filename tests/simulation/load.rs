//! Days: who asks for what, and what goes wrong.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::request_headers::{Prompt, PromptPart};
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use super::firm::{Firm, Kind};

/// Length of a day's traffic.
pub const DAY: Duration = Duration::from_secs(34);

/// A change in the course of a day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Demand moves: the most wanted models of each kind give way to others.
    Shift(usize),
    /// This part of the engines crashes, to be back empty after a time.
    Crash(f64, Duration),
    /// This part of the engines turns slow by a factor, for a time.
    Slow(f64, f64, Duration),
    /// This many engines are taken away after two seconds' notice.
    Leave(usize),
    /// The daemon that gives the orders falls silent for a time.
    Pause(Duration),
}

/// More requests for a while.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Kind, or all.
    kind: Option<usize>,
    times: f64,
    from: f64,
    to: f64,
}

/// A day: what happens when, seconds from its start.
#[derive(Clone, Debug)]
pub struct Day {
    /// Name.
    pub name: &'static str,
    /// Events.
    pub events: Vec<(f64, Event)>,
    bursts: Vec<Burst>,
}

impl Day {
    /// Names of all days.
    pub const NAMES: [&'static str; 5] = ["quiet", "scale", "overload", "slow", "pause"];

    /// The day with this name.
    pub fn named(name: &str) -> Option<Day> {
        let shifts = |at: [f64; 3]| at.map(|at| (at, Event::Shift(2))).to_vec();
        let burst = |kind, times, from: f64, to| Burst {
            kind,
            times,
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
                events.push((5.8, Event::Crash(0.25, Duration::from_secs(2))));
                events.push((8.1, Event::Leave(1)));
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
                let slow = Event::Slow(0.17, 5.0, Duration::from_secs(7));
                events.push((10.7, slow));
                Day {
                    name: "slow",
                    events,
                    bursts: vec![burst(Some(1), 2.0, 9.0, 15.0)],
                }
            }
            "pause" => {
                let mut events = shifts([1.0, 17.0, 24.0]);
                events.push((17.2, Event::Pause(Duration::from_secs(5))));
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

/// A request to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Moment,
    /// Index of its kind.
    pub kind: usize,
    /// Daemon that it comes to.
    pub daemon: usize,
    /// Prompt.
    pub prompt: Prompt,
}

/// All requests of a day, in order.
pub fn arrivals(firm: &Firm, day: &Day, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, kind) in firm.kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let mut rate = kind.per_s;
            for burst in &day.bursts {
                let hit = burst.kind.is_none_or(|k| k == index);
                if hit && (burst.from..burst.to).contains(&at) {
                    rate *= burst.times;
                }
            }
            let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += -unit.ln() / rate;
            if at >= DAY.as_secs_f64() {
                break;
            }
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                kind: index,
                daemon: rng.random_range(0..firm.daemons),
                prompt: prompt(firm, day, kind, index, at, rng),
            });
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn prompt(
    firm: &Firm,
    day: &Day,
    kind: &Kind,
    index: usize,
    at: f64,
    rng: &mut ChaCha8Rng,
) -> Prompt {
    let mut first = 0;
    for (when, event) in &day.events {
        if let Event::Shift(count) = event
            && *when <= at
        {
            first += count;
        }
    }
    let now = kind.now.min(kind.models.len());
    let weights = (1..=now).map(|n| (n as f64).powf(-kind.skew));
    let nth = WeightedIndex::new(weights).expect("weights").sample(rng);
    let model = kind.models[(first + nth) % kind.models.len()];
    let spec = &firm.models[model];
    let adapters = spec.model.adapters;
    let adapter = (adapters > 0 && rng.random_bool(kind.adapters))
        .then(|| format!("a{}", rng.random_range(0..adapters)).into());
    let mut parts = Vec::new();
    // Each start of the second level belongs to one of the first.
    let leaf = rng.random_range(0..kind.shared[1].1);
    for (level, (tokens, things)) in kind.shared.iter().enumerate() {
        let thing = u64::from(leaf % things);
        parts.push(PromptPart {
            id: (index as u64) << 32 | (level as u64) << 16 | thing,
            tokens: *tokens,
        });
    }
    parts.push(PromptPart {
        id: rng.next_u64(),
        tokens: kind.input.draw(rng),
    });
    Prompt {
        model: spec.name.clone(),
        adapter,
        input_tokens: parts.iter().map(|p| p.tokens).sum(),
        output_tokens: kind.output.draw(rng),
        parts,
    }
}
